"""A small deployment on loopback: entry instances as processes, and stand-ins around them.

The store and the executors are the project's own stand-ins; ``Site`` adds heartbeats that stop
while an executor is cut off or down, the expiry of silent entries, and the supervisor that starts
an exited instance again.
"""

from __future__ import annotations

import contextlib
import json
import os
import pathlib
import secrets
import shutil
import socket
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING, Any

import trio

from bronzequay.fakes import executors, kv
from bronzequay.net import server

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

HELD, BROKEN, NOT_RUN = 0, 1, 2
"""Exit statuses of a script."""
BEAT_S = 1.5
"""``heartbeatMs`` of the settings: an executor writes its entry this often."""
SILENT_BEATS = 3
"""Liveness report intervals of silence after which the store removes an entry."""
TICK_S = 0.02
RESTART_S = 0.5
"""Short delay after which the platform starts an exited instance again."""
START_TIMEOUT_S = 20.0
DEADLINE_MS = 3000
"""Time budget of every kind of request in the site files."""
FIRST_PORT, PORTS = 20_000, 12_000
"""Ports of the stand-ins and instances; the kernel gives outgoing connections higher ones."""
HOST = "review.example"
KEY = "key-one"
HEADERS = (f"Host: {HOST}", f"Authorization: Bearer {KEY}", f"Deadline-Ms: {DEADLINE_MS}")
"""Headers of every request of a caller."""
SETTINGS = """\
node={name}
role=entry
machineClass=front
serves=front
ip=127.0.0.1
zone=z1
region=r1
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
portRange={first},{last}
heartbeatMs=1500
bounds.holdMaxMs=10000
bounds.killGraceMs=900
bounds.graceS=6
bounds.status_s=120
bounds.fencing=false
bounds.leaseMs=3000
orders=request
platform.addr=127.0.0.1:{store}
platform.form=kv
platform.writesPerS=400
platform.readsPerS=2000
platform.retentionS=20
platform.valueBytes=1048576
platform.ttlMinMs=1000
cloud.addr={cloud}
cloud.dutyPerS=60.0
"""


_used_ports: set[int] = set()


def has_trouble() -> bool:
    """Return whether the disruption is to be made, which ``TROUBLE=0`` turns off."""
    return os.environ.get("TROUBLE", "1") != "0"


def free_port() -> int:
    """Return a free port on loopback, outside the range of outgoing connections."""
    while True:
        port = FIRST_PORT + secrets.randbelow(PORTS)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                sock.bind(("127.0.0.1", port))
            except OSError:
                continue
        if port not in _used_ports:
            _used_ports.add(port)
            return port


async def exchange(port: int, data: bytes) -> list[tuple[int, bytes]]:
    """Send requests on one connection and return the status and body of each complete answer.

    The connection is read until the peer closes it or the time budget is over.
    """
    received = b""
    with (
        contextlib.suppress(OSError, trio.BrokenResourceError),
        trio.move_on_after(DEADLINE_MS / 1000),
    ):
        async with await trio.open_tcp_stream("127.0.0.1", port) as stream:
            await stream.send_all(data)
            async for chunk in stream:
                received += chunk
    return _split_answers(received)


def _split_answers(received: bytes) -> list[tuple[int, bytes]]:
    answers = []
    while b"\r\n\r\n" in received:
        head, _, rest = received.partition(b"\r\n\r\n")
        lines = head.decode("latin-1").split("\r\n")
        fields = dict(line.lower().split(": ", 1) for line in lines[1:])
        size = int(fields.get("content-length", "0"))
        if len(rest) < size:
            break
        answers.append((int(lines[0].split(" ")[1]), rest[:size]))
        received = rest[size:]
    return answers


class Record:
    """Writes what was sent, answered and run to ``record.txt``.

    :param path: path of the file
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._file = path.open("w", encoding="utf-8")
        self._started_s = time.monotonic()

    def write(self, text: str) -> None:
        """Append a line with the time since the script's start."""
        self._file.write(f"{time.monotonic() - self._started_s:8.3f} {text}\n")
        self._file.flush()


