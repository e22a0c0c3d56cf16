"""Entries and answers of others: none of them ends a term."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest
import trio

if TYPE_CHECKING:
    from trio.testing import MockClock

    from tests.control.site import Site

FOREIGN: dict[str, Any] = {
    "service": "thumbnailer",
    "addr": "10.9.0.1:80",
    "state": "ready",
    "capacity": {"cpu": 2000, "memMb": 512, "gpu": 0},
    "labels": ["a", "r9"],
    "born": 1,
}


def encode(**changes: object) -> bytes:
    return json.dumps({**FOREIGN, **changes}).encode()


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("servers/thumb-0", encode(addr="unix:/run/thumbnailer/0.sock")),
        ("servers/thumb-0", encode(addr="10.9.0.1:99999")),
        ("servers/thumb-0", b'{"x":' + b"[" * 3000),
        ("servers/thumb-\u4e00", encode()),
        ("servers/thumb\r\nX: y", encode()),
        ("servers/", encode()),
    ],
)
async def test_an_entry_of_another_writer_does_not_end_the_term(
    autojump_clock: MockClock, site: Site, key: str, value: bytes
) -> None:
    """Guards against one entry of another writer that ends all scheduling."""
    site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_for(site.submit(), "completed", timeout_s=5.0)
    term = site.terms["a"]
    site.kv.put(key, value)
    await trio.sleep(1.0)
    await site.wait_for(site.submit(), "completed", timeout_s=5.0)
    site.kv.delete(key)
    await trio.sleep(2.0)
    assert site.terms["a"] is term
