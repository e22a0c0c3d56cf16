"""Prints text tables and JSON to standard output."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from bronzequay.obs import report, state_labels

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from bronzequay.policy import model

COLUMN_GAP = "  "
JOB_COLUMNS = ("JOB", "STATE", "ORGANISATION", "CALLER", "MEMBERS", "ACCELERATORS", "ACCEPTED")


def print_json(raw: bytes) -> None:
    """Print a JSON body with indentation."""
    print(msgspec.json.format(raw, indent=2).decode())


def print_table(columns: Sequence[str], rows: Iterable[Sequence[object]]) -> None:
    """Print rows as an aligned table with column headers."""
    text_rows = [tuple(columns), *[tuple(str(cell) for cell in row) for row in rows]]
    widths = [max(len(row[column]) for row in text_rows) for column in range(len(columns))]
    for row in text_rows:
        cells = [cell.ljust(width) for cell, width in zip(row, widths, strict=True)]
        print(COLUMN_GAP.join(cells).rstrip())


def print_jobs(records: Iterable[model.JobRecord]) -> None:
    """Print one line per job."""
    rows = [
        (
            record.job,
            state_labels.state_label(record.state),
            record.spec.org,
            record.spec.caller,
            record.spec.members,
            record.spec.members * record.spec.accelerators,
            report.format_time(record.accepted_s),
        )
        for record in records
    ]
    print_table(JOB_COLUMNS, rows)


def print_history(record: model.JobRecord) -> None:
    """Print one line per entry of a job's history."""
    rows = [
        (
            report.format_time(entry.at_s),
            state_labels.state_label(entry.state),
            f"{entry.code.value} {entry.code.name}",
            entry.attempt or "-",
            entry.bundle,
            ",".join(entry.workers) or "-",
            entry.detail or "-",
        )
        for entry in record.history
    ]
    print_table(("AT", "STATE", "CODE", "ATTEMPT", "BUNDLE", "WORKERS", "DETAIL"), rows)


__all__ = ["print_history", "print_jobs", "print_json", "print_table"]
