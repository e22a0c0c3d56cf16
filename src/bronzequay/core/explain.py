"""One-sentence explanations of the state of a job, for people."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import advice, fleet_view, order, rooms
from bronzequay.core import state as states

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.core.state import Job, State, StepRun, Worker


def why(state: State, job_id: ids.JobId) -> str | None:
    """Explain what a job is doing or waiting for; None when it is unknown or retired."""
    job = state.jobs.get(job_id)
    if job is None:
        return None
    if job.is_final:
        return f"{job.state.value}: {job.reason or 'done'}; its last tasks are being stopped"
    waiting_steps = [
        step for step in state.open_steps.values() if step.job is job and step.waiting_tasks
    ]
    if waiting_steps:
        return _why_waiting(state, waiting_steps[0])
    placed_count = sum(len(step.placed_tasks) for step in job.steps())
    if placed_count:
        return f"{placed_count} tasks are at work"
    return f"occurrence {job.next_occurrence} is not due yet"


def _why_waiting(state: State, step: StepRun) -> str:
    job = step.job
    queue = state.queue_of(job)
    if queue is None:
        return f"queue {job.spec.queue} is not in the configuration (version {state.rules.version})"
    view = fleet_view.FleetView(state)
    need = states.allocation_of(step.spec)
    eligible_workers = view.eligible_workers(step)
    permitted_workers = [
        worker
        for worker in eligible_workers
        if not queue.requires_advice or advice.has_valid_ticket(state, step, worker)
    ]
    free_slots = sum(
        view.unreserved_room(worker, float("inf")).count_fitting(
            need, rooms.max_additional_tasks(worker, step)
        )
        for worker in permitted_workers
    )
    room = f"{need.gpu} accelerators, {need.cpu / 1000:g} cores and {need.mem_mb} MB each"
    parts = [
        f"step {step.number}: {len(step.waiting_tasks)} of {step.spec.count} tasks wait for {room}",
        f"{free_slots} such places are free on {len(permitted_workers)} workers",
    ]
    parts += _why_excluded(state, step, queue.service, view)
    if step.spec.is_gang:
        parts.append("all have to start at once")
    if step.failures or any(task.failures for task in step.tasks):
        parts.append(f"{count_failures(job)} runs have failed")
    if any(task.crashes for task in step.tasks):
        parts.append(f"workers crashed under {sum(task.crashes > 0 for task in step.tasks)} tasks")
    reservation = state.reservations.get(step.key)
    if reservation is not None:
        how = "is being freed" if reservation.is_preempting else "is expected to become free"
        parts.append(f"room on {len(reservation.slots)} workers {how}")
    parts.append(f"{_count_steps_ahead(state, step)} steps come before it")
    return "; ".join(parts)


def _why_excluded(
    state: State, step: StepRun, service: ids.ServiceId, view: fleet_view.FleetView
) -> list[str]:
    """Explain which workers get no starts because of evacuations, empty when there are none."""
    if not state.evacuations.is_known:
        return ["no task starts before the evacuations of data centres have been read"]
    excluded: list[Worker] = []
    others: list[Worker] = []
    for worker in state.workers.values():
        suits = not step.spec.label or step.spec.label in worker.spec.labels
        if suits and worker.spec.service == service:
            is_excluded = worker.spec.worker in view.restriction.excluded
            (excluded if is_excluded else others).append(worker)
    if not excluded:
        return []
    evacuated = [worker for worker in excluded if worker.spec.data_centre in state.evacuated]
    parts = []
    if evacuated:
        names = ", ".join(sorted({worker.spec.data_centre for worker in evacuated}))
        parts.append(f"{len(evacuated)} workers get no work, as {names} is under evacuation")
    if len(excluded) > len(evacuated):
        count = len(excluded) - len(evacuated)
        parts.append(f"{count} workers get work again within seconds, after an evacuation")
    required = step.spec.count if step.spec.is_gang else 1
    places = [
        sum(rooms.max_tasks_if_empty(worker, step) for worker in workers)
        for workers in (others, [*others, *excluded])
    ]
    if places[0] < required <= places[1]:
        parts.append("it fits only with these workers")
    return parts


def _count_steps_ahead(state: State, step: StepRun) -> int:
    guaranteed = order.guaranteed_jobs(state)
    own_rank = order.rank(state, step, guaranteed)
    return sum(
        order.rank(state, other, guaranteed) < own_rank for other in state.open_steps.values()
    )


def count_failures(job: Job) -> int:
    """Return the number of failed runs of a job's due occurrences; a run of a gang counts once."""
    return sum(
        step.failures if step.spec.is_gang else sum(task.failures for task in step.tasks)
        for step in job.steps()
    )


__all__ = ["count_failures", "why"]
