"""A fleet that carries out the core's commands, and checks that hold at every step."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from bronzequay import ids
from bronzequay.core import lifecycle, model, schedule
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
    """Runs what the core starts; time passes in ``advance``.

    :ivar live: runs on workers by task, with the time at which each ends
    """

    def __init__(self, state: states.State, seed: int = 0, *, fail_share: float = 0.0) -> None:
        self.state = state
        self.rng = random.Random(seed)
        self.fail_share = fail_share
        self.live: dict[model.TaskKey, tuple[model.Start, float, str]] = {}
        self.done: set[tuple[ids.JobId, int, int, int]] = set()
        self.highest: dict[model.TaskKey, int] = {}
        self.failed: dict[object, set[int]] = {}
        self.final: dict[ids.JobId, model.JobState] = {}
        self.now_s = 0.0

    def decide(self) -> None:
        """Let the core decide, carry out its commands, and check them."""
        self.state.now_s = self.state.wall_s = self.now_s
        schedule.run(self.state)
        commands, self.state.commands = self.state.commands, []
        retired, self.state.retired_jobs = self.state.retired_jobs, []
        for ended in retired:
            self.final[ended.spec.job] = ended.state
        starts = [each for each in commands if isinstance(each, model.Start)]
        self._check_gangs(starts)
        for command in commands:
            if isinstance(command, model.Start):
                self._start(command)
            elif command.key in self.live and self.live[command.key][0].run == command.run:
                start, _, _ = self.live[command.key]
                self.live[command.key] = (start, self.now_s + 0.5, "stopped")
            else:
                lifecycle.end_run(
                    self.state, command.worker, command.key, command.run, model.End.NEVER_RAN
                )
        self._check_room()

    def _start(self, start: model.Start) -> None:
        key = start.key
        assert key not in self.live, "two runs of one task"
        assert key not in self.done, "a start after done"
        assert start.run > self.highest.get(key, 0), "run numbers rise"
        task, owner = self.state.task_of(key), self.state.step_of(key)
        assert task is not None
        assert owner is not None
        assert not owner.job.is_final, "a start of a job that has ended"
        name: object = (key.job, key.step) if owner.spec.is_gang else key
        queue = QUEUES[owner.job.spec.queue]
        if not owner.spec.is_endless:
            assert len(self.failed.get(name, ())) < queue.attempts, "a start beyond attempts"
        for number in owner.spec.after:
            assert owner.job.occurrences[key.occurrence].steps[number].is_done, "order"
        worker = self.state.workers[start.worker]
        assert not worker.is_draining
        if owner.spec.label:
            assert owner.spec.label in worker.spec.labels
        self.highest[key] = start.run
        run_s = owner.spec.estimate_s * self.rng.uniform(0.5, 2.0)
        how = "failed" if self.rng.random() < self.fail_share else "done"
        self.live[key] = (start, self.now_s + run_s, how)
        lifecycle.confirm(self.state, start.worker, key, start.run)

    def _check_gangs(self, starts: Sequence[model.Start]) -> None:
        runs: dict[tuple[ids.JobId, int, int], list[int]] = {}
        for start in starts:
            owner = self.state.step_of(start.key)
            assert owner is not None
            if owner.spec.is_gang:
                runs.setdefault(start.key[:3], []).append(start.run)
        for name, numbers in runs.items():
            owner = self.state.step_of(model.TaskKey(*name, 0))
            assert owner is not None
            assert len(numbers) == owner.spec.count, "all members or none"
            assert len(set(numbers)) == 1, "members share the run's number"

    def _check_room(self) -> None:
        for worker in self.state.workers.values():
            held = [
                key
                for key, (start, _, _) in self.live.items()
                if start.worker == worker.spec.worker
            ]
            needs = [self._need(key) for key in held]
            assert sum(need.gpu for need in needs) <= worker.spec.capacity.gpu
            assert sum(need.cpu for need in needs) <= worker.spec.capacity.cpu
            assert sum(need.mem_mb for need in needs) <= worker.spec.capacity.mem_mb

    def _need(self, key: model.TaskKey) -> model.Resources:
        owner = self.state.step_of(key)
        return model.Resources() if owner is None else states.allocation_of(owner.spec)

    def advance(self, by_s: float) -> None:
        """Let time pass, end what is over, and have the core decide."""
        self.now_s += by_s
        self.state.now_s = self.state.wall_s = self.now_s
        for key in [key for key, (_, end_s, _) in self.live.items() if end_s <= self.now_s]:
            if key in self.live:
                start, _, how = self.live[key]
                self._end(start, model.End(how))
        self.decide()

    def _end(self, start: model.Start, how: model.End) -> None:
        owner = self.state.step_of(start.key)
        members = [start.key]
        if owner is not None and owner.spec.is_gang:
            members = [key for key in self.live if key[:3] == start.key[:3]]
        for key in members:
            own, _, _ = self.live.pop(key)
            ended = how if key == start.key or how is model.End.DONE else model.End.BROKEN
            if ended is model.End.DONE:
                self.done.add(key)
            if ended is model.End.FAILED and owner is not None:
                name: object = (key.job, key.step) if owner.spec.is_gang else key
                self.failed.setdefault(name, set()).add(own.run)
            lifecycle.end_run(self.state, own.worker, key, own.run, ended)

    def crash(self, worker: ids.WorkerId) -> None:
        """Lose a worker with all that runs on it."""
        for key in [key for key, (start, _, _) in self.live.items() if start.worker == worker]:
            del self.live[key]
        lifecycle.remove_worker(self.state, worker)
