"""Requests that arrive as a drain ends."""

from __future__ import annotations

import socket
import time
from typing import TYPE_CHECKING

import trio

from bronzequay.net import server
from tests.net.test_exchange import echo, start_server

if TYPE_CHECKING:
    import pytest

    from bronzequay.net import limits

ROUNDS = 20
"""Each round fails by chance: the event loop runs the tasks of one turn in either order."""
STALL_S = server.LAST_REQUEST_S + 0.02
REQUEST = b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"


async def call_while_finishing(monkeypatch: pytest.MonkeyPatch) -> bytes:
    """Send a request on a connection that the kernel has accepted; return the answer.

    The event loop is busy for a while between the end of accepting and the first read.
    """
    async with trio.open_nursery() as nursery:
        http_server, http_client = await start_server(nursery, echo)
        open_account = http_server.ledger.open

        def open_slowly(peer: str) -> limits.Account:
            time.sleep(STALL_S)  # stands for another task's work
            return open_account(peer)

        monkeypatch.setattr(http_server.ledger, "open", open_slowly)
        host, port = http_client.address.split(":")
        with socket.create_connection((host, int(port))) as sock:
            sock.sendall(REQUEST)
            await http_server.finish(2.0)
            sock.settimeout(1.0)
            answer = sock.recv(1000)
        nursery.cancel_scope.cancel()
    return answer


async def test_a_request_that_has_just_been_read_is_answered_at_the_end_of_a_drain(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a connection that counts as idle while its first bytes are handed over.

    ``receive_some`` takes bytes that are there already, then lets other tasks run. Until it returns
    the phase is IDLE and nothing waits to be read, so that ``finish`` closes the connection.
    """
    answers = [await call_while_finishing(monkeypatch) for _ in range(ROUNDS)]
    assert [answer[:12] for answer in answers] == [b"HTTP/1.1 200"] * ROUNDS
