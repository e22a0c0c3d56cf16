"""The state dump: what a process knows, on request, without secrets."""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from bronzequay.cfg import settings


def make_dump(
    *, resolved: Mapping[str, settings.ResolvedSetting], sections: Mapping[str, Callable[[], Any]]
) -> Callable[[], dict[str, Any]]:
    """Return the function that dumps the process's state.

    :param resolved: settings with their origins
    :param sections: one function for each part of the process
    """

    def dump() -> dict[str, Any]:
        return {
            "settings": {
                name: {"value": item.display_value, "origin": item.origin.value}
                for name, item in resolved.items()
            },
            "process": process_figures(),
            **{name: section() for name, section in sections.items()},
        }

    return dump


def process_figures() -> dict[str, float]:
    """Return processor time in seconds and the largest resident memory in MB."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "cpu_s": usage.ru_utime + usage.ru_stime,
        "max_rss_mb": usage.ru_maxrss / 1024,
    }


__all__ = ["make_dump", "process_figures"]
