"""Workers that count as crashed until they are heard again."""

from __future__ import annotations

import pytest

from bronzequay import ids
from bronzequay.core import lifecycle, losses, records
from tests.core import world
from tests.core.test_losses import accept, crash, list_runs, start_all, task_of
from tests.core.test_schedule import build_state


@pytest.mark.parametrize("is_next_life", [False, True])
@pytest.mark.parametrize("has_takeover", [False, True])
@pytest.mark.parametrize("loss", [losses.Loss.ABSENT, losses.Loss.LAPSED])
def test_only_the_same_life_takes_its_crashes_back_also_in_a_later_term(
    loss: losses.Loss, has_takeover: bool, is_next_life: bool
) -> None:
    """Guards against cut-offs that count as crashes for good, and crashes that are forgotten."""
    state = build_state(2)
    accept(state, 1)
    (name,) = start_all(state, 0.0)
    (job,) = state.jobs.values()
    if loss is losses.Loss.ABSENT:
        inherited = world.new_state()
        records.restore(inherited, job.spec, records.encode(job))
        losses.record_absent(inherited, ids.WorkerId(name), [task_of(inherited, 1)])
        lifecycle.end_lost_runs(inherited, ids.WorkerId(name))
    else:
        inherited = state
        crash(inherited, name, 6.0, loss)
    (job,) = inherited.jobs.values()
    assert task_of(inherited, 1).crashes == 1
    if has_takeover:
        inherited = world.new_state()
        records.restore(inherited, job.spec, records.encode(job))
        (job,) = inherited.jobs.values()
    spec = state.workers[ids.WorkerId(name)].spec
    lifecycle.add_worker(inherited, spec)
    lapsed = inherited.workers[ids.WorkerId(name)]
    losses.record(inherited, lapsed, losses.Loss.LAPSED)
    if is_next_life:
        crash(inherited, name, 8.0)
        base, _, born = name.partition("@")
        name = f"{base}@{int(born) + 1}"
    list_runs(inherited, name, 9.0)
    later = world.new_state()
    records.restore(later, job.spec, records.encode(job))
    assert task_of(later, 1).crashes == is_next_life
    assert task_of(later, 1).fatal_starts == (is_next_life and loss is losses.Loss.LAPSED)
