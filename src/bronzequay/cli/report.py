"""``bronzequay report``: print the analyst's report."""

from __future__ import annotations

import dataclasses
import datetime
from typing import Annotated

import cappa
import msgspec

from bronzequay import codes, errors
from bronzequay.cli import http, output, registry
from bronzequay.obs import report, report_html

FORMATS = ("text", "json", "html")


@registry.command(
    "report", description="Report which jobs ran, when and for whom, and why others did not."
)
@dataclasses.dataclass(kw_only=True)
class Report(registry.CommonOptions):
    """Options of the command; times are ISO 8601, in UTC unless they have an offset."""

    since: Annotated[str | None, cappa.Arg(long="--from", help="start of the period")] = None
    until: Annotated[str | None, cappa.Arg(long="--to", help="end of the period")] = None
    org: Annotated[str | None, cappa.Arg(long=True, help="report only this organisation")] = None
    format: Annotated[str, cappa.Arg(long=True, help="text, json or html")] = "text"

    def __call__(self) -> None:
        """Print the report."""
        if self.format not in FORMATS:
            raise _invalid_option("--format", f"must be one of {', '.join(FORMATS)}")
        raw = http.call(self, "GET", "/v1/report", params=self._params())
        if self.json or self.format == "json":
            output.print_json(raw)
            return
        job_report = msgspec.json.decode(raw, type=report.Report)
        print(
            report_html.render(job_report)
            if self.format == "html"
            else report.render_text(job_report)
        )

    def _params(self) -> dict[str, str | int]:
        params: dict[str, str | int] = {}
        if self.since is not None:
            params["from"] = str(_parse_time("--from", self.since))
        if self.until is not None:
            params["to"] = str(_parse_time("--to", self.until))
        if self.org is not None:
            params["org"] = self.org
        return params


def _parse_time(flag: str, value: str) -> float:
    try:
        parsed = datetime.datetime.fromisoformat(value)
    except ValueError:
        raise _invalid_option(flag, "must be an ISO 8601 time such as 2026-12-04T07:30") from None
    if parsed.tzinfo is None:
        parsed = parsed.replace(tzinfo=datetime.UTC)
    return parsed.timestamp()


def _invalid_option(flag: str, message: str) -> errors.BronzequayError:
    return errors.BronzequayError(codes.ResultCode.VALUE_OUT_OF_RANGE, message, field=flag)


__all__ = ["Report"]
