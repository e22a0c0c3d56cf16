"""Stand-ins and links around the instances, on loopback, and the injection of faults."""

from __future__ import annotations

import collections
import itertools
import json
import os
import signal
import socket
from typing import TYPE_CHECKING

import msgspec
import trio

from bronzequay.control import keys, lease
from bronzequay.fakes import executors, kv
from bronzequay.net import server
from soak import configurations, evacuations, intrusions, invariants, links, losses, plan, recuts
from soak.instances import SHUTDOWN_GRACE_S, Instance

if TYPE_CHECKING:
    import pathlib

    from soak.plan import Fault

FIRST_PORT = 20_000
LAST_PORT = 32_000
DRAIN_DURATION_S = 2.5
WORKER_GPUS = 8
QUEUE_COUNT = 3
CONFIGURATION_LIFE = 3
ROUTES = [
    {
        "name": f"q{priority}",
        "host": "soak",
        "prefix": f"/q{priority}/",
        "service": "service",
        "priority": priority,
        "attempts": 3,
        "stretch": 2.0,
        "targetLatencyMs": 500,
    }
    for priority in range(QUEUE_COUNT)
]


def free_ports() -> itertools.chain[int]:
    """Yield free ports, from a start that differs between processes that run at once."""
    first_port = FIRST_PORT + os.getpid() * 211 % (LAST_PORT - FIRST_PORT)
    ports = itertools.chain(range(first_port, LAST_PORT), range(FIRST_PORT, first_port))
    return itertools.chain(port for port in ports if _is_free(port))


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            return False
    return True


