"""Sizes and places of the two users' deployments."""

from __future__ import annotations

import dataclasses

from bronzequay import ids
from bronzequay.policy import model


@dataclasses.dataclass(frozen=True, kw_only=True)
class SiteSpec:
    """Size and place of a deployment.

    :param rack_workers: number of workers in a rack
    :param accelerators: number of accelerators of a worker
    :param cpu: number of processor cores of a worker
    :param mem_gb: memory of a worker, in gigabytes
    """

    region: ids.RegionId
    data_centres: tuple[ids.DataCentreId, ...]
    service: ids.ServiceId
    worker_count: int
    rack_workers: int
    accelerators: int
    cpu: int
    mem_gb: int
    executor_count: int

    def workers(self) -> tuple[model.WorkerSpec, ...]:
        """Return the workers; racks are assigned to the data centres in turn."""
        return tuple(self._worker(number) for number in range(self.worker_count))

    def executors(self) -> tuple[ids.ExecutorId, ...]:
        """Return the names of the executors."""
        return tuple(
            ids.ExecutorId(f"{self.service}-{number:02d}") for number in range(self.executor_count)
        )

    def _worker(self, number: int) -> model.WorkerSpec:
        rack = number // self.rack_workers
        return model.WorkerSpec(
            worker=ids.WorkerId(f"w{number:02d}"),
            rack=ids.RackId(f"r{rack}"),
            data_centre=self.data_centres[rack % len(self.data_centres)],
            accelerators=self.accelerators,
            cpu=self.cpu,
            mem_gb=self.mem_gb,
        )


def _data_centres(*names: str) -> tuple[ids.DataCentreId, ...]:
    return tuple(ids.DataCentreId(name) for name in names)


SITES = {
    "quispe": SiteSpec(
        region=ids.RegionId("lima-sur"),
        data_centres=_data_centres("almacen-a", "almacen-b", "patio-carga", "taller-norte"),
        service=ids.ServiceId("clasificador"),
        worker_count=24,
        rack_workers=6,
        accelerators=8,
        cpu=32,
        mem_gb=128,
        executor_count=24,
    ),
    "trentmere": SiteSpec(
        region=ids.RegionId("east-mids"),
        data_centres=_data_centres("nottm-yard", "derby-store", "lboro-bay"),
        service=ids.ServiceId("hire-desk"),
        worker_count=24,
        rack_workers=8,
        accelerators=8,
        cpu=32,
        mem_gb=64,
        executor_count=24,
    ),
}

__all__ = ["SITES", "SiteSpec"]
