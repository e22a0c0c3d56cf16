"""Jobs that the soak's callers draw."""

from __future__ import annotations

import types
from typing import Any

import msgspec

from soak import callers, harness

WORKERS = 4


def test_no_gang_is_larger_than_the_fleet() -> None:
    """Guards against a job that no scheduler could ever start."""
    site: Any = types.SimpleNamespace(instances=[], worker_count=WORKERS)
    traffic = callers.Callers(site, seed=3)
    for _ in range(500):
        (step,) = msgspec.json.decode(traffic.draw_job().body)["steps"]
        room = WORKERS * (harness.WORKER_GPUS // step["gpu"])
        assert not step["gang"] or step["count"] <= room
