"""Replacement of silent connections, over real sockets."""

from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import httpx
import trio

from bronzequay import ids
from bronzequay.fakes import platform, serve
from bronzequay.store import client, connections

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

IDLE_CONNECTIONS = 8
READ = client.Purpose.READ


@contextlib.asynccontextmanager
async def served_store(stand: platform.Fake) -> AsyncIterator[client.Store]:
    async with trio.open_nursery() as nursery:

        async def start(task_status: trio.TaskStatus[int]) -> None:
            assert stand.app is not None
            await serve.serve(stand.app, host="127.0.0.1", port=0, task_status=task_status)

        port = await nursery.start(start)
        async with connections.open_client() as http:
            yield client.Store(
                base_url=f"http://127.0.0.1:{port}", instance=ids.InstanceId("entry-1"), http=http
            )
        nursery.cancel_scope.cancel()


async def fill_pool(store: client.Store, stand: platform.Fake) -> None:
    stand.faults.delay_s = 0.05
    async with trio.open_nursery() as nursery:
        for _ in range(IDLE_CONNECTIONS):
            nursery.start_soon(get, store)
    stand.faults.delay_s = 0.0


async def get(store: client.Store) -> None:
    await store.get("a", purpose=READ)


async def test_one_timeout_replaces_every_silent_connection(stand: platform.Fake) -> None:
    async with served_store(stand) as store:
        await fill_pool(store, stand)
        assert len(stand.open_conns) >= IDLE_CONNECTIONS
        stand.set_faults(platform.Faults(silent_open=True))
        stand.set_faults(platform.Faults())
        with trio.fail_after(3.0):
            await get(store)
        calls = stand.calls["GET kv"]
        with trio.fail_after(0.5):
            for _ in range(IDLE_CONNECTIONS):
                await get(store)
        assert stand.calls["GET kv"] == calls + IDLE_CONNECTIONS


async def test_connection_is_reused_between_calls(stand: platform.Fake) -> None:
    async with served_store(stand) as store:
        for _ in range(5):
            await get(store)
    assert len(stand.open_conns) == 1


async def test_response_in_progress_survives_the_replacement() -> None:
    transport = connections.ReconnectingTransport()
    async with httpx.AsyncClient(transport=transport) as http, trio.open_nursery() as nursery:
        stand: platform.Fake = platform.make_app().extensions["stand"]

        async def start(task_status: trio.TaskStatus[int]) -> None:
            assert stand.app is not None
            await serve.serve(stand.app, host="127.0.0.1", port=0, task_status=task_status)

        port = await nursery.start(start)
        url = f"http://127.0.0.1:{port}"
        await http.put(f"{url}/v1/kv/a?rev=0", content=b"x" * 500_000)
        async with http.stream("GET", f"{url}/v1/kv/a") as resp:
            with trio.move_on_after(0.01):
                await http.get(f"{url}/v1/watch?prefix=&after=99&wait_s=60", timeout=None)
            assert transport.reconnects == 1
            assert len(await resp.aread()) == 500_000
        assert (await http.get(f"{url}/healthz")).status_code == 200
        nursery.cancel_scope.cancel()
