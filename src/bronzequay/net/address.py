"""Addresses of TCP sockets, written ``IP:PORT``."""

from __future__ import annotations

import ipaddress
import re

MAX_PORT = 65_535
_PORT = re.compile(r"[0-9]{1,5}")


def parse(text: str) -> tuple[str, int]:
    """Return the IPv4 address and the port.

    :raises ValueError: the text is not an address that can be connected to
    """
    host, _, port = text.rpartition(":")
    if _PORT.fullmatch(port) is None or not 1 <= int(port) <= MAX_PORT:
        raise ValueError(f"the port of {text!r} must be a number from 1 to {MAX_PORT}")
    return str(ipaddress.IPv4Address(host)), int(port)


def is_valid(text: str) -> bool:
    """Return whether a text is an address that can be connected to."""
    try:
        parse(text)
    except ValueError:
        return False
    return True


__all__ = ["is_valid", "parse"]
