"""The state dump of a process, with secrets masked."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from bronzequay.cfg import settings


def make_dump(
    *, resolved: Mapping[str, settings.ResolvedSetting], sections: Mapping[str, Callable[[], Any]]
) -> Callable[[], dict[str, Any]]:
    """Return a function that dumps the process's state.

    :param resolved: resolved settings by name
    :param sections: functions that return the state of one part of the process each, by section
        name
    """

    def dump() -> dict[str, Any]:
        return {
            "settings": {
                name: {"value": item.display_value, "origin": item.origin.value}
                for name, item in resolved.items()
            },
            "process": process_usage(),
            **{name: section() for name, section in sections.items()},
        }

    return dump


def process_usage() -> dict[str, float]:
    """Return the processor time used, in seconds, and the peak resident memory, in MB."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_s": usage.ru_utime + usage.ru_stime,
        "max_rss_mb": usage.ru_maxrss / 1024,
    }


__all__ = ["make_dump", "process_usage"]
