"""The platform's store in memory, and faults that can be injected into an instance's calls."""

from __future__ import annotations

import contextlib
import dataclasses
import enum
from typing import TYPE_CHECKING, Any

import outcome
import trio

from bronzequay import codes, errors, ids

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable


@dataclasses.dataclass(frozen=True)
class Entry:
    key: str
    value: bytes
    rev: ids.Revision


@dataclasses.dataclass(frozen=True)
class InstanceEntry:
    id: str
    kind: str
    address: str
    state: str


def store_error(code: codes.ResultCode) -> errors.BronzequayError:
    return errors.BronzequayError(code, "injected")


class MemoryStore:
    """The platform's store in memory."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[Entry, ids.LeaseId | None]] = {}
        self.leases: dict[ids.LeaseId, tuple[float, float]] = {}
        self.listed: dict[str, InstanceEntry] = {}
        self.rev = 0
        self.writes = 0
        self.bytes_written = 0
        self.history: list[tuple[str, bytes]] = []

    def expire(self) -> None:
        now_s = trio.current_time()
        for lease, (_ttl_s, until_s) in list(self.leases.items()):
            if now_s >= until_s:
                self.drop_lease(lease)

    def drop_lease(self, lease: ids.LeaseId) -> None:
        self.leases.pop(lease, None)
        bound = [key for key, (_, held) in self.entries.items() if held == lease]
        for key in bound:
            del self.entries[key]

    def put(
        self, key: str, value: bytes, rev: ids.Revision, lease: ids.LeaseId | None
    ) -> ids.Revision:
        current = self.entries.get(key)
        if (current[0].rev if current else 0) != rev:
            raise store_error(codes.ResultCode.STORE_CONFLICT)
        if lease is not None and lease not in self.leases:
            raise store_error(codes.ResultCode.LEASE_LOST)
        if len(value) > 1_000_000:
            raise store_error(codes.ResultCode.VALUE_TOO_LARGE)
        self.rev += 1
        self.writes += 1
        self.bytes_written += len(value)
        self.history.append((key, value))
        self.entries[key] = (Entry(key, value, ids.Revision(self.rev)), lease)
        return ids.Revision(self.rev)


class Fault(enum.Enum):
    """A fault that is injected at one effect of an instance on the store or a worker."""

    NONE = "none"
    CRASH_AFTER = "crash after the effect"
    CRASH_LATE = "crash, and the effect is delayed"
    LOST = "answer lost after the effect"
    LATE = "no answer, and the effect is delayed"
    FREEZE = "process frozen, then the effect happens"


DELAY_S = 10.0


class CallLostError(Exception):
    """The call gets no answer; its outcome is unknown to the caller."""


class Gate:
    """Passes the calls of one instance and injects outages, freezes and a fault at one effect.

    ``fault`` is injected at the effect with the index ``fault_at``, counted from 0.
    """

    def __init__(self) -> None:
        self.is_down = False
        self.lose_answers = False
        self.delay_s = 0.001
        self.frozen: trio.Event | None = None
        self.fault_at = -1
        self.fault = Fault.NONE
        self.kill: Callable[[], None] = lambda: None
        self.delayed_calls: trio.Nursery | None = None
        self.calls: list[str] = []
        self.effects: list[str] = []

    def freeze(self) -> None:
        self.frozen = trio.Event()

    def resume(self) -> None:
        if self.frozen is not None:
            self.frozen.set()
            self.frozen = None

    async def wait_until_resumed(self) -> None:
        if self.frozen is not None:
            await self.frozen.wait()

    async def effect(self, name: str, call: Callable[[], Awaitable[Any]]) -> Any:
        """Carry out an effect with the fault injected, if it is the chosen one."""
        fault = self.fault if len(self.effects) == self.fault_at else Fault.NONE
        self.effects.append(name)
        if fault in (Fault.LATE, Fault.CRASH_LATE):
            assert self.delayed_calls is not None
            self.delayed_calls.start_soon(_run_late, call)
        if fault is Fault.CRASH_LATE:
            await self._crash()
        if fault is Fault.LATE:
            raise CallLostError
        if fault is Fault.FREEZE:
            answer = await self._freeze(call)
        else:
            answer = await call()
        if fault is Fault.CRASH_AFTER:
            await self._crash()
        if fault is Fault.LOST or self.lose_answers:
            raise CallLostError
        return answer

    async def _freeze(self, call: Callable[[], Awaitable[Any]]) -> Any:
        """Freeze the instance for longer than its lease; the call still goes out afterwards."""
        assert self.delayed_calls is not None
        self.freeze()
        self.delayed_calls.start_soon(self._resume_later)
        send, receive = trio.open_memory_channel[outcome.Outcome[Any]](1)
        self.delayed_calls.start_soon(_run_late_into, call, send)
        return (await receive.receive()).unwrap()

    async def _resume_later(self) -> None:
        await trio.sleep(DELAY_S)
        self.resume()

    async def _crash(self) -> None:
        self.kill()
        await trio.sleep_forever()


async def _run_late(call: Callable[[], Awaitable[Any]]) -> None:
    await trio.sleep(DELAY_S)
    with contextlib.suppress(errors.BronzequayError):
        await call()


async def _run_late_into(
    call: Callable[[], Awaitable[Any]], send: trio.MemorySendChannel[outcome.Outcome[Any]]
) -> None:
    await trio.sleep(DELAY_S)
    send.send_nowait(await outcome.acapture(call))


class StoreClient:
    """One instance's client of the in-memory store."""

    def __init__(self, store: MemoryStore, gate: Gate) -> None:
        self._store = store
        self.gate = gate

    async def _call(self, name: str, effect: Callable[[], Any], *, is_write: bool = False) -> Any:
        async def call() -> Any:
            await trio.sleep(self.gate.delay_s)
            self._store.expire()
            return effect()

        await self.gate.wait_until_resumed()
        self.gate.calls.append(name)
        if self.gate.is_down:
            await trio.sleep(0.001)
            raise store_error(codes.ResultCode.STORE_UNAVAILABLE)
        try:
            answer = await (self.gate.effect(name, call) if is_write else call())
        except CallLostError:
            raise store_error(codes.ResultCode.STORE_TIMEOUT) from None
        await self.gate.wait_until_resumed()
        return answer

    async def get(self, key: str, *, purpose: Any) -> Entry | None:  # noqa: ARG002
        def effect() -> Entry | None:
            current = self._store.entries.get(key)
            return current[0] if current else None

        answer: Entry | None = await self._call(f"get {key}", effect)
        return answer

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        rev: ids.Revision,
        purpose: Any,  # noqa: ARG002
        lease: ids.LeaseId | None = None,
    ) -> ids.Revision:
        answer: ids.Revision = await self._call(
            f"put {key}", lambda: self._store.put(key, value, rev, lease), is_write=True
        )
        return answer

    async def grant(self, ttl_s: float) -> ids.LeaseId:
        def effect() -> ids.LeaseId:
            self._store.rev += 1
            lease = ids.LeaseId(f"lease-{self._store.rev}")
            self._store.leases[lease] = (ttl_s, trio.current_time() + ttl_s)
            return lease

        lease: ids.LeaseId = await self._call("grant", effect, is_write=True)
        return lease

    async def renew(self, lease: ids.LeaseId) -> None:
        def effect() -> None:
            if lease not in self._store.leases:
                raise store_error(codes.ResultCode.LEASE_LOST)
            ttl_s = self._store.leases[lease][0]
            self._store.leases[lease] = (ttl_s, trio.current_time() + ttl_s)

        await self._call("renew", effect)

    async def revoke(self, lease: ids.LeaseId) -> None:
        await self._call("revoke", lambda: self._store.drop_lease(lease), is_write=True)

    async def instances(self) -> tuple[InstanceEntry, ...]:
        answer: tuple[InstanceEntry, ...] = await self._call(
            "instances", lambda: tuple(self._store.listed.values())
        )
        return answer
