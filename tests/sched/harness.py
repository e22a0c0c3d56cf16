"""In-memory fakes at the scheduler's interfaces, each with faults for one instance."""

from __future__ import annotations

import contextlib
import dataclasses
import enum
import json
from typing import TYPE_CHECKING, Any

import httpx
import outcome
import trio

from bronzequay import codes, errors, ids
from bronzequay.fakes import worker as fake_worker
from bronzequay.policy import model
from bronzequay.sched import gateway as gateways
from bronzequay.sched import keepers
from bronzequay.sched import scheduler as schedulers
from bronzequay.work import client
from bronzequay.work import fleet as fleets

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Sequence

PARTITION = ids.RegionId("lima-sur")
ORG = ids.OrgId("org-a")
BASE = "http://workers"


@dataclasses.dataclass(frozen=True)
class Entry:
    key: str
    value: bytes
    rev: ids.Revision


@dataclasses.dataclass(frozen=True)
class Listed:
    id: str
    kind: str
    address: str
    state: str


def store_error(code: codes.ResultCode) -> errors.BronzequayError:
    return errors.BronzequayError(code, "injected")


class MemoryStore:
    """The platform's service in memory."""

    def __init__(self) -> None:
        self.entries: dict[str, tuple[Entry, ids.LeaseId | None]] = {}
        self.leases: dict[ids.LeaseId, tuple[float, float]] = {}
        self.listed: dict[str, Listed] = {}
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
        found = self.entries.get(key)
        if (found[0].rev if found else 0) != rev:
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


class Cut(enum.Enum):
    """What befalls an instance at one of its effects on the outside."""

    NONE = "none"
    CRASH_AFTER = "crash after the effect"
    CRASH_LATE = "crash, and the effect comes late"
    LOST = "answer lost after the effect"
    LATE = "no answer, and the effect comes late"
    FREEZE = "all calls stand still, then the effect comes"


LATE_S = 10.0


class CallLostError(Exception):
    """The caller gets no answer."""


class Gate:
    """What one instance's calls go through: outages, freezes, and a fault at one effect.

    :param cut_at: number of the effect to which ``cut`` applies
    """

    def __init__(self) -> None:
        self.is_down = False
        self.lose_answers = False
        self.delay_s = 0.001
        self.frozen: trio.Event | None = None
        self.cut_at = -1
        self.cut = Cut.NONE
        self.kill: Callable[[], None] = lambda: None
        self.later: trio.Nursery | None = None
        self.calls: list[str] = []
        self.effects: list[str] = []

    def freeze(self) -> None:
        self.frozen = trio.Event()

    def resume(self) -> None:
        if self.frozen is not None:
            self.frozen.set()
            self.frozen = None

    async def wait_thawed(self) -> None:
        if self.frozen is not None:
            await self.frozen.wait()

    async def effect(self, name: str, act: Callable[[], Awaitable[Any]]) -> Any:
        """Carry out an effect, or what the cut makes of it."""
        cut = self.cut if len(self.effects) == self.cut_at else Cut.NONE
        self.effects.append(name)
        if cut in (Cut.LATE, Cut.CRASH_LATE):
            assert self.later is not None
            self.later.start_soon(_late, act)
        if cut is Cut.CRASH_LATE:
            await self._crash()
        if cut is Cut.LATE:
            raise CallLostError
        if cut is Cut.FREEZE:
            answer = await self._freeze(act)
        else:
            answer = await act()
        if cut is Cut.CRASH_AFTER:
            await self._crash()
        if cut is Cut.LOST or self.lose_answers:
            raise CallLostError
        return answer

    async def _freeze(self, act: Callable[[], Awaitable[Any]]) -> Any:
        """Stand still for longer than the scheduler's lease; the call goes out all the same."""
        assert self.later is not None
        self.freeze()
        self.later.start_soon(self._thaw)
        send, receive = trio.open_memory_channel[outcome.Outcome[Any]](1)
        self.later.start_soon(_late_into, act, send)
        return (await receive.receive()).unwrap()

    async def _thaw(self) -> None:
        await trio.sleep(LATE_S)
        self.resume()

    async def _crash(self) -> None:
        self.kill()
        await trio.sleep_forever()


async def _late(act: Callable[[], Awaitable[Any]]) -> None:
    await trio.sleep(LATE_S)
    with contextlib.suppress(errors.BronzequayError):
        await act()


async def _late_into(
    act: Callable[[], Awaitable[Any]], send: trio.MemorySendChannel[outcome.Outcome[Any]]
) -> None:
    await trio.sleep(LATE_S)
    send.send_nowait(await outcome.acapture(act))


