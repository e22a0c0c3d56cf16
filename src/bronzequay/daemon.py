"""Entry point of an entry instance: loads the settings, runs the instance, handles signals."""

from __future__ import annotations

import signal
import sys
import time

import trio

from bronzequay import errors, signals
from bronzequay.cfg import entry
from bronzequay.instance import Instance
from bronzequay.obs import log

EXIT_ERROR = 1


async def run(cfg: entry.EntryCfg, resolved: entry.ResolvedSettings) -> None:
    """Run one entry instance until SIGTERM or SIGINT, then drain it.

    :param cfg: the typed settings
    :param resolved: each setting with its origin, for the state dump
    """
    async with Instance(cfg=cfg, resolved=resolved, wall_clock=time.time) as instance:
        with trio.open_signal_receiver(signal.SIGTERM, signal.SIGINT) as received:
            await signals.wait_for_end(received)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(signals.ignore, received)
                await instance.shutdown()
                nursery.cancel_scope.cancel()


def main() -> None:
    """Run ``bronzequay-entry``; an expected error ends it with one line on stderr."""
    try:
        cfg, resolved = entry.load()
        log.configure(level=cfg.log_level, instance=cfg.instance)
        trio.run(run, cfg, resolved)
    except errors.BronzequayError as exc:
        sys.stderr.write(f"bronzequay-entry: {exc}\n")
        sys.exit(EXIT_ERROR)


__all__ = ["main", "run"]

if __name__ == "__main__":
    main()
