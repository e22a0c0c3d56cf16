"""One entry instance: builds the parts, runs them in one nursery, drains them."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING, Any, Self

import httpx
import hypercorn.config
import hypercorn.trio
import msgspec
import structlog
import trio

from bronzequay.api import app as api_app
from bronzequay.api import auth, services
from bronzequay.cfg import follow, holder, rollout
from bronzequay.discovery import Discovery, ExecutorList
from bronzequay.obs import dump, metrics
from bronzequay.peer import mesh
from bronzequay.route import claims, router
from bronzequay.sched import gateway, scheduler
from bronzequay.store import client, watch
from bronzequay.work import client as worker_client
from bronzequay.work import executor as executor_client

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay import ids
    from bronzequay.cfg import entry

KEEP_ALIVE_S = 300.0
BACKLOG = 1024
MAX_CONNECTIONS = 2048
HTTP_TIMEOUT_S = 30.0
"""Backstop; each adapter sets a deadline of its own."""
BALANCER_NOTICE_S = 1.0
"""Time that the platform's balancer takes to see an unhealthy answer."""

_log = structlog.get_logger()


class Instance:
    """All parts of one entry instance; an async context manager.

    :param cfg: the settings
    :param resolved: each setting with its origin, for the state dump
    :param wall_clock: seconds since the Unix epoch
    """

    def __init__(
        self, *, cfg: entry.EntryCfg, resolved: entry.Origins, wall_clock: Callable[[], float]
    ) -> None:
        self._cfg = cfg
        self._wall_clock = wall_clock
        self._is_draining = False
        self._stop_serving = trio.Event()
        self._exits = contextlib.AsyncExitStack()
        self._http = httpx.AsyncClient(
            limits=httpx.Limits(max_connections=None, max_keepalive_connections=MAX_CONNECTIONS),
            timeout=HTTP_TIMEOUT_S,
        )
        self.metrics = metrics.Metrics(address=cfg.statsd_address)
        self.store = client.Store(base_url=cfg.platform_url, instance=cfg.instance, http=self._http)
        self.mesh = mesh.Mesh(instance=cfg.instance, address=f"tcp://{cfg.host}:{cfg.mesh_port}")
        self.holder = holder.Holder(wall_clock=wall_clock)
        self.registry = auth.Registry(first=auth.parse_first(cfg.operator_tokens))
        self.holder.on_change(self._on_bundle)
        self._watch = watch.Watch(self.store, prefix=rollout.HEAD_KEY)
        self._executors = executor_client.ExecutorClient(
            http=self._http, connect=executor_client.connector()
        )
        self.routers: dict[ids.ServiceId, router.Router] = {}
        self.discovery = Discovery(
            store=self.store,
            executors=self._executors,
            interval_s=cfg.discovery_s,
            on_executors=self._on_executors,
        )
        self.scheduler = scheduler.Scheduler(
            partition=cfg.region,
            instance=cfg.instance,
            address=self.mesh.address,
            store=self.store,
            workers=worker_client.WorkerClient(http=self._http),
            rules=self.holder.rules,
            wall_clock=wall_clock,
            payload=lambda spec: msgspec.json.encode(spec.payload),
        )
        self._deps = services.Services(
            instance=cfg.instance,
            gateway=gateway.Gateway(
                partition=cfg.region,
                scheduler=self.scheduler,
                store=self.store,
                mesh=self.mesh,
            ),
            routers=self.routers,
            holder=self.holder,
            registry=self.registry,
            store=self.store,
            dump=dump.make_dump(resolved=resolved, sections=self._sections()),
            is_draining=lambda: self._is_draining,
            wall_clock=wall_clock,
        )

    async def __aenter__(self) -> Self:
        """Start every part."""
        await self._exits.enter_async_context(self._http)
        self._nursery = await self._exits.enter_async_context(trio.open_nursery())
        start = self._nursery.start_soon
        start(self.mesh.run)
        start(self._watch.run)
        changes = self._watch.subscribe(rollout.HEAD_KEY)
        start(follow.follow_watch, self.store, self.holder, changes)
        start(follow.follow_poll, self.store, self.holder)
        start(self.discovery.run)
        start(self.scheduler.run)
        binds = await self._nursery.start(self._serve)
        _log.info("serving", bind=binds[0], mesh=self.mesh.address)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        """Stop every part."""
        self._nursery.cancel_scope.cancel()
        await self._exits.aclose()
        self.mesh.close()

    async def shutdown(self) -> None:
        """Leave the balancer, finish every request in progress, hand over, stop serving."""
        self._is_draining = True
        with trio.move_on_after(self._cfg.drain_timeout_s):
            await trio.sleep(BALANCER_NOTICE_S)
            async with trio.open_nursery() as nursery:
                for item in self.routers.values():
                    nursery.start_soon(item.drain)
        await self.scheduler.shutdown()
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
            api_app.make_app(self._deps),  # type: ignore[arg-type]
            server,
            shutdown_trigger=self._stop_serving.wait,
            task_status=task_status,
        )

    def _on_bundle(self, adopted: holder.InForce) -> None:
        self.registry.replace(adopted.bundle.principal)
        self.metrics.gauge("bundle.version", adopted.version)
        _log.info("bundle_adopted", version=adopted.version)

    def _on_executors(self, found: ExecutorList) -> None:
        for service, executors in found.items():
            if service not in self.routers:
                self._add_router(service)
            self.routers[service].set_executors(executors)

    def _add_router(self, service: ids.ServiceId) -> None:
        added = router.Router(
            service=service,
            client=self._executors,
            claims=claims.Claims(
                store=self.store,
                service=service,
                instance=self._cfg.instance,
                wall_clock=self._wall_clock,
            ),
            instances=lambda: max(1, len(self.discovery.entries)),
        )
        self.routers[service] = added
        self._nursery.start_soon(added.run)

    def _sections(self) -> dict[str, Callable[[], Any]]:
        return {
            "instance": lambda: {
                "id": self._cfg.instance,
                "mesh": self.mesh.address,
                "draining": self._is_draining,
            },
            "bundle": lambda: {"version": self.holder.version},
            "scheduler": lambda: {"active": self.scheduler.is_active},
            "routers": lambda: {name: item.dump() for name, item in self.routers.items()},
            "counters": lambda: dict(self.metrics.counters),
            "gauges": lambda: dict(self.metrics.gauges),
        }


__all__ = ["Instance"]
