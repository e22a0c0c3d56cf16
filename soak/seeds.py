"""Seeds that once broke a promise; they are run again with every change."""

from __future__ import annotations

import msgspec


class Regression(msgspec.Struct, frozen=True):
    """A seed with the length of its trouble and what it found."""

    seed: int
    seconds: float
    cause: str


REGRESSIONS = (
    Regression(101, 25.0, "a kept connection was used after its peer had closed it"),
    Regression(102, 25.0, "a kept connection was used after its peer had closed it"),
    Regression(
        4, 25.0, "a start was accepted by the next life of its worker before that was known"
    ),
    Regression(208, 25.0, "a start under way at the end of a life reached the next one"),
)

__all__ = ["REGRESSIONS", "Regression"]
