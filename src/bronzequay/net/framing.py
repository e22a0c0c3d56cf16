"""Framing of received requests, with bounds on what an unfinished one holds.

The head is kept as raw bytes until its last line has arrived and is then parsed at once, since the
objects of a header line of 3 bytes take about 200. Bodies are framed here; ``httptools`` would
parse past the end of a message, without a way to stop.
"""

from __future__ import annotations

import enum
import re
from typing import TYPE_CHECKING

import httptools
import msgspec

from bronzequay.net import limits

if TYPE_CHECKING:
    from collections.abc import Callable

LINE_BYTES = 256
"""Estimated memory of one decoded header line."""
KEPT_LINES = 64
"""Heads with more lines are kept as raw bytes and decoded again when the request is handled."""
MAX_EMPTY_BYTES = 1024
"""Limit on line ends before a request line; some clients send one after a body."""
MAX_CHUNK_LINE_BYTES = 4096
"""Limit on the line with a chunk's size and its extensions."""
MAX_TRAILER_LINES = 100
FRAMING_RATIO = 16
"""Limit on chunk framing in bytes per byte of the body, above the limit on the head; a client that
sends each byte as a chunk needs 6."""
MAX_PARTS = 400
"""Limit on parts read in one call; a chunk with an extension is three parts and takes 4 us."""
_NO_CALLBACKS = object()
"""Receiver of a parser that only checks; without callbacks it builds no objects."""
_HEAD_END = re.compile(rb"\n\r?\n")
_CHUNK_LINE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(?:;[^\r\n]*)?\r\n")
_SMALL_CHUNKS = {
    digit: (
        re.compile(rb"(?:%c\r\n[\s\S]{%d}\r\n)+" % (digit, int(chr(digit), 16))),
        re.compile(rb"%c\r\n([\s\S]{%d})\r\n" % (digit, int(chr(digit), 16))),
    )
    for digit in b"123456789abcdefABCDEF"
}
"""Patterns of a run of chunks of one size and of each of them, by the hexadecimal digit."""
_LENGTH = re.compile(r"[0-9]{1,18}")


class Message(msgspec.Struct):
    """A request as it was received.

    :param head: raw head, empty when ``decoded`` is set
    :param line_count: number of lines of the head
    """

    method: str
    target: str
    head: bytes
    decoded: dict[str, str] | None
    line_count: int
    is_keep_alive: bool
    body: bytes | bytearray = b""

    def headers(self) -> dict[str, str]:
        """Return the headers' values by lower-case name; the last of several counts."""
        return _HeadParser(self.head).headers if self.decoded is None else self.decoded

    @property
    def held_bytes(self) -> int:
        """Return the estimated memory, without the body."""
        return len(self.head) + min(self.line_count, KEPT_LINES) * LINE_BYTES

    @property
    def decoded_bytes(self) -> int:
        """Return the estimated memory of the decoded head."""
        return self.line_count * LINE_BYTES


class _HeadParser:
    """Parses one complete head and receives the parser's callbacks.

    :raises limits.Refusal: when it is malformed
    """

    def __init__(self, head: bytes | bytearray) -> None:
        self.headers: dict[str, str] = {}
        self.target = b""
        self.is_keep_alive = False
        self._is_complete = False
        self._parser = httptools.HttpRequestParser(self)
        try:
            self._parser.feed_data(head)
        except httptools.HttpParserUpgrade:
            # The offer of another protocol is not taken up.
            pass
        except httptools.HttpParserError as exc:
            raise limits.Refusal(400, "malformed") from exc
        if not self._is_complete:
            raise limits.Refusal(400, "malformed")
        self.method: str = self._parser.get_method().decode("latin-1")
        del self._parser  # it refers back to this, and only a garbage collection would free both
        self.is_keep_alive = self.is_keep_alive and self.method != "CONNECT"

    def on_message_begin(self) -> None:
        if self._is_complete:
            raise ValueError("a second message within one head")

    def on_url(self, url: bytes) -> None:
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        self.is_keep_alive = self._parser.should_keep_alive()
        self._is_complete = True

    def on_body(self, _data: bytes) -> None:
        raise ValueError("a body within the head")


class _Part(enum.Enum):
    """Part of a message that is awaited."""

    HEAD = "head"
    LENGTH = "length"
    CHUNK_LINE = "chunk_line"
    CHUNK = "chunk"
    CHUNK_END = "chunk_end"
    TRAILER = "trailer"


