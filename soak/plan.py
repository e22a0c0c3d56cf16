"""Fault plans drawn from a seed; the same seed gives the same plan."""

from __future__ import annotations

import enum
import random
from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from collections.abc import Set as AbstractSet


class Kind(enum.Enum):
    """Kind of a fault; ``Harness.inject`` carries it out."""

    KILL = "kill"
    TERM = "term"
    PAUSE = "pause"
    KILL_ALL = "kill_all"
    STORE_BUSY = "store_busy"
    STORE_SILENT = "store_silent"
    STORE_SLOW = "store_slow"
    STORE_LOSES = "store_loses"
    STORE_WRITES_LATE = "store_writes_late"
    STORE_DEAF = "store_deaf"
    STORE_COMPACTS = "store_compacts"
    LINK_DELAY = "link_delay"
    LINK_CUT = "link_cut"
    LINK_CUT_ONE_WAY = "link_cut_one_way"
    LINK_RESET = "link_reset"
    LINK_REFUSES = "link_refuses"
    LINK_SILENT = "link_silent"
    WORKER_REBORN = "worker_reborn"
    WORKER_GONE = "worker_gone"
    WORKER_STALLS = "worker_stalls"
    WORKER_FAILS = "worker_fails"
    WORKER_DRAINS = "worker_drains"
    ORDERS_LOST = "orders_lost"
    ORDERS_LATE = "orders_late"
    CONFIGURATION = "configuration"
    WORKER_SHRINKS = "worker_shrinks"
    FOREIGN_ENTRY = "foreign_entry"
    ENTRY_CHANGED = "entry_changed"
    DRAINING_CUT = "draining_cut"
    ODD_REQUEST = "odd_request"
    EVACUATION = "evacuation"
    HOSTILE_CLIENTS = "hostile_clients"
    CONFIGURATION_GROWS = "configuration_grows"
    STORE_LINK_SLOW = "store_link_slow"
    WORKERS_RECUT = "workers_recut"
    WORKERS_LOST = "workers_lost"
    STORE_HOLDS_WRITES = "store_holds_writes"


class Target(enum.Enum):
    """Kind of link that a link fault affects."""

    STORE = "store"
    WORKER = "worker"
    CALLERS = "callers"


WEIGHTS = {
    Kind.KILL: 3,
    Kind.TERM: 3,
    Kind.PAUSE: 3,
    Kind.KILL_ALL: 0.5,
    Kind.CONFIGURATION: 3,
    Kind.ORDERS_LATE: 2,
    Kind.WORKER_REBORN: 2,
}
"""Relative frequency of the kinds; 1 for kinds not listed."""
HAZARDS = frozenset({Kind.WORKER_SHRINKS})
"""Kinds that are drawn apart, so that earlier seeds keep their plans."""
INTRUSIONS = frozenset(
    {Kind.FOREIGN_ENTRY, Kind.ENTRY_CHANGED, Kind.DRAINING_CUT, Kind.ODD_REQUEST}
)
"""Kinds that ``intrusions`` carries out, drawn apart likewise."""
EVACUATIONS = frozenset({Kind.EVACUATION})
"""Kinds that ``evacuations`` carries out, drawn apart likewise."""
HOLD_S = 4.0
EVACUATION_S = 4.0
"""Added to the length of an evacuation, so that most outlast the time that they may take."""
CROWDS = frozenset({Kind.HOSTILE_CLIENTS})
"""Kinds that ``intrusions`` carries out too, drawn apart from these likewise."""
GROWTHS = frozenset({Kind.CONFIGURATION_GROWS, Kind.STORE_LINK_SLOW})
"""Kinds that ``configurations`` carries out, drawn apart likewise."""
RECUTS = frozenset({Kind.WORKERS_RECUT})
"""Kinds that ``recuts`` carries out, drawn apart likewise."""
LOSSES = frozenset({Kind.WORKERS_LOST})
"""Kinds that ``losses`` carries out, drawn apart likewise."""
HOLDS = frozenset({Kind.STORE_HOLDS_WRITES})
"""Kinds in which most submissions get no answer, drawn apart likewise."""
REPEAT_SHARE = 0.25
"""Share of faults that repeat the kind of the fault before."""


class Fault(msgspec.Struct, frozen=True):
    """A fault.

    :param at_s: time from the start of the fault phase, in seconds
    :param duration_s: duration of a fault that lasts, in seconds
    :param selector: number that selects what it affects, modulo the number of choices
    """

    at_s: float
    kind: Kind
    duration_s: float = msgspec.field(name="for_s")
    selector: int = msgspec.field(name="pick")
    target: Target


