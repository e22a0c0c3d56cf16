from __future__ import annotations

from typing import TYPE_CHECKING

import trio
import trio.testing

from bronzequay.peer import connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.peer import sockets

LIMITS = connection.Limits(heartbeat_s=1.0, silence_s=3.0, idle_s=15.0)


class StillLink:
    """Link on which nothing happens."""

    def close(self) -> None:
        """Do nothing."""


def make() -> connection.Connection:
    def open_link(_on_frames: Callable[[list[bytes]], None]) -> sockets.Link:
        return StillLink()  # type: ignore[return-value]

    return connection.Connection("tcp://x", open_link, on_stray=lambda _event: None)


def add_call(conn: connection.Connection) -> connection.Pending:
    pending = connection.Pending("tcp://x")
    conn.pending[pending.number] = pending
    return pending


async def test_silence_is_answered_by_a_ping_and_then_a_new_connection(
    autojump_clock: trio.testing.MockClock,
) -> None:
    conn = make()
    add_call(conn)
    seen = []
    for _ in range(4):
        seen.append(conn.judge(LIMITS))
        await trio.sleep(1.1)
    action = connection.Action
    assert seen == [action.NONE, action.PING, action.PING, action.REPLACE]


async def test_silence_counts_from_the_oldest_call_in_progress(
    autojump_clock: trio.testing.MockClock,
) -> None:
    conn = make()
    await trio.sleep(10.0)
    add_call(conn)
    assert conn.judge(LIMITS) is connection.Action.NONE


async def test_connection_without_calls_is_closed_after_a_while(
    autojump_clock: trio.testing.MockClock,
) -> None:
    conn = make()
    await trio.sleep(14.0)
    assert conn.judge(LIMITS) is connection.Action.NONE
    await trio.sleep(2.0)
    assert conn.judge(LIMITS) is connection.Action.CLOSE


async def test_own_freeze_is_not_taken_for_the_peers_silence(
    autojump_clock: trio.testing.MockClock,
) -> None:
    conn = make()
    add_call(conn)
    autojump_clock.jump(100.0)
    conn.forgive()
    assert conn.judge(LIMITS) is connection.Action.NONE
