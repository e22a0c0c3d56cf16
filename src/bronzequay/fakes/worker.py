"""Stand-in for workers: many on one application, each with its own fault switches."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any

import msgspec
import quart
import quart_trio
import trio

from bronzequay import ids
from bronzequay.fakes import worker_bodies
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable, Sequence

LOG_ENTRIES = 10_000


class TaskState(enum.Enum):
    """State of a task on the stand-in."""

    HELD = "held"
    RUNNING = "running"
    OK = "ok"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    UNKNOWN = "unknown"


LIVE = frozenset({TaskState.HELD, TaskState.RUNNING})
OUTCOMES = {"ok": TaskState.OK, "fail": TaskState.FAILED, "lapsed": TaskState.LAPSED}


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Fault switches of one worker."""

    fail_starts: bool = False
    silent: bool = False
    down: bool = False
    delay_s: float = 0.0
    lose_answers: float = 0.0
    leaving: bool = False
    usage_lag_s: float = 0.0


class Task(msgspec.Struct):
    """A task and its progress.

    :param ran_s: run time up to ``running_since_s``
    """

    spec: worker_bodies.Start
    state: TaskState
    lease_until_s: float
    ran_s: float = 0.0
    running_since_s: float | None = None


class Worker(msgspec.Struct):
    """One worker of the stand-in.

    :param lost: share of lost answers not yet due, to spread them evenly
    """

    spec: model.WorkerSpec
    faults: Faults = msgspec.field(default_factory=Faults)
    tasks: dict[ids.TaskId, Task] = msgspec.field(default_factory=dict)
    epochs: dict[str, int] = msgspec.field(default_factory=dict)
    log: list[dict[str, Any]] = msgspec.field(default_factory=list)
    seq: int = 0
    changed: trio.Event = msgspec.field(default_factory=trio.Event)
    lost: float = 0.0


def make_app(workers: Iterable[model.WorkerSpec]) -> quart_trio.QuartTrio:
    """Build the application that hosts the workers under ``/w/{worker}``.

    :param workers: capacity and place of each
    :return: an application for hypercorn or an in-process client
    """
    app = quart_trio.QuartTrio(__name__)
    hosted = {spec.worker: Worker(spec) for spec in workers}
    app.extensions["workers"] = hosted

    def add(path: str, method: str, handler: Callable[[Worker, bytes], Awaitable[Any]]) -> None:
        async def view(worker: str) -> quart.Response:
            return await _answer(hosted, ids.WorkerId(worker), handler)

        app.add_url_rule(
            f"/w/<worker>{path}",
            f"{method} {path}",
            view,
            methods=[method],
            provide_automatic_options=False,
        )

    for path, handler in _CALLS.items():
        add(path, "POST", handler)
    add("/v1/worker", "GET", _describe)
    add("/faults", "PUT", _set_faults)
    add("/log", "GET", _log)
    return app


async def _answer(
    hosted: dict[ids.WorkerId, Worker],
    name: ids.WorkerId,
    handler: Callable[[Worker, bytes], Awaitable[Any]],
) -> quart.Response:
    worker = hosted.get(name)
    if worker is None:
        return _response(404, {"error": "no such worker"})
    body: bytes = await quart.request.get_data(as_text=False)  # type: ignore[assignment]
    is_steering = handler in (_set_faults, _log)
    if worker.faults.silent and not is_steering:
        await trio.sleep_forever()
    if worker.faults.down and not is_steering:
        return _response(503, {"error": "down"})
    await trio.sleep(0.0 if is_steering else worker.faults.delay_s)
    try:
        answer = await handler(worker, body)
    except EpochError as exc:
        return _response(409, {"error": str(exc)})
    except msgspec.DecodeError as exc:
        return _response(400, {"error": str(exc)})
    if not is_steering and (worker.faults.silent or _is_answer_lost(worker)):
        await trio.sleep_forever()
    return _response(200, answer)


def _response(status: int, body: Any) -> quart.Response:
    return quart.Response(msgspec.json.encode(body), status=status, content_type="application/json")


