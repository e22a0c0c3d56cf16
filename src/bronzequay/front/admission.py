"""Refuses jobs that can no longer end in time, by the waits that the scheduler predicts."""

from __future__ import annotations

from typing import TYPE_CHECKING, NoReturn

import msgspec
import structlog
import trio

from bronzequay import clock
from bronzequay.control import admission as published
from bronzequay.control import keys, prefix
from bronzequay.core import admission, order

if TYPE_CHECKING:
    from bronzequay.core import model
    from bronzequay.platform.kv import Item, Store

WATCH_S = 2.0
"""Longest wait of one watch call; a dead connection is detected after it."""

_log = structlog.get_logger()


class Admission:
    """The predicted waits last read.

    :param store: the platform's store
    """

    def __init__(self, store: Store) -> None:
        self._store = store
        self._waits = published.Waits(0.0, {})
        self._received_s = float("-inf")

    async def run(self) -> NoReturn:
        """Read the predicted waits, then watch them, until cancelled."""
        snapshot = await prefix.read_with_retries(self._store, keys.ADMISSION)
        self._adopt(snapshot.items)
        await prefix.follow(
            self._store,
            keys.ADMISSION,
            snapshot.rev,
            on_change=self._adopt,
            on_snapshot=self._adopt,
            wait_s=WATCH_S,
        )

    def _adopt(self, items: tuple[Item, ...]) -> None:
        for item in items:
            if item.key != keys.ADMISSION or item.value is None:
                continue
            try:
                self._waits = published.decode(item.value)
            except msgspec.MsgspecError as exc:
                _log.warning("admission_unreadable", revision=item.rev, error=str(exc))
                continue
            self._received_s = trio.current_time()

    def _is_valid(self) -> bool:
        """Return whether the waits were received and, by the clock, written a short time ago."""
        received_s = trio.current_time() - self._received_s
        written_s = abs(clock.wall_s() - self._waits.written_s)
        return max(received_s, written_s) < admission.VALID_S

    def retry_after_s(self, spec: model.JobSpec, rules: model.Rules) -> int | None:
        """Return after how many seconds to submit a job again, None if it is not refused.

        Jobs that may be under a guarantee, endless jobs and jobs that recur are not refused.
        """
        queue = rules.queues.get(spec.queue)
        wait_s = self._waits.waits.get(spec.queue)
        if queue is None or wait_s is None or not self._is_valid():
            return None
        is_endless = any(step.is_endless for step in spec.steps)
        if spec.times or is_endless or admission.is_guaranteed(spec, queue, rules):
            return None
        run_s = order.critical_path_s(spec.steps)
        objective_s = queue.stretch * run_s + queue.latency_s
        return admission.retry_after_s(wait_s, run_s, order.LATE_LIMIT_FACTOR * objective_s)


__all__ = ["Admission"]
