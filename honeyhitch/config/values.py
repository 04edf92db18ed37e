"""Reading single values, and the tables of the operator's file; each mistake names its key."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TypeVar

from honeyhitch.config.deployment import ConfigError

T = TypeVar("T")


def parse_integer(text: str, name: str) -> int:
    if not text.removeprefix("-").isascii() or not text.removeprefix("-").isdigit():
        raise ConfigError(f"{name}: expected a whole number, got {text!r}")
    return int(text)


def parse_number(text: str, name: str) -> float:
    try:
        value = float(text)
    except ValueError:
        value = float("nan")
    if value - value != 0:
        raise ConfigError(f"{name}: expected a number, got {text!r}")
    return value


def parse_choice(choices: dict[str, T], text: str, name: str) -> T:
    if text not in choices:
        raise ConfigError(f"{name}: expected one of {', '.join(choices)}, got {text!r}")
    return choices[text]


class ConfigTable:
    """One table of the operator's file. What is not asked for is a mistake, and is named."""

    def __init__(self, told: object, at: str) -> None:
        if not isinstance(told, dict):
            raise ConfigError(f"{at}: expected a table")
        self.unread, self.path = dict(told), at

    def get(self, name: str, form: type[T], default: T | None = None) -> T:
        """A value of this type; one without a default must be there."""
        value = self.unread.pop(name, default)
        if form is float and isinstance(value, int):
            value = float(value)
        if isinstance(value, form) and not (form is not bool and isinstance(value, bool)):
            return value
        raise ConfigError(
            f"{self.path}.{name}: " + ("missing" if value is None else f"expected {form.__name__}")
        )

    def optional(self, name: str, form: type[T]) -> T | None:
        """A value of this type, or None."""
        return self.get(name, form) if name in self.unread else None

    def choice(self, name: str, among: Iterable[str], default: str) -> str:
        """One of these words."""
        return parse_choice(
            {word: word for word in among}, self.get(name, str, default), f"{self.path}.{name}"
        )

    def reject_unknown_keys(self) -> None:
        """Everything was asked for."""
        for name in self.unread:
            raise ConfigError(f"{self.path}.{name}: no such key")
