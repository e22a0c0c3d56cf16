from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from bronzequay import ids
from bronzequay.peer import shares

KEYS = [f"worker-{number}" for number in range(60)]
MEMBERS = st.frozensets(st.sampled_from([ids.InstanceId(f"e{n}") for n in range(9)]))


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(views=st.lists(MEMBERS, min_size=1, max_size=6))
def test_incremental_owners_equal_those_computed_anew(
    views: list[frozenset[ids.InstanceId]],
) -> None:
    kept = shares.Shares()
    for view in views:
        kept.set_members(view)
        fresh = shares.Shares()
        fresh.set_members(view)
        assert [kept.owner(key) for key in KEYS] == [fresh.owner(key) for key in KEYS]


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(view=MEMBERS.filter(bool), lost=st.integers(0, 8))
def test_only_the_keys_of_a_lost_member_move(view: frozenset[ids.InstanceId], lost: int) -> None:
    gone = sorted(view)[lost % len(view)]
    kept = shares.Shares()
    kept.set_members(view)
    before = {key: kept.owner(key) for key in KEYS}
    kept.set_members(view - {gone})
    for key, owner in before.items():
        assert owner == gone or kept.owner(key) == owner


def test_shares_are_even() -> None:
    kept = shares.Shares()
    kept.set_members(ids.InstanceId(f"e{n}") for n in range(7))
    owners = [kept.owner(f"worker-{number}") for number in range(5700)]
    counts = [owners.count(ids.InstanceId(f"e{n}")) for n in range(7)]
    assert max(counts) < 1.15 * 5700 / 7


def test_no_members_own_nothing() -> None:
    assert shares.Shares().owner("worker-1") is None
