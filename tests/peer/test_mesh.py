from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio
import zmq

from bronzequay import codes, errors, ids
from bronzequay.peer import envelope, mesh
from tests.peer import harness

if TYPE_CHECKING:
    from collections.abc import Awaitable

LONG_S = 60.0
SLOW = {"heartbeat_s": 100.0, "silence_s": 200.0, "idle_s": 300.0}
FAST = {"heartbeat_s": 0.1, "silence_s": 0.4, "idle_s": 0.5}


async def code_of(call: Awaitable[object]) -> codes.ResultCode:
    with pytest.raises(errors.BronzequayError) as caught:
        await call
    return caught.value.code


async def test_call_returns_the_handlers_answer() -> None:
    async with harness.meshes(2) as (one, two):
        two.serve("echo", harness.echo)
        assert await one.call(two.address, "echo", b"hello", timeout_s=LONG_S) == b"hello"


async def test_error_of_a_handler_is_raised_at_the_caller() -> None:
    async def refuse(_body: bytes) -> bytes:
        raise errors.BronzequayError(
            codes.ResultCode.QUEUE_FULL, "full", field="x", retry_after_s=2.0
        )

    async with harness.meshes(2) as (one, two):
        two.serve("refuse", refuse)
        with pytest.raises(errors.BronzequayError) as caught:
            await one.call(two.address, "refuse", b"", timeout_s=LONG_S)
    assert caught.value.code is codes.ResultCode.QUEUE_FULL
    assert (caught.value.field, caught.value.retry_after_s) == ("x", 2.0)


async def test_unexpected_failure_of_a_handler_is_an_internal_error() -> None:
    async def fail(_body: bytes) -> bytes:
        raise RuntimeError

    async with harness.meshes(2) as (one, two):
        two.serve("fail", fail)
        two.serve("echo", harness.echo)
        code = await code_of(one.call(two.address, "fail", b"", timeout_s=LONG_S))
        assert await one.call(two.address, "echo", b"x", timeout_s=LONG_S) == b"x"
    assert code is codes.ResultCode.INTERNAL


async def test_call_without_a_handler_is_refused() -> None:
    async with harness.meshes(2) as (one, two):
        code = await code_of(one.call(two.address, "none", b"", timeout_s=LONG_S))
    assert code is codes.ResultCode.UNSUPPORTED_VERSION


async def test_call_to_nobody_times_out_as_not_sent() -> None:
    async with harness.meshes(1) as (one,):
        with pytest.raises(errors.BronzequayError, match="not sent") as caught:
            await one.call("tcp://127.0.0.1:1", "echo", b"", timeout_s=0.05)
    assert caught.value.code is codes.ResultCode.PEER_TIMEOUT


async def test_answers_reach_their_own_callers() -> None:
    async def slow_first(body: bytes) -> bytes:
        await trio.sleep(0.001 * (50 - int(body)))
        return body

    got: dict[int, bytes] = {}

    async with harness.meshes(2) as (one, two):
        two.serve("slow", slow_first)

        async def ask(number: int) -> None:
            body = str(number).encode()
            got[number] = await one.call(two.address, "slow", body, timeout_s=LONG_S)

        async with trio.open_nursery() as nursery:
            for number in range(50):
                nursery.start_soon(ask, number)
    assert got == {number: str(number).encode() for number in range(50)}


async def test_one_way_message_arrives() -> None:
    arrived = trio.Event()

    async def note(_body: bytes) -> bytes:
        arrived.set()
        return b""

    async with harness.meshes(2) as (one, two):
        two.serve("note", note)
        await one.send(two.address, "note", b"")
        with trio.fail_after(LONG_S):
            await arrived.wait()


async def test_late_answer_is_dropped() -> None:
    release = trio.Event()

    async def hold(body: bytes) -> bytes:
        await release.wait()
        return body

    async with harness.meshes(2) as (one, two):
        two.serve("hold", hold)
        two.serve("echo", harness.echo)
        await code_of(one.call(two.address, "hold", b"old", timeout_s=0.05))
        release.set()
        while not one.counts["late"]:
            assert await one.call(two.address, "echo", b"new", timeout_s=LONG_S) == b"new"


async def test_malformed_messages_are_counted_and_lose_nothing_else() -> None:
    other_version = envelope.Message(99, envelope.Form.CALL, 1, "echo", b"")
    async with harness.meshes(2) as (one, two):
        two.serve("echo", harness.echo)
        ctx = zmq.Context()
        stray = ctx.socket(zmq.DEALER)
        stray.connect(two.address)
        for frames in ([b""], [b"\xc1garbage"], [envelope.encode(other_version)], [b"a", b"b"]):
            stray.send_multipart(frames)
        with trio.fail_after(LONG_S):
            while two.counts["malformed"] < 4:
                assert await one.call(two.address, "echo", b"x", timeout_s=LONG_S) == b"x"
        stray.close(linger=0)
        ctx.term()


