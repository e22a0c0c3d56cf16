"""Work of jobs: core-seconds by their estimates, with accelerators weighted as cores."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from bronzequay.core import model

CORES_PER_GPU = 8.0
"""Weight of an accelerator in work, in cores."""


def weight(cpu: int, gpu: int) -> float:
    """Return an amount of room, or its use, in cores.

    :param cpu: thousandths of a core
    """
    return cpu / 1000 + CORES_PER_GPU * gpu


def step_weight(step: model.Step) -> float:
    """Return the room that all tasks of a step need, in cores."""
    return weight(step.need.cpu, step.need.gpu) * step.count


def job_work(spec: model.JobSpec) -> float:
    """Return the estimated work of one occurrence of a job, in core-seconds."""
    return sum(step_weight(step) * step.estimate_s for step in spec.steps)


__all__ = ["CORES_PER_GPU", "job_work", "step_weight", "weight"]
