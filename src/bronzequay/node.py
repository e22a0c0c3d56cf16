"""One instance on the users' platform: serves callers, and schedules while it is the leader."""

from __future__ import annotations

import signal
import sys
import traceback
from typing import TYPE_CHECKING, Any

import msgspec
import structlog
import trio

from bronzequay import allocator, errors, listener_limits, signals
from bronzequay.cfg import node
from bronzequay.control import lease, term
from bronzequay.front import admission, config_watcher, handler
from bronzequay.net import limits, server
from bronzequay.obs import dump, log, loop_delay
from bronzequay.own import queries
from bronzequay.platform import instances, kv, machines, settings

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.cfg.settings import ResolvedSetting
    from bronzequay.core import model

EXIT_ERROR = 1
IDLE_S = 0.5
"""Time without a request after which a draining instance exits."""
PREFERRED_CORES = 2.0
"""An instance with fewer cores delays its claim of the leader lease, so that an instance with more
cores gets it; scheduling needs most of a core."""
DELAY_S_PER_MISSING_CORE = 0.2
FAILED_TERM_PAUSE_S = 1.0
"""Pause after a term that ended with an unexpected error, in which other instances go first."""
FINISH_S = 1.0
"""Last part of a drain, in which no connection is accepted and requests in progress are answered.
Most answers take less than 0.1 s."""
GRACE_MARGIN_S = 0.5
"""Part of the time between SIGTERM and SIGKILL that is left for the exit."""

_log = structlog.get_logger()


