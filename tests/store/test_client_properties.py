"""Random faults while clients append to the same key: reported outcomes match the stored value."""

from __future__ import annotations

import dataclasses
import random

import httpx
import hypothesis
import msgspec
import trio
import trio.testing
from hypothesis import strategies as st

from bronzequay import codes, errors, ids
from bronzequay.fakes import platform, serve
from bronzequay.store import client

CLIENTS = 3
APPENDS = 5
KEY = "register"
LATE_EFFECTS_WAIT_S = 3600.0


@dataclasses.dataclass
class History:
    """Outcome that the clients got for each append."""

    written: set[str] = dataclasses.field(default_factory=set)
    refused: set[str] = dataclasses.field(default_factory=set)
    unknown: set[str] = dataclasses.field(default_factory=set)


def make_client(stand: platform.Fake, name: str) -> client.Store:
    http = httpx.AsyncClient(transport=serve.LocalTransport(stand.app))
    return client.Store(base_url="http://platform", instance=ids.InstanceId(name), http=http)


async def read(store: client.Store) -> tuple[list[str], ids.Revision]:
    entry = await store.get(KEY, purpose=client.Purpose.READ)
    if entry is None:
        return [], client.ABSENT
    return msgspec.json.decode(entry.value, type=list[str]), entry.rev


async def append(store: client.Store, tag: str, history: History) -> None:
    try:
        tags, rev = await read(store)
    except errors.BronzequayError:
        history.refused.add(tag)
        return
    value = msgspec.json.encode([*tags, tag])
    try:
        await store.put(KEY, value, rev=rev, purpose=client.Purpose.JOURNAL)
    except errors.BronzequayError as exc:
        is_unknown = exc.code is codes.ResultCode.STORE_TIMEOUT
        (history.unknown if is_unknown else history.refused).add(tag)
    else:
        history.written.add(tag)


async def run_client(store: client.Store, name: str, history: History, rng: random.Random) -> None:
    for number in range(APPENDS):
        await append(store, f"{name}.{number}", history)
        await trio.sleep(rng.random())


async def inject_faults(stand: platform.Fake, rng: random.Random) -> None:
    while True:
        stand.set_faults(
            platform.Faults(
                lose_answers=rng.choice([0.0, 0.3, 0.8]),
                late_effect_s=rng.choice([0.0, 0.0, 0.01, 0.3, 5.0]),
                delay_s=rng.choice([0.0, 0.01, 0.3, 2.5]),
                down=rng.random() < 0.1,
            )
        )
        await trio.sleep(rng.random() * 2)


async def run_history(seed: int) -> tuple[History, list[str]]:
    rng = random.Random(seed)
    app = platform.make_app()
    stand: platform.Fake = app.extensions["stand"]
    stand.rng = random.Random(seed + 1)
    history = History()
    async with trio.open_nursery() as fault_nursery:
        fault_nursery.start_soon(inject_faults, stand, rng)
        async with trio.open_nursery() as nursery:
            for number in range(CLIENTS):
                name = f"entry-{number}"
                nursery.start_soon(run_client, make_client(stand, name), name, history, rng)
        fault_nursery.cancel_scope.cancel()
    stand.set_faults(platform.Faults())
    await trio.sleep(LATE_EFFECTS_WAIT_S)
    tags, _ = await read(make_client(stand, "reader"))
    return history, tags


@hypothesis.settings(derandomize=True, max_examples=40, deadline=None)
@hypothesis.given(seed=st.integers(min_value=0, max_value=2**32))
def test_appends_are_stored_at_most_once_and_as_reported(seed: int) -> None:
    clock = trio.testing.MockClock(autojump_threshold=0)
    history, tags = trio.run(run_history, seed, clock=clock)
    assert len(tags) == len(set(tags))
    assert history.written <= set(tags)
    assert not history.refused & set(tags)
    assert set(tags) <= history.written | history.unknown
