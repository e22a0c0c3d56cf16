"""The hire sheet as an HTML page without scripts: every job's state in plain words."""

from __future__ import annotations

import html
from typing import TYPE_CHECKING

from bronzequay.obs import report, state_labels
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Sequence

REFRESH_S = 30
STYLE = (
    "body{font:1rem/1.5 sans-serif;margin:1rem 2rem;color:#222}"
    "table{border-collapse:collapse;width:100%}"
    "th,td{text-align:left;padding:.35rem .75rem;border-bottom:1px solid #ccc}"
    "td:nth-child(4),td:nth-child(5){white-space:nowrap}"
    "th{background:#eee}form{margin:1rem 0}label{margin-right:1rem}"
    ".finished{color:#17633a}.failed,.in_doubt,.refused,.infeasible{color:#a11}"
)


def render(lines: Sequence[report.Line], *, org: str | None, state: model.JobState | None) -> str:
    """Return the page.

    :param lines: the jobs to list, newest first
    :param org: the organisation selected in the form, ``None`` for all
    :param state: the state selected in the form, ``None`` for all
    """
    rows = "".join(_row(line) for line in lines)
    body = rows or '<tr><td colspan="6">No job matches.</td></tr>'
    return (
        '<!doctype html><html lang="en"><head><meta charset="utf-8">'
        f'<meta http-equiv="refresh" content="{REFRESH_S}">'
        f"<title>Hire sheet</title><style>{STYLE}</style></head><body>"
        f"<h1>Hire sheet</h1>{_form(org, state)}"
        "<table><thead><tr><th>Job</th><th>For</th><th>State</th><th>Accepted (UTC)</th>"
        f"<th>Ended (UTC)</th><th>Why</th></tr></thead><tbody>{body}</tbody></table></body></html>"
    )


def _form(org: str | None, state: model.JobState | None) -> str:
    options = ['<option value="">every state</option>']
    for listed_state in model.JobState:
        selected = " selected" if listed_state is state else ""
        text = html.escape(state_labels.state_label(listed_state))
        options.append(f'<option value="{listed_state.value}"{selected}>{text}</option>')
    org_value = html.escape(org or "", quote=True)
    return (
        '<form method="get">'
        f'<label>Organisation <input name="org" value="{org_value}"></label>'
        f'<label>State <select name="state">{"".join(options)}</select></label>'
        '<button type="submit">Show</button></form>'
    )


def _row(line: report.Line) -> str:
    cells = (
        line.job,
        f"{line.org}, {line.caller}",
        state_labels.state_label(line.state),
        report.format_time(line.accepted_s),
        report.format_time(line.ended_s),
        line.why,
    )
    row_cells = "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
    return f'<tr class="{line.state.value}">{row_cells}</tr>'


__all__ = ["render"]
