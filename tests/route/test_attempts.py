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
    """Let the first call meet a fault and the others none."""
    left = [fault]

    def behave(name: ids.ExecutorId) -> fleets.Behaviour:
        return fleets.Behaviour(left.pop() if left else Fault.NONE)

    fleet.behave = behave


async def outcome(made: router.Router, req: model.Request) -> Code:
    try:
        answer = await made.send(req)
    except errors.BronzequayError as exc:
        return exc.code
    assert answer.body == req.body
    return answer.code


@pytest.mark.parametrize(
    ("fault", "idempotent", "told", "runs"),
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
    told: Code,
    runs: int,
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(3)
    fail_first(fleet, fault)
    made = fleets.make_router(fleet)
    assert await outcome(made, fleets.make_request(1, idempotent=idempotent)) is told
    assert sum(fleet.runs.values()) == runs


async def test_unknown_outcome_is_never_told_as_not_run_after_a_later_refusal(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(3)
    faults = [Fault.LOSE_ANSWER]
    fleet.behave = lambda _name: fleets.Behaviour(faults.pop() if faults else Fault.REFUSE)
    made = fleets.make_router(fleet)
    assert await outcome(made, fleets.make_request(1)) is Code.OUTCOME_UNKNOWN


async def test_all_executors_refusing_is_told_as_not_run(autojump_clock: trio.abc.Clock) -> None:
    fleet = fleets.Fleet(3, behave=lambda _name: fleets.Behaviour(Fault.REFUSE))
    made = fleets.make_router(fleet)
    assert await outcome(made, fleets.make_request(1)) is Code.NO_EXECUTOR
    assert not fleet.runs


async def test_retries_stay_inside_the_budget_when_everything_fails(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(8, behave=lambda _name: fleets.Behaviour(Fault.FAIL))
    made = fleets.make_router(fleet)
    for number in range(300):
        await outcome(made, fleets.make_request(number))
    assert sum(fleet.runs.values()) <= 300 * 1.1 + 10


async def test_silent_connection_is_hedged_when_idempotent(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(3)
    fail_first(fleet, Fault.SILENT)
    made = fleets.make_router(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(made.run)
        assert await outcome(made, fleets.make_request(1, deadline_s=10)) is Code.OK
        nursery.cancel_scope.cancel()
    assert trio.current_time() < 1
    assert sum(fleet.open.values()) == 0


async def test_non_idempotent_request_is_never_hedged(autojump_clock: trio.abc.Clock) -> None:
    fleet = fleets.Fleet(3, behave=lambda _name: fleets.Behaviour(delay_s=4.0))
    made = fleets.make_router(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(made.run)
        assert await outcome(made, fleets.make_request(1, idempotent=False)) is Code.OK
        nursery.cancel_scope.cancel()
    assert sum(fleet.runs.values()) == 1


async def test_hedge_is_waited_for_when_the_first_attempt_fails_late(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(2)
    hows = [fleets.Behaviour(delay_s=1.5), fleets.Behaviour(Fault.LOSE_ANSWER, delay_s=1.0)]
    fleet.behave = lambda _name: hows.pop()
    made = fleets.make_router(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(made.run)
        assert await outcome(made, fleets.make_request(1)) is Code.OK
        nursery.cancel_scope.cancel()
    assert sum(fleet.runs.values()) == 2


async def test_cancelled_request_stops_its_hedge_and_frees_all_slots(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(3, behave=lambda _name: fleets.Behaviour(delay_s=100))
    made = fleets.make_router(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(made.run)
        with trio.move_on_after(2):
            await made.send(fleets.make_request(1, deadline_s=50))
        await trio.testing.wait_all_tasks_blocked()
        assert len(fleet.calls) == 2
        assert sum(fleet.open.values()) == 0
        nursery.cancel_scope.cancel()


async def test_executor_that_fails_everything_is_ejected_and_tried_again(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(4)
    bad = fleet.names[0]
    fleet.behaviours[bad].fault = Fault.FAIL
    made = fleets.make_router(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(made.run)
        for number in range(200):
            await outcome(made, fleets.make_request(number, caller=f"c{number % 5}"))
        assert sum(call.executor == bad for call in fleet.calls) <= 6
        fleet.behaviours[bad].fault = Fault.NONE
        fleet.calls.clear()
        for number in range(200, 800):
            await outcome(made, fleets.make_request(number))
        assert any(call.executor == bad for call in fleet.calls)
        nursery.cancel_scope.cancel()


async def test_executor_gone_silent_gets_no_new_work_after_its_word_is_old(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(4)
    dead = fleet.names[0]
    made = fleets.make_router(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(made.run)
        for number in range(50):
            await outcome(made, fleets.make_request(number))
        fleet.dead.add(dead)
        died_s = trio.current_time()
        for number in range(50, 1000):
            assert await outcome(made, fleets.make_request(number)) is Code.OK
        nursery.cancel_scope.cancel()
    assert all(call.at_s < died_s + 3 for call in fleet.calls if call.executor == dead)


@pytest.mark.parametrize("gap_s", [0.001, 0.3, 1.9, 2.1, 5.0])
@pytest.mark.parametrize("leaver", [0, 1, 2])
async def test_leaving_executor_gets_no_new_work_after_three_seconds_at_any_rate(
    gap_s: float, leaver: int, autojump_clock: trio.abc.Clock
) -> None:
    fleet = fleets.Fleet(3)
    made = fleets.make_router(fleet)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(made.run)
        for number in range(30):
            await outcome(made, fleets.make_request(number))
        leaving = fleet.names[leaver]
        fleet.leaving.add(leaving)
        left_s = trio.current_time()
        for number in range(30, 70):
            await trio.sleep(gap_s)
            assert await outcome(made, fleets.make_request(number)) is Code.OK
        nursery.cancel_scope.cancel()
    late = [call for call in fleet.calls if call.at_s > left_s + 3]
    assert late or gap_s < 0.1
    assert all(call.executor != leaving for call in late)


async def test_lagging_list_closes_an_executor_that_says_it_is_live(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(2)
    made = fleets.make_router(fleet)
    await outcome(made, fleets.make_request(1))
    made.set_executors(fleet.listed()[:1])
    fleet.calls.clear()
    for number in range(2, 30):
        await outcome(made, fleets.make_request(number))
    assert {call.executor for call in fleet.calls} == {fleet.names[0]}


async def test_quiet_instance_asks_at_most_one_executor_a_second(
    autojump_clock: trio.abc.Clock,
) -> None:
    fleet = fleets.Fleet(24)
    made = fleets.make_router(fleet)
    with trio.move_on_after(60):
        await made.run()
    assert fleet.asked <= 61
