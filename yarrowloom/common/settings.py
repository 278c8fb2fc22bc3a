"""The settings file of a process: read, checked, with all findings reported together.

The file's keys are published (they are what the deployment writes); their names in the code stand in `NodeSettings`.
"""

import math
import os
from dataclasses import dataclass, field
from typing import Any, TypeGuard

import orjson

from .errors import Finding, SettingsError

SETTINGS_FILE_VARIABLE = "YARROWLOOM_NODE_FILE"
DEFAULT_PATH = "/etc/yarrowloom/local.json"
MAX_BACKUPS = 4  # a group keeps no more backups than that, whatever the fault budget allows
DEFAULT_LINK_MBPS = 1000.0
DEFAULT_MEMORY_MB = 256
DEFAULT_DESCRIPTORS = 1024  # what systems commonly allow a process
DEFAULT_HEARTBEAT_INTERVAL_MS = 1500
# Used where the settings' `bounds` give no figure.
DEFAULT_JOB_STATUS_S = 120.0
DEFAULT_CONFIG_APPLY_MS = 2000.0
DEFAULT_MAX_HOLD_MS = 6000.0
DEFAULT_STOP_GRACE_MS = 1000.0
DEFAULT_DRAIN_MS = 2000.0
DEFAULT_GRACE_S = 6.0
DEFAULT_SPREAD_FACTOR = 2.0
DEFAULT_QUOTA_EXCESS = 0.0
TENANTS_CONTRACT = "tenants"  # in `active-contracts`: clients' calls carry keys


@dataclass(frozen=True, kw_only=True)
class NodeSettings:
    """What a process is told at its start and on SIGHUP.

    Attributes:
        name: The machine's name, for logs.
        role: The deploy file's name of the role.
        ip: The machine's address.
        zone: The machine's zone.
        zones: The region of each zone.
        binds: HOST:PORT by what is served there (`control`, `front`, `ready`).
        ports: First and last port for what nodes say to each other, alike on all machines.
        seeds: Control addresses of a few core nodes; they may be out of date.
        bootstrap: True only at the very first start of the whole system.
        data_dir: Folder for the journal; None on machines without a disk.
        disk_mb: Size of the disk.
        memory_mb: Limit on the process's memory.
        descriptors: Limit on the process's open descriptors.
        heartbeat_interval_ms: How often minions send heartbeats.
        link_mbps: What the machine's link carries each way; above 0.
        losses: Disks that may be lost at once; each group has as many backups.
        bounds: Figures of the rules in force, by their published names.
        requires_keys: Clients' calls carry keys of tenants, but on public routes.
    """

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
    heartbeat_interval_ms: int
    link_mbps: float = DEFAULT_LINK_MBPS
    descriptors: int = DEFAULT_DESCRIPTORS
    losses: int = 1
    bounds: dict[str, float] = field(default_factory=dict)
    requires_keys: bool = False

    def _bound(self, *names: str, default: float) -> float:
        """The first figure that is given under one of the published names."""
        return next((float(self.bounds[name]) for name in names if name in self.bounds), default)

    @property
    def config_apply_ms(self) -> float:
        """A configuration is in force everywhere this long after its acknowledgement."""
        return self._bound("config-apply-ms", default=DEFAULT_CONFIG_APPLY_MS)

    @property
    def max_hold_ms(self) -> float:
        """The longest time for which a minion may be told to keep running without an answer."""
        return self._bound("max-hold-ms", default=DEFAULT_MAX_HOLD_MS)

    @property
    def stop_grace_ms(self) -> float:
        """What a task has to end in after it was told to stop."""
        return self._bound("stop-grace-ms", default=DEFAULT_STOP_GRACE_MS)

    @property
    def drain_ms(self) -> float:
        """A minion that is about to end serves on for this long at least."""
        return self._bound("drain-ms", default=DEFAULT_DRAIN_MS)

    @property
    def grace_s(self) -> float:
        """What a process has between SIGTERM and its end."""
        return self._bound("grace-s", default=DEFAULT_GRACE_S)

    @property
    def spread_factor(self) -> float:
        """How much longer a task takes away from its data."""
        return self._bound("spread-factor", default=DEFAULT_SPREAD_FACTOR)

    @property
    def quota_excess(self) -> float:
        """The part of a tenant's bound by which the rules allow it to be exceeded."""
        return self._bound("quota-excess", default=DEFAULT_QUOTA_EXCESS)

    @property
    def job_status_s(self) -> float:
        """An ended job is shown for this long at least; older pages call the figure `status_s`."""
        return self._bound("status-poll-s", "status_s", default=DEFAULT_JOB_STATUS_S)


