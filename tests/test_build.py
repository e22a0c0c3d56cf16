"""The locked requirements and the folder of run-time dependencies fit every kind of machine."""

from __future__ import annotations

import importlib.util
import pathlib
import re
from typing import TYPE_CHECKING

import pytest

if TYPE_CHECKING:
    import types

ROOT = pathlib.Path(__file__).parent.parent
COMPILED = ("httptools", "msgspec", "mypy", "pyzmq", "ruff")


def load_build() -> types.ModuleType:
    spec = importlib.util.spec_from_file_location("build", ROOT / "deploy" / "build.py")
    assert spec is not None
    assert spec.loader is not None
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


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


def test_dependencies_of_another_machine_or_interpreter_are_not_current() -> None:
    """Guards against compiled packages that were carried over from another kind of machine."""
    build = load_build()
    stamps = {
        build.stamp_text(b"msgspec==1", "x86_64", "cpython-311"),
        build.stamp_text(b"msgspec==1", "aarch64", "cpython-311"),
        build.stamp_text(b"msgspec==1", "x86_64", "cpython-312"),
        build.stamp_text(b"msgspec==2", "x86_64", "cpython-311"),
    }
    assert len(stamps) == 4
