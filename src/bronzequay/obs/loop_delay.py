"""Measures how late the event loop runs tasks that are due."""

from __future__ import annotations

from typing import NoReturn

import structlog
import trio

from bronzequay import figures

INTERVAL_S = 1.0
"""Time between two measurements; a delay of this length is always seen."""
STALL_S = 0.5
"""Delay from which callers and watches notice it, and which is logged."""

_log = structlog.get_logger()


async def measure() -> NoReturn:
    """Measure the delay of a timer until cancelled."""
    while True:
        due_s = trio.current_time() + INTERVAL_S
        await trio.sleep_until(due_s)
        delay_s = trio.current_time() - due_s
        figures.observe("loop_delay", delay_s)
        if delay_s >= STALL_S:
            _log.warning("loop_stalled", delay_s=round(delay_s, 3))


__all__ = ["measure"]
