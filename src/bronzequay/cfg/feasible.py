"""Whether the fleet could hold all guarantees of a bundle together."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay import codes, errors, ids
from bronzequay.cfg import bundle as bundles
from bronzequay.policy import core

if TYPE_CHECKING:
    from collections.abc import Sequence

    from bronzequay.policy import model

MAX_NAMED = 3


def check(bundle: bundles.Bundle, workers: Sequence[model.WorkerSpec]) -> None:
    """Refuse a bundle whose guarantees do not all fit an empty fleet.

    A fleet that is not known yet refuses nothing: a first bundle may precede the workers.

    :param bundle: a checked bundle
    :param workers: the workers that take new work
    :raises errors.BronzequayError: GUARANTEES_UNMET, naming organisations
    """
    if not workers:
        return
    rules = bundles.to_rules(bundle, ids.BundleVersion(0))
    unmet = core.unmet_guarantees(core.new_state(rules=rules, workers=workers))
    if not unmet:
        return
    named = "; ".join(f"{item.org}: {item.reason}" for item in unmet[:MAX_NAMED])
    raise errors.BronzequayError(
        codes.ResultCode.GUARANTEES_UNMET, f"the fleet cannot hold all guarantees together: {named}"
    )


__all__ = ["check"]
