"""Faults as data: what goes wrong, when, for how long, where and how much; read from TOML with all findings at once."""

import re
import tomllib
from dataclasses import dataclass
from enum import StrEnum
from typing import Any

from ...common.errors import Finding
from ..errors import FaultsError

MOST_S = 3600.0
MOST_SIZE = 99


class FaultKind(StrEnum):
    """What can go wrong."""

    KILL = "kill"
    POWER_LOSS = "power-loss"
    ROLL = "roll"
    LOSE_DISK = "lose-disk"
    REPLACE = "replace"
    REMOVE = "remove"
    FREEZE = "freeze"
    CUT = "cut"
    CUT_IN = "cut-in"
    CUT_OUT = "cut-out"
    HOLD = "hold"
    RESET = "reset"
    LOSS = "loss"
    SLOW_LINK = "slow-link"
    DISK_STALL = "disk-stall"
    DISK_SLOW = "disk-slow"
    DISK_REFUSE = "disk-refuse"
    CLOCK_STEP = "clock-step"
    CLOCK_DRIFT = "clock-drift"
    CRASH = "crash"
    MUTE = "mute"
    HANG = "hang"
    GREY = "grey"
    CRAWL = "crawl"
    DRAIN = "drain"
    LOSE_DISKS = "lose-disks"
    SPLIT = "split"
    OVERLAPPING_LOSSES = "overlapping-losses"
    CPU_QUOTA = "cpu-quota"


class Role(StrEnum):
    """Whom a fault can hit; the value is what its name begins with."""

    CORE = "core"
    EDGE = "edge"
    MINION = "minion"
    ALL_CORES = "all-cores"
    ALL_MACHINES = "all-machines"
    LINKS = "links"


_NODES = (Role.CORE, Role.EDGE)
_CORES = (Role.CORE, Role.ALL_CORES)


@dataclass(frozen=True, slots=True, kw_only=True)
class Rule:
    """What a kind of fault may hit, and the bounds of its strength; `pairs`: also one link, as `core-0/edge-1`."""

    roles: tuple[Role, ...]
    low: float = 0.0
    high: float = 0.0
    pairs: bool = False


RULES: dict[FaultKind, Rule] = {
    FaultKind.KILL: Rule(roles=(*_NODES, Role.ALL_CORES)),
    FaultKind.POWER_LOSS: Rule(roles=_CORES),
    FaultKind.ROLL: Rule(roles=_NODES),
    FaultKind.LOSE_DISK: Rule(roles=(Role.CORE,)),
    FaultKind.REPLACE: Rule(roles=(Role.CORE,)),
    FaultKind.REMOVE: Rule(roles=(Role.CORE,)),
    FaultKind.FREEZE: Rule(roles=_NODES, high=1.0),
    FaultKind.CUT: Rule(roles=(*_NODES, Role.MINION), pairs=True),
    FaultKind.CUT_IN: Rule(roles=(*_NODES, Role.MINION), pairs=True),
    FaultKind.CUT_OUT: Rule(roles=(*_NODES, Role.MINION), pairs=True),
    FaultKind.HOLD: Rule(roles=_NODES, high=1.0, pairs=True),
    FaultKind.RESET: Rule(roles=_NODES, pairs=True),
    FaultKind.LOSS: Rule(roles=(Role.LINKS,), low=0.001, high=0.5),
    FaultKind.SLOW_LINK: Rule(roles=_NODES, low=0.001, high=5.0),
    FaultKind.DISK_STALL: Rule(roles=(Role.CORE,)),
    FaultKind.DISK_SLOW: Rule(roles=(Role.CORE,), low=1.0, high=200.0),
    FaultKind.DISK_REFUSE: Rule(roles=(Role.CORE,)),
    FaultKind.CLOCK_STEP: Rule(roles=_NODES, low=-60.0, high=60.0),
    FaultKind.CLOCK_DRIFT: Rule(roles=_NODES, low=-0.02, high=0.02),
    FaultKind.CRASH: Rule(roles=(Role.MINION,)),
    FaultKind.MUTE: Rule(roles=(Role.MINION,)),
    FaultKind.HANG: Rule(roles=(Role.MINION,)),
    FaultKind.GREY: Rule(roles=(Role.MINION,)),
    FaultKind.CRAWL: Rule(roles=(Role.MINION,), low=0.01, high=1.0),
    FaultKind.DRAIN: Rule(roles=(Role.MINION,)),
    FaultKind.LOSE_DISKS: Rule(roles=(Role.ALL_MACHINES, Role.ALL_CORES)),
    FaultKind.SPLIT: Rule(roles=(Role.ALL_CORES,)),
    FaultKind.OVERLAPPING_LOSSES: Rule(roles=(Role.ALL_CORES,)),
    FaultKind.CPU_QUOTA: Rule(roles=(*_NODES, Role.ALL_CORES), low=0.05, high=1.0),
}

