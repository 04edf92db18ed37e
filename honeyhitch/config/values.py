"""Parsers of single values and of the operator's tables. Every error names the key at fault."""

from __future__ import annotations

import math
from collections.abc import Iterable
from typing import TypeVar

from honeyhitch.config.deployment import ConfigError
from honeyhitch.time_units import SECOND

T = TypeVar("T")


def parse_integer(text: str, name: str) -> int:
    """Return a whole number given in decimal digits, or raise ConfigError, which calls the value `name`."""
    digits = text.removeprefix("-")
    if not digits.isascii() or not digits.isdigit():
        raise ConfigError(f"{name}: expected a whole number, got {text!r}")
    return int(text)


def parse_number(text: str, name: str) -> float:
    """Return a finite number, or raise ConfigError, which calls the value `name`."""
    try:
        value = float(text)
    except ValueError:
        value = math.nan
    if not math.isfinite(value):
        raise ConfigError(f"{name}: expected a number, got {text!r}")
    return value


def parse_choice(choices: dict[str, T], text: str, name: str) -> T:
    """Return the value of the choice that `text` names, or raise ConfigError, which calls the text `name`."""
    if text not in choices:
        raise ConfigError(f"{name}: expected one of {', '.join(choices)}, got {text!r}")
    return choices[text]


class ConfigTable:
    """A table of the operator's file. `reject_unknown_keys` raises an error for keys that were not read."""

    def __init__(self, value: object, path: str) -> None:
        """Wrap a table; `path` names it in errors. Raise ConfigError if the value is not a table."""
        if not isinstance(value, dict):
            raise ConfigError(f"{path}: expected a table, got {type(value).__name__}")
        self.unread = dict(value)
        self.path = path

    def invalid(self, name: str, problem: str) -> ConfigError:
        """Return the error of one key, for the caller to raise."""
        return ConfigError(f"{self.path}.{name}: {problem}")

    def get(self, name: str, value_type: type[T], default: T | None = None) -> T:
        """Return a value of this type. Raise ConfigError for another type, or without a value or default."""
        value = self.unread.pop(name, default)
        if value_type is float and isinstance(value, int):
            value = float(value)
        is_unwanted_bool = isinstance(value, bool) and value_type is not bool
        if isinstance(value, value_type) and not is_unwanted_bool:
            return value
        raise self.invalid(
            name,
            "missing" if value is None else f"expected {value_type.__name__}, got {type(value).__name__}",
        )

    def optional(self, name: str, value_type: type[T]) -> T | None:
        """Return a value of this type, or None if the key is missing. Raise ConfigError for another type."""
        return self.get(name, value_type) if name in self.unread else None

    def choice(self, name: str, choices: Iterable[str], default: str) -> str:
        """Return a text that is one of the choices. Raise ConfigError for any other value."""
        text = self.get(name, str, default)
        return parse_choice({choice: choice for choice in choices}, text, f"{self.path}.{name}")

    def seconds(self, name: str, default: int) -> float:
        """Return a duration in seconds; the default is in nanoseconds.

        Raise ConfigError if the value is not a number.
        """
        return self.get(name, float, default / SECOND)

    def reject_unknown_keys(self) -> None:
        """Raise ConfigError if the table has a key that has not been read."""
        for name in self.unread:
            raise self.invalid(name, "no such key")
