"""The settings file of a process: read, checked, all findings at once."""

import os
from dataclasses import dataclass, field
from typing import Any

import orjson

from .errors import Finding, StartupError

ENV = "YARROWLOOM_NODE_FILE"
MOST_LOSSES = 4  # more backups than that are not kept, whatever the budget
JOB_STATUS_S = 120.0  # where the settings name no figure
DEFAULT_PATH = "/etc/yarrowloom/local.json"

_BOUNDS_MS = {
    "drain-ms": 2000,
    "config-apply-ms": 2000,
    "evacuate-ms": 5000,
    "max-hold-ms": 10000,
    "stop-grace-ms": 1000,
    "gang-wait-ms": 3000,
    "early_ms": 250,
    "restore-ms": 250,
    "contact-ms": 3000,
}


@dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """What a process is told. `seeds` are control addresses; ports are the same on all machines."""

    name: str
    role: str
    ip: str
    zone: str
    zones: dict[str, str]
    binds: dict[str, str]
    ports: tuple[int, int]
    seeds: tuple[str, ...]
    bootstrap: bool
    data_dir: str | None
    disk_mb: int
    memory_mb: int
    beat_ms: int
    link_mbps: float = 1000.0  # above 0; what the machine's own link carries each way
    losses: int = 1  # disks that may be lost at once: each group has as many backups
    bounds: dict[str, float] = field(default_factory=dict)

    def bound(self, *, name: str, default: float) -> float:
        """A figure of the rules in force."""
        return float(self.bounds.get(name, default))

    @property
    def job_status_s(self) -> float:
        """Seconds for which an ended job is shown at least: `status-poll-s`, on older pages `status_s`."""
        return self.bound(name="status-poll-s", default=self.bound(name="status_s", default=JOB_STATUS_S))


def _addr_ok(val: object) -> bool:
    if not isinstance(val, str) or val.count(":") != 1:
        return False
    host, port = val.split(":")
    return bool(host) and port.isdigit() and 0 < int(port) < 65536


def check(*, document: Any) -> NodeSettings:
    """Build a NodeSettings or raise with every finding.

    >>> try:
    ...     check(document={"node-name": "a"})
    ... except StartupError as err:
    ...     len(err.findings) > 3
    True
    """
    bad: list[Finding] = []
    if not isinstance(document, dict):
        raise StartupError(text="settings are not an object", findings=[Finding(place="(file)", text="not an object")])

    def want(key: str, kind: type | tuple[type, ...], default: Any = None) -> Any:
        val = document.get(key, default)
        if key not in document and default is None:
            bad.append(Finding(place=key, text="missing"))
        elif not isinstance(val, kind) or (isinstance(val, bool) and kind is not bool):
            bad.append(Finding(place=key, text=f"has the wrong type ({type(val).__name__})"))
        return val

    name, role = want("node-name", str), want("role", str, "")
    ip, zone = want("ip", str), want("zone", str)
    zones = want("zones", dict, {})
    binds = want("bind-addrs", dict)
    ports = want("internal-ports", list)
    seeds = want("seed-nodes", list)
    beat = want("beat-interval-ms", (int, float), 1500)
    bounds = want("bounds", dict, {})
    limits = want("limits", dict, {})
    boot = document.get("bootstrap", False)
    budget = want("fault-budget", dict, {})
    losses = budget.get("machines", 1) if isinstance(budget, dict) else 1
    if not isinstance(losses, int) or isinstance(losses, bool) or losses < 0:
        bad.append(Finding(place="fault-budget.machines", text="not a whole number of 0 or more"))
        losses = 1
    if isinstance(binds, dict):
        bad += [Finding(place=f"bind-addrs.{k}", text="not HOST:PORT") for k, v in binds.items() if not _addr_ok(v)]
    if isinstance(seeds, list):
        bad += [Finding(place=f"seed-nodes[{i}]", text="not HOST:PORT") for i, v in enumerate(seeds) if not _addr_ok(v)]
    if isinstance(ports, list) and not (
        len(ports) == 2 and all(isinstance(p, int) and 0 < p < 65536 for p in ports) and ports[0] < ports[1]
    ):
        bad.append(Finding(place="internal-ports", text="not two rising ports"))
    link = limits.get("link-mbps", 1000.0) if isinstance(limits, dict) else 1000.0
    if isinstance(link, bool) or not isinstance(link, (int, float)) or link <= 0:
        bad.append(Finding(place="limits.link-mbps", text="not a number above 0"))
    data = document.get("data-dir")
    if data is not None and not isinstance(data, str):
        bad.append(Finding(place="data-dir", text="not a path"))
    if not isinstance(boot, bool):
        bad.append(Finding(place="bootstrap", text="not true or false"))
    if bad:
        raise StartupError(text="; ".join(str(f) for f in bad), findings=bad)
    figs = {k: float(v) for k, v in bounds.items() if isinstance(v, (int, float))}
    return NodeSettings(
        name=name,
        role=role,
        ip=ip,
        zone=zone,
        zones=zones,
        binds=binds,
        ports=(ports[0], ports[1]),
        seeds=tuple(seeds),
        bootstrap=boot,
        data_dir=data,
        disk_mb=int(limits.get("disk-mb", 0) or 0),
        memory_mb=int(limits.get("memory-mb", 256) or 256),
        beat_ms=int(beat),
        link_mbps=float(link),
        losses=min(max(losses, 1), MOST_LOSSES),
        bounds=figs,
    )


def load(*, path: str | None = None) -> NodeSettings:
    """Read the file named by the environment (or `path`)."""
    where = path or os.environ.get(ENV) or DEFAULT_PATH
    try:
        with open(where, "rb") as fh:
            document = orjson.loads(fh.read())
    except OSError as err:
        raise StartupError(
            text=f"{where}: {err.strerror}", findings=[Finding(place=where, text=str(err.strerror))]
        ) from err
    except orjson.JSONDecodeError as err:
        raise StartupError(text=f"{where}: {err}", findings=[Finding(place=where, text=str(err))]) from err
    return check(document=document)
