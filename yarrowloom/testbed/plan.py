"""The file of an experiment (TOML): typed dictionaries and a checker that reports all findings together."""

import os
import tomllib
from dataclasses import dataclass
from typing import Any, TypedDict

from ..common.errors import Finding, YarrowError
from .callers import QUEUES, Queue

MOST_PROCS = 200
MOST_S = 900
NODE_MB, MINION_MB, SELF_MB = 120.0, 0.15, 150.0


class InvalidPlanError(YarrowError):
    """The file cannot be used."""

    code = "experiment-invalid"
    exit_code = 78


class Fault(TypedDict):
    """One fault, injected `at` seconds after the callers begin.

    `node` names a process; `crash` takes `count` minions; `span` is how many seconds a frozen or killed process
    stays so, with 0 for a process that is not started again.
    """

    at: float
    what: str
    node: str
    span: float
    count: int


# Invariant: every fault has a kind from here; the keys are those that the kind needs besides `at-s` and `what`.
FAULTS: dict[str, tuple[str, ...]] = {
    "kill": ("node",),
    "restart": ("node", "for-s"),
    "freeze": ("node", "for-s"),
    "crash": ("count",),
}

# By table and key: kind, default (None: must be there), lowest, highest.
_KEYS: dict[str, dict[str, tuple[type, Any, float, float]]] = {
    "": {
        "name": (str, None, 0, 0),
        "about": (str, "", 0, 0),
        "seed": (int, 1, 0, 1 << 31),
        "duration-s": (float, None, 1, MOST_S),
        "drain-s": (float, 60.0, 1, MOST_S),
    },
    "cluster": {
        "cores": (int, 3, 1, 100),
        "edges": (int, 2, 1, 100),
        "sites": (int, 3, 1, 20),
        "regions": (int, 1, 1, 20),
        "disk-mb": (int, 64, 8, 512),
    },
    "minions": {
        "count": (int, 20, 0, 4000),
        "cpus": (int, 16000, 1, 1 << 20),
        "mem-mb": (int, 32768, 1, 1 << 24),
        "gpu-every": (int, 0, 0, 1 << 20),
        "gpus": (int, 0, 0, 64),
        "racks": (int, 4, 1, 1000),
        "fail": (float, 0.0, 0, 1),
        "beat-ms": (int, 1000, 100, 10000),
        "guards": (bool, False, 0, 0),
    },
    "callers": {
        "rate": (float, 0.0, 0, 2000),
        "task-ms": (list, [100, 800], 1, 600000),
        "tasks": (list, [1, 2, 4, 8], 1, 512),
        "gangs": (float, 0.1, 0, 1),
        "steps": (float, 0.3, 0, 1),
        "poll-ms": (int, 200, 10, 60000),
        "idle-queues": (int, 0, 0, 5000),
    },
    "changes": {"rate": (float, 0.0, 0, 20)},
    "queues": {
        "name": (str, None, 0, 0),
        "rank": (int, 0, 0, 100),
        "share": (float, None, 0.0, 1e6),
        "stretch": (float, 2.0, 0, 1000),
        "target-ms": (int, 2000, 1, 1 << 31),
        "max-tries": (int, 3, 1, 1000),
    },
    "faults": {
        "at-s": (float, None, 0, MOST_S),
        "what": (str, None, 0, 0),
        "node": (str, "", 0, 0),
        "for-s": (float, 0.0, 0, MOST_S),
        "count": (int, 0, 0, 4000),
    },
}


@dataclass(frozen=True, kw_only=True)
class Plan:
    """A checked experiment. Tables keep the names of the file."""

    name: str
    about: str
    seed: int
    duration: float
    drain: float
    cluster: dict[str, Any]
    minions: dict[str, Any]
    callers: dict[str, Any]
    changes: dict[str, Any]
    queues: tuple[Queue, ...]
    faults: tuple[Fault, ...]

    @property
    def jobs(self) -> int:
        """How many are handed in."""
        return int(self.callers["rate"] * self.duration)


