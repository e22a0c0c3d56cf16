"""A simulated fleet that carries out the core's commands, and invariants checked at every pass."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import msgspec

from bronzequay import ids
from bronzequay.core import lifecycle, model, resize, schedule
from bronzequay.core import state as states

if TYPE_CHECKING:
    from collections.abc import Sequence

SERVICE = ids.ServiceId("s")
QUEUES = {
    ids.QueueId(f"q{priority}"): model.Queue(
        ids.QueueId(f"q{priority}"), SERVICE, priority, 3, 1.5 + priority, 0.25
    )
    for priority in range(3)
}
ORGS = {ids.OrgId("big"): 16, ids.OrgId("small"): 8}
CAPACITY = model.Resources(32_000, 128_000, 8)


def rules(version: int = 1) -> model.Rules:
    return model.Rules(version, dict(QUEUES), dict(ORGS))


def new_state() -> states.State:
    return states.State(rules())


def worker_spec(number: int, *, per_rack: int = 4) -> model.WorkerSpec:
    rack = f"r{number // per_rack}"
    return model.WorkerSpec(
        ids.WorkerId(f"w{number}@1"),
        SERVICE,
        CAPACITY,
        ("a", rack),
        rack,
        ids.MachineId(f"m{number}"),
    )


def add_workers(state: states.State, count: int) -> None:
    for number in range(count):
        lifecycle.add_worker(state, worker_spec(number)).is_ready = True


def job(
    name: str | int, *steps: model.Step, priority: int = 1, org: str = "big", accepted_s: float = 0
) -> model.JobSpec:
    return model.JobSpec(
        job=ids.JobId(f"{name:>016}"),
        queue=ids.QueueId(f"q{priority}"),
        org=ids.OrgId(org),
        payload="",
        steps=steps or (step(),),
        accepted_s=accepted_s,
    )


def step(count: int = 1, *, gpu: int = 1, cpu: int = 1000, **options: object) -> model.Step:
    options.setdefault("estimate_s", 2.0)
    return model.Step(count=count, need=model.Resources(cpu, 1000, gpu), **options)  # type: ignore[arg-type]


class Fleet:
    """Carries out the core's commands; time passes only in ``advance``.

    :ivar live_runs: runs on workers by task: their start, when they end and how
    :ivar done_tasks: tasks that are done
    :ivar highest_runs: highest run number by task
    :ivar failed_runs: failed runs by task, or by job and step of a gang
    :ivar outcomes: outcomes of retired jobs
    :ivar failing_jobs: jobs whose runs fail 0.3 s after each start
    :ivar shrunk_workers: workers whose runs may exceed their capacity, since it has shrunk
    """

    def __init__(self, state: states.State, seed: int = 0, *, fail_share: float = 0.0) -> None:
        self.state = state
        self.rng = random.Random(seed)
        self.fail_share = fail_share
        self.live_runs: dict[model.TaskKey, tuple[model.Start, float, str]] = {}
        self.done_tasks: set[tuple[ids.JobId, int, int, int]] = set()
        self.highest_runs: dict[model.TaskKey, int] = {}
        self.failed_runs: dict[object, set[int]] = {}
        self.outcomes: dict[ids.JobId, model.JobState] = {}
        self.failing_jobs: set[ids.JobId] = set()
        self.shrunk_workers: set[ids.WorkerId] = set()
        self.now_s = 0.0

    def decide(self) -> None:
        """Run a pass, carry out its commands and check the invariants."""
        self.state.now_s = self.state.wall_s = self.now_s
        schedule.run(self.state)
        commands, self.state.commands = self.state.commands, []
        retired, self.state.retired_jobs = self.state.retired_jobs, []
        for ended_job in retired:
            self.outcomes[ended_job.spec.job] = ended_job.state
        starts = [command for command in commands if isinstance(command, model.Start)]
        self._check_gangs(starts)
        for command in commands:
            if isinstance(command, model.Start):
                self._start(command)
            elif (
                command.key in self.live_runs and self.live_runs[command.key][0].run == command.run
            ):
                start, _, _ = self.live_runs[command.key]
                self.live_runs[command.key] = (start, self.now_s + 0.5, "stopped")
            else:
                lifecycle.end_run(
                    self.state, command.worker, command.key, command.run, model.End.NEVER_RAN
                )
        self._check_room({start.worker for start in starts})

    def _start(self, start: model.Start) -> None:
        key = start.key
        assert key not in self.live_runs, "two runs of one task at once"
        assert key not in self.done_tasks, "a start of a task that is done"
        assert start.run > self.highest_runs.get(key, 0), "run numbers must increase"
        task, step_run = self.state.task_of(key), self.state.step_of(key)
        assert task is not None
        assert step_run is not None
        assert not step_run.job.is_final, "a start of a final job"
        attempt_key: object = (key.job, key.step) if step_run.spec.is_gang else key
        queue = QUEUES[step_run.job.spec.queue]
        if not step_run.spec.is_endless:
            assert len(self.failed_runs.get(attempt_key, ())) < queue.attempts, (
                "a start after the last attempt"
            )
        for number in step_run.spec.after:
            assert step_run.job.occurrences[key.occurrence].steps[number].is_done, (
                "a start before an earlier step is done"
            )
        worker = self.state.workers[start.worker]
        assert not worker.is_draining
        if step_run.spec.label:
            assert step_run.spec.label in worker.spec.labels
        self.highest_runs[key] = start.run
        run_s = step_run.spec.estimate_s * self.rng.uniform(0.5, 2.0)
        if step_run.spec.is_endless:
            run_s = float("inf")
        outcome = "failed" if self.rng.random() < self.fail_share else "done"
        if key.job in self.failing_jobs:
            run_s, outcome = 0.3, "failed"
        self.live_runs[key] = (start, self.now_s + run_s, outcome)
        lifecycle.confirm(self.state, start.worker, key, start.run)

    def _check_gangs(self, starts: Sequence[model.Start]) -> None:
        runs: dict[tuple[ids.JobId, int, int], list[int]] = {}
        for start in starts:
            step_run = self.state.step_of(start.key)
            assert step_run is not None
            if step_run.spec.is_gang:
                runs.setdefault(start.key[:3], []).append(start.run)
        for step_key, numbers in runs.items():
            step_run = self.state.step_of(model.TaskKey(*step_key, 0))
            assert step_run is not None
            assert len(numbers) == step_run.spec.count, "a gang must start as a whole"
            assert len(set(numbers)) == 1, "members must share a run number"

    def _check_room(self, started_workers: set[ids.WorkerId]) -> None:
        for worker in self.state.workers.values():
            if worker.spec.worker in self.shrunk_workers - started_workers:
                continue
            keys = [
                key
                for key, (start, _, _) in self.live_runs.items()
                if start.worker == worker.spec.worker
            ]
            needs = [self._need(key) for key in keys]
            assert sum(need.gpu for need in needs) <= worker.spec.capacity.gpu
            assert sum(need.cpu for need in needs) <= worker.spec.capacity.cpu
            assert sum(need.mem_mb for need in needs) <= worker.spec.capacity.mem_mb

    def _need(self, key: model.TaskKey) -> model.Resources:
        step_run = self.state.step_of(key)
        return model.Resources() if step_run is None else states.allocation_of(step_run.spec)

    def advance(self, by_s: float) -> None:
        """Advance the time, end the runs that are over and run a pass."""
        self.now_s += by_s
        self.state.now_s = self.state.wall_s = self.now_s
        for key in [key for key, (_, end_s, _) in self.live_runs.items() if end_s <= self.now_s]:
            if key in self.live_runs:
                start, _, outcome = self.live_runs[key]
                self._end(start, model.End(outcome))
        self.decide()

    def _end(self, start: model.Start, outcome: model.End) -> None:
        step_run = self.state.step_of(start.key)
        members = [start.key]
        if step_run is not None and step_run.spec.is_gang:
            members = [key for key in self.live_runs if key[:3] == start.key[:3]]
        for key in members:
            member_start, _, _ = self.live_runs.pop(key)
            end = outcome if key == start.key or outcome is model.End.DONE else model.End.BROKEN
            if end is model.End.DONE:
                self.done_tasks.add(key)
            if end is model.End.FAILED and step_run is not None:
                attempt_key: object = (key.job, key.step) if step_run.spec.is_gang else key
                self.failed_runs.setdefault(attempt_key, set()).add(member_start.run)
            lifecycle.end_run(self.state, member_start.worker, key, member_start.run, end)

    def crash(self, worker: ids.WorkerId) -> None:
        """Remove a worker with all its runs."""
        for key in [key for key, (start, _, _) in self.live_runs.items() if start.worker == worker]:
            del self.live_runs[key]
        lifecycle.remove_worker(self.state, worker)

    def resize(self, worker: ids.WorkerId, gpu: int) -> None:
        """Change the accelerators of a worker; what it holds runs on."""
        spec = self.state.workers[worker].spec
        capacity = model.Resources(spec.capacity.cpu, spec.capacity.mem_mb, gpu)
        if gpu < spec.capacity.gpu:
            self.shrunk_workers.add(worker)
        self.state.now_s = self.now_s
        resize.apply(
            self.state, self.state.workers[worker], msgspec.structs.replace(spec, capacity=capacity)
        )
