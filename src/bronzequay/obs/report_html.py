"""The analyst's report as one static HTML file, with pictures when ``pygal`` is there."""

from __future__ import annotations

import collections
import html
import importlib
import re
import statistics
from typing import TYPE_CHECKING

from bronzequay.obs import report, words

if TYPE_CHECKING:
    from collections.abc import Iterable

BUCKETS = 24
SCRIPT = re.compile(r"<script.*?</script>", re.DOTALL)
COLUMNS = ("Job", "For", "State", "Accepted", "Started", "Ended", "Bundle", "Workers", "Why")
STYLE = (
    "body{font:1rem/1.5 sans-serif;margin:2rem;color:#222}table{border-collapse:collapse}"
    "th,td{text-align:left;padding:.25rem .6rem;border-bottom:1px solid #ccc}svg{max-width:56rem}"
)


def render(kept: report.Report) -> str:
    """Return the report as HTML.

    :param kept: the report
    """
    head = "".join(f"<th>{name}</th>" for name in COLUMNS)
    rows = "".join(_row(line) for line in kept.lines)
    span = f"{report.moment(kept.from_s)} to {report.moment(kept.to_s)} UTC"
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8"><title>Report</title>'
        f"<style>{STYLE}</style></head><body><h1>What ran, and what did not</h1><p>{span}</p>"
        f"{_summary(kept)}{_pictures(kept)}"
        f"<table><thead><tr>{head}</tr></thead><tbody>{rows}</tbody></table></body></html>"
    )


def _summary(kept: report.Report) -> str:
    counts = collections.Counter(words.state_words(line.state) for line in kept.lines)
    items = "".join(f"<li>{count} {html.escape(name)}</li>" for name, count in counts.most_common())
    return f"<ul>{items}</ul>"


def _pictures(kept: report.Report) -> str:
    try:
        pygal = importlib.import_module("pygal")
    except ImportError:
        return "<p>No pictures: the extra <code>report</code> is not installed.</p>"
    labels, means = completion_times(kept)
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
    picture: str = chart.render(is_unicode=True, disable_xml_declaration=True)
    # The library adds a script for tooltips; the report has to work without any.
    return SCRIPT.sub("", picture)


def completion_times(kept: report.Report) -> tuple[list[str], list[float]]:
    """Return the mean completion time of finished jobs over equal spans of acceptance.

    :param kept: the report
    :return: the starts of the spans as text, and the means in seconds
    """
    ended = [
        (line.accepted_s, line.ended_s - line.accepted_s)
        for line in kept.lines
        if line.ended_s is not None
    ]
    if not ended:
        return [], []
    first_s = min(at_s for at_s, _ in ended)
    width_s = max(1.0, (max(at_s for at_s, _ in ended) - first_s) / BUCKETS)
    spans: dict[int, list[float]] = collections.defaultdict(list)
    for at_s, took_s in ended:
        spans[int((at_s - first_s) / width_s)].append(took_s)
    ordered: Iterable[int] = sorted(spans)
    labels = [report.moment(first_s + span * width_s) for span in ordered]
    return labels, [round(statistics.fmean(spans[span]), 1) for span in sorted(spans)]


def _row(line: report.Line) -> str:
    cells = "".join(f"<td>{html.escape(cell)}</td>" for cell in report.row(line))
    return f"<tr>{cells}</tr>"


__all__ = ["completion_times", "render"]
