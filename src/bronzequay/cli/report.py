"""``bronzequay report``."""

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


@registry.command("report", description="Tell what ran, when, for whom, and why others did not.")
@dataclasses.dataclass(kw_only=True)
class Report(registry.Common):
    """Options of the command; moments are ISO 8601, in UTC when no offset is given."""

    since: Annotated[str | None, cappa.Arg(long="--from", help="first moment")] = None
    until: Annotated[str | None, cappa.Arg(long="--to", help="last moment")] = None
    org: Annotated[str | None, cappa.Arg(long=True, help="only this organisation")] = None
    format: Annotated[str, cappa.Arg(long=True, help="text, json or html")] = "text"

    def __call__(self) -> None:
        """Print the report."""
        if self.format not in FORMATS:
            raise _bad("--format", f"one of {', '.join(FORMATS)}")
        raw = http.call(self, "GET", "/v1/report", params=self._params())
        if self.json or self.format == "json":
            output.print_json(raw)
            return
        kept = msgspec.json.decode(raw, type=report.Report)
        print(report_html.render(kept) if self.format == "html" else report.render_text(kept))

    def _params(self) -> dict[str, str | int]:
        params: dict[str, str | int] = {}
        if self.since is not None:
            params["from"] = str(_seconds("--from", self.since))
        if self.until is not None:
            params["to"] = str(_seconds("--to", self.until))
        if self.org is not None:
            params["org"] = self.org
        return params


def _seconds(flag: str, value: str) -> float:
    try:
        moment = datetime.datetime.fromisoformat(value)
    except ValueError:
        raise _bad(flag, "a moment like 2026-12-04T07:30") from None
    if moment.tzinfo is None:
        moment = moment.replace(tzinfo=datetime.UTC)
    return moment.timestamp()


def _bad(flag: str, message: str) -> errors.BronzequayError:
    return errors.BronzequayError(codes.ResultCode.VALUE_OUT_OF_RANGE, message, field=flag)


__all__ = ["Report"]
