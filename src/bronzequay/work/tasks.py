"""Task ids, composed of job id, attempt and member."""

from __future__ import annotations

from typing import NamedTuple

from bronzequay import ids


class TaskKey(NamedTuple):
    """The parts of a task id."""

    job: ids.JobId
    attempt: int
    member: int


def task_id(job: ids.JobId, attempt: int, member: int) -> ids.TaskId:
    """Return the task id of one member of an attempt.

    :param job: id of the job
    :param attempt: number of the attempt, from 1
    :param member: index of the member, from 0
    :return: ``JOB.ATTEMPT.MEMBER``
    """
    return ids.TaskId(f"{job}.{attempt}.{member}")


def parse(task: ids.TaskId) -> TaskKey | None:
    """Split a task id.

    :param task: an id as a worker lists it
    :return: its parts, None if the id does not have this form
    """
    job, _, member = task.rpartition(".")
    job, _, attempt = job.rpartition(".")
    if not job or not attempt.isdecimal() or not member.isdecimal():
        return None
    return TaskKey(ids.JobId(job), int(attempt), int(member))


__all__ = ["TaskKey", "parse", "task_id"]
