"""One deployment on loopback as separate processes, for benchmarks and failure tests.

bronzequay itself starts no process; this harness does, and kills only those it started.
"""

from __future__ import annotations

import contextlib
import dataclasses
import os
import pathlib
import socket
import subprocess
import sys
import tempfile
import time
from typing import TYPE_CHECKING, Self

import httpx

from bronzequay.demo import drive
from bronzequay.fakes import sites

if TYPE_CHECKING:
    import signal
    from collections.abc import Sequence

HOST = "127.0.0.1"
ROOT = pathlib.Path(__file__).parent.parent
OPERATORS = (
    "olga=operator:example-operator,rafael=reviewer:example-reviewer,ana=analyst:example-analyst"
)
READY_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 20.0
RETRY_S = 0.05
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_MB = os.sysconf("SC_PAGE_SIZE") / 1_000_000


def free_ports(count: int) -> list[int]:
    """Return ports that were free when checked."""
    socks = [socket.socket() for _ in range(count)]
    try:
        for sock in socks:
            sock.bind((HOST, 0))
        return [int(sock.getsockname()[1]) for sock in socks]
    finally:
        for sock in socks:
            sock.close()


@dataclasses.dataclass
class Process:
    """A process of the deployment."""

    name: str
    argv: Sequence[str]
    log: pathlib.Path
    port: int
    popen: subprocess.Popen[bytes] | None = None

    @property
    def url(self) -> str:
        """Return the base URL of the HTTP port."""
        return f"http://{HOST}:{self.port}"

    @property
    def pid(self) -> int:
        """Return the process id."""
        if self.popen is None:
            raise RuntimeError(f"{self.name} is not started")
        return self.popen.pid

    def start(self) -> None:
        """Start the process with its output appended to its log."""
        environ = {
            **os.environ,
            "BRONZEQUAY_OPERATOR_TOKENS": OPERATORS,
            "PYTHONPATH": os.pathsep.join(sys.path),
        }
        with self.log.open("ab") as log:
            self.popen = subprocess.Popen(  # noqa: S603 - our own programs
                self.argv, stdout=log, stderr=log, env=environ, cwd=ROOT
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it was started."""
        if self.popen is not None:
            self.popen.send_signal(number)

    def wait(self) -> int:
        """Wait for the process to exit and return the exit code, -1 if it was not started."""
        return -1 if self.popen is None else self.popen.wait(STOP_TIMEOUT_S)

    def kill(self) -> None:
        """Kill the process if it is running."""
        if self.popen is not None and self.popen.poll() is None:
            self.popen.kill()
            self.popen.wait(STOP_TIMEOUT_S)

    def cpu_s(self) -> float:
        """Return the processor time used, in seconds."""
        stat = pathlib.Path(f"/proc/{self.pid}/stat").read_text(encoding="utf-8")
        fields = stat.rpartition(")")[2].split()
        return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS

    def rss_mb(self) -> float:
        """Return the resident memory, in MB."""
        statm = pathlib.Path(f"/proc/{self.pid}/statm").read_text(encoding="utf-8")
        return int(statm.split()[1]) * PAGE_MB


class Deployment:
    """Stand-ins of platform, workers and executors, and entry instances; a context manager.

    :param site: ``quispe`` or ``trentmere``
    :param entries: number of entry instances
    :param flags: additional flags of every entry instance
    """

    def __init__(self, *, site: str, entries: int, flags: Sequence[str] = ()) -> None:
        self.site = sites.SITES[site]
        self._exits = contextlib.ExitStack()
        folder = self._exits.enter_context(tempfile.TemporaryDirectory(prefix="bronzequay-"))
        self.logs = pathlib.Path(folder)
        ports = free_ports(3 + entries)
        mesh_ports = free_ports(entries)
        platform_url = f"http://{HOST}:{ports[0]}"
        fake_argv = (sys.executable, "-m", "bronzequay.fakes.main")
        platform_flags = ("--platform-url", platform_url)
        self.platform = self._new_process("platform", ports[0], (*fake_argv, "platform"))
        self.workers = self._new_process(
            "workers", ports[1], (*fake_argv, "workers", *platform_flags, "--site", site)
        )
        self.executors = self._new_process(
            "executors", ports[2], (*fake_argv, "executors", *platform_flags, "--site", site)
        )
        self.entries = [
            self._new_process(
                f"entry-{number}",
                ports[2 + number],
                (
                    *(sys.executable, "-m", "bronzequay.daemon", *platform_flags, *flags),
                    *("--instance", f"entry-{number}", "--region", self.site.region),
                    *("--mesh-port", str(mesh_ports[number - 1])),
                ),
            )
            for number in range(1, entries + 1)
        ]

    def _new_process(self, name: str, port: int, argv: Sequence[str]) -> Process:
        return Process(name, (*argv, "--port", str(port)), self.logs / f"{name}.log", port)

    def __enter__(self) -> Self:
        """Start all processes and wait until each answers over HTTP."""
        for process in (self.platform, self.workers, self.executors):
            process.start()
        self.wait_ready(self.platform)
        for entry in self.entries:
            self.list_entry(entry)
            entry.start()
        for process in (self.workers, self.executors, *self.entries):
            self.wait_ready(process)
        return self

    def __exit__(self, *exc_info: object) -> None:
        """Kill all processes."""
        for process in (*self.entries, self.workers, self.executors, self.platform):
            process.kill()
        self._exits.close()

    @property
    def urls(self) -> list[str]:
        """Return the base URLs of the entry instances."""
        return [entry.url for entry in self.entries]

    def list_entry(self, entry: Process, *, state: str = "live") -> None:
        """Register an entry instance in the platform's list of instances."""
        item = {
            "id": entry.name,
            "kind": "entry",
            "address": entry.url,
            "data_centre": self.site.data_centres[0],
            "state": state,
        }
        httpx.put(f"{self.platform.url}/v1/instances/{entry.name}", json=item)

    def wait_ready(self, process: Process) -> None:
        """Wait until a process answers over HTTP."""
        deadline_s = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline_s:
            with contextlib.suppress(httpx.TransportError):
                httpx.get(f"{process.url}/healthz", timeout=1.0)
                return
            time.sleep(RETRY_S)
        raise RuntimeError(
            f"{process.name} did not answer; end of its log: {process.log.read_text()[-2000:]}"
        )

    async def roll_out(self, http: httpx.AsyncClient) -> drive.Driver:
        """Roll out the site's example bundle; return a client for its callers and operators."""
        name = next(name for name, site in sites.SITES.items() if site is self.site)
        driver = drive.Driver(urls=self.urls, http=http)
        await driver.roll_out((ROOT / "examples" / f"{name}.toml").read_bytes())
        return driver


__all__ = ["Deployment", "Process", "free_ports"]
