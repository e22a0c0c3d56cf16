"""Client that sends orders to executors, and the decoding of their answers."""

from __future__ import annotations

import enum
import re
from typing import TYPE_CHECKING, Any

import msgspec

from bronzequay import codec, figures, ids
from bronzequay.core import model
from bronzequay.net import client

if TYPE_CHECKING:
    from collections.abc import Mapping

_TASK_NAME = re.compile(r"([^.]+)\.([0-9]{1,15})\.([0-9]{1,15})\.([0-9]{1,15})")
ENDS_BY_NAME = {end.value: end for end in model.End if end.value not in ("never_ran", "lost")}
"""Ends that a worker reports; the scheduler itself concludes that a run never ran or was lost."""


class Outcome(enum.Enum):
    """Known outcome of an order, with or without an answer."""

    OK = "ok"
    STALE_EPOCH = "stale_epoch"
    STALE_RUN = "stale_run"
    LATE = "late"
    NO_ROOM = "no_room"
    NO_TICKET = "no_ticket"
    OTHER_INCARNATION = "other_life"
    REFUSED = "refused"
    INVALID = "invalid"
    NO_LISTENER = "no_listener"
    NOT_SENT = "not_sent"
    UNKNOWN = "unknown"


WITHOUT_EFFECT = frozenset(
    {
        Outcome.NOT_SENT,
        Outcome.NO_LISTENER,
        Outcome.OTHER_INCARNATION,
        Outcome.STALE_EPOCH,
        Outcome.REFUSED,
    }
)
"""Outcomes of a renewal that has certainly not extended the leases."""
_OUTCOMES_BY_REASON = {
    "fence": Outcome.STALE_EPOCH,
    "old": Outcome.STALE_RUN,
    "late": Outcome.LATE,
    "room": Outcome.NO_ROOM,
    "ticket": Outcome.NO_TICKET,
}
_OUTCOMES_BY_STATUS = {
    200: Outcome.OK,
    400: Outcome.INVALID,
    421: Outcome.OTHER_INCARNATION,
    429: Outcome.REFUSED,
    503: Outcome.REFUSED,
}


class ActiveRun(msgspec.Struct, frozen=True):
    """A run that a worker lists as running.

    :param run: number of the task's run
    :param percent: share of the work that is done, 100 for a serving task at work
    :param load: of a serving task the tail of its response times, in ms; of any other task the CPU
        that it uses
    """

    key: model.TaskKey
    run: int
    checkpoint: str
    percent: float
    load: float


class EndedRun(msgspec.Struct, frozen=True):
    """A run that a worker lists as ended.

    :param number: sequence number of the end, rising within an incarnation
    :param run: number of the task's run
    """

    number: int
    key: model.TaskKey
    run: int
    end: model.End
    checkpoint: str


class Listing(msgspec.Struct, frozen=True):
    """A worker's list of its runs.

    :param clock_ms: the worker's clock
    :param started_ms: start time of the answering incarnation
    """

    clock_ms: float
    started_ms: int
    running: tuple[ActiveRun, ...]
    ended: tuple[EndedRun, ...]

    def tasks(self) -> set[model.TaskKey]:
        """Return the tasks of which it shows a run."""
        return {run.key for run in self.running} | {run.key for run in self.ended}


class Reply(msgspec.Struct, frozen=True):
    """Outcome of an order.

    :param clock_ms: the worker's clock, None without a body
    :param listing: the worker's runs, only after ``hold``
    """

    outcome: Outcome
    clock_ms: float | None = None
    listing: Listing | None = None


class _RunningRow(msgspec.Struct, array_like=True):
    task: str
    run: codec.Count
    saved: str | None
    percent: codec.Amount
    load: codec.Amount = 0.0


class _EndedRow(msgspec.Struct, array_like=True):
    number: codec.Count
    task: str
    run: codec.Count
    how: str
    saved: str | None


class _Answer(msgspec.Struct, rename="camel"):
    clock_ms: codec.Amount | None = None
    reason: str = ""
    born: codec.Count | None = None
    running: list[_RunningRow] = []
    ended: list[_EndedRow] = []


def task_name(key: model.TaskKey) -> str:
    """Encode a task's name."""
    return f"{key.job}.{key.occurrence}.{key.step}.{key.number}"


def step_name(key: model.StepKey) -> str:
    """Encode a step's name."""
    return f"{key.job}.{key.occurrence}.{key.step}"


def decode_task(name: str) -> model.TaskKey:
    """Decode a task's name.

    :raises ValueError: when the name is malformed
    """
    match = _TASK_NAME.fullmatch(name)
    if match is None:
        raise ValueError(f"{name!r} is not the name of a task")
    job, *numbers = match.groups()
    return model.TaskKey(ids.JobId(job), *map(int, numbers))


