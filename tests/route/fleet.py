"""In-process executors and a store, both with faults that a test chooses.

Runs are counted at the executor, so that a test can compare them with the caller's results.
"""

from __future__ import annotations

import collections
import dataclasses
import enum
from typing import TYPE_CHECKING

import trio

from bronzequay import codes, errors, ids
from bronzequay.route import claims, model, router
from bronzequay.store import client
from bronzequay.work import executor as adapter

if TYPE_CHECKING:
    from collections.abc import Callable

    from bronzequay.route import ports
    from bronzequay.store import purpose

SERVICE = ids.ServiceId("clasificador")
DATA_CENTRE = ids.DataCentreId("almacen-a")
UNKNOWN = codes.ResultCode.OUTCOME_UNKNOWN


class Fault(enum.Enum):
    """Fault of a call to an executor."""

    NONE = "none"
    NEVER_SENT = "never_sent"
    REFUSE = "refuse"
    FAIL = "fail"
    LOSE_REQUEST = "lose_request"
    LOSE_ANSWER = "lose_answer"
    SILENT = "silent"
    SILENT_AFTER_RUN = "silent_after_run"


@dataclasses.dataclass
class Behaviour:
    """Fault and run time of one call to an executor."""

    fault: Fault = Fault.NONE
    delay_s: float = 0.01


@dataclasses.dataclass
class Call:
    """A call that reached an executor."""

    at_s: float
    executor: ids.ExecutorId
    request_id: ids.RequestId


class Fleet:
    """Executors with 8 slots each, and the client for calls to them.

    :param behave: returns the behaviour of the next call to an executor
    :param hints: whether answers report load and state
    """

    def __init__(
        self,
        executor_count: int = 2,
        *,
        behave: Callable[[ids.ExecutorId], Behaviour] | None = None,
        hints: bool = True,
    ) -> None:
        self.names = [ids.ExecutorId(f"x{n}") for n in range(executor_count)]
        self.behaviours = {name: Behaviour() for name in self.names}
        self.behave = behave or self.behaviours.__getitem__
        self.hints = hints
        self.leaving: set[ids.ExecutorId] = set()
        self.dead: set[ids.ExecutorId] = set()
        self.slots = {name: trio.CapacityLimiter(8) for name in self.names}
        self.runs: collections.Counter[ids.RequestId] = collections.Counter()
        self.calls: list[Call] = []
        self.open_calls: collections.Counter[ids.ExecutorId] = collections.Counter()
        self.max_open_calls = 0
        self.probe_count = 0

    def executors(self) -> list[model.Executor]:
        return [model.Executor(name, f"http://{name}", DATA_CENTRE) for name in self.names]

    async def call(
        self, address: str, *, request_id: ids.RequestId, body: bytes, deadline_s: float
    ) -> adapter.Answer:
        name = ids.ExecutorId(address.removeprefix("http://"))
        self.open_calls[name] += 1
        self.max_open_calls = max(self.max_open_calls, self.open_calls[name])
        try:
            with trio.move_on_after(deadline_s):
                return await self._call(name, request_id, body)
        finally:
            self.open_calls[name] -= 1
        raise adapter.AnswerTimeoutError(UNKNOWN, "no answer in time")

    async def describe(self, address: str, *, deadline_s: float = 1.0) -> adapter.Description:
        name = ids.ExecutorId(address.removeprefix("http://"))
        self.probe_count += 1
        if name in self.dead:
            await trio.sleep(deadline_s)
            raise adapter.RunError(codes.ResultCode.NO_EXECUTOR, "silent")
        await trio.sleep(0.001)
        return adapter.Description(
            executor=name,
            service=SERVICE,
            data_centre=DATA_CENTRE,
            slots=8,
            busy=int(self.slots[name].borrowed_tokens),
            state="leaving" if name in self.leaving else "live",
        )

    async def _call(
        self, name: ids.ExecutorId, request_id: ids.RequestId, body: bytes
    ) -> adapter.Answer:
        behaviour = self.behave(name)
        if behaviour.fault is Fault.NEVER_SENT:
            raise adapter.NotSentError(codes.ResultCode.NO_EXECUTOR, "refused")
        self.calls.append(Call(trio.current_time(), name, request_id))
        if behaviour.fault is Fault.SILENT or name in self.dead:
            await trio.sleep_forever()
        if behaviour.fault is Fault.REFUSE:
            await trio.sleep(0.001)
            raise adapter.RefusedError(codes.ResultCode.NO_EXECUTOR, "full")
        if behaviour.fault is Fault.LOSE_REQUEST:
            raise adapter.UnknownOutcomeError(UNKNOWN, "connection closed")
        async with self.slots[name]:
            self.runs[request_id] += 1
            await trio.sleep(behaviour.delay_s)
        if behaviour.fault is Fault.SILENT_AFTER_RUN:
            await trio.sleep_forever()
        if behaviour.fault is Fault.LOSE_ANSWER:
            raise adapter.UnknownOutcomeError(UNKNOWN, "connection closed")
        if behaviour.fault is Fault.FAIL:
            raise adapter.RunFailedError(codes.ResultCode.EXECUTOR_FAILED, "failed")
        if not self.hints:
            return adapter.Answer(body)
        in_progress = (
            int(self.slots[name].borrowed_tokens) + self.slots[name].statistics().tasks_waiting
        )
        return adapter.Answer(body, in_progress, "leaving" if name in self.leaving else "live")


