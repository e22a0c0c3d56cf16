"""Which workers may run a step of a queue whose policy is kept by an advice service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import model
from bronzequay.core import state as states

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from bronzequay import ids
    from bronzequay.core.state import State, StepRun, Worker

MAX_ASKED = 30
"""Workers in one question; objectives allow for the time of one question about 30."""
START_S = 0.3
"""Time from a decision until its start has arrived, for which a ticket must still be valid."""
RETRY_S = 0.5
"""Pause after a question without an answer."""


def may_run(state: State, step: StepRun, worker: Worker) -> bool:
    """Return whether there is a valid ticket for a worker."""
    ticket = step.tickets.get(worker.spec.worker)
    return ticket is not None and ticket.until_s > state.now_s + START_S


def ask(state: State, step: StepRun, workers: Iterable[Worker]) -> None:
    """Ask about the workers on which a step's waiting tasks could be started next.

    :param workers: that could be given tasks of the step if its policy allows it
    """
    if step.is_asking or state.now_s < step.no_question_until_s:
        return
    need = states.need_of(step.spec)

    def has_room(worker: Worker) -> bool:
        return worker.cpu >= need.cpu and worker.mem_mb >= need.mem_mb and worker.gpu >= need.gpu

    candidates = [
        worker
        for worker in workers
        if worker.spec.worker not in step.barred and not may_run(state, step, worker)
    ]
    has_tickets = any(until_s > state.now_s + START_S for _, until_s in step.tickets.values())
    if not candidates or (has_tickets and not any(map(has_room, candidates))):
        return
    rack = step.spec.data_rack
    candidates.sort(
        key=lambda worker: (
            not has_room(worker),
            worker.spec.worker not in step.tickets,
            bool(rack) and worker.spec.rack != rack,
            worker.spec.rack,
            worker.spec.worker,
        )
    )
    asked = tuple(worker.spec.worker for worker in candidates[:MAX_ASKED])
    step.is_asking = True
    state.questions.append(model.Ask(step.key, asked))


def note_answer(
    state: State, question: model.Ask, tickets: Mapping[ids.WorkerId, str], valid_s: float
) -> None:
    """Note which of the workers that were asked about may run a step.

    :param valid_s: for how long the tickets hold from now
    """
    step = state.step_of(question.step)
    if step is None:
        return
    step.is_asking = False
    step.barred |= set(question.workers) - set(tickets)
    for worker, text in tickets.items():
        step.tickets[worker] = states.Ticket(text, state.now_s + valid_s)
    state.is_changed = True


def note_silence(state: State, question: model.Ask) -> None:
    """Note that a question was not answered."""
    step = state.step_of(question.step)
    if step is not None:
        step.is_asking = False
        step.no_question_until_s = state.now_s + RETRY_S


def drop_ticket(state: State, command: model.Start) -> None:
    """Note that a worker did not accept the ticket of a start."""
    step = state.step_of(command.key)
    if step is not None:
        step.tickets.pop(command.worker, None)


__all__ = ["ask", "drop_ticket", "may_run", "note_answer", "note_silence"]