def _is_answer_lost(worker: Worker) -> bool:
    worker.lost += worker.faults.lose_answers
    if worker.lost < 1:
        return False
    worker.lost -= 1
    return True


class EpochError(Exception):
    """A start with an epoch below the highest seen for its job."""


async def _describe(worker: Worker, _body: bytes) -> Any:
    spec = worker.spec
    return {
        "worker": spec.worker,
        "rack": spec.rack,
        "data_centre": spec.data_centre,
        "accelerators": spec.accelerators,
        "cpu": spec.cpu,
        "mem_gb": spec.mem_gb,
        "state": "leaving" if worker.faults.leaving else "live",
    }


async def _set_faults(worker: Worker, body: bytes) -> Any:
    worker.faults = msgspec.json.decode(body, type=Faults)
    return {}


async def _log(worker: Worker, _body: bytes) -> Any:
    _settle(worker)
    return {"log": worker.log}


async def _start(worker: Worker, body: bytes) -> Any:
    starts = msgspec.json.decode(body, type=worker_bodies.Starts).tasks
    _settle(worker)
    for spec in starts:
        job = spec.task.rsplit(".", 2)[0]
        if spec.epoch < worker.epochs.get(job, 0):
            raise EpochError(f"epoch {spec.epoch} of {job} is below {worker.epochs[job]}")
        worker.epochs[job] = spec.epoch
    for spec in starts:
        if spec.task not in worker.tasks:
            _begin(worker, spec)
    _settle(worker)
    return _statuses(worker, [spec.task for spec in starts])


def _begin(worker: Worker, spec: worker_bodies.Start) -> None:
    now_s = trio.current_time()
    task = Task(spec, TaskState.HELD, now_s + spec.ttl_s)
    worker.tasks[spec.task] = task
    _note(worker, now_s, "start", task)
    if worker.faults.fail_starts:
        _set(worker, now_s, task, TaskState.FAILED)
    elif not spec.held:
        _set(worker, now_s, task, TaskState.RUNNING)
    else:
        _bump(worker)


def _set(worker: Worker, at_s: float, task: Task, state: TaskState) -> None:
    if task.running_since_s is not None:
        task.ran_s += at_s - task.running_since_s
    task.state = state
    task.running_since_s = at_s if state is TaskState.RUNNING else None
    _note(worker, at_s, _EVENTS[state], task)
    _bump(worker)


_EVENTS = {
    TaskState.HELD: "throttle",
    TaskState.RUNNING: "release",
    TaskState.OK: "end",
    TaskState.FAILED: "end",
    TaskState.CHECKPOINTED: "checkpoint",
    TaskState.STOPPED: "stop",
    TaskState.LAPSED: "lapse",
}


def _note(worker: Worker, at_s: float, event: str, task: Task) -> None:
    entry = {
        "at_s": at_s,
        "event": event,
        "task": task.spec.task,
        "attempt": task.spec.attempt,
        "epoch": task.spec.epoch,
        "state": task.state.value,
        "ran_s": task.ran_s,
        "resume_s": task.spec.resume_s,
    }
    worker.log.append(entry)
    del worker.log[:-LOG_ENTRIES]


def _bump(worker: Worker) -> None:
    worker.seq += 1
    worker.changed.set()
    worker.changed = trio.Event()


def _settle(worker: Worker) -> None:
    now_s = trio.current_time()
    due = sorted(_due(task) for task in worker.tasks.values() if task.state in LIVE)
    for at_s, name, state in due:
        if at_s > now_s:
            return
        _set(worker, at_s, worker.tasks[ids.TaskId(name)], TaskState(state))


def _due(task: Task) -> tuple[float, str, str]:
    """Return when the task changes by itself, its name and its state after that."""
    lapse = (task.lease_until_s, task.spec.task, TaskState.LAPSED.value)
    payload = task.spec.payload or worker_bodies.Payload()
    if task.running_since_s is None:
        return lapse
    left_s = max(0.0, payload.actual_s - task.spec.resume_s - task.ran_s)
    outcome = OUTCOMES[payload.outcome].value
    end = (task.running_since_s + left_s, task.spec.task, outcome)
    return min(lapse, end)


