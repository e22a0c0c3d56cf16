"""Graceful shutdowns of a real instance whose callers go on calling it."""

from __future__ import annotations

import signal
from typing import TYPE_CHECKING

import trio

from bronzequay.fakes import kv
from bronzequay.net import client
from soak import harness

if TYPE_CHECKING:
    import pathlib

    from soak.instances import Instance

CALLERS = 12
STORE_DELAY_S = 0.15
SECOND_SIGNAL_S = 0.3
TIMEOUT_S = 20.0


async def call_until_refused(address: str, statuses: list[int]) -> None:
    """Make calls on one connection after the other until the instance accepts none."""
    http_client = client.Client(address)
    headers = {"Host": "soak", "Authorization": "Bearer key-one", "Deadline-Ms": "5000"}
    while True:
        try:
            resp = await http_client.request(
                "GET", "/q0/0123456789abcdef", headers=headers, timeout_s=TIMEOUT_S
            )
        except client.NotSentError:
            return
        statuses.append(resp.status)


async def shut_down_under_calls(folder: pathlib.Path, *signals_s: float) -> list[int]:
    """Send SIGTERM at given times while calls are in progress; return the statuses of all calls."""
    statuses: list[int] = []
    async with trio.open_nursery() as nursery:
        site = harness.Harness(nursery, seed=1, entries=1, workers=1, folder=folder)
        site.kv.faults = kv.Faults(delay_s=STORE_DELAY_S)
        instance = site.instances[0]
        nursery.start_soon(site.kv.run)
        await site.serve_store()
        nursery.start_soon(instance.store.run)
        site.write_configuration()
        instance.start()
        try:
            await wait_until_ready(instance)
            address = f"127.0.0.1:{instance.front_port}"
            async with trio.open_nursery() as call_nursery:
                for _ in range(CALLERS):
                    call_nursery.start_soon(call_until_refused, address, statuses)
                for at_s in signals_s:
                    await trio.sleep(at_s)
                    instance.send_signal(signal.SIGTERM)
        finally:
            site.stop()
        nursery.cancel_scope.cancel()
    return statuses


async def wait_until_ready(instance: Instance) -> None:
    http_client = client.Client(f"127.0.0.1:{instance.ready_port}")
    with trio.fail_after(TIMEOUT_S):
        while True:
            try:
                if (await http_client.request("GET", "/", timeout_s=1.0)).status == 200:
                    return
            except (client.NotSentError, client.NoResponseError):
                pass
            await trio.sleep(0.1)


async def test_requests_in_progress_at_the_end_of_a_drain_are_answered(
    tmp_path: pathlib.Path,
) -> None:
    """Guards against a drain that ends with requests that were read and not answered."""
    statuses = await shut_down_under_calls(tmp_path, 0.5)
    assert len(statuses) > CALLERS


async def test_a_second_sigterm_does_not_end_a_drain(tmp_path: pathlib.Path) -> None:
    """Guards against a repeated SIGTERM that kills an instance with requests in progress."""
    statuses = await shut_down_under_calls(tmp_path, 0.5, SECOND_SIGNAL_S)
    assert len(statuses) > CALLERS
