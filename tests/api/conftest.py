from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import httpx
import pytest

from bronzequay import codes, errors, ids
from bronzequay.api import app, auth, services
from bronzequay.cfg import holder
from bronzequay.fakes import executor as executor_fake
from bronzequay.fakes import platform, serve
from bronzequay.obs import metrics
from bronzequay.policy import model
from bronzequay.route import claims, router
from bronzequay.route import model as route_model
from bronzequay.store import client
from bronzequay.work import executor

if TYPE_CHECKING:
    from collections.abc import Sequence

OPERATORS = "olga=operator:op-token,rafael=reviewer:rev-token,ana=analyst:ana-token"
WORKERS = [
    model.WorkerSpec(
        worker=ids.WorkerId(f"w{number}"),
        rack=ids.RackId("r0"),
        data_centre=ids.DataCentreId("dc"),
        accelerators=8,
        cpu=32,
        mem_gb=64,
    )
    for number in range(2)
]
SERVICE = ids.ServiceId("svc")


def bundle_text() -> bytes:
    orgs = "".join(
        f'[[organisation]]\nid = "{org}"\n'
        f'[[principal]]\nname = "{org}-desk"\nrole = "caller"\norganisation = "{org}"\n'
        f'token_sha256 = "{hashlib.sha256(f"{org}-token".encode()).hexdigest()}"\n'
        for org in ("org-a", "org-b")
    )
    return f"format = 1\n{orgs}".encode()


class FakeGateway:
    def __init__(self) -> None:
        self.records: dict[ids.JobId, model.JobRecord] = {}
        self.cancelled: list[ids.JobId] = []

    async def submit(self, spec: model.JobSpec, *, key: str | None) -> model.JobRecord:
        job = ids.JobId(key or f"j{len(self.records)}")
        entry = model.HistoryEntry(
            at_s=1.0,
            state=model.JobState.ACCEPTED,
            code=codes.ResultCode.ACCEPTED,
            attempt=0,
            bundle=ids.BundleVersion(1),
        )
        self.records[job] = model.JobRecord(
            job=job,
            spec=spec,
            state=model.JobState.ACCEPTED,
            code=codes.ResultCode.ACCEPTED,
            accepted_s=1.0,
            history=[entry],
        )
        return self.records[job]

    async def get(self, job: ids.JobId) -> model.JobRecord:
        if job not in self.records:
            raise errors.BronzequayError(codes.ResultCode.UNKNOWN_JOB, f"no job {job}")
        return self.records[job]

    async def cancel(self, jobs: Sequence[ids.JobId]) -> tuple[model.JobRecord, ...]:
        self.cancelled.extend(jobs)
        return tuple(self.records[job] for job in jobs)

    async def list(
        self,
        *,
        org: ids.OrgId | None = None,
        state: model.JobState | None = None,
        limit: int | None = None,
    ) -> tuple[model.JobRecord, ...]:
        in_org = [item for item in self.records.values() if org in (None, item.spec.org)]
        newest_first = reversed([item for item in in_org if state in (None, item.state)])
        return tuple(newest_first)[:limit]

    async def why(self, job: ids.JobId) -> str:
        return f"{job} waits"


@pytest.fixture
def gateway() -> FakeGateway:
    return FakeGateway()


@pytest.fixture
def deps(gateway: FakeGateway) -> services.Services:
    platform_http = httpx.AsyncClient(transport=serve.LocalTransport(platform.make_app()))
    store = client.Store(
        base_url="http://platform", instance=ids.InstanceId("e1"), http=platform_http
    )
    registry = auth.Registry(configured=auth.parse_operator_tokens(OPERATORS))
    bundle_holder = holder.Holder(wall_clock=lambda: 1.0)
    bundle_holder.on_change(lambda adopted: registry.replace(adopted.bundle.principal))
    bundle_holder.adopt(ids.BundleVersion(1), bundle_text())
    data_centre = ids.DataCentreId("dc")
    executor_id = ids.ExecutorId("x0")
    executors = executor_fake.make_app([executor_id], service=SERVICE, data_centre=data_centre)
    executor_http = httpx.AsyncClient(transport=serve.LocalTransport(executors))
    service_router = router.Router(
        service=SERVICE,
        client=executor.ExecutorClient(http=executor_http),
        claims=claims.Claims(store=store, service=SERVICE, instance=ids.InstanceId("e1")),
        instances=lambda: 1,
    )
    service_router.set_executors(
        [route_model.Executor(executor_id, "http://executors/e/x0", data_centre)]
    )
    return services.Services(
        instance=ids.InstanceId("e1"),
        mesh_address="tcp://127.0.0.1:1",
        gateway=gateway,  # type: ignore[arg-type]
        routers={SERVICE: service_router},
        holder=bundle_holder,
        registry=registry,
        store=store,
        dump=lambda: {"settings": {}},
        is_draining=lambda: False,
        metrics=metrics.Metrics(),
        wall_clock=lambda: 10.0,
        workers=lambda: WORKERS,
    )


@pytest.fixture
def http(deps: services.Services) -> httpx.AsyncClient:
    return httpx.AsyncClient(
        transport=serve.LocalTransport(app.make_app(deps)), base_url="http://entry"
    )
