"""Keys that bronzequay uses in the platform's store."""

from __future__ import annotations

import urllib.parse

from bronzequay import ids

ROOT = "bronzequay/"
LEADER = ROOT + "leader"
HEAD = ROOT + "head"
CENSUS = ROOT + "census"
INBOX = ROOT + "in/"
JOBS = INBOX + "job/"
CANCELS = INBOX + "cancel/"
WAITING = INBOX + "waiting/"
STATES = ROOT + "state/"
PROGRESS = ROOT + "run/"
WAVES = ROOT + "wave/"
FAILURES = ROOT + "failures"
ADMISSION = ROOT + "admission"
LEARNED = ROOT + "learned"


def job(job_id: ids.JobId) -> str:
    """Return the key of a job's specification as accepted."""
    return JOBS + job_id


def cancel(job_id: ids.JobId) -> str:
    """Return the key that requests a job's cancellation."""
    return CANCELS + job_id


def waiting(queue: ids.QueueId, job_id: ids.JobId) -> str:
    """Return the key that exists until the first task of a job is started."""
    return waiting_prefix(queue) + job_id


def waiting_prefix(queue: ids.QueueId) -> str:
    """Return the prefix of the keys of a queue's waiting jobs."""
    return f"{WAITING}{urllib.parse.quote(queue, safe='')}/"


def state(job_id: ids.JobId) -> str:
    """Return the key of a job's status."""
    return STATES + job_id


def progress(job_id: ids.JobId) -> str:
    """Return the key of a job's progress."""
    return PROGRESS + job_id


def wave(number: int) -> str:
    """Return the key of a wave's progress."""
    return f"{WAVES}{number}"


def job_id_in(key: str) -> ids.JobId:
    """Return the id of the job that a key belongs to."""
    return ids.JobId(key.rpartition("/")[2])


__all__ = [
    "ADMISSION",
    "CANCELS",
    "CENSUS",
    "FAILURES",
    "HEAD",
    "INBOX",
    "JOBS",
    "LEADER",
    "LEARNED",
    "PROGRESS",
    "STATES",
    "WAITING",
    "WAVES",
    "cancel",
    "job",
    "job_id_in",
    "progress",
    "state",
    "waiting",
    "waiting_prefix",
    "wave",
]
