"""Processes of instances under faults that overlap."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from soak import harness

if TYPE_CHECKING:
    import pathlib

WAIT_S = 0.3


async def test_waiting_for_an_exit_does_not_kill_the_next_process(
    tmp_path: pathlib.Path, nursery: trio.Nursery
) -> None:
    """Guards against a soak that kills an instance without noting the fault."""
    site = harness.Harness(nursery, seed=1, entries=1, workers=1, folder=tmp_path)
    (instance,) = site.instances
    instance.start()
    try:
        nursery.start_soon(instance.wait_exited, WAIT_S)
        await trio.sleep(0.1)
        instance.send_signal(signal.SIGKILL)
        assert instance._process is not None
        instance._process.wait()  # lets no other task run before the next process has started
        instance.start()
        await trio.sleep(2 * WAIT_S)
        assert instance.is_running
    finally:
        site.stop()
