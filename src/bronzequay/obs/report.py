"""The analyst's report: what ran, when, for whom, and why others did not."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

import msgspec

from bronzequay import codes, ids
from bronzequay.obs import words
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Iterable


NO_REASON = "-"
HEAD = ("JOB", "FOR", "STATE", "ACCEPTED", "STARTED", "ENDED", "BUNDLE", "WORKERS", "WHY")


class Line(msgspec.Struct, frozen=True):
    """One job of the report; times are seconds since the Unix epoch.

    :param why: what the job's last change says, in plain words
    """

    job: ids.JobId
    org: ids.OrgId
    caller: ids.CallerId
    state: model.JobState
    code: int
    accepted_s: float
    started_s: float | None
    ended_s: float | None
    workers: tuple[ids.WorkerId, ...]
    attempts: int
    bundle: ids.BundleVersion
    why: str


class Report(msgspec.Struct, frozen=True):
    """Jobs accepted within a span of time, oldest first."""

    from_s: float
    to_s: float
    lines: tuple[Line, ...]


def build(records: Iterable[model.JobRecord], *, from_s: float, to_s: float) -> Report:
    """Build the report from the kept history.

    :param records: every job, archived ones included
    :param from_s: first moment, seconds since the Unix epoch
    :param to_s: last moment
    """
    chosen = [record for record in records if from_s <= record.accepted_s <= to_s]
    chosen.sort(key=lambda record: (record.accepted_s, record.job))
    return Report(from_s, to_s, tuple(line(record) for record in chosen))


def line(record: model.JobRecord) -> Line:
    """Return a job's line.

    :param record: the job
    """
    last = record.history[-1]
    return Line(
        job=record.job,
        org=record.spec.org,
        caller=record.spec.caller,
        state=record.state,
        code=record.code.value,
        accepted_s=record.accepted_s,
        started_s=record.started_s,
        ended_s=record.ended_s,
        workers=_workers(record),
        attempts=record.attempt,
        bundle=last.bundle,
        why=_why(record, last),
    )


def _why(record: model.JobRecord, last: model.HistoryEntry) -> str:
    if record.code is codes.ResultCode.ACCEPTED:
        return last.detail or NO_REASON
    meaning = codes.MEANINGS[record.code]
    return f"{meaning} ({last.detail})" if last.detail else meaning


def _workers(record: model.JobRecord) -> tuple[ids.WorkerId, ...]:
    for entry in reversed(record.history):
        if entry.workers:
            return tuple(sorted(set(entry.workers)))
    return ()


def as_text(report: Report) -> str:
    """Return the report as a table for people."""
    rows = [HEAD, *[row(line) for line in report.lines]]
    widths = [max(len(row[place]) for row in rows) for place in range(len(HEAD))]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    )


def row(line: Line) -> tuple[str, ...]:
    """Return a line's cells, in the order of ``HEAD``."""
    return (
        line.job,
        f"{line.org}/{line.caller}",
        words.state_words(line.state),
        moment(line.accepted_s),
        moment(line.started_s),
        moment(line.ended_s),
        str(line.bundle),
        ",".join(line.workers) or "-",
        f"{line.code} {line.why}",
    )


def moment(at_s: float | None) -> str:
    """Return a moment in UTC, to the second; "-" for none.

    :param at_s: seconds since the Unix epoch
    """
    if at_s is None:
        return "-"
    return datetime.datetime.fromtimestamp(at_s, tz=datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")


__all__ = ["HEAD", "Line", "Report", "as_text", "build", "line", "moment", "row"]