class StoreView:
    """One instance's client of the store."""

    def __init__(self, store: MemoryStore, gate: Gate) -> None:
        self._store = store
        self.gate = gate

    async def _call(self, name: str, effect: Callable[[], Any], *, is_write: bool = False) -> Any:
        async def act() -> Any:
            await trio.sleep(self.gate.delay_s)
            self._store.expire()
            return effect()

        await self.gate.wait_thawed()
        self.gate.calls.append(name)
        if self.gate.is_down:
            await trio.sleep(0.001)
            raise store_error(codes.ResultCode.STORE_UNAVAILABLE)
        try:
            answer = await (self.gate.effect(name, act) if is_write else act())
        except CallLostError:
            raise store_error(codes.ResultCode.STORE_TIMEOUT) from None
        await self.gate.wait_thawed()
        return answer

    async def get(self, key: str, *, purpose: Any) -> Entry | None:  # noqa: ARG002
        def effect() -> Entry | None:
            found = self._store.entries.get(key)
            return found[0] if found else None

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

    async def instances(self) -> tuple[Listed, ...]:
        answer: tuple[Listed, ...] = await self._call(
            "instances", lambda: tuple(self._store.listed.values())
        )
        return answer


def in_process(app: Any) -> httpx.ASGITransport:
    """Return a transport to an application in this process; the libraries' types differ."""
    return httpx.ASGITransport(app=app)


class GatedTransport(httpx.AsyncBaseTransport):
    """One instance's way to the workers.

    :param is_cut: whether this instance cannot reach a worker
    """

    def __init__(self, inner: httpx.AsyncBaseTransport, gate: Gate) -> None:
        self._inner = inner
        self._gate = gate
        self.cut: set[str] = set()

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        _, _, worker, *rest = request.url.path.split("/")
        name = f"{worker} /{'/'.join(rest)}"

        async def act() -> httpx.Response:
            return await self._inner.handle_async_request(request)

        await self._gate.wait_thawed()
        self._gate.calls.append(name)
        if worker in self.cut:
            raise httpx.ConnectError("cut")
        try:
            resp = await (self._gate.effect(name, act) if rest[-1] in COMMANDS else act())
        except CallLostError:
            raise httpx.ReadError("lost") from None
        await self._gate.wait_thawed()
        assert isinstance(resp, httpx.Response)
        return resp


COMMANDS = frozenset({"tasks", "release", "throttle", "checkpoint", "stop"})


class Fleet:
    """Stand-in workers and the store that lists them."""

    def __init__(self, *, workers: int = 4, accelerators: int = 8) -> None:
        self.specs = [
            model.WorkerSpec(
                worker=ids.WorkerId(f"w{number}"),
                rack=ids.RackId(f"r{number // 6}"),
                data_centre=ids.DataCentreId("almacen-a"),
                accelerators=accelerators,
                cpu=32,
                mem_gb=128,
            )
            for number in range(workers)
        ]
        self.app = fake_worker.make_app(self.specs)
        self.store = MemoryStore()
        for spec in self.specs:
            self.store.listed[spec.worker] = Listed(
                spec.worker, "worker", f"{BASE}/w/{spec.worker}", "live"
            )

    @property
    def hosted(self) -> dict[ids.WorkerId, fake_worker.Worker]:
        hosted: dict[ids.WorkerId, fake_worker.Worker] = self.app.extensions["workers"]
        return hosted

    async def log(self) -> list[dict[str, Any]]:
        """Return every worker's log, in order of time."""
        entries: list[dict[str, Any]] = []
        transport = in_process(self.app)
        async with httpx.AsyncClient(transport=transport) as http:
            for spec in self.specs:
                resp = await http.get(f"{BASE}/w/{spec.worker}/log")
                entries.extend({**entry, "worker": spec.worker} for entry in resp.json()["log"])
        return sorted(entries, key=lambda entry: float(entry["at_s"]))

    def tasks(self, worker: str) -> dict[ids.TaskId, fake_worker.Task]:
        return self.hosted[ids.WorkerId(worker)].tasks

    def faults(self, worker: str, **switches: Any) -> None:
        self.hosted[ids.WorkerId(worker)].faults = fake_worker.Faults(**switches)


class Instance:
    """A scheduler with its own way to the store and the workers."""

    def __init__(self, fleet: Fleet, name: str, **options: Any) -> None:
        self.gate = Gate()
        self.store = StoreView(fleet.store, self.gate)
        self.transport = GatedTransport(in_process(fleet.app), self.gate)
        self.http = httpx.AsyncClient(transport=self.transport)
        self.workers = client.WorkerClient(http=self.http)
        self.scope = trio.CancelScope()
        self.gate.kill = self.kill
        self.is_dead = False
        self.scheduler = schedulers.Scheduler(
            partition=PARTITION,
            instance=ids.InstanceId(name),
            address=f"mesh://{name}",
            store=self.store,
            workers=self.workers,
            rules=lambda: RULES,
            wall_clock=trio.current_time,
            **options,
        )

    async def run(self) -> None:
        with self.scope:
            await self.scheduler.run()

    def kill(self) -> None:
        """End the instance without letting it say anything more."""
        self.is_dead = True
        self.gate.freeze()
        self.scope.cancel()