class RequestReader:
    """Splits the bytes of a connection into requests, one at a time.

    Bytes after a complete request wait undecoded until the next call of ``next_message``.

    :param read_limits: returns the limits now in force
    :ivar has_more: whether ``next_message`` has not looked at all that has arrived
    """

    def __init__(self, read_limits: Callable[[], limits.Limits]) -> None:
        self._read_limits = read_limits
        self._buffer = bytearray()
        self._readers = {
            _Part.HEAD: self._read_head,
            _Part.LENGTH: self._read_data,
            _Part.CHUNK_LINE: self._read_chunk_line,
            _Part.CHUNK: self._read_data,
            _Part.CHUNK_END: self._read_chunk_end,
            _Part.TRAILER: self._read_trailer,
        }
        self._reset()

    def _reset(self) -> None:
        self._part = _Part.HEAD
        self._pos = 0
        self._scanned = 0
        self._checker: httptools.HttpRequestParser | None = None
        self._empty_bytes = 0
        self._framing_bytes = 0
        self._trailer_bytes = 0
        self._trailer_lines = 0
        self._left = 0
        self.has_more = False
        self._body = bytearray()
        self._message: Message | None = None

    @property
    def is_receiving(self) -> bool:
        """Return whether a part of a request has arrived; empty lines before it do not count."""
        return bool(self._buffer) or self.has_head or self._empty_bytes > MAX_EMPTY_BYTES

    @property
    def has_head(self) -> bool:
        """Return whether the head of the request that arrives is complete."""
        return self._message is not None

    @property
    def held_bytes(self) -> int:
        """Return the estimated memory of what has arrived."""
        head_bytes = 0 if self._message is None else self._message.held_bytes
        return len(self._buffer) + len(self._body) + head_bytes

    @property
    def expected_bytes(self) -> int:
        """Return the estimated memory of the whole request, as far as its head tells.

        A chunked body does not state its length. Once a chunk makes it large, the largest
        permitted body is expected.
        """
        if self._part is not _Part.LENGTH and len(self._body) + self._left > limits.ORDINARY_BYTES:
            return self.held_bytes + self._read_limits().max_body_bytes - len(self._body)
        return self.held_bytes + self._left

    def feed(self, data: bytes) -> None:
        """Add received bytes."""
        self._buffer += data
        if self._part is _Part.HEAD:
            self._skip_empty_lines()

    def clear(self) -> None:
        """Release everything that has arrived, although a traceback may still refer to this."""
        self._buffer = bytearray()
        self._reset()

    def next_message(self) -> Message | None:
        """Return the next request if all of it has arrived.

        Call it again while ``has_more`` is set; each call takes a bounded time.

        :raises limits.Refusal: when it is malformed or over a limit
        """
        self._pos = 0
        is_done = None
        for _ in range(MAX_PARTS):
            is_done = self._readers[self._part]()
            if is_done is not None:
                break
        self.has_more = is_done is None
        del self._buffer[: self._pos]
        if not is_done:
            return None
        message = self._message
        assert message is not None  # noqa: S101
        message.body = self._body
        self._reset()
        return message

    # Each method below reads one part. It returns true at the end of the message, false when bytes
    # are missing, and None when the next part is to be read.

    def _read_head(self) -> bool | None:
        self._skip_empty_lines()
        if self._empty_bytes > MAX_EMPTY_BYTES:
            raise limits.Refusal(400, "empty_lines")
        buffer, bounds = self._buffer, self._read_limits()
        scanned, self._scanned = self._scanned, len(buffer)
        found = _HEAD_END.search(buffer, max(0, scanned - 2))
        size = len(buffer) if found is None else found.end()
        if size > bounds.max_head_bytes:
            is_target = buffer.find(b"\n", 0, bounds.max_head_bytes) < 0
            raise limits.Refusal(*((414, "target_bytes") if is_target else (431, "head_bytes")))
        if found is None:
            self._check_start(buffer[scanned:])
            return False
        line_count = buffer.count(b"\n", 0, size)
        if line_count > bounds.max_head_lines:
            raise limits.Refusal(431, "head_lines")
        return self._begin(bytes(buffer[:size]), line_count)

    def _check_start(self, data: bytearray) -> None:
        """Refuse bytes that cannot begin a head, without waiting for its end."""
        if self._checker is None:
            self._checker = httptools.HttpRequestParser(_NO_CALLBACKS)
        try:
            self._checker.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            raise limits.Refusal(400, "malformed") from exc

    def _skip_empty_lines(self) -> None:
        if self._buffer.startswith((b"\r", b"\n")):
            stripped = self._buffer.lstrip(b"\r\n")
            self._empty_bytes += len(self._buffer) - len(stripped)
            self._buffer = stripped

    def _begin(self, head: bytes, line_count: int) -> bool | None:
        parsed = _HeadParser(head)
        is_kept_raw = line_count > KEPT_LINES
        self._message = Message(
            parsed.method,
            parsed.target.decode("latin-1"),
            head if is_kept_raw else b"",
            None if is_kept_raw else parsed.headers,
            line_count,
            parsed.is_keep_alive,
        )
        self._pos = len(head)
        coding, length = (
            parsed.headers.get(name) for name in ("transfer-encoding", "content-length")
        )
        if coding is not None:
            if length is not None or coding.rpartition(",")[2].strip().lower() != "chunked":
                raise limits.Refusal(400, "malformed")
            self._part = _Part.CHUNK_LINE
            return None
        if length is None:
            return True
        if _LENGTH.fullmatch(length.strip()) is None:
            raise limits.Refusal(400, "malformed")
        self._left = int(length)
        self._check_body(self._left)
        self._part = _Part.LENGTH
        return None

    def _read_data(self) -> bool | None:
        data = self._buffer[self._pos : self._pos + self._left]
        self._body += data
        self._pos += len(data)
        self._left -= len(data)
        if self._left:
            return False
        if self._part is _Part.LENGTH:
            return True
        self._part = _Part.CHUNK_END
        return None

    def _read_small_chunks(self) -> bool:
        """Read a run of complete chunks of one size below 16, which may be thousands in one read.

        :return: whether there was one
        """
        if self._pos >= len(self._buffer) or self._buffer[self._pos] not in _SMALL_CHUNKS:
            return False
        run_pattern, chunk_pattern = _SMALL_CHUNKS[self._buffer[self._pos]]
        found = run_pattern.match(self._buffer, self._pos)
        if found is None:
            return False
        data = b"".join(chunk_pattern.findall(self._buffer, found.start(), found.end()))
        self._body += data
        self._framing_bytes += found.end() - found.start() - len(data)
        self._pos = found.end()
        self._check_body(len(self._body))
        return True

    def _read_chunk_line(self) -> bool | None:
        if self._read_small_chunks():
            return None
        line = self._read_line(MAX_CHUNK_LINE_BYTES, limits.Refusal(400, "chunk_framing"))
        if line is None:
            return False
        found = _CHUNK_LINE.fullmatch(line)
        if found is None:
            raise limits.Refusal(400, "malformed")
        self._framing_bytes += len(line) + len(b"\r\n")
        allowance = self._read_limits().max_head_bytes + FRAMING_RATIO * len(self._body)
        if self._framing_bytes > allowance:
            raise limits.Refusal(400, "chunk_framing")
        self._left = int(found[1], 16)
        self._check_body(len(self._body) + self._left)
        self._part = _Part.CHUNK if self._left else _Part.TRAILER
        return None

    def _read_chunk_end(self) -> bool | None:
        end = self._buffer[self._pos : self._pos + 2]
        if not b"\r\n".startswith(end):
            raise limits.Refusal(400, "malformed")
        if len(end) < 2:  # noqa: PLR2004
            return False
        self._pos += 2
        self._part = _Part.CHUNK_LINE
        return None

    def _read_trailer(self) -> bool | None:
        """Read one line of the trailers, which are dropped."""
        max_bytes = self._read_limits().max_head_bytes - self._trailer_bytes
        line = self._read_line(max_bytes, limits.Refusal(431, "trailer_bytes"))
        if line is None:
            return False
        if line == b"\r\n":
            return True
        if b":" not in line:
            raise limits.Refusal(400, "malformed")
        self._trailer_bytes += len(line)
        self._trailer_lines += 1
        if self._trailer_lines > MAX_TRAILER_LINES:
            raise limits.Refusal(431, "trailer_lines")
        return None

    def _read_line(self, max_bytes: int, refusal: limits.Refusal) -> bytearray | None:
        end = self._buffer.find(b"\n", self._pos) + 1
        if (end or len(self._buffer)) - self._pos > max_bytes:
            raise refusal
        if not end:
            return None
        line = self._buffer[self._pos : end]
        self._pos = end
        return line

    def _check_body(self, size: int) -> None:
        if size > self._read_limits().max_body_bytes:
            raise limits.Refusal(413, "body_bytes")


__all__ = ["Message", "RequestReader"]
