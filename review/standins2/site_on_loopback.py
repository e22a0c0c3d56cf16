# ruff: noqa: INP001, S311, S607, ASYNC110, PLR2004
"""A small deployment on loopback: the project's stand-ins here, entry instances as processes.

A script sets up a ``Site``, disturbs it, and writes what was sent, answered and run to its record.
"""

from __future__ import annotations

import http.client
import json
import os
import pathlib
import random
import shutil
import socket
import subprocess
import sys
import tempfile
import time
import traceback
from typing import TYPE_CHECKING, Any, NoReturn

import trio

from bronzequay.fakes import executors, kv
from bronzequay.net import server

if TYPE_CHECKING:
    import signal
    from collections.abc import Awaitable, Callable

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent
HELD, BROKEN, NOT_RUN = 0, 1, 2
LIMIT_S = 115.0
HOST = "front.example"
PREFIX = "/q/"
KEY = "key-one"
CALL_TIMEOUT_S = 3.0
"""How long requesters wait for a response, ``deadline_ms`` of the site files."""

SETTINGS = """\
node={name}
role=entry
machineClass=front
serves=front
ip=127.0.0.1
zone={zone}
region=r
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
portRange={first},{last}
limits.cpuShare=0.537
limits.cores=2
limits.memoryMb=300
limits.maxFds=4100
heartbeatMs=1500
bounds.contactMs=3000
bounds.ackMs=4000
bounds.drainMs=2000
bounds.graceS=6
bounds.configMs=2000
bounds.holdMaxMs=10000
bounds.killGraceMs=900
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remoteFactor=3
bounds.leaseMs=3000
bounds.reclaimMs=3400
orders=request
platform.addr=127.0.0.1:{store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.retentionS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
"""


class CannotRunError(Exception):
    """The case could not run, so that it shows nothing."""


def free_ports(count: int) -> list[int]:
    """Return ports on which nothing listens now, below those of outgoing connections."""
    socks: list[socket.socket] = []
    for port in random.sample(range(10_000, 30_000), 1000):
        sock = socket.socket()
        try:
            sock.bind(("127.0.0.1", port))
        except OSError:
            sock.close()
            continue
        socks.append(sock)
        if len(socks) == count:
            break
    ports = [sock.getsockname()[1] for sock in socks]
    for sock in socks:
        sock.close()
    return ports


class Store(kv.Kv):
    """The store; while ``lost_share`` is set, some writes are carried out late and not answered.

    :ivar lost_share: share of the writes without an answer
    :ivar late_s: shortest and longest delay after which such a write is carried out
    :ivar spared: beginnings of the calls' paths that are always answered
    """

    def __init__(self, spawn: Callable[..., None], *, seed: int) -> None:
        super().__init__(spawn)
        self.lost_share = 0.0
        self.late_s = (1.0, 6.0)
        self._spawn_task = spawn
        self._draws = random.Random(seed)

    async def handle(self, req: server.Request) -> server.Response:
        """Answer a call."""
        is_write = req.method != "GET" and not req.path.startswith("/kv-keep/")
        if is_write and self._draws.random() < self.lost_share:
            self._spawn_task(self._carry_out_late, req, self._draws.uniform(*self.late_s))
            await trio.sleep_forever()
        return await super().handle(req)

    async def _carry_out_late(self, req: server.Request, late_s: float) -> None:
        await trio.sleep(late_s)
        self._write(req)


