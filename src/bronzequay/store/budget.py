"""Budget of calls to the store."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from bronzequay.store import purpose as purposes


class Budget:
    """Limits the rate of calls.

    :param calls_per_s: calls a second, of all purposes together
    """

    def __init__(self, *, calls_per_s: float) -> None:
        self._gap_s = 1.0 / calls_per_s
        self._next_s = 0.0

    async def acquire(self, purpose: purposes.Purpose) -> None:  # noqa: ARG002  # by arrival
        """Wait for the right to make one call."""
        at_s = max(self._next_s, trio.current_time())
        self._next_s = at_s + self._gap_s
        await trio.sleep_until(at_s)


__all__ = ["Budget"]
