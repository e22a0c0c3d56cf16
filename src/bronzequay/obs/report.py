"""The analyst's report: which jobs ran, when and for whom, and why others did not."""

from __future__ import annotations

import datetime
from typing import TYPE_CHECKING

import msgspec

from bronzequay import codes, ids
from bronzequay.obs import state_labels
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Iterable


NO_REASON = "-"
COLUMNS = ("JOB", "FOR", "STATE", "ACCEPTED", "STARTED", "ENDED", "BUNDLE", "WORKERS", "WHY")


class Line(msgspec.Struct, frozen=True):
    """One job of the report; times are in seconds since the Unix epoch.

    :param why: reason for the job's latest change of state, in plain words
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


class Predictions(msgspec.Struct, frozen=True):
    """How well run times are predicted, and how fast the workers are.

    :param ratio_p50: median of predicted over actual run times
    :param ratio_p90: its 90th percentile
    :param share_below_p90: share of the runs below their predicted 90th percentile
    :param groups: by service, the speeds of its groups of workers, fastest first
    """

    ratio_p50: float
    ratio_p90: float
    share_below_p90: float
    groups: dict[ids.ServiceId, tuple[float, ...]]


class Report(msgspec.Struct, frozen=True, omit_defaults=True):
    """Jobs accepted within a period, oldest first; times are in seconds since the Unix epoch.

    :param predictions: None where run times are not learned
    """

    from_s: float
    to_s: float
    lines: tuple[Line, ...]
    predictions: Predictions | None = None


def build(records: Iterable[model.JobRecord], *, from_s: float, to_s: float) -> Report:
    """Build the report from job records.

    :param records: all jobs, including archived ones
    :param from_s: start of the period, seconds since the Unix epoch
    :param to_s: end of the period, inclusive, seconds since the Unix epoch
    """
    selected = [record for record in records if from_s <= record.accepted_s <= to_s]
    selected.sort(key=lambda record: (record.accepted_s, record.job))
    return Report(from_s, to_s, tuple(make_line(record) for record in selected))


def make_line(record: model.JobRecord) -> Line:
    """Return the report line of a job."""
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


def render_text(report: Report) -> str:
    """Return the report as an aligned text table."""
    rows = [COLUMNS, *[make_row(line) for line in report.lines]]
    widths = [max(len(row[column]) for row in rows) for column in range(len(COLUMNS))]
    table = [
        "  ".join(cell.ljust(width) for cell, width in zip(row, widths, strict=True)).rstrip()
        for row in rows
    ]
    return "\n".join([*table, *prediction_lines(report.predictions)])


def prediction_lines(predictions: Predictions | None) -> list[str]:
    """Return what is known of predicted run times in plain words, one line a subject."""
    if predictions is None:
        return []
    ratios = f"p50 {predictions.ratio_p50:.2f}, p90 {predictions.ratio_p90:.2f}"
    below = f"{predictions.share_below_p90:.0%} of the runs below their predicted p90"
    lines = [f"predicted over actual run time: {ratios}; {below}"]
    for service, speeds in sorted(predictions.groups.items()):
        lines.append(f"speeds of workers of {service}: " + ", ".join(f"{x:.2f}" for x in speeds))
    return lines


def make_row(line: Line) -> tuple[str, ...]:
    """Return the cells of a line, in the order of ``COLUMNS``."""
    return (
        line.job,
        f"{line.org}/{line.caller}",
        state_labels.state_label(line.state),
        format_time(line.accepted_s),
        format_time(line.started_s),
        format_time(line.ended_s),
        str(line.bundle),
        ",".join(line.workers) or "-",
        f"{line.code} {line.why}",
    )


def format_time(at_s: float | None) -> str:
    """Format a time in UTC, to the second; ``-`` for ``None``.

    :param at_s: seconds since the Unix epoch
    """
    if at_s is None:
        return "-"
    return datetime.datetime.fromtimestamp(at_s, tz=datetime.UTC).strftime("%Y-%m-%d %H:%M:%S")


__all__ = [
    "COLUMNS",
    "Line",
    "Predictions",
    "Report",
    "build",
    "format_time",
    "make_line",
    "make_row",
    "prediction_lines",
    "render_text",
]
