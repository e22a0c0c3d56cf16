"""Strategies for damaged JSON: valid documents with values replaced, removed or added anywhere."""

from __future__ import annotations

import copy
import json
from typing import Any

from hypothesis import strategies as st

LEAVES = st.one_of(
    st.none(),
    st.booleans(),
    st.sampled_from([0, 1, -1, 0.5, 2**53, 2**63, 2**64, 10**30, -(10**30), 1e308, -1e308]),
    st.sampled_from(["", "a.b.c.d", "j.0.0.0", "j.-1.0.0", "j.0.0.0.0", "j.0. 1.0", "done", "=="]),
    st.text(max_size=4),
)
VALUES = st.recursive(
    LEAVES,
    lambda inner: st.one_of(
        st.lists(inner, max_size=3), st.dictionaries(st.text(max_size=3), inner, max_size=2)
    ),
    max_leaves=4,
)
CUTS = (b"", b"\xff", b'{"x":' + b"[" * 3000, b"[" * 100_000, b"NaN", b"1e999", b'"\\ud800"')


def _paths(value: Any, path: tuple[Any, ...] = ()) -> list[tuple[Any, ...]]:
    if not isinstance(value, dict | list):
        return [path]
    inner = value.items() if isinstance(value, dict) else enumerate(value)
    return [path, *(deep for key, item in inner for deep in _paths(item, (*path, key)))]


@st.composite
def damaged(draw: st.DrawFn, valid: dict[str, Any]) -> bytes:
    """Draw an encoded document that differs from a valid one in up to three places, or is cut."""
    wire = copy.deepcopy(valid)
    for _ in range(draw(st.integers(1, 3))):
        path = draw(st.sampled_from([path for path in _paths(wire) if path]))
        parent: Any = wire
        for key in path[:-1]:
            parent = parent[key]
        if draw(st.booleans()):
            parent[path[-1]] = draw(VALUES)
        else:
            del parent[path[-1]]
        if not wire:
            break
    data = json.dumps(wire).encode()
    if draw(st.integers(0, 9)):
        return data
    return data[: draw(st.integers(0, len(data)))] + draw(st.sampled_from(CUTS))
