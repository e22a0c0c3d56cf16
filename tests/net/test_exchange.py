"""Client and server over loopback."""

from __future__ import annotations

import functools
import socket
from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay.net import client, server

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


def free_address() -> str:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


async def echo(req: server.Request) -> server.Answer:
    return server.Answer(200, req.method.encode() + b" " + req.path.encode() + b" " + req.body)


async def serving(
    nursery: trio.Nursery, handle: Callable[[server.Request], Awaitable[server.Answer]]
) -> tuple[server.Server, client.Client]:
    address = free_address()
    served = server.Server(address, handle)
    await nursery.start(served.run)
    return served, client.Client(address)


async def raw(address: str, data: bytes) -> bytes:
    host, port = address.split(":")
    stream = await trio.open_tcp_stream(host, int(port))
    async with stream:
        await stream.send_all(data)
        answer = b""
        with trio.move_on_after(2):
            async for chunk in stream:
                answer += chunk
        return answer


async def test_one_connection_serves_many_requests() -> None:
    seen = set()

    async def handle(req: server.Request) -> server.Answer:
        seen.add(req.headers["host"])
        return await echo(req)

    async with trio.open_nursery() as nursery:
        _, calls = await serving(nursery, handle)
        first = await calls.request("POST", "/a?x=1", body=b"one", timeout_s=2)
        conn = calls._idle[0]
        second = await calls.request("GET", "/b", timeout_s=2)
        assert (first.body, second.body) == (b"POST /a one", b"GET /b ")
        assert calls._idle == [conn]
        nursery.cancel_scope.cancel()


async def test_no_listener_means_that_the_request_was_not_sent() -> None:
    with pytest.raises(client.NotSentError):
        await client.Client(free_address()).request("GET", "/", timeout_s=1)


async def test_silence_means_that_the_request_may_have_arrived() -> None:
    async def never(_req: server.Request) -> server.Answer:
        await trio.sleep_forever()
        raise AssertionError

    async with trio.open_nursery() as nursery:
        _, calls = await serving(nursery, never)
        with pytest.raises(client.NoAnswerError):
            await calls.request("GET", "/", timeout_s=0.1)
        assert calls._idle == []
        nursery.cancel_scope.cancel()


async def test_a_connection_cut_in_the_answer_is_no_answer() -> None:
    async def cut(stream: trio.SocketStream) -> None:
        await stream.receive_some(1000)
        await stream.send_all(b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf")

    async with trio.open_nursery() as nursery:
        listeners = await nursery.start(functools.partial(trio.serve_tcp, cut, 0, host="127.0.0.1"))
        port = listeners[0].socket.getsockname()[1]
        with pytest.raises(client.NoAnswerError):
            await client.Client(f"127.0.0.1:{port}").request("GET", "/", timeout_s=2)
        nursery.cancel_scope.cancel()


async def test_rubbish_is_answered_400_and_serving_goes_on() -> None:
    async with trio.open_nursery() as nursery:
        _, calls = await serving(nursery, echo)
        assert b" 400 " in await raw(calls.address, b"\x00\x01rubbish\r\n\r\n")
        assert (await calls.request("GET", "/", timeout_s=2)).status == 200
        nursery.cancel_scope.cancel()


async def test_a_body_over_the_limit_is_answered_413() -> None:
    async with trio.open_nursery() as nursery:
        _, calls = await serving(nursery, echo)
        body = b"x" * (server.MAX_BODY_BYTES + 1)
        assert (await calls.request("POST", "/", body=body, timeout_s=5)).status == 413
        nursery.cancel_scope.cancel()


async def test_leaving_answers_requests_in_hand_and_ends_their_connections() -> None:
    began, go_on = trio.Event(), trio.Event()

    async def slow(req: server.Request) -> server.Answer:
        began.set()
        await go_on.wait()
        return await echo(req)

    async with trio.open_nursery() as nursery:
        served, calls = await serving(nursery, slow)
        answers: list[client.Response] = []

        async def ask() -> None:
            answers.append(await calls.request("GET", "/late", timeout_s=5))

        nursery.start_soon(ask)
        await began.wait()
        served.close_connections()
        go_on.set()
        await served.wait_quiet(0.05)
        await trio.sleep(0.05)
        assert [answer.body for answer in answers] == [b"GET /late "]
        assert answers[0].headers["connection"] == "close"
        assert calls._idle == []
        nursery.cancel_scope.cancel()


async def test_a_kept_connection_that_the_peer_has_closed_is_not_used_again() -> None:
    listener = trio.socket.socket()
    await listener.bind(("127.0.0.1", 0))
    listener.listen()
    port = listener.getsockname()[1]
    accepted = 0

    async def serve() -> None:
        nonlocal accepted
        while True:
            sock, _ = await listener.accept()
            accepted += 1
            await sock.recv(1000)
            await sock.send(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await trio.sleep(0.05)
            sock.close()

    async with trio.open_nursery() as nursery:
        nursery.start_soon(serve)
        calls = client.Client(f"127.0.0.1:{port}")
        for _ in range(2):
            assert (await calls.request("GET", "/", timeout_s=1.0)).status == 200
            await trio.sleep(0.1)
        nursery.cancel_scope.cancel()
    assert accepted == 2


async def test_a_request_that_fails_does_not_end_the_server() -> None:
    async def handle(req: server.Request) -> server.Answer:
        if req.path == "/bad":
            raise ValueError("a bug")
        return await echo(req)

    async with trio.open_nursery() as nursery:
        _, calls = await serving(nursery, handle)
        assert (await calls.request("GET", "/bad", timeout_s=2)).status == 500
        assert (await calls.request("GET", "/good", timeout_s=2)).status == 200
        nursery.cancel_scope.cancel()
