"""Linear fits through measured values, with their spread, for the capacity benchmark."""

from __future__ import annotations

import statistics
from collections.abc import Sequence
from dataclasses import dataclass

MIN_SIZES = 4  # a fit through fewer sizes does not show whether the values lie on a line


@dataclass(frozen=True, slots=True)
class Slope:
    """A least-squares line through the values of all plays: `value = fixed + each * size`.

    A play is one run of the measurement at one size. `spread` is the largest distance of a value from the
    line, as a fraction of the largest absolute value measured.
    """

    name: str
    unit: str
    per: str
    points: tuple[tuple[float, tuple[float, ...]], ...]  # size, and the value of each play at that size
    fixed: float
    each: float
    spread: float

    def value_at(self, size: float) -> float:
        """Return the value of the line at this size."""
        return self.fixed + self.each * size


def fit(name: str, unit: str, per: str, points: Sequence[tuple[float, Sequence[float]]]) -> Slope:
    """Return the line fitted through the points. Raise ValueError for fewer than `MIN_SIZES` sizes."""
    if len({size for size, _ in points}) < MIN_SIZES:
        raise ValueError(
            f"{name}: expected {MIN_SIZES} different sizes or more, got {[size for size, _ in points]}"
        )
    pairs = [(size, value) for size, plays in points for value in plays]
    sizes = [size for size, _ in pairs]
    values = [value for _, value in pairs]
    each, fixed = statistics.linear_regression(sizes, values)
    largest = max(map(abs, values)) or 1.0
    spread = max(abs(value - fixed - each * size) for size, value in pairs) / largest
    plays_by_size = tuple((size, tuple(plays)) for size, plays in points)
    return Slope(name, unit, per, plays_by_size, fixed, each, spread)


def table(slopes: Sequence[Slope]) -> str:
    """Return a table with a row for each slope, followed by the median and range at each size."""
    lines = [f"{'what':44} {'fixed':>12} {'each':>12} {'spread':>7}  unit, per"]
    for slope in slopes:
        fit_cells = f"{slope.fixed:12.4g} {slope.each:12.4g} {slope.spread:7.1%}"
        lines.append(f"{slope.name:44} {fit_cells}  {slope.unit}, {slope.per}")
        for size, plays in slope.points:
            median = statistics.median(plays)
            lines.append(f"    {size:>12,.5g}: {median:12.5g}  ({min(plays):.5g} to {max(plays):.5g})")
    return "\n".join(lines)
