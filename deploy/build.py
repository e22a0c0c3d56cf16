"""Installs the run-time dependencies and a copy of the package into ``target/deps``."""

from __future__ import annotations

import hashlib
import pathlib
import platform
import shutil
import subprocess
import sys

DEPS = pathlib.Path("target/deps")
REQUIREMENTS = pathlib.Path("deploy/requirements.txt")
SOURCE = pathlib.Path("src/bronzequay")


def stamp_text(requirements: bytes, machine: str, interpreter: str) -> str:
    """Return what the installed dependencies depend on.

    :param requirements: content of the requirements file
    :param machine: processor architecture; compiled packages run on no other
    :param interpreter: cache tag of the interpreter, such as ``cpython-311``
    """
    digest = hashlib.sha256(requirements).hexdigest()
    return f"{digest} {machine} {interpreter}"


def main() -> None:
    """Install the dependencies if they are not current, then copy the package."""
    wanted = stamp_text(REQUIREMENTS.read_bytes(), platform.machine(), sys.implementation.cache_tag)
    stamp = DEPS / ".stamp"
    if not stamp.exists() or stamp.read_text(encoding="utf-8") != wanted:
        shutil.rmtree(DEPS, ignore_errors=True)
        pip = [sys.executable, "-m", "pip", "install", "-q", "--no-deps", "--target", str(DEPS)]
        subprocess.run([*pip, "-r", str(REQUIREMENTS)], check=True)  # noqa: S603  # fixed arguments
        stamp.write_text(wanted, encoding="utf-8")
    shutil.rmtree(DEPS / "bronzequay", ignore_errors=True)
    shutil.copytree(SOURCE, DEPS / "bronzequay", ignore=shutil.ignore_patterns("__pycache__"))


if __name__ == "__main__":
    main()
