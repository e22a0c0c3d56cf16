"""Bounded queue with fair sharing among urgency classes, organisations and callers."""

from __future__ import annotations

import collections
import itertools
from typing import TYPE_CHECKING, Generic, TypeVar

from bronzequay import codes, errors, ids
from bronzequay.policy import model
from bronzequay.route import flow

if TYPE_CHECKING:
    from collections.abc import Mapping

T = TypeVar("T")

DEFAULT_FLOORS: Mapping[model.Urgency, float] = {
    model.Urgency.URGENT: 0.2,
    model.Urgency.NORMAL: 0.2,
    model.Urgency.LOW: 0.05,
}
DEFAULT_MAX_QUEUED = 1024
MAX_CALLER_SHARE_OF_FREE = 0.5
COST_SMOOTHING = 0.05
INITIAL_COST_S = 0.05
MAX_CREDIT_REQUESTS = 32.0
MAX_DEBT_REQUESTS = 8.0
MAX_IDLE_FLOWS = 4096
MIN_RETRY_AFTER_S = 0.05

BY_URGENCY = (model.Urgency.URGENT, model.Urgency.NORMAL, model.Urgency.LOW)


class Ticket(Generic[T]):
    """A queued request.

    :param cost_s: slot time in seconds charged when the request left the queue
    """

    __slots__ = ("caller", "cost_s", "item", "org", "serial", "urgency")

    def __init__(
        self,
        item: T,
        urgency: model.Urgency,
        org: flow.Flow[ids.OrgId, _OrgQueue[T]],
        caller: flow.Flow[ids.CallerId, _CallerQueue[T]],
        serial: int,
    ) -> None:
        self.item = item
        self.urgency = urgency
        self.org = org
        self.caller = caller
        self.serial = serial
        self.cost_s = 0.0


_CallerQueue = collections.OrderedDict[int, Ticket[T]]


class _OrgQueue(Generic[T]):
    """Queued requests of one organisation in one urgency class, by caller."""

    __slots__ = ("callers", "size")

    def __init__(self) -> None:
        self.callers: flow.FlowSet[ids.CallerId, _CallerQueue[T]] = flow.FlowSet()
        self.size = 0


class _UrgencyClass(Generic[T]):
    """Queued requests of one urgency class, by organisation.

    :param floor: minimum share of slot time while another class floods the queue
    """

    __slots__ = ("cost_s", "credit_s", "floor", "orgs", "size")

    def __init__(self, floor: float) -> None:
        self.floor = floor
        self.orgs: flow.FlowSet[ids.OrgId, _OrgQueue[T]] = flow.FlowSet()
        self.size = 0
        self.credit_s = 0.0
        self.cost_s = INITIAL_COST_S


