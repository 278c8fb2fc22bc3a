"""The state of group 0, changed by one reducer: configuration, evacuations, core members, minions and fences."""

import hashlib
from typing import Any

import orjson

from ..base.errs import Finding, InvalidError, StampError
from . import conf, delta
from .owners import Owners

_SEEN = 256


def digest(*, base: int, body: bytes) -> str:
    """Names one call, so that its repeat is known."""
    return hashlib.sha256(b"%d/" % base + body).hexdigest()[:32]


class Registry:
    """Invariants: the configuration's stamp only rises; `fence` is above every fence given out; a minion has at
    most one owner; `mods` rises with every change of evacuations or members; `owners` follows `minions`."""

    def __init__(self) -> None:
        self.conf: dict[str, Any] | None = None
        self.calls: list[str] = []
        self.evac: list[str] = []
        self.members: dict[str, dict[str, Any]] = {}
        self.minions: dict[str, dict[str, Any]] = {}
        self.owners = Owners(rows=self.minions)
        self.fence = 0
        self.mods = 0

    @property
    def stamp(self) -> int:
        """The current configuration's version, 0 before the first."""
        return int(self.conf["config-version"]) if self.conf else 0

    def dump(self) -> Any:
        """All of it."""
        return {"conf": self.conf, "calls": self.calls, "evac": self.evac, "members": self.members,
                "minions": self.minions, "fence": self.fence, "mods": self.mods}

    def load(self, doc: Any) -> None:
        """Replace all of it."""
        doc = orjson.loads(orjson.dumps(doc))
        for key in ("conf", "calls", "evac", "members", "minions", "fence", "mods"):
            setattr(self, key, doc[key])
        self.owners = Owners(rows=self.minions)

    def apply(self, ev: dict[str, Any]) -> None:
        """Take one event."""
        kind = ev["t"]
        if kind == "conf":
            if "d" in ev:
                assert self.conf is not None
                self.conf = delta.merge(doc=self.conf, delta=ev["d"])
            else:
                self.conf = ev["doc"]
            self.calls = [*self.calls[-_SEEN:], ev["h"]]
        elif kind == "evac":
            self.mods += 1
            self.evac = sorted({*self.evac, ev["site"]} if ev["on"] else set(self.evac) - {ev["site"]})
        elif kind == "enrol":
            self.mods += 1
            self.members[ev["uid"]] = ev["info"]
        elif kind == "drop":
            self.mods += 1
            self.members.pop(ev["uid"], None)
        elif kind == "own":
            for mid, owner, info in ev["ms"]:
                self.fence += 1
                old = self.minions.get(mid)
                row = self.minions[mid] = {**(old or {}), **info, "o": owner, "f": self.fence}
                self.owners.put(mid=mid, row=row, old=old)
        elif kind == "gone":
            gone = self.minions.get(ev["m"])
            if gone is not None and gone["f"] <= ev["f"]:
                del self.minions[ev["m"]]
                self.owners.drop(mid=ev["m"], row=gone)

    def judge(self, *, method: str, base: str | None, body: bytes) -> dict[str, Any] | None:
        """The event that a PUT or PATCH makes; None: accepted before. Raises what is wrong with it.

        The event holds the change (`d`) if that is small, else the whole (`doc`)."""
        try:
            num = int((base or "").strip().strip('"'))
        except ValueError as err:
            raise InvalidError(text="If-Match is not a version", findings=[
                Finding(place="If-Match", text="missing or not a whole number")]) from err
        mark = digest(base=num, body=method.encode() + body)
        if mark in self.calls:
            return None
        try:
            doc = orjson.loads(body)
        except orjson.JSONDecodeError as err:
            raise InvalidError(text="unreadable", findings=[Finding(place="(body)", text=str(err))]) from err
        if num != self.stamp:
            raise StampError(text=f"version {self.stamp} is current")
        if method == "PATCH":
            if self.conf is None:
                raise StampError(text="there is no configuration yet")
            doc = conf.patch(base=self.conf, change=doc)
        doc = conf.check(doc=doc)
        if doc["config-version"] <= self.stamp:
            raise InvalidError(text="version does not rise", findings=[
                Finding(place="config-version", text=f"not above {self.stamp}")])
        if self.conf is not None:
            change = delta.diff(old=self.conf, new=doc)
            if delta.small(delta=change, doc=doc):
                return {"t": "conf", "d": change, "h": mark}
        return {"t": "conf", "doc": doc, "h": mark}
