"""A scheduler with in-memory fakes at its interfaces and faults for each instance."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import httpx
import trio

from bronzequay import ids
from bronzequay.fakes import worker as fake_worker
from bronzequay.policy import model
from bronzequay.sched import scheduler as schedulers
from bronzequay.work import client
from tests.sched import memory

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence

PARTITION = ids.RegionId("lima-sur")
ORG = ids.OrgId("org-a")
BASE = "http://workers"


def in_process(app: Any) -> httpx.ASGITransport:
    """Return a transport to an application in this process.

    The application is ``Any``, as the libraries' types differ.
    """
    return httpx.ASGITransport(app=app)


class GatedTransport(httpx.AsyncBaseTransport):
    """HTTP transport of one instance to the workers; ``unreachable_workers`` cannot be reached.

    :param inner: transport to the fake workers
    :param gate: gate that every call of the instance passes
    """

    def __init__(self, inner: httpx.AsyncBaseTransport, gate: memory.Gate) -> None:
        self._inner = inner
        self._gate = gate
        self.unreachable_workers: set[str] = set()

    async def handle_async_request(self, request: httpx.Request) -> httpx.Response:
        _, _, worker, *rest = request.url.path.split("/")
        name = f"{worker} /{'/'.join(rest)}"

        async def send() -> httpx.Response:
            return await self._inner.handle_async_request(request)

        await self._gate.wait_until_resumed()
        self._gate.calls.append(name)
        if worker in self.unreachable_workers:
            raise httpx.ConnectError("unreachable")
        try:
            resp = await (self._gate.effect(name, send) if rest[-1] in COMMANDS else send())
        except memory.CallLostError:
            raise httpx.ReadError("lost") from None
        await self._gate.wait_until_resumed()
        assert isinstance(resp, httpx.Response)
        return resp


COMMANDS = frozenset({"tasks", "release", "throttle", "checkpoint", "stop"})


class Fleet:
    """Fake workers and the store that lists them."""

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
        self.store = memory.MemoryStore()
        for spec in self.specs:
            self.store.listed[spec.worker] = memory.InstanceEntry(
                spec.worker, "worker", f"{BASE}/w/{spec.worker}", "live"
            )

    @property
    def fake_workers(self) -> dict[ids.WorkerId, fake_worker.Worker]:
        workers: dict[ids.WorkerId, fake_worker.Worker] = self.app.extensions["workers"]
        return workers

    async def log(self) -> list[dict[str, Any]]:
        """Return the log entries of all workers, sorted by time."""
        entries: list[dict[str, Any]] = []
        transport = in_process(self.app)
        async with httpx.AsyncClient(transport=transport) as http:
            for spec in self.specs:
                resp = await http.get(f"{BASE}/w/{spec.worker}/log")
                entries.extend({**entry, "worker": spec.worker} for entry in resp.json()["log"])
        return sorted(entries, key=lambda entry: float(entry["at_s"]))

    def tasks(self, worker: str) -> dict[ids.TaskId, fake_worker.Task]:
        return self.fake_workers[ids.WorkerId(worker)].tasks

    def set_faults(self, worker: str, **switches: Any) -> None:
        self.fake_workers[ids.WorkerId(worker)].faults = fake_worker.Faults(**switches)


class Instance:
    """A scheduler with its own clients of the store and the workers."""

    def __init__(self, fleet: Fleet, name: str, **options: Any) -> None:
        self.gate = memory.Gate()
        self.store = memory.StoreClient(fleet.store, self.gate)
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
        """Crash the instance; it makes no further call."""
        self.is_dead = True
        self.gate.freeze()
        self.scope.cancel()


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


async def wait_until(condition: Callable[[], bool], *, within_s: float = 60.0) -> None:
    """Wait until a condition holds, at most ``within_s`` on the runtime's clock."""
    with trio.fail_after(within_s):
        while not condition():
            await trio.sleep(0.05)


async def wait_for_state(
    scheduler: schedulers.Scheduler,
    job: ids.JobId,
    states: Sequence[model.JobState],
    *,
    within_s: float = 300.0,
) -> model.JobRecord:
    """Wait until a job is in one of the states; the scheduler may be unable to answer meanwhile."""
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
