"""Registry of the commands, from which ``main`` builds the command line."""

from __future__ import annotations

import dataclasses
import enum
from typing import TYPE_CHECKING, Annotated, Any, TypeVar, Union

import cappa

if TYPE_CHECKING:
    from collections.abc import Callable

DEFAULT_URL = "http://127.0.0.1:8080"


class Group(enum.Enum):
    """Command groups; the values are the groups' descriptions."""

    JOB = "Submit, show and cancel jobs."
    BUNDLE = "Check, review and roll out configuration bundles."


@dataclasses.dataclass(kw_only=True)
class CommonOptions:
    """Options shared by the commands that call an entry instance."""

    url: Annotated[
        str,
        cappa.Arg(long=True, default=cappa.Env("BRONZEQUAY_URL", default=DEFAULT_URL)),
    ] = DEFAULT_URL
    json: Annotated[bool, cappa.Arg(long=True, help="print JSON instead of a table")] = False


T = TypeVar("T", bound=type[Any])

_TOP_LEVEL: dict[str, type[Any]] = {}
_GROUPED: dict[Group, dict[str, type[Any]]] = {group: {} for group in Group}


def command(name: str, *, description: str, group: Group | None = None) -> Callable[[T], T]:
    """Return a decorator that registers a dataclass as a command.

    :param name: the command's name on the command line
    :param description: one sentence for ``--help``
    :param group: the command's group, ``None`` for a top-level command
    """

    def register(command_type: T) -> T:
        registered: T = cappa.command(command_type, name=name, help=description, description="")
        target = _TOP_LEVEL if group is None else _GROUPED[group]
        target[name] = registered
        return registered

    return register


def command_names() -> tuple[str, ...]:
    """Return every registered command as typed on the command line."""
    grouped = [
        f"{group.name.lower()} {name}" for group, members in _GROUPED.items() for name in members
    ]
    return (*sorted(_TOP_LEVEL), *sorted(grouped))


def build(program: str) -> type[Any]:
    """Return the root command with all registered commands.

    :param program: name of the program
    """
    top_level = dict(_TOP_LEVEL)
    for group, members in _GROUPED.items():
        name = group.name.lower()
        top_level[name] = _group(name, description=group.value, members=members)
    return _group(program, description="Controls bronzequay's entry instances.", members=top_level)


def _group(name: str, *, description: str, members: dict[str, type[Any]]) -> type[Any]:
    ordered = tuple(members[key] for key in sorted(members))
    member_types = Union[ordered]  # type: ignore[valid-type]  # noqa: UP007
    group_type = dataclasses.make_dataclass(
        name.title(),
        [("command", cappa.Subcommands[member_types])],  # type: ignore[misc]
    )
    group_command: type[Any] = cappa.command(
        group_type, name=name, help=description, description=""
    )
    return group_command


__all__ = ["CommonOptions", "Group", "build", "command", "command_names"]