class OrderClient:
    """Client that sends one executor the orders of one epoch.

    :param executor: its id
    :param address: ``IP:PORT``
    :param epoch: fencing token of the scheduler's term; an executor that has seen a later one
        refuses the orders
    """

    def __init__(self, executor: ids.ExecutorId, address: str, epoch: ids.Epoch) -> None:
        self._http = client.Client(address, max_response_bytes=client.MAX_SHORT_RESPONSE_BYTES)
        self._epoch = epoch
        self._headers = {"Expect-Instance": executor}

    async def start(
        self,
        command: model.Start,
        *,
        payload: str,
        deadline_ms: float,
        timeout_s: float,
    ) -> Reply:
        """Start a run.

        :param deadline_ms: end of the lease, on the worker's clock
        """
        body: dict[str, Any] = {
            "task": task_name(command.key),
            "run": command.run,
            "spec": payload,
            "deadlineMs": round(deadline_ms),
            "fencingToken": self._epoch,
        }
        if command.checkpoint:
            body["checkpointed"] = command.checkpoint
        if command.ticket:
            body["ticket"] = command.ticket
        return await self._order("/run-start", body, timeout_s)

    async def stop(self, command: model.Stop, *, timeout_s: float) -> Reply:
        """Stop a run, and prevent it from starting if it has not started yet."""
        body = {
            "task": task_name(command.key),
            "run": command.run,
            "fencingToken": self._epoch,
        }
        return await self._order("/run-stop", body, timeout_s)

    async def pace(self, command: model.Pace, *, timeout_s: float) -> Reply:
        """Limit a run to a share of its full speed."""
        body = {
            "task": task_name(command.key),
            "run": command.run,
            "percent": command.percent,
            "fencingToken": self._epoch,
        }
        return await self._order("/pace", body, timeout_s)

    async def hold(
        self, *, last_seen_end: int, deadline_ms: float | None, wait_s: float, timeout_s: float
    ) -> Reply:
        """Extend the lease of all runs, acknowledge ends, and list active and newly ended runs.

        :param last_seen_end: number of the last end to acknowledge; only later ends are listed
        :param deadline_ms: end of the lease, on the worker's clock; None extends nothing
        :param wait_s: how long the worker waits for a run to end before it answers
        """
        body: dict[str, Any] = {"fencingToken": self._epoch, "observed": last_seen_end}
        if deadline_ms is not None:
            body["deadlineMs"] = round(deadline_ms)
        if wait_s:
            body["waitMs"] = round(wait_s * 1000)
        return await self._order("/hold", body, timeout_s + wait_s)

    async def is_healthy(self, path: str, *, timeout_s: float) -> bool:
        """Query the executor's health check; no answer counts as unhealthy."""
        try:
            resp = await self._http.request("GET", path, timeout_s=timeout_s)
        except (client.NotSentError, client.NoResponseError):
            return False
        return resp.status == 200  # noqa: PLR2004

    def close(self) -> None:
        """Close the idle connections."""
        self._http.close()

    async def _order(self, path: str, body: Mapping[str, Any], timeout_s: float) -> Reply:
        data = msgspec.json.encode(body)
        try:
            resp = await self._http.request(
                "POST", path, body=data, headers=self._headers, timeout_s=timeout_s
            )
        except client.NotSentError as exc:
            reply = Reply(Outcome.NO_LISTENER if exc.is_refused else Outcome.NOT_SENT)
        except client.NoResponseError:
            reply = Reply(Outcome.UNKNOWN)
        else:
            reply = _decode_reply(resp, is_hold=path == "/hold")
        figures.count(f'orders{{call="{path[1:]}",outcome="{reply.outcome.value}"}}')
        return reply


def _decode_reply(resp: client.Response, *, is_hold: bool) -> Reply:
    try:
        answer = codec.from_json(resp.body, _Answer) if resp.body else _Answer()
    except msgspec.DecodeError:
        return Reply(Outcome.UNKNOWN)
    outcome = _OUTCOMES_BY_STATUS.get(resp.status, Outcome.UNKNOWN)
    if resp.status == 409:  # noqa: PLR2004
        outcome = _OUTCOMES_BY_REASON.get(answer.reason, Outcome.REFUSED)
    listing = None
    if is_hold and outcome is Outcome.OK:
        try:
            listing = _decode_listing(answer)
        except ValueError:
            return Reply(Outcome.UNKNOWN)
    return Reply(outcome, answer.clock_ms, listing)


def _decode_listing(answer: _Answer) -> Listing:
    if answer.clock_ms is None or answer.born is None:
        raise ValueError("the list says neither when nor of which incarnation it is")
    running = tuple(
        ActiveRun(decode_task(row.task), row.run, row.saved or "", row.percent, row.load)
        for row in answer.running
    )
    ended = tuple(
        EndedRun(
            number=row.number,
            key=decode_task(row.task),
            run=row.run,
            end=ENDS_BY_NAME.get(row.how, model.End.STOPPED),
            checkpoint=row.saved or "",
        )
        for row in answer.ended
    )
    return Listing(answer.clock_ms, answer.born, running, ended)


__all__ = [
    "WITHOUT_EFFECT",
    "ActiveRun",
    "EndedRun",
    "Listing",
    "OrderClient",
    "Outcome",
    "Reply",
    "decode_task",
    "step_name",
    "task_name",
]
