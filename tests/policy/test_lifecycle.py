from __future__ import annotations

import pytest

from bronzequay import ids
from bronzequay.policy import core, health, model
from tests.policy import world

MAX_ATTEMPTS = health.MAX_START_FAILURES


@pytest.mark.parametrize("fault", [model.MemberFault.START_FAILED, model.MemberFault.TASK_FAILED])
def test_job_fails_after_a_bounded_number_of_failed_starts(
    fault: model.MemberFault,
) -> None:
    workers = [world.worker(0), world.worker(1)]
    state = core.new_state(rules=world.rules(a=[(8, 1)]), workers=workers)
    job = ids.JobId("j1")
    spec = world.spec(members=2, accelerators=8, org=ids.OrgId("a"))
    core.step(state, model.JobSubmitted(job, spec), now_s=0.0)
    record = state.jobs[job]
    for attempt in range(1, MAX_ATTEMPTS + 2):
        if record.state is model.JobState.FAILED:
            break
        failed = model.MemberFailed(job, attempt, ids.WorkerId(workers[1].worker), fault)
        core.step(state, failed, now_s=0.0)
        core.step(state, model.GangStopped(job, attempt), now_s=0.0)
    assert record.state is model.JobState.FAILED
    assert record.attempt <= MAX_ATTEMPTS
