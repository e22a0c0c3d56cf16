"""Seeds that once led to a breach; they are run again with every change."""

from __future__ import annotations

import msgspec


class Regression(msgspec.Struct, frozen=True):
    """A seed with the length of its fault phase in seconds and the cause of its breach."""

    seed: int
    seconds: float
    cause: str


REGRESSIONS = (
    Regression(101, 25.0, "a keep-alive connection was used after its peer had closed it"),
    Regression(102, 25.0, "a keep-alive connection was used after its peer had closed it"),
    Regression(
        4,
        25.0,
        "a start was accepted by the next incarnation of its worker before that one was known",
    ),
    Regression(208, 25.0, "a start in flight at the end of an incarnation reached the next one"),
)

__all__ = ["REGRESSIONS", "Regression"]
