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

TIMEOUT_S = 60.0
SLOW_SUPERVISION = {"heartbeat_s": 100.0, "silence_s": 200.0, "idle_s": 300.0}
FAST_SUPERVISION = {"heartbeat_s": 0.1, "silence_s": 0.4, "idle_s": 0.5}


async def code_of(call: Awaitable[object]) -> codes.ResultCode:
    with pytest.raises(errors.BronzequayError) as exc_info:
        await call
    return exc_info.value.code


async def test_call_returns_the_handlers_answer() -> None:
    async with harness.meshes(2) as (mesh_1, mesh_2):
        mesh_2.serve("echo", harness.echo)
        assert await mesh_1.call(mesh_2.address, "echo", b"hello", timeout_s=TIMEOUT_S) == b"hello"


async def test_error_of_a_handler_is_raised_by_the_call() -> None:
    async def refuse(_body: bytes) -> bytes:
        raise errors.BronzequayError(
            codes.ResultCode.QUEUE_FULL, "full", field="x", retry_after_s=2.0
        )

    async with harness.meshes(2) as (mesh_1, mesh_2):
        mesh_2.serve("refuse", refuse)
        with pytest.raises(errors.BronzequayError) as exc_info:
            await mesh_1.call(mesh_2.address, "refuse", b"", timeout_s=TIMEOUT_S)
    assert exc_info.value.code is codes.ResultCode.QUEUE_FULL
    assert (exc_info.value.field, exc_info.value.retry_after_s) == ("x", 2.0)


async def test_unexpected_failure_of_a_handler_is_an_internal_error() -> None:
    async def fail(_body: bytes) -> bytes:
        raise RuntimeError

    async with harness.meshes(2) as (mesh_1, mesh_2):
        mesh_2.serve("fail", fail)
        mesh_2.serve("echo", harness.echo)
        code = await code_of(mesh_1.call(mesh_2.address, "fail", b"", timeout_s=TIMEOUT_S))
        assert await mesh_1.call(mesh_2.address, "echo", b"x", timeout_s=TIMEOUT_S) == b"x"
    assert code is codes.ResultCode.INTERNAL


async def test_call_without_a_handler_is_refused() -> None:
    async with harness.meshes(2) as (mesh_1, mesh_2):
        code = await code_of(mesh_1.call(mesh_2.address, "none", b"", timeout_s=TIMEOUT_S))
    assert code is codes.ResultCode.UNSUPPORTED_VERSION


async def test_call_to_an_unused_address_times_out_as_not_sent() -> None:
    async with harness.meshes(1) as (mesh_1,):
        with pytest.raises(errors.BronzequayError, match="not sent") as exc_info:
            await mesh_1.call("tcp://127.0.0.1:1", "echo", b"", timeout_s=0.05)
    assert exc_info.value.code is codes.ResultCode.PEER_TIMEOUT


async def test_answers_reach_their_own_callers() -> None:
    async def answer_in_reverse_order(body: bytes) -> bytes:
        await trio.sleep(0.001 * (50 - int(body)))
        return body

    answers: dict[int, bytes] = {}

    async with harness.meshes(2) as (mesh_1, mesh_2):
        mesh_2.serve("slow", answer_in_reverse_order)

        async def call_mesh(number: int) -> None:
            body = str(number).encode()
            answers[number] = await mesh_1.call(mesh_2.address, "slow", body, timeout_s=TIMEOUT_S)

        async with trio.open_nursery() as nursery:
            for number in range(50):
                nursery.start_soon(call_mesh, number)
    assert answers == {number: str(number).encode() for number in range(50)}


async def test_one_way_message_arrives() -> None:
    arrived = trio.Event()

    async def record_arrival(_body: bytes) -> bytes:
        arrived.set()
        return b""

    async with harness.meshes(2) as (mesh_1, mesh_2):
        mesh_2.serve("note", record_arrival)
        await mesh_1.send(mesh_2.address, "note", b"")
        with trio.fail_after(TIMEOUT_S):
            await arrived.wait()


