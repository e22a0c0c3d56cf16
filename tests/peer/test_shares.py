from __future__ import annotations

import hypothesis
from hypothesis import strategies as st

from bronzequay import ids
from bronzequay.peer import shares

KEYS = [f"worker-{number}" for number in range(60)]
MEMBERS = st.frozensets(st.sampled_from([ids.InstanceId(f"e{n}") for n in range(9)]))


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(views=st.lists(MEMBERS, min_size=1, max_size=6))
def test_incremental_owners_equal_recomputed_ones(
    views: list[frozenset[ids.InstanceId]],
) -> None:
    updated = shares.KeyOwners()
    for view in views:
        updated.set_members(view)
        recomputed = shares.KeyOwners()
        recomputed.set_members(view)
        assert [updated.owner(key) for key in KEYS] == [recomputed.owner(key) for key in KEYS]


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(view=MEMBERS.filter(bool), removed_index=st.integers(0, 8))
def test_only_the_keys_of_a_removed_member_move(
    view: frozenset[ids.InstanceId], removed_index: int
) -> None:
    removed = sorted(view)[removed_index % len(view)]
    key_owners = shares.KeyOwners()
    key_owners.set_members(view)
    before = {key: key_owners.owner(key) for key in KEYS}
    key_owners.set_members(view - {removed})
    for key, owner in before.items():
        assert owner == removed or key_owners.owner(key) == owner


def test_keys_are_distributed_evenly() -> None:
    key_owners = shares.KeyOwners()
    key_owners.set_members(ids.InstanceId(f"e{n}") for n in range(7))
    owners = [key_owners.owner(f"worker-{number}") for number in range(5700)]
    counts = [owners.count(ids.InstanceId(f"e{n}")) for n in range(7)]
    assert max(counts) < 1.15 * 5700 / 7


def test_key_without_members_has_no_owner() -> None:
    assert shares.KeyOwners().owner("worker-1") is None
