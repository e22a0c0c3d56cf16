"""Signals that end an instance."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import structlog

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

_log = structlog.get_logger()


async def wait_for_end(received: AsyncIterator[int]) -> None:
    """Wait for a signal that ends the instance, which SIGHUP does not."""
    async for number in received:
        _log.info("signal", name=signal.Signals(number).name)
        if number != signal.SIGHUP:
            return


async def ignore(received: AsyncIterator[int]) -> None:
    """Log signals during a shutdown, which their default handlers would cut short."""
    async for number in received:
        _log.info("signal_ignored", name=signal.Signals(number).name)


__all__ = ["ignore", "wait_for_end"]
