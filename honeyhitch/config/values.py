"""Reading single values, and the tables of the operator's file; every error names its key."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import TypeVar

from honeyhitch.config.deployment import ConfigError
from honeyhitch.time_units import SECOND

T = TypeVar("T")


def parse_integer(text: str, name: str) -> int:
    """A whole number in decimal digits. Raises ConfigError."""
    digits = text.removeprefix("-")
    if not digits.isascii() or not digits.isdigit():
        raise ConfigError(f"{name}: expected a whole number, got {text!r}")
    return int(text)


def parse_number(text: str, name: str) -> float:
    """A finite number. Raises ConfigError."""
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise ConfigError(f"{name}: expected a number, got {text!r}")
    return value


def parse_choice(choices: dict[str, T], text: str, name: str) -> T:
    """The value that one of these words stands for. Raises ConfigError."""
    if text not in choices:
        raise ConfigError(f"{name}: expected one of {', '.join(choices)}, got {text!r}")
    return choices[text]


class ConfigTable:
    """One table of the operator's file. A key that nothing reads is an error."""

    def __init__(self, value: object, path: str) -> None:
        """`path` names the table in errors. Raises ConfigError if the value is no table."""
        if not isinstance(value, dict):
            raise ConfigError(f"{path}: expected a table")
        self.unread = dict(value)
        self.path = path

    def invalid(self, name: str, problem: str) -> ConfigError:
        """The error of one key, to be raised."""
        return ConfigError(f"{self.path}.{name}: {problem}")

    def get(self, name: str, value_type: type[T], default: T | None = None) -> T:
        """A value of this type; one without a default must be there. Raises ConfigError."""
        value = self.unread.pop(name, default)
        if value_type is float and isinstance(value, int):
            value = float(value)
        is_unwanted_bool = isinstance(value, bool) and value_type is not bool
        if isinstance(value, value_type) and not is_unwanted_bool:
            return value
        raise self.invalid(name, "missing" if value is None else f"expected {value_type.__name__}")

    def optional(self, name: str, value_type: type[T]) -> T | None:
        """A value of this type, or None where the key is missing. Raises ConfigError."""
        return self.get(name, value_type) if name in self.unread else None

    def choice(self, name: str, choices: Iterable[str], default: str) -> str:
        """One of these texts. Raises ConfigError."""
        text = self.get(name, str, default)
        return parse_choice({choice: choice for choice in choices}, text, f"{self.path}.{name}")

    def seconds(self, name: str, default: int) -> float:
        """A duration in seconds; the default is in nanoseconds. Raises ConfigError."""
        return self.get(name, float, default / SECOND)

    def reject_unknown_keys(self) -> None:
        """Raise ConfigError if a key is left that nothing has read."""
        for name in self.unread:
            raise self.invalid(name, "no such key")
