"""Occurrences of jobs: creates those that are due and opens their ready steps."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import model
from bronzequay.core import state as states

if TYPE_CHECKING:
    from bronzequay.core.state import Job, Occurrence, State, StepRun


def open_due(state: State, job: Job) -> None:
    """Create the occurrences of a job that are due and open their ready steps.

    Of overdue occurrences only as many are open at once as the job's progress record can hold.
    """
    tasks_each = sum(step.count for step in job.spec.steps)
    open_count = sum(not occurrence.is_done for occurrence in job.occurrences.values())
    while (
        job.next_occurrence < job.occurrence_count
        and job.due_s(job.next_occurrence) <= state.wall_s
        and (open_count + 1) * tasks_each <= model.MAX_TASKS_PER_JOB
    ):
        number = job.next_occurrence
        job.next_occurrence += 1
        open_count += 1
        job.occurrences[number] = states.Occurrence(job, number)
        open_ready_steps(state, job.occurrences[number])


def open_ready_steps(state: State, occurrence: Occurrence) -> None:
    """Open the unfinished steps whose earlier steps are all done."""
    for step in occurrence.steps:
        earlier = (occurrence.steps[number] for number in step.spec.after)
        if not step.is_done and all(other.is_done for other in earlier):
            if step.ready_s is None:
                step.ready_s = state.now_s
            open_step(state, step)


def open_step(state: State, step: StepRun) -> None:
    """Have the next pass place the waiting tasks of a step."""
    state.open_steps[step.key] = step
    state.is_changed = True


__all__ = ["open_due", "open_ready_steps", "open_step"]
