"""The project's own settings: what an installation may switch, with the defaults that ship.

They stand in `deploy/defaults.toml`; a process reads them at its start. The operator's configuration and the settings
file of a process are other things: see cluster_state/config.py and settings.py.
"""

import tomllib
from pathlib import Path
from typing import Any, TypedDict

from .errors import Finding, SettingsError
from .settings import is_number

PATH = Path(__file__).resolve().parents[2] / "deploy" / "defaults.toml"


class WarmRow(TypedDict):
    """`[warm]`: capacity kept free for jobs that are predicted to come soon.

    Attributes:
        on: Whether any is kept.
        core_s: At most so many core-seconds are held in a minute.
        tasks: At most so many tasks are provided for in one service.
        expiry_ms: One reservation is held no longer than this.
        lead_ms: A reservation begins this long before the predicted job.
        least: The confidence that a prediction needs, 0 to 1.
    """

    on: bool
    core_s: float
    tasks: int
    expiry_ms: float
    lead_ms: float
    least: float


class LearnRow(TypedDict):
    """`[learn]`: the history of submissions and run times, kept with the state of jobs.

    Attributes:
        on: Whether it is kept. `[warm]` needs it; it takes about a third of a busy scheduler's time (simulated
            cluster, docs/warm.md).
    """

    on: bool


class Defaults(TypedDict):
    """All tables of the file."""

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
    """The defaults with what a document changes of them.

    Raises:
        SettingsError: Something is unknown or out of its bounds; it holds every finding.

    >>> check(document={"warm": {"on": True, "tasks": 4}})["warm"]["tasks"]
    4
    >>> try:
    ...     check(document={"warm": {"least": 7, "lots": 1}, "worm": {}})
    ... except SettingsError as error:
    ...     [str(finding) for finding in error.findings]
    ['warm.least: not a number from 0 to 1', 'warm.lots: unknown', 'worm: unknown']
    """
    findings = [finding for table, rows in document.items() for finding in _table_findings(table=table, rows=rows)]
    if findings:
        raise SettingsError(text="; ".join(str(finding) for finding in findings), findings=findings)
    merged: dict[str, dict[str, Any]] = {"learn": dict(SHIPPED["learn"]), "warm": dict(SHIPPED["warm"])}
    for table, rows in document.items():
        merged[table].update((key.replace("-", "_"), value) for key, value in rows.items())
    return merged  # type: ignore[return-value]


def _table_findings(*, table: str, rows: object) -> list[Finding]:
    keys = _KEYS.get(table)
    if keys is None:
        return [Finding(place=table, text="unknown")]
    if not isinstance(rows, dict):
        return [Finding(place=table, text="not a table")]
    faults = {
        key: _value_fault(value=value, bounds=keys[key]) if key in keys else "unknown" for key, value in rows.items()
    }
    return [Finding(place=f"{table}.{key}", text=fault) for key, fault in faults.items() if fault]


def _value_fault(*, value: object, bounds: tuple[float, float] | None) -> str:
    """What is wrong with a value; empty: nothing. Without bounds it is to be true or false."""
    if bounds is None:
        return "" if isinstance(value, bool) else "not true or false"
    lowest, highest = bounds
    if is_number(value) and lowest <= value <= highest:
        return ""
    return f"not a number from {lowest:g} to {highest:g}"


def load(*, path: Path = PATH) -> Defaults:
    """Read the file; without one, the defaults that ship.

    Raises:
        SettingsError: The file cannot be read or holds findings.
    """
    try:
        document = tomllib.loads(path.read_text())
    except FileNotFoundError:
        document = {}
    except (OSError, UnicodeDecodeError, tomllib.TOMLDecodeError) as err:
        raise SettingsError(text=f"{path.name}: {err}", findings=[Finding(place=path.name, text=str(err))]) from err
    return check(document=document)
