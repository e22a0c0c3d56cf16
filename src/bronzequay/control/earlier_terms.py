"""Until when the schedulers of earlier terms may have renewed run leases."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bronzequay import clock, ids
from bronzequay.control import lease, run_lease

if TYPE_CHECKING:
    from collections.abc import Iterable

MAX_HOLDERS = 32
"""Most earlier terms that the store keeps by name. Terms last for seconds even while schedulers are
replaced again and again, and after ``lease.MAX_UNCONFIRMED_S`` none of them matters."""
SETTLED_EXPIRY_S = run_lease.RUN_LEASE_S / run_lease.MIN_CLOCK_RATE + 0.5
"""Time from the last call of earlier terms until the leases that they granted have expired, unless
a call reached a later incarnation."""


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """A term and the instance that held it; without an address nobody can be asked about it."""

    epoch: ids.Epoch
    instance: ids.InstanceId = ids.InstanceId("")
    address: str = ""


UNKNOWN = Holder(ids.Epoch(0))
"""Stands for earlier terms of which nothing is known."""


def shorten(holders: Iterable[Holder]) -> tuple[Holder, ...]:
    """Return the latest of some earlier terms, with ``UNKNOWN`` in place of what is left out."""
    latest = sorted(set(holders), key=lambda holder: holder.epoch)
    if len(latest) <= MAX_HOLDERS:
        return tuple(latest)
    return (UNKNOWN, *latest[1 - MAX_HOLDERS :])


class EarlierTerms:
    """What this term knows of the schedulers that earlier terms have left.

    Each may go on renewing run leases without the store, for a limited time and as long as a
    majority of a service's workers accepts its calls. It has certainly ended when its instance says
    so, when enough workers refuse its calls, or when that time is over.

    :param max_lease_s: longest lease that a worker grants
    :ivar were_any: whether there was an earlier term
    :ivar holders: earlier terms that are not known to have ended
    """

    def __init__(self, max_lease_s: float) -> None:
        self.were_any = True
        self.holders: tuple[Holder, ...] = ()
        self._max_lease_s = max_lease_s
        self._over_s = float("inf")
        self._fenced_s: dict[ids.ServiceId, float] = {}

    def begin(self, holders: tuple[Holder, ...], own: ids.InstanceId, acquired_s: float) -> None:
        """Take over the earlier terms from the store.

        :param own: this instance, whose earlier terms have ended
        :param acquired_s: boot clock when this term's leader lease was requested; no earlier lease
            has been confirmed since
        """
        self.were_any = bool(holders)
        self.holders = tuple(holder for holder in holders if holder.instance != own)
        self._over_s = acquired_s + lease.MAX_UNCONFIRMED_S / run_lease.MIN_CLOCK_RATE
        if not self.holders:
            self._over_s = clock.boot_s()

    def on_ended(self, ended: Holder) -> None:
        """Note that the scheduler of an earlier term has ended."""
        self.holders = tuple(holder for holder in self.holders if holder != ended)
        if not self.holders:
            self._over_s = min(self._over_s, clock.boot_s())

    def on_fenced(self, service: ids.ServiceId) -> None:
        """Note that enough of a service's workers refuse the calls of earlier terms."""
        self._fenced_s.setdefault(service, clock.boot_s())

    def are_over(self) -> bool:
        """Return whether no earlier term can renew any lease."""
        return clock.boot_s() >= self._over_s

    def is_fenced(self, service: ids.ServiceId) -> bool:
        """Return whether no earlier term can renew leases on a service's workers from now on."""
        return service in self._fenced_s or self.are_over()

    def have_expired(self, service: ids.ServiceId, *, is_settled: bool) -> bool:
        """Return whether the leases on workers that this term has not reached have expired.

        :param is_settled: whether no call to an earlier incarnation can extend them any more
        """
        lease_s = SETTLED_EXPIRY_S if is_settled else run_lease.late_run_s(self._max_lease_s)
        return clock.boot_s() > self._ended_s(service) + lease_s

    def are_settled(self, service: ids.ServiceId) -> bool:
        """Return whether calls of earlier terms can no longer extend leases, by their age alone."""
        lease_s = (self._max_lease_s - run_lease.RUN_LEASE_S) / run_lease.MIN_CLOCK_RATE
        settled_s = self._ended_s(service) + run_lease.MAX_ORDER_DELAY_S + lease_s
        return not self.were_any or clock.boot_s() > settled_s

    def last_call_s(self, service: ids.ServiceId) -> float:
        """Return the boot time after which earlier terms send no calls that matter here."""
        return self._ended_s(service) if self.were_any else float("-inf")

    def _ended_s(self, service: ids.ServiceId) -> float:
        # A scheduler whose call was refused counts the worker as in contact for a while.
        fenced_s = self._fenced_s.get(service, float("inf")) + run_lease.CONTACT_S
        return min(self._over_s, fenced_s)


__all__ = ["MAX_HOLDERS", "SETTLED_EXPIRY_S", "UNKNOWN", "EarlierTerms", "Holder", "shorten"]
