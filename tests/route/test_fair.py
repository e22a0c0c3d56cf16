from __future__ import annotations

import collections

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from bronzequay import codes, errors, ids
from bronzequay.policy import model
from bronzequay.route import fair

LOW, NORMAL, URGENT = model.Urgency.LOW, model.Urgency.NORMAL, model.Urgency.URGENT
ORG_A, ORG_B = ids.OrgId("org-a"), ids.OrgId("org-b")

Queue = fair.FairQueue[str]


def push(
    queue: Queue,
    item: str,
    *,
    urgency: model.Urgency = NORMAL,
    org: str = "org-a",
    caller: str = "c",
) -> fair.Ticket[str]:
    return queue.push(item, urgency=urgency, org=ids.OrgId(org), caller=ids.CallerId(caller))


def pop_all(queue: Queue) -> list[str]:
    items = []
    while (ticket := queue.pop()) is not None:
        items.append(ticket.item)
    return items


def test_one_callers_requests_keep_their_order() -> None:
    queue = Queue()
    for number in range(5):
        push(queue, str(number))
    assert pop_all(queue) == ["0", "1", "2", "3", "4"]


def test_small_caller_is_served_alongside_one_with_fifty_times_the_requests() -> None:
    queue = Queue()
    for number in range(50):
        push(queue, f"large {number}", caller="large")
    push(queue, "small", caller="small")
    assert "small" in pop_all(queue)[:2]


def test_small_organisation_is_served_alongside_a_large_one_with_many_callers() -> None:
    queue = Queue()
    for number in range(50):
        push(queue, f"a{number}", org="org-a", caller=f"c{number}")
    push(queue, "b", org="org-b")
    assert "b" in pop_all(queue)[:2]


@pytest.mark.parametrize("flood", [LOW, NORMAL, URGENT])
def test_flood_of_one_class_leaves_the_others_their_floor(flood: model.Urgency) -> None:
    queue = Queue()
    served: collections.Counter[model.Urgency] = collections.Counter()
    for urgency in model.Urgency:
        for number in range(50):
            push(queue, urgency.value, urgency=urgency, caller=f"{number}")
    for _ in range(1000):
        ticket = queue.pop()
        assert ticket is not None
        served[ticket.urgency] += 1
        push(queue, ticket.item, urgency=ticket.urgency)
        push(queue, ticket.item, urgency=flood) if queue.size(flood) < 200 else None
    for urgency, floor in fair.DEFAULT_FLOORS.items():
        assert served[urgency] >= 1000 * floor - 1


def test_most_urgent_class_goes_first_when_no_class_has_credit() -> None:
    queue = Queue()
    push(queue, "low", urgency=LOW)
    push(queue, "normal", urgency=NORMAL)
    push(queue, "urgent", urgency=URGENT)
    assert pop_all(queue) == ["urgent", "normal", "low"]


@pytest.mark.parametrize("small", [LOW, NORMAL])
def test_class_below_its_floor_does_not_wait_for_its_turn(small: model.Urgency) -> None:
    queue = Queue()
    for number in range(300):
        push(queue, "flood", urgency=URGENT, caller=f"{number}")
    for _ in range(100):
        queue.pop()
    push(queue, "small", urgency=small)
    push(queue, "small", urgency=small)
    assert [ticket.item for ticket in (queue.pop(), queue.pop()) if ticket] == ["small", "small"]


def test_slot_time_above_the_estimate_is_charged_to_the_caller() -> None:
    queue = Queue(max_queued=10_000)
    served: collections.Counter[str] = collections.Counter()
    cost_s = {"long": 0.9, "short": 0.1}
    for caller in cost_s:
        for _ in range(300):
            push(queue, caller, caller=caller)
    for _ in range(200):
        ticket = queue.pop()
        assert ticket is not None
        served[ticket.item] += 1
        queue.correct_cost(ticket, cost_s=cost_s[ticket.item])
    assert served["short"] == pytest.approx(9 * served["long"], rel=0.2)


