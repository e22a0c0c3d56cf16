"""Adapter for the worker's protocol."""

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
    """State of a task as its worker reports it."""

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

    :param devices: indexes of the worker's accelerators
    :param ttl_s: lease of the task; the worker stops it when the lease runs out
    :param held: start throttled to nothing, to be released later
    :param resume_s: run time that checkpoints of earlier attempts have kept
    :param payload: passed to the worker as it is
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
    """A task as its worker reports it; usage lags."""

    task: ids.TaskId
    attempt: int
    state: TaskState
    ran_s: float = 0.0
    cpu_used: float = 0.0
    mem_gb_used: float = 0.0


class Statuses(msgspec.Struct, frozen=True):
    """Answer to a call that names tasks."""

    tasks: tuple[Status, ...]


class Renewal(msgspec.Struct, frozen=True):
    """Answer to a renewal: every task on the worker.

    :param seq: sequence number of the worker's last change
    """

    seq: int
    tasks: tuple[Status, ...]


class Description(msgspec.Struct, frozen=True):
    """Capacity, place and state of a worker."""

    worker: ids.WorkerId
    rack: ids.RackId
    data_centre: ids.DataCentreId
    accelerators: int
    cpu: int
    mem_gb: int
    state: str

    @property
    def is_leaving(self) -> bool:
        """Return whether the worker takes no new work."""
        return self.state == "leaving"

    def spec(self) -> model.WorkerSpec:
        """Return the part that placement depends on."""
        return model.WorkerSpec(
            worker=self.worker,
            rack=self.rack,
            data_centre=self.data_centre,
            accelerators=self.accelerators,
            cpu=self.cpu,
            mem_gb=self.mem_gb,
        )


class WorkerClient:
    """Typed calls to workers, addressed by base URL.

    :param http: shared connection pool
    :param timeout_s: time after which a call's outcome counts as unknown
    """

    def __init__(self, *, http: httpx.AsyncClient, timeout_s: float = CALL_TIMEOUT_S) -> None:
        self._http = http
        self._timeout_s = timeout_s

    async def describe(self, address: str) -> Description:
        """Ask for the worker's capacity, place and state."""
        return await self._call("GET", address, "/v1/worker", None, Description)

    async def start(self, address: str, tasks: Sequence[Start]) -> tuple[Status, ...]:
        """Start tasks; a task that is already there is left as it is."""
        return await self._name("/v1/tasks", address, tasks)

    async def release(self, address: str, tasks: Sequence[ids.TaskId]) -> tuple[Status, ...]:
        """Let held tasks run."""
        return await self._name("/v1/tasks/release", address, tasks)

    async def throttle(self, address: str, tasks: Sequence[ids.TaskId]) -> tuple[Status, ...]:
        """Hold running tasks."""
        return await self._name("/v1/tasks/throttle", address, tasks)

    async def checkpoint(self, address: str, tasks: Sequence[ids.TaskId]) -> tuple[Status, ...]:
        """Keep the progress of tasks and stop them."""
        return await self._name("/v1/tasks/checkpoint", address, tasks)

    async def stop(self, address: str, tasks: Sequence[ids.TaskId]) -> tuple[Status, ...]:
        """Stop tasks; an id the worker has not seen can never be started afterwards."""
        return await self._name("/v1/tasks/stop", address, tasks)

    async def renew(
        self,
        address: str,
        tasks: Sequence[ids.TaskId],
        *,
        ttl_s: float,
        wait_s: float = 0.0,
        seen: int = 0,
    ) -> Renewal:
        """Renew the leases of the named tasks and list every task on the worker.

        :param address: base URL of the worker
        :param tasks: tasks whose leases are renewed, none to only ask
        :param ttl_s: new length of the leases
        :param wait_s: how long the worker may wait for a change
        :param seen: sequence number up to which changes are known
        :return: the worker's sequence number and tasks
        :raises errors.BronzequayError: WORKER_UNREACHABLE when the outcome is unknown
        """
        body = {"ttl_s": ttl_s, "tasks": tasks, "wait_s": wait_s, "seen": seen}
        return await self._call("POST", address, "/v1/renew", body, Renewal, wait_s=wait_s)

    async def _name(self, path: str, address: str, tasks: Sequence[Any]) -> tuple[Status, ...]:
        answer = await self._call("POST", address, path, {"tasks": tasks}, Statuses)
        return answer.tasks

    async def _call(
        self,
        method: str,
        address: str,
        path: str,
        body: Any,
        answer: type[T],
        *,
        wait_s: float = 0.0,
    ) -> T:
        content = None if body is None else msgspec.json.encode(body)
        with trio.move_on_after(self._timeout_s + wait_s):
            return _decode(await self._send(method, address + path, content), answer)
        raise _unreachable(address, f"no answer in {self._timeout_s + wait_s:g} s")

    async def _send(self, method: str, url: str, content: bytes | None) -> httpx.Response:
        headers = {"content-type": "application/json"}
        try:
            return await self._http.request(
                method, url, content=content, headers=headers, timeout=None
            )
        except (httpx.HTTPError, httpx.InvalidURL, OSError) as exc:
            raise _unreachable(url, type(exc).__name__) from exc


def _decode(resp: httpx.Response, answer: type[T]) -> T:
    url = str(resp.request.url)
    if resp.status_code >= HTTP_SERVER_ERROR:
        raise _unreachable(url, f"status {resp.status_code}")
    if resp.status_code == HTTP_CONFLICT:
        raise errors.BronzequayError(codes.ResultCode.FENCED, f"refused by {url}: {resp.text}")
    if resp.status_code != HTTP_OK:
        message = f"refused by {url} with status {resp.status_code}"
        raise errors.BronzequayError(codes.ResultCode.EXECUTOR_FAILED, message)
    try:
        return msgspec.json.decode(resp.content, type=answer)
    except msgspec.DecodeError as exc:
        raise _unreachable(url, "malformed answer") from exc


def _unreachable(place: str, reason: str) -> errors.BronzequayError:
    message = f"outcome unknown at {place}: {reason}"
    return errors.BronzequayError(codes.ResultCode.WORKER_UNREACHABLE, message)


def is_unreachable(exc: errors.BronzequayError) -> bool:
    """Return whether the error leaves the outcome of the call unknown."""
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
