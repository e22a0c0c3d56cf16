"""Admission control: requests wait in the fair queue until an executor has a free slot."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors
from bronzequay.route import fair

if TYPE_CHECKING:
    from collections.abc import Collection, Mapping

    from bronzequay import ids
    from bronzequay.policy import model as policy_model
    from bronzequay.route import model, slots

RETRY_AFTER_S = 1.0


class Grant:
    """A slot of an executor, held by one attempt.

    :param ticket: the queued request that got the slot; none for a hedge
    """

    __slots__ = ("acquired_s", "executor", "ticket")

    def __init__(
        self, executor: model.Executor, ticket: fair.Ticket[_WaitingRequest] | None
    ) -> None:
        self.executor = executor
        self.ticket = ticket
        self.acquired_s = trio.current_time()


class _WaitingRequest:
    """A request in the queue, and the slot granted to it.

    ``granted`` is set when ``grant`` is; it exists once the request has to wait.
    """

    __slots__ = ("avoid", "grant", "granted")

    def __init__(self, avoid: Collection[ids.ExecutorId]) -> None:
        self.avoid = avoid
        self.grant: Grant | None = None
        self.granted: trio.Event | None = None


class Admission:
    """Grants slots of executors to the requests of this instance in fair order.

    :param slot_table: slot estimates of the executors
    """

    def __init__(self, *, slot_table: slots.SlotTable) -> None:
        self._slot_table = slot_table
        self._queue: fair.FairQueue[_WaitingRequest] = fair.FairQueue()

    def set_floors(self, floors: Mapping[policy_model.Urgency, float]) -> None:
        """Set the minimum share of slot time of each class."""
        self._queue.set_floors(floors)

    def __len__(self) -> int:
        """Return the number of requests waiting."""
        return len(self._queue)

    async def acquire(
        self, req: model.Request, *, deadline: float, avoid: Collection[ids.ExecutorId] = ()
    ) -> Grant:
        """Wait for a slot.

        :param deadline: time on trio's clock, in seconds
        :param avoid: executors to skip while others have free slots
        :return: a slot that the caller must release
        :raises BronzequayError: QUEUE_FULL, OVER_SHARE or DEADLINE_PASSED
        """
        waiting = _WaitingRequest(avoid)
        ticket = self._queue.push(
            waiting,
            urgency=req.urgency,
            org=req.org,
            caller=req.caller,
            slots=self._slot_table.capacity(),
        )
        self.grant_free_slots()
        if waiting.grant is not None:
            return waiting.grant
        waiting.granted = trio.Event()
        try:
            with trio.move_on_at(deadline):
                await waiting.granted.wait()
        except trio.Cancelled:
            self._withdraw(ticket)
            raise
        if waiting.grant is None:
            self._queue.remove(ticket)
            raise errors.BronzequayError(
                codes.ResultCode.DEADLINE_PASSED,
                "the deadline passed while the request was queued",
                retry_after_s=RETRY_AFTER_S,
            )
        return waiting.grant

    def acquire_nowait(self, *, avoid: Collection[ids.ExecutorId]) -> Grant | None:
        """Return a free slot if no request is queued, otherwise none.

        :param avoid: executors that must not be used
        """
        executor = None if self._queue else self._slot_table.acquire(avoid=avoid)
        return None if executor is None else Grant(executor, None)

    def release(self, grant: Grant) -> None:
        """Release a slot and grant it to the next queued request."""
        run_s = trio.current_time() - grant.acquired_s
        self._slot_table.release(grant.executor.executor, run_s=run_s)
        if grant.ticket is not None:
            self._queue.correct_cost(grant.ticket, cost_s=run_s)
        self.grant_free_slots()

    def grant_free_slots(self) -> None:
        """Grant free slots to queued requests."""
        while self._queue:
            ticket = self._queue.pop() if self._slot_table.has_free() else None
            if ticket is None:
                return
            executor = (
                self._slot_table.acquire(avoid=ticket.item.avoid) or self._slot_table.acquire()
            )
            if executor is None:
                raise AssertionError("slot table reported a free slot, but none could be acquired")
            ticket.item.grant = Grant(executor, ticket)
            if ticket.item.granted is not None:
                ticket.item.granted.set()

    def _withdraw(self, ticket: fair.Ticket[_WaitingRequest]) -> None:
        if ticket.item.grant is None:
            self._queue.remove(ticket)
        else:
            self.release(ticket.item.grant)


__all__ = ["Admission", "Grant"]
