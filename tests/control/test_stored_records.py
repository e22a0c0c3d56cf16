"""Unreadable records in the store: none of them keeps terms from scheduling."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
import pytest

from bronzequay import ids
from bronzequay.control import journal, keys
from bronzequay.core import model, records

if TYPE_CHECKING:
    from trio.testing import MockClock

    from tests.control.site import Site


@pytest.mark.parametrize(
    "head",
    [b"", b"\xc1", b"\x91" * 3000, msgspec.msgpack.encode(journal.Head(ids.Epoch(2**60), 1))],
)
async def test_an_unreadable_head_of_the_journal_does_not_end_every_term(
    autojump_clock: MockClock, site: Site, head: bytes
) -> None:
    """Guards against one record that keeps all schedulers from beginning a term."""
    site.add_executor(1)
    site.kv.put(keys.HEAD, head)
    site.start_scheduler("a")
    await site.wait_for(site.submit(), "completed", timeout_s=5.0)


async def test_a_record_that_is_not_of_its_job_is_not_restored_in_part(
    autojump_clock: MockClock, site: Site
) -> None:
    """Guards against half a job that a term goes on with, or that ends it."""
    site.add_executor(1)
    bad = site.submit()
    step = records.StepRecord(0, 3, is_done=False, failures=0, failed_run=0)
    record = records.JobRecord(model.JobState.RUNNING, 1, [], [step])
    site.kv.put(keys.progress(bad), msgspec.msgpack.encode(record))
    site.start_scheduler("a")
    await site.wait_for(site.submit(), "completed", timeout_s=5.0)
    assert bad not in site.terms["a"]._state.jobs
