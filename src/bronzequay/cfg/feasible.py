"""Checks whether the fleet can satisfy all guarantees of a bundle at the same time."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay import codes, errors, ids
from bronzequay.cfg import bundle as bundles
from bronzequay.policy import core

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bronzequay.policy import model

MAX_REPORTED = 3


def check(bundle: bundles.Bundle, workers: Sequence[model.WorkerSpec]) -> None:
    """Check that the guarantees of a bundle all fit on the fleet when it is empty.

    Without workers every bundle passes, since the first bundle may be rolled out before any
    worker is known.

    :param bundle: a valid bundle
    :param workers: the workers that accept new work
    :raises errors.BronzequayError: GUARANTEES_UNMET, naming up to ``MAX_REPORTED`` organisations
    """
    if not workers:
        return
    rules = bundles.to_rules(bundle, ids.BundleVersion(0))
    unmet = core.unmet_guarantees(core.new_state(rules=rules, workers=workers))
    if not unmet:
        return
    reasons = "; ".join(f"{item.org}: {item.reason}" for item in unmet[:MAX_REPORTED])
    raise errors.BronzequayError(
        codes.ResultCode.GUARANTEES_UNMET,
        f"the fleet cannot satisfy all guarantees together: {reasons}",
    )


__all__ = ["check"]
