"""Entry point of the ``bronzequay`` command."""

from __future__ import annotations

import importlib
import pkgutil
import sys

import cappa

from bronzequay import cli, codes, errors
from bronzequay.cli import registry

EXIT_ERROR = 1
EXIT_UNREACHABLE = 3


def load_commands() -> None:
    """Import every module of this package, which registers the commands."""
    for module in pkgutil.iter_modules(cli.__path__):
        importlib.import_module(f"{cli.__name__}.{module.name}")


def main() -> None:
    """Run the command line; print an expected error as one line.

    Exit codes: 0 success, 1 an error with a result code, 2 invalid usage, 3 the instance is
    unreachable.
    """
    load_commands()
    try:
        cappa.invoke(registry.build("bronzequay"), completion=False)
    except errors.BronzequayError as exc:
        sys.stderr.write(f"bronzequay: {exc}\n")
        is_unreachable = exc.code is codes.ResultCode.INSTANCE_UNREACHABLE
        sys.exit(EXIT_UNREACHABLE if is_unreachable else EXIT_ERROR)


__all__ = ["load_commands", "main"]
