"""Hypothesis profile, and expected failures of the tests listed in KNOWN-RED.txt."""

from __future__ import annotations

import pathlib
from typing import TYPE_CHECKING

import hypothesis
import pytest

if TYPE_CHECKING:
    from collections.abc import Iterable

# No deadline: on a busy machine a property that holds must not fail for being slow.
hypothesis.settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    suppress_health_check=[hypothesis.HealthCheck.too_slow],
)
hypothesis.settings.load_profile("ci")

KNOWN_RED = pathlib.Path(__file__).parent.parent / "KNOWN-RED.txt"


def _known_red() -> dict[str, str]:
    lines = KNOWN_RED.read_text(encoding="utf-8").splitlines()
    entries = [line for line in lines if line and not line.startswith("#")]
    return {entry.split(" | ")[0].strip(): entry for entry in entries}


def pytest_collection_modifyitems(items: Iterable[pytest.Item]) -> None:
    """Mark the listed tests as expected failures."""
    entries = _known_red()
    for item in items:
        entry = entries.get(item.nodeid)
        if entry is not None:
            item.add_marker(pytest.mark.xfail(reason=entry, strict=False))


def pytest_terminal_summary(terminalreporter: pytest.TerminalReporter) -> None:
    """Print the listed tests at the end of every run."""
    for entry in _known_red().values():
        terminalreporter.write_line(f"known red: {entry}")
