from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing

from bronzequay import ids
from bronzequay.fakes import platform
from bronzequay.store import client, watch

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    Receive = trio.MemoryReceiveChannel[client.Change]

JOURNAL = client.Purpose.JOURNAL
BOUND_S = 8.0
HOUR_S = 3600.0


@contextlib.asynccontextmanager
async def watching(store: client.Store) -> AsyncIterator[watch.Watch]:
    watched = watch.Watch(store, prefix="w/")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watched.run)
        yield watched
        nursery.cancel_scope.cancel()


async def next_value(changes: Receive, within_s: float) -> bytes | None:
    with trio.fail_after(within_s):
        return (await changes.receive()).value


async def test_subscribers_get_the_changes_under_their_prefix(
    autojump_clock: trio.testing.MockClock, store: client.Store
) -> None:
    async with watching(store) as watched:
        ones = watched.subscribe("w/1")
        twos = watched.subscribe("w/2")
        await store.put("w/2", b"two", rev=client.ABSENT, purpose=JOURNAL)
        await store.put("w/1", b"one", rev=client.ABSENT, purpose=JOURNAL)
        assert await next_value(ones, 1.0) == b"one"
        assert await next_value(twos, 1.0) == b"two"
        with pytest.raises(trio.WouldBlock):
            ones.receive_nowait()


async def test_late_subscriber_gets_the_present_value(
    autojump_clock: trio.testing.MockClock, store: client.Store
) -> None:
    async with watching(store) as watched:
        await store.put("w/1", b"one", rev=client.ABSENT, purpose=JOURNAL)
        await trio.sleep(1.0)
        assert await next_value(watched.subscribe("w/1"), 0.1) == b"one"


async def test_change_arrives_through_a_cut_watch(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    async with watching(store) as watched:
        changes = watched.subscribe("w/")
        rev = await store.put("w/1", b"one", rev=client.ABSENT, purpose=JOURNAL)
        assert await next_value(changes, 1.0) == b"one"
        stand.set_faults(platform.Faults(watch_cut=True))
        await trio.sleep(30.0)
        rev = await store.put("w/1", b"two", rev=rev, purpose=JOURNAL)
        assert await next_value(changes, BOUND_S) == b"two"
        await store.delete("w/1", rev=rev, purpose=JOURNAL)
        assert await next_value(changes, BOUND_S) is None


async def test_watch_resumes_after_a_cut(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    async with watching(store) as watched:
        changes = watched.subscribe("w/")
        stand.set_faults(platform.Faults(watch_cut=True))
        await trio.sleep(60.0)
        stand.set_faults(platform.Faults())
        await trio.sleep(20.0)
        await store.put("w/1", b"one", rev=client.ABSENT, purpose=JOURNAL)
        assert await next_value(changes, 1.0) == b"one"


async def test_silent_watch_is_replaced(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    async with watching(store) as watched:
        changes = watched.subscribe("w/")
        await trio.sleep(1.0)
        stand.set_faults(platform.Faults(silent=True))
        await trio.sleep(20.0)
        stand.set_faults(platform.Faults())
        await store.put("w/1", b"one", rev=client.ABSENT, purpose=JOURNAL)
        assert await next_value(changes, 2 * BOUND_S) == b"one"


async def test_outage_of_an_hour_costs_few_calls_and_is_survived(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    async with watching(store) as watched:
        changes = watched.subscribe("w/")
        stand.set_faults(platform.Faults(down=True))
        await trio.sleep(HOUR_S)
        assert stand.calls.total() < HOUR_S / 2
        stand.set_faults(platform.Faults())
        await store.put("w/1", b"one", rev=client.ABSENT, purpose=JOURNAL)
        assert await next_value(changes, BOUND_S) == b"one"


async def test_idle_watch_makes_a_call_every_few_seconds(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    async with watching(store):
        await trio.sleep(100 * watch.WAIT_S)
        assert stand.calls.total() <= 102


class Scripted:
    """Store whose watch answers a script, then nothing."""

    def __init__(self, answers: list[client.Changes]) -> None:
        self._answers = answers

    async def changes(
        self,
        prefix: str,  # noqa: ARG002  # the store's signature
        *,
        after: ids.Revision,  # noqa: ARG002
        wait_s: float,  # noqa: ARG002
    ) -> client.Changes:
        if not self._answers:
            await trio.sleep_forever()
        return self._answers.pop(0)

    async def snapshot(
        self,
        prefix: str,  # noqa: ARG002
        *,
        purpose: client.Purpose,  # noqa: ARG002
    ) -> client.Changes:
        await trio.sleep_forever()
        raise AssertionError


def change(value: bytes | None, rev: int) -> client.Changes:
    found = client.Change(key="w/1", value=value, rev=ids.Revision(rev))
    return client.Changes(rev=ids.Revision(rev), changes=(found,))


async def test_delayed_older_event_is_dropped(autojump_clock: trio.testing.MockClock) -> None:
    script = [change(b"new", 7), change(b"old", 5), change(None, 6), change(b"newer", 8)]
    watched = watch.Watch(Scripted(script), prefix="w/")
    changes = watched.subscribe("w/")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(watched.run)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert [changes.receive_nowait().value for _ in range(2)] == [b"new", b"newer"]
    with pytest.raises(trio.WouldBlock):
        changes.receive_nowait()


async def test_subscriber_that_left_does_not_stop_the_others(
    autojump_clock: trio.testing.MockClock, store: client.Store
) -> None:
    async with watching(store) as watched:
        watched.subscribe("w/").close()
        changes = watched.subscribe("w/")
        await store.put("w/1", b"one", rev=client.ABSENT, purpose=JOURNAL)
        assert await next_value(changes, 1.0) == b"one"
