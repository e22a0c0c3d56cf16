"""Entry instances as processes that are started, paused, killed and restarted."""

from __future__ import annotations

import os
import pathlib
import signal
import subprocess
import sys
from typing import TYPE_CHECKING

import trio

from soak import configurations, evacuations

if TYPE_CHECKING:
    from soak.links import Link

ROOT = pathlib.Path(__file__).parent.parent
SHUTDOWN_GRACE_S = 6.0
START_TIMEOUT_S = 10.0
"""Longest time until a new process listens on its ports."""

SETTINGS = """\
node={name}
zone=z{zone}
ip=127.0.0.1
portRange={first_port},{last_port}
listen.front=127.0.0.1:{front}
listen.ready=127.0.0.1:{ready}
platform.addr=127.0.0.1:{store}
bounds.configMs={config_ms}
bounds.evacMs={evac_ms}
"""


class Instance:
    """An entry instance and the links to it.

    :param number: number in its name
    :param ports: four free ports: for callers, for readiness, and the ends of ``portRange``
    :param store: link from the instance to the store
    :param callers: link from callers to the instance
    :param folder: folder of its log and settings file
    :ivar disturbed_s: time at which a fault other than SIGTERM last affected it
    :ivar sigterm_s: time at which it was last sent SIGTERM
    :ivar is_stopping: whether its process was killed or sent SIGTERM
    :ivar incarnation: number of processes started so far
    """

    def __init__(
        self, number: int, ports: list[int], *, store: Link, callers: Link, folder: pathlib.Path
    ) -> None:
        self.name = f"front-{number}"
        self.front_port, self.ready_port, self.own_port, last = ports
        self.store = store
        self.callers = callers
        self.disturbed_s = float("-inf")
        self.sigterm_s = float("-inf")
        self.incarnation = 0
        self.is_stopping = False
        self._process: subprocess.Popen[bytes] | None = None
        self._log_path = folder / f"{self.name}.log"
        self._settings_path = folder / f"{self.name}.conf"
        self._settings_path.write_text(
            SETTINGS.format(
                name=self.name,
                zone=number % 3,
                first_port=self.own_port,
                last_port=last,
                front=self.front_port,
                ready=self.ready_port,
                store=store.port,
                config_ms=round(configurations.CONFIG_S * 1000),
                evac_ms=round(evacuations.EVAC_S * 1000),
            )
        )

    @property
    def is_running(self) -> bool:
        """Return whether its process exists, paused or not."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Start a new process."""
        environ = {
            "PATH": os.environ["PATH"],
            "PYTHONPATH": str(ROOT / "src"),
            "BRONZEQUAY_BOOT": str(self._settings_path),
        }
        self.incarnation += 1
        self.is_stopping = False
        with self._log_path.open("ab") as log:
            self._process = subprocess.Popen(
                [sys.executable, "-m", "bronzequay.node"], env=environ, stdout=log, stderr=log
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to its process, if it runs."""
        self.is_stopping |= number in (signal.SIGTERM, signal.SIGKILL)
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def wait_exited(self, within_s: float) -> None:
        """Wait until the present process exits, and kill it after ``within_s`` seconds.

        Another fault may start the next process meanwhile.
        """
        process = self._process
        if process is None:
            return
        with trio.move_on_after(within_s):
            while process.poll() is None:  # noqa: ASYNC110  # a process exit sets no event
                await trio.sleep(0.02)
        if process.poll() is None:
            process.kill()
        process.wait()
