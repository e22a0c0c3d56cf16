# Named like the standard module sched, as it measures the package of that name.
"""Measures the scheduler's shell in one process, against in-memory fakes.

``python -m bench.sched --seed N --json`` prints times without waits, as the clock of the run is
virtual: the time from submission to running, store writes per job, bytes per record, and bytes
and processor time per renewal.
"""

from __future__ import annotations

import argparse
import json
import logging
import random
import time
from typing import TYPE_CHECKING, Any

import httpx
import msgspec
import structlog
import trio
from trio import testing

from bronzequay import codes, ids
from bronzequay.policy import model
from bronzequay.sched import journal
from bronzequay.work import client, tasks
from tests.sched import harness

if TYPE_CHECKING:
    from collections.abc import Sequence

WORKERS = 24
JOBS = 200
RENEWALS = 400
US_PER_S = 1e6


def percentile(values: Sequence[float], share: float) -> float:
    """Return a percentile of values.

    :param values: in any order
    :param share: from 0 to 1
    """
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


async def measure_jobs(rng: random.Random) -> dict[str, float]:
    """Measure single jobs one after another, then as many submitted at once.

    :param rng: draws the sizes of the single jobs
    :return: figures by name
    """
    fleet = harness.Fleet(workers=WORKERS)
    instance = harness.Instance(fleet, "i1")
    times_us: list[float] = []
    async with trio.open_nursery() as nursery:
        nursery.start_soon(instance.run)
        await harness.wait_until(lambda: instance.scheduler.is_active)
        writes_before = fleet.store.writes
        for number in range(JOBS):
            spec = harness.spec(accelerators=rng.choice((1, 2, 4)), declared_s=0.5)
            start_s = time.perf_counter()
            record = await instance.scheduler.submit(spec, key=str(number))
            states = [model.JobState.RUNNING, model.JobState.FINISHED]
            await harness.wait_for_state(instance.scheduler, record.job, states)
            times_us.append((time.perf_counter() - start_s) * US_PER_S)
            await trio.sleep(2.0)
        writes_alone = (fleet.store.writes - writes_before) / JOBS
        writes_before = fleet.store.writes
        async with trio.open_nursery() as callers:
            for number in range(JOBS):
                callers.start_soon(_submit, instance, f"b{number}")
        await trio.sleep(120.0)
        writes_burst = (fleet.store.writes - writes_before) / JOBS
        nursery.cancel_scope.cancel()
    return {
        "submit_to_running_us_p50": round(percentile(times_us, 0.5)),
        "submit_to_running_us_p99": round(percentile(times_us, 0.99)),
        "store_writes_per_job_alone": writes_alone,
        "store_writes_per_job_burst": writes_burst,
    }


async def _submit(instance: harness.Instance, key: str) -> None:
    await instance.scheduler.submit(harness.spec(declared_s=0.5), key=key)


def record_bytes(members: int, attempts: int) -> int:
    """Return the bytes of a finished job's record in a bucket of the journal.

    :param members: members of the gang
    :param attempts: number of its starts
    """
    places = tuple(
        model.Placement(member, ids.WorkerId(f"almacen-a-w{member:04}"), (0, 1))
        for member in range(members)
    )
    workers = tuple(place.worker for place in places)
    entries = [
        model.HistoryEntry(1.7e9, state, codes.ResultCode.OK, 1, ids.BundleVersion(1000), workers)
        for state in [model.JobState.STARTING, model.JobState.RUNNING, model.JobState.FINISHED]
    ]
    record = model.JobRecord(
        job=ids.JobId("j" + "0" * 24),
        spec=harness.spec(members=members),
        state=model.JobState.FINISHED,
        code=codes.ResultCode.OK,
        accepted_s=1.7e9,
        placements=places,
        history=entries[:1] + entries * attempts,
    )
    return len(msgspec.msgpack.encode(record))


async def measure_renewals(task_count: int) -> dict[str, float]:
    """Measure lease renewals of the tasks of one worker.

    :param task_count: number of tasks on the worker
    :return: bytes of a call and its answer, processor time of both ends in microseconds
    """
    sizes: list[int] = []

    async def record_request(req: httpx.Request) -> None:
        sizes.append(len(req.content) + sum(len(k) + len(v) + 4 for k, v in req.headers.raw))

    async def record_response(resp: httpx.Response) -> None:
        await resp.aread()
        sizes[-1] += len(resp.content) + sum(len(k) + len(v) + 4 for k, v in resp.headers.raw)

    fleet = harness.Fleet(workers=1, accelerators=task_count)
    transport = harness.in_process(fleet.app)
    hooks: dict[str, list[Any]] = {"request": [record_request], "response": [record_response]}
    async with httpx.AsyncClient(transport=transport, event_hooks=hooks) as http:
        workers = client.WorkerClient(http=http)
        address = f"{harness.BASE}/w/w0"
        task_ids = [
            tasks.task_id(ids.JobId("j" + "0" * 24), 1, number) for number in range(task_count)
        ]
        starts = [_new_start(name) for name in task_ids]
        await workers.start(address, starts)
        start_s = time.process_time()
        for _ in range(RENEWALS):
            await workers.renew(address, task_ids, ttl_s=1e9)
        spent_s = time.process_time() - start_s
    return {"bytes": sizes[-1], "cpu_us": round(spent_s / RENEWALS * US_PER_S)}


def _new_start(name: ids.TaskId) -> client.Start:
    return client.Start(
        task=name,
        attempt=1,
        epoch=ids.Epoch(1),
        devices=(0,),
        accelerators=1,
        cpu=1,
        mem_gb=1,
        ttl_s=1e9,
        held=False,
        resume_s=0.0,
        payload=msgspec.Raw(b"{}"),
    )


def main() -> None:
    """Run the benchmark and print its figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--json", action="store_true")
    options = parser.parse_args()
    structlog.configure(wrapper_class=structlog.make_filtering_bound_logger(logging.ERROR))
    clock = testing.MockClock(autojump_threshold=0)
    figures: dict[str, float] = trio.run(measure_jobs, random.Random(options.seed), clock=clock)
    for task_count in (0, 8, 64):
        clock = testing.MockClock(autojump_threshold=0)
        renewal = trio.run(measure_renewals, task_count, clock=clock)
        figures |= {f"renewal_{name}_{task_count}_tasks": value for name, value in renewal.items()}
    for members in (1, 8, 64):
        figures[f"record_bytes_{members}_members"] = record_bytes(members, 1)
    figures["record_bytes_an_attempt"] = record_bytes(1, 2) - record_bytes(1, 1)
    figures["buckets"] = journal.BUCKETS
    print(json.dumps({"bench": "sched", "seed": options.seed, **figures}, indent=None))


if __name__ == "__main__":
    main()
