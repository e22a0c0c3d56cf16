"""Faults drawn from a seed; the same seed draws the same plan."""

from __future__ import annotations

import enum
import random

import msgspec


class Kind(enum.Enum):
    """What goes wrong."""

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


class Target(enum.Enum):
    """Which links a fault touches."""

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
"""How often kinds are drawn, 1 where nothing is said."""
SERIES = 0.25
"""Share of faults that are followed at once by another of the same kind."""


class Fault(msgspec.Struct, frozen=True):
    """One fault.

    :param at_s: from the start of the trouble
    :param for_s: how long it lasts, where it does
    :param pick: chooses what it touches, as a number to be taken modulo the choices
    """

    at_s: float
    kind: Kind
    for_s: float
    pick: int
    target: Target


def draw(seed: int, seconds: float, *, per_s: float) -> list[Fault]:
    """Draw the faults of a run, in the order of their times.

    :param seconds: length of the trouble
    :param per_s: faults a second
    """
    rng = random.Random(seed)
    kinds = list(Kind)
    weights = [WEIGHTS.get(kind, 1.0) for kind in kinds]
    faults: list[Fault] = []
    at_s = 0.0
    kind = Kind.CONFIGURATION
    while True:
        at_s += rng.expovariate(per_s)
        if at_s > seconds:
            return faults
        if rng.random() > SERIES:
            kind = rng.choices(kinds, weights)[0]
        for_s = rng.uniform(0.3, 5.0)
        pick = rng.randrange(1_000_000)
        faults.append(Fault(at_s, kind, for_s, pick, rng.choice(list(Target))))
