"""The state of group 0, changed by one reducer: configuration, evacuations, core members, minions and fences."""

import hashlib
import re
from typing import Any

import orjson

from ..common.errors import Finding, InvalidError, StampError, UnclearError
from . import config
from . import config_delta as delta
from .minion_ownership import Owners
from .operator_requests import AcceptedChanges, ZoneVersions

_IF_MATCH = re.compile(r'\s*("?)([0-9]{1,40})\1\s*')


def digest(*, base: int, body: bytes) -> str:
    """Names one order (its base, and its method and body), so that its repeat is known."""
    return hashlib.sha256(b"%d/" % base + body).hexdigest()[:32]


def base_version(*, header: str | None) -> int:
    """The version that an order builds on, of its If-Match; raises if that isn't one.

    >>> base_version(header="7"), base_version(header=' "7" ')
    (7, 7)
    """
    match = _IF_MATCH.fullmatch(header or "")
    if match is None:
        raise InvalidError(
            text="If-Match is not a version", findings=[Finding(place="If-Match", text="missing or not a whole number")]
        )
    return int(match.group(2))


def _own_version(*, document: Any) -> int:
    """The version that an order wants to make; 0 if it names none that could be accepted."""
    version = document.get("config-version") if isinstance(document, dict) else None
    return version if isinstance(version, int) and not isinstance(version, bool) else 0


class Registry:
    """Invariants: the configuration's stamp only rises; `fence` is above every fence given out; a minion has at
    most one owner; `mods` rises with every change of evacuations or members, and with every evacuation order that
    is taken; `owners` follows `minions`; `changes` and `zones` know what orders were taken.
    """

    def __init__(self) -> None:
        self.config: dict[str, Any] | None = None
        self.changes = AcceptedChanges()
        self.zones = ZoneVersions()
        self.evacuated_zones: list[str] = []
        self.members: dict[str, dict[str, Any]] = {}
        self.minions: dict[str, dict[str, Any]] = {}
        self.owners = Owners(rows=self.minions)
        self.fence = 0
        self.registry_version = 0

    @property
    def config_version(self) -> int:
        """The current configuration's version, 0 before the first."""
        return int(self.config["config-version"]) if self.config else 0

    def dump(self) -> Any:
        """All of it."""
        return {
            "conf": self.config,
            "changes": self.changes.dump(),
            "evac": self.evacuated_zones,
            "zones": self.zones.dump(),
            "members": self.members,
            "minions": self.minions,
            "fence": self.fence,
            "mods": self.registry_version,
        }

    def load(self, document: Any) -> None:
        """Replace all of it."""
        document = orjson.loads(orjson.dumps(document))
        self.config = document["conf"]
        self.evacuated_zones = document["evac"]
        self.members = document["members"]
        self.minions = document["minions"]
        self.fence = document["fence"]
        self.registry_version = document["mods"]
        # A state written by an older version doesn't hold the two memories: nothing before it is known.
        self.changes = AcceptedChanges.load(
            document=document.get("changes", {"forgotten": self.config_version, "taken": []})
        )
        self.zones = ZoneVersions.load(
            document=document.get("zones", {"forgotten": self.registry_version, "zones": []})
        )
        self.owners = Owners(rows=self.minions)

    def apply(self, event: dict[str, Any]) -> None:
        """Take one event."""
        kind = event["t"]
        if kind == "conf":
            if "d" in event:
                assert self.config is not None
                self.config = delta.merge(document=self.config, delta=event["d"])
            else:
                self.config = event["doc"]
            self.changes.add(version=self.config_version, digest=event["h"])
        elif kind == "evac":
            self.registry_version += 1
            self.evacuated_zones = sorted(
                {*self.evacuated_zones, event["site"]} if event["on"] else set(self.evacuated_zones) - {event["site"]}
            )
            self.zones.add(zone=event["site"], version=self.registry_version)
        elif kind == "enrol":
            self.registry_version += 1
            self.members[event["uid"]] = event["info"]
        elif kind == "drop":
            self.registry_version += 1
            self.members.pop(event["uid"], None)
        elif kind == "own":
            for minion_id, owner, info in event["ms"]:
                self.fence += 1
                old = self.minions.get(minion_id)
                row = self.minions[minion_id] = {**(old or {}), **info, "o": owner, "f": self.fence}
                self.owners.put(minion_id=minion_id, row=row, old=old)
        elif kind == "gone":
            gone = self.minions.get(event["m"])
            if gone is not None and gone["f"] <= event["f"]:
                del self.minions[event["m"]]
                self.owners.drop(minion_id=event["m"], row=gone)

    def judge_evacuation(self, *, zone: str, on: bool, known: int) -> dict[str, Any]:
        """The event that an evacuation order makes. `known`: the version of the node that took it, at that time.

        An order that would change the zone's state, but was taken by its node before that node knew of the zone's
        last order, may be a copy that was delayed: it is left without a clear answer. An order that asks for the
        present state makes an event too, since it must fence what was sent before it.
        """
        if (zone in self.evacuated_zones) is not on and known < self.zones.last(zone=zone):
            raise UnclearError(text=f"another order for {zone} came meanwhile")
        return {"t": "evac", "site": zone, "on": on}

    def judge(self, *, method: str, base: str | None, body: bytes) -> dict[str, Any] | None:
        """The event that a PUT or PATCH makes; None: accepted before. Raises what is wrong with it.

        Versions are unique and rise, so an order can only have been accepted under its own version: with the digest
        that `changes` holds for that. Below what `changes` knows nobody can tell, and neither 200 nor a refusal would
        be right. The event holds the change (`d`) if that is small, else the whole (`doc`).
        """
        built_on = base_version(header=base)
        mark = digest(base=built_on, body=method.encode() + body)
        try:
            document = orjson.loads(body)
        except orjson.JSONDecodeError as err:
            raise InvalidError(text="unreadable", findings=[Finding(place="(body)", text=str(err))]) from err
        version = _own_version(document=document)
        if self.changes.accepted(version=version, digest=mark):
            return None
        if built_on != self.config_version:
            if version > built_on and self.changes.unknown(version=version):
                raise UnclearError(text=f"orders up to version {self.changes.forgotten} aren't known any more")
            raise StampError(text=f"version {self.config_version} is current")
        if method == "PATCH":
            if self.config is None:
                raise StampError(text="there is no configuration yet")
            document = config.patch(base=self.config, change=document)
        return self._change(document=config.check(document=document), mark=mark)

    def _change(self, *, document: dict[str, Any], mark: str) -> dict[str, Any]:
        """The event that makes a valid configuration the current one; raises if its version doesn't rise."""
        if document["config-version"] <= self.config_version:
            raise InvalidError(
                text="version does not rise",
                findings=[Finding(place="config-version", text=f"not above {self.config_version}")],
            )
        if self.config is not None:
            change = delta.diff(old=self.config, new=document)
            if delta.small(delta=change, document=document):
                return {"t": "conf", "d": change, "h": mark}
        return {"t": "conf", "doc": document, "h": mark}
