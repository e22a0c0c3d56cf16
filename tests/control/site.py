"""In-memory site: store, executors, instances, and checks of the runs that executors recorded."""

from __future__ import annotations

import functools
import json
from typing import TYPE_CHECKING, Any

import msgspec
import trio

from bronzequay import errors, ids
from bronzequay.control import keys, lease, status, term
from bronzequay.core import model
from bronzequay.fakes import advice, executors, kv, machines, tasks
from bronzequay.front import admission, config_watcher, handler
from bronzequay.net import server
from bronzequay.platform import config, instances
from bronzequay.platform import kv as stores
from bronzequay.platform import machines as machine_calls
from soak import invariants
from tests.control.network import SOURCE, Network

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import pytest

STORE = "10.0.0.1:80"
OWN_ADDRESSES = "10.3.0.{}:70"
"""Addresses of the instances' own interfaces."""
DUTY_LEASE_S = 3.0
CONFIG_S = 3.0
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
    """A store, executors and platform services with the instances that use them.

    :ivar scopes: cancel scope of each running instance
    :ivar terms: last term of each instance
    :ivar held_terms: instances whose last term has not ended
    :ivar has_admission: whether instances publish waits and refuse jobs by them
    """

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
        self.evac_s = term.DEFAULT_EVAC_S
        self.config_s = CONFIG_S
        self.machine_address = ""
        self.has_admission = False
        self.scopes: dict[str, trio.CancelScope] = {}
        self.terms: dict[str, term.Term] = {}
        self.held_terms: set[str] = set()
        self._jobs = 0

    def configure(self, wire: object) -> None:
        """Write the operator's configuration in its stored form."""
        self.kv.put(config.KEY, json.dumps(wire).encode())

    def add_executor(
        self, number: int, *, rack: str = "r1", zone: str = "z1"
    ) -> executors.Executor:
        """Add an executor with 8 accelerators."""
        address = f"10.1.0.{number}:80"
        executor = self.world.add(f"i-{number}", address, rack=rack, zone=zone)
        executor.spawn = self.nursery.start_soon
        self.network.hosts[address] = executor.handle
        return executor

    def crash(self, executor: executors.Executor) -> None:
        """Crash an executor; its address then refuses connections."""
        executor.crash()
        self.network.hosts.pop(executor.address, None)

    def reboot(self, executor: executors.Executor) -> None:
        """Start a new incarnation of an executor under the same id and address."""
        executor.boot()
        executor.list_entry()
        self.network.hosts[executor.address] = executor.handle

    def add_machines(self) -> machines.Machines:
        """Add the platform's machine interface, which takes machines down on request."""
        interface = machines.Machines(self.world, self.nursery.start_soon, self._relist)
        self.machine_address = "10.0.0.3:80"
        self.network.hosts[self.machine_address] = interface.handle
        return interface

    def _relist(self, executor: executors.Executor) -> None:
        executor.boot()
        executor.list_entry()

    def _machine_client(self, name: str, epoch: ids.Epoch) -> machine_calls.MachineClient | None:
        if not self.machine_address:
            return None
        return machine_calls.MachineClient(self.machine_address, ids.InstanceId(name), epoch)

    def request_wave(self, *names: str, within_s: float, most_down: int) -> None:
        """Write a request for an upkeep wave as the operator does."""
        wave = {"wave": 1, "machines": names, "completeByS": within_s, "cap": most_down}
        self.kv.put("op/wave/1", json.dumps(wave).encode())

    def wave_state(self) -> str:
        """Return the state of the wave that the operator reads, empty before there is one."""
        value = self.kv.get("status/wave/1")
        return "" if value is None else json.loads(value)["state"]

    def add_advice(self, allowed: set[str], *, decide_ms: int = 50) -> advice.Advice:
        """Add an advice service whose tickets all queues require."""
        routes = [{**route, "advice": {"decideMs": decide_ms}} for route in CONFIG["routes"]]
        self.configure({**CONFIG, "version": 2, "routes": routes})
        service = advice.Advice(self.world, allowed)
        service.answer_delay_s = decide_ms / 1000
        self.advice_address = "10.0.0.2:80"
        self.network.hosts[self.advice_address] = service.handle
        return service

    def start_scheduler(self, name: str) -> None:
        """Run an instance that campaigns for the leader lease and runs its terms until ``kill``."""
        self.nursery.start_soon(self._schedule, name)

    def kill(self, name: str) -> None:
        """Cancel an instance without releasing its leader lease."""
        self.scopes.pop(name).cancel()
        self.network.hosts.pop(own_address(name), None)

    async def _answer_about_terms(self, name: str, req: server.Request) -> server.Response:
        """Answer on an instance's own interface whether it holds a term."""
        epoch = ids.Epoch(int(req.path.rpartition("/")[2]))
        current = self.terms.get(name)
        is_held = current is not None and current.epoch == epoch and name in self.held_terms
        state = instances.TermState(ids.InstanceId(name), epoch, is_held)
        return server.Response(200, msgspec.json.encode(state))

    async def _schedule(self, name: str) -> None:
        SOURCE.set(name)
        store = stores.Store(STORE)
        configuration = config.decode(self.kv.get(config.KEY) or b"")
        self.held_terms.discard(name)
        address = own_address(name)
        self.network.hosts[address] = functools.partial(self._answer_about_terms, name)
        with trio.CancelScope() as scope:
            self.scopes[name] = scope
            while True:
                leader_lease = await lease.campaign(
                    store, ids.InstanceId(name), ttl_s=lease.TTL_S, address=address
                )
                try:
                    async with trio.open_nursery() as nursery:
                        nursery.start_soon(lease.renew_until_lost, store, leader_lease)
                        current = term.Term(
                            store,
                            leader_lease,
                            lambda: configuration.rules,
                            max_run_lease_s=10.0,
                            beat_s=1.5,
                            advice_address=self.advice_address,
                            evac_s=self.evac_s,
                            machine_client=self._machine_client(name, leader_lease.epoch),
                            holdoff_s=DUTY_LEASE_S,
                            has_admission=self.has_admission,
                        )
                        self.terms[name] = current
                        self.held_terms.add(name)
                        await current.run()
                except* errors.BronzequayError:
                    self.held_terms.discard(name)

    def leader(self) -> str | None:
        """Return the instance that holds the leader lease, None when none does."""
        value = self.kv.get(keys.LEADER)
        return (
            None
            if value is None
            else msgspec.msgpack.decode(value, type=lease.LeaderRecord).instance
        )

    async def start_front(
        self, name: str, *, headers: dict[str, str] | None = None
    ) -> Callable[..., Awaitable[server.Response]]:
        """Start a front and return a function that sends it callers' requests.

        :param headers: sent with each request, besides the host and the caller's key
        """
        store = stores.Store(STORE)
        watcher = config_watcher.ConfigurationWatcher(store, config_s=self.config_s)
        SOURCE.set(name)
        self.nursery.start_soon(watcher.run)
        await watcher.loaded.wait()
        gate = admission.Admission(store) if self.has_admission else None
        if gate is not None:
            self.nursery.start_soon(gate.run)
        callers_handler = handler.Handler(store, watcher, gate)
        self.nursery.start_soon(callers_handler.run)
        handle = callers_handler.handle

        async def send(
            method: str, path: str, body: object = None, key: str = "key-one"
        ) -> server.Response:
            all_headers = {"host": "h", "authorization": f"Bearer {key}", **(headers or {})}
            data = b"" if body is None else json.dumps(body).encode()
            return await handle(server.Request(method, path, all_headers, data))

        return send

    def submit(
        self,
        *steps: model.Step,
        plan: tasks.Plan | None = None,
        priority: int = 1,
        org: str = "one",
        name: str = "",
    ) -> ids.JobId:
        """Write a job to the store as a front does."""
        self._jobs += 1
        job = ids.JobId(name or f"{self._jobs:016x}")
        spec = model.JobSpec(
            job=job,
            queue=ids.QueueId(f"q{priority}"),
            org=ids.OrgId(org),
            payload=msgspec.json.encode(plan or tasks.Plan()).decode(),
            steps=steps or (model.Step(need=model.Resources(1000, 1000, 1), estimate_s=1.0),),
            accepted_s=1000.0 + trio.current_time(),
        )
        job_status = status.from_spec(spec, model.JobState.QUEUED)
        self.kv.put(keys.state(job), status.encode(job_status))
        self.kv.put(keys.job(job), msgspec.msgpack.encode(spec))
        self.kv.put(keys.waiting(spec.queue, job), b"")
        return job

    def cancel(self, job: ids.JobId) -> None:
        """Write the cancellation of a job as a front does."""
        self.kv.put(keys.cancel(job), b"")

    def state(self, job: ids.JobId) -> str:
        """Return the state of a job that callers see."""
        value = self.kv.get(keys.state(job))
        assert value is not None
        return status.decode(value).state

    async def wait_for(self, job: ids.JobId, state: str, *, timeout_s: float = 60.0) -> float:
        """Wait until callers see a job in a state; return how long that took."""
        began_s = trio.current_time()
        with trio.fail_after(timeout_s):
            while self.state(job) != state:
                await trio.sleep(0.02)
        return trio.current_time() - began_s

    async def wait_until(self, condition: Callable[[], object], *, timeout_s: float = 60.0) -> None:
        """Wait until a condition holds."""
        with trio.fail_after(timeout_s):
            while not condition():
                await trio.sleep(0.02)

    def events(self, *wanted: str) -> list[tuple[str, int]]:
        """Return task and run of each recorded event of the wanted kinds."""
        return [(task, run) for _, event, _, task, run in self.world.log if event in wanted]

    def check_runs(self) -> None:
        """Check that no task had two runs at once or a run after its acknowledged end."""
        assert invariants.RunChecker(self.world).check() == []


def own_address(name: str) -> str:
    """Return the address of an instance's own interface."""
    return OWN_ADDRESSES.format(ord(name[0]))


EIGHT_GPUS = model.Resources(1000, 1000, 8)
ONE_GPU = model.Resources(1000, 1000, 1)


def gang(count: int, *, run_s: float = 2.0, saves: bool = False) -> model.Step:
    """Return a gang step each of whose members needs a whole worker."""
    return model.Step(
        count=count, need=EIGHT_GPUS, estimate_s=run_s, is_gang=True, saves_progress=saves
    )
