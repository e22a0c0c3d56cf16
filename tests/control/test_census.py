"""The set of workers that decides about renewals without the store."""

from __future__ import annotations

import itertools
from typing import TYPE_CHECKING

import hypothesis
from hypothesis import strategies as st

from bronzequay import ids
from bronzequay.control import census, earlier_terms

if TYPE_CHECKING:
    import pytest

SERVICE = ids.ServiceId("service")
EXECUTORS = [ids.ExecutorId(f"i-{number}") for number in range(6)]
SUBSETS = st.sets(st.sampled_from(EXECUTORS)).map(frozenset)


def present(*executors: ids.ExecutorId) -> census.Present:
    return {SERVICE: dict.fromkeys(executors, census.UNSETTLED)}


def stored(*executors: ids.ExecutorId) -> census.Census:
    found = census.Census()
    found.propose(present(*executors), lambda _: True)
    found.confirm()
    return found


@hypothesis.given(counted=SUBSETS, reached=SUBSETS, contact=SUBSETS)
def test_a_scheduler_whose_workers_are_fenced_never_has_a_majority(
    counted: frozenset[ids.ExecutorId],
    reached: frozenset[ids.ExecutorId],
    contact: frozenset[ids.ExecutorId],
) -> None:
    """Guards against two schedulers that act at once; a fenced worker refuses the earlier one."""
    found = stored(*counted)
    if found.is_fenced(SERVICE, reached):
        assert not found.is_majority(SERVICE, (contact - reached).__contains__)


def test_a_census_that_is_being_written_counts_besides_the_stored_one() -> None:
    found = stored(*EXECUTORS[:4])
    assert found.propose(present(*EXECUTORS[3:]), lambda _: True)
    assert not found.is_majority(SERVICE, set(EXECUTORS[:4]).__contains__)
    assert not found.is_majority(SERVICE, set(EXECUTORS[3:]).__contains__)
    assert found.is_majority(SERVICE, set(EXECUTORS[1:]).__contains__)
    found.confirm()
    assert found.is_majority(SERVICE, set(EXECUTORS[3:]).__contains__)


def test_workers_that_an_earlier_term_counts_are_not_replaced() -> None:
    found = stored(*EXECUTORS[:4])
    assert found.propose(present(*EXECUTORS[4:]), lambda _: False) is None
    assert found.counted(SERVICE) == set(EXECUTORS[:4])


def test_a_census_over_the_limit_leaves_the_stored_one(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards against a term that cannot write anything because its census is too large."""
    found = stored(*EXECUTORS[:2])
    monkeypatch.setattr(census, "MAX_BYTES", 20)
    assert found.propose(present(*EXECUTORS), lambda _: True) is None
    found.confirm()
    assert found.counted(SERVICE) == set(EXECUTORS[:2])


def test_an_unreadable_census_counts_no_workers() -> None:
    found = census.Census()
    found.load(b"\xc1")
    assert not found.is_fenced(SERVICE, set(EXECUTORS))
    assert not found.is_majority(SERVICE, set(EXECUTORS).__contains__)


def test_a_list_of_earlier_terms_that_is_too_long_says_that_some_are_left_out() -> None:
    holders = [
        earlier_terms.Holder(ids.Epoch(number), ids.InstanceId("a"), "10.0.0.1:70")
        for number in itertools.islice(itertools.count(1), 2 * earlier_terms.MAX_HOLDERS)
    ]
    kept = earlier_terms.shorten(holders)
    assert len(kept) == earlier_terms.MAX_HOLDERS
    assert kept[0] == earlier_terms.UNKNOWN
    assert kept[1:] == tuple(holders[1 - earlier_terms.MAX_HOLDERS :])
