"""Stand-ins for executors that run tasks under leases, with fault switches."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import trio

from bronzequay.net import server

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.fakes import kv

GANG_TIMEOUT_S = 3.0
STOP_S = 0.3
MAX_HOLD_MS = 10_000
SAVE_S = 1.0
LISTED = 500


class Plan(msgspec.Struct, frozen=True):
    """How a task behaves; the payload of a job in tests and in the demo.

    :param run_s: time that a run takes
    :param gang: members of the gang, 0 for a task on its own
    :param fails: runs that end as failed before one succeeds
    :param saves: whether it writes checkpoints
    :param gpu: accelerators that it takes
    :param lasts: whether it runs without an end
    :param tail_ms: tail of its response times when nothing disturbs it, 0 if it does not serve
    :param disturbs: what it adds to the tails beside it at full speed, as a share of them
    """

    run_s: float = 1.0
    gang: int = 0
    fails: int = 0
    saves: bool = False
    gpu: int = 0
    lasts: bool = False
    tail_ms: float = 0.0
    disturbs: float = 0.0


class Run:
    """A run on an executor; ``begun_s`` is None while a gang is incomplete."""

    def __init__(self, task: str, run: int, plan: Plan, done_s: float, now_s: float) -> None:
        self.task = task
        self.run = run
        self.plan = plan
        self.done_s = done_s
        self.arrived_s = now_s
        self.begun_s: float | None = None
        self.stopping_s: float | None = None
        self.percent = 100

    def worked_s(self, now_s: float) -> float:
        """Return the work done, in seconds."""
        begun_s = now_s if self.begun_s is None else self.begun_s
        return self.done_s + now_s - begun_s

    def checkpoint(self, now_s: float, *, is_stop: bool = False) -> str:
        """Return the newest checkpoint, empty when there is none."""
        worked_s = self.worked_s(now_s)
        saved_s = worked_s if is_stop else worked_s // SAVE_S * SAVE_S
        return f"{int(saved_s * 1000):08x}" if self.plan.saves and saved_s > 0 else ""


class World:
    """What executors share: gangs, and a record of all starts and ends for the checks.

    :param store: where executors are listed
    :ivar tickets: by step and executor, None where starts need none
    """

    def __init__(self, store: kv.Kv) -> None:
        self.store = store
        self.executors: dict[str, Executor] = {}
        self.log: list[tuple[float, str, str, str, int]] = []
        self.tickets: dict[tuple[str, str], str] | None = None

    def note(self, event: str, executor: str, task: str, run: int) -> None:
        """Record a start or an end."""
        self.log.append((trio.current_time(), event, executor, task, run))

    def members(self, task: str, run: int) -> list[tuple[Executor, Run]]:
        """Return the present members of a gang's run."""
        step = task.rpartition(".")[0]
        return [
            (executor, each)
            for executor in self.executors.values()
            for each in executor.runs.values()
            if each.run == run and each.task.rpartition(".")[0] == step
        ]

    def add(self, name: str, address: str, **options: Any) -> Executor:
        """Add an executor and list it."""
        executor = Executor(self, name, address, **options)
        self.executors[name] = executor
        executor.list_entry()
        return executor

    async def run(self) -> None:
        """Let time pass on all executors."""
        while True:
            await trio.sleep(0.02)
            for executor in list(self.executors.values()):
                executor.step()


