"""One entry instance: builds its components, runs them in one nursery and drains them."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any, Self

import httpx
import hypercorn.config
import hypercorn.trio
import msgspec
import structlog
import trio

from bronzequay import ids
from bronzequay.api import app as api_app
from bronzequay.api import auth, drain, services
from bronzequay.cfg import adoption, follow, holder, rollout
from bronzequay.discovery import Discovery, ExecutorsByService
from bronzequay.mesh_addresses import MeshAddresses
from bronzequay.obs import dump, metrics
from bronzequay.peer import members, mesh, shares, spread
from bronzequay.route import claims, router
from bronzequay.sched import gateway, keepers, scheduler
from bronzequay.store import budget, client, connections, instance_list, watch
from bronzequay.work import client as worker_client
from bronzequay.work import executor as executor_client
from bronzequay.work import fleet

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

    from bronzequay.cfg import entry
    from bronzequay.policy import model
    from bronzequay.store import entries

KEEP_ALIVE_S = 300.0
BACKLOG = 1024
MAX_CONNECTIONS = 2048
HTTP_TIMEOUT_S = 30.0
"""Backstop; each client sets its own timeout."""
IDLE_TIMEOUT_S = 10.0
"""Longest wait for traffic to stop after the last request was completed."""
BALANCER_DELAY_S = 1.0
"""Time until the platform's load balancer reacts to a failed health check."""

_log = structlog.get_logger()


