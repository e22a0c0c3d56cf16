"""Log output has a bounded rate and never blocks on a slow or closed reader."""

from __future__ import annotations

import os

from bronzequay.obs import output


class Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def test_lines_of_an_event_over_the_limit_are_counted_instead_of_written() -> None:
    reader, writer = os.pipe()
    clock = Clock()
    out = output.Output(writer, clock)
    admitted = [out.admit_line("busy") for _ in range(output.MAX_EVENT_LINES_PER_S + 7)]
    assert sum(admitted) == output.MAX_EVENT_LINES_PER_S
    assert out.admit_line("other")
    clock.now_s = 1.0
    assert out.admit_line("busy")
    assert os.read(reader, 1000) == b"level='warning' event='lines_dropped' of='busy' count=7\n"


def test_a_slow_reader_does_not_block_the_writer() -> None:
    _, writer = os.pipe()
    out = output.Output(writer)
    for _ in range(1000):
        out.msg("x" * 1000)
    assert out.dropped["unread"] > 0


def test_a_long_line_is_truncated() -> None:
    reader, writer = os.pipe()
    output.Output(writer).msg("x" * 10_000)
    assert len(os.read(reader, 20_000)) == output.MAX_LINE_BYTES + 1


def test_a_closed_reader_does_not_raise() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    out = output.Output(writer)
    out.msg("lost")
    assert out.dropped["unread"] == 1
