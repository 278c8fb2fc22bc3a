"""The project's own settings: what an installation may switch, with the defaults that ship.

They stand in `deploy/defaults.toml`; a process reads them at its start. The operator's configuration and the settings
file of a process are other things: see cluster_state/config.py and startup.py.
"""

import tomllib
from pathlib import Path
from typing import Any, TypedDict

from .errors import Finding, StartupError

PATH = Path(__file__).resolve().parents[2] / "deploy" / "defaults.toml"


class WarmRow(TypedDict):
    """`[warm]`: room kept for jobs that are about to be called. `core_s`: most core-seconds held in a minute; `tasks`:
    most tasks kept for one service; `expiry_ms`: longest that one room is held; `lead_ms`: how long before the call;
    `least`: confidence needed, 0 to 1.
    """

    on: bool
    core_s: float
    tasks: int
    expiry_ms: float
    lead_ms: float
    least: float


class LearnRow(TypedDict):
    """`[learn]`: whether the history of calls and run times is kept with the jobs' record. Warming needs it; it takes
    about a third of a busy placing node's time (simulated cluster, docs/warm.md).
    """

    on: bool


class Defaults(TypedDict):
    """All of it."""

    learn: LearnRow
    warm: WarmRow


# Invariant: a key's bounds are those that its user relies on; (lowest, highest) or None for true and false.
_KEYS: dict[str, dict[str, tuple[float, float] | None]] = {
    "learn": {"on": None},
    "warm": {
        "on": None,
        "core-s": (0, 1e6),
        "tasks": (0, 100_000),
        "expiry-ms": (100, 60_000),
        "lead-ms": (0, 60_000),
        "least": (0, 1),
    },
}
SHIPPED: Defaults = {
    "learn": {"on": False},
    "warm": {"on": False, "core_s": 1200.0, "tasks": 16, "expiry_ms": 4000.0, "lead_ms": 400.0, "least": 0.6},
}


def check(*, document: dict[str, Any]) -> Defaults:
    """The settings with what is not named as shipped, or every finding with its place.

    >>> check(document={"warm": {"on": True, "tasks": 4}})["warm"]["tasks"]
    4
    >>> try:
    ...     check(document={"warm": {"least": 7, "lots": 1}, "worm": {}})
    ... except StartupError as err:
    ...     [str(f) for f in err.findings]
    ['warm.least: not a number from 0 to 1', 'warm.lots: unknown', 'worm: unknown']
    """
    bad: list[Finding] = []
    out: dict[str, dict[str, Any]] = {"learn": dict(SHIPPED["learn"]), "warm": dict(SHIPPED["warm"])}
    for table, rows in document.items():
        keys = _KEYS.get(table)
        if keys is None or not isinstance(rows, dict):
            bad.append(Finding(place=table, text="unknown" if keys is None else "not a table"))
            continue
        for key, val in rows.items():
            place = f"{table}.{key}"
            if key not in keys:
                bad.append(Finding(place=place, text="unknown"))
                continue
            span = keys[key]
            if span is None:
                if not isinstance(val, bool):
                    bad.append(Finding(place=place, text="not true or false"))
            elif isinstance(val, bool) or not isinstance(val, (int, float)) or not span[0] <= val <= span[1]:
                bad.append(Finding(place=place, text=f"not a number from {span[0]:g} to {span[1]:g}"))
            out[table][key.replace("-", "_")] = val
    if bad:
        raise StartupError(text="; ".join(str(f) for f in bad), findings=bad)
    return out  # type: ignore[return-value]


def load(*, path: Path = PATH) -> Defaults:
    """Read the file; without one, what ships."""
    try:
        document = tomllib.loads(path.read_text())
    except FileNotFoundError:
        document = {}
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as err:
        raise StartupError(text=f"{path.name}: {err}", findings=[Finding(place=path.name, text=str(err))]) from err
    return check(document=document)
