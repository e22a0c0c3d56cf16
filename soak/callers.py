"""Callers that submit jobs and poll their states, and checks of the answers."""

from __future__ import annotations

import collections
import enum
import json
import random
from typing import TYPE_CHECKING

import msgspec
import trio

from bronzequay.fakes import tasks
from bronzequay.net import client
from soak import harness

if TYPE_CHECKING:
    from soak.instances import Instance

SUBMIT_ATTEMPTS = 4
DEADLINE_S = 3.0
CANCEL_STOP_S = 3.9
"""Time that tasks may run after a cancellation is answered: 3 s, and 0.9 s for the stop."""
FAULT_MARGIN_S = 3.0
"""Time after a fault in which a breach is attributed to it."""
SHUTDOWN_GRACE_S = 6.0
POLL_INTERVAL_S = 0.4
GANG_SHARE = 0.5
CHECKPOINT_SHARE = 0.4
CANCEL_SHARE = 0.1
CRASH_SHARE = 0.06
LONG_SHARE = 0.25
LONG_RUN_S = (12.0, 16.0)
"""Shortest and longest run of a long task; both outlast the longest lease."""
MAX_CRASHING_STARTS = 5
"""Starts of a task that crashes its workers: three, and two more after the third crash."""
CANCEL_SHARE_PER_POLL = 0.4
GIVE_UP_SHARE = 0.5
"""Share of the callers who cancel a job at once if they do not know whether it was accepted."""
FINAL_STATES = frozenset({"completed", "failed", "cancelled"})