async def test_late_answer_is_dropped() -> None:
    release = trio.Event()

    async def wait_for_release(body: bytes) -> bytes:
        await release.wait()
        return body

    async with harness.meshes(2) as (mesh_1, mesh_2):
        mesh_2.serve("hold", wait_for_release)
        mesh_2.serve("echo", harness.echo)
        await code_of(mesh_1.call(mesh_2.address, "hold", b"old", timeout_s=0.05))
        release.set()
        while not mesh_1.counts["late"]:
            assert await mesh_1.call(mesh_2.address, "echo", b"new", timeout_s=TIMEOUT_S) == b"new"


async def test_malformed_messages_are_counted_and_do_not_affect_calls() -> None:
    other_version = envelope.Message(99, envelope.Form.CALL, 1, "echo", b"")
    async with harness.meshes(2) as (mesh_1, mesh_2):
        mesh_2.serve("echo", harness.echo)
        ctx = zmq.Context()
        raw_socket = ctx.socket(zmq.DEALER)
        raw_socket.connect(mesh_2.address)
        for frames in ([b""], [b"\xc1garbage"], [envelope.encode(other_version)], [b"a", b"b"]):
            raw_socket.send_multipart(frames)
        with trio.fail_after(TIMEOUT_S):
            while mesh_2.counts["malformed"] < 4:
                assert await mesh_1.call(mesh_2.address, "echo", b"x", timeout_s=TIMEOUT_S) == b"x"
        raw_socket.close(linger=0)
        ctx.term()


async def test_bytes_of_another_protocol_do_not_affect_calls() -> None:
    async with harness.meshes(2) as (mesh_1, mesh_2):
        mesh_2.serve("echo", harness.echo)
        host, port = mesh_2.address.removeprefix("tcp://").split(":")
        stream = await trio.open_tcp_stream(host, int(port))
        await stream.send_all(b"GET / HTTP/1.1\r\n\r\n" * 100)
        assert await mesh_1.call(mesh_2.address, "echo", b"x", timeout_s=TIMEOUT_S) == b"x"
        await stream.aclose()


async def test_calls_beyond_the_limit_are_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(mesh, "MAX_CALLS_IN_PROGRESS", 2)
    release = trio.Event()
    results: list[codes.ResultCode | bytes] = []

    async def wait_for_release(body: bytes) -> bytes:
        await release.wait()
        return body

    async def call_mesh(mesh_1: mesh.Mesh, address: str) -> None:
        try:
            results.append(await mesh_1.call(address, "hold", b"x", timeout_s=TIMEOUT_S))
        except errors.BronzequayError as exc:
            results.append(exc.code)
            release.set()

    async with harness.meshes(2) as (mesh_1, mesh_2):
        mesh_2.serve("hold", wait_for_release)
        async with trio.open_nursery() as nursery:
            for _ in range(3):
                nursery.start_soon(call_mesh, mesh_1, mesh_2.address)
    assert sorted(map(str, results)) == sorted(map(str, [b"x", b"x", codes.ResultCode.QUEUE_FULL]))


async def test_silent_connection_is_replaced_and_its_call_fails_before_its_timeout() -> None:
    silent_addresses: list[str] = []
    async with (
        harness.meshes(2, **FAST_SUPERVISION) as (mesh_1, mesh_2),
        trio.open_nursery() as nursery,
    ):
        mesh_2.serve("echo", harness.echo)
        mesh_1.add_silence_listener(silent_addresses.append)
        relay = harness.Relay(mesh_2.address)
        await nursery.start(relay.run)
        await mesh_1.call(relay.address, "echo", b"x", timeout_s=TIMEOUT_S)
        relay.silence_open()
        with trio.fail_after(TIMEOUT_S / 2):
            code = await code_of(mesh_1.call(relay.address, "echo", b"x", timeout_s=TIMEOUT_S))
        assert code is codes.ResultCode.PEER_TIMEOUT
        assert await mesh_1.call(relay.address, "echo", b"y", timeout_s=TIMEOUT_S) == b"y"
        assert (silent_addresses, relay.connections) == ([relay.address], 2)
        nursery.cancel_scope.cancel()


