"""Stand-in for workers: many in one application, each with its own fault switches."""

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


LIVE_STATES = frozenset({TaskState.HELD, TaskState.RUNNING})
OUTCOMES = {"ok": TaskState.OK, "fail": TaskState.FAILED, "lapsed": TaskState.LAPSED}


class Faults(msgspec.Struct, forbid_unknown_fields=True):
    """Fault switches of one worker.

    :param fail_starts: whether tasks fail as soon as they start
    :param silent: whether calls are neither carried out nor answered; a call in progress is still
        carried out
    :param down: whether every call is answered with 503
    :param delay_s: delay before each call is carried out, in seconds
    :param lose_answers: share of calls that are carried out and not answered
    :param leaving: whether it reports that it leaves
    :param usage_lag_s: time by which the reported run time of running tasks lags, in seconds
    """

    fail_starts: bool = False
    silent: bool = False
    down: bool = False
    delay_s: float = 0.0
    lose_answers: float = 0.0
    leaving: bool = False
    usage_lag_s: float = 0.0


class Task(msgspec.Struct):
    """A task and its progress.

    :param lease_until_s: time at which its lease expires
    :param ran_s: run time before ``running_since_s``
    :param running_since_s: time at which it last began to run, None while it does not run
    """

    spec: worker_bodies.Start
    state: TaskState
    lease_until_s: float
    ran_s: float = 0.0
    running_since_s: float | None = None


class Worker(msgspec.Struct):
    """A worker of the stand-in.

    :param epochs: highest epoch seen, by job
    :param log: changes of tasks, oldest first
    :param seq: number of changes so far
    :param pending_loss: sum of ``lose_answers`` that has not yet cost an answer; spreads the lost
        answers evenly
    """

    spec: model.WorkerSpec
    faults: Faults = msgspec.field(default_factory=Faults)
    tasks: dict[ids.TaskId, Task] = msgspec.field(default_factory=dict)
    epochs: dict[str, int] = msgspec.field(default_factory=dict)
    log: list[dict[str, Any]] = msgspec.field(default_factory=list)
    seq: int = 0
    changed: trio.Event = msgspec.field(default_factory=trio.Event)
    pending_loss: float = 0.0


def make_app(workers: Iterable[model.WorkerSpec]) -> quart_trio.QuartTrio:
    """Build the application that hosts the workers under ``/w/{worker}``.

    :param workers: capacity and place of each worker
    :return: an ASGI application for hypercorn or an in-process client
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

    for path, handler in _HANDLERS.items():
        add(path, "POST", handler)
    add("/v1/worker", "GET", _describe_worker)
    add("/faults", "PUT", _set_faults)
    add("/log", "GET", _show_log)
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
    is_control_call = handler in (_set_faults, _show_log)
    if worker.faults.silent and not is_control_call:
        await trio.sleep_forever()
    if worker.faults.down and not is_control_call:
        return _response(503, {"error": "down"})
    await trio.sleep(0.0 if is_control_call else worker.faults.delay_s)
    try:
        answer = await handler(worker, body)
    except EpochError as exc:
        return _response(409, {"error": str(exc)})
    except msgspec.DecodeError as exc:
        return _response(400, {"error": str(exc)})
    if not is_control_call and (worker.faults.silent or _is_answer_lost(worker)):
        await trio.sleep_forever()
    return _response(200, answer)


def _response(status: int, body: Any) -> quart.Response:
    return quart.Response(msgspec.json.encode(body), status=status, content_type="application/json")


def _is_answer_lost(worker: Worker) -> bool:
    worker.pending_loss += worker.faults.lose_answers
    if worker.pending_loss < 1:
        return False
    worker.pending_loss -= 1
    return True


class EpochError(Exception):
    """A start's epoch is below the highest epoch seen for its job."""


async def _describe_worker(worker: Worker, _body: bytes) -> Any:
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


async def _show_log(worker: Worker, _body: bytes) -> Any:
    _apply_due_changes(worker)
    return {"log": worker.log}


async def _start(worker: Worker, body: bytes) -> Any:
    starts = msgspec.json.decode(body, type=worker_bodies.Starts).tasks
    _apply_due_changes(worker)
    for spec in starts:
        job = spec.task.rsplit(".", 2)[0]
        if spec.epoch < worker.epochs.get(job, 0):
            raise EpochError(f"epoch {spec.epoch} of {job} is below {worker.epochs[job]}")
        worker.epochs[job] = spec.epoch
    for spec in starts:
        if spec.task not in worker.tasks:
            _add_task(worker, spec)
    _apply_due_changes(worker)
    return _describe_tasks(worker, [spec.task for spec in starts])


def _add_task(worker: Worker, spec: worker_bodies.Start) -> None:
    now_s = trio.current_time()
    task = Task(spec, TaskState.HELD, now_s + spec.ttl_s)
    worker.tasks[spec.task] = task
    _log_event(worker, now_s, "start", task)
    if worker.faults.fail_starts:
        _set_state(worker, now_s, task, TaskState.FAILED)
    elif not spec.held:
        _set_state(worker, now_s, task, TaskState.RUNNING)
    else:
        _signal_change(worker)