async def test_bytes_that_are_not_of_the_protocol_harm_nobody() -> None:
    async with harness.meshes(2) as (one, two):
        two.serve("echo", harness.echo)
        host, port = two.address.removeprefix("tcp://").split(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(b"GET / HTTP/1.1\r\n\r\n" * 100)
        assert await one.call(two.address, "echo", b"x", timeout_s=LONG_S) == b"x"
        await stream.aclose()


async def test_calls_beyond_the_limit_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(mesh, "MAX_CALLS_IN_PROGRESS", 2)
    release = trio.Event()
    results: list[codes.ResultCode | bytes] = []

    async def hold(body: bytes) -> bytes:
        await release.wait()
        return body

    async def ask(one: mesh.Mesh, address: str) -> None:
        try:
            results.append(await one.call(address, "hold", b"x", timeout_s=LONG_S))
        except errors.BronzequayError as exc:
            results.append(exc.code)
            release.set()

    async with harness.meshes(2) as (one, two):
        two.serve("hold", hold)
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(ask, one, two.address)
    assert sorted(map(str, results)) == sorted(map(str, [b"x", b"x", codes.ResultCode.QUEUE_FULL]))


async def test_silent_connection_is_replaced_and_its_call_fails_early() -> None:
    silent: list[str] = []
    async with harness.meshes(2, **FAST) as (one, two), trio.open_nursery() as nursery:
        two.serve("echo", harness.echo)
        one.on_silence(silent.append)
        link = harness.Link(two.address)
        await nursery.start(link.run)
        await one.call(link.address, "echo", b"x", timeout_s=LONG_S)
        link.silence_open()
        with trio.fail_after(LONG_S / 2):
            code = await code_of(one.call(link.address, "echo", b"x", timeout_s=LONG_S))
        assert code is codes.ResultCode.PEER_TIMEOUT
        assert await one.call(link.address, "echo", b"y", timeout_s=LONG_S) == b"y"
        assert (silent, link.connections) == ([link.address], 2)
        nursery.cancel_scope.cancel()


async def test_slow_handler_keeps_its_connection() -> None:
    async def slow(body: bytes) -> bytes:
        await trio.sleep(3 * FAST["silence_s"])
        return body

    async with harness.meshes(2, **FAST) as (one, two):
        two.serve("slow", slow)
        assert await one.call(two.address, "slow", b"x", timeout_s=LONG_S) == b"x"
        assert one.counts["replace"] == 0


async def test_idle_connection_is_closed_before_it_can_go_silent_unseen() -> None:
    async with harness.meshes(2, **FAST) as (one, two), trio.open_nursery() as nursery:
        two.serve("echo", harness.echo)
        link = harness.Link(two.address)
        await nursery.start(link.run)
        await one.call(link.address, "echo", b"x", timeout_s=LONG_S)
        link.silence_open()
        with trio.fail_after(LONG_S):
            while not one.counts["close"]:
                await trio.sleep(0.01)
        assert await one.call(link.address, "echo", b"y", timeout_s=LONG_S) == b"y"
        nursery.cancel_scope.cancel()


async def test_peer_that_restarts_at_its_address_is_reached_again() -> None:
    async with harness.meshes(1) as (one,):
        async with harness.meshes(1) as (two,):
            two.serve("echo", harness.echo)
            address = two.address
            await one.call(address, "echo", b"x", timeout_s=LONG_S)
        again = mesh.Mesh(instance=ids.InstanceId("again"), address=address)
        again.serve("echo", harness.echo)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(again.run)
            with trio.fail_after(LONG_S / 2):
                while await outcome_of(one, address) != b"x":
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        again.close()


async def outcome_of(one: mesh.Mesh, address: str) -> bytes | None:
    try:
        return await one.call(address, "echo", b"x", timeout_s=LONG_S)
    except errors.BronzequayError:
        return None


async def test_call_ends_at_once_when_its_peer_goes() -> None:
    held = trio.Event()

    async def hold(_body: bytes) -> bytes:
        held.set()
        await trio.sleep_forever()
        return b""

    async with harness.meshes(1, **SLOW) as (one,), trio.open_nursery() as nursery:
        async with harness.meshes(1) as (two,):
            two.serve("hold", hold)
            call = one.call(two.address, "hold", b"", timeout_s=4 * LONG_S)
            nursery.start_soon(code_of, call)
            await held.wait()
        with trio.fail_after(LONG_S / 2):
            while nursery.child_tasks:
                await trio.sleep(0.01)
        assert one.counts["disconnected"] == 1


async def test_call_sent_just_as_its_peer_goes_ends() -> None:
    async with harness.meshes(1, **SLOW) as (one,):
        async with harness.meshes(1) as (two,):
            two.serve("echo", harness.echo)
            address = two.address
            await one.call(address, "echo", b"x", timeout_s=LONG_S)
        with trio.fail_after(LONG_S / 2):
            code = await code_of(one.call(address, "echo", b"x", timeout_s=0.5))
    assert code is codes.ResultCode.PEER_TIMEOUT


async def test_calls_in_progress_end_when_the_mesh_closes() -> None:
    async def hold(_body: bytes) -> bytes:
        await trio.sleep_forever()
        return b""

    async with harness.meshes(2) as (one, two):
        two.serve("hold", hold)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(code_of, one.call(two.address, "hold", b"", timeout_s=LONG_S))
            await trio.sleep(0.05)
            one.close()