class Instance:
    """An entry instance, started with the command of the deploy file.

    :ivar exits: exit statuses of processes that ended although nobody had stopped them
    """

    def __init__(self, name: str, store_port: int, cloud: str, folder: pathlib.Path) -> None:
        self.name = name
        self.front, self.ready, first, last = (free_port() for _ in range(4))
        self.exits: list[int] = []
        self._log = folder / f"{name}.log"
        self._settings = folder / f"{name}.conf"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                front=self.front,
                ready=self.ready,
                first=first,
                last=last,
                store=store_port,
                cloud=cloud,
            )
        )
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start a process."""
        environ = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(pathlib.Path("target/deps").resolve()),
            "BRONZEQUAY_BOOT": str(self._settings),
        }
        with self._log.open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "bronzequay.node"],  # noqa: S607  # as in the deploy file
                env=environ,
                stdout=log,
                stderr=log,
            )

    def stop(self) -> None:
        """Kill the process and wait for its end."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    def log_lines(self, *words: str) -> list[str]:
        """Return the log's lines that contain one of some words."""
        lines = self._log.read_text(encoding="utf-8", errors="replace").splitlines()
        return [line for line in lines if any(word in line for word in words)]


class Site:
    """Instances, store, executors and callers of one script.

    :param nursery: nursery in which the stand-ins run
    :param record: record of the script
    :param folder: temporary folder for settings and logs
    :ivar cut_off: names of executors that neither answer nor reach the store
    """

    def __init__(self, nursery: trio.Nursery, record: Record, folder: pathlib.Path) -> None:
        self.record = record
        self.kv = kv.Kv(nursery.start_soon)
        self.world = executors.World(self.kv)
        self.instances: list[Instance] = []
        self.cut_off: set[str] = set()
        self.cloud = ""
        self._nursery = nursery
        self._folder = folder
        self._store_port = free_port()
        self._beats: dict[str, float] = {}
        self._scopes: dict[str, trio.CancelScope] = {}
        self._next_event = 0
        self._is_stopping = False

    async def start(self, *, instances: int, workers: int, per_rack: int = 4) -> None:
        """Start the stand-ins and the instances, and wait until every instance is ready."""
        self._nursery.start_soon(self.kv.run)
        store = server.Server(f"127.0.0.1:{self._store_port}", self.kv.handle)
        await self._nursery.start(store.run)
        self.write_configuration(version=1)
        for number in range(workers):
            await self.add_worker(f"w{number}", rack=f"r{number // per_rack}")
        self._nursery.start_soon(self._run_world)
        for number in range(instances):
            instance = Instance(f"front-{number}", self._store_port, self.cloud, self._folder)
            self.instances.append(instance)
            instance.start()
            self._nursery.start_soon(self._supervise, instance)
        with trio.fail_after(START_TIMEOUT_S):
            for instance in self.instances:
                while await self.call(instance.ready, "GET", "/ready") != (200, b""):  # noqa: ASYNC110
                    await trio.sleep(0.1)
        self.record.write(f"ready: {instances} instances, {workers} executors")

    def write_configuration(self, *, version: int) -> None:
        """Write a configuration with one queue as the operator."""
        route = {
            "name": "queue",
            "host": HOST,
            "prefix": "/queue/",
            "service": "service",
            "priority": 1,
            "attempts": 2,
            "stretch": 3.0,
            "targetLatencyMs": 1000,
        }
        configuration = {
            "version": version,
            "routes": [route],
            "services": [{"name": "service"}],
            "tenants": [{"name": "one", "apiKeys": [KEY]}],
        }
        self.kv.put("op/config", json.dumps(configuration).encode())

    async def add_worker(self, name: str, *, rack: str) -> executors.Executor:
        """Add an executor, listed in the store and served at its own port."""
        port = free_port()
        executor = self.world.add(name, f"127.0.0.1:{port}", rack=rack)
        executor.beats = executor.keeps_id = True
        executor.list_entry()
        self._beats[name] = trio.current_time()
        await self._nursery.start(self._serve, executor, port)
        return executor

    async def _serve(
        self,
        executor: executors.Executor,
        port: int,
        *,
        task_status: trio.TaskStatus[None] = trio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serve an executor; while it is cut off, its connections are reset and refused."""

        async def handle(req: server.Request) -> server.Response:
            for other in self.world.executors.values():
                if other.is_up:
                    other.advance()
            return await executor.handle(req)

        status: trio.TaskStatus[None] = task_status
        while True:
            if executor.name in self.cut_off or not executor.is_up:
                await trio.sleep(TICK_S)
                continue
            with trio.CancelScope() as scope:
                self._scopes[executor.name] = scope
                async with trio.open_nursery() as nursery:
                    await nursery.start(server.Server(f"127.0.0.1:{port}", handle).run)
                    status.started()
                    status = trio.TASK_STATUS_IGNORED

    def cut(self, name: str) -> None:
        """Cut an executor off from the instances and the store; it runs on."""
        self.record.write(f"disruption: {name} is cut off")
        self.cut_off.add(name)
        self._scopes[name].cancel()

    def heal(self, name: str) -> None:
        """End the cut of an executor."""
        self.record.write(f"disruption: the cut of {name} ends")
        self.cut_off.discard(name)
        self._beats[name] = float("-inf")

    def crash(self, executor: executors.Executor) -> None:
        """Crash an executor: what it runs is gone and its connections are reset."""
        self.record.write(f"disruption: {executor.name} crashes")
        lost, executor.runs = executor.runs, {}
        executor.is_up = False
        for run in lost.values():
            self.world.record_event("gone", executor.name, run.task, run.run)
        self._scopes[executor.name].cancel()

    def rename(self, executor: executors.Executor, name: str) -> None:
        """Give a crashed executor a new id, under which it starts next."""
        del self.world.executors[executor.name]
        del self._beats[executor.name]
        executor.name = name
        self.world.executors[name] = executor
        self._beats[name] = float("-inf")

    def restart(self, executor: executors.Executor) -> None:
        """Start a crashed executor again under its id."""
        executor.boot()
        self._beats[executor.name] = float("-inf")
        self.record.write(f"{executor.name} is back, born {executor.born_ms}")

    async def _run_world(self) -> None:
        while True:
            await trio.sleep(TICK_S)
            now_s = trio.current_time()
            for executor in list(self.world.executors.values()):
                if executor.is_up:
                    executor.advance()
                self._beat(executor, now_s)
            self.note_events()

    def _beat(self, executor: executors.Executor, now_s: float) -> None:
        """Write the executor's entry when due; remove it after three silent intervals."""
        silent_s = now_s - self._beats[executor.name]
        if executor.is_up and executor.name not in self.cut_off:
            if silent_s >= BEAT_S:
                executor.list_entry()
                self._beats[executor.name] = now_s
        elif silent_s > SILENT_BEATS * BEAT_S and self.kv.get(f"servers/{executor.name}"):
            self.record.write(f"the store removes the entry of {executor.name}")
            self.kv.delete(f"servers/{executor.name}")

    def note_events(self) -> None:
        """Record the starts and ends that the executors have logged since the last call."""
        for _, event, name, task, run in self.world.log[self._next_event :]:
            self.record.write(f"executor {name}: {event} {task} run {run}")
        self._next_event = len(self.world.log)

    async def _supervise(self, instance: Instance) -> None:
        """Start an exited instance again after a short delay, as the platform does."""
        while not self._is_stopping:
            await trio.sleep(TICK_S)
            process = instance.process
            if process is None or process.poll() is None:
                continue
            instance.exits.append(process.returncode)
            self.record.write(f"{instance.name}: the process ended, status {process.returncode}")
            await trio.sleep(RESTART_S)
            instance.start()
            self.record.write(f"{instance.name}: started again")

    def stop(self) -> None:
        """Kill every process that the script has started."""
        self._is_stopping = True
        for instance in self.instances:
            instance.stop()

    async def call(
        self, port: int, method: str, path: str, body: bytes = b""
    ) -> tuple[int, bytes] | None:
        """Send one request and return its status and body, None without a complete answer."""
        lines = [f"{method} {path} HTTP/1.1", *HEADERS, "Connection: close"]
        if body:
            lines += ["Content-Type: application/json", f"Content-Length: {len(body)}"]
        head = "\r\n".join([*lines, "", ""]).encode()
        answers = await exchange(port, head + body)
        return answers[0] if answers else None

    async def submit(self, job: str, steps: list[dict[str, Any]], plan: dict[str, Any]) -> bool:
        """Submit a job, with up to four retries at other instances; return if it was accepted."""
        body = json.dumps({"spec": json.dumps(plan), "steps": steps}).encode()
        for attempt in range(5):
            instance = self.instances[attempt % len(self.instances)]
            answer = await self.call(instance.front, "POST", f"/queue/{job}", body)
            status = "no answer" if answer is None else answer[0]
            self.record.write(f"caller: POST {job} at {instance.name}: {status}")
            if answer is not None and answer[0] == 200:  # noqa: PLR2004  # HTTP status
                return True
            await trio.sleep(0.5)
        return False

    async def state_of(self, job: str, *, is_recorded: bool = True) -> str:
        """Return the state that the first instance that answers shows for a job."""
        for instance in self.instances:
            answer = await self.call(instance.front, "GET", f"/queue/{job}")
            if answer is None:
                continue
            status, body = answer
            state = json.loads(body)["state"] if status == 200 else str(status)  # noqa: PLR2004
            if is_recorded:
                self.record.write(f"caller: GET {job} at {instance.name}: {state}")
            return str(state)
        return "no answer"

    async def wait_for_state(self, job: str, state: str, within_s: float) -> bool:
        """Ask for a job's state until it is the given one; return false when time is up."""
        with trio.move_on_after(within_s):
            while await self.state_of(job, is_recorded=False) != state:  # noqa: ASYNC110
                await trio.sleep(0.1)
            self.record.write(f"caller: {job} is {state}")
            return True
        return False

    def runs_of(self, job: str) -> list[tuple[str, str, int]]:
        """Return executor, task and run number of everything of a job that runs now."""
        return [
            (name, run.task, run.run)
            for name, executor in self.world.executors.items()
            for run in executor.runs.values()
            if run.task.startswith(f"{job}.")
        ]


@contextlib.asynccontextmanager
async def _open_site(record: Record) -> AsyncIterator[Site]:
    folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
    try:
        async with trio.open_nursery() as nursery:
            site = Site(nursery, record, folder)
            try:
                yield site
            finally:
                site.stop()
                nursery.cancel_scope.cancel()
    finally:
        shutil.rmtree(folder, ignore_errors=True)


def run(case: Callable[[Site], Awaitable[bool]], limit_s: float = 110.0) -> None:
    """Run a case and exit with 1 if the rule was broken, 0 if it held, 2 if it could not run.

    The path of the record is the command's first argument.

    :param case: returns whether the rule held
    """
    record = Record(pathlib.Path(sys.argv[1]))

    async def main() -> int:
        with trio.move_on_after(limit_s):
            async with _open_site(record) as site:
                return HELD if await case(site) else BROKEN
        return NOT_RUN

    try:
        status = trio.run(main)
    except Exception as exc:  # noqa: BLE001  # any failure of the harness itself
        record.write(f"the case could not run: {exc!r}")
        status = NOT_RUN
    record.write(f"result: {('the rule held', 'the rule was broken', 'not run')[status]}")
    sys.exit(status)


__all__ = ["HEADERS", "Instance", "Record", "Site", "exchange", "has_trouble", "run"]