def is_address(value: object) -> bool:
    """Whether a value is HOST:PORT.

    >>> is_address("10.0.0.1:80"), is_address("10.0.0.1"), is_address("10.0.0.1:0"), is_address(80)
    (True, False, False, False)
    """
    if not isinstance(value, str) or value.count(":") != 1:
        return False
    host, port = value.split(":")
    return bool(host) and port.isascii() and port.isdigit() and 0 < int(port) < 65536


def is_number(value: object) -> TypeGuard[float]:
    """Whether a value is a JSON number; true and false are none."""
    return isinstance(value, (int, float)) and not isinstance(value, bool)


# Key, accepted types, default; without a default the key must be there. In the order in which findings are reported.
_FIELDS: tuple[tuple[str, type | tuple[type, ...], Any], ...] = (
    ("node-name", str, None),
    ("role", str, ""),
    ("ip", str, None),
    ("zone", str, None),
    ("zones", dict, {}),
    ("bind-addrs", dict, None),
    ("internal-ports", list, None),
    ("seed-nodes", list, None),
    ("beat-interval-ms", (int, float), DEFAULT_HEARTBEAT_INTERVAL_MS),
    ("bounds", dict, {}),
    ("limits", dict, {}),
    ("fault-budget", dict, {}),
    ("active-contracts", list, []),
)

_SIZES = ("disk-mb", "memory-mb", "fd-limit")  # limits in MB, and of descriptors


def check(*, document: object) -> NodeSettings:
    """The settings that a parsed file holds.

    Raises:
        SettingsError: Something is missing or wrong; it holds every finding.

    >>> try:
    ...     check(document={"node-name": "a"})
    ... except SettingsError as error:
    ...     len(error.findings) > 3
    True
    """
    if not isinstance(document, dict):
        raise SettingsError(text="settings are not an object", findings=[Finding(place="(file)", text="not an object")])
    values = {key: document.get(key, default) for key, _, default in _FIELDS}
    findings = [
        *_type_findings(document=document, values=values),
        *_budget_findings(values["fault-budget"]),
        *_address_findings(binds=values["bind-addrs"], seeds=values["seed-nodes"]),
        *_port_findings(values["internal-ports"]),
        *_link_findings(values["limits"]),
        *_size_findings(values["limits"]),
        *_storage_findings(document),
    ]
    if findings:
        raise SettingsError(text="; ".join(str(finding) for finding in findings), findings=findings)
    return _settings(document=document, values=values)


def _type_findings(*, document: dict[str, Any], values: dict[str, Any]) -> list[Finding]:
    findings = []
    for key, kind, default in _FIELDS:
        value = values[key]
        if key not in document and default is None:
            findings.append(Finding(place=key, text="missing"))
        elif not isinstance(value, kind) or isinstance(value, bool):
            findings.append(Finding(place=key, text=f"has the wrong type ({type(value).__name__})"))
    return findings


def _budget_findings(budget: object) -> list[Finding]:
    losses = budget.get("machines", 1) if isinstance(budget, dict) else 1
    if isinstance(losses, int) and not isinstance(losses, bool) and losses >= 0:
        return []
    return [Finding(place="fault-budget.machines", text="not a whole number of 0 or more")]


