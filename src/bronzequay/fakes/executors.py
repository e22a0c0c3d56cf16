"""Stand-ins for executors that run tasks under leases, with fault switches."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
import trio

from bronzequay.fakes import tasks
from bronzequay.net import server

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.fakes import kv

GANG_TIMEOUT_S = 3.0
STOP_DURATION_S = 0.3
MAX_LEASE_MS = 10_000
MAX_LISTED_ENDS = 500
BEAT_S = 1.5
RESTART_S = 3.0
"""Time after which an executor that a task has crashed is back."""


class World:
    """All executors of a test, their gangs, and a log of all starts and ends for the checks.

    :param store: store in which the executors are listed
    :ivar log: time, event, executor, task and run number of each start and end
    :ivar tickets: valid tickets by step and executor, None if starts need none
    :ivar executor_type: what makes the executors that are added
    """

    def __init__(self, store: kv.Kv) -> None:
        self.store = store
        self.executor_type: Callable[..., Executor] = Executor
        self.executors: dict[str, Executor] = {}
        self.log: list[tuple[float, str, str, str, int]] = []
        self.tickets: dict[tuple[str, str], str] | None = None
        self._restarts: list[tuple[float, Executor]] = []

    def record_event(self, event: str, executor: str, task: str, run: int) -> None:
        """Append a start or an end to the log."""
        self.log.append((trio.current_time(), event, executor, task, run))

    def members(self, task: str, run: int) -> list[tuple[Executor, tasks.Run]]:
        """Return the members of a gang's run that are on an executor now."""
        step = task.rpartition(".")[0]
        return [
            (executor, member)
            for executor in self.executors.values()
            for member in executor.runs.values()
            if member.run == run and member.task.rpartition(".")[0] == step
        ]

    def add(self, name: str, address: str, **options: Any) -> Executor:
        """Add an executor and list it in the store."""
        executor = self.executor_type(self, name, address, **options)
        self.executors[name] = executor
        executor.list_entry()
        return executor

    async def run(self) -> None:
        """Advance all executors every 20 ms until cancelled."""
        while True:
            await trio.sleep(0.02)
            for executor in list(self.executors.values()):
                executor.advance()
                executor.beat()
            self._restart_crashed()

    def crash(self, executor: Executor) -> None:
        """Crash an executor and start it again, under a new id unless it keeps its id."""
        executor.crash()
        self._restarts.append((trio.current_time() + RESTART_S, executor))

    def _restart_crashed(self) -> None:
        now_s = trio.current_time()
        due = [executor for due_s, executor in self._restarts if due_s <= now_s]
        self._restarts = [restart for restart in self._restarts if restart[0] > now_s]
        for executor in due:
            if executor.is_up:
                continue
            del self.executors[executor.name]
            executor.boot()
            if not executor.keeps_id:
                executor.name = f"{executor.name.partition('-life')[0]}-life{executor.born_ms}"
            self.executors[executor.name] = executor
            executor.list_entry()


