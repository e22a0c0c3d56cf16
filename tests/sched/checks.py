"""Invariants of the workers' logs and the store's history that must hold under any fault."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING, Any

import msgspec

from bronzequay import ids
from bronzequay.sched import journal
from bronzequay.work import tasks

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from bronzequay.policy import model
    from tests.sched import harness

Log = list[dict[str, Any]]
CLOCK_TOLERANCE_S = 0.01
ROUNDING_S = 1e-9
RUN_TIME_TOLERANCE_S = 0.01


def check_epochs(fleet: harness.Fleet) -> None:
    """Check that the epoch of a bucket never decreases."""
    epochs: dict[str, int] = {}
    for key, value in fleet.store.history:
        if "/bucket/" in key:
            epoch = msgspec.msgpack.decode(value, type=journal.Bucket).epoch
            assert epoch >= epochs.get(key, 0), key
            epochs[key] = epoch


LastEntries = dict[tuple[ids.JobId, int], dict[int, dict[str, Any]]]


def _last_entries(log: Log) -> LastEntries:
    """Return the last log entry of each member, for each attempt that was released."""
    last_entries: LastEntries = {}
    released: set[tuple[ids.JobId, int]] = set()
    for entry in log:
        key = tasks.parse(entry["task"])
        if key is None:
            continue
        last_entries.setdefault(key[:2], {})[key.member] = entry
        if entry["event"] == "release":
            released.add(key[:2])
    return {name: members for name, members in last_entries.items() if name in released}


def check_single_release(log: Log, specs: Mapping[ids.JobId, model.JobSpec]) -> None:
    """Check that a non-idempotent job is released again only to resume from a checkpoint.

    Each member must resume exactly from its own checkpoints.
    """
    released: dict[ids.JobId, set[int]] = collections.defaultdict(set)
    for entry in log:
        key = tasks.parse(entry["task"])
        if entry["event"] == "release" and key is not None:
            released[key.job].add(key.attempt)
    for job, spec in specs.items():
        if spec.idempotent:
            continue
        checkpointed_s = dict.fromkeys(range(spec.members), 0.0)
        for attempt in sorted(released[job]):
            starts = _entries(log, job, attempt, "start")
            assert {_member_of(entry) for entry in starts} == set(checkpointed_s), (job, attempt)
            for entry in starts:
                expected_s = checkpointed_s[_member_of(entry)]
                assert abs(entry["resume_s"] - expected_s) < ROUNDING_S, (job, attempt, entry)
            if attempt == max(released[job]):
                break
            checkpoints = _entries(log, job, attempt, "checkpoint")
            assert len(checkpoints) == spec.members, (job, attempt, released[job])
            for entry in checkpoints:
                checkpointed_s[_member_of(entry)] += entry["ran_s"]


def _member_of(entry: Mapping[str, Any]) -> int:
    key = tasks.parse(entry["task"])
    assert key is not None
    return key.member


def _entries(log: Log, job: ids.JobId, attempt: int, event: str) -> Log:
    prefix = f"{job}.{attempt}."
    return [item for item in log if item["event"] == event and item["task"].startswith(prefix)]


def check_no_repeated_work(log: Log, specs: Mapping[ids.JobId, model.JobSpec]) -> None:
    """Check that no member of a non-idempotent job runs longer in total than declared."""
    ran_s: dict[tuple[ids.JobId, int], float] = collections.defaultdict(float)
    for (job, _number), members in _last_entries(log).items():
        for member, entry in members.items():
            ran_s[job, member] += entry["ran_s"]
    for (job, member), total_s in ran_s.items():
        if not specs[job].idempotent:
            assert total_s <= specs[job].declared_s + RUN_TIME_TOLERANCE_S, (job, member, total_s)


def run_spans(log: Log) -> dict[tuple[ids.JobId, int], tuple[float, float]]:
    """Return when the first member of each attempt started running and the last one ended."""
    spans: dict[tuple[ids.JobId, int], tuple[float, float]] = {}
    running: set[str] = set()
    for entry in log:
        key = tasks.parse(entry["task"])
        if key is None:
            continue
        if entry["event"] == "release":
            running.add(entry["task"])
        if entry["task"] in running:
            since_s, _ = spans.get(key[:2], (entry["at_s"], 0.0))
            spans[key[:2]] = (since_s, entry["at_s"])
        if entry["state"] != "running":
            running.discard(entry["task"])
    assert not running, f"tasks still running at the end: {running}"
    return spans


def check_spans(log: Log, records: Mapping[ids.JobId, model.JobRecord]) -> None:
    """Check that attempts of a job do not overlap and that none runs after its job has ended."""
    last_end_s: dict[ids.JobId, float] = {}
    for (job, attempt), (since_s, until_s) in sorted(run_spans(log).items()):
        assert since_s >= last_end_s.get(job, 0.0), (job, attempt)
        last_end_s[job] = until_s
        record = records.get(job)
        if record is not None and record.ended_s is not None:
            assert until_s <= record.ended_s + CLOCK_TOLERANCE_S, (
                job,
                attempt,
                until_s,
                record.ended_s,
            )


def longest_partial_s(log: Log, specs: Mapping[ids.JobId, model.JobSpec]) -> float:
    """Return the longest time that a gang ran while a member was missing or held."""
    attempts: dict[tuple[ids.JobId, int], Log] = collections.defaultdict(list)
    for entry in log:
        key = tasks.parse(entry["task"])
        if key is not None:
            attempts[key.job, key.attempt].append(entry)
    spans = [
        _longest_partial_span(entries, specs[job].members) for (job, _), entries in attempts.items()
    ]
    return max(spans, default=0.0)


def _longest_partial_span(entries: Iterable[dict[str, Any]], members: int) -> float:
    states: dict[str, str] = {}
    since_s: float | None = None
    longest_s = 0.0
    for entry in entries:
        states[entry["task"]] = entry["state"]
        working = sum(state in ("running", "ok") for state in states.values())
        is_partial = "running" in states.values() and working < members
        if since_s is not None:
            longest_s = max(longest_s, entry["at_s"] - since_s)
        if not is_partial:
            since_s = None
        elif since_s is None:
            since_s = entry["at_s"]
    assert since_s is None, "a partial gang still runs at the end of the log"
    return longest_s
