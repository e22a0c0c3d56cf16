"""Bounded queue that is fair by urgency class, organisation and caller."""

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
CALLER_SHARE_OF_ROOM = 0.5
COST_SMOOTHING = 0.05
INITIAL_COST_S = 0.05
MAX_CREDIT_REQUESTS = 32.0
MAX_DEBT_REQUESTS = 8.0
MAX_IDLE_FLOWS = 4096
MIN_RETRY_AFTER_S = 0.05

BY_URGENCY = (model.Urgency.URGENT, model.Urgency.NORMAL, model.Urgency.LOW)


class Ticket(Generic[T]):
    """A place in the queue.

    :param cost_s: slot time charged when the ticket left the queue
    """

    __slots__ = ("caller", "cost_s", "item", "org", "serial", "urgency")

    def __init__(
        self,
        item: T,
        urgency: model.Urgency,
        org: flow.Flow[ids.OrgId, _Org[T]],
        caller: flow.Flow[ids.CallerId, _Caller[T]],
        serial: int,
    ) -> None:
        self.item = item
        self.urgency = urgency
        self.org = org
        self.caller = caller
        self.serial = serial
        self.cost_s = 0.0


_Caller = collections.OrderedDict[int, Ticket[T]]


class _Org(Generic[T]):
    """Callers of one organisation in one class."""

    __slots__ = ("callers", "size")

    def __init__(self) -> None:
        self.callers: flow.FlowSet[ids.CallerId, _Caller[T]] = flow.FlowSet()
        self.size = 0


class _Class(Generic[T]):
    """Organisations of one urgency class.

    :param floor: share of slot time kept under a flood of another class
    """

    __slots__ = ("cost_s", "credit_s", "floor", "orgs", "size")

    def __init__(self, floor: float) -> None:
        self.floor = floor
        self.orgs: flow.FlowSet[ids.OrgId, _Org[T]] = flow.FlowSet()
        self.size = 0
        self.credit_s = 0.0
        self.cost_s = INITIAL_COST_S