class Node:
    """All components of one instance.

    :param cfg: settings from the platform's file
    :param own_settings: the instance's own settings, by name
    """

    def __init__(self, cfg: settings.Settings, own_settings: dict[str, ResolvedSetting]) -> None:
        self._cfg = cfg
        self._own_settings = own_settings
        self._term: term.Term | None = None
        self._store = kv.Store(cfg.store_address)
        self._configuration = config_watcher.ConfigurationWatcher(
            self._store, config_s=cfg.config_s
        )
        self._has_admission = own_settings["admission"].value == "on"
        self._admission = admission.Admission(self._store) if self._has_admission else None
        self._handler = handler.Handler(self._store, self._configuration, self._admission)
        turns = limits.Turns()
        self._front = server.Server(
            cfg.callers_address,
            self._handler.handle,
            read_limits=listener_limits.for_callers(cfg, own_settings, self._configuration),
            turns=turns,
            name="callers",
        )
        # Readiness checks do not share turns with callers, who could delay them.
        self._ready = server.Server(
            cfg.ready_address,
            self._check_readiness,
            read_limits=listener_limits.for_readiness(cfg),
            turns=limits.Turns(),
            name="ready",
        )
        self._query_address = f"{cfg.address}:{cfg.first_port}"
        query_handler = queries.QueryHandler(
            self._store,
            self._configuration,
            explain=self._explain,
            dump=self._dump,
            analyst_token=own_settings["analyst_token"].value,
            term_state=self._term_state,
        )
        self._query_server = server.Server(
            self._query_address,
            query_handler.handle,
            read_limits=listener_limits.for_queries(cfg, own_settings),
            turns=turns,
            name="queries",
        )
        for listener in (self._front, self._ready, self._query_server):
            listener.register_gauges()
        self._configuration.register_gauges()
        self._is_draining = False
        self._term_count = 0
        self._scheduling_scope = trio.CancelScope()

    async def run(self) -> None:
        """Run every component until SIGTERM or SIGINT, then drain."""
        async with trio.open_nursery() as nursery:
            for run in (
                self._configuration.run,
                self._front.run,
                self._ready.run,
                self._query_server.run,
                self._handler.run,
                self._run_terms,
                self._return_freed_memory,
                loop_delay.measure,
            ):
                nursery.start_soon(run)
            if self._admission is not None:
                nursery.start_soon(self._admission.run)
            with trio.open_signal_receiver(
                signal.SIGTERM, signal.SIGINT, signal.SIGHUP
            ) as received:
                await signals.wait_for_end(received)
                nursery.start_soon(signals.ignore, received)
                await self._drain()
            nursery.cancel_scope.cancel()

    async def _return_freed_memory(self) -> None:
        await allocator.return_freed_memory(lambda: self._front.ledger.connections)

    async def _check_readiness(self, _req: server.Request) -> server.Response:
        is_ready = (
            not self._is_draining
            and self._configuration.confirmed is not None
            and self._configuration.is_store_reachable
        )
        return server.Response(200 if is_ready else 503)

    def _explain(self, job: ids.JobId) -> str | None:
        return None if self._term is None else self._term.explain(job)

    def _term_state(self, epoch: ids.Epoch) -> instances.TermState:
        """Tell a later scheduler whether this process may still send orders in a term."""
        is_held = self._term is not None and self._term.epoch == epoch
        return instances.TermState(self._cfg.instance, epoch, is_held)

    def _dump(self) -> dict[str, Any]:
        """Return this process's state for the state dump, without secrets."""
        return {
            "instance": self._cfg.instance,
            "data_centre": self._cfg.data_centre,
            "settings": {
                name: {"value": item.display_value, "origin": item.origin.value}
                for name, item in self._own_settings.items()
            },
            "platform": msgspec.to_builtins(self._cfg),
            "process": dump.process_usage(),
            "configuration_version": self._configuration.version,
            "configuration_age_s": self._configuration.age_s,
            "is_store_in_contact": self._configuration.is_store_reachable,
            "is_leaving": self._is_draining,
            "term": None if self._term is None else self._term.dump(),
        }

    async def _drain(self) -> None:
        """Stop scheduling, and serve callers until they have noticed or the grace time is over.

        Callers may notice late, so the last of their requests are answered at the end.
        """
        self._is_draining = True
        self._scheduling_scope.cancel()
        self._front.disable_keep_alive()
        with trio.move_on_after(self._cfg.grace_s - GRACE_MARGIN_S - FINISH_S):
            await self._front.wait_idle(IDLE_S)
        await self._front.finish(FINISH_S)

    async def _run_terms(self) -> None:
        with self._scheduling_scope:
            while True:
                await self._configuration.loaded.wait()
                await self._run_term()

    async def _run_term(self) -> None:
        leader_lease = await lease.campaign(
            self._store,
            self._cfg.instance,
            ttl_s=max(lease.TTL_S, self._cfg.min_lease_s),
            address=self._query_address,
            is_restart=self._term_count == 0,
            delay_s=max(0.0, PREFERRED_CORES - self._cfg.cores) * DELAY_S_PER_MISSING_CORE,
        )
        self._term_count += 1
        pause_s = 0.0
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(lease.renew_until_lost, self._store, leader_lease)
                current = term.Term(
                    self._store,
                    leader_lease,
                    self._rules,
                    max_run_lease_s=self._cfg.max_hold_s,
                    beat_s=self._cfg.heartbeat_s,
                    cancel_s=self._cfg.cancel_s,
                    drain_s=self._cfg.drain_s,
                    evac_s=self._cfg.evac_s,
                    remote_factor=self._cfg.remote_factor,
                    advice_address=self._cfg.advice_address,
                    machine_client=self._machine_client(leader_lease.epoch),
                    holdoff_s=self._cfg.duty_lease_s,
                    retention_s=max(self._own_settings["history_s"].value, self._cfg.status_s),
                    has_admission=self._has_admission,
                )
                self._term = current
                await current.run()
        except* errors.BronzequayError as group:
            _log.warning("term_ended", epoch=leader_lease.epoch, reason=str(_first_error(group)))
        except* Exception as group:  # noqa: BLE001
            # Callers are still answered from the store, and another instance may schedule.
            _log.error("term_failed", epoch=leader_lease.epoch, error="".join(_traceback_of(group)))
            pause_s = FAILED_TERM_PAUSE_S
        finally:
            self._term = None
            await lease.release(self._store, leader_lease)
        await trio.sleep(pause_s)

    def _machine_client(self, epoch: ids.Epoch) -> machines.MachineClient | None:
        address = self._cfg.machines_address
        return machines.MachineClient(address, self._cfg.instance, epoch) if address else None

    def _rules(self) -> model.Rules:
        assert self._configuration.current is not None  # noqa: S101
        return self._configuration.current.rules


def _traceback_of(group: BaseExceptionGroup[Exception]) -> list[str]:
    return traceback.format_exception(_first_error(group))


def _first_error(group: BaseExceptionGroup[Exception]) -> BaseException:
    error: BaseException = group
    while isinstance(error, BaseExceptionGroup):
        error = error.exceptions[0]
    return error


def main() -> None:
    """Run one instance; an expected error ends it with one line on stderr."""
    allocator.return_large_blocks()
    try:
        cfg = settings.load()
        own_settings = node.resolve()
        log.configure(level=own_settings["log_level"].value, instance=cfg.instance)
        _log.info("started", data_centre=cfg.data_centre, own_port=cfg.first_port)
        trio.run(Node(cfg, own_settings).run)
        _log.info("stopped")
    except errors.BronzequayError as exc:
        sys.stderr.write(f"bronzequay-node: {exc}\n")
        sys.exit(EXIT_ERROR)


__all__ = ["Node", "main"]

if __name__ == "__main__":
    main()
