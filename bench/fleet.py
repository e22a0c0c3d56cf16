"""Fleets and bundles of the two deployments, as used by the benchmarks."""

from __future__ import annotations

import enum

import msgspec

from bronzequay import ids
from bronzequay.policy import model


class Deployment(enum.Enum):
    """Deployment whose fleet is simulated."""

    QUISPE = "quispe"
    TRENTMERE = "trentmere"


class Site(msgspec.Struct, frozen=True):
    """Workers of a deployment; its racks are assigned to the data centres in turn."""

    data_centres: tuple[str, ...]
    workers: int
    rack_size: int
    cpu: int
    mem_gb: int
    accelerators: int


class Size(msgspec.Struct, frozen=True):
    """Size of a gang: the number of its members, and the capacity that each needs."""

    members: int
    accelerators: int
    cpu: int
    mem_gb: int


SITES = {
    Deployment.QUISPE: Site(
        data_centres=("almacen-a", "almacen-b", "patio-carga", "taller-norte"),
        workers=24,
        rack_size=6,
        cpu=32,
        mem_gb=128,
        accelerators=8,
    ),
    Deployment.TRENTMERE: Site(
        data_centres=("nottm-yard", "derby-store", "lboro-bay"),
        workers=24,
        rack_size=8,
        cpu=32,
        mem_gb=64,
        accelerators=8,
    ),
}

ORGS = tuple(ids.OrgId(f"org-{letter}") for letter in "abcd")
ORG_SHARES = (0.4, 0.3, 0.2, 0.1)

_GUARANTEES = (
    (model.Shape(accelerators=8, count=7),),
    (model.Shape(accelerators=8, count=3), model.Shape(accelerators=4, count=4)),
    (model.Shape(accelerators=8, count=1), model.Shape(accelerators=4, count=4)),
    (model.Shape(accelerators=4, count=2), model.Shape(accelerators=2, count=4)),
)


def workers(deployment: Deployment) -> tuple[model.WorkerSpec, ...]:
    """Return the deployment's workers.

    :param deployment: the deployment
    :return: all workers with their rack and data centre
    """
    site = SITES[deployment]
    return tuple(_worker(site, index) for index in range(site.workers))


def _worker(site: Site, index: int) -> model.WorkerSpec:
    rack = index // site.rack_size
    data_centre = site.data_centres[rack % len(site.data_centres)]
    return model.WorkerSpec(
        worker=ids.WorkerId(f"w{index:02d}"),
        rack=ids.RackId(f"{data_centre}-r{rack}"),
        data_centre=ids.DataCentreId(data_centre),
        accelerators=site.accelerators,
        cpu=site.cpu,
        mem_gb=site.mem_gb,
    )


def rules(*, max_queued: int = 10_000, max_caller_queued: int = 2_000) -> model.Rules:
    """Return a bundle in which the four organisations are guaranteed 136 of 192 accelerators.

    :param max_queued: limit on the waiting jobs of an organisation
    :param max_caller_queued: limit on the waiting jobs of a caller
    :return: the rules for a whole run
    """
    orgs = {
        org: model.OrgRules(
            guarantee=guarantee, max_queued=max_queued, max_caller_queued=max_caller_queued
        )
        for org, guarantee in zip(ORGS, _GUARANTEES, strict=True)
    }
    return model.Rules(version=ids.BundleVersion(1), orgs=orgs)


def fits_empty_fleet(fleet: tuple[model.WorkerSpec, ...], size: Size) -> bool:
    """Return whether a gang fits the empty fleet.

    :param fleet: all workers, idle
    :param size: size of the gang
    :return: whether all its members fit at once
    """
    free = ((worker.accelerators, worker.cpu, worker.mem_gb) for worker in fleet)
    return sum(members_that_fit(size, *capacity) for capacity in free) >= size.members


def size_of(spec: model.JobSpec) -> Size:
    """Return the size of a gang.

    :param spec: specification of the job
    """
    return Size(spec.members, spec.accelerators, spec.cpu, spec.mem_gb)


def members_that_fit(size: Size, accelerators: int, cpu: int, mem_gb: int) -> int:
    """Return how many members of a gang fit in the free capacity of one worker.

    :param size: size of the gang; if its members need no capacity, all of them fit
    :param accelerators: free accelerators of the worker
    :param cpu: free cores
    :param mem_gb: free memory, in GB
    :return: number of members, at least 0
    """
    pairs = ((accelerators, size.accelerators), (cpu, size.cpu), (mem_gb, size.mem_gb))
    limits = [free // required for free, required in pairs if required > 0]
    return max(0, min(limits, default=size.members))


__all__ = [
    "ORGS",
    "ORG_SHARES",
    "SITES",
    "Deployment",
    "Site",
    "Size",
    "fits_empty_fleet",
    "members_that_fit",
    "rules",
    "size_of",
    "workers",
]
