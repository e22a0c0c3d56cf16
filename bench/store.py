"""Measures the store client and the mesh; prints one JSON object.

Both ends of each call run in this process, over loopback.
"""

from __future__ import annotations

import argparse
import contextlib
import json
import time
from typing import TYPE_CHECKING, Any

import trio

from bronzequay import ids
from bronzequay.fakes import platform, serve
from bronzequay.peer import members, mesh
from bronzequay.store import client, commit, connections, watch

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

CALLS = 500
WARM_UP = 50
UPDATES = 1000
BODY = b"x" * 200
IDLE_S = 12.0
MEMBER_COUNTS = (2, 4, 8)
US_PER_S = 1e6


def percentile(samples: list[float], share: float) -> float:
    """Return the sample below which a share of all samples lies."""
    return sorted(samples)[int(share * (len(samples) - 1))]


async def time_calls(call: Callable[[], Awaitable[object]]) -> dict[str, float]:
    """Return the median and the 99th percentile of the times of a call, in microseconds."""
    samples = []
    for _ in range(CALLS + WARM_UP):
        start_s = time.perf_counter()
        await call()
        samples.append(time.perf_counter() - start_s)
    measured = samples[WARM_UP:]
    return {
        "p50_us": round(US_PER_S * percentile(measured, 0.5), 1),
        "p99_us": round(US_PER_S * percentile(measured, 0.99), 1),
    }


@contextlib.asynccontextmanager
async def served_store() -> AsyncIterator[tuple[client.Store, platform.Fake]]:
    """Serve the stand-in of the store and open a client to it."""
    app = platform.make_app()
    stand: platform.Fake = app.extensions["stand"]

    async def start(task_status: trio.TaskStatus[int]) -> None:
        await serve.serve(app, host="127.0.0.1", port=0, task_status=task_status)

    async with trio.open_nursery() as nursery:
        port = await nursery.start(start)
        async with connections.open_client() as http:
            url = f"http://127.0.0.1:{port}"
            yield client.Store(base_url=url, instance=ids.InstanceId("bench"), http=http), stand
        nursery.cancel_scope.cancel()


async def measure_calls() -> dict[str, Any]:
    """Measure single reads and writes."""
    async with served_store() as (store, _):
        rev = client.ABSENT

        async def put() -> None:
            nonlocal rev
            rev = await store.put("key", BODY, rev=rev, purpose=client.Purpose.JOURNAL)

        puts = await time_calls(put)
        gets = await time_calls(lambda: store.get("key", purpose=client.Purpose.READ))
    return {"put": puts, "get": gets}


async def measure_commit() -> dict[str, Any]:
    """Measure the writes for concurrent updates of one key by group commit, and for single ones."""
    grouped, grouped_s = await count_writes(is_grouped=True)
    single, single_s = await count_writes(is_grouped=False)
    return {
        "updates": UPDATES,
        "grouped_writes": grouped,
        "grouped_s": round(grouped_s, 2),
        "single_writes": single,
        "single_s": round(single_s, 2),
    }


async def count_writes(*, is_grouped: bool) -> tuple[int, float]:
    """Return the writes, and the seconds, that ``UPDATES`` updates of one key take.

    :param is_grouped: whether they are submitted to the group commit at 1,000 per second, not
        written one after another
    """
    async with served_store() as (store, stand), trio.open_nursery() as nursery:
        group = commit.GroupCommit(store)
        nursery.start_soon(group.run)
        start_s = time.perf_counter()
        if is_grouped:
            await _submit_all(group)
        else:
            for _ in range(UPDATES):
                await _append_ungrouped(store)
        elapsed_s = time.perf_counter() - start_s
        nursery.cancel_scope.cancel()
    return stand.calls["PUT kv"], elapsed_s


async def _submit_all(group: commit.GroupCommit) -> None:
    async with trio.open_nursery() as nursery:
        for _ in range(UPDATES):
            nursery.start_soon(_submit, group)
            await trio.sleep(0.001)


async def _submit(group: commit.GroupCommit) -> None:
    await group.submit("key", lambda value: (value or b"") + b"x", purpose=client.Purpose.JOURNAL)


async def _append_ungrouped(store: client.Store) -> None:
    entry = await store.get("key", purpose=client.Purpose.JOURNAL)
    rev = client.ABSENT if entry is None else entry.rev
    value = b"" if entry is None else entry.value
    await store.put("key", value + b"x", rev=rev, purpose=client.Purpose.JOURNAL)


async def measure_idle_watch() -> dict[str, Any]:
    """Measure the calls and the TCP bytes of an idle watch, through a relay that counts them."""
    async with served_store() as (_, stand), trio.open_nursery() as nursery:
        relay = Relay(stand)
        port = await nursery.start(relay.run)
        async with connections.open_client() as http:
            url = f"http://127.0.0.1:{port}"
            store = client.Store(base_url=url, instance=ids.InstanceId("idle"), http=http)
            nursery.start_soon(watch.Watch(store, prefix="w/").run)
            await trio.sleep(1.0)
            before = stand.calls.total()
            relay.bytes = 0
            await trio.sleep(IDLE_S)
            calls = stand.calls.total() - before
            nursery.cancel_scope.cancel()
    return {
        "calls_per_s": round(calls / IDLE_S, 3),
        "bytes_per_s": round(relay.bytes / IDLE_S, 1),
    }


