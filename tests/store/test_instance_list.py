from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from bronzequay.store import instance_list

if TYPE_CHECKING:
    from trio import testing


class CountingStore:
    """Replaces the store client; counts the reads of a list of the given length."""

    def __init__(self, length: int) -> None:
        self.length = length
        self.reads = 0

    async def instances(self) -> tuple[Any, ...]:
        self.reads += 1
        return tuple(range(self.length))


async def test_concurrent_readers_share_one_read(autojump_clock: testing.MockClock) -> None:
    store = CountingStore(10)
    cached_list = instance_list.CachedInstanceList(store)  # type: ignore[arg-type]
    async with trio.open_nursery() as nursery:
        for _ in range(20):
            nursery.start_soon(cached_list.instances)
    assert store.reads == 1


async def test_long_list_stays_within_the_byte_rate(autojump_clock: testing.MockClock) -> None:
    store = CountingStore(400)
    cached_list = instance_list.CachedInstanceList(store)  # type: ignore[arg-type]
    await cached_list.instances()
    await trio.sleep(instance_list.STARTUP_PERIOD_S)
    store.reads = 0
    span_s = 1000
    for _ in range(span_s):
        await cached_list.instances()
        await trio.sleep(1.0)
    sent_bytes = store.reads * store.length * instance_list.ENTRY_BYTES
    assert sent_bytes / span_s <= instance_list.MAX_BYTES_PER_S
    assert store.reads > 1
