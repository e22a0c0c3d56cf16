"""Keys of the store that belong to us."""

from __future__ import annotations

import urllib.parse

from bronzequay import ids

ROOT = "bronzequay/"
LEADER = ROOT + "leader"
HEAD = ROOT + "head"
INBOX = ROOT + "in/"
JOBS = INBOX + "job/"
CANCELS = INBOX + "cancel/"
WAITING = INBOX + "waiting/"
STATES = ROOT + "state/"
PROGRESS = ROOT + "run/"
WAVES = ROOT + "wave/"


def job(name: ids.JobId) -> str:
    """Return the key of a job as it was accepted."""
    return JOBS + name


def cancel(name: ids.JobId) -> str:
    """Return the key that asks for a job's cancellation."""
    return CANCELS + name


def waiting(queue: ids.QueueId, name: ids.JobId) -> str:
    """Return the key that stands while none of a job's tasks has been started."""
    return waiting_in(queue) + name


def waiting_in(queue: ids.QueueId) -> str:
    """Return the prefix of the waiting jobs of a queue."""
    return f"{WAITING}{urllib.parse.quote(queue, safe='')}/"


def state(name: ids.JobId) -> str:
    """Return the key of what callers are told of a job."""
    return STATES + name


def progress(name: ids.JobId) -> str:
    """Return the key of a job's progress."""
    return PROGRESS + name


def wave(number: int) -> str:
    """Return the key of a wave's progress."""
    return f"{WAVES}{number}"


def name_in(key: str) -> ids.JobId:
    """Return the job that a key belongs to."""
    return ids.JobId(key.rpartition("/")[2])


__all__ = [
    "CANCELS",
    "HEAD",
    "INBOX",
    "JOBS",
    "LEADER",
    "PROGRESS",
    "STATES",
    "WAITING",
    "WAVES",
    "cancel",
    "job",
    "name_in",
    "progress",
    "state",
    "waiting",
    "waiting_in",
    "wave",
]