class Relay:
    """Relays TCP connections to the stand-in and counts their bytes, both ways."""

    def __init__(self, stand: platform.Fake) -> None:
        self._stand = stand
        self.bytes = 0

    async def run(self, task_status: trio.TaskStatus[int] = trio.TASK_STATUS_IGNORED) -> None:
        """Serve until cancelled; report the port as task status."""
        async with trio.open_nursery() as nursery:

            async def start(task_status: trio.TaskStatus[int]) -> None:
                assert self._stand.app is not None
                await serve.serve(
                    self._stand.app, host="127.0.0.1", port=0, task_status=task_status
                )

            target = await nursery.start(start)
            (listener,) = await trio.open_tcp_listeners(0, host="127.0.0.1")
            task_status.started(listener.socket.getsockname()[1])

            async def relay(downstream: trio.SocketStream) -> None:
                upstream = await trio.open_tcp_stream("127.0.0.1", target)
                async with downstream, upstream, trio.open_nursery() as directions:
                    directions.start_soon(self._copy, downstream, upstream)
                    directions.start_soon(self._copy, upstream, downstream)

            nursery.start_soon(trio.serve_listeners, relay, [listener])

    async def _copy(self, source: trio.SocketStream, sink: trio.SocketStream) -> None:
        async for chunk in source:
            self.bytes += len(chunk)
            await sink.send_all(chunk)


async def measure_mesh() -> dict[str, float]:
    """Measure a call between two meshes."""
    caller, callee = new_mesh("one"), new_mesh("two")

    async def echo(body: bytes) -> bytes:
        await trio.lowlevel.checkpoint()
        return body

    callee.serve("echo", echo)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(caller.run)
        nursery.start_soon(callee.run)
        measured = await time_calls(
            lambda: caller.call(callee.address, "echo", BODY, timeout_s=10.0)
        )
        nursery.cancel_scope.cancel()
    caller.close()
    callee.close()
    return measured


def new_mesh(name: str) -> mesh.Mesh:
    """Open a mesh on loopback."""
    return mesh.Mesh(instance=ids.InstanceId(name), address="tcp://127.0.0.1:0")


class CountingMesh:
    """Mesh that counts the bytes of its calls, both ways, without framing."""

    def __init__(self, inner: mesh.Mesh) -> None:
        self._inner = inner
        self.address = inner.address
        self.bytes = 0

    def serve(self, kind: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        """Register the handler of a kind of call."""

        async def counted(body: bytes) -> bytes:
            answer = await handler(body)
            self.bytes += len(body) + len(answer)
            return answer

        self._inner.serve(kind, counted)

    def add_silence_listener(self, listener: Callable[[str], None]) -> None:
        """Register a listener for broken connections."""
        self._inner.add_silence_listener(listener)

    async def call(self, address: str, kind: str, body: bytes, *, timeout_s: float) -> bytes:
        """Call a peer."""
        answer = await self._inner.call(address, kind, body, timeout_s=timeout_s)
        self.bytes += len(body) + len(answer)
        return answer


async def measure_heartbeats(count: int) -> dict[str, float]:
    """Measure the heartbeats of instances that all list each other as live."""
    meshes = [new_mesh(f"e{number}") for number in range(count)]
    counted = [CountingMesh(inner) for inner in meshes]
    seed = meshes[0].address
    views = [
        members.Members(
            counter,
            instance=ids.InstanceId(f"e{number}"),
            data_centre=ids.DataCentreId("dc"),
            seeds=() if counter.address == seed else (seed,),
        )
        for number, counter in enumerate(counted)
    ]
    async with trio.open_nursery() as nursery:
        for inner, view in zip(meshes, views, strict=True):
            nursery.start_soon(inner.run)
            nursery.start_soon(view.run)
        await trio.sleep(4.0)
        live_counts = [len(view.live()) for view in views]
        assert live_counts == [count] * count, live_counts
        for counter in counted:
            counter.bytes = 0
        cpu_s = time.process_time()
        await trio.sleep(IDLE_S)
        cpu_s = time.process_time() - cpu_s
        total = sum(counter.bytes for counter in counted)
        nursery.cancel_scope.cancel()
    for inner in meshes:
        inner.close()
    per_instance = total / count / IDLE_S
    return {
        "instances": count,
        "bytes_per_s_an_instance": round(per_instance, 1),
        "bytes_per_s_a_peer": round(per_instance / (count - 1), 1),
        "core_share_an_instance": round(cpu_s / count / IDLE_S, 5),
    }


async def measure() -> dict[str, Any]:
    """Run all measurements."""
    return {
        "store": await measure_calls(),
        "commit": await measure_commit(),
        "idle_watch": await measure_idle_watch(),
        "mesh_call": await measure_mesh(),
        "heartbeats": [await measure_heartbeats(count) for count in MEMBER_COUNTS],
    }


def main() -> None:
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(prog="python -m bench.store", description=__doc__)
    parser.add_argument("--json", action="store_true", help="print on one line")
    args = parser.parse_args()
    result = trio.run(measure)
    print(json.dumps(result, indent=None if args.json else 2))


if __name__ == "__main__":
    main()
