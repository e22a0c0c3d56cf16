from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import pytest
import trio
import trio.testing

from bronzequay import codes, errors, ids
from bronzequay.fakes import platform
from bronzequay.store import client, commit

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable

JOURNAL = client.Purpose.JOURNAL
MAX_BYTES = client.MAX_VALUE_BYTES


@contextlib.asynccontextmanager
async def running_group(
    store: client.Store, on_conflict: commit.OnConflict = commit.OnConflict.REAPPLY
) -> AsyncIterator[commit.GroupCommit]:
    group = commit.GroupCommit(store, on_conflict=on_conflict)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(group.run)
        yield group
        nursery.cancel_scope.cancel()


def append(text: bytes) -> Callable[[bytes | None], bytes]:
    return lambda value: (value or b"") + text


async def value_of(store: client.Store, key: str = "a") -> bytes | None:
    entry = await store.get(key, purpose=client.Purpose.READ)
    return None if entry is None else entry.value


async def submit(
    group: commit.GroupCommit, text: bytes, results: list[codes.ResultCode | int]
) -> None:
    try:
        results.append(await group.submit("a", append(text), purpose=JOURNAL))
    except errors.BronzequayError as exc:
        results.append(exc.code)


async def submit_all(group: commit.GroupCommit, texts: list[bytes]) -> list[ids.Revision | int]:
    results: list[codes.ResultCode | int] = []
    async with trio.open_nursery() as nursery:
        for text in texts:
            nursery.start_soon(submit, group, text, results)
    return list(results)


async def test_concurrent_updates_share_a_write(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    async with running_group(store) as group:
        revs = await submit_all(group, [b"x"] * 100)
        assert await value_of(store) == b"x" * 100
    assert set(revs) == {1}
    assert stand.calls["PUT kv"] == 1


async def test_write_rate_is_bounded_at_any_update_rate(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    async with running_group(store) as group, trio.open_nursery() as nursery:
        for _ in range(2000):
            await trio.sleep(0.0005)
            nursery.start_soon(submit, group, b"x", [])
    assert await value_of(store) == b"x" * 2000
    assert stand.calls["PUT kv"] <= 1.1 / commit.PERIOD_S


async def test_conflicting_updates_are_reapplied_to_the_new_value(
    autojump_clock: trio.testing.MockClock,
    new_store: Callable[[str], client.Store],
) -> None:
    store_1, store_2 = new_store("entry-1"), new_store("entry-2")
    async with (
        running_group(store_1) as group_1,
        running_group(store_2) as group_2,
        trio.open_nursery() as nursery,
    ):
        for number in range(20):
            nursery.start_soon(submit, group_1, b"1", [])
            nursery.start_soon(submit, group_2, b"2", [])
            await trio.sleep(0.002 * (number % 3))
    value = await value_of(store_1)
    assert value is not None
    assert sorted(value) == sorted(b"1" * 20 + b"2" * 20)


async def test_conflict_on_a_fenced_key_is_final(
    autojump_clock: trio.testing.MockClock,
    new_store: Callable[[str], client.Store],
) -> None:
    store_1, store_2 = new_store("entry-1"), new_store("entry-2")
    async with running_group(store_1, commit.OnConflict.FENCED) as group:
        await group.submit("a", append(b"1"), purpose=JOURNAL)
        entry = await store_2.get("a", purpose=JOURNAL)
        assert entry is not None
        await store_2.put("a", b"new epoch", rev=entry.rev, purpose=JOURNAL)
        results = [*await submit_all(group, [b"2"]), *await submit_all(group, [b"3"])]
    assert results == [codes.ResultCode.FENCED, codes.ResultCode.FENCED]
    assert await value_of(store_1) == b"new epoch"


async def test_failed_update_does_not_affect_the_others(
    autojump_clock: trio.testing.MockClock, store: client.Store
) -> None:
    def refuse(_value: bytes | None) -> bytes:
        raise errors.BronzequayError(codes.ResultCode.KEY_REUSED, "no")

    async with running_group(store) as group, trio.open_nursery() as nursery:
        nursery.start_soon(submit, group, b"x", [])
        with pytest.raises(errors.BronzequayError) as exc_info:
            await group.submit("a", refuse, purpose=JOURNAL)
    assert exc_info.value.code is codes.ResultCode.KEY_REUSED
    assert await value_of(store) == b"x"


async def test_only_the_update_that_makes_the_value_too_large_is_refused(
    autojump_clock: trio.testing.MockClock, store: client.Store
) -> None:
    async with running_group(store) as group:
        results = await submit_all(group, [b"x", b"y" * (MAX_BYTES + 1), b"z"])
    assert sorted(results) == [1, 1, codes.ResultCode.VALUE_TOO_LARGE]
    assert sorted(await value_of(store) or b"") == sorted(b"xz")


async def test_lost_answers_neither_lose_nor_repeat_updates(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    stand.set_faults(platform.Faults(lose_answers=0.4, late_effect_s=0.02))
    async with running_group(store) as group:
        for number in range(30):
            await group.submit("a", append(bytes([number])), purpose=JOURNAL)
    assert await value_of(store) == bytes(range(30))


async def test_unknown_outcome_is_reported_to_all_updates_of_a_write(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    async with running_group(store) as group:
        await group.submit("a", append(b"x"), purpose=JOURNAL)
        stand.set_faults(platform.Faults(silent=True))
        assert await submit_all(group, [b"y"] * 3) == [codes.ResultCode.STORE_TIMEOUT] * 3
        stand.set_faults(platform.Faults())
        await group.submit("a", append(b"z"), purpose=JOURNAL)
    assert await value_of(store) == b"xz"


async def test_update_cancelled_before_its_write_is_not_written(
    autojump_clock: trio.testing.MockClock, store: client.Store
) -> None:
    async with running_group(store) as group:
        with trio.move_on_after(commit.PERIOD_S / 2):
            await group.submit("a", append(b"x"), purpose=JOURNAL)
        await group.submit("a", append(b"y"), purpose=JOURNAL)
    assert await value_of(store) == b"y"


async def test_updates_of_a_stopped_group_are_refused(
    autojump_clock: trio.testing.MockClock, store: client.Store
) -> None:
    results: list[codes.ResultCode | int] = []
    async with trio.open_nursery() as nursery:
        async with running_group(store) as group:
            nursery.start_soon(submit, group, b"x", results)
            await trio.sleep(commit.PERIOD_S / 2)
        await submit(group, b"y", results)
    assert results == [codes.ResultCode.SHUTTING_DOWN] * 2
    assert await value_of(store) is None