def _set_state(worker: Worker, at_s: float, task: Task, state: TaskState) -> None:
    if task.running_since_s is not None:
        task.ran_s += at_s - task.running_since_s
    task.state = state
    task.running_since_s = at_s if state is TaskState.RUNNING else None
    _log_event(worker, at_s, _LOG_EVENTS[state], task)
    _signal_change(worker)


_LOG_EVENTS = {
    TaskState.HELD: "throttle",
    TaskState.RUNNING: "release",
    TaskState.OK: "end",
    TaskState.FAILED: "end",
    TaskState.CHECKPOINTED: "checkpoint",
    TaskState.STOPPED: "stop",
    TaskState.LAPSED: "lapse",
}


def _log_event(worker: Worker, at_s: float, event: str, task: Task) -> None:
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


def _signal_change(worker: Worker) -> None:
    worker.seq += 1
    worker.changed.set()
    worker.changed = trio.Event()


def _apply_due_changes(worker: Worker) -> None:
    now_s = trio.current_time()
    due = sorted(_next_change(task) for task in worker.tasks.values() if task.state in LIVE_STATES)
    for at_s, name, state in due:
        if at_s > now_s:
            return
        _set_state(worker, at_s, worker.tasks[ids.TaskId(name)], TaskState(state))


def _next_change(task: Task) -> tuple[float, str, str]:
    """Return the time of a task's next change that needs no call, its name and its new state."""
    lapse = (task.lease_until_s, task.spec.task, TaskState.LAPSED.value)
    payload = task.spec.payload or worker_bodies.Payload()
    if task.running_since_s is None:
        return lapse
    remaining_s = max(0.0, payload.actual_s - task.spec.resume_s - task.ran_s)
    outcome = OUTCOMES[payload.outcome].value
    end = (task.running_since_s + remaining_s, task.spec.task, outcome)
    return min(lapse, end)


def _describe_tasks(worker: Worker, names: Sequence[ids.TaskId]) -> Any:
    return {"tasks": [_describe_task(worker, name) for name in names]}


def _describe_task(worker: Worker, name: ids.TaskId) -> dict[str, Any]:
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


def _make_transition(
    source: TaskState, target: TaskState
) -> Callable[[Worker, bytes], Awaitable[Any]]:
    async def handler(worker: Worker, body: bytes) -> Any:
        names = msgspec.json.decode(body, type=worker_bodies.Names).tasks
        _apply_due_changes(worker)
        for name in names:
            task = worker.tasks.get(name)
            if task is not None and task.state is source:
                _set_state(worker, trio.current_time(), task, target)
        return _describe_tasks(worker, names)

    return handler


async def _checkpoint(worker: Worker, body: bytes) -> Any:
    names = msgspec.json.decode(body, type=worker_bodies.Names).tasks
    _apply_due_changes(worker)
    for name in names:
        task = worker.tasks.get(name)
        if task is not None and task.state in LIVE_STATES:
            _set_state(worker, trio.current_time(), task, TaskState.CHECKPOINTED)
    return _describe_tasks(worker, names)


async def _stop(worker: Worker, body: bytes) -> Any:
    names = msgspec.json.decode(body, type=worker_bodies.Names).tasks
    _apply_due_changes(worker)
    for name in names:
        task = worker.tasks.get(name)
        if task is None:
            attempt = int(name.split(".")[-2]) if name.count(".") > 1 else 0
            # A start that arrives after its stop must not run.
            tombstone = Task(
                worker_bodies.Start(name, attempt, ids.Epoch(0), 0.0), TaskState.UNKNOWN, 0.0
            )
            worker.tasks[name] = tombstone
        elif task.state in LIVE_STATES:
            _set_state(worker, trio.current_time(), task, TaskState.STOPPED)
    return _describe_tasks(worker, names)


async def _renew(worker: Worker, body: bytes) -> Any:
    renewal = msgspec.json.decode(body, type=worker_bodies.Renew)
    _apply_due_changes(worker)
    for name in renewal.tasks:
        task = worker.tasks.get(name)
        if task is not None and task.state in LIVE_STATES:
            task.lease_until_s = trio.current_time() + renewal.ttl_s
    until_s = trio.current_time() + renewal.wait_s
    while worker.seq <= renewal.seen and trio.current_time() < until_s:
        await _wait_for_change(worker, until_s)
    names = [name for name, task in worker.tasks.items() if task.state is not TaskState.UNKNOWN]
    return {"seq": worker.seq, **_describe_tasks(worker, names)}


async def _wait_for_change(worker: Worker, until_s: float) -> None:
    due = [_next_change(task)[0] for task in worker.tasks.values() if task.state in LIVE_STATES]
    with trio.move_on_at(min([until_s, *due])):
        await worker.changed.wait()
    _apply_due_changes(worker)


_HANDLERS: dict[str, Callable[[Worker, bytes], Awaitable[Any]]] = {
    "/v1/tasks": _start,
    "/v1/tasks/release": _make_transition(TaskState.HELD, TaskState.RUNNING),
    "/v1/tasks/throttle": _make_transition(TaskState.RUNNING, TaskState.HELD),
    "/v1/tasks/checkpoint": _checkpoint,
    "/v1/tasks/stop": _stop,
    "/v1/renew": _renew,
}

__all__ = ["Faults", "Task", "TaskState", "Worker", "make_app"]
