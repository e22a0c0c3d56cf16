"""A term of the scheduler: passes events to the core, journals its changes, sends its orders."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING, Any

import structlog
import trio

from bronzequay import clock, codes, errors, figures
from bronzequay.control import (
    admission,
    advisor,
    contention,
    evacuations,
    intake,
    journal,
    late_starts,
    learned,
    roster,
    succession,
    sweep,
    upkeep,
)
from bronzequay.core import explain, lifecycle, losses, model, observations, schedule, settling
from bronzequay.core import state as states

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from collections.abc import Set as AbstractSet

    from bronzequay import ids
    from bronzequay.control.lease import LeaderLease
    from bronzequay.core.tasks import Task
    from bronzequay.platform import machines
    from bronzequay.platform.kv import Store

    StateChange = Callable[[states.State], None]

TICK_S = 0.25
"""Time between two checks for due occurrences; an occurrence starts at most this late."""
DEFAULT_EVAC_S = 5.0
"""The platform's default of ``evacMs``."""
DEFAULT_CANCEL_S = 3.0
"""The platform's default of ``cancel_ms``."""
DEFAULT_DRAIN_S = 2.0
"""The platform's default of ``drainMs``."""
TRUST_POLL_S = 0.1
MAX_MISSED_BEATS = 2
ENTRY_DELAY_S = 1.0
"""Longest time from the write of a worker's entry to its arrival here."""
FENCE_CHECK_INTERVAL_S = 1.0
"""Shortest time between two checks of whether a later term has begun."""
FAILURE_WRITE_S = 2.0
"""Time for the record of a failed term; without an answer the next term may fail alike."""
PAUSE_FACTOR = 2.0
"""Pause after a scheduling pass as a multiple of its duration, in which events accumulate."""

_log = structlog.get_logger()


