"""Messages between instances."""

from __future__ import annotations

import enum

import msgspec

from bronzequay import codes, errors

PROTOCOL_VERSION = 1


class Form(enum.IntEnum):
    """Form of a message."""

    CALL = 1
    ANSWER = 2
    ERROR = 3
    SEND = 4
    PING = 5
    PONG = 6


class Message(msgspec.Struct, array_like=True, frozen=True):
    """One message.

    :param call: number of the call at its caller, 0 when no answer is expected
    :param kind: names the handler of a call or one-way message
    """

    version: int
    form: Form
    call: int
    kind: str
    body: bytes


class Failure(msgspec.Struct, array_like=True, frozen=True):
    """Body of an ERROR message."""

    code: int
    message: str
    field: str | None
    retry_after_s: float | None


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Message)
_FAILURE_DECODER = msgspec.msgpack.Decoder(Failure)


def encode(message: Message) -> bytes:
    """Encode a message."""
    return _ENCODER.encode(message)


def decode(data: bytes) -> Message | None:
    """Decode a message; None when it is malformed or of another protocol version."""
    try:
        message = _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None
    return message if message.version == PROTOCOL_VERSION else None


def encode_error(exc: errors.BronzequayError) -> bytes:
    """Encode an error as the body of an ERROR message."""
    return _ENCODER.encode(Failure(exc.code, exc.message, exc.field, exc.retry_after_s))


def decode_error(body: bytes) -> errors.BronzequayError:
    """Decode the body of an ERROR message; an unreadable one is INTERNAL."""
    try:
        failure = _FAILURE_DECODER.decode(body)
        code = codes.ResultCode(failure.code)
    except (msgspec.MsgspecError, ValueError):
        return errors.BronzequayError(codes.ResultCode.INTERNAL, "unreadable error from a peer")
    return errors.BronzequayError(
        code, failure.message, field=failure.field, retry_after_s=failure.retry_after_s
    )


__all__ = [
    "PROTOCOL_VERSION",
    "Form",
    "Message",
    "decode",
    "decode_error",
    "encode",
    "encode_error",
]