class Executor:
    """One executor; ``handle`` answers the published calls.

    :ivar is_up: whether it runs; a crashed one answers nothing
    :ivar answer_lost: calls, by path, that are done and not answered; counts down
    :ivar late_s: a call that is not answered is carried out this much later
    :ivar late_outlives: whether such a call also reaches a later life
    :ivar refuse: starts that are refused; counts down
    :ivar stall: whether nothing makes progress
    :ivar fail_all: whether all that starts fails
    """

    def __init__(
        self,
        world: World,
        name: str,
        address: str,
        *,
        service: str = "service",
        rack: str = "r1",
        cpu: int = 32_000,
        mem_mb: int = 131_072,
        gpu: int = 8,
    ) -> None:
        self.world = world
        self.name = name
        self.machine = f"m-{name}"
        self.address = address
        self.service = service
        self.labels = ["a", rack]
        self.capacity = {"cpu": cpu, "memMb": mem_mb, "gpu": gpu}
        self.answer_lost: dict[str, int] = {}
        self.late_s = 0.0
        self.late_outlives = False
        self.spawn: Callable[..., None] | None = None
        self.refuse = 0
        self.state = "ready"
        self.stall = False
        self.fail_all = False
        self.born_ms = 0
        self.boot()

    def boot(self) -> None:
        """Begin a new life that knows nothing of before."""
        self.born_ms = max(self.born_ms + 1, int(trio.current_time() * 1000) + 1)
        self.born_s = trio.current_time()
        self.is_up = True
        self.epoch = 0
        self.deadline_ms = 0.0
        self.runs: dict[str, Run] = {}
        self.barred: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.number = 0
        self.void: set[int] = set()
        self.changed = trio.Event()

    def crash(self) -> None:
        """End the life without a word."""
        lost, self.runs = self.runs, {}
        self.is_up = False
        for run in lost.values():
            self.world.note("gone", self.name, run.task, run.run)
            for executor, member in self.world.members(run.task, run.run) if run.plan.gang else ():
                executor.end(member, "broken")
        self.world.store.delete(f"servers/{self.name}")

    def list_entry(self) -> None:
        """Write the entry that lists the executor."""
        self.world.store.put(f"servers/{self.name}", self.entry(born_ms=self.born_ms))

    def entry(self, *, born_ms: int) -> bytes:
        """Return the entry of one of its lives."""
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": "z1",
            "state": self.state,
            "capacity": self.capacity,
            "labels": self.labels,
            "born": born_ms,
            "machine": self.machine,
        }
        return msgspec.json.encode(entry)

    @property
    def clock_ms(self) -> float:
        """Return the executor's own clock."""
        return (trio.current_time() - self.born_s) * 1000

    def step(self) -> None:
        """End what has lapsed, is done, or waited too long."""
        now_s = trio.current_time()
        is_lapsed = self.clock_ms > self.deadline_ms
        if is_lapsed:
            self.void.update(row[0] for row in self.ended)
        for run in list(self.runs.values()):
            if run.task not in self.runs:
                continue
            if is_lapsed:
                self.end(run, "lapsed")
            elif run.stopping_s is not None:
                if now_s >= run.stopping_s:
                    self.end(run, "stopped")
            elif run.begun_s is None:
                self._begin_gang(run, now_s)
            elif not self.stall and not run.plan.lasts and run.worked_s(now_s) >= run.plan.run_s:
                self._finish(run)

    def _begin_gang(self, run: Run, now_s: float) -> None:
        members = self.world.members(run.task, run.run)
        if len(members) >= run.plan.gang:
            for _, member in members:
                member.begun_s = now_s
        elif now_s - run.arrived_s > GANG_TIMEOUT_S:
            self.end(run, "alone")

    def _finish(self, run: Run) -> None:
        how = "failed" if self.fail_all or run.run <= run.plan.fails else "done"
        others = self.world.members(run.task, run.run) if run.plan.gang else []
        self.end(run, how)
        for executor, member in others:
            if member is not run and member.task in executor.runs:
                executor.end(member, "done" if how == "done" else "broken")

    def end(self, run: Run, how: str) -> None:
        """End a run, and the gang that it belongs to."""
        now_s = trio.current_time()
        del self.runs[run.task]
        self.barred[run.task] = max(self.barred.get(run.task, 0), run.run)
        self.number += 1
        saved = run.checkpoint(now_s, is_stop=how == "stopped")
        self.ended.append([self.number, run.task, run.run, how, saved])
        self.world.note(how, self.name, run.task, run.run)
        self.changed.set()
        self.changed = trio.Event()
        if run.plan.gang and how in ("stopped", "lapsed", "alone"):
            for executor, member in self.world.members(run.task, run.run):
                executor.end(member, "broken")

    async def handle(self, req: server.Request) -> server.Response:
        """Answer one call."""
        if self.answer_lost.get(req.path, 0) > 0:
            self.answer_lost[req.path] -= 1
            if self.late_s and self.spawn is not None:
                self.spawn(self._carry_out_late, req, self.late_s)
            else:
                self._carry_out(req)
            await trio.sleep_forever()
        answer = self._carry_out(req)
        body = msgspec.json.decode(req.body) if req.body else {}
        if req.path == "/hold" and answer.status == 200:  # noqa: PLR2004
            with trio.move_on_after(body.get("waitMs", 0) / 1000):
                while not self._unseen():
                    await self.changed.wait()
            answer = self._listing()
        return answer

    async def _carry_out_late(self, req: server.Request, late_s: float) -> None:
        life = self.born_ms
        await trio.sleep(late_s)
        if self.is_up and (self.late_outlives or self.born_ms == life):
            self._carry_out(req)

    def _carry_out(self, req: server.Request) -> server.Response:
        body = msgspec.json.decode(req.body) if req.body else {}
        if req.headers.get("expect-instance", self.name) != self.name:
            return server.Response(421)
        if body.get("fencingToken", 0) < self.epoch:
            return self._refuse("fence")
        self.epoch = max(self.epoch, body.get("fencingToken", 0))
        calls = {
            "/run-start": self._start,
            "/run-stop": self._stop,
            "/pace": self._pace,
            "/hold": self._hold,
        }
        return calls[req.path](body) if req.path in calls else server.Response(404)

    def _hold(self, body: dict[str, Any]) -> server.Response:
        self._extend(body.get("deadlineMs"))
        self._forget(body.get("observed", 0))
        return self._listing()

    def _forget(self, seen: int) -> None:
        """Forget ends that were taken note of; those before a lapse of the lease do not count."""
        for number, task, run, how, _ in self.ended:
            if number <= seen and how == "done" and number not in self.void:
                self.world.note("noted", self.name, task, run)
        self.ended = [row for row in self.ended if row[0] > seen]

    def _start(self, body: dict[str, Any]) -> server.Response:
        task, run = body["task"], body["run"]
        if self.refuse > 0:
            self.refuse -= 1
            return server.Response(503)
        if body["deadlineMs"] < self.clock_ms:
            return self._refuse("late")
        self._extend(body["deadlineMs"])
        if task in self.runs and self.runs[task].run == run:
            return self._ok()
        if run <= self.barred.get(task, 0) or task in self.runs:
            return self._refuse("old")
        step = task.rpartition(".")[0]
        tickets = self.world.tickets
        if tickets is not None and tickets.get((step, self.name)) != body.get("ticket"):
            return self._refuse("ticket")
        plan = msgspec.json.decode(body["spec"] or b"{}", type=Plan)
        saved = body.get("checkpointed", "")
        now_s = trio.current_time()
        started = Run(task, run, plan, int(saved, 16) / 1000 if saved else 0.0, now_s)
        if not plan.gang:
            started.begun_s = now_s
        self.runs[task] = started
        self.world.note("start", self.name, task, run)
        return self._ok()

    def _stop(self, body: dict[str, Any]) -> server.Response:
        task, run = body["task"], body["run"]
        self.barred[task] = max(self.barred.get(task, 0), run)
        found = self.runs.get(task)
        if found is not None and found.run <= run and found.stopping_s is None:
            found.stopping_s = trio.current_time() + STOP_S
        return self._ok()

    def _pace(self, body: dict[str, Any]) -> server.Response:
        found = self.runs.get(body["task"])
        if found is None or found.run != body["run"]:
            return self._refuse("old")
        found.percent = body["percent"]
        return self._ok()

    def tail_ms(self, run: Run) -> float:
        """Return the tail of a serving task's response times."""
        others = (other for other in self.runs.values() if other is not run)
        disturbance = sum(other.plan.disturbs * other.percent / 100 for other in others)
        return run.plan.tail_ms * (1 + disturbance)

    def _extend(self, deadline_ms: float | None) -> None:
        if deadline_ms is not None:
            most_ms = self.clock_ms + MAX_HOLD_MS
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms, most_ms))

    def _unseen(self) -> bool:
        return bool(self.ended)

    def _listing(self) -> server.Response:
        now_s = trio.current_time()
        running = [
            [
                run.task,
                run.run,
                run.checkpoint(now_s),
                self._percent(run, now_s),
                round(self.tail_ms(run)),
            ]
            for run in self.runs.values()
        ]
        body = {
            "clockMs": int(self.clock_ms),
            "born": self.born_ms,
            "running": running,
            "ended": self.ended[:LISTED],
        }
        return server.Response(200, msgspec.json.encode(body))

    def _percent(self, run: Run, now_s: float) -> int:
        if run.begun_s is None:
            return 0
        if run.plan.lasts:
            return 100
        return min(99, int(100 * run.worked_s(now_s) / run.plan.run_s))

    def _ok(self) -> server.Response:
        return server.Response(200, msgspec.json.encode({"clockMs": int(self.clock_ms)}))

    def _refuse(self, reason: str) -> server.Response:
        body = {"clockMs": int(self.clock_ms), "reason": reason}
        return server.Response(409, msgspec.json.encode(body))


__all__ = ["Executor", "Plan", "Run", "World"]
