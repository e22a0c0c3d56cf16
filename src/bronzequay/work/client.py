"""HTTP client of the workers."""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, Any, TypeVar

import httpx
import msgspec
import trio

from bronzequay import codes, errors, ids
from bronzequay.policy import model

if TYPE_CHECKING:
    from collections.abc import Sequence

CALL_TIMEOUT_S = 2.0
HTTP_OK = 200
HTTP_CONFLICT = 409
HTTP_SERVER_ERROR = 500

T = TypeVar("T")


class TaskState(enum.Enum):
    """State of a task as reported by its worker."""

    HELD = "held"
    RUNNING = "running"
    OK = "ok"
    FAILED = "failed"
    CHECKPOINTED = "checkpointed"
    STOPPED = "stopped"
    LAPSED = "lapsed"
    UNKNOWN = "unknown"


LIVE_STATES = frozenset({TaskState.HELD, TaskState.RUNNING})


class Start(msgspec.Struct, frozen=True):
    """One task to start.

    :param task: id of the task
    :param attempt: number of the attempt
    :param epoch: epoch of the scheduler that starts the task
    :param devices: indexes of the worker's accelerators
    :param ttl_s: duration of the task's lease; the worker stops the task when it expires
    :param held: whether the task starts fully throttled and waits for its release
    :param resume_s: run time that checkpoints of earlier attempts cover
    :param payload: JSON that is passed to the worker unchanged
    """

    task: ids.TaskId
    attempt: int
    epoch: ids.Epoch
    devices: tuple[int, ...]
    accelerators: int
    cpu: int
    mem_gb: int
    ttl_s: float
    held: bool
    resume_s: float
    payload: msgspec.Raw = msgspec.Raw(b"{}")


class Status(msgspec.Struct, frozen=True):
    """Status of a task as reported by its worker; the usage figures lag behind."""

    task: ids.TaskId
    attempt: int
    state: TaskState
    ran_s: float = 0.0
    cpu_used: float = 0.0
    mem_gb_used: float = 0.0


class Statuses(msgspec.Struct, frozen=True):
    """Answer to a call on a list of tasks."""

    tasks: tuple[Status, ...]


class Renewal(msgspec.Struct, frozen=True):
    """Answer to a renewal.

    :param seq: sequence number of the worker's last change
    :param tasks: status of every task on the worker
    """

    seq: int
    tasks: tuple[Status, ...]


class Description(msgspec.Struct, frozen=True):
    """Capacity, location and state of a worker."""

    worker: ids.WorkerId
    rack: ids.RackId
    data_centre: ids.DataCentreId
    accelerators: int
    cpu: int
    mem_gb: int
    state: str

    @property
    def is_leaving(self) -> bool:
        """Return whether the worker accepts no new tasks."""
        return self.state == "leaving"

    def spec(self) -> model.WorkerSpec:
        """Return the capacity and location, without the state, for placement."""
        return model.WorkerSpec(
            worker=self.worker,
            rack=self.rack,
            data_centre=self.data_centre,
            accelerators=self.accelerators,
            cpu=self.cpu,
            mem_gb=self.mem_gb,
        )