class Instance:
    """All components of one entry instance; an async context manager.

    :param cfg: the settings
    :param resolved: each setting with its origin, for the state dump
    :param wall_clock: returns seconds since the Unix epoch
    """

    def __init__(
        self,
        *,
        cfg: entry.EntryCfg,
        resolved: entry.ResolvedSettings,
        wall_clock: Callable[[], float],
    ) -> None:
        self._cfg = cfg
        self._wall_clock = wall_clock
        self._is_draining = False
        self._stop_serving = trio.Event()
        self._traffic = drain.RequestTracker()
        self._exit_stack = contextlib.AsyncExitStack()
        self._http = _http_client()
        self._store_http = connections.open_client()
        self.metrics = metrics.Metrics(address=cfg.statsd_address)
        self.holder = holder.Holder(wall_clock=wall_clock)
        self.registry = auth.Registry(configured=auth.parse_operator_tokens(cfg.operator_tokens))
        self.store = client.Store(
            base_url=cfg.platform_url,
            instance=cfg.instance,
            http=self._store_http,
            budget=budget.Budget(
                reads_per_s=cfg.store_reads_per_s, writes_per_s=cfg.store_writes_per_s
            ),
        )
        self.adoptions = adoption.AdoptionLog(
            store=self.store, instance=cfg.instance, wall_clock=wall_clock
        )
        self._listing = instance_list.CachedInstanceList(self.store)
        self._watch = watch.Watch(self.store, prefix=rollout.HEAD_KEY)
        self._build_peers()
        self._build_requests()
        self._build_jobs()
        self.holder.on_change(self._on_bundle)
        self._deps = services.Services(
            instance=cfg.instance,
            mesh_address=self.mesh.address,
            gateway=self.gateway,
            routers=self.routers,
            holder=self.holder,
            registry=self.registry,
            store=self.store,
            dump=dump.make_dump(resolved=resolved, sections=self._sections()),
            is_draining=lambda: self._is_draining,
            metrics=self.metrics,
            wall_clock=wall_clock,
            workers=self._live_workers,
        )

    def _build_peers(self) -> None:
        cfg = self._cfg
        self.mesh = mesh.Mesh(instance=cfg.instance, address=f"tcp://{cfg.host}:{cfg.mesh_port}")
        self.members = members.Members(
            self.mesh,
            instance=cfg.instance,
            data_centre=cfg.data_centre,
            seeds=tuple(filter(None, cfg.peers.split(","))),
            version=lambda: self.holder.version,
        )
        self.spread = spread.Spread(self.mesh, on_new_version=self._on_spread)
        self.spread.attach_members(self.members)
        self._shares = shares.KeyOwners()
        self._mesh_addresses = MeshAddresses(http=self._http)

    def _build_requests(self) -> None:
        self._executors = executor_client.ExecutorClient(
            http=self._http, connect=executor_client.connection_factory()
        )
        self.routers: dict[ids.ServiceId, router.Router] = {}
        self.discovery = Discovery(
            instances=self._listing.instances,
            executors=self._executors,
            interval_s=self._cfg.discovery_s,
            on_executors=self._on_executors,
            on_entries=self._on_entries,
        )

    def _build_jobs(self) -> None:
        cfg = self._cfg
        workers = worker_client.WorkerClient(http=self._http)
        self.fleet = fleet.Fleet(instances=self._listing.instances, workers=workers)
        self.scheduler = scheduler.Scheduler(
            partition=cfg.region,
            instance=cfg.instance,
            address=self.mesh.address,
            store=self.store,
            workers=workers,
            rules=self.holder.rules,
            wall_clock=self._wall_clock,
            fleet=self.fleet,
            withhold_renewals=self._withhold,
            payload=lambda spec: msgspec.json.encode(spec.payload),
        )
        self.keepers = keepers.KeeperService(
            partition=cfg.region,
            scheduler=self.scheduler,
            store=self.store,
            mesh=self.mesh,
            fleet=self.fleet,
            workers=workers,
            is_assigned=self._is_owner,
            peers=self._other_keepers,
        )
        self.gateway = gateway.Gateway(
            partition=cfg.region, scheduler=self.scheduler, store=self.store, mesh=self.mesh
        )

    async def __aenter__(self) -> Self:
        """Start every component."""
        await self._exit_stack.enter_async_context(self._http)
        await self._exit_stack.enter_async_context(self._store_http)
        self._nursery = await self._exit_stack.enter_async_context(trio.open_nursery())
        start = self._nursery.start_soon
        for run in (
            self.mesh.run,
            self.members.run,
            self.spread.run,
            self.adoptions.run,
            self._watch.run,
            self.discovery.run,
            self.fleet.run,
            self.keepers.run,
            self.scheduler.run,
        ):
            start(run)
        changes = self._watch.subscribe(rollout.HEAD_KEY)
        start(follow.follow_watch, self.store, self.holder, changes)
        start(follow.follow_poll, self.store, self.holder)
        binds = await self._nursery.start(self._serve)
        _log.info("serving", bind=binds[0], mesh=self.mesh.address)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop every component."""
        self._nursery.cancel_scope.cancel()
        await self._exit_stack.aclose()
        self.mesh.close()

    async def shutdown(self) -> None:
        """Fail the health check, complete requests in progress, hand over scheduling, then stop."""
        self._is_draining = True
        self.members.set_leaving()
        with trio.move_on_after(self._cfg.drain_timeout_s):
            await trio.sleep(BALANCER_DELAY_S)
            async with trio.open_nursery() as nursery:
                for item in self.routers.values():
                    nursery.start_soon(item.drain)
        await self.scheduler.shutdown()
        with trio.move_on_after(IDLE_TIMEOUT_S):
            await self._traffic.wait_idle()
        self._stop_serving.set()
        _log.info("shutdown_finished")

    async def _serve(
        self, *, task_status: trio.TaskStatus[list[str]] = trio.TASK_STATUS_IGNORED
    ) -> None:
        server = hypercorn.config.Config()
        server.bind = [f"{self._cfg.host}:{self._cfg.port}"]
        server.accesslog = None
        server.errorlog = None
        server.backlog = BACKLOG
        server.keep_alive_timeout = KEEP_ALIVE_S
        server.graceful_timeout = self._cfg.drain_timeout_s
        await hypercorn.trio.serve(
            drain.track_requests(  # type: ignore[arg-type]
                api_app.make_app(self._deps), self._traffic, lambda: self._is_draining
            ),
            server,
            shutdown_trigger=self._stop_serving.wait,
            task_status=task_status,
        )

    def _live_workers(self) -> list[model.WorkerSpec]:
        """Return the workers that accept new tasks, as far as this instance knows."""
        return [item.spec for item in self.fleet.known_workers.values() if not item.is_leaving]

    def _is_owner(self, worker: ids.WorkerId) -> bool:
        """Return whether this instance renews the leases of a worker's tasks."""
        self._shares.set_members(self.members.live())
        return self._shares.owner(worker) == self._cfg.instance

    async def _withhold(self, names: Sequence[ids.TaskId]) -> bool:
        """Have every instance stop renewing the leases of tasks.

        Passed to the scheduler instead of the method of ``keepers``, which is built after it.
        """
        return await self.keepers.withhold_renewals(names)

    def _other_keepers(self) -> Sequence[str]:
        """Return the mesh address of every instance that may still renew leases."""
        gone_state = members.State.GONE.value
        return [address for address, state in self.members.dump().items() if state != gone_state]

    def _on_bundle(self, adopted: holder.AdoptedBundle) -> None:
        self.registry.replace(adopted.bundle.principal)
        for item in self.routers.values():
            item.set_floors(adopted.rules.urgency_floors)
        self.spread.offer(adopted.version, adopted.text)
        self.members.send_heartbeats_now()
        self.adoptions.record(adopted.version)
        self.metrics.gauge("bundle.version", adopted.version)
        _log.info("bundle_adopted", version=adopted.version)

    def _on_spread(self, bundle: spread.Versioned) -> None:
        self.holder.adopt(ids.BundleVersion(bundle.version), bundle.body)

    async def _on_entries(self, listed: Sequence[entries.InstanceEntry]) -> None:
        others = [item for item in listed if item.id != self._cfg.instance]
        await self._mesh_addresses.refresh(others)
        self.members.update_from_list(others, self._mesh_addresses.address_of)

    def _on_executors(self, executors_by_service: ExecutorsByService) -> None:
        for service, executors in executors_by_service.items():
            if service not in self.routers:
                self._add_router(service)
            self.routers[service].set_executors(executors)

    def _add_router(self, service: ids.ServiceId) -> None:
        service_claims = claims.Claims(
            store=self.store,
            service=service,
            instance=self._cfg.instance,
            wall_clock=self._wall_clock,
        )
        new_router = router.Router(
            service=service,
            client=self._executors,
            claims=service_claims,
            instances=lambda: max(1, len(self.members.live())),
        )
        rules = self.holder.rules()
        if rules is not None:
            new_router.set_floors(rules.urgency_floors)
        self.routers[service] = new_router
        self._nursery.start_soon(new_router.run)

    def _sections(self) -> dict[str, Callable[[], Any]]:
        return {
            "instance": lambda: {
                "id": self._cfg.instance,
                "mesh": self.mesh.address,
                "draining": self._is_draining,
            },
            "bundle": lambda: {"version": self.holder.version},
            "peers": self.members.dump,
            "mesh": lambda: dict(self.mesh.counts),
            "scheduler": lambda: {
                "active": self.scheduler.is_active,
                "epoch": self.scheduler.epoch,
                "workers": len(self.fleet.known_workers),
                "kept_workers": sum(self._is_owner(name) for name in self.fleet.known_workers),
            },
            "routers": lambda: {name: item.dump() for name, item in self.routers.items()},
            "counters": lambda: dict(self.metrics.counters),
            "gauges": lambda: dict(self.metrics.gauges),
        }


def _http_client() -> httpx.AsyncClient:
    limits = httpx.Limits(max_connections=None, max_keepalive_connections=MAX_CONNECTIONS)
    return httpx.AsyncClient(limits=limits, timeout=HTTP_TIMEOUT_S)


__all__ = ["Instance"]
