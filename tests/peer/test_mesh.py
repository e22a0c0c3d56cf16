from __future__ import annotations

import contextlib
from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay import codes, errors, ids
from bronzequay.peer import mesh

if TYPE_CHECKING:
    from collections.abc import AsyncIterator


@contextlib.asynccontextmanager
async def meshes(count: int) -> AsyncIterator[list[mesh.Mesh]]:
    made = [
        mesh.Mesh(instance=ids.InstanceId(f"entry-{n}"), address="tcp://127.0.0.1:0")
        for n in range(count)
    ]
    async with trio.open_nursery() as nursery:
        for each in made:
            nursery.start_soon(each.run)
        yield made
        nursery.cancel_scope.cancel()
    for each in made:
        each.close()


async def echo(body: bytes) -> bytes:
    return body


async def test_call_returns_the_handlers_answer() -> None:
    async with meshes(2) as (one, two):
        two.serve("echo", echo)
        assert await one.call(two.address, "echo", b"hello", timeout_s=5.0) == b"hello"


async def test_error_of_a_handler_is_raised_at_the_caller() -> None:
    async def refuse(_body: bytes) -> bytes:
        raise errors.BronzequayError(
            codes.ResultCode.QUEUE_FULL, "full", field="x", retry_after_s=2.0
        )

    async with meshes(2) as (one, two):
        two.serve("refuse", refuse)
        with pytest.raises(errors.BronzequayError) as caught:
            await one.call(two.address, "refuse", b"", timeout_s=5.0)
    assert caught.value.code is codes.ResultCode.QUEUE_FULL
    assert (caught.value.field, caught.value.retry_after_s) == ("x", 2.0)


async def test_call_to_nobody_times_out() -> None:
    async with meshes(1) as (one,):
        with pytest.raises(errors.BronzequayError) as caught:
            await one.call("tcp://127.0.0.1:1", "echo", b"", timeout_s=0.05)
    assert caught.value.code is codes.ResultCode.PEER_TIMEOUT


async def test_answers_reach_their_own_callers() -> None:
    async def slow_first(body: bytes) -> bytes:
        await trio.sleep(0.001 * (50 - int(body)))
        return body

    got: dict[int, bytes] = {}

    async with meshes(2) as (one, two):
        two.serve("slow", slow_first)

        async def ask(number: int) -> None:
            body = str(number).encode()
            got[number] = await one.call(two.address, "slow", body, timeout_s=5.0)

        async with trio.open_nursery() as nursery:
            for number in range(50):
                nursery.start_soon(ask, number)
    assert got == {number: str(number).encode() for number in range(50)}


async def test_one_way_message_arrives() -> None:
    arrived = trio.Event()

    async def note(_body: bytes) -> bytes:
        arrived.set()
        return b""

    async with meshes(2) as (one, two):
        two.serve("note", note)
        await one.send(two.address, "note", b"")
        with trio.fail_after(5):
            await arrived.wait()
