"""``bronzequay request``: send a short request to a service."""

from __future__ import annotations

import dataclasses
import sys
from typing import Annotated

import cappa

from bronzequay.cli import http, registry


@registry.command("request", description="Send a short request to a service.")
@dataclasses.dataclass(kw_only=True)
class Request(registry.CommonOptions):
    """Options of the command; the body is read from standard input."""

    service: Annotated[str, cappa.Arg(help="name of the service")]
    org: Annotated[str, cappa.Arg(long=True, help="organisation")]
    caller: Annotated[str, cappa.Arg(long=True, help="caller within the organisation")]
    urgency: Annotated[str, cappa.Arg(long=True, help="low, normal or urgent")] = "normal"
    idempotent: Annotated[bool, cappa.Arg(long=True, help="may run more than once")] = False
    key: Annotated[str | None, cappa.Arg(long=True, help="deduplication key")] = None

    def __call__(self) -> None:
        """Send the request and write the response body to standard output."""
        headers = {
            "x-organisation": self.org,
            "x-caller": self.caller,
            "x-urgency": self.urgency,
            "x-idempotent": str(self.idempotent).lower(),
        }
        if self.key is not None:
            headers["x-key"] = self.key
        body = sys.stdin.buffer.read()
        path = f"/v1/services/{self.service}/requests"
        sys.stdout.buffer.write(http.call(self, "POST", path, body=body, headers=headers))


__all__ = ["Request"]
