"""What others do to a run: foreign and damaged entries, odd requests and clients, cut-offs."""

from __future__ import annotations

import contextlib
import json
from typing import TYPE_CHECKING

import trio

from soak import crowds, plan

if TYPE_CHECKING:
    from bronzequay.fakes import executors
    from soak.harness import Harness
    from soak.plan import Fault

FOREIGN_ENTRY = {
    "service": "thumbnailer",
    "addr": "127.0.0.1:9",
    "state": "ready",
    "capacity": {"cpu": 2000, "memMb": 512, "gpu": 0},
    "labels": ["a", "r9"],
    "born": 1,
}
FOREIGN_CHANGES: tuple[dict[str, object], ...] = (
    {},
    {"addr": "unix:/run/thumbnailer/0.sock"},
    {"addr": "127.0.0.1:99999"},
    {"born": None},
    {"capacity": {"cpu": 10**30, "memMb": -1}},
)
ENTRY_CHANGES: tuple[dict[str, object], ...] = (
    {"born": None},
    {"born": 0},
    {"born": 10**13},
    {"born": 10**13, "addr": "127.0.0.1:9"},
    {"service": "thumbnailer"},
    {"state": "odd"},
    {"capacity": 7},
)
CROWD_CONNECTIONS = 40
"""Clients of one crowd; several crowds and the calls of the run share one test process."""
NESTED = b'{"x":' + b"[" * 3000
REQUESTS = (
    b"GET /q1/ HTTP/1.1\r\nHost: soak\r\nConnection: Upgrade\r\nUpgrade: h2c\r\n\r\n",
    b"CONNECT soak:80 HTTP/1.1\r\nHost: soak\r\n\r\n",
    b"GET /q1/ HTTP/1.1\r\nHost: soak\r\nDeadline-Ms: \xb2\r\n\r\n" * 3,
    b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
    b"\x16\x03\x01\x00\xf4\x01\x00\x00\xf0\x03\x03",
    b"POST /q1/00ff00ff00ff00ff HTTP/1.1\r\nHost: soak\r\nContent-Length: -1\r\n\r\n",
)


async def inject(site: Harness, fault: Fault) -> None:
    """Carry out an intrusion and end it after its duration."""
    actions = {
        plan.Kind.FOREIGN_ENTRY: _add_foreign_entry,
        plan.Kind.ENTRY_CHANGED: _change_entry,
        plan.Kind.DRAINING_CUT: _cut_while_draining,
        plan.Kind.ODD_REQUEST: _send_odd_request,
        plan.Kind.HOSTILE_CLIENTS: _send_crowd,
    }
    await actions[fault.kind](site, fault)


def _encode(entry: dict[str, object], fault: Fault) -> bytes:
    if fault.selector % 7 == 0:
        return NESTED
    present = {name: value for name, value in entry.items() if value is not None}
    return json.dumps(present).encode()


async def _add_foreign_entry(site: Harness, fault: Fault) -> None:
    key = f"servers/thumb-{fault.selector}"
    change = FOREIGN_CHANGES[fault.selector % len(FOREIGN_CHANGES)]
    site.kv.put(key, _encode({**FOREIGN_ENTRY, **change}, fault))
    await trio.sleep(fault.duration_s)
    site.kv.delete(key)


def _pick(site: Harness, fault: Fault) -> executors.Executor | None:
    names = sorted(site.world.executors)
    executor = site.world.executors[names[fault.selector % len(names)]]
    return executor if executor.is_up and executor.state == "ready" else None


async def _change_entry(site: Harness, fault: Fault) -> None:
    """Change the entry of a working executor, which writes it again at its next report."""
    executor = _pick(site, fault)
    if executor is None:
        return
    entry = json.loads(executor.entry(born_ms=executor.born_ms))
    change = ENTRY_CHANGES[fault.selector % len(ENTRY_CHANGES)]
    site.kv.put(f"servers/{executor.name}", _encode({**entry, **change}, fault))
    await trio.sleep(1.0)
    if executor.is_up and not executor.beats:
        executor.list_entry()


async def _cut_while_draining(site: Harness, fault: Fault) -> None:
    """Cut off an executor that drains; it runs on, and its entry expires."""
    executor = _pick(site, fault)
    if executor is None:
        return
    name, beats = executor.name, executor.beats
    link = site.worker_link(name)
    executor.state = "draining"
    executor.list_entry()
    await trio.sleep(0.5)
    link.is_refusing, executor.beats = True, False
    link.reset()
    await trio.sleep(min(1.0, fault.duration_s))
    site.kv.delete(f"servers/{name}")
    await trio.sleep(fault.duration_s)
    executor.crash()
    executor.state, executor.beats = "ready", beats
    link.heal()
    executor.boot()
    executor.list_entry()


async def _send_odd_request(site: Harness, fault: Fault) -> None:
    instance = site.instances[fault.selector % len(site.instances)]
    data = REQUESTS[fault.selector % len(REQUESTS)]
    with contextlib.suppress(OSError, trio.BrokenResourceError), trio.move_on_after(2.0):
        async with await trio.open_tcp_stream("127.0.0.1", instance.callers.port) as stream:
            await stream.send_all(data)
            await stream.receive_some(1000)


async def _send_crowd(site: Harness, fault: Fault) -> None:
    """Let clients of one kind flood an instance, and close their connections after the duration."""
    instance = site.instances[fault.selector % len(site.instances)]
    kinds = sorted(crowds.KINDS)
    kind = crowds.KINDS[kinds[fault.selector // len(site.instances) % len(kinds)]]
    crowd = crowds.Crowd(
        kind._replace(connections=min(CROWD_CONNECTIONS, kind.connections)), instance.callers.port
    )
    with trio.move_on_after(fault.duration_s):
        try:
            async with trio.open_nursery() as nursery:
                await crowd.send(nursery)
                await trio.sleep_forever()
        except* OSError:  # the instance or its link is down
            pass
