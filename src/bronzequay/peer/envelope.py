"""Encoding of the messages between instances."""

from __future__ import annotations

import enum

import msgspec

from bronzequay import codes, errors

PROTOCOL_VERSION = 1


class Form(enum.IntEnum):
    """Role of a message in an exchange."""

    CALL = 1
    ANSWER = 2
    ERROR = 3
    SEND = 4
    PING = 5
    PONG = 6


class Message(msgspec.Struct, array_like=True, frozen=True):
    """One message.

    :param version: protocol version
    :param call_number: the caller's number of the call, repeated in the answer; 0 in one-way
        messages and pings
    :param kind: name of the handler, for a call or one-way message
    :param body: encoded argument, result or error
    """

    version: int
    form: Form
    call_number: int
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
    """Decode a message; return None if it is malformed or of another protocol version."""
    try:
        message = _DECODER.decode(data)
    except msgspec.MsgspecError:
        return None
    return message if message.version == PROTOCOL_VERSION else None


def encode_error(exc: errors.BronzequayError) -> bytes:
    """Encode an error as the body of an ERROR message."""
    return _ENCODER.encode(Failure(exc.code, exc.message, exc.field, exc.retry_after_s))


def decode_error(body: bytes) -> errors.BronzequayError:
    """Decode the body of an ERROR message; return INTERNAL if it cannot be decoded."""
    try:
        failure = _FAILURE_DECODER.decode(body)
        code = codes.ResultCode(failure.code)
    except (msgspec.MsgspecError, ValueError):
        return errors.BronzequayError(
            codes.ResultCode.INTERNAL, "cannot decode the error answered by a peer"
        )
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