class Harness:
    """Stand-ins, links and instances of one run.

    The workers are the executors of ``bronzequay.fakes.executors``, which run tasks under leases.

    :param nursery: nursery in which they run
    :param seed: seed of the store's lost answers
    :param entries: number of entry instances
    :param workers: number of workers
    :param folder: folder of the logs and settings files
    :param has_hazards: whether workers write their entries at intervals, as on the platform, and
        restart under their ids when a task has crashed them
    :ivar worker_count: number of workers
    :ivar version: version of the last configuration written
    :ivar versions: when each version was written
    :ivar injected: number of faults by kind
    :ivar unexpected_exits: descriptions of processes that ended by themselves
    :ivar recuts_until_s: time until which the restarts of workers under their ids may last
    :ivar faults_until_s: planned end of the fault injected last, or the end of an earlier fault
        if that ended later
    """

    def __init__(
        self,
        nursery: trio.Nursery,
        *,
        seed: int,
        entries: int,
        workers: int,
        folder: pathlib.Path,
        has_hazards: bool = False,
    ) -> None:
        self._nursery = nursery
        self._has_hazards = has_hazards
        self._ports = free_ports()
        self.kv = kv.Kv(nursery.start_soon, seed=seed)
        self.world = recuts.World(self.kv, seed)
        self.run_checker = invariants.RunChecker(self.world)
        self.evacuation_checker = evacuations.EvacuationChecker(self.world)
        self.version = 0
        self.versions = configurations.Versions()
        self.injected: collections.Counter[str] = collections.Counter()
        self.unexpected_exits: list[str] = []
        self.faults_until_s = self.recuts_until_s = trio.current_time()
        self._store_port = next(self._ports)
        self._worker_links: dict[str, links.Link] = {}
        self._replaced_count = 0
        self.instances = [self._make_instance(number, folder) for number in range(entries)]
        self.worker_count = workers

    async def start(self) -> None:
        """Start the stand-ins, then the instances."""
        start = self._nursery.start_soon
        start(self.kv.run)
        start(self.world.run)
        await self.serve_store()
        self.write_configuration()
        for number in range(self.worker_count):
            zone = evacuations.zone(number)
            await self._add_worker(f"i-{number}", rack=f"r{number // 4}", zone=zone)
        for instance in self.instances:
            start(instance.store.run)
            start(instance.callers.run)
            instance.start()
            start(self._watch_exits, instance)

    async def serve_store(self) -> None:
        """Serve the store on its port."""
        store = server.Server(f"127.0.0.1:{self._store_port}", self.kv.handle)
        await self._nursery.start(store.run)

    def _make_instance(self, number: int, folder: pathlib.Path) -> Instance:
        ports = [next(self._ports) for _ in range(6)]
        store = links.Link(ports[4], lambda: self._store_port)
        callers = links.Link(ports[5], lambda: ports[0])
        return Instance(number, ports[:4], store=store, callers=callers, folder=folder)

    async def _add_worker(self, name: str, *, rack: str, zone: str) -> None:
        port, executor_port = next(self._ports), next(self._ports)
        self._worker_links[name] = links.Link(port, lambda: executor_port)
        self._nursery.start_soon(self._worker_links[name].run)
        executor = self.world.add(name, f"127.0.0.1:{port}", rack=rack, zone=zone, gpu=WORKER_GPUS)
        executor.keeps_id = executor.beats = self._has_hazards
        executor.spawn = self._nursery.start_soon
        await self._nursery.start(self._serve_worker, executor, executor_port)

    async def replace_worker(self, lost: executors.Executor) -> None:
        """Add a worker under another id on another machine, in the place of a lost one."""
        self._replaced_count += 1
        name = f"i-{self.worker_count + self._replaced_count - 1}"
        await self._add_worker(name, rack=lost.labels[1], zone=lost.zone)

    async def _serve_worker(
        self,
        executor: executors.Executor,
        port: int,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        async def handle(req: server.Request) -> server.Response:
            # A call sees the state as of now; ``World.run`` advances it only every 20 ms.
            for other in self.world.executors.values():
                if other.is_up:
                    other.advance()
            return await executor.handle(req)

        await server.Server(f"127.0.0.1:{port}", handle).run(task_status=task_status)

    def write_configuration(self) -> None:
        """Write the next version of the configuration; each version adds a route for good."""
        self.version += 1
        version_routes = [
            {**ROUTES[0], "name": f"v{number}", "prefix": f"/v{number}/"}
            for number in range(1, self.version + 1)
        ]
        padding = [
            {**ROUTES[0], "name": f"padding-{number}-{'x' * 90}", "prefix": f"/padding-{number}/"}
            for number in range(self.versions.padding)
        ]
        configuration = {
            "version": self.version,
            "routes": [*ROUTES, *version_routes, *padding],
            "services": [{"name": "service"}],
            "tenants": [
                {"name": "one", "apiKeys": ["key-one"], "guaranteed": {"gpu": 8}},
                {"name": "two", "apiKeys": ["key-two"]},
            ],
        }
        self.kv.put("op/config", json.dumps(configuration).encode())
        self.versions.acknowledge(self.version)

    async def inject(self, fault: Fault) -> None:
        """Inject a fault and end it after its duration."""
        self.injected[fault.kind.value] += 1
        if fault.kind in plan.EVACUATIONS:
            await evacuations.inject(self, fault)
            return
        injectors = {plan.Kind.WORKERS_RECUT: recuts.inject, plan.Kind.WORKERS_LOST: losses.inject}
        if fault.kind in injectors:
            await injectors[fault.kind](self, fault)
            return
        executor, tail_s = evacuations.disturbance_of(self, fault)
        with self.evacuation_checker.disturbance(executor, tail_s):
            await self._inject(fault)

    async def _inject(self, fault: Fault) -> None:
        self.faults_until_s = max(trio.current_time() + fault.duration_s, self.recuts_until_s)
        instance = self.instances[fault.selector % len(self.instances)]
        process_faults = {
            plan.Kind.KILL: self.kill,
            plan.Kind.KILL_ALL: self._kill_all,
            plan.Kind.PAUSE: self._pause,
            plan.Kind.TERM: self.terminate,
        }
        if fault.kind in process_faults:
            await process_faults[fault.kind](instance, fault)
        elif fault.kind in _STORE_FAULTS:
            await self._inject_store_fault(fault)
        elif fault.kind is plan.Kind.STORE_COMPACTS:
            self.kv.compact()
        elif fault.kind is plan.Kind.CONFIGURATION:
            self.write_configuration()
        elif fault.kind in plan.GROWTHS:
            await configurations.inject(self, fault)
        elif fault.kind.value.startswith("link"):
            await self._inject_link_fault(instance, fault)
        elif fault.kind in plan.INTRUSIONS | plan.CROWDS:
            await intrusions.inject(self, fault)
        elif fault.kind is plan.Kind.WORKER_SHRINKS:
            await self._shrink(fault)
        else:
            await self._inject_worker_fault(fault)
        self.faults_until_s = max(self.faults_until_s, trio.current_time())

    async def _inject_store_fault(self, fault: Fault) -> None:
        if fault.kind is plan.Kind.STORE_DEAF:
            self.versions.unwatchable_s = trio.current_time() + fault.duration_s
        self.mark_all_disturbed()
        self.kv.faults = _STORE_FAULTS[fault.kind]
        await trio.sleep(fault.duration_s)
        self.kv.faults = kv.Faults()
        self.mark_all_disturbed()

    def leader(self) -> Instance | None:
        """Return the instance that the store holds for the scheduler."""
        value = self.kv.get(keys.LEADER)
        if value is None:
            return None
        name = msgspec.msgpack.decode(value, type=lease.LeaderRecord).instance
        return next((other for other in self.instances if other.name == name), None)

    def worker_link(self, name: str) -> links.Link:
        """Return the link to a worker."""
        return self._worker_links[name]

    async def _watch_exits(self, instance: Instance) -> None:
        """Note an instance that ends although nobody has stopped it, and start it again."""
        while True:
            await trio.sleep(0.1)
            if instance.is_running or instance.is_stopping:
                continue
            self.unexpected_exits.append(f"{instance.name} ended by itself")
            instance.start()

    def mark_all_disturbed(self) -> None:
        """Note that a fault affects all instances now."""
        for instance in self.instances:
            instance.disturbed_s = trio.current_time()

    async def _inject_link_fault(self, instance: Instance, fault: Fault) -> None:
        names = sorted(self._worker_links)
        link = {
            plan.Target.STORE: instance.store,
            plan.Target.CALLERS: instance.callers,
            plan.Target.WORKER: self._worker_links[names[fault.selector % len(names)]],
        }[fault.target]
        self.mark_all_disturbed()
        if fault.kind is plan.Kind.LINK_RESET:
            link.reset()
        elif fault.kind is plan.Kind.LINK_SILENT:
            link.silence()
        elif fault.kind is plan.Kind.LINK_DELAY:
            link.delay_s = 0.02 + fault.selector % 400 / 1000
        elif fault.kind is plan.Kind.LINK_REFUSES:
            link.is_refusing = True
            link.reset()
        else:
            is_one_way = fault.kind is plan.Kind.LINK_CUT_ONE_WAY
            one_direction: set[links.Direction] = {"up"} if fault.selector % 2 else {"down"}
            link.cut = one_direction if is_one_way else {"up", "down"}
        await trio.sleep(fault.duration_s)
        link.heal()
        self.mark_all_disturbed()

    async def _inject_worker_fault(self, fault: Fault) -> None:
        names = sorted(self.world.executors)
        executor = self.world.executors[names[fault.selector % len(names)]]
        if not executor.is_up or executor.state != "ready":
            return
        if fault.kind in (plan.Kind.WORKER_REBORN, plan.Kind.WORKER_GONE):
            self._crash(executor)
            is_restart_immediate = fault.kind is plan.Kind.WORKER_REBORN
            await trio.sleep(0.2 if is_restart_immediate else fault.duration_s)
            executor.boot()
            executor.list_entry()
        elif fault.kind is plan.Kind.WORKER_DRAINS:
            executor.state = "draining"
            executor.list_entry()
            await trio.sleep(DRAIN_DURATION_S)
            self._crash(executor)
            await trio.sleep(fault.duration_s)
            executor.state = "ready"
            executor.boot()
            executor.list_entry()
        else:
            await self._inject_switch_fault(executor, fault)

    async def _shrink(self, fault: Fault) -> None:
        """Take accelerators from a worker that runs on, and give them back."""
        names = sorted(self.world.executors)
        executor = self.world.executors[names[fault.selector % len(names)]]
        executor.capacity = {**executor.capacity, "gpu": fault.selector % WORKER_GPUS}
        await trio.sleep(fault.duration_s)
        executor.capacity = {**executor.capacity, "gpu": WORKER_GPUS}

    def _crash(self, executor: executors.Executor) -> None:
        executor.crash()
        self._worker_links[executor.name].reset()

    async def _inject_switch_fault(self, executor: executors.Executor, fault: Fault) -> None:
        if fault.kind is plan.Kind.WORKER_STALLS:
            executor.is_stalled = True
        elif fault.kind is plan.Kind.WORKER_FAILS:
            executor.fails_all_runs = True
        else:
            path = ("/run-start", "/run-stop", "/hold")[fault.selector % 3]
            executor.unanswered_calls[path] = 1 + fault.selector % 4
            is_late = fault.kind is plan.Kind.ORDERS_LATE
            executor.late_effect_s = 2.0 + fault.selector % 8 if is_late else 0.0
            executor.late_effect_survives_restart = bool(fault.selector % 5 == 0)
        await trio.sleep(fault.duration_s)
        executor.is_stalled = executor.fails_all_runs = False
        executor.unanswered_calls.clear()

    async def kill(self, instance: Instance, fault: Fault) -> None:
        """Kill an instance and start it again."""
        instance.disturbed_s = trio.current_time()
        instance.send_signal(signal.SIGKILL)
        await instance.wait_exited(SHUTDOWN_GRACE_S)
        await trio.sleep(fault.duration_s / 5)
        if not instance.is_running:
            instance.start()
        instance.disturbed_s = trio.current_time()

    async def cut_from_store(self, instance: Instance, fault: Fault) -> None:
        """Cut an instance off from the store for as long as a fault lasts."""
        instance.store.cut = {"up", "down"}
        await trio.sleep(fault.duration_s)
        instance.store.heal()

    async def _kill_all(self, _instance: Instance, fault: Fault) -> None:
        async with trio.open_nursery() as nursery:
            for instance in self.instances:
                nursery.start_soon(self.kill, instance, fault)

    async def _pause(self, instance: Instance, fault: Fault) -> None:
        instance.disturbed_s = trio.current_time() + fault.duration_s
        instance.send_signal(signal.SIGSTOP)
        await trio.sleep(fault.duration_s)
        instance.send_signal(signal.SIGCONT)
        instance.disturbed_s = trio.current_time()

    async def terminate(self, instance: Instance, _fault: Fault) -> None:
        """Shut an instance down gracefully and start it again."""
        instance.sigterm_s = trio.current_time()
        instance.send_signal(signal.SIGTERM)
        await instance.wait_exited(SHUTDOWN_GRACE_S)
        if not instance.is_running:
            instance.start()

    def stop(self) -> None:
        """Kill every instance that the run has started, paused ones too."""
        for instance in self.instances:
            instance.send_signal(signal.SIGCONT)
            instance.send_signal(signal.SIGKILL)


_STORE_FAULTS = {
    plan.Kind.STORE_BUSY: kv.Faults(busy=True),
    plan.Kind.STORE_SILENT: kv.Faults(silent=True),
    plan.Kind.STORE_SLOW: kv.Faults(delay_s=0.25),
    plan.Kind.STORE_LOSES: kv.Faults(lose=0.4),
    plan.Kind.STORE_WRITES_LATE: kv.Faults(lose=0.4, late_s=3.0),
    plan.Kind.STORE_DEAF: kv.Faults(deaf=True),
    plan.Kind.STORE_HOLDS_WRITES: kv.Faults(lose=0.8, late_s=4.0),
}