def test_flooding_caller_is_refused_while_others_are_still_accepted() -> None:
    queue = Queue(max_queued=90)
    refused = None
    for number in range(200):
        try:
            push(queue, str(number), caller="large")
        except errors.BronzequayError as exc:
            refused = exc
    assert refused is not None
    assert refused.code is codes.ResultCode.OVER_SHARE
    assert refused.retry_after_s is not None
    assert queue.size(NORMAL) <= 31
    push(queue, "small", caller="small")
    push(queue, "other", org="org-b")


def test_full_class_refuses_requests_and_others_still_accept_them() -> None:
    queue = Queue(max_queued=8)
    for number in range(8):
        push(queue, "x", org=f"org-{number}", urgency=LOW)
    with pytest.raises(errors.BronzequayError) as caught:
        push(queue, "x", org="org-9", urgency=LOW)
    assert caught.value.code is codes.ResultCode.QUEUE_FULL
    push(queue, "y", urgency=URGENT)


def test_removed_request_is_skipped_and_frees_its_place() -> None:
    queue = Queue()
    first = push(queue, "first")
    push(queue, "second")
    queue.remove(first)
    queue.remove(first)
    assert queue.size(NORMAL) == 1
    assert pop_all(queue) == ["second"]


def test_idle_flows_are_evicted() -> None:
    queue = Queue()
    for number in range(20_000):
        push(queue, "x", org=f"org-{number % 300}", caller=f"c{number}")
        queue.pop()
    assert queue.caller_count() < 2 * fair.MAX_IDLE_FLOWS


@settings(max_examples=60, derandomize=True, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["push", "pop", "remove", "settle"]),
            st.sampled_from(list(model.Urgency)),
            st.integers(0, 2),
            st.integers(0, 3),
        ),
        max_size=120,
    )
)
def test_every_accepted_request_leaves_the_queue_exactly_once(
    steps: list[tuple[str, model.Urgency, int, int]],
) -> None:
    queue = Queue(max_queued=20)
    waiting: dict[str, fair.Ticket[str]] = {}
    order: dict[object, list[str]] = collections.defaultdict(list)
    popped: list[fair.Ticket[str]] = []
    for number, (action, urgency, org, caller) in enumerate(steps):
        if action == "push":
            try:
                ticket = push(queue, f"{number}", urgency=urgency, org=f"{org}", caller=f"{caller}")
            except errors.BronzequayError:
                continue
            waiting[ticket.item] = ticket
            order[urgency, org, caller].append(ticket.item)
        elif action == "remove" and waiting:
            item, ticket = sorted(waiting.items())[caller % len(waiting)]
            queue.remove(ticket)
            del waiting[item]
            for items in order.values():
                if item in items:
                    items.remove(item)
        elif action == "settle" and popped:
            queue.correct_cost(popped.pop(), cost_s=float(caller))
        else:
            next_ticket = queue.pop()
            assert (next_ticket is None) == (not waiting)
            if next_ticket is not None:
                del waiting[next_ticket.item]
                popped.append(next_ticket)
                flow = next(flow for flow, items in order.items() if next_ticket.item in items)
                assert order[flow].pop(0) == next_ticket.item
        assert sum(queue.size(urgency) for urgency in model.Urgency) == len(waiting)
    assert sorted(pop_all(queue)) == sorted(waiting)


def test_changed_floors_take_effect_on_the_next_requests() -> None:
    queue: fair.FairQueue[str] = fair.FairQueue()
    queue.set_floors({model.Urgency.LOW: 0.5})
    floors = {urgency: queue._classes[urgency].floor for urgency in model.Urgency}
    assert floors == {
        model.Urgency.LOW: 0.5,
        model.Urgency.NORMAL: 0.0,
        model.Urgency.URGENT: 0.0,
    }
