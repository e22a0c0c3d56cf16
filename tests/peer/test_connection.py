from __future__ import annotations

from typing import TYPE_CHECKING

import trio
import trio.testing

from bronzequay.peer import connection

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.peer import sockets

LIMITS = connection.Limits(heartbeat_s=1.0, silence_s=3.0, idle_s=15.0)


class IdleLink:
    """Link on which nothing happens."""

    def close(self) -> None:
        """Do nothing."""


def make_connection() -> connection.Connection:
    def open_link(_on_frames: Callable[[list[bytes]], None]) -> sockets.Link:
        return IdleLink()  # type: ignore[return-value]

    return connection.Connection("tcp://x", open_link, on_dropped_message=lambda _reason: None)


def add_call(conn: connection.Connection) -> connection.PendingCall:
    pending = connection.PendingCall("tcp://x")
    conn.pending[pending.number] = pending
    return pending


async def test_silence_leads_to_a_ping_and_then_to_replacement(
    autojump_clock: trio.testing.MockClock,
) -> None:
    conn = make_connection()
    add_call(conn)
    actions = []
    for _ in range(4):
        actions.append(conn.next_action(LIMITS))
        await trio.sleep(1.1)
    action = connection.Action
    assert actions == [action.NONE, action.PING, action.PING, action.REPLACE]


async def test_silence_counts_from_the_oldest_call_in_progress(
    autojump_clock: trio.testing.MockClock,
) -> None:
    conn = make_connection()
    await trio.sleep(10.0)
    add_call(conn)
    assert conn.next_action(LIMITS) is connection.Action.NONE


async def test_connection_without_calls_is_closed_after_the_idle_time(
    autojump_clock: trio.testing.MockClock,
) -> None:
    conn = make_connection()
    await trio.sleep(14.0)
    assert conn.next_action(LIMITS) is connection.Action.NONE
    await trio.sleep(2.0)
    assert conn.next_action(LIMITS) is connection.Action.CLOSE


async def test_freeze_of_this_process_does_not_count_as_silence_of_the_peer(
    autojump_clock: trio.testing.MockClock,
) -> None:
    conn = make_connection()
    add_call(conn)
    autojump_clock.jump(100.0)
    conn.reset_silence()
    assert conn.next_action(LIMITS) is connection.Action.NONE
