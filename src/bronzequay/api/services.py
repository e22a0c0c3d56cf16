"""Dependencies of the HTTP routes."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING, Any

from bronzequay import ids
from bronzequay.cfg import bundle as bundles
from bronzequay.cfg import feasible, rollout

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping, Sequence

    import quart

    from bronzequay.api import auth
    from bronzequay.cfg import holder
    from bronzequay.obs import metrics
    from bronzequay.policy import model
    from bronzequay.route import router
    from bronzequay.sched import gateway
    from bronzequay.store import client


@dataclasses.dataclass(frozen=True, kw_only=True)
class Services:
    """Parts of an entry instance that the HTTP routes use.

    :param mesh_address: address at which other instances reach this one
    :param routers: the router of each known service
    :param dump: returns the state of this process
    :param is_draining: returns whether this instance is shutting down
    :param metrics: counts responses by result code
    :param wall_clock: returns seconds since the Unix epoch
    :param workers: returns the workers that accept new work
    """

    instance: ids.InstanceId
    mesh_address: str
    gateway: gateway.Gateway
    routers: Mapping[ids.ServiceId, router.Router]
    holder: holder.Holder
    registry: auth.Registry
    store: client.Store
    dump: Callable[[], Mapping[str, Any]]
    is_draining: Callable[[], bool]
    metrics: metrics.Metrics
    wall_clock: Callable[[], float]
    workers: Callable[[], Sequence[model.WorkerSpec]]

    def identify(self, req: quart.Request) -> auth.Identity:
        """Return the identity of a request's sender.

        :raises errors.BronzequayError: UNAUTHENTICATED
        """
        return self.registry.identify(req.headers.get("authorization"))

    async def roll_out(self, digest: str, *, expected: int) -> rollout.HeadEntry:
        """Roll out a draft and adopt it on this instance immediately.

        :raises errors.BronzequayError: as ``rollout.roll_out`` and ``feasible.check``
        """
        text = await rollout.read_body(self.store, digest)
        feasible.check(bundles.parse(text), self.workers())
        entry = await rollout.roll_out(
            self.store,
            digest,
            expected=ids.BundleVersion(expected),
            wall_clock=self.wall_clock,
        )
        self.holder.adopt(entry.version, text)
        return entry


__all__ = ["Services"]
