"""Seeds that once led to a breach; they are run again with every change."""

from __future__ import annotations

import msgspec


class Regression(msgspec.Struct, frozen=True):
    """A seed with the length of its fault phase in seconds and the cause of its breach.

    :param has_hazards: whether tasks also crash their workers, and workers shrink
    """

    seed: int
    seconds: float
    cause: str
    has_hazards: bool = False


REGRESSIONS = (
    Regression(101, 25.0, "a keep-alive connection was used after its peer had closed it"),
    Regression(102, 25.0, "a keep-alive connection was used after its peer had closed it"),
    Regression(
        4,
        25.0,
        "a start was accepted by the next incarnation of its worker before that one was known;"
        " the end of such a run was acknowledged, and the next scheduler took the run as lost",
    ),
    Regression(208, 25.0, "a start in flight at the end of an incarnation reached the next one"),
    Regression(
        1505,
        25.0,
        "a late renewal for an earlier life acknowledged ends that no listing had shown",
    ),
    Regression(
        1524,
        25.0,
        "a late renewal for an earlier life acknowledged ends that no listing had shown",
    ),
    Regression(
        406, 20.0, "the members of a gang crashed one worker each, six in a row", has_hazards=True
    ),
)

__all__ = ["REGRESSIONS", "Regression"]