def _address_findings(*, binds: object, seeds: object) -> list[Finding]:
    addresses: list[tuple[str, object]] = []
    if isinstance(binds, dict):
        addresses += [(f"bind-addrs.{name}", address) for name, address in binds.items()]
    if isinstance(seeds, list):
        addresses += [(f"seed-nodes[{index}]", address) for index, address in enumerate(seeds)]
    return [Finding(place=place, text="not HOST:PORT") for place, address in addresses if not is_address(address)]


def _port_findings(ports: object) -> list[Finding]:
    if not isinstance(ports, list):
        return []
    rising = len(ports) == 2 and all(isinstance(port, int) and 0 < port < 65536 for port in ports)
    if rising and ports[0] < ports[1]:
        return []
    return [Finding(place="internal-ports", text="not two rising ports")]


def _link_findings(limits: object) -> list[Finding]:
    link_mbps = limits.get("link-mbps", DEFAULT_LINK_MBPS) if isinstance(limits, dict) else DEFAULT_LINK_MBPS
    if is_number(link_mbps) and link_mbps > 0:
        return []
    return [Finding(place="limits.link-mbps", text="not a number above 0")]


def _size_findings(limits: object) -> list[Finding]:
    """What is wrong with limits in MB and of descriptors; one that is missing or null has a default."""
    sizes = {key: limits.get(key) for key in _SIZES} if isinstance(limits, dict) else {}
    return [
        Finding(place=f"limits.{key}", text="not a number of 0 or more")
        for key, size in sizes.items()
        if size is not None and not (is_number(size) and 0 <= size < math.inf)
    ]


def _storage_findings(document: dict[str, Any]) -> list[Finding]:
    findings = []
    if not isinstance(document.get("data-dir"), str | None):
        findings.append(Finding(place="data-dir", text="not a path"))
    if not isinstance(document.get("bootstrap", False), bool):
        findings.append(Finding(place="bootstrap", text="not true or false"))
    return findings


def _settings(*, document: dict[str, Any], values: dict[str, Any]) -> NodeSettings:
    """The settings of a document without findings."""
    limits = values["limits"]
    first_port, last_port = values["internal-ports"]
    losses = values["fault-budget"].get("machines", 1)
    return NodeSettings(
        name=values["node-name"],
        role=values["role"],
        ip=values["ip"],
        zone=values["zone"],
        zones=values["zones"],
        binds=values["bind-addrs"],
        ports=(first_port, last_port),
        seeds=tuple(values["seed-nodes"]),
        bootstrap=document.get("bootstrap", False),
        data_dir=document.get("data-dir"),
        disk_mb=int(limits.get("disk-mb", 0) or 0),
        memory_mb=int(limits.get("memory-mb", DEFAULT_MEMORY_MB) or DEFAULT_MEMORY_MB),
        descriptors=int(limits.get("fd-limit", DEFAULT_DESCRIPTORS) or DEFAULT_DESCRIPTORS),
        heartbeat_interval_ms=int(values["beat-interval-ms"]),
        link_mbps=float(limits.get("link-mbps", DEFAULT_LINK_MBPS)),
        losses=min(max(losses, 1), MAX_BACKUPS),
        requires_keys=TENANTS_CONTRACT in values["active-contracts"],
        bounds={name: float(figure) for name, figure in values["bounds"].items() if isinstance(figure, (int, float))},
    )


def load(*, path: str | None = None) -> NodeSettings:
    """Read the file at `path`, else the one that the environment names.

    Raises:
        SettingsError: The file cannot be read, is no JSON, or holds findings.
    """
    source = path or os.environ.get(SETTINGS_FILE_VARIABLE) or DEFAULT_PATH
    try:
        with open(source, "rb") as file:
            document = orjson.loads(file.read())
    except OSError as error:
        finding = Finding(place=source, text=str(error.strerror))
        raise SettingsError(text=f"{source}: {error.strerror}", findings=[finding]) from error
    except orjson.JSONDecodeError as error:
        raise SettingsError(text=f"{source}: {error}", findings=[Finding(place=source, text=str(error))]) from error
    return check(document=document)
