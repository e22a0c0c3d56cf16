"""What the HTTP routes work on."""

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
    """Parts of one entry instance that the routes need.

    :param mesh_address: where the other instances reach this one
    :param routers: one for each known service
    :param dump: the state of this process
    :param metrics: counts answers by their result code
    :param wall_clock: seconds since the Unix epoch
    :param workers: the workers that take new work
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
        """Return who sent a request.

        :raises errors.BronzequayError: UNAUTHENTICATED
        """
        return self.registry.identify(req.headers.get("authorization"))

    async def roll_out(self, digest: str, *, expected: int) -> rollout.HeadEntry:
        """Roll a draft out and adopt it on this instance at once.

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
