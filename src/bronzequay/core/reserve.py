"""Room that steps wait for: other work that would still be in it keeps out."""

from __future__ import annotations

from typing import TYPE_CHECKING

from bronzequay.core import model, place
from bronzequay.core import state as states

if TYPE_CHECKING:
    from bronzequay import ids
    from bronzequay.core.state import State, StepRun, Task, Worker

SOON_S = 0.7
"""Work that ends within this time is awaited; a stop takes up to 0.9 s."""
OVERRUN_S = 0.3
"""Time after its expected end for which a run still counts as about to end; a listing of its
progress comes each second."""
STOP_S = 0.9
"""Longest time that a stop takes."""
REPLAN_S = 1.0
"""Time after which awaited room is looked for anew."""


class Claim:
    """Room that a step waits for.

    :ivar slots: tasks of the step by worker
    :ivar from_s: when the room is expected to be free
    :ivar until_s: when the claim is made anew
    :ivar is_freed: whether others were stopped for it
    :ivar is_certain: whether it counts on stops alone, not on ends that are expected
    """

    def __init__(
        self,
        slots: dict[ids.WorkerId, int],
        *,
        from_s: float,
        until_s: float,
        is_freed: bool,
        is_certain: bool = False,
    ) -> None:
        self.slots = slots
        self.from_s = from_s
        self.until_s = until_s
        self.is_freed = is_freed
        self.is_certain = is_certain


def is_valid(state: State, step: StepRun, view: place.View, claim: Claim) -> bool:
    """Return whether a step may go on waiting for a claim's room."""
    if state.now_s > claim.until_s:
        return False
    usable = view.usable(step)
    if not all(state.workers.get(name) in usable for name in claim.slots):
        return False
    need = states.need_of(step.spec)
    return not claim.is_freed or all(
        room_soon(state, state.workers[name], is_certain=claim.is_certain).fits(need, count)
        >= count
        for name, count in claim.slots.items()
    )


def room_soon(state: State, worker: Worker, *, is_certain: bool) -> place.Room:
    """Return the room of a worker once what is ending has ended.

    :param is_certain: whether only what is being stopped counts as ending
    """
    room = place.Room(worker.cpu, worker.mem_mb, worker.gpu)
    for task in worker.tasks.values():
        step = state.step_of(task.key)
        if step is not None and is_ending(state, step, task, is_certain=is_certain):
            room.add(states.need_of(step.spec))
    return room


def is_ending(state: State, step: StepRun, task: Task, *, is_certain: bool) -> bool:
    """Return whether a task is being stopped or ends about as fast by itself.

    :param is_certain: whether the second does not count
    """
    if task.phase is model.Phase.STOPPING:
        return True
    if is_certain or task.phase is not model.Phase.RUNNING or step.spec.is_endless:
        return False
    if states.speed(task) is None:
        return False
    return -OVERRUN_S < states.rest_s(step, task, state.now_s) < SOON_S


def await_room(state: State, step: StepRun, view: place.View) -> Claim | None:
    """Find where a gang has room first as running work ends.

    :return: the room, None when no place is large enough
    """
    if len(step.waiting) < step.spec.count:
        return None
    best: Claim | None = None
    for group in view.groups(step):
        found = _first_room(state, step, group, view)
        if found is not None and (best is None or found.from_s < best.from_s):
            best = found
    return best


def _first_room(state: State, step: StepRun, group: list[Worker], view: place.View) -> Claim | None:
    need = states.need_of(step.spec)
    rooms = {worker.spec.worker: view.room(worker, float("inf")) for worker in group}
    most = {worker.spec.worker: place.most_on(worker, step) for worker in group}
    fits = {name: room.fits(need, most[name]) for name, room in rooms.items()}
    total = sum(fits.values())
    now_s = from_s = state.now_s
    for wait_s, name, freed in sorted(_ends(state, group), key=lambda end: end[0]):
        if total >= step.spec.count:
            break
        rooms[name].add(freed)
        total -= fits[name]
        fits[name] = rooms[name].fits(need, most[name])
        total += fits[name]
        from_s = now_s + wait_s
    if total < step.spec.count:
        return None
    slots: dict[ids.WorkerId, int] = {}
    left = step.spec.count
    for name, count in fits.items():
        if count and left:
            slots[name] = min(count, left)
            left -= slots[name]
    return Claim(slots, from_s=from_s, until_s=now_s + REPLAN_S, is_freed=False)


def _ends(state: State, group: list[Worker]) -> list[tuple[float, ids.WorkerId, model.Resources]]:
    """Return when tasks on some workers are expected to end, and what that frees."""
    found = []
    for worker in group:
        for task in worker.tasks.values():
            step = state.step_of(task.key)
            if step is None or step.spec.is_endless:
                continue
            rest_s = states.rest_s(step, task, state.now_s)
            wait_s = STOP_S if task.phase is model.Phase.STOPPING else max(0.0, rest_s)
            found.append((wait_s, worker.spec.worker, states.need_of(step.spec)))
    return found


__all__ = ["Claim", "await_room", "is_ending", "is_valid", "room_soon"]
