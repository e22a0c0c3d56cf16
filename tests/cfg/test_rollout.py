from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay import codes, errors, ids
from bronzequay.cfg import rollout
from bronzequay.fakes import platform

if TYPE_CHECKING:
    from bronzequay.store import client


def bundle_text(number: int) -> bytes:
    return f'format = 1\n[[organisation]]\nid = "org-{number}"\n'.encode()


async def submit_signed_draft(store: client.Store, number: int) -> str:
    draft = await rollout.submit_draft(
        store, bundle_text(number), author="olga", wall_clock=wall_time
    )
    await rollout.request_review(store, draft.digest, operator="olga")
    await rollout.sign_off(store, draft.digest, operator="rafael")
    return draft.digest


def wall_time() -> float:
    return 1_000.0


async def roll_out(store: client.Store, digest: str, expected: int) -> rollout.HeadEntry:
    return await rollout.roll_out(
        store, digest, expected=ids.BundleVersion(expected), wall_clock=wall_time
    )


async def test_versions_increase_and_record_author_and_reviewer(
    store: client.Store, autojump_clock: trio.testing.MockClock
) -> None:
    first = await roll_out(store, await submit_signed_draft(store, 1), 0)
    second = await roll_out(store, await submit_signed_draft(store, 2), 1)
    assert (first.version, second.version) == (1, 2)
    assert (second.author, second.signed_by) == ("olga", "rafael")
    history = await rollout.read_history(store)
    assert [item.version for item in history] == [1, 2]


async def test_an_author_cannot_sign_off_their_own_draft(
    store: client.Store, autojump_clock: trio.testing.MockClock
) -> None:
    draft = await rollout.submit_draft(store, bundle_text(1), author="olga", wall_clock=wall_time)
    await rollout.request_review(store, draft.digest, operator="olga")
    with pytest.raises(errors.BronzequayError) as caught:
        await rollout.sign_off(store, draft.digest, operator="olga")
    assert caught.value.code is codes.ResultCode.FORBIDDEN


async def test_a_draft_without_sign_off_is_not_rolled_out(
    store: client.Store, autojump_clock: trio.testing.MockClock
) -> None:
    draft = await rollout.submit_draft(store, bundle_text(1), author="olga", wall_clock=wall_time)
    with pytest.raises(errors.BronzequayError) as caught:
        await roll_out(store, draft.digest, 0)
    assert caught.value.code is codes.ResultCode.SIGN_OFF_REQUIRED


async def test_of_concurrent_roll_outs_one_succeeds_and_the_others_get_a_conflict(
    store: client.Store, autojump_clock: trio.testing.MockClock
) -> None:
    digests = [await submit_signed_draft(store, number) for number in range(4)]
    results: list[object] = []

    async def try_roll_out(digest: str) -> None:
        try:
            results.append(await roll_out(store, digest, 0))
        except errors.BronzequayError as exc:
            results.append(exc.code)

    async with trio.open_nursery() as nursery:
        for digest in digests:
            nursery.start_soon(try_roll_out, digest)
    succeeded = [item for item in results if isinstance(item, rollout.HeadEntry)]
    assert len(succeeded) == 1
    assert results.count(codes.ResultCode.BUNDLE_CONFLICT) == len(digests) - 1
    assert len(await rollout.read_history(store)) == 1


async def test_history_stays_complete_when_it_outgrows_the_head(
    store: client.Store, autojump_clock: trio.testing.MockClock
) -> None:
    digest = await submit_signed_draft(store, 1)
    count = 3 * rollout.BLOCK_VERSIONS + 5
    for version in range(count):
        await roll_out(store, digest, version)
    history = await rollout.read_history(store)
    assert [item.version for item in history] == list(range(1, count + 1))
    latest = await rollout.read_history(store, limit=10)
    assert [item.version for item in latest] == list(range(count - 9, count + 1))
    head, _ = await rollout.read_head(store)
    assert head is not None
    assert len(head.entries) <= 2 * rollout.BLOCK_VERSIONS


async def test_a_lost_response_neither_duplicates_nor_loses_a_roll_out(
    store: client.Store, stand: platform.Stand, autojump_clock: trio.testing.MockClock
) -> None:
    digest = await submit_signed_draft(store, 1)
    stand.set_faults(platform.Faults(lose_answers=0.5))
    version = 0
    for _ in range(40):
        head, _ = await rollout.read_head(store)
        version = head.current.version if head else 0
        try:
            await roll_out(store, digest, version)
        except errors.BronzequayError as exc:
            assert exc.code in {
                codes.ResultCode.STORE_TIMEOUT,
                codes.ResultCode.BUNDLE_CONFLICT,
            }
    stand.set_faults(platform.Faults())
    history = await rollout.read_history(store)
    assert [item.version for item in history] == list(range(1, len(history) + 1))
    assert len(history) >= version
