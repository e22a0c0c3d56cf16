"""Limits of an instance's listeners, derived from its machine, its settings and the configuration.

Descriptors: after those for files, half are for callers' connections, and a quarter bounds the
callers' requests that are handled at once, since each may use a connection to the store. The last
quarter is for the scheduler's connections to the store, workers and peers and for the listeners of
readiness and queries.
"""

from __future__ import annotations

import resource
from typing import TYPE_CHECKING

import msgspec

from bronzequay.net import limits

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.cfg.settings import ResolvedSetting
    from bronzequay.front.config_watcher import ConfigurationWatcher
    from bronzequay.platform.settings import Settings

FILE_FDS = 200
"""Descriptors reserved for files."""
MIN_FDS = 64
"""Least number of descriptors that is divided, however few the machine has."""
DEFAULT_FDS = 4096
"""Descriptors of a machine whose settings file does not state them and that has no lower limit."""
SIDE_SHARE = 32
"""Share of the descriptors for the connections to each of the other listeners: one in 32."""
MAX_SIDE_CONNECTIONS = 64
"""The load balancer, a few operators and their tools."""
SIDE_TIMEOUT_S = 5.0
"""Time for the head and for the body of a request to one of the other listeners."""
MIN_MEMORY_MB = 64
"""Least memory that is divided, however little the settings file states."""
MEGABYTE = 1_000_000
QUERY_MEMORY_SHARE = 0.25
"""Memory for queries as a share of that for callers."""
QUERY_BYTES = 524_288
"""Estimated memory of a query: a page of 1,000 jobs."""
READY_BYTES = 1_048_576
"""Memory for requests of the load balancer, which are short."""
REQUEST_LINE_BYTES = 8192
"""Allowance for the request line above the configured limit on headers."""
SOCKET_BUFFER_BYTES = 32_768
"""Size of the kernel's buffers of a caller's connection, which the kernel doubles; 64 KB per round
trip of 1 ms is 500 Mbit/s, and links have 100."""


def usable_fds(max_fds: int) -> int:
    """Return the descriptors that are divided among connections.

    :param max_fds: limit of the settings file, 0 when it states none
    """
    process_limit = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    is_limited = process_limit != resource.RLIM_INFINITY
    known_limit = min(max_fds or DEFAULT_FDS, process_limit) if is_limited else max_fds
    return max(MIN_FDS, (known_limit or DEFAULT_FDS) - FILE_FDS)


def for_callers(
    cfg: Settings, own: dict[str, ResolvedSetting], configuration: ConfigurationWatcher
) -> Callable[[], limits.Limits]:
    """Return a function that returns the limits of the listener for callers now in force.

    :param own: the instance's own settings, by name
    :param configuration: its limits may exceed the settings' and then replace them
    """
    fds = usable_fds(cfg.max_fds)
    connections = own["caller_connections"].value or fds // 2
    base = limits.Limits(
        max_head_bytes=own["head_bytes"].value,
        max_head_lines=own["head_lines"].value,
        head_timeout_s=own["head_timeout_s"].value,
        body_timeout_s=own["body_timeout_s"].value,
        send_timeout_s=own["send_timeout_s"].value,
        idle_timeout_s=own["idle_timeout_s"].value,
        max_connections=connections,
        max_peer_connections=max(1, int(connections * own["peer_share"].value)),
        max_handled=max(1, fds // 4),
        max_held_bytes=int(_memory_bytes(cfg) * own["caller_memory_share"].value),
        socket_buffer_bytes=SOCKET_BUFFER_BYTES,
    )
    cached: tuple[int, limits.Limits] = (-1, base)

    def read() -> limits.Limits:
        nonlocal cached
        current = configuration.current
        if current is not None and current.version != cached[0]:
            head_bytes = current.max_header_bytes + REQUEST_LINE_BYTES
            configured = msgspec.structs.replace(
                base,
                max_head_bytes=max(base.max_head_bytes, head_bytes),
                max_body_bytes=current.max_body_bytes,
                head_timeout_s=max(base.head_timeout_s, current.header_timeout_s),
            )
            cached = (current.version, configured)
        return cached[1]

    return read


def for_queries(cfg: Settings, own: dict[str, ResolvedSetting]) -> Callable[[], limits.Limits]:
    """Return a function that returns the limits of the listener for queries."""
    memory_share = own["caller_memory_share"].value * QUERY_MEMORY_SHARE
    held_bytes = max(4 * QUERY_BYTES, int(_memory_bytes(cfg) * memory_share))
    bounds = _side_limits(cfg, max_held_bytes=held_bytes, handling_bytes=QUERY_BYTES)
    return lambda: bounds


def for_readiness(cfg: Settings) -> Callable[[], limits.Limits]:
    """Return a function that returns the limits of the listener for readiness checks."""
    bounds = _side_limits(cfg, max_held_bytes=READY_BYTES, handling_bytes=1024)
    return lambda: bounds


def _memory_bytes(cfg: Settings) -> int:
    return max(MIN_MEMORY_MB, cfg.memory_mb) * MEGABYTE


def _side_limits(cfg: Settings, *, max_held_bytes: int, handling_bytes: int) -> limits.Limits:
    connections = max(4, min(MAX_SIDE_CONNECTIONS, usable_fds(cfg.max_fds) // SIDE_SHARE))
    return limits.Limits(
        max_body_bytes=limits.ORDINARY_BYTES,
        head_timeout_s=SIDE_TIMEOUT_S,
        body_timeout_s=SIDE_TIMEOUT_S,
        max_connections=connections,
        max_peer_connections=connections,
        max_handled=connections,
        max_held_bytes=max_held_bytes,
        handling_bytes=handling_bytes,
        socket_buffer_bytes=SOCKET_BUFFER_BYTES,
    )


__all__ = ["for_callers", "for_queries", "for_readiness", "usable_fds"]
