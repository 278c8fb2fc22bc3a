"""What a core node gives its state machines, and how beats and calls of group 0 go through it."""

from typing import Any

from ..agent import Agent
from ..base.defaults import SHIPPED, Defaults
from ..base.errs import YarrowError
from ..base.log import Log
from ..base.startup import Startup
from ..fleet.registry import Registry
from ..job.state import Jobs
from ..place import Placer
from ..record import Epoch, Replica
from ..record.epoch import addr_of
from ..wire.frame import Kind, dump
from ..wire.http import Response
from .base import JOB_GROUPS, NodeBase
from .chief import Chief
from .control import BEAT_TTL, refusal

OWNER_S = 3.0
WITNESSES = 9


def spread(*, order: list[str], zones: dict[str, str], size: int, most: int) -> list[str]:
    """The first `size` of `order`, sorted, of which no zone has more than `most`; empty if there are none.

    >>> zones = {"a": "x", "b": "x", "c": "x", "d": "y", "e": "z"}
    >>> spread(order=list(zones), zones=zones, size=3, most=1)
    ['a', 'd', 'e']
    >>> spread(order=list(zones), zones=zones, size=5, most=2)
    []
    """
    taken: dict[str, int] = {}
    found: list[str] = []
    for uid in order:
        if len(found) < size and taken.get(zones[uid], 0) < most:
            taken[zones[uid]] = taken.get(zones[uid], 0) + 1
            found.append(uid)
    return sorted(found) if len(found) == size else []


