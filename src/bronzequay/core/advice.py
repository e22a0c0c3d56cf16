"""Tickets of the advice service, which decides where the steps of some queues may run."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import model
from bronzequay.core import state as states

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from bronzequay import ids
    from bronzequay.core.state import State, StepRun, Worker

MAX_WORKERS_PER_QUERY = 30
"""Workers per query; objectives allow for the time of one query about 30 workers."""
START_DELAY_S = 0.3
"""Time from a decision to the arrival of its start; a ticket must stay valid for this long."""
QUERY_RETRY_S = 0.5
"""Pause after a query that went unanswered."""


def has_valid_ticket(state: State, step: StepRun, worker: Worker) -> bool:
    """Return whether a step has a ticket for a worker that stays valid until a start arrives."""
    ticket = step.tickets.get(worker.spec.worker)
    return ticket is not None and ticket.expires_s > state.now_s + START_DELAY_S


def request_tickets(state: State, step: StepRun, workers: Iterable[Worker]) -> None:
    """Query the advice service about the workers where a step's tasks could start next.

    No query is made while one is pending or shortly after a failed one, nor while the step has a
    valid ticket and no worker without one has room.

    :param workers: workers that suit the step, with or without a ticket
    """
    if step.is_query_pending or state.now_s < step.next_query_s:
        return
    need = states.allocation_of(step.spec)

    def has_room(worker: Worker) -> bool:
        return (
            worker.free_cpu >= need.cpu
            and worker.free_mem_mb >= need.mem_mb
            and worker.free_gpu >= need.gpu
        )

    candidates = [
        worker
        for worker in workers
        if worker.spec.worker not in step.denied_workers
        and not has_valid_ticket(state, step, worker)
    ]
    has_tickets = any(
        expires_s > state.now_s + START_DELAY_S for _, expires_s in step.tickets.values()
    )
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
    queried = tuple(worker.spec.worker for worker in candidates[:MAX_WORKERS_PER_QUERY])
    step.is_query_pending = True
    state.advice_queries.append(
        model.AdviceQuery(step.key, queried, _expected_s(state, step, len(queried)))
    )


def _expected_s(state: State, step: StepRun, count: int) -> float:
    queue = state.queue_of(step.job)
    return 0.0 if queue is None else queue.advice_s + queue.advice_per_worker_s * count


def record_answer(
    state: State, query: model.AdviceQuery, tickets: Mapping[ids.WorkerId, str], valid_s: float
) -> None:
    """Record the tickets for a query; workers of the query without one are denied to the step.

    :param tickets: tickets by worker
    :param valid_s: for how long the tickets are valid from now
    """
    step = state.step_of(query.step)
    if step is None:
        return
    step.is_query_pending = False
    step.denied_workers |= set(query.workers) - set(tickets)
    for worker, token in tickets.items():
        step.tickets[worker] = states.Ticket(token, state.now_s + valid_s)
    state.is_changed = True


def record_no_answer(state: State, query: model.AdviceQuery) -> None:
    """Record that a query went unanswered; it is repeated after a pause."""
    step = state.step_of(query.step)
    if step is not None:
        step.is_query_pending = False
        step.next_query_s = state.now_s + QUERY_RETRY_S


def drop_ticket(state: State, command: model.Start) -> None:
    """Discard the ticket of a start that the worker has refused; it is requested again."""
    step = state.step_of(command.key)
    if step is not None:
        step.tickets.pop(command.worker, None)


__all__ = [
    "drop_ticket",
    "has_valid_ticket",
    "record_answer",
    "record_no_answer",
    "request_tickets",
]
