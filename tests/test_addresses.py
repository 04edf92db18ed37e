"""The parser of HOST:PORT, and its errors for invalid addresses."""

from __future__ import annotations

import pytest

from honeyhitch.addresses import split_host_port


@pytest.mark.parametrize(
    ("address", "expected"),
    [
        pytest.param("127.0.0.1:80", ("127.0.0.1", 80), id="an IPv4 address"),
        pytest.param("::1:65535", ("::1", 65535), id="the last colon divides"),
        pytest.param("agent:000080", ("agent", 80), id="leading zeros"),
    ],
)
def test_host_and_port_are_split(address: str, expected: tuple[str, int]) -> None:
    assert split_host_port(address) == expected


@pytest.mark.parametrize(
    "address", ["", ":80", "agent", "agent:", "agent:0", "agent:65536", "agent:-1", "a:٣"]
)
def test_an_address_that_is_no_host_and_port_is_refused(address: str) -> None:
    with pytest.raises(ValueError, match="expected HOST:PORT"):
        split_host_port(address)


def test_a_caller_may_allow_port_0_and_limit_the_digits() -> None:
    assert split_host_port("agent:0", min_port=0, max_digits=5) == ("agent", 0)
    with pytest.raises(ValueError, match="expected HOST:PORT"):
        split_host_port("agent:000080", min_port=0, max_digits=5)