class Executor:
    """An executor; ``handle`` implements the published protocol.

    :ivar is_up: whether it is running; a crashed executor answers nothing
    :ivar unanswered_calls: number of calls, by path, to carry out without an answer; counts down
    :ivar late_effect_s: delay after which an unanswered call is carried out, in seconds
    :ivar late_effect_survives_restart: whether a delayed call also reaches a later incarnation
    :ivar starts_to_refuse: number of starts to refuse with 503; counts down
    :ivar is_stalled: whether no run completes
    :ivar fails_all_runs: whether every run that completes is reported as failed
    :ivar cold_until_s: until when its entry states that it is cold; the speed of its runs stays
    :ivar beats: whether it writes its entry, with its clock, every ``BEAT_S`` and not on changes
    :ivar clock_start_ms: what the clock of its next life begins at
    :ivar clock_rate: rate of that clock, below 1 for a slow one
    :ivar keeps_id: whether it restarts under its id after a task has crashed it
    :ivar barred_runs: highest run number by task that may no longer start
    :ivar void_ends: numbers of ends that were unacknowledged when the lease lapsed
    """

    def __init__(
        self,
        world: World,
        name: str,
        address: str,
        *,
        service: str = "service",
        rack: str = "r1",
        zone: str = "z1",
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
        self.zone, self.cold_until_s = zone, 0.0
        self.capacity = {"cpu": cpu, "memMb": mem_mb, "gpu": gpu}
        self.unanswered_calls: dict[str, int] = {}
        self.late_effect_s, self.late_effect_survives_restart = 0.0, False
        self.clock_start_ms, self.clock_rate = 0.0, 1.0
        self.spawn: Callable[..., None] | None = None
        self.starts_to_refuse = 0
        self.state = "ready"
        self.is_stalled = self.fails_all_runs = self.beats = self.keeps_id = False
        self.next_beat_s, self.born_ms = 0.0, 0
        self.boot()

    def boot(self) -> None:
        """Start a new incarnation with empty state."""
        self.born_ms = max(self.born_ms + 1, int(trio.current_time() * 1000) + 1)
        self._clock = (trio.current_time(), self.clock_start_ms, self.clock_rate)
        self.is_up = True
        self.epoch, self.last_end, self.deadline_ms = 0, 0, 0.0
        self.runs: dict[str, tasks.Run] = {}
        self.barred_runs: dict[str, int] = {}
        self.ended: list[list[Any]] = []
        self.void_ends: set[int] = set()
        self.changed = trio.Event()

    def crash(self, *, keeps_entry: bool = False) -> None:
        """End the incarnation without notice; the other members of its gangs end as broken."""
        lost, self.runs = self.runs, {}
        self.is_up = False
        for run in lost.values():
            self.world.record_event("gone", self.name, run.task, run.run)
            for executor, member in self.world.members(run.task, run.run) if run.plan.gang else ():
                executor.end(member, "broken")
        if not keeps_entry:
            self.world.store.delete(f"servers/{self.name}")

    def list_entry(self) -> None:
        """Write the executor's entry to the store."""
        self.world.store.put(f"servers/{self.name}", self.entry(born_ms=self.born_ms))

    def beat(self) -> None:
        """Write the entry if that is due and the store answers."""
        if not self.beats or not self.is_up or trio.current_time() < self.next_beat_s:
            return
        self.next_beat_s = trio.current_time() + BEAT_S
        if not self.world.store.faults.silent:
            self.list_entry()

    def entry(self, *, born_ms: int) -> bytes:
        """Return the encoded entry of an incarnation."""
        entry = {
            "service": self.service,
            "addr": self.address,
            "zone": self.zone,
            "state": self.state,
            "capacity": self.capacity,
            "labels": self.labels,
            "born": born_ms,
            "machine": self.machine,
            "coldRemainingMs": max(0, round((self.cold_until_s - trio.current_time()) * 1000)),
            **({"clockMs": int(self.clock_ms)} if self.beats else {}),
        }
        return msgspec.json.encode(entry)

    @property
    def clock_ms(self) -> float:
        """Return the incarnation's clock, in milliseconds."""
        born_s, start_ms, rate = self._clock
        return start_ms + (trio.current_time() - born_s) * rate * 1000

    def advance(self) -> None:
        """Start complete gangs; end runs that lapsed, stopped, completed or waited too long."""
        now_s = trio.current_time()
        is_lapsed = self.clock_ms > self.deadline_ms
        if is_lapsed:
            self.void_ends.update(row[0] for row in self.ended)
        for run in list(self.runs.values()):
            if run.task not in self.runs:
                continue
            if is_lapsed:
                self.end(run, "lapsed")
            elif run.stop_at_s is not None:
                if now_s >= run.stop_at_s:
                    self.end(run, "stopped")
            elif run.started_s is None:
                self._start_gang_or_end(run, now_s)
            elif (
                run.plan.crashes_after_s is not None
                and now_s - run.started_s >= run.plan.crashes_after_s
            ):
                self.world.crash(self)
            elif not self.is_stalled and not run.plan.lasts and run.done_s(now_s) >= run.plan.run_s:
                self._complete(run)

    def _start_gang_or_end(self, run: tasks.Run, now_s: float) -> None:
        members = self.world.members(run.task, run.run)
        if len(members) >= run.plan.gang:
            for _, member in members:
                member.started_s = now_s
        elif now_s - run.arrived_s > GANG_TIMEOUT_S:
            self.end(run, "alone")

    def _complete(self, run: tasks.Run) -> None:
        outcome = "failed" if self.fails_all_runs or run.run <= run.plan.fails else "done"
        others = self.world.members(run.task, run.run) if run.plan.gang else []
        self.end(run, outcome)
        for executor, member in others:
            if member is not run and member.task in executor.runs:
                executor.end(member, "done" if outcome == "done" else "broken")

    def end(self, run: tasks.Run, outcome: str) -> None:
        """End a run; the outcomes stopped, lapsed and alone end the rest of its gang as broken."""
        now_s = trio.current_time()
        del self.runs[run.task]
        self.barred_runs[run.task] = max(self.barred_runs.get(run.task, 0), run.run)
        self.last_end += 1
        checkpoint = run.checkpoint(now_s, is_stop=outcome == "stopped")
        self.ended.append([self.last_end, run.task, run.run, outcome, checkpoint])
        self.world.record_event(outcome, self.name, run.task, run.run)
        self.changed.set()
        self.changed = trio.Event()
        if run.plan.gang and outcome in ("stopped", "lapsed", "alone"):
            for executor, member in self.world.members(run.task, run.run):
                executor.end(member, "broken")

    async def handle(self, req: server.Request) -> server.Response:
        """Answer a call."""
        incarnation = self.born_ms
        if not self.is_up:
            await trio.sleep_forever()
        if self.unanswered_calls.get(req.path, 0) > 0:
            self.unanswered_calls[req.path] -= 1
            if self.late_effect_s and self.spawn is not None:
                self.spawn(self._execute_late, req, self.late_effect_s)
            else:
                self._execute(req)
            await trio.sleep_forever()
        answer = self._execute(req)
        body = msgspec.json.decode(req.body) if req.body else {}
        if req.path == "/hold" and answer.status == 200:  # noqa: PLR2004
            with trio.move_on_after(body.get("waitMs", 0) / 1000):
                while not self.ended:
                    await self.changed.wait()
            answer = self._list_runs()
        if not self.is_up or self.born_ms != incarnation:
            await trio.sleep_forever()
        return answer

    async def _execute_late(self, req: server.Request, late_effect_s: float) -> None:
        incarnation = self.born_ms
        await trio.sleep(late_effect_s)
        if self.is_up and (self.late_effect_survives_restart or self.born_ms == incarnation):
            self._execute(req)

    def _execute(self, req: server.Request) -> server.Response:
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
        self._extend_lease(body.get("deadlineMs"))
        self._drop_acknowledged_ends(body.get("observed", 0))
        return self._list_runs()

    def _drop_acknowledged_ends(self, acknowledged: int) -> None:
        """Drop acknowledged ends; done ones are logged as noted unless the lease lapsed before."""
        for end, task, run, outcome, _ in self.ended:
            if end <= acknowledged and outcome == "done" and end not in self.void_ends:
                self.world.record_event("noted", self.name, task, run)
        self.ended = [row for row in self.ended if row[0] > acknowledged]

    def _start(self, body: dict[str, Any]) -> server.Response:
        task, run = body["task"], body["run"]
        if self.starts_to_refuse > 0:
            self.starts_to_refuse -= 1
            return server.Response(503)
        if body["deadlineMs"] < self.clock_ms:
            return self._refuse("late")
        self._extend_lease(body["deadlineMs"])
        if task in self.runs and self.runs[task].run == run:
            return self._ok()
        if run <= self.barred_runs.get(task, 0) or task in self.runs:
            return self._refuse("old")
        step = task.rpartition(".")[0]
        tickets = self.world.tickets
        if tickets is not None and tickets.get((step, self.name)) != body.get("ticket"):
            return self._refuse("ticket")
        plan = msgspec.json.decode(body["spec"] or b"{}", type=tasks.Plan)
        checkpoint = body.get("checkpointed", "")
        now_s = trio.current_time()
        new_run = tasks.Run(
            task, run, plan, int(checkpoint, 16) / 1000 if checkpoint else 0.0, now_s
        )
        if not plan.gang:
            new_run.started_s = now_s
        self.runs[task] = new_run
        self.world.record_event("start", self.name, task, run)
        if plan.crashes_after_s is not None and plan.crashes_after_s < 0:
            self.world.crash(self)
        return self._ok()

    def _stop(self, body: dict[str, Any]) -> server.Response:
        task, run = body["task"], body["run"]
        self.barred_runs[task] = max(self.barred_runs.get(task, 0), run)
        current_run = self.runs.get(task)
        if current_run is not None and current_run.run <= run and current_run.stop_at_s is None:
            current_run.stop_at_s = trio.current_time() + STOP_DURATION_S
        return self._ok()

    def _pace(self, body: dict[str, Any]) -> server.Response:
        current_run = self.runs.get(body["task"])
        if current_run is None or current_run.run != body["run"]:
            return self._refuse("old")
        current_run.speed_percent = body["percent"]
        return self._ok()

    def tail_ms(self, run: tasks.Run) -> float:
        """Return the tail latency of a serving task under the interference of other runs."""
        others = (other for other in self.runs.values() if other is not run)
        disturbance = sum(other.plan.disturbs * other.speed_percent / 100 for other in others)
        return run.plan.tail_ms * (1 + disturbance)

    def _extend_lease(self, deadline_ms: float | None) -> None:
        if deadline_ms is not None:
            max_deadline_ms = self.clock_ms + MAX_LEASE_MS
            self.deadline_ms = max(self.deadline_ms, min(deadline_ms, max_deadline_ms))

    def _list_runs(self) -> server.Response:
        now_s = trio.current_time()
        running = [
            [
                run.task,
                run.run,
                run.checkpoint(now_s),
                run.progress_percent(now_s),
                round(self.tail_ms(run)),
            ]
            for run in self.runs.values()
        ]
        body = {
            "clockMs": int(self.clock_ms),
            "born": self.born_ms,
            "running": running,
            "ended": self.ended[:MAX_LISTED_ENDS],
        }
        return server.Response(200, msgspec.json.encode(body))

    def _ok(self) -> server.Response:
        return server.Response(200, msgspec.json.encode({"clockMs": int(self.clock_ms)}))

    def _refuse(self, reason: str) -> server.Response:
        body = {"clockMs": int(self.clock_ms), "reason": reason}
        return server.Response(409, msgspec.json.encode(body))


__all__ = ["Executor", "World"]
