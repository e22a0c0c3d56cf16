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

    ChangeChannel = trio.MemoryReceiveChannel[client.Change]

JOURNAL = client.Purpose.JOURNAL
MAX_DELAY_S = 8.0
HOUR_S = 3600.0


@contextlib.asynccontextmanager
async def running_watch(store: client.Store) -> AsyncIterator[watch.Watch]:
    store_watch = watch.Watch(store, prefix="w/")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(store_watch.run)
        yield store_watch
        nursery.cancel_scope.cancel()


async def next_value(changes: ChangeChannel, within_s: float) -> bytes | None:
    with trio.fail_after(within_s):
        return (await changes.receive()).value


async def test_subscribers_get_the_changes_under_their_prefix(
    autojump_clock: trio.testing.MockClock, store: client.Store
) -> None:
    async with running_watch(store) as store_watch:
        changes_1 = store_watch.subscribe("w/1")
        changes_2 = store_watch.subscribe("w/2")
        await store.put("w/2", b"two", rev=client.ABSENT, purpose=JOURNAL)
        await store.put("w/1", b"one", rev=client.ABSENT, purpose=JOURNAL)
        assert await next_value(changes_1, 1.0) == b"one"
        assert await next_value(changes_2, 1.0) == b"two"
        with pytest.raises(trio.WouldBlock):
            changes_1.receive_nowait()


async def test_late_subscriber_gets_the_current_value(
    autojump_clock: trio.testing.MockClock, store: client.Store
) -> None:
    async with running_watch(store) as store_watch:
        await store.put("w/1", b"one", rev=client.ABSENT, purpose=JOURNAL)
        await trio.sleep(1.0)
        assert await next_value(store_watch.subscribe("w/1"), 0.1) == b"one"


async def test_change_arrives_while_watches_fail(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    async with running_watch(store) as store_watch:
        changes = store_watch.subscribe("w/")
        rev = await store.put("w/1", b"one", rev=client.ABSENT, purpose=JOURNAL)
        assert await next_value(changes, 1.0) == b"one"
        stand.set_faults(platform.Faults(watch_cut=True))
        await trio.sleep(30.0)
        rev = await store.put("w/1", b"two", rev=rev, purpose=JOURNAL)
        assert await next_value(changes, MAX_DELAY_S) == b"two"
        await store.delete("w/1", rev=rev, purpose=JOURNAL)
        assert await next_value(changes, MAX_DELAY_S) is None


async def test_watch_resumes_after_watches_failed(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    async with running_watch(store) as store_watch:
        changes = store_watch.subscribe("w/")
        stand.set_faults(platform.Faults(watch_cut=True))
        await trio.sleep(60.0)
        stand.set_faults(platform.Faults())
        await trio.sleep(20.0)
        await store.put("w/1", b"one", rev=client.ABSENT, purpose=JOURNAL)
        assert await next_value(changes, 1.0) == b"one"


async def test_silent_watch_is_replaced(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    async with running_watch(store) as store_watch:
        changes = store_watch.subscribe("w/")
        await trio.sleep(1.0)
        stand.set_faults(platform.Faults(silent=True))
        await trio.sleep(20.0)
        stand.set_faults(platform.Faults())
        await store.put("w/1", b"one", rev=client.ABSENT, purpose=JOURNAL)
        assert await next_value(changes, 2 * MAX_DELAY_S) == b"one"


async def test_outage_of_an_hour_costs_few_calls_and_ends_in_recovery(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    async with running_watch(store) as store_watch:
        changes = store_watch.subscribe("w/")
        stand.set_faults(platform.Faults(down=True))
        await trio.sleep(HOUR_S)
        assert stand.calls.total() < HOUR_S / 2
        stand.set_faults(platform.Faults())
        await store.put("w/1", b"one", rev=client.ABSENT, purpose=JOURNAL)
        assert await next_value(changes, MAX_DELAY_S) == b"one"


async def test_idle_watch_makes_one_call_per_long_poll(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    async with running_watch(store):
        await trio.sleep(100 * watch.LONG_POLL_S)
        assert stand.calls.total() <= 102


class ScriptedStore:
    """Store whose watch returns scripted answers and then blocks."""

    def __init__(self, answers: list[client.Changes]) -> None:
        self._answers = answers

    async def poll_changes(
        self,
        prefix: str,  # noqa: ARG002  # signature of the store
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
    key_change = client.Change(key="w/1", value=value, rev=ids.Revision(rev))
    return client.Changes(rev=ids.Revision(rev), changes=(key_change,))


async def test_delayed_older_event_is_dropped(autojump_clock: trio.testing.MockClock) -> None:
    script = [change(b"new", 7), change(b"old", 5), change(None, 6), change(b"newer", 8)]
    store_watch = watch.Watch(ScriptedStore(script), prefix="w/")
    changes = store_watch.subscribe("w/")
    async with trio.open_nursery() as nursery:
        nursery.start_soon(store_watch.run)
        await trio.sleep(1.0)
        nursery.cancel_scope.cancel()
    assert [changes.receive_nowait().value for _ in range(2)] == [b"new", b"newer"]
    with pytest.raises(trio.WouldBlock):
        changes.receive_nowait()


async def test_closed_subscriber_does_not_stop_the_others(
    autojump_clock: trio.testing.MockClock, store: client.Store
) -> None:
    async with running_watch(store) as store_watch:
        store_watch.subscribe("w/").close()
        changes = store_watch.subscribe("w/")
        await store.put("w/1", b"one", rev=client.ABSENT, purpose=JOURNAL)
        assert await next_value(changes, 1.0) == b"one"
