"""Jobs that make terms end with unexpected errors."""

from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay import ids, node
from bronzequay.cfg import node as node_cfg
from bronzequay.control import failures, keys, status
from bronzequay.core import model, order, place, records
from bronzequay.core import state as states
from bronzequay.platform import settings
from tests.control.site import Site
from tests.test_node import SETTINGS

if TYPE_CHECKING:
    from types import ModuleType

    from trio.testing import MockClock

JOBS = [ids.JobId(f"{number:016}") for number in range(5)]


class Fault:
    """An error in deciding about some jobs.

    :ivar jobs: jobs that cause it
    """

    def __init__(self, monkeypatch: pytest.MonkeyPatch, module: ModuleType, name: str) -> None:
        self.jobs: set[ids.JobId] = set()
        decide = getattr(module, name)

        def fail(*args: object, **options: object) -> object:
            if any(_job_id_of(argument) in self.jobs for argument in args):
                raise ValueError("unexpected")
            return decide(*args, **options)

        monkeypatch.setattr(module, name, fail)


def _job_id_of(argument: object) -> ids.JobId | None:
    if isinstance(argument, states.StepRun):
        argument = argument.job
    if isinstance(argument, states.Job):
        argument = argument.spec
    return argument.job if isinstance(argument, model.JobSpec) else None


def start_instance(nursery: trio.Nursery) -> None:
    """Run an instance's terms, without its servers."""
    instance = node.Node(settings.parse(SETTINGS), node_cfg.resolve({}))
    nursery.start_soon(instance._configuration.run)
    nursery.start_soon(instance._run_terms)


@pytest.mark.parametrize(
    ("module", "name"),
    [
        (place, "find_placement"),
        (order, "rank"),
        (records, "encode"),
        (records, "restore"),
    ],
)
async def test_a_job_that_ends_term_after_term_is_given_up(
    autojump_clock: MockClock,
    monkeypatch: pytest.MonkeyPatch,
    nursery: trio.Nursery,
    module: ModuleType,
    name: str,
) -> None:
    """Guards against one job that keeps every scheduler from running all others."""
    site = Site(monkeypatch, nursery)
    site.add_executor(1)
    fault = Fault(monkeypatch, module, name)
    bad = site.submit()
    fault.jobs.add(bad)
    other = site.submit()
    start_instance(nursery)
    await site.wait_for(bad, "failed", timeout_s=20.0)
    await site.wait_for(other, "completed", timeout_s=10.0)
    assert "2 terms" in status.decode(site.kv.get(keys.state(bad)) or b"").reason
    site.check_runs()


async def test_jobs_are_kept_when_scheduling_fails_whatever_the_job(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, nursery: trio.Nursery
) -> None:
    """Guards against giving up all jobs one after the other for an error of the scheduler."""
    site = Site(monkeypatch, nursery)
    site.add_executor(1)
    fault = Fault(monkeypatch, place, "find_placement")
    jobs = [site.submit() for _ in range(failures.MAX_GIVEN_UP + 3)]
    fault.jobs.update(jobs)
    start_instance(nursery)
    await trio.sleep(60.0)
    lost = [job for job in jobs if site.state(job) == "failed"]
    assert len(lost) == failures.MAX_GIVEN_UP
    fault.jobs.clear()
    for job in set(jobs) - set(lost):
        await site.wait_for(job, "completed", timeout_s=20.0)


async def test_a_job_is_not_given_up_for_one_failed_term(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, nursery: trio.Nursery
) -> None:
    site = Site(monkeypatch, nursery)
    site.add_executor(1)
    fault = Fault(monkeypatch, place, "find_placement")
    job = site.submit()
    fault.jobs.add(job)
    start_instance(nursery)
    await trio.sleep(0.5)
    fault.jobs.clear()
    await site.wait_for(job, "completed", timeout_s=10.0)


def test_failures_are_forgotten_after_their_time() -> None:
    stored: tuple[failures.Failure, ...] = ()
    for wall_s in (0.0, 10.0):
        stored = failures.add(stored, JOBS[0], wall_s)
    assert failures.given_up(stored, 20.0) == {JOBS[0]}
    late_s = 10.0 + failures.MEMORY_S
    assert failures.given_up(stored, late_s) == set()
    assert failures.add(stored, JOBS[1], late_s) == (failures.Failure(JOBS[1], 1, late_s),)


def test_no_more_jobs_are_given_up_than_the_limit() -> None:
    stored: tuple[failures.Failure, ...] = ()
    for job in JOBS:
        for _ in range(failures.MAX_FAILURES):
            stored = failures.add(stored, job, 1.0)
    assert failures.given_up(stored, 1.0) == set(JOBS[: failures.MAX_GIVEN_UP])


@pytest.mark.parametrize("value", [None, b"", b"\xc1", b"\x93\x01\x02\x03"])
def test_an_unreadable_record_of_failures_counts_as_none(value: bytes | None) -> None:
    assert failures.decode(value) == ()
