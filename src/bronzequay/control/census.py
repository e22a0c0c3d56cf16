"""The workers that count where a majority decides whether run leases may be renewed.

A scheduler that is cut off from the store renews run leases only while more than half of a
service's workers accept its calls. The next one takes it for fenced once it has reached half of
them. Both must therefore count the same workers, although entries come and go meanwhile: those that
the store holds under one key. Executors are counted, since a call to an earlier incarnation of one
is refused by the next. The census also keeps which incarnations are settled, which only a term that
has followed them for some seconds can tell.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import structlog

from bronzequay import codec, ids

if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Set as AbstractSet

Present = dict[ids.ServiceId, dict[ids.ExecutorId, ids.WorkerId]]
"""Executors of each service, with their incarnation if it is settled, else an empty id."""
UNSETTLED = ids.WorkerId("")
MAX_BYTES = 500_000
"""Largest census that is stored, half of the store's limit on a value: some 12,000 workers. Beyond
it the stored one stays, which both schedulers count."""

_log = structlog.get_logger()


class Census:
    """The counted workers of each service, as stored and as this term is storing them."""

    def __init__(self) -> None:
        self._stored: Present = {}
        self._pending: Present | None = None

    def load(self, value: bytes | None) -> None:
        """Take over what the store holds; call it once earlier terms are fenced."""
        if value is None:
            return
        try:
            self._stored = codec.from_msgpack(value, Present)
        except msgspec.DecodeError as exc:
            _log.error("census_unreadable", error=str(exc))

    def services(self) -> AbstractSet[ids.ServiceId]:
        """Return the services with counted workers."""
        return self._stored.keys()

    def settled(self) -> set[ids.WorkerId]:
        """Return the incarnations that are settled."""
        workers = {worker for known in self._stored.values() for worker in known.values()}
        return workers - {UNSETTLED}

    def counted(self, service: ids.ServiceId) -> frozenset[ids.ExecutorId]:
        """Return the counted workers of a service; all workers where it has none."""
        return _counted(self._stored, service)

    def is_fenced(self, service: ids.ServiceId, reached: AbstractSet[ids.ExecutorId]) -> bool:
        """Return whether no scheduler that these executors refuse can still have a majority.

        :param reached: executors that refuse the calls of earlier terms
        """
        counted = self.counted(service)
        return bool(counted) and 2 * len(counted & reached) >= len(counted)

    def is_majority(
        self, service: ids.ServiceId, is_in_contact: Callable[[ids.ExecutorId], bool]
    ) -> bool:
        """Return whether more than half of a service's counted workers are in contact.

        A census that is being stored may be in force already, so that it has to agree.
        """
        records = [self._stored] if self._pending is None else [self._stored, self._pending]
        return all(
            2 * sum(map(is_in_contact, counted)) > len(counted)
            for counted in (_counted(record, service) for record in records)
        )

    def propose(
        self,
        present: Present,
        may_replace: Callable[[ids.ServiceId], bool],
    ) -> bytes | None:
        """Return the next census to be stored, None if the stored one is up to date.

        :param present: those that are listed and have answered this term
        :param may_replace: whether no earlier term counts the stored workers of a service any more
        """
        proposed = {
            service: present.get(service, {}) if may_replace(service) else self._stored[service]
            for service in self._stored.keys() | present.keys()
            if service in self._stored or may_replace(service)
        }
        proposed = {service: executors for service, executors in proposed.items() if executors}
        if proposed == self._stored:
            return None
        value = msgspec.msgpack.encode(proposed)
        if len(value) > MAX_BYTES:
            _log.error("census_too_large", bytes=len(value), services=len(proposed))
            return None
        self._pending = proposed
        return value

    def confirm(self) -> None:
        """Note that the proposed census has been stored."""
        if self._pending is not None:
            self._stored, self._pending = self._pending, None


def _counted(record: Present, service: ids.ServiceId) -> frozenset[ids.ExecutorId]:
    """Return a service's counted workers; all of them where it has none."""
    return frozenset(record.get(service) or {}) or frozenset().union(*record.values())


__all__ = ["UNSETTLED", "Census", "Present"]
