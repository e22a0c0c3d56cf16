"""A term of the scheduler: events into the core, durable changes, then orders."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import structlog
import trio

from bronzequay import clock, figures
from bronzequay.control import advisor, intake, journal, roster, session, sweep, upkeep
from bronzequay.core import explain, lifecycle, model, schedule
from bronzequay.core import state as states

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay import ids
    from bronzequay.control.lease import Held
    from bronzequay.platform import machines
    from bronzequay.platform.kv import Store

    Change = Callable[[states.State], None]

TICK_S = 0.25
"""Time between two looks at what is due; occurrences start this much late at most."""
TRUST_POLL_S = 0.1
REST_FACTOR = 2.0
"""Pause after a decision as a multiple of its time; events gather meanwhile."""

_log = structlog.get_logger()


class Term:
    """Decides while its lease is held.

    :param rules: the rules in force
    :param max_hold_s: longest lease that a worker gives its runs
    :param advice_address: ``IP:PORT`` of the advice service, empty when there is none
    :param machine_calls: orders for machines, None where there are none
    :param quiet_s: time from the beginning for which none are given
    :param keep_s: time after its end for which a job is told of
    """

    def __init__(
        self,
        store: Store,
        held: Held,
        rules: Callable[[], model.Rules],
        *,
        max_hold_s: float,
        advice_address: str = "",
        machine_calls: machines.MachineClient | None = None,
        quiet_s: float = 0.0,
        keep_s: float = float("inf"),
    ) -> None:
        self.max_hold_s = max_hold_s
        self.roster = roster.Roster(store, self)
        self._held = held
        self._sweep = functools.partial(sweep.run, store, keep_s=keep_s)
        self._rules = rules
        self._advisor = advisor.Advisor(advice_address, self)
        self._upkeep = upkeep.Upkeep(store, self, machine_calls, quiet_s=quiet_s)
        self._intake = intake.Intake(store, self)
        self._journal = journal.Journal(store, held.epoch)
        self._state = states.State(rules())
        self._posts: list[tuple[Change, trio.Event]] = []
        self._wake = trio.Event()
        self._majority_s: float | None = None
        self._decided_s = float("-inf")
        self._rest_until_s = 0.0

    @property
    def epoch(self) -> ids.Epoch:
        """Return the number that fences earlier terms."""
        return self._held.epoch

    @property
    def is_trusted(self) -> bool:
        """Return whether orders may be given."""
        return self._held.is_trusted

    async def wait_trusted(self) -> None:
        """Wait until orders may be given."""
        while not self.is_trusted:  # noqa: ASYNC110  # depends on the clock alone
            await trio.sleep(TRUST_POLL_S)

    @property
    def may_hold(self) -> bool:
        """Return whether running work may be held.

        Without a trusted lease it needs more than half of the workers, since a later term that
        reaches as many has fenced one of them at least.
        """
        held = self._held
        return held.is_trusted or (not held.is_lost and self.roster.reaches_majority)

    @property
    def are_earlier_lapsed(self) -> bool:
        """Return whether nothing that only an earlier term can reach runs any more."""
        if self._majority_s is None:
            return False
        return clock.boot_s() - self._majority_s > session.LAPSE_S

    def post(self, change: Change) -> trio.Event:
        """Have the core changed.

        :param change: called with the core's state
        :return: set once the change is durable and its orders are under way
        """
        durable = trio.Event()
        self._posts.append((change, durable))
        self._wake.set()
        return durable

    def payload_for(self, command: model.Start) -> str | None:
        """Return what a run is given, None when the run is not wanted any more."""
        task = self._state.task_of(command.key)
        is_wanted = (
            task is not None
            and task.phase in (model.Phase.STARTING, model.Phase.RUNNING)
            and (task.run, task.worker) == (command.run, command.worker)
        )
        return self._state.jobs[command.key.job].spec.payload if is_wanted else None

    def explain(self, job: ids.JobId) -> str | None:
        """Tell what a job waits for or does; None when it is not open."""
        self._read_clocks()
        return explain.why(self._state, job)

    def dump(self) -> dict[str, Any]:
        """Return what the scheduler knows, for the state dump."""
        return {
            "epoch": self.epoch,
            "is_trusted": self.is_trusted,
            "open_steps": len(self._state.open),
            "claims": len(self._state.claims),
            "jobs": {
                name: {"state": job.state.value, "placed": sum(len(s.placed) for s in job.steps())}
                for name, job in self._state.jobs.items()
            },
            "workers": {
                name: {
                    "free": [worker.cpu, worker.mem_mb, worker.gpu],
                    "tasks": len(worker.tasks),
                    "is_ready": worker.is_ready,
                    "is_draining": worker.is_draining,
                    "avoided_s": max(0.0, worker.avoid_until_s - self._state.now_s),
                }
                for name, worker in self._state.workers.items()
            },
            "waves": {
                number: {"done": len(wave.done), "ordered": sorted(wave.ordered)}
                for number, wave in self._state.waves.items()
            },
        }

    async def run(self) -> None:
        """Take over and decide until the term ends.

        :raises errors.BronzequayError: when it has ended
        """
        self._read_clocks()
        await self._journal.take_over()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._upkeep.load, self._state)
            nursery.start_soon(self._intake.load, self._state, self._journal)
        _log.info("term_began", epoch=self.epoch, jobs=len(self._state.jobs))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._intake.run)
            nursery.start_soon(self.roster.run)
            nursery.start_soon(self._advisor.run)
            nursery.start_soon(self._upkeep.run)
            nursery.start_soon(self._sweep)
            nursery.start_soon(self._tick)
            await self._decide()

    async def _decide(self) -> None:
        while True:
            await self._wake.wait()
            await trio.sleep_until(self._rest_until_s)
            self._wake = trio.Event()
            posts, self._posts = self._posts, []
            self._read_clocks()
            for change, _ in posts:
                change(self._state)
            self._end_absent()
            self._schedule()
            strays, self._intake.stray_cancels = self._intake.stray_cancels, set()
            await self._journal.commit(self._state, strays)
            self._log_decisions()
            commands, self._state.commands = self._state.commands, []
            for command in commands:
                self.roster.give(command)
            upkeeps, self._state.upkeeps = self._state.upkeeps, []
            for order in upkeeps:
                self._upkeep.give(order)
            questions, self._state.questions = self._state.questions, []
            for question in questions:
                self._advisor.put(question)
            for _, durable in posts:
                durable.set()

    def _schedule(self) -> None:
        """Have the core decide, for a third of the processor's time at most."""
        is_due = self._state.now_s - self._decided_s >= TICK_S
        if not self._state.is_changed and not is_due:
            return
        schedule.run(self._state)
        took_s = trio.current_time() - self._state.now_s
        figures.observe("decide", took_s)
        self._decided_s = self._state.now_s
        self._rest_until_s = trio.current_time() + REST_FACTOR * took_s

    def _end_absent(self) -> None:
        """End the runs on workers that are gone once their leases have certainly lapsed."""
        if self._majority_s is None and self.roster.reaches_majority:
            self._majority_s = clock.boot_s()
        if self._state.absent and self.are_earlier_lapsed:
            for worker in list(self._state.absent):
                _log.warning("worker_absent", worker=worker)
                lifecycle.lose(self._state, worker)

    def _read_clocks(self) -> None:
        self._state.now_s = trio.current_time()
        self._state.wall_s = clock.wall_s()
        self._state.rules = self._rules()

    def _log_decisions(self) -> None:
        decisions, self._state.decisions = self._state.decisions, []
        for event, job, inputs in decisions:
            _log.info(event, job=job, epoch=self.epoch, **inputs)

    async def _tick(self) -> None:
        while True:
            await trio.sleep(TICK_S)
            self._wake.set()


__all__ = ["Term"]
