"""Commands register here; ``main`` makes the command line of them."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Annotated, Any, TypeVar, Union

import cappa

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_URL = "http://127.0.0.1:8080"


class Group(enum.Enum):
    """Groups of commands; the value is the description."""

    JOB = "Submit, show and cancel jobs."
    BUNDLE = "Check, review and roll out configuration bundles."


@dataclasses.dataclass(kw_only=True)
class Common:
    """Options of every command that calls an entry instance."""

    url: Annotated[
        str,
        cappa.Arg(long=True, default=cappa.Env("BRONZEQUAY_URL", default=DEFAULT_URL)),
    ] = DEFAULT_URL
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON instead of a table")] = False


T = TypeVar("T", bound=type[Any])

_TOP: dict[str, type[Any]] = {}
_GROUPED: dict[Group, dict[str, type[Any]]] = {group: {} for group in Group}


def command(name: str, *, description: str, group: Group | None = None) -> Callable[[T], T]:
    """Register a dataclass as a command.

    :param name: the word on the command line
    :param description: one sentence for ``--help``
    :param group: the group the command stands in, ``None`` for the top
    """

    def register(kind: T) -> T:
        made: T = cappa.command(kind, name=name, help=description, description="")
        target = _TOP if group is None else _GROUPED[group]
        target[name] = made
        return made

    return register


def names() -> tuple[str, ...]:
    """Return every registered command as it is typed."""
    grouped = [
        f"{group.name.lower()} {name}" for group, members in _GROUPED.items() for name in members
    ]
    return (*sorted(_TOP), *sorted(grouped))


def build(program: str) -> type[Any]:
    """Return the whole command line as one command.

    :param program: the program's name
    """
    tops = dict(_TOP)
    for group, members in _GROUPED.items():
        name = group.name.lower()
        tops[name] = _group(name, description=group.value, members=members)
    return _group(program, description="Drives bronzequay's entry instances.", members=tops)


def _group(name: str, *, description: str, members: dict[str, type[Any]]) -> type[Any]:
    ordered = tuple(members[key] for key in sorted(members))
    kinds = Union[ordered]  # type: ignore[valid-type]  # noqa: UP007
    made = dataclasses.make_dataclass(name.title(), [("command", cappa.Subcommands[kinds])])  # type: ignore[misc]
    whole: type[Any] = cappa.command(made, name=name, help=description, description="")
    return whole


__all__ = ["Common", "Group", "build", "command", "names"]