class FairQueue(Generic[T]):
    """Requests waiting for a slot.

    Each class earns its floor of the slot time given out, up to a few requests; a class
    owed a whole request goes first, else the most urgent one. Inside a class the
    organisation, then the caller that has used least slot time goes first.

    :param floors: share of slot time of each class
    :param max_queued: requests that may wait in one class
    """

    def __init__(
        self,
        *,
        floors: Mapping[model.Urgency, float] = DEFAULT_FLOORS,
        max_queued: int = DEFAULT_MAX_QUEUED,
    ) -> None:
        self._classes = {urgency: _Class[T](floors.get(urgency, 0.0)) for urgency in BY_URGENCY}
        self._max_queued = max_queued
        self._serial = itertools.count()
        self._size = 0

    def set_floors(self, floors: Mapping[model.Urgency, float]) -> None:
        """Change the share of slot time of each class."""
        for urgency, tier in self._classes.items():
            tier.floor = floors.get(urgency, 0.0)

    def __len__(self) -> int:
        """Return the number of requests waiting."""
        return self._size

    def size(self, urgency: model.Urgency) -> int:
        """Return the number of requests waiting in a class."""
        return self._classes[urgency].size

    def flows(self) -> int:
        """Return the number of callers kept in memory."""
        return sum(
            len(org.callers) for tier in self._classes.values() for org in tier.orgs.values()
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
        """Let a request wait.

        :param item: what ``pop`` gives back
        :param slots: slots that serve this queue, for the time to retry after
        :return: the request's place
        :raises BronzequayError: QUEUE_FULL or OVER_SHARE
        """
        tier = self._classes[urgency]
        org_flow = tier.orgs.get(org) or self._new_org(tier, org)
        callers = org_flow.content.callers
        caller_flow = callers.get(caller) or self._new_caller(tier, org_flow.content, caller)
        self._check_room(tier, org_flow.content.size, len(caller_flow.content), slots)
        ticket = Ticket(item, urgency, org_flow, caller_flow, next(self._serial))
        caller_flow.content[ticket.serial] = ticket
        org_flow.content.size += 1
        tier.size += 1
        self._size += 1
        callers.activate(caller_flow)
        tier.orgs.activate(org_flow)
        return ticket

    def pop(self) -> Ticket[T] | None:
        """Take out the request whose turn it is."""
        if not self._size:
            return None
        tier = self._next_class()
        org_flow = tier.orgs.first()
        if org_flow is None:
            raise AssertionError("a class with requests has no organisation")
        org = org_flow.content
        caller_flow = org.callers.first()
        if caller_flow is None:
            raise AssertionError("an organisation with requests has no caller")
        _serial, ticket = caller_flow.content.popitem(last=False)
        ticket.cost_s = tier.cost_s
        self._forget_one(tier, org)
        org.callers.charge_first(ticket.cost_s, stays=bool(caller_flow.content))
        tier.orgs.charge_first(ticket.cost_s, stays=org.size > 0)
        return ticket

    def remove(self, ticket: Ticket[T]) -> None:
        """Withdraw a request that still waits; nothing happens to one that has left."""
        if ticket.caller.content.pop(ticket.serial, None) is None:
            return
        tier = self._classes[ticket.urgency]
        org = ticket.org.content
        self._forget_one(tier, org)
        if not ticket.caller.content:
            org.callers.withdraw(ticket.caller)
        if not org.size:
            tier.orgs.withdraw(ticket.org)

    def settle(self, ticket: Ticket[T], *, cost_s: float) -> None:
        """Charge the slot time that a request really took.

        :param ticket: a request that has left the queue
        :param cost_s: its slot time in seconds
        """
        tier = self._classes[ticket.urgency]
        surplus_s = cost_s - ticket.cost_s
        ticket.caller.correction_s += surplus_s
        ticket.org.correction_s += surplus_s
        tier.credit_s = max(tier.credit_s - surplus_s, -MAX_DEBT_REQUESTS * tier.cost_s)
        tier.cost_s += COST_SMOOTHING * (cost_s - tier.cost_s)

    def _next_class(self) -> _Class[T]:
        waiting = [tier for tier in self._classes.values() if tier.size]
        chosen = waiting[0]
        for tier in waiting:
            if tier.credit_s >= tier.cost_s:
                chosen = tier
                break
        for tier in self._classes.values():
            earned_s = tier.credit_s + tier.floor * chosen.cost_s
            tier.credit_s = min(earned_s, MAX_CREDIT_REQUESTS * tier.cost_s)
        chosen.credit_s = max(chosen.credit_s - chosen.cost_s, 0.0)
        return chosen

    def _check_room(self, tier: _Class[T], org_size: int, caller_size: int, slots: int) -> None:
        """Refuse early; what is left of the room bounds each sharer, so a newcomer finds some."""
        room = self._max_queued - tier.size
        if room <= 0:
            code, who = codes.ResultCode.QUEUE_FULL, "the queue"
        elif org_size >= room:
            code, who = codes.ResultCode.OVER_SHARE, "the organisation's share of the queue"
        elif caller_size >= room * CALLER_SHARE_OF_ROOM:
            code, who = codes.ResultCode.OVER_SHARE, "the caller's share of the queue"
        else:
            return
        retry_after_s = max(MIN_RETRY_AFTER_S, tier.size * tier.cost_s / max(1, slots))
        raise errors.BronzequayError(code, f"{who} is full", retry_after_s=retry_after_s)

    def _forget_one(self, tier: _Class[T], org: _Org[T]) -> None:
        org.size -= 1
        tier.size -= 1
        self._size -= 1

    def _new_org(self, tier: _Class[T], org: ids.OrgId) -> flow.Flow[ids.OrgId, _Org[T]]:
        if len(tier.orgs) >= MAX_IDLE_FLOWS:
            tier.orgs.forget_idle()
        return tier.orgs.add(org, _Org())

    def _new_caller(
        self, tier: _Class[T], org: _Org[T], caller: ids.CallerId
    ) -> flow.Flow[ids.CallerId, _Caller[T]]:
        if len(org.callers) >= MAX_IDLE_FLOWS // max(1, len(tier.orgs)):
            org.callers.forget_idle()
        return org.callers.add(caller, collections.OrderedDict())


__all__ = ["DEFAULT_FLOORS", "MAX_IDLE_FLOWS", "FairQueue", "Ticket"]