def _statuses(worker: Worker, names: Sequence[ids.TaskId]) -> Any:
    return {"tasks": [_status(worker, name) for name in names]}


def _status(worker: Worker, name: ids.TaskId) -> dict[str, Any]:
    task = worker.tasks.get(name)
    if task is None:
        return {
            "task": name, "attempt": 0, "state": "unknown",
            "ran_s": 0.0, "cpu_used": 0.0, "mem_gb_used": 0.0,
        }  # fmt: skip
    payload = task.spec.payload or worker_bodies.Payload()
    ran_s = task.ran_s
    if task.running_since_s is not None:
        ran_s += max(0.0, trio.current_time() - task.running_since_s - worker.faults.usage_lag_s)
    return {
        "task": name,
        "attempt": task.spec.attempt,
        "state": task.state.value,
        "ran_s": ran_s,
        "cpu_used": payload.cpu_used if ran_s else 0.0,
        "mem_gb_used": payload.mem_gb_used if ran_s else 0.0,
    }


def _moving(source: TaskState, target: TaskState) -> Callable[[Worker, bytes], Awaitable[Any]]:
    async def handler(worker: Worker, body: bytes) -> Any:
        names = msgspec.json.decode(body, type=worker_bodies.Names).tasks
        _settle(worker)
        for name in names:
            task = worker.tasks.get(name)
            if task is not None and task.state is source:
                _set(worker, trio.current_time(), task, target)
        return _statuses(worker, names)

    return handler


async def _checkpoint(worker: Worker, body: bytes) -> Any:
    names = msgspec.json.decode(body, type=worker_bodies.Names).tasks
    _settle(worker)
    for name in names:
        task = worker.tasks.get(name)
        if task is not None and task.state in LIVE:
            _set(worker, trio.current_time(), task, TaskState.CHECKPOINTED)
    return _statuses(worker, names)


async def _stop(worker: Worker, body: bytes) -> Any:
    names = msgspec.json.decode(body, type=worker_bodies.Names).tasks
    _settle(worker)
    for name in names:
        task = worker.tasks.get(name)
        if task is None:
            attempt = int(name.split(".")[-2]) if name.count(".") > 1 else 0
            bar = Task(
                worker_bodies.Start(name, attempt, ids.Epoch(0), 0.0), TaskState.UNKNOWN, 0.0
            )
            worker.tasks[name] = bar
        elif task.state in LIVE:
            _set(worker, trio.current_time(), task, TaskState.STOPPED)
    return _statuses(worker, names)


async def _renew(worker: Worker, body: bytes) -> Any:
    call = msgspec.json.decode(body, type=worker_bodies.Renew)
    _settle(worker)
    for name in call.tasks:
        task = worker.tasks.get(name)
        if task is not None and task.state in LIVE:
            task.lease_until_s = trio.current_time() + call.ttl_s
    until_s = trio.current_time() + call.wait_s
    while worker.seq <= call.seen and trio.current_time() < until_s:
        await _wait_for_change(worker, until_s)
    names = [name for name, task in worker.tasks.items() if task.state is not TaskState.UNKNOWN]
    return {"seq": worker.seq, **_statuses(worker, names)}


async def _wait_for_change(worker: Worker, until_s: float) -> None:
    due = [_due(task)[0] for task in worker.tasks.values() if task.state in LIVE]
    with trio.move_on_at(min([until_s, *due])):
        await worker.changed.wait()
    _settle(worker)


_CALLS: dict[str, Callable[[Worker, bytes], Awaitable[Any]]] = {
    "/v1/tasks": _start,
    "/v1/tasks/release": _moving(TaskState.HELD, TaskState.RUNNING),
    "/v1/tasks/throttle": _moving(TaskState.RUNNING, TaskState.HELD),
    "/v1/tasks/checkpoint": _checkpoint,
    "/v1/tasks/stop": _stop,
    "/v1/renew": _renew,
}

__all__ = ["Faults", "Task", "TaskState", "Worker", "make_app"]
