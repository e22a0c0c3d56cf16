"""``bronzequay state``: dump the state of an entry instance."""

from __future__ import annotations

import dataclasses

from bronzequay.cli import http, output, registry


@registry.command("state", description="Dump the state of one entry instance.")
@dataclasses.dataclass(kw_only=True)
class State(registry.CommonOptions):
    """Options of the command."""

    def __call__(self) -> None:
        """Print the state dump as JSON."""
        output.print_json(http.call(self, "GET", "/v1/state"))


__all__ = ["State"]
