"""Finds out when the schedulers of earlier terms have ended, and keeps the census of workers."""

from __future__ import annotations

from typing import TYPE_CHECKING

import structlog
import trio

from bronzequay import clock, figures
from bronzequay.control import census, earlier_terms, keys, lease
from bronzequay.platform import instances, kv

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable
    from collections.abc import Set as AbstractSet

    from bronzequay import ids

ASK_S = 0.5
"""Time between two queries about an earlier term."""
ASK_TIMEOUT_S = 1.0
"""Timeout of such a query; an answer takes a few milliseconds."""
CENSUS_S = 2.0
"""Shortest time between two writes of the census; entries that an outage of the store has removed
are back within about as long."""
CENSUS_BYTES_PER_S = 20_000.0
"""Highest rate of these writes; a link of 5 Mbit/s carries 600,000 bytes a second in all."""
LOG_S = 5.0
"""Time between two log entries on services whose earlier leases may still be renewed."""

_log = structlog.get_logger()


class Succession:
    """The earlier terms, and the workers that count for a majority.

    :param max_lease_s: longest lease that a worker grants
    :ivar earlier: what is known of the earlier terms
    """

    def __init__(
        self, store: kv.Store, leader_lease: lease.LeaderLease, max_lease_s: float
    ) -> None:
        self.earlier = earlier_terms.EarlierTerms(max_lease_s)
        self._store = store
        self._lease = leader_lease
        self._census = census.Census()
        self._next_census_s = self._logged_s = float("-inf")

    async def load(self, holders: tuple[earlier_terms.Holder, ...]) -> set[ids.WorkerId]:
        """Read the census and take over the earlier terms; call it once these are fenced.

        :return: the settled workers
        :raises errors.BronzequayError: the store cannot be read
        """
        item = await self._store.get(keys.CENSUS)
        self._census.load(None if item is None else item.value)
        self.earlier.begin(holders, self._lease.instance, self._lease.requested_s)
        figures.gauge("earlier_terms_unended", lambda: len(self.earlier.holders))
        return self._census.settled()

    async def run(self) -> None:
        """Ask the instances that held earlier terms until all of these have ended."""
        async with trio.open_nursery() as nursery:
            for holder in self.earlier.holders:
                if holder.address:
                    nursery.start_soon(self._ask, holder)

    async def _ask(self, holder: earlier_terms.Holder) -> None:
        while not self.earlier.are_over():
            state = await instances.query_term(
                holder.address, holder.epoch, timeout_s=ASK_TIMEOUT_S
            )
            is_own_answer = state is not None and (state.instance, state.epoch) == (
                holder.instance,
                holder.epoch,
            )
            if state is not None and is_own_answer and not state.is_held:
                _log.info("earlier_term_ended", holder=holder.instance, ended_epoch=holder.epoch)
                self.earlier.on_ended(holder)
                return
            await trio.sleep(ASK_S)

    def may_renew(
        self, service: ids.ServiceId, is_in_contact: Callable[[ids.ExecutorId], bool]
    ) -> bool:
        """Return whether run leases may be renewed although the leader lease is not trusted.

        The next term waits for as long before it frees runs on workers that it cannot reach.
        """
        unconfirmed_s = clock.boot_s() - self._lease.confirmed_s
        is_in_time = not self._lease.is_lost and unconfirmed_s < lease.MAX_UNCONFIRMED_S
        return is_in_time and self._census.is_majority(service, is_in_contact)

    def note_reached(
        self, services: Iterable[ids.ServiceId], find_reached: Callable[[], set[ids.ExecutorId]]
    ) -> None:
        """Note which services' workers refuse the calls of earlier terms.

        :param services: services of workers and of runs
        :param find_reached: returns the executors that have answered this term
        """
        unfenced = {
            service
            for service in self._census.services() | set(services)
            if not self.earlier.is_fenced(service)
        }
        if not unfenced:
            return
        reached = find_reached()
        for service in sorted(unfenced):
            if self._census.is_fenced(service, reached):
                self.earlier.on_fenced(service)
                _log.info("earlier_terms_fenced", **self._describe(service, reached))
        self._log_unfenced(unfenced, reached)

    def _log_unfenced(
        self, services: AbstractSet[ids.ServiceId], reached: AbstractSet[ids.ExecutorId]
    ) -> None:
        unfenced = sorted(service for service in services if not self.earlier.is_fenced(service))
        if unfenced and trio.current_time() >= self._logged_s + LOG_S:
            self._logged_s = trio.current_time()
            for service in unfenced:
                holders = [holder.instance for holder in self.earlier.holders]
                described = self._describe(service, reached)
                _log.warning("earlier_terms_not_fenced", holders=holders, **described)

    def _describe(
        self, service: ids.ServiceId, reached: AbstractSet[ids.ExecutorId]
    ) -> dict[str, object]:
        counted = self._census.counted(service)
        return {"service": service, "reached": len(counted & reached), "counted": len(counted)}

    def next_census(self, present: Callable[[], census.Present]) -> tuple[kv.Put, ...]:
        """Return the write of the census if it has changed and is due.

        ``on_stored`` must be called once it has taken effect.

        :param present: returns the executors that are listed and have answered this term
        """
        if trio.current_time() < self._next_census_s:
            return ()
        value = self._census.propose(present(), self.earlier.is_fenced)
        if value is None:
            return ()
        pause_s = max(CENSUS_S, len(value) / CENSUS_BYTES_PER_S)
        self._next_census_s = trio.current_time() + pause_s
        return (kv.Put(keys.CENSUS, value),)

    def on_stored(self) -> None:
        """Note that the writes of a pass have taken effect."""
        self._census.confirm()

    def unended(self) -> tuple[earlier_terms.Holder, ...]:
        """Return the earlier terms that the next term has to know of besides this one."""
        services = self._census.services()
        if self.earlier.are_over() or (services and all(map(self.earlier.is_fenced, services))):
            return ()
        return self.earlier.holders


__all__ = ["Succession"]
