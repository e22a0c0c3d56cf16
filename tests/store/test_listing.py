from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

from bronzequay.store import listing

if TYPE_CHECKING:
    from trio import testing


class Counted:
    """Stands for the store client; counts the reads of a list of a given length."""

    def __init__(self, length: int) -> None:
        self.length = length
        self.reads = 0

    async def instances(self) -> tuple[Any, ...]:
        self.reads += 1
        return tuple(range(self.length))


async def test_many_readers_share_one_read(autojump_clock: testing.MockClock) -> None:
    store = Counted(10)
    shared = listing.Listing(store)  # type: ignore[arg-type]
    async with trio.open_nursery() as nursery:
        for _ in range(20):
            nursery.start_soon(shared.instances)
    assert store.reads == 1


async def test_a_long_list_stays_within_its_bytes(autojump_clock: testing.MockClock) -> None:
    store = Counted(400)
    shared = listing.Listing(store)  # type: ignore[arg-type]
    await shared.instances()
    await trio.sleep(listing.BRISK_S)
    store.reads = 0
    span_s = 1000
    for _ in range(span_s):
        await shared.instances()
        await trio.sleep(1.0)
    sent = store.reads * store.length * listing.LINE_BYTES
    assert sent / span_s <= listing.MAX_BYTES_PER_S
    assert store.reads > 1
