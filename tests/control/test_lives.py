"""Which facts show that an executor's life is over: until then its tasks start nowhere else."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import pytest
import trio

from bronzequay.control import session
from bronzequay.core import model
from bronzequay.fakes import tasks
from bronzequay.net import server
from tests.control.network import SOURCE
from tests.control.site import ONE_GPU, gang

if TYPE_CHECKING:
    from trio.testing import MockClock

    from bronzequay import ids
    from bronzequay.fakes import executors
    from tests.control.site import Site

RUN_S = 20.0
LATE_S = 12.0
"""Longest time after which a call without an answer is carried out."""


async def run_one(site: Site, count: int = 3) -> tuple[ids.JobId, executors.Executor]:
    """Start a long task and return its job and executor; the executors report every 1.5 s."""
    for number in range(1, count + 1):
        site.add_executor(number).beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    job = site.submit(plan=tasks.Plan(run_s=RUN_S))
    await site.wait_until(lambda: site.events("start"))
    await trio.sleep(1.0)
    (executor,) = [executor for executor in site.world.executors.values() if executor.runs]
    return job, executor


def refuse(site: Site, executor: executors.Executor) -> None:
    """Refuse the schedulers' connections to an executor, which runs on without its entry."""
    executor.beats = False
    site.network.refused.update((name, executor.address) for name in ("a", "b"))


async def end_of_lease_s(site: Site, executor: executors.Executor) -> float:
    """Return when the run on an executor that no call reaches has lapsed."""
    await site.wait_until(lambda: not executor.runs, timeout_s=12.0)
    return trio.current_time()


async def check_start_elsewhere(site: Site, executor: executors.Executor) -> None:
    """Check that the task starts elsewhere soon after its lease has ended, and not before."""
    assert len(site.events("start")) == 1
    lapsed_s = await end_of_lease_s(site, executor)
    assert len(site.events("start")) == 1
    await site.wait_until(lambda: len(site.events("start")) == 2, timeout_s=4.0)
    assert trio.current_time() - lapsed_s < 4.0
    site.check_runs()