class MemoryMesh:
    """Calls between instances in memory; ``cut`` names pairs that cannot talk."""

    def __init__(self) -> None:
        self.nodes: dict[str, Node] = {}
        self.cut: set[tuple[str, str]] = set()

    def node(self, name: str, gate: Gate) -> Node:
        self.nodes[f"mesh://{name}"] = Node(self, f"mesh://{name}", gate)
        return self.nodes[f"mesh://{name}"]


class Node:
    """One instance's end of the mesh."""

    def __init__(self, mesh: MemoryMesh, address: str, gate: Gate) -> None:
        self._mesh = mesh
        self.address = address
        self._gate = gate
        self._handlers: dict[str, Callable[[bytes], Awaitable[bytes]]] = {}

    def serve(self, kind: str, handler: Callable[[bytes], Awaitable[bytes]]) -> None:
        self._handlers[kind] = handler

    async def call(self, address: str, kind: str, body: bytes, *, timeout_s: float) -> bytes:
        with trio.move_on_after(timeout_s):
            await trio.sleep(0.001)
            await self._gate.wait_thawed()
            if (self.address, address) in self._mesh.cut:
                await trio.sleep_forever()
            peer = self._mesh.nodes[address]
            await peer._gate.wait_thawed()
            answer = await peer._handlers[kind](body)
            await peer._gate.wait_thawed()
            if (address, self.address) not in self._mesh.cut:
                return answer
            await trio.sleep_forever()
        raise errors.BronzequayError(codes.ResultCode.PEER_TIMEOUT, "no answer")


class Member(Instance):
    """An instance whose keeper has a share, with a mesh to the others.

    :param share: workers whose leases it keeps
    """

    def __init__(self, fleet: Fleet, name: str, mesh: MemoryMesh, share: set[str]) -> None:
        self.share = share
        self._mesh = mesh
        super().__init__(fleet, name, withhold=self._withhold)
        self.directory = fleets.Fleet(instances=self.store.instances, workers=self.workers)
        self.scheduler = schedulers.Scheduler(
            partition=PARTITION,
            instance=ids.InstanceId(name),
            address=f"mesh://{name}",
            store=self.store,
            workers=self.workers,
            rules=lambda: RULES,
            wall_clock=trio.current_time,
            fleet=self.directory,
            withhold=self._withhold,
        )
        node = mesh.node(name, self.gate)
        self.gateway = gateways.Gateway(
            partition=PARTITION, scheduler=self.scheduler, store=self.store, mesh=node
        )
        self.keepers = keepers.Keepers(
            partition=PARTITION,
            scheduler=self.scheduler,
            store=self.store,
            mesh=node,
            fleet=self.directory,
            workers=self.workers,
            share=lambda worker: worker in self.share,
            peers=lambda: [peer for peer in mesh.nodes if peer != node.address],
        )

    async def run(self) -> None:
        with self.scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.directory.run)
                nursery.start_soon(self.keepers.run)
                nursery.start_soon(self.scheduler.run)

    async def _withhold(self, tasks: Sequence[ids.TaskId]) -> bool:
        return await self.keepers.withhold(tasks)


RULES = model.Rules(
    version=ids.BundleVersion(1),
    orgs={ORG: model.OrgRules(guarantee=(model.Shape(8, 4),))},
)


def spec(**changes: Any) -> model.JobSpec:
    values: dict[str, Any] = {
        "org": ORG,
        "caller": ids.CallerId("c1"),
        "members": 1,
        "accelerators": 2,
        "cpu": 4,
        "mem_gb": 16,
        "declared_s": 30.0,
        "idempotent": True,
    }
    return model.JobSpec(**{**values, **changes})


async def until(condition: Callable[[], bool], *, within_s: float = 60.0) -> None:
    """Wait until a condition holds, by the runtime's clock."""
    with trio.fail_after(within_s):
        while not condition():
            await trio.sleep(0.05)


async def until_state(
    scheduler: schedulers.Scheduler,
    job: ids.JobId,
    states: Sequence[model.JobState],
    *,
    within_s: float = 300.0,
) -> model.JobRecord:
    """Wait until a job is in one of the states; schedulers may change meanwhile."""
    with trio.fail_after(within_s):
        while True:
            if scheduler.can_answer:
                record = await scheduler.get(job)
                if record.state in states:
                    return record
            await trio.sleep(0.05)


def events(log: list[dict[str, Any]], *names: str) -> list[tuple[str, str]]:
    return [(entry["task"], entry["event"]) for entry in log if entry["event"] in names]


def dump(log: list[dict[str, Any]]) -> str:
    return "\n".join(json.dumps(entry) for entry in log)
