"""How the bundle commands show a draft."""

from __future__ import annotations

import msgspec

from bronzequay.cfg import rollout
from bronzequay.cli import output


def show(raw: bytes, *, as_json: bool) -> None:
    """Print a draft.

    :param raw: the draft as JSON
    """
    if as_json:
        output.print_json(raw)
        return
    draft = msgspec.json.decode(raw, type=rollout.Draft)
    row = (draft.digest, draft.stage.value, draft.author, draft.signed_by or "-")
    output.print_table(("DIGEST", "STAGE", "AUTHOR", "SIGNED OFF BY"), [row])


__all__ = ["show"]