class SubmitResult(enum.Enum):
    """What a caller knows of a job that it submitted."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class Job:
    """A job as its caller sees it.

    :ivar state: state in the last answer, empty before the first
    :ivar cancelled_s: time at which a cancellation was answered
    :ivar is_barred: whether the answer was that there is no such job
    """

    def __init__(self, name: str, prefix: str, body: bytes, task_count: int) -> None:
        self.name = name
        self.path = f"{prefix}{name}"
        self.body = body
        self.task_count = task_count
        self.submit_result = SubmitResult.UNKNOWN
        self.state = ""
        self.cancelled_s: float | None = None
        self.is_cancel_requested = self.is_barred = False


class Callers:
    """Traffic of one run.

    :param site: harness whose instances are called
    :param seed: seed of the draws of jobs and instances
    :param has_hazards: whether some jobs crash the workers that start them
    :ivar breaches: descriptions of the breaches
    :ivar answers: number of answers by status, ``none`` if a call was not answered
    """

    def __init__(self, site: harness.Harness, seed: int, *, has_hazards: bool = False) -> None:
        self._site = site
        self._rng = random.Random(seed)
        self._crash_rng = random.Random(f"crashes {seed}")
        self._long_rng = random.Random(f"long {seed}")
        self._give_up_rng = random.Random(f"give up {seed}")
        self._crash_share = CRASH_SHARE if has_hazards else 0.0
        self.crashing_jobs: set[str] = set()
        self._clients = {
            instance.name: client.Client(f"127.0.0.1:{instance.callers.port}")
            for instance in site.instances
        }
        self.jobs: dict[str, Job] = {}
        self.breaches: list[str] = []
        self.answers: collections.Counter[str] = collections.Counter()
        self.is_submitting = True
        self._served_versions: dict[tuple[str, int], int] = {}

    async def run(self, nursery: trio.Nursery, per_s: float) -> None:
        """Submit jobs until ``is_submitting`` is cleared.

        :param per_s: mean number of jobs per second
        """
        while self.is_submitting:
            await trio.sleep(self._rng.expovariate(per_s))
            nursery.start_soon(self.run_job, self.draw_job())

    def draw_job(self, *, is_plain: bool = False) -> Job:
        """Draw a job.

        :param is_plain: whether its tasks are short and crash no worker
        """
        rng = self._rng
        count = rng.choice([1, 1, 2, 3, 5])
        gpu = rng.choice([1, 1, 2, 4, 8])
        run_s = rng.choice([0.2, 0.6, 1.5, 4.0])
        is_gang = rng.random() < GANG_SHARE
        if is_gang:
            # A gang that the fleet cannot hold would wait for ever.
            count = min(count, self._site.worker_count * (harness.WORKER_GPUS // gpu))
        saves = rng.random() < CHECKPOINT_SHARE
        if not is_plain and self._long_rng.random() < LONG_SHARE:
            # Small, so that the fleet has room for the other tasks.
            run_s, gpu, is_gang = self._long_rng.uniform(*LONG_RUN_S), 1, False
        plan = tasks.Plan(
            run_s=run_s,
            gang=count if is_gang else 0,
            fails=rng.choice([0, 0, 0, 0, 1]),
            saves=saves,
            gpu=gpu,
            crashes_after_s=0.0 if not is_plain and self._draws_crash() else None,
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
        if plan.crashes_after_s is not None:
            self.crashing_jobs.add(name)
        return job

    def _draws_crash(self) -> bool:
        return self._crash_rng.random() < self._crash_share

    async def run_job(self, job: Job) -> None:
        """Submit a job, perhaps cancel it, and poll it until it ends."""
        await self._submit(job, gives_up=self._give_up_rng.random() < GIVE_UP_SHARE)
        if job.submit_result is SubmitResult.UNKNOWN:
            await self._cancel(job)
        if job.submit_result is not SubmitResult.ACCEPTED:
            return
        will_cancel = self._rng.random() < CANCEL_SHARE
        while job.state not in FINAL_STATES:
            await trio.sleep(POLL_INTERVAL_S * self._rng.uniform(0.5, 1.5))
            if will_cancel and self._rng.random() < CANCEL_SHARE_PER_POLL:
                will_cancel = False
                await self._cancel(job)
            await self._poll_state(job)

    async def _cancel(self, job: Job) -> None:
        job.is_cancel_requested = True
        status, _ = await self._call("DELETE", job.path)
        if status in (200, 410):
            job.cancelled_s = trio.current_time()
        job.is_barred = status == 410 and job.submit_result is SubmitResult.UNKNOWN  # noqa: PLR2004

    async def submit_until_accepted(self, job: Job) -> None:
        """Submit a job until it is accepted, and poll it until it ends."""
        while job.submit_result is not SubmitResult.ACCEPTED:
            await self._submit(job)
        while job.state not in FINAL_STATES:
            await trio.sleep(0.1)
            await self._poll_state(job)

    def unfinished_jobs(self) -> list[Job]:
        """Return the accepted jobs whose callers have not seen a final state."""
        return [
            job
            for job in self.jobs.values()
            if job.submit_result is SubmitResult.ACCEPTED and job.state not in FINAL_STATES
        ]

    def count_states(self) -> dict[str, int]:
        """Count the jobs by the state or submit result that their callers saw last."""
        return dict(
            collections.Counter(job.state or job.submit_result.value for job in self.jobs.values())
        )

    async def _submit(self, job: Job, *, gives_up: bool = False) -> None:
        result = SubmitResult.REJECTED
        for _ in range(SUBMIT_ATTEMPTS):
            status, _ = await self._call("POST", job.path, job.body)
            if status == 200:  # noqa: PLR2004
                job.submit_result = SubmitResult.ACCEPTED
                return
            # Only 429 and 503 say that the job was not accepted.
            if status not in (429, 503):
                result = SubmitResult.UNKNOWN
                if gives_up:
                    break
            await trio.sleep(0.2)
        job.submit_result = result

    async def _poll_state(self, job: Job) -> None:
        status, body = await self._call("GET", job.path)
        if status == 410 and job.submit_result is SubmitResult.ACCEPTED:  # noqa: PLR2004
            self.breaches.append(f"accepted job {job.name} is unknown")
        if status != 200:  # noqa: PLR2004
            return
        state = json.loads(body)["state"]
        if job.state in FINAL_STATES and state != job.state:
            self.breaches.append(f"job {job.name} was {job.state} and is {state}")
        if state == "cancelled" and not job.is_cancel_requested:
            self.breaches.append(f"job {job.name} is cancelled without a request")
        job.state = state
        self._site.run_checker.check()
        done_count = sum(task.startswith(f"{job.name}.") for task in self._site.run_checker.done)
        if state == "completed" and done_count < job.task_count:
            self.breaches.append(f"job {job.name} is completed with {done_count} tasks done")

    async def _call(self, method: str, path: str, body: bytes = b"") -> tuple[int | None, bytes]:
        """Make a call; return no status if the answer was cut off or did not arrive."""
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
            self._check_lost_answer(instance, sent_s, f"{method} {path}")
            return None, b""
        self.answers[str(resp.status)] += 1
        return resp.status, resp.body

    def _check_lost_answer(self, instance: Instance, sent_s: float, call: str) -> None:
        """Record a breach if only a graceful shutdown can have cut off the answer."""
        now_s = trio.current_time()
        is_shutting_down = sent_s - SHUTDOWN_GRACE_S < instance.sigterm_s < now_s
        is_undisturbed = (
            instance.disturbed_s < sent_s - FAULT_MARGIN_S and now_s - sent_s < DEADLINE_S - 0.1
        )
        was_reachable = instance.callers.unreachable_s < sent_s
        if is_shutting_down and is_undisturbed and was_reachable:
            self.breaches.append(f"{instance.name} cut off {call} while it was shutting down")

    async def probe_configuration(self) -> None:
        """Request the newest route, which must be in force in time whatever the faults.

        An instance must also serve a route that it has served before.

        A restarted instance may have lost routes.
        """
        while self.is_submitting:
            await trio.sleep(0.3)
            instance = self._rng.choice(self._site.instances)
            incarnation, version = instance.incarnation, self._site.version
            sent_s = trio.current_time()
            status, _ = await self._request_route(instance, version)
            if status == 404 and self._site.versions.is_due(version, sent_s):  # noqa: PLR2004
                self.breaches.append(f"{instance.name} answers by a version before {version}")
            if instance.incarnation != incarnation:
                continue
            served = self._served_versions.get((instance.name, incarnation), 0)
            if status == 200:  # noqa: PLR2004
                self._served_versions[instance.name, incarnation] = max(served, version)
            elif status == 404 and version <= served:  # noqa: PLR2004
                self.breaches.append(f"{instance.name} lost the routes of version {version}")

    async def _request_route(self, instance: Instance, version: int) -> tuple[int | None, bytes]:
        headers = {"Host": "soak", "Authorization": "Bearer key-one"}
        try:
            resp = await self._clients[instance.name].request(
                "GET", f"/v{version}/", headers=headers, timeout_s=DEADLINE_S
            )
        except (client.NotSentError, client.NoResponseError):
            return None, b""
        return resp.status, resp.body

    def _check_crashing_tasks(self) -> None:
        for task, count in self._site.run_checker.start_counts.items():
            if count > MAX_CRASHING_STARTS and task.partition(".")[0] in self.crashing_jobs:
                self.breaches.append(f"{task} crashes its workers and was started {count} times")

    def check(self) -> list[str]:
        """Check what must hold at any time; return all breaches so far."""
        self._check_crashing_tasks()
        for job in self.jobs.values():
            if (
                job.submit_result is SubmitResult.REJECTED
                and f"{job.name}.0.0.0" in self._site.run_checker.started
            ):
                self.breaches.append(f"job {job.name} was rejected and ran")
            if job.is_barred and f"{job.name}.0.0.0" in self._site.run_checker.started:
                self.breaches.append(f"job {job.name} did not exist when it was cancelled and ran")
            if job.cancelled_s is None:
                continue
            # Faults after the cancellation, or shortly before it, may have delayed the stop.
            is_undisturbed = self._site.faults_until_s < job.cancelled_s - FAULT_MARGIN_S
            if is_undisturbed and trio.current_time() - job.cancelled_s > CANCEL_STOP_S:
                running = self._site.run_checker.running_tasks(job.name)
                if running:
                    self.breaches.append(f"job {job.name} was cancelled and still runs: {running}")
        return self.breaches
