"""One instance on the users' platform: front, and scheduler while it holds the lease."""

from __future__ import annotations

import signal
import sys
from typing import TYPE_CHECKING, Any

import msgspec
import structlog
import trio

from bronzequay import errors
from bronzequay.cfg import node
from bronzequay.control import lease, term
from bronzequay.front import follow, handler
from bronzequay.net import server
from bronzequay.obs import dump, log
from bronzequay.own import desk
from bronzequay.platform import kv, machines, settings

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.cfg.settings import ResolvedSetting
    from bronzequay.core import model

EXIT_ERROR = 1
QUIET_S = 0.5
"""Time without a request after which a leaving instance ends."""
WANTED_CORES = 2.0
"""Instances with fewer let stronger ones take the lease; scheduling needs most of a core."""
DELAY_S_PER_CORE = 0.2
GRACE_MARGIN_S = 0.5

_log = structlog.get_logger()


class Node:
    """All parts of one instance.

    :param cfg: the platform's settings
    """

    def __init__(self, cfg: settings.Settings, own: dict[str, ResolvedSetting]) -> None:
        self._cfg = cfg
        self._own = own
        self._term: term.Term | None = None
        self._store = kv.Store(cfg.store_address)
        self._follower = follow.Follower(self._store)
        self._handler = handler.Handler(self._store, self._follower)
        self._front = server.Server(cfg.callers_address, self._handler.handle)
        self._ready = server.Server(cfg.ready_address, self._answer_ready)
        self._own_address = f"{cfg.address}:{cfg.first_port}"
        own_desk = desk.Desk(
            self._store,
            self._follower,
            explain=self._explain,
            dump=self._dump,
            analyst_token=own["analyst_token"].value,
        )
        self._own_server = server.Server(self._own_address, own_desk.handle)
        self._is_leaving = False
        self._terms = 0
        self._scheduling = trio.CancelScope()

    async def run(self) -> None:
        """Serve until SIGTERM."""
        async with trio.open_nursery() as nursery:
            for part in (
                self._follower.run,
                self._front.run,
                self._ready.run,
                self._own_server.run,
                self._schedule,
            ):
                nursery.start_soon(part)
            await self._wait_for_signal()
            await self._leave()
            nursery.cancel_scope.cancel()

    async def _answer_ready(self, _req: server.Request) -> server.Answer:
        is_ready = (
            not self._is_leaving
            and self._follower.current is not None
            and self._follower.is_in_contact
        )
        return server.Answer(200 if is_ready else 503)

    def _explain(self, job: ids.JobId) -> str | None:
        return None if self._term is None else self._term.explain(job)

    def _dump(self) -> dict[str, Any]:
        """Return what this process knows, without secrets."""
        current = self._follower.current
        return {
            "instance": self._cfg.instance,
            "data_centre": self._cfg.data_centre,
            "settings": {
                name: {"value": item.display_value, "origin": item.origin.value}
                for name, item in self._own.items()
            },
            "platform": msgspec.to_builtins(self._cfg),
            "process": dump.process_usage(),
            "configuration_version": None if current is None else current.version,
            "is_store_in_contact": self._follower.is_in_contact,
            "is_leaving": self._is_leaving,
            "term": None if self._term is None else self._term.dump(),
        }

    async def _wait_for_signal(self) -> None:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT, signal.SIGHUP) as signals:
            async for number in signals:
                _log.info("signal", name=signal.Signals(number).name)
                if number != signal.SIGHUP:
                    return

    async def _leave(self) -> None:
        """Stop scheduling, finish the requests in hand, end."""
        self._is_leaving = True
        self._scheduling.cancel()
        self._front.close_connections()
        with trio.move_on_after(self._cfg.grace_s - GRACE_MARGIN_S):
            await self._front.wait_quiet(QUIET_S)

    async def _schedule(self) -> None:
        with self._scheduling:
            while True:
                await self._follower.known.wait()
                await self._serve_term()

    async def _serve_term(self) -> None:
        held = await lease.campaign(
            self._store,
            self._cfg.instance,
            ttl_s=max(lease.TTL_S, self._cfg.min_lease_s),
            address=self._own_address,
            is_restart=self._terms == 0,
            delay_s=max(0.0, WANTED_CORES - self._cfg.cores) * DELAY_S_PER_CORE,
        )
        self._terms += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(lease.renew_until_lost, self._store, held)
                current = term.Term(
                    self._store,
                    held,
                    self._rules,
                    max_run_lease_s=self._cfg.max_hold_s,
                    advice_address=self._cfg.advice_address,
                    machine_client=self._machine_calls(held.epoch),
                    holdoff_s=self._cfg.duty_lease_s,
                    retention_s=max(self._own["history_s"].value, self._cfg.status_s),
                )
                self._term = current
                await current.run()
        except* errors.BronzequayError as group:
            _log.warning("term_ended", epoch=held.epoch, reason=str(_first(group)))
        finally:
            self._term = None
            await lease.release(self._store, held)

    def _machine_calls(self, epoch: ids.Epoch) -> machines.Machines | None:
        address = self._cfg.machines_address
        return machines.Machines(address, self._cfg.instance, epoch) if address else None

    def _rules(self) -> model.Rules:
        assert self._follower.current is not None  # noqa: S101
        return self._follower.current.rules


def _first(group: BaseExceptionGroup[errors.BronzequayError]) -> BaseException:
    found: BaseException = group
    while isinstance(found, BaseExceptionGroup):
        found = found.exceptions[0]
    return found


def main() -> None:
    """Run one instance; expected errors end as one line."""
    try:
        cfg = settings.load()
        own = node.resolve()
        log.configure(level=own["log_level"].value, instance=cfg.instance)
        _log.info("started", data_centre=cfg.data_centre, own_port=cfg.first_port)
        trio.run(Node(cfg, own).run)
        _log.info("stopped")
    except errors.BronzequayError as exc:
        sys.stderr.write(f"bronzequay-node: {exc}\n")
        sys.exit(EXIT_ERROR)


__all__ = ["Node", "main"]

if __name__ == "__main__":
    main()