class Term:
    """Schedules jobs while this instance holds the leader lease.

    :param rules: returns the rules in force
    :param max_run_lease_s: longest lease that a worker accepts for its runs
    :param beat_s: time between two writes of a worker's entry
    :param cancel_s: time after a job's cancellation from which none of its tasks starts
    :param drain_s: time after the announcement of a drain from which a worker gets no starts
    :param evac_s: time within which an evacuation of a data centre must take effect
    :param remote_factor: slow-down of a task off its data's rack, or of a gang spread over racks
    :param advice_address: ``IP:PORT`` of the advice service, empty when there is none
    :param machine_client: client of the platform's machine interface, None where there is none
    :param holdoff_s: time from the term's start for which machines get no orders
    :param retention_s: time for which a job's status is kept after the job's end
    :param has_admission: whether the waits of overloaded queues are published
    :ivar earlier: what is known of the schedulers of earlier terms
    """

    def __init__(
        self,
        store: Store,
        leader_lease: LeaderLease,
        rules: Callable[[], model.Rules],
        *,
        max_run_lease_s: float,
        beat_s: float,
        cancel_s: float = DEFAULT_CANCEL_S,
        drain_s: float = DEFAULT_DRAIN_S,
        evac_s: float = DEFAULT_EVAC_S,
        remote_factor: float = 3.0,
        advice_address: str = "",
        machine_client: machines.MachineClient | None = None,
        holdoff_s: float = 0.0,
        retention_s: float = float("inf"),
        has_admission: bool = False,
    ) -> None:
        self.max_run_lease_s = max_run_lease_s
        self.evacuations = evacuations.Evacuations(
            store, self.post, epoch=leader_lease.epoch, evac_s=evac_s
        )
        self.roster = roster.Roster(store, self, drain_s=drain_s)
        self._lease = leader_lease
        self._sweep = functools.partial(sweep.run, store, retention_s=retention_s)
        self._publish_waits = functools.partial(
            admission.publish, store, self._predicted_waits, lambda: self.is_trusted
        )
        self._has_admission = has_admission
        self._exporter = contention.Exporter(self._take_contention)
        self._rules = rules
        self._advisor = advisor.Advisor(advice_address, self)
        self._upkeep = upkeep.Upkeep(store, self, machine_client, holdoff_s=holdoff_s)
        self._intake = intake.Intake(store, self, cancel_s=cancel_s)
        self._learned = learned.Learned(store, self)
        self._journal = journal.Journal(store, leader_lease)
        max_entry_age_s = MAX_MISSED_BEATS * beat_s + ENTRY_DELAY_S
        self._state = states.State(
            rules(), max_entry_age_s=max_entry_age_s, remote_factor=remote_factor
        )
        self._posts: list[tuple[StateChange, trio.Event]] = []
        self._wake = trio.Event()
        self._succession = succession.Succession(store, leader_lease, max_run_lease_s)
        self.earlier = self._succession.earlier
        self._fence_checked_s = float("-inf")
        self._last_pass_s = float("-inf")
        self._next_pass_s = 0.0

    @property
    def epoch(self) -> ids.Epoch:
        """Return the term's epoch, which fences earlier terms."""
        return self._lease.epoch

    @property
    def is_trusted(self) -> bool:
        """Return whether orders may be sent."""
        return self._lease.is_trusted

    async def wait_until_trusted(self) -> None:
        """Wait until orders may be sent."""
        while not self.is_trusted:  # noqa: ASYNC110  # depends on the clock alone
            await trio.sleep(TRUST_POLL_S)

    async def wait_until_startable(self, worker_id: ids.WorkerId) -> None:
        """Wait until starts may be sent to a worker, by copies that are not too old."""
        while True:
            await self.wait_until_trusted()
            worker = self._state.workers.get(worker_id)
            is_known = worker is None or self._state.is_capacity_known(worker, trio.current_time())
            if is_known and self.roster.entries.check() and self._intake.cancels.check():
                return
            await trio.sleep(TRUST_POLL_S)

    def may_renew_run_leases(self, service: ids.ServiceId) -> bool:
        """Return whether the leases of tasks on a service's workers may be renewed."""
        return self.is_trusted or self._succession.may_renew(
            service, self.roster.is_executor_in_contact
        )

    def is_settled(self, worker: ids.WorkerId, service: ids.ServiceId) -> bool:
        """Return whether calls of earlier terms can no longer extend a worker's leases."""
        return self.earlier.are_settled(service) or settling.is_settled(self._state, worker)

    def uncertain_starts(
        self, worker: ids.WorkerId, shown: AbstractSet[model.TaskKey]
    ) -> late_starts.LateStarts:
        """Return the starts of a worker's runs that a later incarnation may have carried out."""
        return late_starts.uncertain(self._state, worker, shown)

    def post(self, change: StateChange) -> trio.Event:
        """Queue a change of the core's state.

        :param change: called with the core's state
        :return: set once the change is durable and its orders are queued for sending
        """
        durable = trio.Event()
        self._posts.append((change, durable))
        self._wake.set()
        return durable

    async def end_if_fenced(self, source: str) -> None:
        """End the term if a later one has begun, as an answer to one of its orders says.

        The answer alone does not end it: anyone may answer at an address that the store lists. A
        later term writes the journal before it sends its first order.

        :param source: who gave the answer
        :raises errors.BronzequayError: FENCED
        """
        if trio.current_time() - self._fence_checked_s < FENCE_CHECK_INTERVAL_S:
            return
        self._fence_checked_s = trio.current_time()
        try:
            await self._journal.check_fenced()
        except errors.BronzequayError as exc:
            if exc.code is codes.ResultCode.FENCED:
                raise
            _log.warning("fence_not_checked", source=source, epoch=self.epoch, error=str(exc))
        else:
            _log.warning("fence_unconfirmed", source=source, epoch=self.epoch)

    def payload_for(self, command: model.Start) -> str | None:
        """Return the payload of a run, None when the run is no longer wanted."""
        task = self._state.task_of(command.key)
        is_wanted = (
            task is not None
            and task.phase in (model.Phase.STARTING, model.Phase.RUNNING)
            and (task.run, task.worker) == (command.run, command.worker)
        )
        return self._state.jobs[command.key.job].spec.payload if is_wanted else None

    def without_withheld(self, workers: Iterable[ids.WorkerId]) -> tuple[ids.WorkerId, ...]:
        """Return the workers to which starts may be sent as far as evacuations are concerned."""
        known = self._state.workers
        return tuple(
            name
            for name in workers
            if self.evacuations.reason_to_withhold(
                known[name].spec.data_centre if name in known else None
            )
            is None
        )

    def explain(self, job: ids.JobId) -> str | None:
        """Return what a job is waiting for or doing, None when it is unknown or retired."""
        self._read_clocks()
        return explain.why(self._state, job)

    def _predicted_waits(self) -> dict[ids.QueueId, float]:
        self._read_clocks()
        return admission.predicted_waits(self._state)

    def _take_contention(self) -> contention.Load:
        self._read_clocks()
        return contention.waiting_work(self._state), self._state.stops.take_counts()

    def dump(self) -> dict[str, Any]:
        """Return the scheduler's state for the state dump."""
        return {
            "epoch": self.epoch,
            "is_trusted": self.is_trusted,
            "open_steps": len(self._state.open_steps),
            "claims": len(self._state.reservations),
            "predictions": self._state.forecast.dump(),
            "evacuated": sorted(self._state.evacuated),
            "evacuations_age_s": round(self.evacuations.age_s, 3),
            "jobs": {
                name: {
                    "state": job.state.value,
                    "placed": sum(len(s.placed_tasks) for s in job.steps()),
                }
                for name, job in self._state.jobs.items()
            },
            "workers": {
                name: {
                    "free": [worker.free_cpu, worker.free_mem_mb, worker.free_gpu],
                    "tasks": len(worker.tasks),
                    "is_ready": worker.is_ready,
                    "is_draining": worker.is_draining,
                    "is_silent": worker.is_silent,
                    "is_capacity_known": self._state.is_capacity_known(worker, self._state.now_s),
                    "avoided_s": max(0.0, worker.quarantined_until_s - self._state.now_s),
                }
                for name, worker in self._state.workers.items()
            },
            "waves": {
                number: {"done": len(wave.done), "ordered": sorted(wave.ordered)}
                for number, wave in self._state.waves.items()
            },
        }

    async def run(self) -> None:
        """Fence earlier terms, load the stored state and schedule until the term ends.

        An unexpected error is recorded with the job that was being decided about.

        :raises errors.BronzequayError: the reason why the term ended
        """
        try:
            await self._run()
        except* errors.BronzequayError:
            raise
        except* Exception:
            await self._record_failure()
            raise

    async def _run(self) -> None:
        self._read_clocks()
        await self._journal.fence_earlier_terms()
        self._state.settled_workers = await self._succession.load(self._journal.earlier)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._upkeep.load, self._state)
            nursery.start_soon(self._intake.load, self._state, self._journal)
        # Jobs that were given up are final even if the first pass fails again.
        await self._journal.commit(self._state, ())
        _log.info("term_began", epoch=self.epoch, jobs=len(self._state.jobs))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self.evacuations.run)
            nursery.start_soon(self._intake.run)
            nursery.start_soon(self.roster.run)
            nursery.start_soon(self._advisor.run)
            nursery.start_soon(self._upkeep.run)
            nursery.start_soon(self._succession.run)
            nursery.start_soon(self._sweep)
            nursery.start_soon(self._learned.run)
            nursery.start_soon(self._tick)
            nursery.start_soon(self._exporter.run)
            if self._has_admission:
                nursery.start_soon(self._publish_waits)
            await self._decide()

    async def _record_failure(self) -> None:
        """Record the job at which this term has failed, if it was deciding about one."""
        job = self._state.considered_job
        if job is None:
            return
        _log.error("job_ended_term", job=job, epoch=self.epoch)
        with trio.move_on_after(FAILURE_WRITE_S):
            await self._journal.record_failure(job, clock.wall_s())

    async def _decide(self) -> None:
        while True:
            await self._wake.wait()
            await trio.sleep_until(self._next_pass_s)
            self._wake = trio.Event()
            posts, self._posts = self._posts, []
            self._read_clocks()
            for change, _ in posts:
                self._state.considered_job = None
                change(self._state)
            self._state.considered_job = None
            self._end_runs_on_absent_workers()
            self._schedule()
            orphaned, self._intake.orphaned_cancels = self._intake.orphaned_cancels, set()
            puts = self._succession.next_census(lambda: self.roster.present(self._state))
            self._journal.earlier = self._succession.unended()
            await self._journal.commit(self._state, orphaned, puts)
            self._succession.on_stored()
            self._log_decisions()
            commands, self._state.commands = self._state.commands, []
            for command in commands:
                self.roster.dispatch(command)
            upkeep_orders, self._state.upkeep_orders = self._state.upkeep_orders, []
            for order in upkeep_orders:
                self._upkeep.enqueue(order)
            queries, self._state.advice_queries = self._state.advice_queries, []
            for query in queries:
                self._advisor.enqueue(query)
            for _, durable in posts:
                durable.set()
            # Takes 2 ms in busy hours, so it comes after the orders of the pass.
            observations.refresh(self._state)

    def _schedule(self) -> None:
        """Run a scheduling pass if one is due; passes take at most a third of the time."""
        is_due = self._state.now_s - self._last_pass_s >= TICK_S
        if not self._state.is_changed and not is_due:
            return
        schedule.run(self._state)
        duration_s = trio.current_time() - self._state.now_s
        figures.observe("decide", duration_s)
        self._last_pass_s = self._state.now_s
        self._next_pass_s = trio.current_time() + PAUSE_FACTOR * duration_s

    def _end_runs_on_absent_workers(self) -> None:
        """End the runs on workers that the store does not list once their leases have expired."""
        orphaned_tasks = self._state.orphaned_tasks
        services = {task.service for tasks in orphaned_tasks.values() for task in tasks.values()}
        services |= self.roster.services()
        self._succession.note_reached(services, self.roster.reached)
        for worker in list(orphaned_tasks):
            tasks = list(orphaned_tasks[worker].values())
            lost = [task for task in tasks if self._is_lost_with_earlier_leases(task)]
            if lost:
                losses.record_absent(self._state, worker, lost)
                kept = {(task.key, task.run) for task in tasks if task not in lost}
                lifecycle.end_lost_runs(self._state, worker, kept)

    def _is_lost_with_earlier_leases(self, task: Task) -> bool:
        return self.earlier.have_expired(task.service, is_settled=task.is_settled)

    def _read_clocks(self) -> None:
        self._state.now_s = trio.current_time()
        self._state.wall_s = clock.wall_s()
        self._state.rules = self._rules()
        self._state.evacuations.is_known = self.evacuations.check_known()

    def _log_decisions(self) -> None:
        decisions, self._state.decisions = self._state.decisions, []
        for event, job, inputs in decisions:
            _log.info(event, job=job, epoch=self.epoch, **inputs)

    async def _tick(self) -> None:
        while True:
            await trio.sleep(TICK_S)
            self._wake.set()


__all__ = ["Term"]