class CoreHub(NodeBase):
    """Invariants: a replica's effects leave in the order of their events; a placer lives exactly while its group is
    served here; the agent acts only while `trusted`."""

    def __init__(self, *, startup: Startup, uid: str, boot: int, log: Log, first: bool, now: float,
                 rand: float = 0.5, defaults: Defaults | None = None) -> None:
        super().__init__(startup=startup, uid=uid, boot=boot, kind="core", log=log)
        self.now = now
        self._rand = rand
        self.reg = Registry()
        self.defaults = defaults or SHIPPED
        self.jobs = {g: Jobs(learn=self.defaults["learn"]["on"]) for g in self.groups()}
        self.reps: dict[int, Replica] = {}
        for g in range(JOB_GROUPS + 1):
            state = self.reg if g == 0 else self.jobs[g]
            first_epoch = self._genesis(g=g) if first else None
            if first_epoch is not None:
                self.eps[g] = first_epoch
            self.reps[g] = Replica(g=g, hub=self, state=state, epoch=first_epoch)
        self.placers: dict[int, Placer] = {}
        self.chief: Chief | None = None
        hold = min(startup.bound(name="max-hold-ms", default=6000), max(3.0 * startup.beat_ms, 4000.0))
        self.agent = Agent(hub=self, hold_ms=int(hold), lag_ms=startup.beat_ms,
                           stop_ms=int(startup.bound(name="stop-grace-ms", default=1000)))
        self.lease = -9.0
        self.listing = False                 # the chief wants to be told all that the agent holds
        self.roster: dict[str, float] = {}
        self.owner: dict[str, tuple[str, float]] = {}
        self.before: dict[int, str] = {}
        self.ticked = now

    # -- what the state machines ask

    def groups(self) -> range:
        """Job groups."""
        return range(1, JOB_GROUPS + 1)

    def _genesis(self, *, g: int) -> Epoch:
        seeds = [s.replace("#?", "#0") for s in self.seeds()]
        n = len(seeds)
        return {"n": 0, "p": seeds[g % n], "w": seeds, "t": "",
                "b": [seeds[(g + i) % n] for i in range(1, min(self.startup.losses, n - 1) + 1)]}

    def jitter(self) -> float:
        """0 to 1, from a small generator of its own."""
        self._rand = (self._rand * 997.0 + 0.123456789) % 1.0
        return self._rand

    def write(self, *, rec: dict[str, Any], done: tuple[Any, ...]) -> None:
        """To disk."""
        self.out.writes.append((dump(body=rec), done))

    def partners(self, *, first: list[str]) -> list[str]:
        """Members that may be a backup: alive ones first, then one zone after another, beginning with those that are
        not this node's; within a zone those in `first`, then the least loaded."""
        load: dict[str, int] = {}
        for e in self.eps.values():
            for holder in (e["p"], *e["b"]):
                load[holder] = load.get(holder, 0) + 1
        zones = self.peers()
        rank = {u: (not self.up(uid=u), u not in first, load.get(u, 0), u) for u in zones if u != self.uid}
        taken = {self.startup.site: 1, "": 1}
        order: list[str] = []
        while rank:
            best = min(rank, key=lambda u: (rank[u][0], taken.get(zones[u], 0), rank[u][1:]))
            del rank[best]
            order.append(best)
            taken[zones[best]] = taken.get(zones[best], 0) + 1
        return order

    def other_zones(self, *, holders: list[str]) -> list[str]:
        """If all of `holders` stand in one zone: live members of other zones. A zone not known yet proves nothing."""
        zones = self.peers()
        held = {zones.get(u, "") for u in holders}
        if len(held) != 1 or "" in held:
            return []
        return [u for u, zone in zones.items() if zone and zone not in held and self.up(uid=u)]

    def peers(self) -> dict[str, str]:
        """Core nodes and their sites as far as known. After a restart of all there are no members yet, only what
        epochs name and whose hearts are heard; a uid that gave way to another at its address does not count."""
        named = {u for e in self.eps.values() for u in (*e["w"], e["p"], *e["b"]) if u}
        heard = {u for u, i in self.info.items() if i["kind"] == "core" and self.alive(uid=u)} | {self.uid}
        new = {addr_of(uid=u): u for u in heard}
        out = {}
        for u in sorted(named | heard | set(self.members)):
            if new.get(addr_of(uid=u), u) == u:
                row = self.members.get(u) or self.info.get(u) or {}
                out[u] = str(row.get("site", ""))
        return out

    def losses(self) -> int:
        """How many disks may be lost at once."""
        return self.startup.losses

    def up(self, *, uid: str) -> bool:
        """Heard of lately."""
        return self.alive(uid=uid) or self.now - self.roster.get(uid, -9.0) < 1.5

    def witnesses(self, *, have: list[str]) -> list[str]:
        """Widen to all core nodes, replace the absent by the present; an odd number of them, and never fewer, but for
        a set of which one zone holds the majority while a smaller one, still enough for the budget, would not."""
        zones = {u: str(row.get("site", "")) for u, row in self.members.items() if self.up(uid=u)}
        order = [u for u in have if u in zones] + [u for u in sorted(zones) if u not in have]
        size = min(len(order) - 1 + len(order) % 2, WITNESSES)
        least = max(2 * self.losses() + 1, 3)
        for fewer in range(size, least - 1, -2):
            found = spread(order=order, zones=zones, size=fewer, most=fewer // 2)
            if found and (fewer >= len(have) or all(u in zones for u in have)):
                return found
        if size < max(len(have), 3):
            return have
        rows = (spread(order=order, zones=zones, size=size, most=most) for most in range(size // 2, size + 1))
        return next(found for found in rows if found)

    def everyone(self) -> list[str]:
        """All core members known."""
        return sorted(self.peers())

    def elected(self, *, g: int) -> None:
        """This node now serves the group."""
        e = self.reps[g].epoch
        assert e is not None
        was = self.before.get(g, "")
        self.note(event="primary", group=g, epoch=e["n"], backups=",".join(e["b"]))
        self._spread(g=g)
        if g == 0:
            self.chief = Chief(node=self, late=was if was != self.uid else "")
            self._publish()
        else:
            self.placers[g] = Placer(defaults=self.defaults, g=g, hub=self, rep=self.reps[g], jobs=self.jobs[g],
                                     far=self.startup.bound(name="spread-factor", default=2),
                                     status_s=self.startup.bound(name="status_s", default=120))

    def deposed(self, *, g: int) -> None:
        """It no longer does."""
        self.placers.pop(g, None)
        if g == 0:
            self.chief = None

    def _spread(self, *, g: int) -> None:
        e = self.reps[g].epoch
        for uid in self.cores():
            if uid != self.uid:
                self.send(uid=uid, kind=Kind.NEWS, body={"eps": [[g, e]]})

    def trusted(self) -> bool:
        """The agent may act: group 0's primary gave its word lately, or is this node."""
        return self.now < self.lease or (self.chief is not None and self.reps[0].serving())

    def let_go(self, *, mids: list[str]) -> None:
        """The chief wants these given to others. Let go of are those in good order, with none on its way out: the
        next agent would have to find out anew that a minion is silent or about to leave."""
        for mid in mids:
            m = self.agent.minions.get(mid)
            if m is not None and self.agent.open(m=m) and all(r.sent or r.live for r in m.runs.values()):
                self.agent.disown(mid=mid)

    def evacuated(self, *, site: str) -> bool:
        """Nothing may start there."""
        return site in self.evac

    def ranks(self) -> dict[str, int]:
        """The queues of the newest configuration, with their ranks."""
        return {name: int(row.get("rank", 9)) for name, row in self.table.routes.items()} if self.table else {}

    def evacuations(self) -> frozenset[str]:
        """Sites to which nothing is to be sent."""
        return frozenset(self.evac)

    def gone(self, *, mid: str, fence: int) -> None:
        """A minion is no more."""
        self.agent.disown(mid=mid)
        self.calls.start(g=0, op="gone", b={"m": mid, "f": fence}, done=("none",), ttl=30.0)

    def reply(self, *, uid: str, rid: int, status: int, doc: Any) -> None:
        """Answer a call of another node."""
        self.send(uid=uid, kind=Kind.REPLY, body={"rid": rid, "s": status, "d": doc})

    def learn(self, *, eps: list[Any]) -> None:
        """Epochs go to the replicas first, which report what is news."""
        for g, e in eps:
            self.reps[g].learn(e)

    def configured(self) -> None:
        """A newer configuration is in force here."""
        for placer in self.placers.values():
            placer.configured()

    def installed(self, *, g: int, epoch: Epoch) -> None:
        """A newer epoch is decided."""
        old = self.eps.get(g)
        if old is not None:
            self.before[g] = old["p"]
        super().learn(eps=[[g, epoch]])
        self.push()

    # -- group 0

    def commit0(self, *, ev: dict[str, Any], then: tuple[Any, ...] | None = None, news: bool = False) -> None:
        """Commit to group 0; what changes news goes out once durable."""
        self.reps[0].commit(ev=ev, then=then)
        if news:
            self.reps[0].barrier(then=("news", self._registry()))

    def _registry(self) -> dict[str, Any]:
        return {"reg": {"mods": self.reg.mods, "evac": list(self.reg.evac), "members": dict(self.reg.members)}}

    def _publish(self) -> None:
        doc = self._registry()
        if self.reg.conf is not None:
            doc["conf"] = self.reg.conf
        self.take_news(doc=doc)

    def _serve0(self, *, uid: str, rid: int, op: str, b: dict[str, Any]) -> None:
        rep, chief = self.reps[0], self.chief
        assert chief is not None
        if op == "conf":
            try:
                ev = self.reg.judge(method=b["m"], base=b["base"], body=b["body"].encode())
            except YarrowError as err:
                status, doc = refusal(err=err)
                rep.barrier(then=("reply", uid, rid, status, doc))
                return
            if ev is not None:
                rep.commit(ev=ev)
                rep.barrier(then=("news", {"conf": self.reg.conf}))
                self.note(event="config-accepted", stamp=self.reg.stamp)
            rep.barrier(then=("reply", uid, rid, 200, {}))
        elif op == "getconf":
            rep.barrier(then=("reply", uid, rid, 200 if self.reg.conf else 404, self.reg.conf or {}))
        elif op == "evac":
            self.commit0(ev={"t": "evac", "site": b["site"], "on": b["on"]}, news=True)
            rep.barrier(then=("reply", uid, rid, 200, {}))
        elif op == "who":
            chief.who(uid=uid, rid=rid, b=b)
        elif op == "gone":
            rep.commit(ev={"t": "gone", "m": b["m"], "f": b["f"]}, then=("reply", uid, rid, 200, {}))
        elif op == "leave":
            row = self.reg.minions.get(b["m"])
            if row is None:
                self.reply(uid=uid, rid=rid, status=200, doc={})
            else:
                self.send(uid=row["o"], kind=Kind.CALL, body={"rid": rid, "g": -1, "op": "leave", "b": b, "for": uid})

    # -- beats

    def agent_beat(self, *, mid: str, doc: dict[str, Any], call: Any) -> None:
        """A beat of an owned minion; what cannot be read is refused."""
        try:
            self.agent.beat(mid=mid, doc=doc, call=call)
        except (ValueError, TypeError, KeyError, IndexError, AttributeError) as err:
            self.log.warn("beat-malformed", minion=mid, why=repr(err))
            self.respond(call=call, res=Response.of(400, {"error": "not a beat"}))

    def beat_elsewhere(self, *, mid: str, doc: dict[str, Any], call: Any) -> None:
        """Hand a beat to the minion's agent."""
        owner, at = self.owner.get(mid, ("", -9.0))
        if owner and owner != self.uid and self.now - at < OWNER_S:
            self.calls.start(g=-1, to=owner, op="beat", b={"m": mid, "d": doc}, done=("beat", call, mid, owner),
                             ttl=BEAT_TTL)
            return
        b = {"m": mid, "site": str(doc.get("zone", "")), "svc": str(doc.get("backend", "")),
             "labels": [str(x) for x in doc.get("labels", [])]}
        self.calls.start(g=0, op="who", b=b, done=("who", call, mid, doc), ttl=BEAT_TTL)

    def called(self, *, done: tuple[Any, ...], status: int, doc: Any, sent: bool) -> None:
        """A call of this node has ended."""
        kind = done[0]
        if kind == "http":
            self.respond(call=done[1], res=Response.of(status, doc) if status else Response.of(
                503, {"error": "no primary in reach"}))
        elif kind == "who":
            _, call, mid, beat = done
            if status != 200:
                self.respond(call=call, res=Response(status=503))
            elif doc["o"] == self.uid:
                if mid in self.agent.minions:
                    self.agent_beat(mid=mid, doc=beat, call=call)
                else:
                    self.respond(call=call, res=Response(status=503))
            else:
                self.owner[mid] = (doc["o"], self.now)
                if len(self.owner) > 20000:
                    self.owner.clear()
                self.calls.start(g=-1, to=doc["o"], op="beat", b={"m": mid, "d": beat},
                                 done=("beat", call, mid, doc["o"]), ttl=BEAT_TTL)
        elif kind == "beat":
            _, call, mid, owner = done
            if status != 200:
                self.owner.pop(mid, None)
                self.respond(call=call, res=Response(status=503))
                return
            ctl = self.members.get(owner, {}).get("ctl") or self.info.get(owner, {}).get("ctl")
            if ctl:
                doc = {**doc, "beat-target": ctl}
            self.respond(call=call, res=Response.of(200, doc))

    def respond(self, *, call: Any, res: Response) -> None:
        """Answer a call: over HTTP, or to the node that handed the beat over."""
        if isinstance(call, tuple) and call[0] == "far":
            self.reply(uid=call[1], rid=call[2], status=res.status, doc=self.load(body=res.body) if res.body else {})
        else:
            super().respond(call=call, res=res)

    def _handed(self, *, uid: str, rid: int, op: str, b: dict[str, Any]) -> None:
        if op == "leave":
            if b["m"] in self.agent.minions:
                self.agent.leave(mid=b["m"], call=("far", uid, rid))
            else:
                self.reply(uid=uid, rid=rid, status=200, doc={})
        elif b["m"] in self.agent.minions and self.trusted():
            self.agent_beat(mid=b["m"], doc=b["d"], call=("far", uid, rid))
        else:
            self.reply(uid=uid, rid=rid, status=503, doc={})

    def effect(self, *, eff: tuple[Any, ...]) -> None:
        """Carry out an effect that is now durable."""
        raise NotImplementedError

    def describe(self) -> dict[str, Any]:
        """A summary for the operator."""
        return {"uid": self.uid, "site": self.startup.site, "config": self.table.stamp if self.table else 0,
                "evacuated": sorted(self.evac), "members": self.members,
                "groups": {str(g): {"role": r.role.value, "epoch": r.epoch, "serving": r.serving()}
                           for g, r in self.reps.items()},
                "minions": {m.mid: {"phase": m.phase.value, "free": m.free(), "runs": len(m.runs)}
                            for m in self.agent.minions.values()},
                "backlog": {str(g): len(p.backlog) for g, p in self.placers.items()},
                "placing": {str(g): p.figures() for g, p in self.placers.items()}}