# Not drawn for a seed by itself, only on request: see `generate_more_faults` in generator.py.
MORE_KINDS = (FaultKind.LOSE_DISKS, FaultKind.SPLIT, FaultKind.OVERLAPPING_LOSSES, FaultKind.CPU_QUOTA)


@dataclass(frozen=True, slots=True, kw_only=True)
class Fault:
    """One fault of a run.

    Attributes:
        kind: What goes wrong.
        at_s: When it begins, in simulated seconds from the start of the load.
        for_s: How long it lasts, in seconds.
        where: The place: `core-0`, `edge-1`, `minion-2`, `all-cores`, `all-machines`, `links`, or two names joined by
            a slash for the link between them.
        strength: The degree, within the range of `RULES` for the kind; 0 for kinds without degrees.
    """

    kind: FaultKind
    at_s: float
    for_s: float
    where: str
    strength: float = 0.0

    @property
    def end_s(self) -> float:
        """When it is over."""
        return self.at_s + self.for_s

    def __str__(self) -> str:
        """One line of a story."""
        much = f", strength {self.strength:g}" if self.strength else ""
        return f"{self.kind} of {self.where} for {self.for_s:g} s{much}"


@dataclass(frozen=True, slots=True, kw_only=True)
class Plan:
    """A run, whole: what a fault file holds. What is None is left to the command line."""

    faults: tuple[Fault, ...]
    seed: int | None = None
    seconds: float | None = None
    size: int | None = None


def role_of(*, name: str) -> Role | None:
    """The role of a name, None if it is no name.

    >>> role_of(name="core-12"), role_of(name="all-cores"), role_of(name="core-x")
    (<Role.CORE: 'core'>, <Role.ALL_CORES: 'all-cores'>, None)
    """
    if name in (Role.ALL_CORES, Role.ALL_MACHINES, Role.LINKS):
        return Role(name)
    hit = re.fullmatch(r"(core|edge|minion)-(0|[1-9]\d{0,3})", name)
    return Role(hit.group(1)) if hit else None


def _number(
    *,
    document: dict[str, Any],
    key: str,
    place: str,
    low: float,
    high: float,
    bad: list[Finding],
    default: float | None = None,
    whole: bool = False,
) -> float | None:
    """A number from a table; None, with a finding, if there is no usable one."""
    dot = f"{place}.{key}" if place else key
    if key not in document:
        if default is None and place:
            bad.append(Finding(place=dot, text="missing"))
        return default
    val = document[key]
    if isinstance(val, bool) or not isinstance(val, int if whole else (int, float)):
        bad.append(Finding(place=dot, text="not a whole number" if whole else "not a number"))
    elif not low <= val <= high:
        bad.append(Finding(place=dot, text=f"not from {low:g} to {high:g}"))
    else:
        return int(val) if whole else float(val)
    return None


def _where(*, kind: FaultKind, where: object, place: str, bad: list[Finding]) -> None:
    """Check a fault's place."""
    if not isinstance(where, str):
        bad.append(Finding(place=f"{place}.where", text="missing" if where is None else "not a text"))
        return
    rule, names = RULES[kind], where.split("/")
    if len(names) > 2 or (len(names) == 2 and (not rule.pairs or names[0] == names[1])):
        bad.append(Finding(place=f"{place}.where", text=f"not a link that {kind} can hit"))
        return
    for name in names:
        role = role_of(name=name)
        if role is None or role not in rule.roles:
            fit = ", ".join(f"{r}-N" if r in (Role.CORE, Role.EDGE, Role.MINION) else str(r) for r in rule.roles)
            bad.append(Finding(place=f"{place}.where", text=f"{name!r} is none of {fit}"))


