"""Entries and answers of others: none of them ends a term."""

from __future__ import annotations

import json
import random
from typing import TYPE_CHECKING, Any

import msgspec
import pytest
import trio

from bronzequay import ids
from bronzequay.control import journal, keys
from bronzequay.fakes import tasks
from bronzequay.net import server
from bronzequay.platform import workers
from tests.control.site import gang

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from trio.testing import MockClock

    from tests.control.site import Site

FOREIGN: dict[str, Any] = {
    "service": "thumbnailer",
    "addr": "10.9.0.1:80",
    "state": "ready",
    "capacity": {"cpu": 2000, "memMb": 512, "gpu": 0},
    "labels": ["a", "r9"],
    "born": 1,
}


def encode(**changes: object) -> bytes:
    return json.dumps({**FOREIGN, **changes}).encode()


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("servers/thumb-0", encode(addr="unix:/run/thumbnailer/0.sock")),
        ("servers/thumb-0", encode(addr="10.9.0.1:99999")),
        ("servers/thumb-0", b'{"x":' + b"[" * 3000),
        ("servers/thumb-\u4e00", encode()),
        ("servers/thumb\r\nX: y", encode()),
        ("servers/", encode()),
    ],
)
async def test_an_entry_of_another_writer_does_not_end_the_term(
    autojump_clock: MockClock, site: Site, key: str, value: bytes
) -> None:
    """Guards against one entry of another writer that ends all scheduling."""
    site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_for(site.submit(), "completed", timeout_s=5.0)
    term = site.terms["a"]
    site.kv.put(key, value)
    await trio.sleep(1.0)
    await site.wait_for(site.submit(), "completed", timeout_s=5.0)
    site.kv.delete(key)
    await trio.sleep(2.0)
    assert site.terms["a"] is term


async def add_foreign(site: Site, handle: Callable[..., Awaitable[server.Response]]) -> None:
    """List a foreign server of the service and wait until it is called."""
    called = trio.Event()

    async def note_call(req: server.Request) -> server.Response:
        called.set()
        return await handle(req)

    site.network.hosts["10.9.0.1:80"] = note_call
    site.kv.put("servers/thumb-0", encode(service="service", capacity=ROOM))
    await called.wait()


ROOM = {"cpu": 32000, "memMb": 131072, "gpu": 8}


async def test_an_answer_that_claims_a_later_term_does_not_end_the_term(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against one server that refuses every order and so ends every scheduler's term."""

    async def refuse(_req: server.Request) -> server.Response:
        return server.Response(409, b'{"clockMs":1,"reason":"fence"}')

    site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    await add_foreign(site, refuse)
    term = site.terms["a"]
    for _ in range(3):
        await site.wait_for(site.submit(), "completed", timeout_s=5.0)
        await trio.sleep(1.0)
    assert site.terms["a"] is term


async def test_a_worker_fenced_by_a_later_term_ends_the_term(
    autojump_clock: MockClock, site: Site
) -> None:
    executor = site.add_executor(1)
    site.start_scheduler("a")
    await site.wait_for(site.submit(), "completed", timeout_s=5.0)
    term = site.terms["a"]
    epoch = ids.Epoch(site.kv.put("unrelated", b""))
    site.kv.put(keys.HEAD, msgspec.msgpack.encode(journal.Head(epoch, 1)))
    executor.epoch = epoch
    await site.wait_until(lambda: site.terms["a"] is not term, timeout_s=5.0)


@pytest.mark.parametrize("seed", range(8))
async def test_damaged_answers_of_a_worker_do_not_end_the_term(
    autojump_clock: MockClock, site: Site, seed: int
) -> None:
    """Guards against a worker whose answers end every scheduler's term."""
    rng = random.Random(seed)
    good, bad = site.add_executor(1), site.add_executor(2)

    async def damage(req: server.Request) -> server.Response:
        answer = await bad.handle(req)
        if rng.random() < 0.6:
            return answer
        start = rng.randint(0, len(answer.body))
        odd = rng.choice([b"[" * 3000, b"-", b"9" * 30, b"\xff", b"null", b'""', b"1e300", b"]"])
        end = min(len(answer.body), start + rng.randint(0, 9))
        body = answer.body[:start] + odd + answer.body[end:]
        return server.Response(rng.choice([200, answer.status, 409, 503]), body)

    site.network.hosts[bad.address] = damage
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    term = site.terms["a"]
    for _ in range(6):
        site.submit(plan=tasks.Plan(run_s=1.0))
        await trio.sleep(0.7)
    site.network.hosts[bad.address] = bad.handle
    await site.wait_for(site.submit(), "completed", timeout_s=30.0)
    assert good.is_up
    assert site.terms["a"] is term
    site.check_runs()


@pytest.mark.parametrize("name", ["hold", "start", "stop"])
async def test_an_unexpected_error_in_a_session_stays_there(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site, name: str
) -> None:
    """Guards against an error with one worker that ends the sessions of all others."""
    call = getattr(workers.OrderClient, name)
    failures: list[str] = []

    async def fail_sometimes(self: workers.OrderClient, *args: object, **options: object) -> object:
        if self._http.address == "10.1.0.1:80" and len(failures) < 5:
            failures.append(name)
            raise ValueError("unexpected")
        return await call(self, *args, **options)

    monkeypatch.setattr(workers.OrderClient, name, fail_sometimes)
    site.add_executor(1)
    site.add_executor(2)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    term = site.terms["a"]
    jobs = [site.submit(gang(2, run_s=1.0), plan=tasks.Plan(run_s=1.0, gang=2)) for _ in range(2)]
    for job in jobs:
        await site.wait_for(job, "completed", timeout_s=30.0)
    cancelled = [site.submit(gang(1, run_s=20.0), plan=tasks.Plan(run_s=20.0)) for _ in range(2)]
    await site.wait_until(lambda: all(site.state(job) == "running" for job in cancelled))
    for job in cancelled:
        site.cancel(job)
    await site.wait_until(lambda: not any(i.runs for i in site.world.executors.values()))
    assert failures
    assert site.terms["a"] is term
    site.check_runs()


async def test_lost_runs_start_again_after_a_takeover_beside_entries_of_other_services(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against foreign entries that count when a term looks for a majority of workers."""
    for number in range(1, 6):
        site.add_executor(number)
    for number in range(8):
        address = f"10.9.0.{number + 1}:80"
        site.kv.put(f"servers/thumb-{number}", encode(addr=address))
    site.start_scheduler("a")
    job = site.submit(plan=tasks.Plan(run_s=3.0))
    await site.wait_until(lambda: site.events("start"))
    (busy,) = [executor for executor in site.world.executors.values() if executor.runs]
    # A start whose answer is not recorded might be carried out later, so its run waits longer.
    await trio.sleep(1.0)
    site.start_scheduler("b")
    site.kill("a")
    site.crash(busy)
    await site.wait_for(job, "completed", timeout_s=25.0)
    site.check_runs()
