"""Actions: what the policy asks of its caller. Times and durations are integer nanoseconds."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Send:
    """Start an attempt; attempts of a message are numbered from 0 in the order sent."""

    message: str
    endpoint: str
    timeout: int


@dataclass(frozen=True, slots=True)
class Cancel:
    """Stop waiting for an attempt."""

    message: str
    attempt: int


@dataclass(frozen=True, slots=True)
class Reject:
    """Final answer: not done, handing it in again after `come_back` is harmless."""

    message: str
    retry_after: int


@dataclass(frozen=True, slots=True)
class Fail:
    """Final answer: failed, nothing is promised."""

    message: str


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Ask for a TimerFired at this time."""

    at: int


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Ask discovery for changes from now on."""


@dataclass(frozen=True, slots=True)
class CloseIdleConnections:
    """Close this instance's idle connections to an endpoint."""

    endpoint: str


@dataclass(frozen=True, slots=True)
class OpenConnections:
    """Messages wait for a gated endpoint: connections for so many more calls are wanted."""

    endpoint: str
    calls: int


Action = Send | Cancel | Reject | Fail | SetTimer | Subscribe | CloseIdleConnections | OpenConnections