def _fault(*, document: object, place: str, bad: list[Finding]) -> Fault | None:
    """One checked entry; None, with findings, if it cannot be used."""
    if not isinstance(document, dict):
        bad.append(Finding(place=place, text="not a table"))
        return None
    before = len(bad)
    known = ("kind", "at-s", "for-s", "where", "strength")
    bad += [Finding(place=f"{place}.{key}", text="unknown") for key in sorted(set(document) - set(known))]
    at_s = _number(document=document, key="at-s", place=place, low=0, high=MOST_S, bad=bad)
    for_s = _number(document=document, key="for-s", place=place, low=0, high=MOST_S, bad=bad, default=0.0)
    name = document.get("kind")
    if name not in [str(k) for k in FaultKind]:
        text = "missing" if name is None else f"not one of {', '.join(FaultKind)}"
        bad.append(Finding(place=f"{place}.kind", text=text))
        return None
    kind = FaultKind(name)
    _where(kind=kind, where=document.get("where"), place=place, bad=bad)
    rule = RULES[kind]
    strength = _number(
        document=document,
        key="strength",
        place=place,
        low=rule.low,
        high=rule.high,
        bad=bad,
        default=None if rule.low > 0 else 0.0,
    )
    if len(bad) > before or at_s is None or for_s is None or strength is None:
        return None
    return Fault(kind=kind, at_s=at_s, for_s=for_s, where=document["where"], strength=strength)


def check(*, document: dict[str, Any]) -> Plan:
    """The plan that a file's tables describe, or every finding.

    >>> try:
    ...     check(document={"size": 0, "faults": [{"kind": "cut", "where": "core-x", "for-s": -1}, {"kind": "flood"}]})
    ... except FaultsError as err:
    ...     [f.place for f in err.findings]
    ['size', 'faults[0].at-s', 'faults[0].for-s', 'faults[0].where', 'faults[1].at-s', 'faults[1].kind']
    """
    bad = [Finding(place=key, text="unknown") for key in sorted(set(document) - {"seed", "seconds", "size", "faults"})]
    seed = _number(document=document, key="seed", place="", low=0, high=(1 << 63) - 1, bad=bad, whole=True)
    seconds = _number(document=document, key="seconds", place="", low=1, high=MOST_S, bad=bad)
    size = _number(document=document, key="size", place="", low=1, high=MOST_SIZE, bad=bad, whole=True)
    rows = document.get("faults", [])
    if not isinstance(rows, list):
        bad.append(Finding(place="faults", text="not a list of tables ([[faults]])"))
        rows = []
    faults = [_fault(document=row, place=f"faults[{i}]", bad=bad) for i, row in enumerate(rows)]
    if bad:
        raise FaultsError(text="the faults cannot be used", findings=bad)
    return Plan(
        faults=tuple(f for f in faults if f is not None),
        seconds=seconds,
        seed=None if seed is None else int(seed),
        size=None if size is None else int(size),
    )


def load(*, path: str) -> Plan:
    """Read a file; what is wrong with it as a whole has the file as its place."""
    try:
        with open(path, "rb") as fh:
            document = tomllib.load(fh)
    except OSError as err:
        why = str(err.strerror)
        raise FaultsError(text=f"{path}: {why}", findings=[Finding(place=path, text=why)]) from err
    except (tomllib.TOMLDecodeError, UnicodeDecodeError, RecursionError) as err:
        raise FaultsError(text=f"{path}: not TOML", findings=[Finding(place=path, text=str(err))]) from err
    return check(document=document)


def dump(*, plan: Plan) -> str:
    """The plan as a file.

    >>> cut = Fault(kind=FaultKind.CUT, at_s=1.5, for_s=2.0, where="core-0")
    >>> check(document=tomllib.loads(dump(plan=Plan(faults=(cut,), seed=7)))) == Plan(faults=(cut,), seed=7)
    True
    """
    rows = [
        f"{key} = {val}"
        for key, val in (("seed", plan.seed), ("seconds", plan.seconds), ("size", plan.size))
        if val is not None
    ]
    for fault in plan.faults:
        rows += [
            "",
            "[[faults]]",
            f'kind = "{fault.kind}"',
            f"at-s = {fault.at_s}",
            f"for-s = {fault.for_s}",
            f'where = "{fault.where}"',
        ]
        rows += [f"strength = {fault.strength}"] if fault.strength else []
    return "\n".join(rows).lstrip() + "\n"
