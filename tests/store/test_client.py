from __future__ import annotations

from typing import TYPE_CHECKING

import pytest

from bronzequay import codes, errors, ids
from bronzequay.store import client

if TYPE_CHECKING:
    import trio.testing

    from bronzequay.fakes import platform

READ = client.Purpose.READ
JOURNAL = client.Purpose.JOURNAL


async def test_get_returns_the_value_and_revision_of_a_put(store: client.Store) -> None:
    rev = await store.put("a/b", b"one", rev=client.ABSENT, purpose=JOURNAL)
    assert await store.get("a/b", purpose=READ) == client.Entry("a/b", b"one", rev)


async def test_stale_revision_is_a_conflict(store: client.Store) -> None:
    await store.put("a", b"one", rev=client.ABSENT, purpose=JOURNAL)
    with pytest.raises(errors.BronzequayError) as exc_info:
        await store.put("a", b"two", rev=client.ABSENT, purpose=JOURNAL)
    assert exc_info.value.code is codes.ResultCode.STORE_CONFLICT


async def test_range_returns_existing_keys_in_order(store: client.Store) -> None:
    for key in ("p/2", "p/1", "q/1"):
        await store.put(key, key.encode(), rev=client.ABSENT, purpose=JOURNAL)
    deleted_rev = await store.put("p/3", b"", rev=client.ABSENT, purpose=JOURNAL)
    await store.delete("p/3", rev=deleted_rev, purpose=JOURNAL)
    assert [entry.key for entry in await store.range("p/", purpose=READ)] == ["p/1", "p/2"]


async def test_keys_of_a_revoked_lease_are_deleted(store: client.Store) -> None:
    lease = await store.grant(5.0)
    await store.put("held", b"", rev=client.ABSENT, purpose=client.Purpose.LEASE, lease=lease)
    await store.revoke(lease)
    assert await store.get("held", purpose=READ) is None


async def test_renewal_of_an_expired_lease_is_refused(
    store: client.Store, autojump_clock: trio.testing.MockClock
) -> None:
    lease = await store.grant(5.0)
    autojump_clock.jump(6.0)
    with pytest.raises(errors.BronzequayError) as exc_info:
        await store.renew(lease)
    assert exc_info.value.code is codes.ResultCode.LEASE_LOST


async def test_value_over_one_megabyte_is_refused(store: client.Store) -> None:
    with pytest.raises(errors.BronzequayError) as exc_info:
        await store.put("big", b"x" * 1_000_001, rev=client.ABSENT, purpose=JOURNAL)
    assert exc_info.value.code is codes.ResultCode.VALUE_TOO_LARGE
    assert await store.get("big", purpose=READ) is None


async def test_instances_are_returned(store: client.Store, stand: platform.Fake) -> None:
    entry = {"id": "i", "kind": "entry", "address": "x", "data_centre": "d", "state": "live"}
    stand.state.set_instance("i", entry)
    (instance,) = await store.instances()
    assert instance.id == ids.InstanceId("i")