async def test_connection_of_a_slow_handler_is_not_replaced() -> None:
    async def slow(body: bytes) -> bytes:
        await trio.sleep(3 * FAST_SUPERVISION["silence_s"])
        return body

    async with harness.meshes(2, **FAST_SUPERVISION) as (mesh_1, mesh_2):
        mesh_2.serve("slow", slow)
        assert await mesh_1.call(mesh_2.address, "slow", b"x", timeout_s=TIMEOUT_S) == b"x"
        assert mesh_1.counts["replace"] == 0


async def test_idle_connection_is_closed_before_its_silence_can_affect_a_call() -> None:
    async with (
        harness.meshes(2, **FAST_SUPERVISION) as (mesh_1, mesh_2),
        trio.open_nursery() as nursery,
    ):
        mesh_2.serve("echo", harness.echo)
        relay = harness.Relay(mesh_2.address)
        await nursery.start(relay.run)
        await mesh_1.call(relay.address, "echo", b"x", timeout_s=TIMEOUT_S)
        relay.silence_open()
        with trio.fail_after(TIMEOUT_S):
            while not mesh_1.counts["close"]:
                await trio.sleep(0.01)
        assert await mesh_1.call(relay.address, "echo", b"y", timeout_s=TIMEOUT_S) == b"y"
        nursery.cancel_scope.cancel()


async def test_peer_restarted_at_its_address_is_reachable_again() -> None:
    async with harness.meshes(1) as (mesh_1,):
        async with harness.meshes(1) as (mesh_2,):
            mesh_2.serve("echo", harness.echo)
            address = mesh_2.address
            await mesh_1.call(address, "echo", b"x", timeout_s=TIMEOUT_S)
        restarted_mesh = mesh.Mesh(instance=ids.InstanceId("again"), address=address)
        restarted_mesh.serve("echo", harness.echo)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(restarted_mesh.run)
            with trio.fail_after(TIMEOUT_S / 2):
                while await try_call(mesh_1, address) != b"x":
                    await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        restarted_mesh.close()


async def try_call(mesh_1: mesh.Mesh, address: str) -> bytes | None:
    try:
        return await mesh_1.call(address, "echo", b"x", timeout_s=TIMEOUT_S)
    except errors.BronzequayError:
        return None


async def test_call_fails_before_its_timeout_when_its_peer_stops() -> None:
    call_received = trio.Event()

    async def never_answer(_body: bytes) -> bytes:
        call_received.set()
        await trio.sleep_forever()
        return b""

    async with harness.meshes(1, **SLOW_SUPERVISION) as (mesh_1,), trio.open_nursery() as nursery:
        async with harness.meshes(1) as (mesh_2,):
            mesh_2.serve("hold", never_answer)
            call = mesh_1.call(mesh_2.address, "hold", b"", timeout_s=4 * TIMEOUT_S)
            nursery.start_soon(code_of, call)
            await call_received.wait()
        with trio.fail_after(TIMEOUT_S / 2):
            while nursery.child_tasks:
                await trio.sleep(0.01)
        assert mesh_1.counts["disconnected"] == 1


async def test_call_to_a_stopped_peer_fails_with_peer_timeout() -> None:
    async with harness.meshes(1, **SLOW_SUPERVISION) as (mesh_1,):
        async with harness.meshes(1) as (mesh_2,):
            mesh_2.serve("echo", harness.echo)
            address = mesh_2.address
            await mesh_1.call(address, "echo", b"x", timeout_s=TIMEOUT_S)
        with trio.fail_after(TIMEOUT_S / 2):
            code = await code_of(mesh_1.call(address, "echo", b"x", timeout_s=0.5))
    assert code is codes.ResultCode.PEER_TIMEOUT


async def test_calls_in_progress_fail_when_the_mesh_closes() -> None:
    async def never_answer(_body: bytes) -> bytes:
        await trio.sleep_forever()
        return b""

    async with harness.meshes(2) as (mesh_1, mesh_2):
        mesh_2.serve("hold", never_answer)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(
                code_of, mesh_1.call(mesh_2.address, "hold", b"", timeout_s=TIMEOUT_S)
            )
            await trio.sleep(0.05)
            mesh_1.close()
