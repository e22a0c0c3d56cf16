from __future__ import annotations

from typing import TYPE_CHECKING, Any

import pytest
from hypothesis import HealthCheck, Phase, settings, stateful
from hypothesis import strategies as st

from bronzequay import ids
from bronzequay.policy import (
    admission,
    core,
    fleet,
    guarantees,
    lifecycle,
    model,
    overuse,
)
from bronzequay.policy import state as core_state
from tests.policy import world

if TYPE_CHECKING:
    from collections.abc import Callable

BUNDLES = [
    world.rules(1, a=[(4, 1)], b=[(2, 1), (1, 1)]),
    world.rules(2, a=[(2, 1)], b=[(4, 1)], c=[(1, 1)]),
    world.rules(3, a=[(4, 1), (2, 1)], b=[]),
]
WORKERS = [world.worker(index, accelerators=size) for index, size in enumerate((4, 4, 2, 0))]
FAULTS = st.sampled_from(
    [model.MemberFault.START_FAILED, model.MemberFault.TASK_FAILED, model.MemberFault.WORKER_LOST]
)
SPECS = st.builds(
    world.spec,
    org=st.sampled_from("aabc"),
    caller=st.sampled_from(["c1", "c2"]),
    members=st.sampled_from([1, 1, 2, 3]),
    accelerators=st.sampled_from([0, 1, 1, 2, 3, 4]),
    cpu=st.sampled_from([1, 2, 6]),
    mem_gb=st.sampled_from([1, 8, 30]),
    declared_s=st.sampled_from([60.0, 6000.0]),
    urgency=st.sampled_from(model.Urgency),
    idempotent=st.booleans(),
    reclaimable=st.sampled_from([True, True, False]),
)
INDEX = st.integers(0, 50)
INVARIANT_SETTINGS = settings(
    max_examples=100,
    stateful_step_count=40,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(HealthCheck),
)
SEEDED_FAULT_SETTINGS = settings(
    INVARIANT_SETTINGS, max_examples=400, phases=[Phase.generate], report_multiple_bugs=False
)


