"""Callers that hand in jobs and watch them, and the promises seen from their side."""

from __future__ import annotations

import collections
import enum
import json
import random
from typing import TYPE_CHECKING

import msgspec
import trio

from bronzequay.fakes import executors
from bronzequay.net import client

if TYPE_CHECKING:
    from soak.harness import Harness
    from soak.instances import Instance

TRIES = 4
DEADLINE_S = 3.0
CANCEL_S = 3.9
"""Time after the answer to a cancellation in which its tasks may run: 3 s and 0.9 s of a stop."""
CALM_S = 3.0
GRACE_S = 6.0
POLL_S = 0.4
GANGS = 0.5
SAVING = 0.4
CANCELLED = 0.1
CANCELLED_SOON = 0.4
FINAL = frozenset({"completed", "failed", "cancelled"})


class Handed(enum.Enum):
    """What a caller knows of a job that it handed in."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class Job:
    """One job as its caller sees it."""

    def __init__(self, name: str, prefix: str, body: bytes, tasks: int) -> None:
        self.name = name
        self.path = f"{prefix}{name}"
        self.body = body
        self.tasks = tasks
        self.handed = Handed.UNKNOWN
        self.state = ""
        self.cancelled_s: float | None = None
        self.was_cancelled = False


class Callers:
    """Traffic of one run.

    :param site: what they call
    :ivar breaches: broken promises, in words
    :ivar answers: answers by status, ``none`` where there was none
    """

    def __init__(self, site: Harness, seed: int) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self._clients = {
            each.name: client.Client(f"127.0.0.1:{each.callers.port}") for each in site.instances
        }
        self.jobs: dict[str, Job] = {}
        self.breaches: list[str] = []
        self.answers: collections.Counter[str] = collections.Counter()
        self.is_open = True
        self._seen: dict[tuple[str, int], int] = {}

    async def run(self, nursery: trio.Nursery, per_s: float) -> None:
        """Hand in jobs until ``is_open`` is cleared."""
        while self.is_open:
            await trio.sleep(self._rng.expovariate(per_s))
            nursery.start_soon(self.live, self.draw())

    def draw(self) -> Job:
        """Draw a job."""
        rng = self._rng
        count = rng.choice([1, 1, 2, 3, 5])
        gpu = rng.choice([1, 1, 2, 4, 8])
        run_s = rng.choice([0.2, 0.6, 1.5, 4.0])
        is_gang = rng.random() < GANGS
        saves = rng.random() < SAVING
        plan = executors.Plan(
            run_s=run_s,
            gang=count if is_gang else 0,
            fails=rng.choice([0, 0, 0, 0, 1]),
            saves=saves,
            gpu=gpu,
        )
        step = {
            "count": count,
            "cpu": 500,
            "memMb": 500,
            "gpu": gpu,
            "estimateMs": round(run_s * 1000),
            "gang": is_gang,
            "savesProgress": saves,
        }
        body = {"spec": msgspec.json.encode(plan).decode(), "steps": [step]}
        name = f"{rng.getrandbits(64):016x}"
        job = Job(name, f"/q{rng.randrange(3)}/", json.dumps(body).encode(), count)
        self.jobs[name] = job
        return job

    async def live(self, job: Job) -> None:
        """Hand a job in, perhaps cancel it, and watch it to its end."""
        await self._submit(job)
        if job.handed is not Handed.ACCEPTED:
            return
        cancels = self._rng.random() < CANCELLED
        while job.state not in FINAL:
            await trio.sleep(POLL_S * self._rng.uniform(0.5, 1.5))
            if cancels and self._rng.random() < CANCELLED_SOON:
                cancels = False
                job.was_cancelled = True
                status, _ = await self._call("DELETE", job.path)
                if status in (200, 410):
                    job.cancelled_s = trio.current_time()
            await self._ask(job)

    async def insist(self, job: Job) -> None:
        """Hand a job in until it is accepted, and watch it to its end."""
        while job.handed is not Handed.ACCEPTED:
            await self._submit(job)
        while job.state not in FINAL:
            await trio.sleep(0.1)
            await self._ask(job)

    def unsettled(self) -> list[Job]:
        """Return the accepted jobs whose callers have not seen an end."""
        return [
            job
            for job in self.jobs.values()
            if job.handed is Handed.ACCEPTED and job.state not in FINAL
        ]

    def states(self) -> dict[str, int]:
        """Count the jobs by what their callers were told last."""
        return dict(
            collections.Counter(job.state or job.handed.value for job in self.jobs.values())
        )

    async def _submit(self, job: Job) -> None:
        handed = Handed.REJECTED
        for _ in range(TRIES):
            status, _ = await self._call("POST", job.path, job.body)
            if status == 200:  # noqa: PLR2004
                job.handed = Handed.ACCEPTED
                return
            if status not in (429, 503):
                handed = Handed.UNKNOWN
            await trio.sleep(0.2)
        job.handed = handed

    async def _ask(self, job: Job) -> None:
        status, body = await self._call("GET", job.path)
        if status == 410 and job.handed is Handed.ACCEPTED:  # noqa: PLR2004
            self.breaches.append(f"accepted job {job.name} is not known")
        if status != 200:  # noqa: PLR2004
            return
        state = json.loads(body)["state"]
        if job.state in FINAL and state != job.state:
            self.breaches.append(f"job {job.name} was {job.state} and is {state}")
        if state == "cancelled" and not job.was_cancelled:
            self.breaches.append(f"job {job.name} is cancelled, and nobody asked for it")
        job.state = state
        self._site.runs.check()
        done = sum(task.startswith(f"{job.name}.") for task in self._site.runs.done)
        if state == "completed" and done < job.tasks:
            self.breaches.append(f"job {job.name} told as completed with {done} tasks done")

    async def _call(self, method: str, path: str, body: bytes = b"") -> tuple[int | None, bytes]:
        """Make one call; no status when the answer was cut off or did not come."""
        instance = self._rng.choice(self._site.instances)
        headers = {
            "Host": "soak",
            "Authorization": "Bearer key-one",
            "Deadline-Ms": str(round(DEADLINE_S * 1000)),
        }
        sent_s = trio.current_time()
        try:
            resp = await self._clients[instance.name].request(
                method, path, body=body, headers=headers, timeout_s=DEADLINE_S
            )
        except client.NotSentError:
            self.answers["not sent"] += 1
            return None, b""
        except client.NoResponseError:
            self.answers["none"] += 1
            self._note_cut(instance, sent_s, f"{method} {path}")
            return None, b""
        self.answers[str(resp.status)] += 1
        return resp.status, resp.body

    def _note_cut(self, instance: Instance, sent_s: float, call: str) -> None:
        """Count a lost answer as a breach if a shutdown alone can have cut it off."""
        now_s = trio.current_time()
        is_planned = sent_s - GRACE_S < instance.term_s < now_s
        is_calm = instance.disturbed_s < sent_s - CALM_S and now_s - sent_s < DEADLINE_S - 0.1
        is_there = instance.callers.unreached_s < sent_s
        if is_planned and is_calm and is_there:
            self.breaches.append(f"{instance.name} cut off {call} while it was shutting down")

    async def probe_configuration(self) -> None:
        """Ask instances for the newest routes; none may forget one that it has served."""
        while self.is_open:
            await trio.sleep(0.3)
            instance = self._rng.choice(self._site.instances)
            life, version = instance.life, self._site.version
            status, _ = await self._ask_route(instance, version)
            if instance.life != life:
                continue
            known = self._seen.get((instance.name, life), 0)
            if status == 200:  # noqa: PLR2004
                self._seen[instance.name, life] = max(known, version)
            elif status == 404 and version <= known:  # noqa: PLR2004
                self.breaches.append(f"{instance.name} forgot the routes of version {version}")

    async def _ask_route(self, instance: Instance, version: int) -> tuple[int | None, bytes]:
        headers = {"Host": "soak", "Authorization": "Bearer key-one"}
        try:
            resp = await self._clients[instance.name].request(
                "GET", f"/v{version}/", headers=headers, timeout_s=DEADLINE_S
            )
        except (client.NotSentError, client.NoResponseError):
            return None, b""
        return resp.status, resp.body

    def check(self) -> list[str]:
        """Check what can be told at any moment; return all breaches so far."""
        for job in self.jobs.values():
            if job.handed is Handed.REJECTED and f"{job.name}.0.0.0" in self._site.runs.started:
                self.breaches.append(f"job {job.name} was rejected and ran")
            if job.cancelled_s is None:
                continue
            # Faults since then may have delayed the stop.
            is_calm = self._site.troubled_s < job.cancelled_s - CALM_S
            if is_calm and trio.current_time() - job.cancelled_s > CANCEL_S:
                running = self._site.runs.running_of(job.name)
                if running:
                    self.breaches.append(f"job {job.name} was cancelled and runs on: {running}")
        return self.breaches
