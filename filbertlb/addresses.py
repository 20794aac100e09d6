"""Addresses of the form ``host:port``, also those that others wrote."""

from __future__ import annotations

from re import ASCII
from re import compile as compile_pattern

from filbertlb.errors import InvalidInputError
from filbertlb.ranges import MAX_PORT

MAX_HOST_LENGTH = 253
_LABEL = r"[\w-]{1,63}"
_ADDRESS = compile_pattern(
    rf"({_LABEL}(?:\.{_LABEL})*|\[[0-9A-Fa-f:.]+\]):([0-9]{{1,5}})", ASCII
)


class InvalidAddressError(InvalidInputError):
    """A text is no host with a port that can be called."""

    code = "invalid_address"


def split_address(address: str) -> tuple[str, int]:
    """Split ``host:port`` into host and port.

    Raises
    ------
    InvalidAddressError
        If the text has no such form or its port is out of range.
    """
    match = _ADDRESS.fullmatch(address)
    host = match[1] if match else ""
    port = int(match[2]) if match else MAX_PORT + 1
    if not host or len(host) > MAX_HOST_LENGTH or port > MAX_PORT:
        raise InvalidAddressError(
            f"address {address[:80]!r} is not HOST:PORT with a port from 0 "
            f"to {MAX_PORT}"
        )
    return host, port


def decode_address(text: bytes) -> str:
    """Decode an address that another process has stored.

    Raises
    ------
    InvalidAddressError
        If it is not the UTF-8 of a valid address.
    """
    address = text.decode(errors="replace")
    split_address(address)
    return address
