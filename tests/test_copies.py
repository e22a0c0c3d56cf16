"""Copies of the store's keys: each has an age that limits what may rely on it."""

from __future__ import annotations

import ast
import pathlib

SOURCE = pathlib.Path(__file__).parent.parent / "src" / "bronzequay"
WITHOUT_AGE = {
    "control/upkeep.py": "a wave is ordered once, and the platform checks each order",
    "front/admission.py": "its value states when it was written",
}
"""Modules that follow keys without an age, with the reason."""


def follows_without_age(path: pathlib.Path) -> bool:
    calls = [node for node in ast.walk(ast.parse(path.read_text())) if isinstance(node, ast.Call)]
    return any(
        isinstance(call.func, ast.Attribute)
        and call.func.attr == "follow"
        and "on_answer" not in {keyword.arg for keyword in call.keywords}
        for call in calls
    )


def test_every_copy_has_an_age() -> None:
    """Guards against decisions by keys that were read any time ago."""
    paths = [path for part in ("control", "front", "own") for path in (SOURCE / part).glob("*.py")]
    found = {str(path.relative_to(SOURCE)) for path in paths if follows_without_age(path)}
    assert found == set(WITHOUT_AGE)
