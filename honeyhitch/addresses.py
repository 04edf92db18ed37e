"""Network addresses in the form HOST:PORT, as in the operator's file, in discovery and in a fleet's view."""

from __future__ import annotations

MAX_PORT = 65535


def split_host_port(address: str, *, min_port: int = 1, max_digits: int | None = None) -> tuple[str, int]:
    """Return the host, and the port as a number. The host may contain colons, as IPv6 addresses do.

    Raise ValueError if the host is missing, if the port is not a decimal number from `min_port` to 65535, or
    if the port has more than `max_digits` digits.
    """
    host, _, digits = address.rpartition(":")
    is_decimal = digits.isascii() and digits.isdigit()
    too_long = max_digits is not None and len(digits) > max_digits
    if not host or not is_decimal or too_long or not min_port <= int(digits) <= MAX_PORT:
        raise ValueError(f"expected HOST:PORT, got {address!r}")
    return host, int(digits)
