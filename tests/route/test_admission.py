from __future__ import annotations

import pytest
import trio

from bronzequay import codes, errors, ids
from bronzequay.route import admission, model, slots

SERVICE = ids.ServiceId("hire-desk")


def make_admission(*, executors: int = 1, instances: int = 64) -> admission.Admission:
    table = slots.SlotTable(instances=lambda: instances)
    table.set_executors(
        [
            model.Executor(ids.ExecutorId(f"x{n}"), f"http://x{n}", ids.DataCentreId("nottm-yard"))
            for n in range(executors)
        ]
    )
    return admission.Admission(slot_table=table)


def make_request(caller: str = "c") -> model.Request:
    return model.Request(ids.RequestId("r"), SERVICE, ids.OrgId("org-a"), ids.CallerId(caller))


async def test_slot_goes_to_the_next_request_when_released(autojump_clock: trio.abc.Clock) -> None:
    controller = make_admission()
    first = await controller.acquire(make_request(), deadline=10)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_hold, controller, 1.0)
        await trio.sleep(3)
        controller.release(first)
    assert trio.current_time() == pytest.approx(4)


async def _hold(controller: admission.Admission, seconds: float, caller: str = "c") -> None:
    grant = await controller.acquire(make_request(caller), deadline=100)
    try:
        await trio.sleep(seconds)
    finally:
        controller.release(grant)


async def test_request_past_its_deadline_leaves_the_queue_and_holds_no_slot(
    autojump_clock: trio.abc.Clock,
) -> None:
    controller = make_admission()
    grant = await controller.acquire(make_request(), deadline=10)
    with pytest.raises(errors.BronzequayError) as caught:
        await controller.acquire(make_request(), deadline=5)
    assert caught.value.code is codes.ResultCode.DEADLINE_PASSED
    assert len(controller) == 0
    controller.release(grant)
    await controller.acquire(make_request(), deadline=10)


async def test_cancelled_request_releases_a_slot_granted_meanwhile(
    autojump_clock: trio.abc.Clock,
) -> None:
    controller = make_admission()
    grant = await controller.acquire(make_request(), deadline=10)
    with trio.CancelScope() as scope:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_hold, controller, 1.0)
            await trio.testing.wait_all_tasks_blocked()
            controller.release(grant)
            scope.cancel()
    assert len(controller) == 0
    with trio.fail_after(1):
        await controller.acquire(make_request(), deadline=10)


async def test_cancelled_requests_leave_the_queue(autojump_clock: trio.abc.Clock) -> None:
    controller = make_admission()
    await controller.acquire(make_request(), deadline=1000)
    async with trio.open_nursery() as nursery:
        for number in range(200):
            nursery.start_soon(_hold, controller, 1.0, f"c{number}")
        await trio.testing.wait_all_tasks_blocked()
        assert len(controller) == 200
        nursery.cancel_scope.cancel()
    assert len(controller) == 0


async def test_executor_to_avoid_is_used_only_when_no_other_is_free(
    autojump_clock: trio.abc.Clock,
) -> None:
    controller = make_admission(executors=2)
    avoid = {ids.ExecutorId("x0")}
    first = await controller.acquire(make_request(), deadline=1, avoid=avoid)
    second = await controller.acquire(make_request(), deadline=1, avoid=avoid)
    assert (first.executor.executor, second.executor.executor) == ("x1", "x0")
