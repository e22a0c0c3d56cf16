"""``bronzequay bundle adoptions``: list which instances adopted which bundle versions."""

from __future__ import annotations

import dataclasses

import msgspec

from bronzequay.cfg import adoption
from bronzequay.cli import http, output, registry
from bronzequay.obs import report


class _Adoptions(msgspec.Struct):
    instances: tuple[adoption.InstanceAdoptions, ...]


@registry.command(
    "adoptions",
    group=registry.Group.BUNDLE,
    description="List when each instance adopted each bundle version.",
)
@dataclasses.dataclass(kw_only=True)
class Adoptions(registry.CommonOptions):
    """Options of the command."""

    def __call__(self) -> None:
        """Print the adoptions by instance."""
        raw = http.call(self, "GET", "/v1/bundles/adoptions")
        if self.json:
            output.print_json(raw)
            return
        rows = [
            (item.instance, entry.version, report.format_time(entry.at_s))
            for item in msgspec.json.decode(raw, type=_Adoptions).instances
            for entry in item.adoptions
        ]
        output.print_table(("INSTANCE", "VERSION", "IN FORCE SINCE"), rows)


__all__ = ["Adoptions"]
