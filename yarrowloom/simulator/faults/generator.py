"""Generates faults from a seed, within the failure budget of the deployment."""

import random
from dataclasses import dataclass

from .model import MORE_KINDS, Fault, FaultKind

CATCH_UP_S = 4.0  # a machine counts as lost for so long after its return
FIRST_S = 1.0  # no fault comes sooner
RECOVERY_S = 12.0  # after losses beyond the budget no disk is lost sooner than this after all machines are back
ALL_DOWN_CHANCE = 0.3
CUTS = (FaultKind.CUT, FaultKind.CUT_IN, FaultKind.CUT_OUT)
DISK_LOSSES = (FaultKind.LOSE_DISK, FaultKind.REPLACE)
QUOTA_SHARES = (0.3, 0.5, 0.7)

# What makes a core machine count as lost: kind, relative frequency, shortest and longest time, strengths.
_LOST: tuple[tuple[FaultKind, int, float, float, tuple[float, ...]], ...] = (
    (FaultKind.KILL, 3, 0.3, 3.0, (0.0,)),
    (FaultKind.POWER_LOSS, 3, 0.3, 3.0, (0.0,)),
    (FaultKind.ROLL, 3, 0.3, 1.0, (0.0,)),
    (FaultKind.LOSE_DISK, 3, 0.3, 3.0, (0.0,)),
    (FaultKind.REPLACE, 3, 0.3, 3.0, (0.0,)),
    (FaultKind.FREEZE, 4, 0.3, 6.0, (0.0, 1.0)),
    (FaultKind.CUT, 3, 0.5, 8.0, (0.0,)),
    (FaultKind.CUT_IN, 2, 0.5, 8.0, (0.0,)),
    (FaultKind.CUT_OUT, 2, 0.5, 8.0, (0.0,)),
    (FaultKind.HOLD, 3, 0.2, 3.0, (0.0, 1.0)),
    (FaultKind.RESET, 2, 0.0, 0.0, (0.0,)),
    (FaultKind.SLOW_LINK, 2, 0.5, 4.0, (0.02, 0.2, 0.6)),
    (FaultKind.DISK_STALL, 2, 0.2, 3.0, (0.0,)),
    (FaultKind.DISK_SLOW, 2, 1.0, 5.0, (10.0, 40.0)),
    (FaultKind.DISK_REFUSE, 2, 0.2, 3.0, (0.0,)),
)
_EDGE = (FaultKind.KILL, FaultKind.ROLL, FaultKind.FREEZE, *CUTS, FaultKind.HOLD, FaultKind.RESET)
_MINION = (FaultKind.CRASH, FaultKind.MUTE, FaultKind.HANG, FaultKind.CRAWL, FaultKind.DRAIN, *CUTS)


@dataclass(frozen=True, slots=True, kw_only=True)
class Shape:
    """The deployment that faults are generated for.

    Attributes:
        cores: Number of core machines.
        edges: Number of edge machines.
        minions: Number of minions.
        losses: Number of core machines that may be lost at the same time.
        seconds: Simulated seconds of load.
    """

    cores: int
    edges: int
    minions: int
    losses: int
    seconds: float


def generate_faults(*, seed: int, shape: Shape) -> tuple[Fault, ...]:
    """Generate faults in the order of their times; all are over when the load ends.

    >>> shape = Shape(cores=3, edges=1, minions=9, losses=1, seconds=30.0)
    >>> generate_faults(seed=5, shape=shape) == generate_faults(seed=5, shape=shape)
    True
    """
    rng = random.Random(f"faults {seed}")
    faults = _all_cores(rng=rng, shape=shape)
    for _ in range(shape.losses):
        faults += _core_losses(rng=rng, shape=shape, taken=list(faults))
    faults += _small(rng=rng, shape=shape)
    return tuple(sorted(faults, key=lambda f: (f.at_s, f.where, f.kind)))


def generate_more_faults(*, seed: int, shape: Shape) -> tuple[Fault, ...]:
    """Generate the faults of `generate_faults` for a seed, and one of a kind that it never generates.

    No disk is lost near a fault that takes more core machines away than the budget allows, so that no more disks are
    lost together than it allows; losses of other kinds may overlap.

    >>> shape = Shape(cores=3, edges=1, minions=9, losses=1, seconds=30.0)
    >>> len([f for f in generate_more_faults(seed=5, shape=shape) if f.kind in MORE_KINDS])
    1
    """
    rng = random.Random(f"more faults {seed}")
    more = _more(rng=rng, shape=shape)
    usual = generate_faults(seed=seed, shape=shape)
    kept = [f for f in usual if f.kind not in DISK_LOSSES or not _disks_clash(loss=f, more=more)]
    return tuple(sorted([*kept, more], key=lambda f: (f.at_s, f.where, f.kind)))


