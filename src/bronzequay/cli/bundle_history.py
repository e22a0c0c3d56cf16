"""``bronzequay bundle history``: list all rolled-out bundle versions."""

from __future__ import annotations

import dataclasses

import msgspec

from bronzequay.cfg import rollout
from bronzequay.cli import http, output, registry
from bronzequay.obs import report


class _Versions(msgspec.Struct):
    versions: tuple[rollout.HeadEntry, ...]


@registry.command(
    "history", group=registry.Group.BUNDLE, description="List all rolled-out versions."
)
@dataclasses.dataclass(kw_only=True)
class History(registry.CommonOptions):
    """Options of the command."""

    def __call__(self) -> None:
        """Print the versions, oldest first."""
        raw = http.call(self, "GET", "/v1/bundles")
        if self.json:
            output.print_json(raw)
            return
        rows = [
            (item.version, report.format_time(item.at_s), item.author, item.signed_by, item.digest)
            for item in msgspec.json.decode(raw, type=_Versions).versions
        ]
        output.print_table(("VERSION", "AT", "AUTHOR", "SIGNED OFF BY", "DIGEST"), rows)


__all__ = ["History"]