class MemoryStore:
    """An in-memory store with faults.

    A lost write gets no answer. It takes effect at once, or after ``delayed_write_s``.

    :param delay_s: duration of each call in seconds, half of it before the call takes effect
    """

    def __init__(self, *, delay_s: float = 0.002) -> None:
        self.values: dict[str, client.Entry] = {}
        self.delay_s = delay_s
        self.is_down = False
        self.is_silent = False
        self.lost_writes = 0
        self.delayed_write_s = 0.0
        self.delayed_writes: list[tuple[float, str, bytes, ids.Revision]] = []
        self.writes = 0
        self.reads = 0
        self.max_value_bytes = 0

    async def get(self, key: str, *, purpose: purpose.Purpose) -> client.Entry | None:
        del purpose
        self.reads += 1
        await self._wait_or_fail()
        self._apply_delayed_writes()
        entry = self.values.get(key)
        await trio.sleep(self.delay_s / 2)
        return entry

    async def put(
        self, key: str, value: bytes, *, rev: ids.Revision, purpose: purpose.Purpose
    ) -> ids.Revision:
        del purpose
        self.writes += 1
        self.max_value_bytes = max(self.max_value_bytes, len(value))
        await self._wait_or_fail()
        self._apply_delayed_writes()
        if self.lost_writes and self.delayed_write_s:
            self.lost_writes -= 1
            self.delayed_writes.append(
                (trio.current_time() + self.delayed_write_s, key, value, rev)
            )
            raise _error(codes.ResultCode.STORE_TIMEOUT)
        new_rev = self._write(key, value, rev)
        if new_rev is None:
            raise _error(codes.ResultCode.STORE_CONFLICT)
        if self.lost_writes:
            self.lost_writes -= 1
            raise _error(codes.ResultCode.STORE_TIMEOUT)
        await trio.sleep(self.delay_s / 2)
        return new_rev

    async def _wait_or_fail(self) -> None:
        if self.is_silent:
            await trio.sleep(2)
            raise _error(codes.ResultCode.STORE_TIMEOUT)
        await trio.sleep(self.delay_s / 2)
        if self.is_down:
            raise _error(codes.ResultCode.STORE_UNAVAILABLE)

    def _apply_delayed_writes(self) -> None:
        due = [write for write in self.delayed_writes if write[0] <= trio.current_time()]
        for write in due:
            self.delayed_writes.remove(write)
            self._write(*write[1:])

    def _write(self, key: str, value: bytes, rev: ids.Revision) -> ids.Revision | None:
        current = self.values.get(key)
        if rev != (current.rev if current else 0):
            return None
        new_rev = ids.Revision(rev + 1)
        self.values[key] = client.Entry(key, value, new_rev)
        return new_rev


class NoClaims:
    """Claims that accept only requests without keys."""

    async def claim(self, req: model.Request, *, deadline_s: float) -> model.Response | None:
        del deadline_s
        assert req.key is None
        return None

    def settle(self, req: model.Request, outcome: object) -> None:
        del outcome
        assert req.key is None

    async def run(self) -> None:
        await trio.sleep_forever()

    async def drain(self) -> None:
        return

    def dump(self) -> dict[str, object]:
        return {}


def make_claims(store: MemoryStore, instance: str = "i1") -> claims.Claims:
    return claims.Claims(
        store=store,
        service=SERVICE,
        instance=ids.InstanceId(instance),
        wall_clock=trio.current_time,
    )


def _error(code: codes.ResultCode) -> errors.BronzequayError:
    return errors.BronzequayError(code, "injected fault")


def make_router(
    fleet: Fleet, *, instances: int = 7, claims: ports.Claims | None = None
) -> router.Router:
    new_router = router.Router(
        service=SERVICE,
        client=fleet,
        claims=claims or NoClaims(),
        instances=lambda: instances,
    )
    new_router.set_executors(fleet.executors())
    return new_router


def make_request(
    number: int,
    *,
    deadline_s: float = 5.0,
    idempotent: bool = True,
    key: str | None = None,
    caller: str = "c1",
    body: bytes | None = None,
) -> model.Request:
    return model.Request(
        request_id=ids.RequestId(f"r{number}"),
        service=SERVICE,
        org=ids.OrgId("org-a"),
        caller=ids.CallerId(caller),
        idempotent=idempotent and key is None,
        key=key,
        deadline_s=deadline_s,
        body=f"body {number}".encode() if body is None else body,
    )