async def test_a_draining_worker_that_refuses_connections_keeps_its_tasks(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a second run while a draining worker is cut off, or takes no connections."""
    _, executor = await run_one(site)
    executor.state = "draining"
    executor.list_entry()
    await trio.sleep(0.6)
    refuse(site, executor)
    site.kv.delete(f"servers/{executor.name}")
    await trio.sleep(2.0)
    await check_start_elsewhere(site, executor)


async def test_an_unknown_executor_at_the_address_does_not_free_tasks(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a second run when the address of a cut-off worker answers for another id."""

    async def refuse_id(_req: server.Request) -> server.Response:
        return server.Response(421, b'{"clockMs":5}')

    _, executor = await run_one(site)
    executor.beats = False
    site.network.hosts[executor.address] = refuse_id
    await trio.sleep(2.0)
    await check_start_elsewhere(site, executor)


@pytest.mark.parametrize(
    "change",
    [
        {"born": None},
        {"born": 0},
        {"born": 10**13},
        {"born": 10**13, "addr": "10.9.0.1:80"},
        {"born": 10**13, "addr": "10.9.0.1:80", "machine": "other"},
        {"service": 5},
        {"service": "thumbnailer"},
        {"addr": "10.9.0.1:80"},
        {"machine": "other", "labels": ["b", "r9"]},
        {"capacity": {"cpu": 0, "memMb": 0, "gpu": 0}},
        {"state": "odd"},
        None,
    ],
)
@pytest.mark.parametrize("again", [False, True])
async def test_a_changed_or_removed_entry_does_not_free_tasks(
    autojump_clock: MockClock, site: Site, change: dict[str, Any] | None, *, again: bool
) -> None:
    """Guards against a second run beside a working executor whose entry another writer changed."""
    job, executor = await run_one(site)
    key = f"servers/{executor.name}"
    for _ in range(6 if again else 1):
        entry = json.loads(executor.entry(born_ms=executor.born_ms))
        if change is None:
            site.kv.delete(key)
        else:
            changed = {
                name: value for name, value in {**entry, **change}.items() if value is not None
            }
            site.kv.put(key, json.dumps(changed).encode())
        await trio.sleep(0.7)
    await site.wait_for(job, "completed", timeout_s=RUN_S + 5.0)
    assert len(site.events("start")) == 1
    site.check_runs()


async def test_a_late_entry_of_an_earlier_life_does_not_free_tasks(
    autojump_clock: MockClock, site: Site
) -> None:
    executor = site.add_executor(1)
    executor.beats = True
    earlier = executor.entry(born_ms=executor.born_ms)
    site.crash(executor)
    await trio.sleep(1.0)
    site.reboot(executor)
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    job = site.submit(plan=tasks.Plan(run_s=5.0))
    await site.wait_until(lambda: site.events("start"))
    site.kv.put(f"servers/{executor.name}", earlier)
    await site.wait_for(job, "completed", timeout_s=8.0)
    assert len(site.events("start")) == 1


async def test_a_worker_lost_just_after_a_takeover_keeps_its_tasks_until_its_lease_has_ended(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site
) -> None:
    """Guards against a second run when the lease that an earlier term granted is not counted."""
    _, executor = await run_one(site)
    read = session.Session._on_listing
    seen: set[str] = set()

    async def cut_after_first(self: session.Session, *args: Any) -> None:
        if self.worker.startswith(f"{executor.name}@") and SOURCE.get() == "b" and not seen:
            seen.add(self.worker)
            refuse(site, executor)
        await read(self, *args)

    monkeypatch.setattr(session.Session, "_on_listing", cut_after_first)
    site.start_scheduler("b")
    site.kill("a")
    await site.wait_until(lambda: seen)
    await check_start_elsewhere(site, executor)


async def test_a_renewal_that_reaches_a_later_life_is_counted(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a second run while a lease of an earlier life's clock holds on."""
    _, executor = await run_one(site, count=1)
    await trio.sleep(8.0)
    executor.unanswered_calls["/hold"] = 1
    executor.late_effect_s, executor.late_effect_survives_restart = 3.0, True
    await site.wait_until(lambda: not executor.unanswered_calls["/hold"])
    site.crash(executor)
    site.reboot(executor)
    await site.wait_until(lambda: len(site.events("start")) == 2, timeout_s=4.0)
    for number in (2, 3):
        site.add_executor(number)
    await trio.sleep(3.5)
    refuse(site, executor)
    await end_of_lease_s(site, executor)
    await site.wait_until(lambda: len(site.events("start")) == 3, timeout_s=9.0)
    site.check_runs()


async def test_an_executor_that_is_back_under_its_id_frees_its_tasks_at_once(
    autojump_clock: MockClock, site: Site
) -> None:
    _, executor = await run_one(site)
    site.crash(executor)
    await trio.sleep(0.5)
    site.reboot(executor)
    await site.wait_until(lambda: len(site.events("start")) == 2, timeout_s=1.5)
    site.check_runs()


async def test_an_executor_that_is_back_at_another_address_frees_its_tasks_at_once(
    autojump_clock: MockClock, site: Site
) -> None:
    _, executor = await run_one(site)
    site.crash(executor)
    await trio.sleep(0.5)
    executor.address = "10.1.0.77:80"
    site.reboot(executor)
    await site.wait_until(lambda: len(site.events("start")) == 2, timeout_s=1.5)
    site.check_runs()


async def test_a_later_executor_of_the_machine_frees_its_tasks_at_once(
    autojump_clock: MockClock, site: Site
) -> None:
    _, executor = await run_one(site)
    site.crash(executor)
    del site.world.executors[executor.name]
    await trio.sleep(0.5)
    executor.name = "i-99"
    site.world.executors["i-99"] = executor
    site.reboot(executor)
    await site.wait_until(lambda: len(site.events("start")) == 2, timeout_s=1.5)
    site.check_runs()


async def test_a_gang_with_a_member_on_a_refusing_worker_starts_again_only_as_a_whole(
    autojump_clock: MockClock, site: Site
) -> None:
    for number in range(1, 6):
        site.add_executor(number).beats = True
    site.start_scheduler("a")
    await site.wait_until(site.leader)
    site.submit(gang(2, run_s=RUN_S), plan=tasks.Plan(run_s=RUN_S, gang=2))
    await site.wait_until(lambda: len(site.events("start")) == 2)
    await trio.sleep(1.0)
    executor = next(executor for executor in site.world.executors.values() if executor.runs)
    executor.state = "draining"
    executor.list_entry()
    await trio.sleep(0.6)
    refuse(site, executor)
    site.kv.delete(f"servers/{executor.name}")
    await site.wait_until(lambda: len(site.events("start")) == 4, timeout_s=15.0)
    site.check_runs()


async def test_an_entry_that_contradicts_a_working_executor_is_not_used(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against starts that follow what another writer says of a working executor."""
    executor = site.add_executor(1)
    executor.beats = True
    site.start_scheduler("a")
    await site.wait_for(site.submit(), "completed", timeout_s=5.0)
    entry = json.loads(executor.entry(born_ms=executor.born_ms))
    entry |= {"machine": "other", "capacity": {"cpu": 10**6, "memMb": 10**6, "gpu": 64}}
    executor.beats = False
    site.kv.put(f"servers/{executor.name}", json.dumps(entry).encode())
    await trio.sleep(0.6)
    big = model.Step(count=20, need=ONE_GPU, estimate_s=1.0)
    job = site.submit(big, plan=tasks.Plan(run_s=1.0))
    await trio.sleep(1.0)
    assert not executor.runs
    executor.beats = True
    while site.state(job) != "completed":
        assert len(executor.runs) <= 8
        await trio.sleep(0.05)


async def test_the_entry_of_a_next_life_ends_a_call_that_its_crash_left_pending(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against a next life that carries out earlier calls until one of them times out."""
    _, executor = await run_one(site)
    site.crash(executor)
    site.reboot(executor)
    await site.wait_until(lambda: len(site.events("start")) == 2, timeout_s=0.8)
    site.check_runs()