def _value(*, val: object, kind: type, low: float, high: float) -> str:
    """What is wrong with a value; nothing if it may be used."""
    if kind is bool or kind is str:
        return "" if isinstance(val, kind) else f"not {'true or false' if kind is bool else 'a text'}"
    if kind is list:
        good = (
            isinstance(val, list)
            and val
            and all(isinstance(v, int) and not isinstance(v, bool) and low <= v <= high for v in val)
        )
        return "" if good else f"not a list of whole numbers from {low:g} to {high:g}"
    if isinstance(val, bool) or not isinstance(val, (int, float)) or (kind is int and not isinstance(val, int)):
        return "not a whole number" if kind is int else "not a number"
    return "" if low <= val <= high else f"not from {low:g} to {high:g}"


def _table(*, document: object, place: str, name: str, bad: list[Finding]) -> dict[str, Any]:
    keys = _KEYS[name]
    if not isinstance(document, dict):
        bad.append(Finding(place=place or "(file)", text="not a table"))
        document = {}
    dot = f"{place}." if place else ""
    known = set(keys) | (set(_KEYS) - {""} if not name else set())
    bad += [Finding(place=f"{dot}{key}", text="unknown") for key in sorted(set(document) - known)]
    out: dict[str, Any] = {}
    for key, (kind, default, low, high) in keys.items():
        out[key] = document.get(key, default)
        text = "missing" if out[key] is None else _value(val=out[key], kind=kind, low=low, high=high)
        if text:
            bad.append(Finding(place=f"{dot}{key}", text=text))
            out[key] = default
    return out


def _rows(*, document: dict[str, Any], name: str, bad: list[Finding]) -> list[dict[str, Any]]:
    rows = document.get(name, [])
    if not isinstance(rows, list):
        bad.append(Finding(place=name, text=f"not a list of tables ([[{name}]])"))
        return []
    return [_table(document=row, place=f"{name}[{i}]", name=name, bad=bad) for i, row in enumerate(rows)]


def _fault(*, row: dict[str, Any], place: str, names: set[str], top: dict[str, Any], bad: list[Finding]) -> None:
    if row["what"] not in FAULTS:
        if row["what"] is not None:
            bad.append(Finding(place=f"{place}.what", text=f"not one of {', '.join(FAULTS)}"))
        return
    need = FAULTS[row["what"]]
    for key, empty in (("node", ""), ("for-s", 0.0), ("count", 0)):
        if key in need and row[key] == empty:
            bad.append(Finding(place=f"{place}.{key}", text=f"missing for {row['what']}"))
        elif key not in need and row[key] != empty:
            bad.append(Finding(place=f"{place}.{key}", text=f"means nothing for {row['what']}"))
    if "node" in need and row["node"] and row["node"] not in names:
        bad.append(Finding(place=f"{place}.node", text=f"no such node: {row['node']}"))
    if row["at-s"] is not None and top["duration-s"] and row["at-s"] + row["for-s"] > top["duration-s"]:
        bad.append(Finding(place=f"{place}.at-s", text="ends after the experiment"))


def check(*, document: object, half_mb: float = 0.0) -> Plan:
    """The plan, or every finding; `half_mb` is what it may use of memory, 0: not looked at.

    >>> try:
    ...     check(document={"name": "a", "cluster": {"cores": 0, "size": 1}, "faults": [{"what": "flood"}]})
    ... except InvalidPlanError as err:
    ...     [f.place for f in err.findings]
    ['duration-s', 'cluster.size', 'cluster.cores', 'faults[0].at-s', 'faults[0].what']
    """
    bad: list[Finding] = []
    top = _table(document=document, place="", name="", bad=bad)
    tables = document if isinstance(document, dict) else {}
    parts = {
        name: _table(document=tables.get(name, {}), place=name, name=name, bad=bad)
        for name in ("cluster", "minions", "callers", "changes")
    }
    queues, faults = (_rows(document=tables, name=name, bad=bad) for name in ("queues", "faults"))
    _check_mix(top=top, callers=parts["callers"], bad=bad)
    cluster = parts["cluster"]
    names = {f"core-{i}" for i in range(cluster["cores"])} | {f"edge-{i}" for i in range(cluster["edges"])}
    for i, row in enumerate(faults):
        _fault(row=row, place=f"faults[{i}]", names=names, top=top, bad=bad)
    _check_queues(queues=queues, bad=bad)
    _check_size(cluster=cluster, minions=parts["minions"]["count"], half_mb=half_mb, bad=bad)
    if bad:
        raise InvalidPlanError(text="the experiment cannot be run", findings=bad)
    return _plan(top=top, parts=parts, queues=queues, faults=faults)


