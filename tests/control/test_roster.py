"""Sessions with many workers at the beginning of a term."""

from __future__ import annotations

from typing import TYPE_CHECKING

import trio

from bronzequay.control import roster

if TYPE_CHECKING:
    import pytest
    from trio.testing import MockClock

    from bronzequay.fakes import executors
    from bronzequay.net import server
    from tests.control.site import Site

CALL_S = 0.1


class SlowWorkers:
    """Executors that take a while to answer.

    :ivar pending: calls that are being answered
    :ivar most: most of them at the same time
    """

    def __init__(self, site: Site, count: int) -> None:
        self.site = site
        self.pending = self.most = 0
        for number in range(count):
            self._add(site.add_executor(number))

    def _add(self, executor: executors.Executor) -> None:
        async def handle(req: server.Request) -> server.Response:
            self.pending += 1
            self.most = max(self.most, self.pending)
            await trio.sleep(CALL_S)
            self.pending -= 1
            return await executor.handle(req)

        self.site.network.hosts[executor.address] = handle


async def test_a_new_term_reads_a_limited_number_of_first_listings_at_once(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site
) -> None:
    """Guards against a watch that falls behind while a term begins with thousands of workers."""
    monkeypatch.setattr(roster, "MAX_FIRST_LISTINGS", 3)
    workers = SlowWorkers(site, 9)
    site.start_scheduler("a")
    await site.wait_until(lambda: workers.pending)
    await trio.sleep(0.5 * CALL_S)
    assert workers.most == 3


async def test_silent_workers_do_not_delay_the_first_listings_of_others_again_and_again(
    autojump_clock: MockClock, monkeypatch: pytest.MonkeyPatch, site: Site
) -> None:
    monkeypatch.setattr(roster, "MAX_FIRST_LISTINGS", 2)
    for number in range(6):
        site.network.hosts[site.add_executor(number).address] = _never_answer
    site.start_scheduler("a")
    await trio.sleep(20.0)
    site.add_executor(6)
    job = site.submit()
    await site.wait_for(job, "completed", timeout_s=3.0)


async def _never_answer(_: server.Request) -> server.Response:
    await trio.sleep_forever()
    raise AssertionError
