"""Reading single values, and the tables of the operator's file; each mistake names its key."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

from honeyhitch.config.deployment import ConfigError

T = TypeVar("T")


def whole(text: str, name: str) -> int:
    if not text.removeprefix("-").isascii() or not text.removeprefix("-").isdigit():
        raise ConfigError(f"{name}: expected a whole number, got {text!r}")
    return int(text)


def decimal(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if value - value != 0:
        raise ConfigError(f"{name}: expected a number, got {text!r}")
    return value


def pick(table: dict[str, T], text: str, name: str) -> T:
    if text not in table:
        raise ConfigError(f"{name}: expected one of {', '.join(table)}, got {text!r}")
    return table[text]


class Table:
    """One table of the operator's file. What is not asked for is a mistake, and is named."""

    def __init__(self, told: object, at: str) -> None:
        if not isinstance(told, dict):
            raise ConfigError(f"{at}: expected a table")
        self.left, self.at = dict(told), at

    def get(self, name: str, form: type[T], default: T | None = None) -> T:
        """A value of this type; one without a default must be there."""
        value = self.left.pop(name, default)
        if form is float and isinstance(value, int):
            value = float(value)
        if isinstance(value, form) and not (form is not bool and isinstance(value, bool)):
            return value
        raise ConfigError(
            f"{self.at}.{name}: " + ("missing" if value is None else f"expected {form.__name__}")
        )

    def maybe(self, name: str, form: type[T]) -> T | None:
        """A value of this type, or None."""
        return self.get(name, form) if name in self.left else None

    def choice(self, name: str, among: Iterable[str], default: str) -> str:
        """One of these words."""
        return pick({word: word for word in among}, self.get(name, str, default), f"{self.at}.{name}")

    def done(self) -> None:
        """Everything was asked for."""
        for name in self.left:
            raise ConfigError(f"{self.at}.{name}: no such key")