def _check_mix(*, top: dict[str, Any], callers: dict[str, Any], bad: list[Finding]) -> None:
    """The experiment's name and the mix of jobs."""
    span = callers["task-ms"]
    if top["name"] is not None and not str(top["name"]).replace("-", "").isalnum():
        bad.append(Finding(place="name", text="not letters, digits and hyphens"))
    if len(span) != 2 or span[0] > span[1]:
        bad.append(Finding(place="callers.task-ms", text="not two rising numbers"))
    if callers["gangs"] + callers["steps"] > 1:
        bad.append(Finding(place="callers.gangs", text="gangs and steps together above 1"))


def _check_queues(*, queues: list[dict[str, Any]], bad: list[Finding]) -> None:
    """Queues have names of their own, and at least one has a share."""
    seen: set[str] = set()
    for i, row in enumerate(queues):
        if row["name"] in seen:
            bad.append(Finding(place=f"queues[{i}].name", text="used twice"))
        if row["name"] is not None:
            seen.add(row["name"])
    if queues and not any(row["share"] for row in queues):
        bad.append(Finding(place="queues", text="no queue has a share"))


def _check_size(*, cluster: dict[str, Any], minions: int, half_mb: float, bad: list[Finding]) -> None:
    """The processes and their memory fit on this machine; `half_mb` 0: memory is not checked."""
    processes = cluster["cores"] + cluster["edges"]
    if processes > MOST_PROCS:
        bad.append(Finding(place="cluster", text=f"more than {MOST_PROCS} processes"))
    need = processes * NODE_MB + minions * MINION_MB + SELF_MB
    if half_mb and need > half_mb:
        bad.append(Finding(place="cluster", text=f"may need {need:.0f} MB; half of this machine has {half_mb:.0f} MB"))


def _plan(
    *, top: dict[str, Any], parts: dict[str, dict[str, Any]], queues: list[dict[str, Any]], faults: list[dict[str, Any]]
) -> Plan:
    """The plan of checked tables."""
    return Plan(
        name=top["name"],
        about=top["about"],
        seed=top["seed"],
        duration=float(top["duration-s"]),
        drain=float(top["drain-s"]),
        **parts,
        queues=tuple(
            Queue(
                name=q["name"],
                rank=q["rank"],
                share=float(q["share"]),
                stretch=q["stretch"],
                target_ms=q["target-ms"],
                tries=q["max-tries"],
            )
            for q in queues
        )
        or QUEUES,
        faults=tuple(
            Fault(at=float(f["at-s"]), what=f["what"], node=f["node"], span=float(f["for-s"]), count=f["count"])
            for f in sorted(faults, key=lambda f: float(f["at-s"]))
        ),
    )


def load(*, path: str) -> Plan:
    """Read a file; what is wrong with it as a whole has the file as its place."""
    try:
        with open(path, "rb") as fh:
            document = tomllib.load(fh)
    except OSError as err:
        raise InvalidPlanError(
            text=f"{path}: {err.strerror}", findings=[Finding(place=path, text=str(err.strerror))]
        ) from err
    except (tomllib.TOMLDecodeError, UnicodeDecodeError) as err:
        raise InvalidPlanError(text=f"{path}: not TOML", findings=[Finding(place=path, text=str(err))]) from err
    half = os.sysconf("SC_PAGE_SIZE") * os.sysconf("SC_PHYS_PAGES") / 2 / (1 << 20)
    return check(document=document, half_mb=half)