class Instance:
    """An entry instance as a process, started with the command of the deploy file."""

    def __init__(self, number: int, store_port: int, folder: pathlib.Path) -> None:
        self.name = f"front-{number}"
        self.front, self.ready, first, last = free_ports(4)
        self._settings_path = folder / f"{self.name}.conf"
        self.log_path = folder / f"{self.name}.log"
        self._settings_path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=f"z{number % 3}",
                front=self.front,
                ready=self.ready,
                first=first,
                last=last,
                store=store_port,
            )
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start a process."""
        environ = {
            name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ
        }
        environ |= {
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "BRONZEQUAY_BOOT": str(self._settings_path),
        }
        with self.log_path.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "bronzequay.node"], cwd=ROOT, env=environ, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process."""
        assert self.process is not None  # noqa: S101
        self.process.send_signal(number)

    def end(self) -> None:
        """End the process, if there is one."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()


class Record:
    """The file with what was sent, answered and run, by seconds from the begin of the script."""

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._began_s = time.monotonic()

    @property
    def now_s(self) -> float:
        """Return the seconds since the begin."""
        return time.monotonic() - self._began_s

    def write(self, text: str) -> None:
        """Write a line."""
        self._file.write(f"{self.now_s:8.3f} {text}\n")
        self._file.flush()


class World(executors.World):
    """The executors, whose starts and ends are recorded."""

    record: Record

    def record_event(self, event: str, executor: str, task: str, run: int) -> None:
        """Record a start or an end."""
        super().record_event(event, executor, task, run)
        self.record.write(f"executor {executor}: {event} {task} run {run}")


class Site:
    """A store, executors and entry instances.

    :param temp: folder of the instances' settings and logs
    :ivar cut: names of the executors that get no calls
    """

    def __init__(self, nursery: trio.Nursery, record: Record, temp: pathlib.Path) -> None:
        self.nursery = nursery
        self.record = record
        self.temp = temp
        seed = int(os.environ.get("SEED", "0")) or time.time_ns()
        self.draws = random.Random(seed)
        record.write(f"seed {seed}")
        self.store = Store(nursery.start_soon, seed=seed)
        self.world = World(self.store)
        self.world.record = record
        self.cut: set[str] = set()
        self.store_port = free_ports(1)[0]
        self.instances: list[Instance] = []

    async def listen(self, port: int, handle: Callable[..., Awaitable[server.Response]]) -> None:
        """Serve a stand-in on a port."""
        await self.nursery.start(server.Server(f"127.0.0.1:{port}", handle).run)

    async def begin(self, *, instances: int, workers: int, racks: int = 2) -> None:
        """Start everything and wait until the instances are ready and schedule."""
        self.configure()
        await self.listen(self.store_port, self.store.handle)
        self.nursery.start_soon(self.store.run)
        self.nursery.start_soon(self.world.run)
        for number in range(1, workers + 1):
            await self.add_worker(number, rack=f"r{number % racks}")
        for number in range(1, instances + 1):
            instance = Instance(number, self.store_port, self.temp)
            self.instances.append(instance)
            instance.start()
        with trio.move_on_after(20.0):
            for instance in self.instances:
                while await self.ready(instance) != 200:
                    await trio.sleep(0.1)
            while self.store.get("bronzequay/head") is None:
                await trio.sleep(0.1)
            self.record.write("all instances are ready, and one of them schedules")
            await trio.sleep(3.0)
            return
        raise CannotRunError("the instances did not become ready")

    def configure(self) -> None:
        """Write the operator's configuration."""
        wire: dict[str, Any] = {
            "version": 1,
            "routes": [
                {
                    "name": "queue",
                    "host": HOST,
                    "prefix": PREFIX,
                    "service": "service",
                    "priority": 1,
                    "attempts": 3,
                    "stretch": 3.0,
                    "targetLatencyMs": 1000,
                }
            ],
            "services": [{"name": "service"}],
            "tenants": [{"name": "one", "apiKeys": [KEY], "guaranteed": {"gpu": 0}}],
        }
        self.store.put("op/config", json.dumps(wire).encode())

    async def add_worker(self, number: int, *, rack: str) -> None:
        """Add an executor with 32 cores and 8 accelerators."""
        port = free_ports(1)[0]
        worker = self.world.add(f"e-{number}", f"127.0.0.1:{port}", rack=rack)
        worker.spawn = self.nursery.start_soon
        worker.beats = True

        async def handle(req: server.Request) -> server.Response:
            if worker.name in self.cut:
                await trio.sleep_forever()
            return await worker.handle(req)

        await self.listen(port, handle)

    async def ready(self, instance: Instance) -> int:
        """Ask an instance whether it is ready; return the status, 0 without an answer."""
        call = _call, "127.0.0.1", instance.ready, "GET", "/ready", None
        return (await trio.to_thread.run_sync(*call))[0]

    async def call(
        self, instance: Instance, method: str, job: str, body: object = None
    ) -> tuple[int, bytes]:
        """Call an instance as a requester; return status and body, status 0 without an answer."""
        began_s = self.record.now_s
        call = _call, "127.0.0.1", instance.front, method, PREFIX + job, body
        status, data = await trio.to_thread.run_sync(*call)
        text = data.decode("utf-8", "replace")[:80]
        self.record.write(
            f"requester: {method} {job} to {instance.name}, sent at {began_s:.3f}: "
            f"{status or 'no answer'} {text}"
        )
        return status, data

    def new_job(self) -> str:
        """Return an ID that no job has."""
        return f"{self.draws.getrandbits(64):016x}"

    def starts(self, job: str) -> list[tuple[float, str, str, int]]:
        """Return time, executor, task and run of the starts of a job's tasks."""
        return [
            (at_s, executor, task, run)
            for at_s, event, executor, task, run in self.world.log
            if event == "start" and task.startswith(job)
        ]


def _call(host: str, port: int, method: str, path: str, body: object) -> tuple[int, bytes]:
    conn = http.client.HTTPConnection(host, port, timeout=CALL_TIMEOUT_S)
    try:
        headers = {
            "Host": HOST,
            "Authorization": f"Bearer {KEY}",
            "Deadline-Ms": str(int(CALL_TIMEOUT_S * 1000)),
        }
        data = None
        if body is not None:
            data, headers["Content-Type"] = json.dumps(body), "application/json"
        conn.request(method, path, data, headers)
        response = conn.getresponse()
        return response.status, response.read()
    except (OSError, http.client.HTTPException):
        return 0, b""
    finally:
        conn.close()


def run(play: Callable[[Site, bool], Awaitable[bool]], folder: pathlib.Path) -> NoReturn:
    """Play a case and exit: 0 if the rule held, 1 if it was broken, 2 if the case could not run.

    :param play: plays the case, with or without the disturbance; returns whether the rule held
    :param folder: of the case, for its record
    """
    is_troubled = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    temp = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    record.write(f"TROUBLE={int(is_troubled)}")
    exits = [NOT_RUN]

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            site = Site(nursery, record, temp)
            try:
                with trio.move_on_after(LIMIT_S) as scope:
                    exits[0] = HELD if await play(site, is_troubled) else BROKEN
                if scope.cancelled_caught:
                    record.write("the case took too long")
            except CannotRunError as exc:
                record.write(f"cannot run: {exc}")
            finally:
                for instance in site.instances:
                    instance.end()
                    if os.environ.get("KEEP_LOGS"):
                        shutil.copy(instance.log_path, os.environ["KEEP_LOGS"])
            nursery.cancel_scope.cancel()

    try:
        trio.run(main)
    except BaseException:  # noqa: BLE001
        record.write(traceback.format_exc())
        exits[0] = NOT_RUN
    shutil.rmtree(temp, ignore_errors=True)
    record.write({HELD: "the rule held", BROKEN: "the rule is broken"}.get(exits[0], "not run"))
    sys.exit(exits[0])
