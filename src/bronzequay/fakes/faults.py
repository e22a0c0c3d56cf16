"""Faults that a stand-in injects between its connections and its ASGI app."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, MutableMapping

    Message = MutableMapping[str, Any]
    Receive = Callable[[], Awaitable[Message]]
    Send = Callable[[Message], Awaitable[None]]

_TRUNCATED_RESPONSE_START: dict[str, Any] = {
    "type": "http.response.start",
    "status": 200,
    "headers": [(b"content-length", b"1")],
}


async def stay_silent(receive: Receive) -> None:
    """Wait without an answer until the client closes the connection.

    :raises ConnectionResetError: once the client has closed it
    """
    while (await receive())["type"] != "http.disconnect":
        await trio.lowlevel.checkpoint()
    raise ConnectionResetError("client closed the connection")


async def cut_connection(send: Send) -> None:
    """Cut the connection in the middle of the answer.

    The answer declares a body that is never sent, so that a server closes the connection.

    :raises ConnectionResetError: always; an in-process transport has no connection to close and
        detects the cut by this exception
    """
    await send(dict(_TRUNCATED_RESPONSE_START))
    raise ConnectionResetError("connection cut by a fault switch before the answer")


async def send_status(send: Send, status: int) -> None:
    """Send an answer with a status and no body."""
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


async def buffer_body(receive: Receive) -> Receive:
    """Read the whole body, so that the request takes effect even if the client disconnects.

    :return: a receive function that replays the body
    """
    messages: list[Message] = []
    while not messages or messages[-1].get("more_body", False):
        messages.append(await receive())

    async def replay() -> Message:
        return messages.pop(0) if messages else await receive()

    return replay


async def buffer_message(messages: list[Message], message: Message) -> None:
    """Buffer a message of an answer instead of sending it."""
    messages.append(message)
    await trio.lowlevel.checkpoint()


__all__ = ["buffer_body", "buffer_message", "cut_connection", "send_status", "stay_silent"]
