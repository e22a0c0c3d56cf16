"""Faults that a stand-in adds between its connections and its app."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import trio

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, MutableMapping

    Message = MutableMapping[str, Any]
    Receive = Callable[[], Awaitable[Message]]
    Send = Callable[[Message], Awaitable[None]]

_CUT_START: dict[str, Any] = {
    "type": "http.response.start",
    "status": 200,
    "headers": [(b"content-length", b"1")],
}


async def stay_silent(receive: Receive) -> None:
    """Answer nothing until the client closes the connection."""
    while (await receive())["type"] != "http.disconnect":
        await trio.lowlevel.checkpoint()
    raise ConnectionResetError("the client gave up")


async def cut(send: Send) -> None:
    """Cut the connection in the middle of the answer.

    :raises ConnectionResetError: always, for transports without a connection
    """
    await send(dict(_CUT_START))
    raise ConnectionResetError("connection cut before the answer")


async def answer(send: Send, status: int) -> None:
    """Answer a bare status."""
    headers = [(b"content-length", b"0")]
    await send({"type": "http.response.start", "status": status, "headers": headers})
    await send({"type": "http.response.body", "body": b""})


async def read_body(receive: Receive) -> Receive:
    """Read the whole body, so that the effect happens even if the client leaves.

    :return: a receive function that replays the body
    """
    messages: list[Message] = []
    while not messages or messages[-1].get("more_body", False):
        messages.append(await receive())

    async def replay() -> Message:
        return messages.pop(0) if messages else await receive()

    return replay


async def hold_answer(messages: list[Message], message: Message) -> None:
    """Keep an answer's message instead of sending it."""
    messages.append(message)
    await trio.lowlevel.checkpoint()


__all__ = ["answer", "cut", "hold_answer", "read_body", "stay_silent"]
