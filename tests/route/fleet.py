"""Executors in process, scripted by test; runs are counted where they happen."""

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
    """What happens to a call."""

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
    """How an executor treats one call."""

    fault: Fault = Fault.NONE
    delay_s: float = 0.01


@dataclasses.dataclass
class Call:
    """A call that reached an executor."""

    at_s: float
    executor: ids.ExecutorId
    request_id: ids.RequestId


class Fleet:
    """Executors with 8 slots each, and the adapter to them.

    :param behave: chooses the behaviour of each call by executor
    """

    def __init__(
        self,
        executors: int = 2,
        *,
        behave: Callable[[ids.ExecutorId], Behaviour] | None = None,
        hints: bool = True,
    ) -> None:
        self.names = [ids.ExecutorId(f"x{n}") for n in range(executors)]
        self.behaviours = {name: Behaviour() for name in self.names}
        self.behave = behave or self.behaviours.__getitem__
        self.hints = hints
        self.leaving: set[ids.ExecutorId] = set()
        self.dead: set[ids.ExecutorId] = set()
        self.slots = {name: trio.CapacityLimiter(8) for name in self.names}
        self.runs: collections.Counter[ids.RequestId] = collections.Counter()
        self.calls: list[Call] = []
        self.open: collections.Counter[ids.ExecutorId] = collections.Counter()
        self.max_open = 0
        self.asked = 0

    def listed(self) -> list[model.Executor]:
        return [model.Executor(name, f"http://{name}", DATA_CENTRE) for name in self.names]

    async def call(
        self, address: str, *, request_id: ids.RequestId, body: bytes, deadline_s: float
    ) -> adapter.Answer:
        name = ids.ExecutorId(address.removeprefix("http://"))
        self.open[name] += 1
        self.max_open = max(self.max_open, self.open[name])
        try:
            with trio.move_on_after(deadline_s):
                return await self._call(name, request_id, body)
        finally:
            self.open[name] -= 1
        raise adapter.AnswerTimeoutError(UNKNOWN, "no answer in time")

    async def describe(self, address: str, *, deadline_s: float = 1.0) -> adapter.Description:
        name = ids.ExecutorId(address.removeprefix("http://"))
        self.asked += 1
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
        how = self.behave(name)
        if how.fault is Fault.NEVER_SENT:
            raise adapter.NotSentError(codes.ResultCode.NO_EXECUTOR, "refused")
        self.calls.append(Call(trio.current_time(), name, request_id))
        if how.fault is Fault.SILENT or name in self.dead:
            await trio.sleep_forever()
        if how.fault is Fault.REFUSE:
            await trio.sleep(0.001)
            raise adapter.RefusedError(codes.ResultCode.NO_EXECUTOR, "full")
        if how.fault is Fault.LOSE_REQUEST:
            raise adapter.UnknownOutcomeError(UNKNOWN, "cut")
        async with self.slots[name]:
            self.runs[request_id] += 1
            await trio.sleep(how.delay_s)
        if how.fault is Fault.SILENT_AFTER_RUN:
            await trio.sleep_forever()
        if how.fault is Fault.LOSE_ANSWER:
            raise adapter.UnknownOutcomeError(UNKNOWN, "cut")
        if how.fault is Fault.FAIL:
            raise adapter.RunFailedError(codes.ResultCode.EXECUTOR_FAILED, "failed")
        if not self.hints:
            return adapter.Answer(body)
        held = int(self.slots[name].borrowed_tokens) + self.slots[name].statistics().tasks_waiting
        return adapter.Answer(body, held, "leaving" if name in self.leaving else "live")


class MemoryStore:
    """Values of the store in memory, with faults.

    :param delay_s: time that each call takes, half before its effect
    """

    def __init__(self, *, delay_s: float = 0.002) -> None:
        self.values: dict[str, client.Entry] = {}
        self.delay_s = delay_s
        self.is_down = False
        self.is_silent = False
        self.lose_next = 0
        self.late_s = 0.0
        self.late: list[tuple[float, str, bytes, ids.Revision]] = []
        self.writes = 0
        self.reads = 0
        self.biggest = 0

    async def get(self, key: str, *, purpose: purpose.Purpose) -> client.Entry | None:
        del purpose
        self.reads += 1
        await self._before()
        self._land_late()
        entry = self.values.get(key)
        await trio.sleep(self.delay_s / 2)
        return entry

    async def put(
        self, key: str, value: bytes, *, rev: ids.Revision, purpose: purpose.Purpose
    ) -> ids.Revision:
        del purpose
        self.writes += 1
        self.biggest = max(self.biggest, len(value))
        await self._before()
        self._land_late()
        if self.lose_next and self.late_s:
            self.lose_next -= 1
            self.late.append((trio.current_time() + self.late_s, key, value, rev))
            raise _error(codes.ResultCode.STORE_TIMEOUT)
        new = self._write(key, value, rev)
        if new is None:
            raise _error(codes.ResultCode.STORE_CONFLICT)
        if self.lose_next:
            self.lose_next -= 1
            raise _error(codes.ResultCode.STORE_TIMEOUT)
        await trio.sleep(self.delay_s / 2)
        return new

    async def _before(self) -> None:
        if self.is_silent:
            await trio.sleep(2)
            raise _error(codes.ResultCode.STORE_TIMEOUT)
        await trio.sleep(self.delay_s / 2)
        if self.is_down:
            raise _error(codes.ResultCode.STORE_UNAVAILABLE)

    def _land_late(self) -> None:
        due = [each for each in self.late if each[0] <= trio.current_time()]
        for each in due:
            self.late.remove(each)
            self._write(*each[1:])

    def _write(self, key: str, value: bytes, rev: ids.Revision) -> ids.Revision | None:
        held = self.values.get(key)
        if rev != (held.rev if held else 0):
            return None
        new = ids.Revision(rev + 1)
        self.values[key] = client.Entry(key, value, new)
        return new


class NoClaims:
    """Claims for requests without keys."""

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
    return errors.BronzequayError(code, "by the test")


def make_router(
    fleet: Fleet, *, instances: int = 7, book: ports.ClaimBook | None = None
) -> router.Router:
    made = router.Router(
        service=SERVICE,
        client=fleet,
        claims=book or NoClaims(),
        instances=lambda: instances,
    )
    made.set_executors(fleet.listed())
    return made


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