class Scheduler(stateful.RuleBasedStateMachine):
    """Any order of events, with the invariants checked after each."""

    def __init__(self) -> None:
        super().__init__()
        self.world = world.World(BUNDLES[0], WORKERS)
        self.count = 0
        self.jobs: list[ids.JobId] = []

    def gang(self, index: int, *, is_stopping: bool) -> ids.JobId | None:
        gangs = self.world.gangs.items()
        names = sorted(job for job, gang in gangs if (gang.stop is not None) is is_stopping)
        return names[index % len(names)] if names else None

    @stateful.rule(spec=SPECS)
    def submit(self, spec: model.JobSpec) -> None:
        self.count += 1
        job = ids.JobId(f"j{self.count:03d}")
        self.jobs.append(job)
        self.world.step(model.JobSubmitted(job, spec))
        record = self.world.state.jobs[job]
        if spec.org not in self.world.state.rules.orgs:
            assert record.state is model.JobState.REFUSED

    @stateful.rule(index=INDEX)
    def hold(self, index: int) -> None:
        job = self.gang(index, is_stopping=False)
        if job is not None:
            self.world.held(job)

    @stateful.rule(index=INDEX)
    def finish(self, index: int) -> None:
        job = self.gang(index, is_stopping=False)
        if job is not None and self.world.gangs[job].is_running:
            self.world.finish(job)

    @stateful.rule(index=INDEX, kept_s=st.sampled_from([0.0, 30.0]))
    def confirm_stop(self, index: int, kept_s: float) -> None:
        job = self.gang(index, is_stopping=True)
        if job is not None:
            self.world.stopped(job, kept_s)

    @stateful.rule(index=INDEX, member=INDEX, fault=FAULTS, is_stopping=st.booleans())
    def fail_member(
        self, index: int, member: int, fault: model.MemberFault, *, is_stopping: bool
    ) -> None:
        job = self.gang(index, is_stopping=is_stopping)
        if job is not None:
            self.world.fail(job, member % self.world.gangs[job].members, fault)

    @stateful.rule(index=INDEX, fault=FAULTS)
    def fail_while_running(self, index: int, fault: model.MemberFault) -> None:
        job = self.gang(index, is_stopping=False)
        if job is None:
            return
        if not self.world.gangs[job].is_running:
            self.world.held(job)
        if self.world.gangs[job].is_running:
            self.world.fail(job, 0, fault)
            self.world.stopped(job, 0.0)

    @stateful.rule(index=INDEX)
    def lose_track(self, index: int) -> None:
        job = self.gang(index, is_stopping=False)
        if job is not None:
            self.world.step(model.GangUnknown(job, self.world.gangs[job].attempt))
            self.world.gangs[job].stop = model.StopMode.STOP

    @stateful.rule(index=INDEX)
    def cancel(self, index: int) -> None:
        if not self.jobs:
            return
        job = self.jobs[index % len(self.jobs)]
        if self.world.state.jobs[job].state not in model.FINAL_STATES:
            self.world.cancelled.add(job)
        self.world.step(model.JobCancelled(job))

    @stateful.rule(index=INDEX)
    def leave(self, index: int) -> None:
        self.world.step(model.WorkerLeaving(WORKERS[index % len(WORKERS)].worker))

    @stateful.rule(index=INDEX)
    def lose_worker(self, index: int) -> None:
        name = WORKERS[index % len(WORKERS)].worker
        if name in self.world.workers:
            self.world.lose(name)

    @stateful.rule(index=INDEX)
    def join(self, index: int) -> None:
        each = WORKERS[index % len(WORKERS)]
        self.world.workers[each.worker] = each
        self.world.step(model.WorkerJoined(each))

    @stateful.rule(bundle=st.sampled_from(BUNDLES))
    def change_rules(self, bundle: model.Rules) -> None:
        self.world.step(model.RulesChanged(bundle))

    @stateful.rule(passed_s=st.sampled_from([1.0, 40.0, 4000.0]))
    def tick(self, passed_s: float) -> None:
        self.world.now_s += passed_s
        self.world.step(model.Tick())

    @stateful.rule()
    def take_over(self) -> None:
        self.world.take_over()

    @stateful.invariant()
    def waiting_jobs_explain_themselves(self) -> None:
        for job in self.jobs:
            assert str(core.why(self.world.state, job))

    @stateful.invariant()
    def feasible_jobs_are_not_called_infeasible(self) -> None:
        state = self.world.state
        for job in self.jobs:
            record = state.jobs[job]
            if record.state in {model.JobState.ACCEPTED, model.JobState.INFEASIBLE}:
                is_told = record.state is model.JobState.INFEASIBLE
                if not record.spec.reclaimable or record.spec.org not in state.rules.orgs:
                    continue
                specs = [each.spec for each in state.workers.values() if not each.is_leaving]
                assert is_told is not could_run(record.spec, specs), record


def could_run(spec: model.JobSpec, workers: list[model.WorkerSpec]) -> bool:
    """Return whether a job fits on the workers when empty; any job fits on an empty fleet."""
    if not workers:
        return True
    unplaced = spec.members
    for worker in workers:
        free = [worker.accelerators, worker.cpu, worker.mem_gb]
        needed = [spec.accelerators, spec.cpu, spec.mem_gb]
        while unplaced and all(amount >= need for amount, need in zip(free, needed, strict=True)):
            free = [amount - need for amount, need in zip(free, needed, strict=True)]
            unplaced -= 1
    return not unplaced


def test_invariants_hold_for_any_order_of_events() -> None:
    stateful.run_state_machine_as_test(Scheduler, settings=INVARIANT_SETTINGS)


