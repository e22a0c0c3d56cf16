"""Logs are bounded and never wait for their reader."""

from __future__ import annotations

import os

from bronzequay.obs import output


class Clock:
    def __init__(self) -> None:
        self.now_s = 0.0

    def __call__(self) -> float:
        return self.now_s


def test_more_lines_of_an_event_than_the_limit_are_counted_instead() -> None:
    reader, writer = os.pipe()
    clock = Clock()
    out = output.Output(writer, clock)
    written = [out.may_write("busy") for _ in range(output.EVENT_LINES_PER_S + 7)]
    assert sum(written) == output.EVENT_LINES_PER_S
    assert out.may_write("other")
    clock.now_s = 1.0
    assert out.may_write("busy")
    assert os.read(reader, 1000) == b"level='warning' event='lines_dropped' of='busy' count=7\n"


def test_a_reader_that_has_fallen_behind_is_not_waited_for() -> None:
    _, writer = os.pipe()
    out = output.Output(writer)
    for _ in range(1000):
        out.msg("x" * 1000)
    assert out.dropped["unread"] > 0


def test_a_long_line_is_cut() -> None:
    reader, writer = os.pipe()
    output.Output(writer).msg("x" * 10_000)
    assert len(os.read(reader, 20_000)) == output.MAX_LINE_BYTES + 1


def test_a_reader_that_is_gone_ends_nothing() -> None:
    reader, writer = os.pipe()
    os.close(reader)
    out = output.Output(writer)
    out.msg("lost")
    assert out.dropped["unread"] == 1
