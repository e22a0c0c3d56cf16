from __future__ import annotations

from typing import TYPE_CHECKING

import pytest
import trio

from bronzequay import codes, errors
from tests.route import fleet as fleets

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.route import model, router

Code = codes.ResultCode
Fault = fleets.Fault


def fail_first(fleet: fleets.Fleet, fault: Fault) -> None:
    """Make the first call fail with a fault and the others succeed."""
    remaining = [fault]

    def behave(name: ids.ExecutorId) -> fleets.Behaviour:
        return fleets.Behaviour(remaining.pop() if remaining else Fault.NONE)

    fleet.behave = behave


async def result_code(instance: router.Router, req: model.Request) -> Code:
    try:
        answer = await instance.send(req)
    except errors.BronzequayError as exc:
        return exc.code
    assert answer.body == req.body
    return answer.code


@pytest.mark.parametrize(
    ("fault", "idempotent", "expected", "runs"),
    [
        (Fault.NEVER_SENT, True, Code.OK, 1),
        (Fault.NEVER_SENT, False, Code.OK, 1),
        (Fault.REFUSE, True, Code.OK, 1),
        (Fault.REFUSE, False, Code.OK, 1),
        (Fault.FAIL, True, Code.OK, 2),
        (Fault.FAIL, False, Code.EXECUTOR_FAILED, 1),
        (Fault.LOSE_REQUEST, True, Code.OK, 1),
        (Fault.LOSE_REQUEST, False, Code.OUTCOME_UNKNOWN, 0),
        (Fault.LOSE_ANSWER, True, Code.OK, 2),
        (Fault.LOSE_ANSWER, False, Code.OUTCOME_UNKNOWN, 1),
        (Fault.SILENT, False, Code.OUTCOME_UNKNOWN, 0),
        (Fault.SILENT_AFTER_RUN, False, Code.OUTCOME_UNKNOWN, 1),
    ],
)
async def test_only_what_may_run_again_is_retried(
    fault: Fault,
    *,
    idempotent: bool,
    expected: Code,
    runs: int,
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(3)
    fail_first(fleet, fault)
    instance = fleets.make_router(fleet)
    assert await result_code(instance, fleets.make_request(1, idempotent=idempotent)) is expected
    assert sum(fleet.runs.values()) == runs


async def test_unknown_outcome_is_not_reported_as_not_run_after_a_later_refusal(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(3)
    faults = [Fault.LOSE_ANSWER]
    fleet.behave = lambda _name: fleets.Behaviour(faults.pop() if faults else Fault.REFUSE)
    instance = fleets.make_router(fleet)
    assert await result_code(instance, fleets.make_request(1)) is Code.OUTCOME_UNKNOWN


async def test_refusal_by_all_executors_is_reported_as_not_run(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(3, behave=lambda _name: fleets.Behaviour(Fault.REFUSE))
    instance = fleets.make_router(fleet)
    assert await result_code(instance, fleets.make_request(1)) is Code.NO_EXECUTOR
    assert not fleet.runs


async def test_retries_stay_within_the_budget_when_every_run_fails(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(8, behave=lambda _name: fleets.Behaviour(Fault.FAIL))
    instance = fleets.make_router(fleet)
    for number in range(300):
        await result_code(instance, fleets.make_request(number))
    assert sum(fleet.runs.values()) <= 300 * 1.1 + 10


async def test_silent_connection_is_hedged_when_idempotent(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(3)
    fail_first(fleet, Fault.SILENT)
    instance = fleets.make_router(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        assert await result_code(instance, fleets.make_request(1, deadline_s=10)) is Code.OK
        nursery.cancel_scope.cancel()
    assert trio.current_time() < 1
    assert sum(fleet.open_calls.values()) == 0


async def test_non_idempotent_request_is_never_hedged(autojump_clock: trio.abc.Clock) -> None:
    fleet = fleets.Fleet(3, behave=lambda _name: fleets.Behaviour(delay_s=4.0))
    instance = fleets.make_router(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        assert await result_code(instance, fleets.make_request(1, idempotent=False)) is Code.OK
        nursery.cancel_scope.cancel()
    assert sum(fleet.runs.values()) == 1


async def test_result_of_the_hedge_is_awaited_after_the_first_attempt_fails(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(2)
    behaviours = [fleets.Behaviour(delay_s=1.5), fleets.Behaviour(Fault.LOSE_ANSWER, delay_s=1.0)]
    fleet.behave = lambda _name: behaviours.pop()
    instance = fleets.make_router(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        assert await result_code(instance, fleets.make_request(1)) is Code.OK
        nursery.cancel_scope.cancel()
    assert sum(fleet.runs.values()) == 2


async def test_cancelled_request_stops_its_hedge_and_frees_all_slots(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(3, behave=lambda _name: fleets.Behaviour(delay_s=100))
    instance = fleets.make_router(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        with trio.move_on_after(2):
            await instance.send(fleets.make_request(1, deadline_s=50))
        await trio.testing.wait_all_tasks_blocked()
        assert len(fleet.calls) == 2
        assert sum(fleet.open_calls.values()) == 0
        nursery.cancel_scope.cancel()


async def test_executor_whose_runs_all_fail_is_ejected_and_later_readmitted(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(4)
    bad = fleet.names[0]
    fleet.behaviours[bad].fault = Fault.FAIL
    instance = fleets.make_router(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        for number in range(200):
            await result_code(instance, fleets.make_request(number, caller=f"c{number % 5}"))
        assert sum(call.executor == bad for call in fleet.calls) <= 6
        fleet.behaviours[bad].fault = Fault.NONE
        fleet.calls.clear()
        for number in range(200, 800):
            await result_code(instance, fleets.make_request(number))
        assert any(call.executor == bad for call in fleet.calls)
        nursery.cancel_scope.cancel()


async def test_silent_executor_gets_no_new_requests_once_it_is_not_recently_live(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(4)
    dead = fleet.names[0]
    instance = fleets.make_router(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        for number in range(50):
            await result_code(instance, fleets.make_request(number))
        fleet.dead.add(dead)
        died_s = trio.current_time()
        for number in range(50, 1000):
            assert await result_code(instance, fleets.make_request(number)) is Code.OK
        nursery.cancel_scope.cancel()
    assert all(call.at_s < died_s + 3 for call in fleet.calls if call.executor == dead)


@pytest.mark.parametrize("gap_s", [0.001, 0.3, 1.9, 2.1, 5.0])
@pytest.mark.parametrize("leaver", [0, 1, 2])
async def test_leaving_executor_gets_no_new_requests_after_three_seconds_at_any_rate(
    gap_s: float, leaver: int, autojump_clock: trio.abc.Clock
) -> None:
    fleet = fleets.Fleet(3)
    instance = fleets.make_router(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        for number in range(30):
            await result_code(instance, fleets.make_request(number))
        leaving = fleet.names[leaver]
        fleet.leaving.add(leaving)
        leaving_since_s = trio.current_time()
        for number in range(30, 70):
            await trio.sleep(gap_s)
            assert await result_code(instance, fleets.make_request(number)) is Code.OK
        nursery.cancel_scope.cancel()
    late_calls = [call for call in fleet.calls if call.at_s > leaving_since_s + 3]
    assert late_calls or gap_s < 0.1
    assert all(call.executor != leaving for call in late_calls)


async def test_executor_off_the_list_gets_no_new_requests_though_it_reports_live(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(2)
    instance = fleets.make_router(fleet)
    await result_code(instance, fleets.make_request(1))
    instance.set_executors(fleet.executors()[:1])
    fleet.calls.clear()
    for number in range(2, 30):
        await result_code(instance, fleets.make_request(number))
    assert {call.executor for call in fleet.calls} == {fleet.names[0]}


async def test_idle_instance_probes_at_most_one_executor_a_second(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(24)
    instance = fleets.make_router(fleet)
    with trio.move_on_after(60):
        await instance.run()
    assert fleet.probe_count <= 61
