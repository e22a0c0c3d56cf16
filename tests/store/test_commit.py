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
MAX = client.MAX_VALUE_BYTES


@contextlib.asynccontextmanager
async def committing(
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
    async with committing(store) as group:
        revs = await submit_all(group, [b"x"] * 100)
        assert await value_of(store) == b"x" * 100
    assert set(revs) == {1}
    assert stand.calls["PUT kv"] == 1


async def test_writes_stay_bounded_whatever_the_rate(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    async with committing(store) as group, trio.open_nursery() as nursery:
        for _ in range(2000):
            await trio.sleep(0.0005)
            nursery.start_soon(submit, group, b"x", [])
    assert await value_of(store) == b"x" * 2000
    assert stand.calls["PUT kv"] <= 1.1 / commit.PERIOD_S


async def test_conflict_is_read_again_and_applied_again(
    autojump_clock: trio.testing.MockClock,
    new_store: Callable[[str], client.Store],
) -> None:
    one, two = new_store("entry-1"), new_store("entry-2")
    async with committing(one) as first, committing(two) as second, trio.open_nursery() as nursery:
        for number in range(20):
            nursery.start_soon(submit, first, b"1", [])
            nursery.start_soon(submit, second, b"2", [])
            await trio.sleep(0.002 * (number % 3))
    value = await value_of(one)
    assert value is not None
    assert sorted(value) == sorted(b"1" * 20 + b"2" * 20)


async def test_conflict_of_a_fenced_key_is_final(
    autojump_clock: trio.testing.MockClock,
    new_store: Callable[[str], client.Store],
) -> None:
    one, two = new_store("entry-1"), new_store("entry-2")
    async with committing(one, commit.OnConflict.FENCED) as group:
        await group.submit("a", append(b"1"), purpose=JOURNAL)
        entry = await two.get("a", purpose=JOURNAL)
        assert entry is not None
        await two.put("a", b"new epoch", rev=entry.rev, purpose=JOURNAL)
        results = [*await submit_all(group, [b"2"]), *await submit_all(group, [b"3"])]
    assert results == [codes.ResultCode.FENCED, codes.ResultCode.FENCED]
    assert await value_of(one) == b"new epoch"


async def test_update_that_fails_leaves_the_others(
    autojump_clock: trio.testing.MockClock, store: client.Store
) -> None:
    def refuse(_value: bytes | None) -> bytes:
        raise errors.BronzequayError(codes.ResultCode.KEY_REUSED, "no")

    async with committing(store) as group, trio.open_nursery() as nursery:
        nursery.start_soon(submit, group, b"x", [])
        with pytest.raises(errors.BronzequayError) as caught:
            await group.submit("a", refuse, purpose=JOURNAL)
    assert caught.value.code is codes.ResultCode.KEY_REUSED
    assert await value_of(store) == b"x"


async def test_update_that_outgrows_the_value_is_refused_alone(
    autojump_clock: trio.testing.MockClock, store: client.Store
) -> None:
    async with committing(store) as group:
        results = await submit_all(group, [b"x", b"y" * (MAX + 1), b"z"])
    assert sorted(results) == [1, 1, codes.ResultCode.VALUE_TOO_LARGE]
    assert sorted(await value_of(store) or b"") == sorted(b"xz")


async def test_lost_answers_neither_lose_nor_double_updates(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    stand.set_faults(platform.Faults(lose_answers=0.4, late_effect_s=0.02))
    async with committing(store) as group:
        for number in range(30):
            await group.submit("a", append(bytes([number])), purpose=JOURNAL)
    assert await value_of(store) == bytes(range(30))


async def test_unknown_outcome_is_told_to_the_whole_group(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    async with committing(store) as group:
        await group.submit("a", append(b"x"), purpose=JOURNAL)
        stand.set_faults(platform.Faults(silent=True))
        assert await submit_all(group, [b"y"] * 3) == [codes.ResultCode.STORE_TIMEOUT] * 3
        stand.set_faults(platform.Faults())
        await group.submit("a", append(b"z"), purpose=JOURNAL)
    assert await value_of(store) == b"xz"


async def test_cancelled_update_that_has_not_begun_is_not_written(
    autojump_clock: trio.testing.MockClock, store: client.Store
) -> None:
    async with committing(store) as group:
        with trio.move_on_after(commit.PERIOD_S / 2):
            await group.submit("a", append(b"x"), purpose=JOURNAL)
        await group.submit("a", append(b"y"), purpose=JOURNAL)
    assert await value_of(store) == b"y"


async def test_updates_of_a_stopped_group_are_refused(
    autojump_clock: trio.testing.MockClock, store: client.Store
) -> None:
    results: list[codes.ResultCode | int] = []
    async with trio.open_nursery() as nursery:
        async with committing(store) as group:
            nursery.start_soon(submit, group, b"x", results)
            await trio.sleep(commit.PERIOD_S / 2)
        await submit(group, b"y", results)
    assert results == [codes.ResultCode.SHUTTING_DOWN] * 2
    assert await value_of(store) is None
