"""The core node: witness, records, chief, agent and placing node in one process; all state machines, no sockets."""

from typing import Any

from ..agent import Agent
from ..base.errs import YarrowError
from ..base.log import Log
from ..base.startup import Startup
from ..fleet.registry import Registry
from ..job.state import Jobs
from ..place import Placer
from ..record import Epoch, Replica
from ..wire.frame import Kind, dump
from ..wire.http import Request, Response
from .base import JOB_GROUPS, NodeBase
from .calls import NOT_PRIMARY
from .chief import LEASE_S, Chief
from .control import BEAT_TTL, dispatch, refusal

REC = frozenset({Kind.PREP, Kind.PROMISE, Kind.ACCEPT, Kind.ACCEPTED, Kind.INSTALL, Kind.INSTALLED, Kind.CKPT,
                 Kind.CKPTOK, Kind.LOG, Kind.LOGOK, Kind.PING, Kind.PONG, Kind.YIELD})
THAW_S = 0.5
OWNER_S = 3.0


class CoreNode(NodeBase):
    """Invariants: a replica's effects leave in the order of their events; a placer lives exactly while its group is
    served here; the agent acts only while `trusted`."""

    def __init__(self, *, startup: Startup, uid: str, boot: int, log: Log, first: bool, now: float,
                 rand: float = 0.5) -> None:
        super().__init__(startup=startup, uid=uid, boot=boot, kind="core", log=log)
        self.now = now
        self._rand = rand
        self.reg = Registry()
        self.jobs = {g: Jobs() for g in self.groups()}
        self.reps: dict[int, Replica] = {}
        for g in range(JOB_GROUPS + 1):
            state = self.reg if g == 0 else self.jobs[g]
            first_epoch = self._genesis(g=g) if first else None
            if first_epoch is not None:
                self.eps[g] = first_epoch
            self.reps[g] = Replica(g=g, hub=self, state=state, epoch=first_epoch)
        self.placers: dict[int, Placer] = {}
        self.chief: Chief | None = None
        hold = min(startup.bound(name="max-hold-ms", default=6000), max(4.0 * startup.beat_ms, 5000.0))
        self.agent = Agent(hub=self, hold_ms=int(hold), lag_ms=startup.beat_ms,
                           stop_ms=int(startup.bound(name="stop-grace-ms", default=1000)))
        self.lease = -9.0
        self.roster: dict[str, float] = {}
        self.owner: dict[str, tuple[str, float]] = {}
        self.before: dict[int, str] = {}
        self.ticked = now
        self._effects = {"near": self._near, "copied": self._copied, "send": self._sendeff, "none": self._none,
                         "reply": self._reply, "news": self._news, "owned": self._owned, "owned-all": self._owned_all,
                         "stops": self._stops, "orders": self._orders, "endsok": self._endsok,
                         "giveback": self._giveback, "selfown": self._selfown}

    # -- what the state machines ask

    def groups(self) -> range:
        """Job groups."""
        return range(1, JOB_GROUPS + 1)

    def _genesis(self, *, g: int) -> Epoch:
        seeds = [s.replace("#?", "#0") for s in self.seeds()]
        n = len(seeds)
        return {"n": 0, "p": seeds[g % n], "b": seeds[(g + 1) % n] if n > 1 else "", "w": seeds, "t": ""}

    def jitter(self) -> float:
        """0 to 1, from a small generator of its own."""
        self._rand = (self._rand * 997.0 + 0.123456789) % 1.0
        return self._rand

    def write(self, *, rec: dict[str, Any], done: tuple[Any, ...]) -> None:
        """To disk."""
        self.out.writes.append((dump(body=rec), done))

    def partners(self) -> list[str]:
        """Members that may be a backup: alive ones first, other sites before the own, the least loaded first."""
        load: dict[str, int] = {}
        for e in self.eps.values():
            load[e["p"]] = load.get(e["p"], 0) + 1
            load[e["b"]] = load.get(e["b"], 0) + 1
        known = self.members or {s.replace("#?", "#0"): {"site": ""} for s in self.seeds()}
        rows = [(not self._up(uid=u), i.get("site") == self.startup.site, load.get(u, 0), u)
                for u, i in known.items() if u != self.uid]
        return [u for *_, u in sorted(rows)]

    def _up(self, *, uid: str) -> bool:
        return self.alive(uid=uid) or self.now - self.roster.get(uid, -9.0) < 1.5

    def witnesses(self, *, have: list[str]) -> list[str]:
        """Widen to all core nodes, replace the absent by the present, never shrink."""
        up = [u for u in have if u in self.members and self._up(uid=u)]
        up += [u for u in sorted(self.members) if u not in have and self._up(uid=u)]
        return sorted(up[:9]) if len(up) >= max(len(have), 3) else have

    def everyone(self) -> list[str]:
        """All core members known."""
        return sorted(set(self.members) | {self.uid}) if self.members else [
            s.replace("#?", "#0") for s in self.seeds()]

    def elected(self, *, g: int) -> None:
        """This node now serves the group."""
        e = self.reps[g].epoch
        assert e is not None
        was = self.before.get(g, "")
        self.note(event="primary", group=g, epoch=e["n"], backup=e["b"])
        self._spread(g=g)
        if g == 0:
            self.chief = Chief(node=self, late=was if was != self.uid else "")
            self._publish()
        else:
            self.placers[g] = Placer(g=g, hub=self, rep=self.reps[g], jobs=self.jobs[g],
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

    def evacuated(self, *, site: str) -> bool:
        """Nothing may start there."""
        return site in self.evac

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
                rep.commit(ev=ev, then=("news", {"conf": ev["doc"]}))
                self.note(event="config-accepted", stamp=ev["doc"]["config-version"])
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
            self.respond(call=done[1], res=Response.of(status or 503, doc or {"error": "no primary in reach"}))
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

    # -- effects

    def effect(self, *, eff: tuple[Any, ...]) -> None:
        """Carry out an effect that is now durable."""
        self._effects[eff[0]](*eff[1:])

    def _none(self) -> None:
        pass

    def _near(self, g: int, n: int, seq: int) -> None:
        self.reps[g].near(n=n, seq=seq)

    def _copied(self, g: int, tag: str) -> None:
        camp = self.reps[g].camp
        if camp is not None:
            camp.copied(tag=tag, far=False)

    def _sendeff(self, uid: str, kind: int, body: dict[str, Any]) -> None:
        self.send(uid=uid, kind=Kind(kind), body=body)

    def _reply(self, uid: str, rid: int, status: int, doc: Any) -> None:
        self.reply(uid=uid, rid=rid, status=status, doc=doc)

    def _news(self, doc: dict[str, Any]) -> None:
        self.take_news(doc=doc)

    def _owned(self, mid: str) -> None:
        if self.chief is not None:
            self.chief.owned(mid=mid)

    def _selfown(self, doc: dict[str, Any]) -> None:
        self._heartok(uid=self.uid, m=doc)

    def _owned_all(self) -> None:
        self.hearted = -9.0

    def _stops(self, g: int, rows: list[Any]) -> None:
        if g in self.placers:
            self.placers[g].stops(rows)

    def _orders(self, g: int, rows: list[Any]) -> None:
        if g in self.placers and self.reps[g].serving():
            self.placers[g].orders(rows)

    def _endsok(self, g: int, uid: str, mid: str, fence: int, rows: list[Any]) -> None:
        self.send(uid=uid, kind=Kind.ENDSOK, body={"g": g, "m": mid, "f": fence, "x": rows})

    def _giveback(self, g: int, uid: str, mid: str, lid: int) -> None:
        self.send(uid=uid, kind=Kind.RETURN, body={"g": g, "x": [[mid, lid]]})

    # -- inputs

    def http(self, *, call: Any, req: Request) -> None:
        """A call of a minion or the operator."""
        dispatch(node=self, call=call, req=req)
        self._flush()

    def done(self, *, effs: list[tuple[Any, ...]]) -> None:
        """Records are synced."""
        for eff in effs:
            self.effect(eff=eff)
        self._flush()

    def _flush(self) -> None:
        for rep in self.reps.values():
            rep.flush()

    def heart(self) -> dict[str, Any]:
        """A core's heart tells what its agent owns."""
        return {**super().heart(), "own": [[m.mid, m.fence] for m in self.agent.minions.values()]}

    def on(self, *, uid: str, kind: Kind, body: bytes) -> None:
        """One frame from `uid`."""
        m = self.load(body=body)
        if kind in REC:
            self.reps[m["g"]].on(uid=uid, kind=kind, m=m)
        elif kind is Kind.HEART:
            self._heart(b=m)
        elif kind is Kind.HEARTOK:
            self._heartok(uid=uid, m=m)
        elif kind is Kind.NEWS:
            self.take_news(doc=m)
        elif kind is Kind.CALL:
            self._call(uid=m.get("for") or uid, m=m)
        elif kind is Kind.REPLY:
            self.calls.reply(m=m)
        elif kind is Kind.ROOM:
            self.agent.views[m["u"]] = (self.now, m["v"])
            for p in self.placers.values():
                p.pool.views[m["u"]] = (self.now, m["v"])
                p.dirty = True
        else:
            self._jobs(uid=uid, kind=kind, m=m)
        self._flush()

    def _call(self, *, uid: str, m: dict[str, Any]) -> None:
        g, rid, op, b = m["g"], m["rid"], m["op"], m["b"]
        if g < 0:
            self._handed(uid=uid, rid=rid, op=op, b=b)
        elif not self.reps[g].serving():
            self.reply(uid=uid, rid=rid, status=NOT_PRIMARY, doc=[[k, e] for k, e in self.eps.items()])
        elif g == 0:
            self._serve0(uid=uid, rid=rid, op=op, b=b)
        else:
            self.placers[g].call(uid=uid, rid=rid, op=op, b=b)

    def _jobs(self, *, uid: str, kind: Kind, m: dict[str, Any]) -> None:
        if kind is Kind.ATTACH:
            self.agent.attach(uid=uid, b=m)
        elif kind is Kind.LEASE:
            self.agent.lease(uid=uid, b=m)
        elif kind is Kind.RETURN:
            self.agent.giveback(b=m)
        elif kind is Kind.ORDER:
            self.agent.order(uid=uid, b=m)
        elif kind is Kind.STOP:
            self.agent.stop(b=m)
        elif kind is Kind.ENDSOK:
            self.agent.endsok(body=m)
        elif kind is Kind.LOSTOK:
            self.agent.lostok(b=m)
        elif m["g"] in self.placers and self.reps[m["g"]].serving():
            p = self.placers[m["g"]]
            if kind is Kind.CLAIM:
                p.claim(uid=uid, b=m)
            elif kind is Kind.ENDS:
                p.ends(uid=uid, b=m)
            elif kind is Kind.GRANT:
                p.grant(uid=uid, b=m)
            elif kind is Kind.LOST:
                p.lost(uid=uid, b=m)
            elif kind is Kind.NAK and m["n"] == self.reps[m["g"]].base:
                p.void(rows=m["x"])
            elif kind is Kind.VERDICT and m["n"] == self.reps[m["g"]].base:
                p.void(rows=[[m["m"], m["seq"], t, r] for t, r in m["x"]])

    def _heart(self, *, b: dict[str, Any]) -> None:
        self.hear(b=b)
        body: dict[str, Any] = {"t": b["t"]}
        news = self.newer(have=b["have"])
        if news:
            body["news"] = news
        if self.chief is not None and self.reps[0].serving():
            body.update(self.chief.heart(b=b))
            body["up"] = [u for u in self.members if self.alive(uid=u)]
            if body.get("own") or body.get("dis"):
                self.reps[0].barrier(then=("send", b["u"], int(Kind.HEARTOK), body))
                return
        self.send(uid=b["u"], kind=Kind.HEARTOK, body=body)

    def _heartok(self, *, uid: str, m: dict[str, Any]) -> None:
        if "t" in m:
            self.contact = self.now
            if m.get("lease"):
                self.lease = max(self.lease, m["t"] + LEASE_S)
        for u in m.get("up", []):
            self.roster[u] = self.now
        if "news" in m:
            self.take_news(doc=m["news"])
        for mid, fence, info in m.get("own", []):
            self.agent.own(mid=mid, fence=fence, info=info)
        for mid in m.get("dis", []):
            self.agent.disown(mid=mid)

    def gap(self, *, uid: str) -> None:
        """Frames from a node were lost."""
        self.agent.gap(uid=uid)
        for g, p in self.placers.items():
            if self.reps[g].serving():
                p.gap(uid=uid)

    def tick(self) -> None:
        """About twenty times a second."""
        if self.now - self.ticked > THAW_S:
            self.note(event="stood-still", s=round(self.now - self.ticked, 2))
            for rep in self.reps.values():
                rep.thawed()
        self.ticked = self.now
        self.beat_hearts()
        if self.chief is not None and self.reps[0].serving():
            own = self.chief.heart(b=self.heart())
            if own["own"] or own["dis"]:
                self.reps[0].barrier(then=("selfown", {k: own[k] for k in ("own", "dis")}))
            self.chief.tick()
        self.calls.tick()
        for rep in self.reps.values():
            rep.tick()
        self.agent.tick()
        for g, p in list(self.placers.items()):
            if self.reps[g].serving():
                p.tick()
        self._flush()

    def leave(self) -> None:
        """The process is to end: hand the groups served here to their backups."""
        for rep in self.reps.values():
            rep.hand_over()

    # -- disk

    def restore(self, *, recs: list[bytes]) -> None:
        """Replay the journal."""
        for raw in recs:
            rec = self.load(body=raw)
            if "g" in rec and rec["g"] in self.reps and rec["k"] != "none":
                self.reps[rec["g"]].restore(rec)
        for g, rep in self.reps.items():
            rep.settle()
            if rep.epoch is not None:
                NodeBase.learn(self, eps=[[g, rep.epoch]])

    def checkpoint(self) -> list[bytes]:
        """Records that stand for all that this node keeps."""
        out = [dump(body={"k": "id", "uid": self.uid})]
        for rep in self.reps.values():
            out += [dump(body=rec) for rec in rep.checkpoint()]
        return out

    def describe(self) -> dict[str, Any]:
        """A summary for the operator."""
        return {"uid": self.uid, "site": self.startup.site, "config": self.table.stamp if self.table else 0,
                "evacuated": sorted(self.evac), "members": self.members,
                "groups": {str(g): {"role": r.role.value, "epoch": r.epoch, "serving": r.serving()}
                           for g, r in self.reps.items()},
                "minions": {m.mid: {"phase": m.phase.value, "free": m.free(), "runs": len(m.runs)}
                            for m in self.agent.minions.values()},
                "backlog": {str(g): len(p.ready) for g, p in self.placers.items()}}