class WorkerClient:
    """Calls workers, which are addressed by their base URL.

    :param http: HTTP client with the shared connection pool
    :param timeout_s: time after which the outcome of a call counts as unknown
    """

    def __init__(self, *, http: httpx.AsyncClient, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self._http = http
        self._timeout_s = timeout_s

    async def describe(self, address: str) -> Description:
        """Return the worker's capacity, location and state."""
        return await self._call("GET", address, "/v1/worker", None, Description)

    async def start(self, address: str, tasks: Sequence[Start]) -> tuple[Status, ...]:
        """Start tasks; a task that already exists on the worker is left unchanged."""
        return await self._call_on_tasks("/v1/tasks", address, tasks)

    async def release(self, address: str, tasks: Sequence[ids.TaskId]) -> tuple[Status, ...]:
        """Release held tasks, which then run."""
        return await self._call_on_tasks("/v1/tasks/release", address, tasks)

    async def throttle(self, address: str, tasks: Sequence[ids.TaskId]) -> tuple[Status, ...]:
        """Hold running tasks until they are released again."""
        return await self._call_on_tasks("/v1/tasks/throttle", address, tasks)

    async def checkpoint(self, address: str, tasks: Sequence[ids.TaskId]) -> tuple[Status, ...]:
        """Checkpoint tasks and stop them."""
        return await self._call_on_tasks("/v1/tasks/checkpoint", address, tasks)

    async def stop(self, address: str, tasks: Sequence[ids.TaskId]) -> tuple[Status, ...]:
        """Stop tasks; a task id unknown to the worker can never be started there afterwards."""
        return await self._call_on_tasks("/v1/tasks/stop", address, tasks)

    async def renew(
        self,
        address: str,
        tasks: Sequence[ids.TaskId],
        *,
        ttl_s: float,
        wait_s: float = 0.0,
        seen_seq: int = 0,
    ) -> Renewal:
        """Renew the leases of tasks and return the status of every task on the worker.

        :param address: base URL of the worker
        :param tasks: tasks whose leases are renewed; empty to query only
        :param ttl_s: new duration of the leases
        :param wait_s: how long the worker may delay the answer while nothing changes
        :param seen_seq: sequence number of the last change that the caller knows
        :return: the worker's sequence number and tasks
        :raises errors.BronzequayError: WORKER_UNREACHABLE if the outcome is unknown
        """
        body = {"ttl_s": ttl_s, "tasks": tasks, "wait_s": wait_s, "seen": seen_seq}
        return await self._call("POST", address, "/v1/renew", body, Renewal, wait_s=wait_s)

    async def _call_on_tasks(
        self, path: str, address: str, tasks: Sequence[Any]
    ) -> tuple[Status, ...]:
        reply = await self._call("POST", address, path, {"tasks": tasks}, Statuses)
        return reply.tasks

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        body: Any,
        reply_type: type[T],
        *,
        wait_s: float = 0.0,
    ) -> T:
        content = None if body is None else msgspec.json.encode(body)
        with trio.move_on_after(self._timeout_s + wait_s):
            return _decode(await self._send(method, address + path, content), reply_type)
        raise _unreachable(address, f"no answer within {self._timeout_s + wait_s:g} s")

    async def _send(self, method: str, url: str, content: bytes | None) -> httpx.Response:
        headers = {"content-type": "application/json"}
        try:
            return await self._http.request(
                method, url, content=content, headers=headers, timeout=None
            )
        except (httpx.HTTPError, httpx.InvalidURL, OSError) as exc:
            raise _unreachable(url, type(exc).__name__) from exc


def _decode(resp: httpx.Response, reply_type: type[T]) -> T:
    url = str(resp.request.url)
    if resp.status_code >= HTTP_SERVER_ERROR:
        raise _unreachable(url, f"status {resp.status_code}")
    if resp.status_code == HTTP_CONFLICT:
        raise errors.BronzequayError(
            codes.ResultCode.FENCED, f"request refused by {url}: {resp.text}"
        )
    if resp.status_code != HTTP_OK:
        message = f"request refused by {url} with status {resp.status_code}"
        raise errors.BronzequayError(codes.ResultCode.EXECUTOR_FAILED, message)
    try:
        return msgspec.json.decode(resp.content, type=reply_type)
    except msgspec.DecodeError as exc:
        raise _unreachable(url, "malformed answer") from exc


def _unreachable(target: str, reason: str) -> errors.BronzequayError:
    message = f"outcome unknown at {target}: {reason}"
    return errors.BronzequayError(codes.ResultCode.WORKER_UNREACHABLE, message)


def is_unreachable(exc: errors.BronzequayError) -> bool:
    """Return whether the outcome of the failed call is unknown."""
    return exc.code is codes.ResultCode.WORKER_UNREACHABLE


__all__ = [
    "CALL_TIMEOUT_S",
    "LIVE_STATES",
    "Description",
    "Renewal",
    "Start",
    "Status",
    "Statuses",
    "TaskState",
    "WorkerClient",
    "is_unreachable",
]
