"""Task ids: a job, an attempt and a member in one name."""

from __future__ import annotations

from typing import NamedTuple

from bronzequay import ids


class TaskKey(NamedTuple):
    """The parts of a task id."""

    job: ids.JobId
    attempt: int
    member: int


def task_id(job: ids.JobId, attempt: int, member: int) -> ids.TaskId:
    """Name one member of an attempt.

    :param job: the job
    :param attempt: number of the start, from 1
    :param member: index of the member, from 0
    :return: ``JOB.ATTEMPT.MEMBER``
    """
    return ids.TaskId(f"{job}.{attempt}.{member}")


def parse(task: ids.TaskId) -> TaskKey | None:
    """Split a task id.

    :param task: an id as a worker lists it
    :return: its parts, or None when the id is not one of ours
    """
    job, _, rest = task.rpartition(".")
    job, _, attempt = job.rpartition(".")
    if not job or not attempt.isdecimal() or not rest.isdecimal():
        return None
    return TaskKey(ids.JobId(job), int(attempt), int(rest))


__all__ = ["TaskKey", "parse", "task_id"]
