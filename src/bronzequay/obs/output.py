"""Log output with a bounded rate that never blocks on a slow reader."""

from __future__ import annotations

import collections
import os
import select
import sys
import time
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

MAX_EVENT_LINES_PER_S = 100
"""Lines written per event and second; further ones are only counted."""
MAX_LINE_BYTES = 4000
"""Lines are truncated to this, as a writable pipe accepts 4,096 bytes without blocking."""


class Output:
    """Writes log lines to a file descriptor.

    :param descriptor: the file descriptor, standard output in a daemon
    :param now: returns monotonic seconds
    :ivar dropped: lines dropped in the current second, by event
    """

    def __init__(self, descriptor: int, now: Callable[[], float] = time.monotonic) -> None:
        self._descriptor = descriptor
        self._now = now
        self._second = 0
        self._line_counts: collections.Counter[str] = collections.Counter()
        self.dropped: collections.Counter[str] = collections.Counter()
        self._poll = select.poll()
        self._poll.register(descriptor, select.POLLOUT)

    def admit_line(self, event: str) -> bool:
        """Count a line towards its event's limit; return whether to write it."""
        second = int(self._now())
        if second != self._second:
            self._second = second
            self._line_counts.clear()
            self._write_dropped_counts()
        self._line_counts[event] += 1
        if self._line_counts[event] > MAX_EVENT_LINES_PER_S:
            self.dropped[event] += 1
            return False
        return True

    def _write_dropped_counts(self) -> None:
        dropped, self.dropped = self.dropped, collections.Counter()
        for event, count in sorted(dropped.items()):
            self.msg(f"level='warning' event='lines_dropped' of='{event}' count={count}")

    def msg(self, line: str) -> None:
        """Write a line, or drop it if the reader is too slow."""
        data = line.encode(errors="replace")[:MAX_LINE_BYTES] + b"\n"
        if not self._poll.poll(0):
            self.dropped["unread"] += 1
            return
        try:
            os.write(self._descriptor, data)
        except OSError:
            # The reader has closed the pipe, so the error cannot be logged.
            self.dropped["unread"] += 1

    debug = info = warning = error = critical = msg


def stdout() -> Output:
    """Return the output to this process's standard output."""
    return Output(sys.stdout.fileno())


__all__ = ["Output", "stdout"]
