"""Claims of non-idempotent requests, so that a caller's key runs at most once."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors
from bronzequay.route import model

if TYPE_CHECKING:
    from bronzequay import ids

ClaimKey = tuple["ids.OrgId", "ids.CallerId", str]


class LocalClaims:
    """Claims of one process, in memory."""

    def __init__(self) -> None:
        self._claims: dict[ClaimKey, model.Response | None] = {}

    async def claim(self, req: model.Request, *, deadline_s: float) -> model.Response | None:
        """Claim a request, or return the recorded answer of the first send."""
        del deadline_s
        await trio.lowlevel.checkpoint()
        if req.key is None:
            return None
        key = (req.org, req.caller, req.key)
        if key not in self._claims:
            self._claims[key] = None
            return None
        answer = self._claims[key]
        if answer is None:
            raise errors.BronzequayError(
                codes.ResultCode.OUTCOME_UNKNOWN, "an earlier send with this key has no outcome yet"
            )
        return model.Response(req.request_id, answer.body, answer.executor, answer.code)

    def settle(self, req: model.Request, answer: model.Response | Exception) -> None:
        """Record the outcome of a claimed request."""
        if req.key is None:
            return
        key = (req.org, req.caller, req.key)
        if isinstance(answer, model.Response):
            self._claims[key] = answer

    async def run(self) -> None:
        """Do nothing until cancelled."""
        await trio.sleep_forever()


__all__ = ["LocalClaims"]
