"""Output of a draft, shared by the bundle commands."""

from __future__ import annotations

import msgspec

from bronzequay.cfg import rollout
from bronzequay.cli import output


def print_draft(raw: bytes, *, as_json: bool) -> None:
    """Print a draft.

    :param raw: the draft, encoded as JSON
    :param as_json: whether to print JSON instead of a table
    """
    if as_json:
        output.print_json(raw)
        return
    draft = msgspec.json.decode(raw, type=rollout.Draft)
    row = (draft.digest, draft.stage.value, draft.author, draft.signed_by or "-")
    output.print_table(("DIGEST", "STAGE", "AUTHOR", "SIGNED OFF BY"), [row])


__all__ = ["print_draft"]
