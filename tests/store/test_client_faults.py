"""Calls whose answers are lost, late or refused."""

from __future__ import annotations

from typing import TYPE_CHECKING

import httpx
import pytest
import trio
import trio.testing

from bronzequay import codes, errors, ids
from bronzequay.fakes import platform
from bronzequay.store import client

if TYPE_CHECKING:
    from collections.abc import Callable

READ = client.Purpose.READ
JOURNAL = client.Purpose.JOURNAL


async def code_of(call: object) -> codes.ResultCode:
    with pytest.raises(errors.BronzequayError) as exc_info:
        await call  # type: ignore[misc]
    return exc_info.value.code


class LoseFirstAnswer:
    """Random source for the platform that loses only the answer of the first write."""

    def __init__(self) -> None:
        self.draws = 0

    def random(self) -> float:
        self.draws += 1
        return 0.0 if self.draws == 1 else 1.0


def lose_first_answer(stand: platform.Fake, *, late_effect_s: float = 0.0) -> None:
    stand.rng = LoseFirstAnswer()  # type: ignore[assignment]
    stand.set_faults(platform.Faults(lose_answers=0.5, late_effect_s=late_effect_s))


async def test_lost_answer_is_read_back(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    first_rev = await store.put("a", b"one", rev=client.ABSENT, purpose=JOURNAL)
    lose_first_answer(stand)
    rev = await store.put("a", b"two", rev=first_rev, purpose=JOURNAL)
    assert await store.get("a", purpose=READ) == client.Entry("a", b"two", rev)
    assert stand.state.rev == rev == 2


async def test_lost_answer_of_a_creation_is_read_back(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    lose_first_answer(stand)
    rev = await store.put("a", b"one", rev=client.ABSENT, purpose=JOURNAL)
    assert (rev, stand.state.rev) == (1, 1)


async def test_write_superseded_before_its_read_back_is_recognised(
    autojump_clock: trio.testing.MockClock,
    new_store: Callable[[str], client.Store],
    stand: platform.Fake,
) -> None:
    store_1, store_2 = new_store("entry-1"), new_store("entry-2")
    first_rev = await store_1.put("a", b"0", rev=client.ABSENT, purpose=JOURNAL)
    lose_first_answer(stand)

    async def overwrite() -> None:
        await trio.sleep(0.9)
        stand.set_faults(platform.Faults())
        entry = await store_2.get("a", purpose=READ)
        assert entry is not None
        await store_2.put("a", b"2", rev=entry.rev, purpose=JOURNAL)

    stand.faults.delay_s = 1.5
    async with trio.open_nursery() as nursery:
        nursery.start_soon(overwrite)
        rev = await store_1.put("a", b"1", rev=first_rev, purpose=JOURNAL)
    assert rev == 2
    entry = await store_1.get("a", purpose=READ)
    assert entry is not None
    assert (entry.value, entry.rev) == (b"2", 3)


async def test_write_that_takes_effect_after_its_timeout_is_not_applied_twice(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    first_rev = await store.put("a", b"0", rev=client.ABSENT, purpose=JOURNAL)
    lose_first_answer(stand, late_effect_s=0.01)
    rev = await store.put("a", b"1", rev=first_rev, purpose=JOURNAL)
    await trio.sleep(10)
    await store.get("a", purpose=READ)
    assert (rev, stand.state.rev) == (2, 2)


async def test_lost_race_after_a_lost_answer_is_a_conflict(
    autojump_clock: trio.testing.MockClock,
    new_store: Callable[[str], client.Store],
    stand: platform.Fake,
) -> None:
    store_1, store_2 = new_store("entry-1"), new_store("entry-2")
    first_rev = await store_1.put("a", b"0", rev=client.ABSENT, purpose=JOURNAL)
    lose_first_answer(stand, late_effect_s=30.0)
    stand.faults.delay_s = 0.0
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_put_after_delay, store_2, first_rev)
        code = await code_of(store_1.put("a", b"1", rev=first_rev, purpose=JOURNAL))
    assert code is codes.ResultCode.STORE_CONFLICT
    assert stand.state.rev == 2


async def _put_after_delay(store: client.Store, rev: int) -> None:
    await trio.sleep(0.0001)
    await store.put("a", b"other", rev=rev, purpose=JOURNAL)  # type: ignore[arg-type]


async def test_outage_after_a_lost_answer_is_reported_as_unknown(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    stand.set_faults(platform.Faults(lose_answers=1.0))

    async def start_outage() -> None:
        await trio.sleep(0.15)
        stand.set_faults(platform.Faults(down=True))

    stand.faults.delay_s = 0.2
    async with trio.open_nursery() as nursery:
        nursery.start_soon(start_outage)
        with pytest.raises(errors.BronzequayError) as exc_info:
            await store.put("a", b"1", rev=client.ABSENT, purpose=JOURNAL)
    assert exc_info.value.code is codes.ResultCode.STORE_TIMEOUT
    assert "unknown" in exc_info.value.message


async def test_outage_from_the_start_is_reported_as_not_written(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    stand.set_faults(platform.Faults(down=True))
    code = await code_of(store.put("a", b"1", rev=client.ABSENT, purpose=JOURNAL))
    assert code is codes.ResultCode.STORE_UNAVAILABLE
    assert stand.state.rev == 0


async def test_write_succeeds_after_a_short_outage(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    stand.set_faults(platform.Faults(down=True))

    async def end_outage() -> None:
        await trio.sleep(0.2)
        stand.set_faults(platform.Faults())

    async with trio.open_nursery() as nursery:
        nursery.start_soon(end_outage)
        assert await store.put("a", b"1", rev=client.ABSENT, purpose=JOURNAL) == 1


async def test_write_waits_for_a_slow_store(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    stand.set_faults(platform.Faults(delay_s=3.0))
    rev = await store.put("a", b"1", rev=client.ABSENT, purpose=JOURNAL)
    assert await store.get("a", purpose=READ) == client.Entry("a", b"1", rev)
    assert stand.state.rev == 1


async def test_call_ends_within_the_callers_deadline(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    stand.set_faults(platform.Faults(silent=True))
    started_s = trio.current_time()
    with trio.fail_after(2.0):
        code = await code_of(store.put("a", b"1", rev=client.ABSENT, purpose=JOURNAL))
    assert code is codes.ResultCode.STORE_TIMEOUT
    assert trio.current_time() - started_s < 2.0


async def test_retries_of_many_calls_stay_within_the_retry_budget(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    stand.set_faults(platform.Faults(down=True))
    async with trio.open_nursery() as nursery:
        for _ in range(200):
            nursery.start_soon(code_of, store.get("a", purpose=READ))
    assert stand.calls["GET kv"] < 300


async def test_creation_deleted_before_its_read_back_is_not_repeated(
    autojump_clock: trio.testing.MockClock,
    new_store: Callable[[str], client.Store],
    stand: platform.Fake,
) -> None:
    store_1, store_2 = new_store("entry-1"), new_store("entry-2")
    await store_1.put("other", b"", rev=client.ABSENT, purpose=JOURNAL)
    lose_first_answer(stand)
    stand.faults.delay_s = 1.5

    async def delete() -> None:
        await trio.sleep(0.9)
        stand.set_faults(platform.Faults())
        entry = await store_2.get("a", purpose=READ)
        assert entry is not None
        await store_2.delete("a", rev=entry.rev, purpose=JOURNAL)

    async with trio.open_nursery() as nursery:
        nursery.start_soon(delete)
        code = await code_of(store_1.put("a", b"1", rev=client.ABSENT, purpose=JOURNAL))
    assert code is codes.ResultCode.STORE_TIMEOUT
    assert await store_1.get("a", purpose=READ) is None


async def test_lost_answer_of_a_deletion_is_resolved(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    rev = await store.put("a", b"1", rev=client.ABSENT, purpose=JOURNAL)
    lose_first_answer(stand)
    await store.delete("a", rev=rev, purpose=JOURNAL)
    assert await store.get("a", purpose=READ) is None


async def test_deletion_at_a_stale_revision_is_a_conflict(
    autojump_clock: trio.testing.MockClock, new_store: Callable[[str], client.Store]
) -> None:
    store_1, store_2 = new_store("entry-1"), new_store("entry-2")
    rev = await store_1.put("a", b"1", rev=client.ABSENT, purpose=JOURNAL)
    await store_2.put("a", b"2", rev=rev, purpose=JOURNAL)
    code = await code_of(store_1.delete("a", rev=rev, purpose=JOURNAL))
    assert code is codes.ResultCode.STORE_CONFLICT


async def test_value_without_a_history_header_is_read_unchanged(
    autojump_clock: trio.testing.MockClock, store: client.Store, stand: platform.Fake
) -> None:
    rev = stand.state.put("a", b"raw", rev=0, lease=None)
    assert await store.get("a", purpose=READ) == client.Entry("a", b"raw", rev)  # type: ignore[arg-type]


@pytest.mark.parametrize("answer", [httpx.Response(500), httpx.Response(200, content=b"garbage")])
async def test_answer_without_an_outcome_is_reported_as_unknown(
    autojump_clock: trio.testing.MockClock, answer: httpx.Response
) -> None:
    def handle(request: httpx.Request) -> httpx.Response:
        return answer if request.method == "PUT" else httpx.Response(503)

    store = client.Store(
        base_url="http://platform",
        instance=ids.InstanceId("entry-1"),
        http=httpx.AsyncClient(transport=httpx.MockTransport(handle)),
    )
    code = await code_of(store.put("a", b"1", rev=client.ABSENT, purpose=JOURNAL))
    assert code is codes.ResultCode.STORE_TIMEOUT
