"""The analyst's report as a static HTML page, with a chart if ``pygal`` is installed."""

from __future__ import annotations

import collections
import html
import importlib
import re
import statistics
from typing import TYPE_CHECKING

from bronzequay.obs import report, state_labels

if TYPE_CHECKING:
    from collections.abc import Iterable

BUCKETS = 24
SCRIPT = re.compile(r"<script.*?</script>", re.DOTALL)
COLUMNS = ("Job", "For", "State", "Accepted", "Started", "Ended", "Bundle", "Workers", "Why")
STYLE = (
    "body{font:1rem/1.5 sans-serif;margin:2rem;color:#222}table{border-collapse:collapse}"
    "th,td{text-align:left;padding:.25rem .6rem;border-bottom:1px solid #ccc}svg{max-width:56rem}"
)


def render(job_report: report.Report) -> str:
    """Return the report as an HTML page."""
    head = "".join(f"<th>{name}</th>" for name in COLUMNS)
    rows = "".join(_row(line) for line in job_report.lines)
    period = f"{report.format_time(job_report.from_s)} to {report.format_time(job_report.to_s)} UTC"
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Report</title>'
        f"<style>{STYLE}</style></head><body><h1>What ran, and what did not</h1><p>{period}</p>"
        f"{_state_counts(job_report)}{_chart(job_report)}{_predictions(job_report)}"
        f"<table><thead><tr>{head}</tr></thead><tbody>{rows}</tbody></table></body></html>"
    )


def _predictions(job_report: report.Report) -> str:
    lines = report.prediction_lines(job_report.predictions)
    return "".join(f"<p>{html.escape(line)}</p>" for line in lines)


def _state_counts(job_report: report.Report) -> str:
    counts = collections.Counter(state_labels.state_label(line.state) for line in job_report.lines)
    items = "".join(f"<li>{count} {html.escape(name)}</li>" for name, count in counts.most_common())
    return f"<ul>{items}</ul>"


def _chart(job_report: report.Report) -> str:
    try:
        pygal = importlib.import_module("pygal")
    except ImportError:
        return "<p>No pictures: the extra <code>report</code> is not installed.</p>"
    labels, means = completion_times(job_report)
    if not means:
        return ""
    chart = pygal.Line(
        title="Mean completion time in seconds, by time of acceptance",
        show_legend=False,
        x_label_rotation=30,
        js=(),
    )
    chart.x_labels = labels
    chart.add("all organisations", means)
    svg: str = chart.render(is_unicode=True, disable_xml_declaration=True)
    # pygal adds a script for tooltips, but the page must not contain scripts.
    return SCRIPT.sub("", svg)


def completion_times(job_report: report.Report) -> tuple[list[str], list[float]]:
    """Return the mean completion time of ended jobs by time of acceptance.

    :param job_report: the report
    :return: the start of each time bucket as text, and the mean of each bucket in seconds
    """
    completions = [
        (line.accepted_s, line.ended_s - line.accepted_s)
        for line in job_report.lines
        if line.ended_s is not None
    ]
    if not completions:
        return [], []
    first_s = min(accepted_s for accepted_s, _ in completions)
    bucket_s = max(1.0, (max(accepted_s for accepted_s, _ in completions) - first_s) / BUCKETS)
    buckets: dict[int, list[float]] = collections.defaultdict(list)
    for accepted_s, completion_s in completions:
        buckets[int((accepted_s - first_s) / bucket_s)].append(completion_s)
    ordered: Iterable[int] = sorted(buckets)
    labels = [report.format_time(first_s + bucket * bucket_s) for bucket in ordered]
    return labels, [round(statistics.fmean(buckets[bucket]), 1) for bucket in sorted(buckets)]


def _row(line: report.Line) -> str:
    cells = "".join(f"<td>{html.escape(cell)}</td>" for cell in report.make_row(line))
    return f"<tr>{cells}</tr>"


__all__ = ["completion_times", "render"]
