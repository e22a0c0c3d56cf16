"""The real program as processes: started, stopped, paused, killed and started again."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
from typing import TYPE_CHECKING

import trio

if TYPE_CHECKING:
    from soak.links import Link

ROOT = pathlib.Path(__file__).parent.parent
GRACE_S = 6.0
START_S = 10.0
"""Longest time until a new process listens."""

SETTINGS = """\
node={name}
zone=z{zone}
ip=127.0.0.1
portRange={first_port},{last_port}
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
platform.addr=127.0.0.1:{store}
"""


class Instance:
    """One entry instance and the links to it.

    :param number: names it
    :param ports: four free ports: callers, readiness, own use
    :param store: its own path to the store
    :ivar callers: path of callers to it
    :ivar disturbed_s: when a fault other than SIGTERM last touched it
    :ivar term_s: when it was last sent SIGTERM
    :ivar life: counts its processes
    """

    def __init__(
        self, number: int, ports: list[int], *, store: Link, callers: Link, folder: pathlib.Path
    ) -> None:
        self.name = f"front-{number}"
        self.front_port, self._ready_port, first, last = ports
        self.store = store
        self.callers = callers
        self.disturbed_s = float("-inf")
        self.term_s = float("-inf")
        self.life = 0
        self._process: subprocess.Popen[bytes] | None = None
        self._log = folder / f"{self.name}.log"
        self._settings = folder / f"{self.name}.conf"
        self._settings.write_text(
            SETTINGS.format(
                name=self.name,
                zone=number % 3,
                first_port=first,
                last_port=last,
                front=self.front_port,
                ready=self._ready_port,
                store=store.port,
            )
        )

    @property
    def is_running(self) -> bool:
        """Return whether its process is there, paused or not."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start a process."""
        environ = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "src"),
            "BRONZEQUAY_BOOT": str(self._settings),
        }
        self.life += 1
        with self._log.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "bronzequay.node"], env=environ, stdout=log, stderr=log
            )

    def send(self, number: signal.Signals) -> None:
        """Send a signal to its process."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def wait_ended(self, within_s: float) -> None:
        """Wait until the process has ended; one that outstays its grace is killed."""
        with trio.move_on_after(within_s):
            while self.is_running:  # noqa: ASYNC110  # there is no event to wait for
                await trio.sleep(0.02)
        if self.is_running:
            self.send(signal.SIGKILL)
        if self._process is not None:
            self._process.wait()