def _more(*, rng: random.Random, shape: Shape) -> Fault:
    """Generate one fault of a kind that `generate_faults` never generates."""
    kind = rng.choice(MORE_KINDS)
    if kind is FaultKind.CPU_QUOTA:
        share = rng.choice(QUOTA_SHARES)
        return Fault(kind=kind, at_s=0.0, for_s=shape.seconds, where="all-cores", strength=share)
    at_s = _time(rng=rng, low=FIRST_S, high=max(FIRST_S, shape.seconds - 6.0))
    longest_s = 2.0 if kind is FaultKind.LOSE_DISKS else 6.0
    for_s = _time(rng=rng, low=0.5, high=longest_s)
    where = rng.choice(["all-machines", "all-cores"]) if kind is FaultKind.LOSE_DISKS else "all-cores"
    return Fault(kind=kind, at_s=at_s, for_s=for_s, where=where)


def _disks_clash(*, loss: Fault, more: Fault) -> bool:
    """Whether a lost disk may not have been replaced when further machines go."""
    if more.kind is FaultKind.CPU_QUOTA:
        return False
    return loss.at_s < more.end_s + RECOVERY_S and more.at_s < loss.end_s + CATCH_UP_S


def _time(*, rng: random.Random, low: float, high: float) -> float:
    return round(rng.uniform(low, high), 2)


def _all_cores(*, rng: random.Random, shape: Shape) -> list[Fault]:
    """At times all core processes end at once, and keep their disks."""
    if rng.random() > ALL_DOWN_CHANCE:
        return []
    kind = rng.choice([FaultKind.KILL, FaultKind.POWER_LOSS])
    at_s = _time(rng=rng, low=FIRST_S, high=max(FIRST_S, shape.seconds - 6.0))
    return [Fault(kind=kind, at_s=at_s, for_s=_time(rng=rng, low=0.3, high=1.5), where="all-cores")]


def _core_losses(*, rng: random.Random, shape: Shape, taken: list[Fault]) -> list[Fault]:
    """One core machine after the other, each back for `CATCH_UP_S` before the next one goes."""
    faults: list[Fault] = []
    at_s = _time(rng=rng, low=FIRST_S, high=4.0)
    while at_s < shape.seconds - 1.0:
        kind, _, low, high, strengths = rng.choices(_LOST, weights=[row[1] for row in _LOST])[0]
        for_s = _time(rng=rng, low=low, high=min(high, shape.seconds - at_s) if high else 0.0)
        fault = Fault(
            kind=kind,
            at_s=at_s,
            for_s=max(low, for_s),
            where=f"core-{rng.randrange(shape.cores)}",
            strength=rng.choice(strengths),
        )
        if not any(_clash(fault=fault, other=other) for other in taken):
            faults.append(fault)
        at_s = round(fault.end_s + CATCH_UP_S + rng.uniform(0.0, 2.0), 2)
    return faults


def _clash(*, fault: Fault, other: Fault) -> bool:
    """Whether two faults would hit one machine together, or all machines while one is lost."""
    if other.where not in ("all-cores", fault.where):
        return False
    return fault.at_s < other.end_s + CATCH_UP_S and other.at_s < fault.end_s + CATCH_UP_S


def _small(*, rng: random.Random, shape: Shape) -> list[Fault]:
    """What may go wrong in any number."""
    faults = []
    for _ in range(rng.randint(0, max(1, int(shape.seconds / 4)))):
        at_s = _time(rng=rng, low=FIRST_S, high=max(FIRST_S, shape.seconds - 3.0))
        for_s = _time(rng=rng, low=0.3, high=min(8.0, max(0.3, shape.seconds - at_s)))
        faults.append(_one(rng=rng, shape=shape, at_s=at_s, for_s=for_s))
    return faults


def _one(*, rng: random.Random, shape: Shape, at_s: float, for_s: float) -> Fault:
    core, edge = f"core-{rng.randrange(shape.cores)}", f"edge-{rng.randrange(shape.edges)}"
    part = rng.randrange(6)
    if part == 0:
        return Fault(kind=rng.choice(_EDGE), at_s=at_s, for_s=for_s, where=edge)
    if part == 1:
        step_s = round(rng.uniform(-5.0, 5.0), 1)
        return Fault(kind=FaultKind.CLOCK_STEP, at_s=at_s, for_s=for_s, where=rng.choice([core, edge]), strength=step_s)
    if part == 2:
        return Fault(
            kind=FaultKind.CLOCK_DRIFT, at_s=at_s, for_s=for_s, where=core, strength=rng.choice([-0.02, -0.01, 0.01])
        )
    if part == 3:
        return Fault(
            kind=FaultKind.LOSS,
            at_s=at_s,
            for_s=min(for_s, 3.0),
            where="links",
            strength=rng.choice([0.01, 0.03, 0.05]),
        )
    kind = rng.choice(_MINION)
    return Fault(
        kind=kind,
        at_s=at_s,
        for_s=for_s,
        where=f"minion-{rng.randrange(shape.minions)}",
        strength=0.1 if kind is FaultKind.CRAWL else 0.0,
    )
