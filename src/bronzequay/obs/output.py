"""Standard output for logs: bounded in volume, never waits for its reader."""

from __future__ import annotations

import collections
import os
import select
import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

EVENT_LINES_PER_S = 100
"""Lines of one kind of event in a second; more are counted instead."""
MAX_LINE_BYTES = 4000
"""A pipe that can be written at all takes 4,096 bytes at once."""


class Output:
    """Writes lines to a descriptor.

    :param descriptor: standard output in a daemon
    :param now: seconds, monotonic
    :ivar dropped: lines left out in the present second, by event
    """

    def __init__(self, descriptor: int, now: Callable[[], float] = time.monotonic) -> None:
        self._descriptor = descriptor
        self._now = now
        self._second = 0
        self._written: collections.Counter[str] = collections.Counter()
        self.dropped: collections.Counter[str] = collections.Counter()
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def may_write(self, event: str) -> bool:
        """Count a line against its event's limit; tell whether it is to be written."""
        second = int(self._now())
        if second != self._second:
            self._second = second
            self._written.clear()
            self._report()
        self._written[event] += 1
        if self._written[event] > EVENT_LINES_PER_S:
            self.dropped[event] += 1
            return False
        return True

    def _report(self) -> None:
        dropped, self.dropped = self.dropped, collections.Counter()
        for event, count in sorted(dropped.items()):
            self.msg(f"level='warning' event='lines_dropped' of='{event}' count={count}")

    def msg(self, line: str) -> None:
        """Write a line unless the reader has fallen behind."""
        data = line.encode(errors="replace")[:MAX_LINE_BYTES] + b"\n"
        if not self._poll.poll(0):
            self.dropped["unread"] += 1
            return
        try:
            os.write(self._descriptor, data)
        except OSError:
            # The reader is gone; there is nowhere left to say so.
            self.dropped["unread"] += 1

    debug = info = warning = error = critical = msg


def standard() -> Output:
    """Return the output of this process."""
    return Output(sys.stdout.fileno())


__all__ = ["Output", "standard"]