def _bind_unchecked(
    ledger: guarantees.Ledger, flt: fleet.Fleet, binding: guarantees.Binding
) -> bool:
    guarantees.bind(ledger, flt, binding)
    return True


def _return_nothing(*_args: object, **_options: object) -> tuple[model.Command, ...]:
    return ()


def _keep_queued(_state: core_state.State, _record: model.JobRecord) -> None:
    return


FAULTY: dict[str, tuple[Any, str, Callable[..., Any], str]] = {
    "guarantees unchecked": (guarantees, "try_bind", _bind_unchecked, "carved out"),
    "cores uncounted": (fleet, "spare_cpu", lambda _worker: 99, "more cores"),
    "memory uncounted": (fleet, "spare_mem_gb", lambda _worker: 999, "more memory"),
    "devices uncounted": (
        fleet,
        "usable_devices",
        lambda worker: worker.all_devices,
        "allocated twice",
    ),
    "feasibility unchecked": (admission, "infeasible_reason", lambda *_: "", "JobRecord"),
    "cancelled jobs stay queued": (
        core_state,
        "dequeue",
        _keep_queued,
        "was restarted|starting to starting",
    ),
    "release not recorded": (lifecycle, "was_released", lambda _record: False, "started again"),
    "unmet guarantees unreported": (
        guarantees,
        "unmet_guarantees",
        _return_nothing,
        "not reported",
    ),
}


@pytest.mark.parametrize("name", FAULTY)
def test_seeded_fault_violates_an_invariant(name: str, monkeypatch: pytest.MonkeyPatch) -> None:
    module, attribute, faulty, message = FAULTY[name]
    monkeypatch.setattr(module, attribute, faulty)
    with pytest.raises(Exception, match=message):
        stateful.run_state_machine_as_test(Scheduler, settings=SEEDED_FAULT_SETTINGS)


def test_gang_left_running_without_a_member_is_caught(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setitem(core._HANDLERS, model.MemberFailed, _return_nothing)
    with pytest.raises(AssertionError, match="part of its members"):
        stateful.run_state_machine_as_test(Scheduler, settings=SEEDED_FAULT_SETTINGS)


def test_usage_beyond_declaration_stops_only_that_gang() -> None:
    sim = world.World(world.rules(a=[]), [world.worker(0, accelerators=4)])
    for name in ("good", "greedy"):
        sim.step(model.JobSubmitted(ids.JobId(name), world.spec(mem_gb=30)))
        sim.held(ids.JobId(name))
    usage = model.TaskUsage(ids.JobId("greedy"), 1, 0, 1, 50)
    commands = core.step(
        sim.state, model.UsageReported(ids.WorkerId("w0000"), (usage,)), now_s=sim.now_s
    )
    stops = [command for command in commands if isinstance(command, model.StopGang)]
    assert [stop.job for stop in stops] == ["greedy"]
    assert sim.state.jobs[ids.JobId("good")].state is model.JobState.RUNNING


def test_usage_that_fits_stops_no_gang_but_counts_as_allocated() -> None:
    sim = world.World(world.rules(a=[]), [world.worker(0, accelerators=4)])
    sim.step(model.JobSubmitted(ids.JobId("one"), world.spec(mem_gb=30)))
    usage = model.TaskUsage(ids.JobId("one"), 1, 0, 1, 50)
    event = model.UsageReported(ids.WorkerId("w0000"), (usage,))
    assert not core.step(sim.state, event, now_s=sim.now_s)
    sim.step(model.JobSubmitted(ids.JobId("two"), world.spec(mem_gb=20)))
    assert sim.state.jobs[ids.JobId("two")].state is model.JobState.ACCEPTED


def test_usage_test_fails_if_no_gang_is_stopped(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(overuse, "_jobs_to_stop", lambda *_: [])
    with pytest.raises(AssertionError):
        test_usage_beyond_declaration_stops_only_that_gang()
