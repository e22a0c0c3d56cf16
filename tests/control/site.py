"""A store, executors and instances in memory, and the checks of what executors saw."""

from __future__ import annotations

import json
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from bronzequay import errors, ids
from bronzequay.control import keys, lease, status, term
from bronzequay.core import model
from bronzequay.fakes import advice, executors, kv, machines
from bronzequay.front import follow, handler
from bronzequay.net import server
from bronzequay.platform import config
from bronzequay.platform import kv as stores
from bronzequay.platform import machines as machine_calls
from soak import promises
from tests.control.network import SOURCE, Network

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import pytest

STORE = "10.0.0.1:80"
DUTY_LEASE_S = 3.0
CONFIG: dict[str, Any] = {
    "version": 1,
    "routes": [
        {"name": f"q{priority}", "host": "h", "prefix": f"/q{priority}/", "service": "service",
         "priority": priority, "attempts": 3, "stretch": 2.0, "targetLatencyMs": 500}
        for priority in range(3)
    ],
    "services": [{"name": "service"}],
    "tenants": [
        {"name": "one", "apiKeys": ["key-one"], "guaranteed": {"gpu": 8}},
        {"name": "two", "apiKeys": ["key-two"]},
    ],
}  # fmt: skip


class Site:
    """Everything that instances meet, and the instances."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, nursery: trio.Nursery) -> None:
        self.nursery = nursery
        self.network = Network()
        self.network.install(monkeypatch)
        monkeypatch.setattr("bronzequay.clock.boot_s", trio.current_time)
        monkeypatch.setattr("bronzequay.clock.wall_s", lambda: 1000.0 + trio.current_time())
        self.kv = kv.Kv(nursery.start_soon)
        self.network.hosts[STORE] = self.kv.handle
        self.world = executors.World(self.kv)
        self.configure(CONFIG)
        nursery.start_soon(self.kv.run)
        nursery.start_soon(self.world.run)
        self.advice_address = ""
        self.machine_address = ""
        self.scopes: dict[str, trio.CancelScope] = {}
        self.terms: dict[str, term.Term] = {}
        self._jobs = 0

    def configure(self, wire: object) -> None:
        """Write the operator's configuration."""
        self.kv.put(config.KEY, json.dumps(wire).encode())

    def add_executor(self, number: int, *, rack: str = "r1") -> executors.Executor:
        """Add an executor with 8 accelerators."""
        address = f"10.1.0.{number}:80"
        executor = self.world.add(f"i-{number}", address, rack=rack)
        executor.spawn = self.nursery.start_soon
        self.network.hosts[address] = executor.handle
        return executor

    def crash(self, executor: executors.Executor) -> None:
        """End an executor's life; its address has no listener."""
        executor.crash()
        self.network.hosts.pop(executor.address, None)

    def reboot(self, executor: executors.Executor) -> None:
        """Begin a new life under the same id and address."""
        executor.boot()
        executor.list_entry()
        self.network.hosts[executor.address] = executor.handle

    def add_machines(self) -> machines.Machines:
        """Have the platform take machines down on request."""
        made = machines.Machines(self.world, self.nursery.start_soon, self._relist)
        self.machine_address = "10.0.0.3:80"
        self.network.hosts[self.machine_address] = made.handle
        return made

    def _relist(self, executor: executors.Executor) -> None:
        executor.boot()
        executor.list_entry()

    def _machine_calls(self, name: str, epoch: ids.Epoch) -> machine_calls.MachineClient | None:
        if not self.machine_address:
            return None
        return machine_calls.MachineClient(self.machine_address, ids.InstanceId(name), epoch)

    def ask_wave(self, *names: str, within_s: float, most_down: int) -> None:
        """Ask for the upkeep of machines as the operator does."""
        wave = {"wave": 1, "machines": names, "completeByS": within_s, "cap": most_down}
        self.kv.put("op/wave/1", json.dumps(wave).encode())

    def wave_state(self) -> str:
        """Return what the operator reads of its wave."""
        value = self.kv.get("status/wave/1")
        return "" if value is None else json.loads(value)["state"]

    def add_advice(self, allowed: set[str]) -> advice.Advice:
        """Have every queue's policy kept by an advice service."""
        routes = [{**route, "advice": {"decideMs": 50}} for route in CONFIG["routes"]]
        self.configure({**CONFIG, "version": 2, "routes": routes})
        made = advice.Advice(self.world, allowed)
        self.advice_address = "10.0.0.2:80"
        self.network.hosts[self.advice_address] = made.handle
        return made

    def start_scheduler(self, name: str) -> None:
        """Run an instance's campaign and terms until ``kill``."""
        self.nursery.start_soon(self._schedule, name)

    def kill(self, name: str) -> None:
        """End an instance at once; its lease is left to run out."""
        self.scopes.pop(name).cancel()

    async def _schedule(self, name: str) -> None:
        SOURCE.set(name)
        store = stores.Store(STORE)
        found = config.decode(self.kv.get(config.KEY) or b"")
        with trio.CancelScope() as scope:
            self.scopes[name] = scope
            while True:
                held = await lease.campaign(store, ids.InstanceId(name), ttl_s=lease.TTL_S)
                try:
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(lease.keep, store, held)
                        current = term.Term(
                            store,
                            held,
                            lambda: found.rules,
                            max_hold_s=10.0,
                            advice_address=self.advice_address,
                            machine_calls=self._machine_calls(name, held.epoch),
                            quiet_s=DUTY_LEASE_S,
                        )
                        self.terms[name] = current
                        await current.run()
                except* errors.BronzequayError:
                    pass

    def leader(self) -> str | None:
        """Return the instance that holds the lease."""
        value = self.kv.get(keys.LEADER)
        return None if value is None else msgspec.msgpack.decode(value, type=lease.Leader).instance

    async def front(self, name: str) -> Callable[..., Awaitable[server.Response]]:
        """Return a function that sends requests to a new front."""
        store = stores.Store(STORE)
        watcher = follow.ConfigurationWatcher(store)
        SOURCE.set(name)
        self.nursery.start_soon(watcher.run)
        await watcher.loaded.wait()
        handle = handler.Handler(store, watcher).handle

        async def ask(
            method: str, path: str, body: object = None, key: str = "key-one"
        ) -> server.Response:
            headers = {"host": "h", "authorization": f"Bearer {key}"}
            data = b"" if body is None else json.dumps(body).encode()
            return await handle(server.Request(method, path, headers, data))

        return ask

    def submit(
        self,
        *steps: model.Step,
        plan: executors.Plan | None = None,
        priority: int = 1,
        org: str = "one",
        name: str = "",
    ) -> ids.JobId:
        """Write a job as a front does."""
        self._jobs += 1
        job = ids.JobId(name or f"{self._jobs:016x}")
        spec = model.JobSpec(
            job=job,
            queue=ids.QueueId(f"q{priority}"),
            org=ids.OrgId(org),
            payload=msgspec.json.encode(plan or executors.Plan()).decode(),
            steps=steps or (model.Step(need=model.Resources(1000, 1000, 1), estimate_s=1.0),),
            accepted_s=1000.0 + trio.current_time(),
        )
        told = status.of_spec(spec, model.JobState.QUEUED)
        self.kv.put(keys.state(job), status.encode(told))
        self.kv.put(keys.job(job), msgspec.msgpack.encode(spec))
        self.kv.put(keys.waiting(spec.queue, job), b"")
        return job

    def cancel(self, job: ids.JobId) -> None:
        """Write the wish to cancel a job as a front does."""
        self.kv.put(keys.cancel(job), b"")

    def state(self, job: ids.JobId) -> str:
        """Return what callers are told of a job."""
        value = self.kv.get(keys.state(job))
        assert value is not None
        return status.decode(value).state

    async def wait_for(self, job: ids.JobId, state: str, *, most_s: float = 60.0) -> float:
        """Wait until a job is shown in some state; return how long it took."""
        began_s = trio.current_time()
        with trio.fail_after(most_s):
            while self.state(job) != state:
                await trio.sleep(0.02)
        return trio.current_time() - began_s

    async def wait_until(self, is_so: Callable[[], object], *, most_s: float = 60.0) -> None:
        """Wait until something is so."""
        with trio.fail_after(most_s):
            while not is_so():
                await trio.sleep(0.02)

    def events(self, *wanted: str) -> list[tuple[str, int]]:
        """Return the tasks and runs of some events, as executors saw them."""
        return [(task, run) for _, event, _, task, run in self.world.log if event in wanted]

    def check(self) -> None:
        """Check that no task ran twice at once, and none after a noted end as done."""
        assert promises.Runs(self.world).check() == []


GPU = model.Resources(1000, 1000, 8)
ONE = model.Resources(1000, 1000, 1)


def gang(count: int, *, run_s: float = 2.0, saves: bool = False) -> model.Step:
    """Return a gang whose members take a whole worker each."""
    return model.Step(count=count, need=GPU, estimate_s=run_s, is_gang=True, saves_progress=saves)
