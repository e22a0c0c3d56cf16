"""The locked requirements fit every kind of machine."""

from __future__ import annotations

import pathlib
import re

import pytest

ROOT = pathlib.Path(__file__).parent.parent
COMPILED = ("httptools", "msgspec", "mypy", "pyzmq", "ruff")


def locked_hashes() -> dict[str, int]:
    """Return the number of locked files by package."""
    counts: dict[str, int] = {}
    name = ""
    for line in (ROOT / "requirements.lock").read_text(encoding="utf-8").splitlines():
        if requirement := re.match(r"([A-Za-z0-9_.-]+)==", line):
            name = requirement[1]
        counts[name] = counts.get(name, 0) + line.count("--hash=")
    return counts


@pytest.mark.parametrize("package", COMPILED)
def test_the_lock_holds_the_files_of_a_compiled_package_for_several_machines(package: str) -> None:
    """Guards against a lock from one machine with which ``make setup`` fails on others."""
    assert locked_hashes()[package] > 2