def draw_faults(seed: int, seconds: float, *, per_s: float) -> list[Fault]:
    """Draw the faults of a run, ordered by time.

    :param seconds: length of the fault phase, in seconds
    :param per_s: mean number of faults per second
    """
    rng = random.Random(seed)
    drawn_apart = HAZARDS | INTRUSIONS | EVACUATIONS | CROWDS | GROWTHS
    drawn_apart |= RECUTS | LOSSES | HOLDS
    kinds = [kind for kind in Kind if kind not in drawn_apart]
    weights = [WEIGHTS.get(kind, 1.0) for kind in kinds]
    faults: list[Fault] = []
    at_s = 0.0
    kind = Kind.CONFIGURATION
    while True:
        at_s += rng.expovariate(per_s)
        if at_s > seconds:
            return faults
        if rng.random() > REPEAT_SHARE:
            kind = rng.choices(kinds, weights)[0]
        duration_s = rng.uniform(0.3, 5.0)
        selector = rng.randrange(1_000_000)
        faults.append(Fault(at_s, kind, duration_s, selector, rng.choice(list(Target))))


def draw_hazards(seed: int, seconds: float, *, per_s: float) -> list[Fault]:
    """Draw the faults of the kinds in ``HAZARDS``, ordered by time.

    :param seconds: length of the fault phase, in seconds
    :param per_s: mean number of faults per second
    """
    return _draw(random.Random(f"hazards {seed}"), HAZARDS, seconds, per_s=per_s)


def draw_intrusions(seed: int, seconds: float, *, per_s: float) -> list[Fault]:
    """Draw the faults of the kinds in ``INTRUSIONS``, ordered by time.

    :param seconds: length of the fault phase, in seconds
    :param per_s: mean number of faults per second
    """
    return _draw(random.Random(f"intrusions {seed}"), INTRUSIONS, seconds, per_s=per_s)


def draw_evacuations(seed: int, seconds: float, *, per_s: float) -> list[Fault]:
    """Draw the evacuations of data centres, ordered by time; they last longer than most faults.

    :param seconds: length of the fault phase, in seconds
    :param per_s: mean number of evacuations per second
    """
    drawn = _draw(random.Random(f"evacuations {seed}"), EVACUATIONS, seconds, per_s=per_s)
    return [
        msgspec.structs.replace(fault, duration_s=EVACUATION_S + fault.duration_s)
        for fault in drawn
    ]


def draw_crowds(seed: int, seconds: float, *, per_s: float) -> list[Fault]:
    """Draw the faults of the kinds in ``CROWDS``, ordered by time.

    :param seconds: length of the fault phase, in seconds
    :param per_s: mean number of faults per second
    """
    return _draw(random.Random(f"crowds {seed}"), CROWDS, seconds, per_s=per_s)


def draw_growths(seed: int, seconds: float, *, per_s: float) -> list[Fault]:
    """Draw the faults of the kinds in ``GROWTHS``, ordered by time.

    :param seconds: length of the fault phase, in seconds
    :param per_s: mean number of faults per second
    """
    return _draw(random.Random(f"growths {seed}"), GROWTHS, seconds, per_s=per_s)


def draw_recuts(seed: int, seconds: float, *, per_s: float) -> list[Fault]:
    """Draw the faults of the kinds in ``RECUTS``, ordered by time.

    :param seconds: length of the fault phase, in seconds
    :param per_s: mean number of faults per second
    """
    return _draw(random.Random(f"recuts {seed}"), RECUTS, seconds, per_s=per_s)


def draw_losses(seed: int, seconds: float, *, per_s: float) -> list[Fault]:
    """Draw the faults of the kinds in ``LOSSES``, ordered by time.

    :param seconds: length of the fault phase, in seconds
    :param per_s: mean number of faults per second
    """
    return _draw(random.Random(f"losses {seed}"), LOSSES, seconds, per_s=per_s)


def draw_holds(seed: int, seconds: float, *, per_s: float) -> list[Fault]:
    """Draw the faults of the kinds in ``HOLDS``, ordered by time; they last for up to 4 s.

    :param seconds: length of the fault phase, in seconds
    :param per_s: mean number of faults per second
    """
    drawn = _draw(random.Random(f"holds {seed}"), HOLDS, seconds, per_s=per_s)
    return [
        msgspec.structs.replace(fault, duration_s=min(fault.duration_s, HOLD_S)) for fault in drawn
    ]


def _draw(
    rng: random.Random, group: AbstractSet[Kind], seconds: float, *, per_s: float
) -> list[Fault]:
    kinds = sorted(group, key=lambda kind: kind.value)
    faults: list[Fault] = []
    at_s = rng.expovariate(per_s)
    while at_s <= seconds:
        duration_s = rng.uniform(2.0, 10.0)
        selector = rng.randrange(1_000_000)
        faults.append(Fault(at_s, rng.choice(kinds), duration_s, selector, Target.WORKER))
        at_s += rng.expovariate(per_s)
    return faults