class FairQueue(Generic[T]):
    """Requests waiting for a slot.

    Each class earns credit at its floor, a share of the slot time granted to all classes, up
    to ``MAX_CREDIT_REQUESTS``. A class with credit for a whole request goes first, otherwise
    the most urgent class. Within a class the organisation, then the caller, that has used the
    least slot time goes first.

    :param floors: minimum share of slot time of each class
    :param max_queued: maximum number of requests waiting in one class
    """

    def __init__(
        self,
        *,
        floors: Mapping[model.Urgency, float] = DEFAULT_FLOORS,
        max_queued: int = DEFAULT_MAX_QUEUED,
    ) -> None:
        self._classes = {
            urgency: _UrgencyClass[T](floors.get(urgency, 0.0)) for urgency in BY_URGENCY
        }
        self._max_queued = max_queued
        self._serial = itertools.count()
        self._size = 0

    def set_floors(self, floors: Mapping[model.Urgency, float]) -> None:
        """Set the minimum share of slot time of each class."""
        for urgency, urgency_class in self._classes.items():
            urgency_class.floor = floors.get(urgency, 0.0)

    def __len__(self) -> int:
        """Return the number of requests waiting."""
        return self._size

    def size(self, urgency: model.Urgency) -> int:
        """Return the number of requests waiting in a class."""
        return self._classes[urgency].size

    def caller_count(self) -> int:
        """Return the number of callers held in memory, idle ones included."""
        return sum(
            len(org.callers)
            for urgency_class in self._classes.values()
            for org in urgency_class.orgs.contents()
        )

    def push(
        self,
        item: T,
        *,
        urgency: model.Urgency,
        org: ids.OrgId,
        caller: ids.CallerId,
        slots: int = 1,
    ) -> Ticket[T]:
        """Queue a request.

        :param item: returned in the ticket by ``pop``
        :param slots: number of slots that serve this queue, used to estimate ``retry_after_s``
        :return: the ticket of the request
        :raises BronzequayError: QUEUE_FULL or OVER_SHARE
        """
        urgency_class = self._classes[urgency]
        org_flow = urgency_class.orgs.get(org) or self._add_org(urgency_class, org)
        callers = org_flow.content.callers
        caller_flow = callers.get(caller) or self._add_caller(
            urgency_class, org_flow.content, caller
        )
        self._check_capacity(urgency_class, org_flow.content.size, len(caller_flow.content), slots)
        ticket = Ticket(item, urgency, org_flow, caller_flow, next(self._serial))
        caller_flow.content[ticket.serial] = ticket
        org_flow.content.size += 1
        urgency_class.size += 1
        self._size += 1
        callers.activate(caller_flow)
        urgency_class.orgs.activate(org_flow)
        return ticket

    def pop(self) -> Ticket[T] | None:
        """Remove and return the next request, or none if the queue is empty."""
        if not self._size:
            return None
        urgency_class = self._next_class()
        org_flow = urgency_class.orgs.first()
        if org_flow is None:
            raise AssertionError("urgency class has queued requests but no active organisation")
        org = org_flow.content
        caller_flow = org.callers.first()
        if caller_flow is None:
            raise AssertionError("organisation has queued requests but no active caller")
        _serial, ticket = caller_flow.content.popitem(last=False)
        ticket.cost_s = urgency_class.cost_s
        self._decrement_sizes(urgency_class, org)
        org.callers.charge_first(ticket.cost_s, has_more=bool(caller_flow.content))
        urgency_class.orgs.charge_first(ticket.cost_s, has_more=org.size > 0)
        return ticket

    def remove(self, ticket: Ticket[T]) -> None:
        """Remove a request from the queue; does nothing if it has left already."""
        if ticket.caller.content.pop(ticket.serial, None) is None:
            return
        urgency_class = self._classes[ticket.urgency]
        org = ticket.org.content
        self._decrement_sizes(urgency_class, org)
        if not ticket.caller.content:
            org.callers.deactivate(ticket.caller)
        if not org.size:
            urgency_class.orgs.deactivate(ticket.org)

    def correct_cost(self, ticket: Ticket[T], *, cost_s: float) -> None:
        """Replace the estimated charge of a request by its actual slot time.

        :param ticket: a request that has left the queue
        :param cost_s: its actual slot time in seconds
        """
        urgency_class = self._classes[ticket.urgency]
        excess_s = cost_s - ticket.cost_s
        ticket.caller.correction_s += excess_s
        ticket.org.correction_s += excess_s
        urgency_class.credit_s = max(
            urgency_class.credit_s - excess_s, -MAX_DEBT_REQUESTS * urgency_class.cost_s
        )
        urgency_class.cost_s += COST_SMOOTHING * (cost_s - urgency_class.cost_s)

    def _next_class(self) -> _UrgencyClass[T]:
        waiting = [urgency_class for urgency_class in self._classes.values() if urgency_class.size]
        chosen = waiting[0]
        for urgency_class in waiting:
            if urgency_class.credit_s >= urgency_class.cost_s:
                chosen = urgency_class
                break
        for urgency_class in self._classes.values():
            earned_s = urgency_class.credit_s + urgency_class.floor * chosen.cost_s
            urgency_class.credit_s = min(earned_s, MAX_CREDIT_REQUESTS * urgency_class.cost_s)
        chosen.credit_s = max(chosen.credit_s - chosen.cost_s, 0.0)
        return chosen

    def _check_capacity(
        self, urgency_class: _UrgencyClass[T], org_size: int, caller_size: int, slots: int
    ) -> None:
        """Refuse a request if its class, organisation or caller has too many queued.

        An organisation may have as many requests queued as there are free places, a caller
        half as many, so that others always find free places.
        """
        free_places = self._max_queued - urgency_class.size
        if free_places <= 0:
            code, limit_name = codes.ResultCode.QUEUE_FULL, "the queue of this urgency class"
        elif org_size >= free_places:
            code, limit_name = codes.ResultCode.OVER_SHARE, "the organisation's share of the queue"
        elif caller_size >= free_places * MAX_CALLER_SHARE_OF_FREE:
            code, limit_name = codes.ResultCode.OVER_SHARE, "the caller's share of the queue"
        else:
            return
        retry_after_s = max(
            MIN_RETRY_AFTER_S, urgency_class.size * urgency_class.cost_s / max(1, slots)
        )
        raise errors.BronzequayError(code, f"{limit_name} is full", retry_after_s=retry_after_s)

    def _decrement_sizes(self, urgency_class: _UrgencyClass[T], org: _OrgQueue[T]) -> None:
        org.size -= 1
        urgency_class.size -= 1
        self._size -= 1

    def _add_org(
        self, urgency_class: _UrgencyClass[T], org: ids.OrgId
    ) -> flow.Flow[ids.OrgId, _OrgQueue[T]]:
        if len(urgency_class.orgs) >= MAX_IDLE_FLOWS:
            urgency_class.orgs.evict_idle()
        return urgency_class.orgs.add(org, _OrgQueue())

    def _add_caller(
        self, urgency_class: _UrgencyClass[T], org: _OrgQueue[T], caller: ids.CallerId
    ) -> flow.Flow[ids.CallerId, _CallerQueue[T]]:
        if len(org.callers) >= MAX_IDLE_FLOWS // max(1, len(urgency_class.orgs)):
            org.callers.evict_idle()
        return org.callers.add(caller, collections.OrderedDict())


__all__ = ["DEFAULT_FLOORS", "MAX_IDLE_FLOWS", "FairQueue", "Ticket"]
