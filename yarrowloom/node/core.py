"""The core node: witness, records, chief, agent and placing node in one process; all state machines, no sockets."""

from collections.abc import Callable
from typing import Any

from ..cluster_state.minion_ownership import total
from ..common.defaults import Defaults
from ..common.log import Log
from ..common.settings import Startup
from ..replication.handover import copied_elsewhere, may_end
from ..replication.log_replay import ReplayError
from ..replication.messages import RECORD_KINDS
from ..transport.envelope import Kind, dump
from ..transport.http_server import Request
from .controller import LEASE_S
from .core_environment import CoreEnvironment
from .edge_relays import EdgeRelays
from .group_calls import NOT_PRIMARY, REFUSALS, InHand
from .http_routes import dispatch
from .input_scheduler import Input, Rank
from .node_base import NodeBase

NODE_RECORDS = frozenset({"id", "none"})  # the kinds of records that are of no group
THAW_S = 0.3
OVERLOADED = {"error": "too busy to take it in time"}


class CoreNode(CoreEnvironment):
    """Inputs and effects. Invariant: effects leave in the order of their events."""

    def __init__(
        self,
        *,
        startup: Startup,
        uid: str,
        incarnation: int,
        log: Log,
        first: bool,
        now: float,
        rand: float = 0.5,
        defaults: Defaults | None = None,
    ) -> None:
        super().__init__(
            startup=startup,
            uid=uid,
            incarnation=incarnation,
            log=log,
            first=first,
            now=now,
            rand=rand,
            defaults=defaults,
        )
        self.hand = InHand()
        self.relays = EdgeRelays()
        self._effects: dict[str, Callable[..., None]] = {
            "near": self._near,
            "copied": self._copied,
            "send": self._sendeff,
            "none": self._none,
            "reply": self._reply,
            "news": self._news,
            "owned": self._owned,
            "stops": self._stops,
            "orders": self._orders,
            "endsok": self._endsok,
            "selfown": self._selfown,
        }

    # -- effects

    def effect(self, *, effect: tuple[Any, ...]) -> None:
        """Carry out an effect that is now durable."""
        self._effects[effect[0]](*effect[1:])

    def _none(self) -> None:
        pass

    def _near(self, group_id: int, n: int, last: int) -> None:
        self.reps[group_id].near(n=n, last=last)

    def _copied(self, group_id: int, tag: str) -> None:
        camp = self.reps[group_id].camp
        if camp is not None:
            camp.copied(tag=tag, uid="")

    def _sendeff(self, uid: str, kind: int, body: dict[str, Any]) -> None:
        self.send(uid=uid, kind=Kind(kind), body=body)

    def _reply(self, uid: str, request_id: int, status: int, doc: Any) -> None:
        self.reply(uid=uid, request_id=request_id, status=status, doc=doc)

    def _news(self, doc: dict[str, Any]) -> None:
        self.take_news(doc=doc)

    def _owned(self, minion_ids: list[str]) -> None:
        if self.chief is not None:
            self.chief.owned(minion_ids=minion_ids)

    def _selfown(self, doc: dict[str, Any]) -> None:
        self._heartok(uid=self.uid, m=doc)

    def _stops(self, group_id: int, rows: list[Any]) -> None:
        if group_id in self.placers:
            self.placers[group_id].stops(rows)

    def _orders(self, group_id: int, rows: list[Any]) -> None:
        if group_id in self.placers and self.reps[group_id].serving():
            self.placers[group_id].orders(rows)

    def _endsok(self, group_id: int, uid: str, minion_id: str, fence: int, rows: list[Any]) -> None:
        self.send(uid=uid, kind=Kind.ENDSOK, body={"g": group_id, "m": minion_id, "f": fence, "x": rows})

    # -- inputs

    def http(self, *, call: Any, req: Request) -> None:
        """A call of a minion or the operator."""
        dispatch(node=self, call=call, req=req)
        self._flush()

    def done(self, *, effects: list[tuple[Any, ...]]) -> None:
        """Records are synced."""
        for effect in effects:
            self.effect(effect=effect)
        self._flush()

    def _flush(self) -> None:
        for rep in self.reps.values():
            rep.flush()

    def heart(self) -> dict[str, Any]:
        """A core's heart tells what its agent owns: a digest, and all of it if the chief asked."""
        own = [(m.minion_id, m.fence) for m in self.agent.minions.values()]
        body = {**super().heart(), "dig": total(rows=own), "echo": self.echo}
        if self.listing:
            body["own"] = own
        return body

    def on(self, *, uid: str, kind: Kind, m: Any) -> None:
        """One message from `uid`, parsed; it is the node's from now on."""
        if kind in RECORD_KINDS:
            self.reps[m["g"]].on(uid=uid, kind=kind, m=m)
        elif kind is Kind.HEART:
            self._heart(b=m)
        elif kind is Kind.HEARTOK:
            self._heartok(uid=uid, m=m)
        elif kind is Kind.NEWS:
            self.take_news(doc=m)
        elif kind is Kind.CALL:
            self._call(uid=uid, m=m)
        elif kind is Kind.REPLY:
            self.calls.reply(uid=uid, m=m)
        elif kind is Kind.ROOM:
            self._room(m=m)
        else:
            self._jobs(uid=uid, kind=kind, m=m)
        self._flush()

    def _room(self, *, m: dict[str, Any]) -> None:
        if "v" in m:
            self.agent.share.views[m["u"]] = (self.now, m["v"])
        elif m["g"] in self.placers:
            placer = self.placers[m["g"]]
            placer.room.report(uid=m["u"], rows=m["x"], shut=m["shut"], now=self.now)
            placer.pump()

    def _call(self, *, uid: str, m: dict[str, Any]) -> None:
        group_id, request_id, op, b = m["g"], m["rid"], m["op"], m["b"]
        refusal = self.hand.refusal(uid=uid, request_id=request_id)
        if refusal is not None:
            super().reply(uid=uid, request_id=request_id, status=refusal.status, doc=refusal.doc)
            return
        if not self.hand.take(uid=uid, request_id=request_id, group_id=group_id, now=self.now):
            return
        if group_id < 0 and m["to"] != self.uid:  # for the agent of a node that is no more; groups know who serves them
            self.reply(uid=uid, request_id=request_id, status=503, doc={})
        elif group_id < 0:
            self._handed(uid=uid, request_id=request_id, op=op, b=b)
        elif not self.reps[group_id].serving():
            self.reply(uid=uid, request_id=request_id, status=NOT_PRIMARY, doc=[[k, e] for k, e in self.eps.items()])
        elif group_id == 0:
            self._serve0(uid=uid, request_id=request_id, op=op, b=b)
        else:
            self.placers[group_id].call(uid=uid, request_id=request_id, op=op, b=b)

    def too_late(self, *, uid: str, m: dict[str, Any]) -> None:
        """A call about jobs waited until its caller is about to give up: it is not taken and never will be, unless a
        copy of it was, whose answer may have got lost. Told so, the caller may try again; told nothing, it could not
        know."""
        request_id = m["rid"]
        if self.hand.holds(uid=uid, request_id=request_id):
            return
        if m["op"] == "put" and m["b"]["id"] in self.jobs[m["g"]].jobs:
            self._call(uid=uid, m=m)
            return
        self.hand.refuse(uid=uid, request_id=request_id, status=503, doc=OVERLOADED, now=self.now)
        super().reply(uid=uid, request_id=request_id, status=503, doc=OVERLOADED)

    def reply(self, *, uid: str, request_id: int, status: int, doc: Any) -> None:
        """Answer a call of another node."""
        group_id = self.hand.drop(uid=uid, request_id=request_id)
        if group_id > 0 and status in REFUSALS:
            self.hand.refuse(uid=uid, request_id=request_id, status=status, doc=doc, now=self.now)
        super().reply(uid=uid, request_id=request_id, status=status, doc=doc)

    def deposed(self, *, group_id: int) -> None:
        """Calls in hand are not answered here any more: their callers look for the next primary at once."""
        super().deposed(group_id=group_id)
        for uid, request_id in self.hand.leave(group_id=group_id):
            self.reply(uid=uid, request_id=request_id, status=NOT_PRIMARY, doc=[[k, e] for k, e in self.eps.items()])

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
        elif kind is Kind.ROOMGET:
            self.agent.share.roomget(uid=uid, group_id=m["g"])
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
        body = self.answer(b=b)
        if b["kind"] == "edge":
            via = self.relays.for_edge(uid=b["u"], now=self.now, nodes=self.info, alive=lambda uid: self.alive(uid=uid))
            if via:
                body["via"] = via
        if self.chief is not None and self.reps[0].serving():
            body.update(self.chief.heart(b=b), at=self.now)
            body["up"] = [u for u in self.members if self.alive(uid=u)]
            if body.get("own") or body.get("dis"):
                self.reps[0].barrier(then=("send", b["u"], int(Kind.HEARTOK), body))
                return
        self.send(uid=b["u"], kind=Kind.HEARTOK, body=body)

    def _heartok(self, *, uid: str, m: dict[str, Any]) -> None:
        if "t" in m:
            self.contact = self.now
        for u in m.get("up", []):
            self.roster[u] = self.now
        if "news" in m:
            self.take_news(doc=m["news"])
        if "t" in m:
            self.told(uid=uid, m=m)
            if "at" in m:
                self.echo = [m.get("by"), m["at"]]
            if m.get("lease") and m.get("mods", -1) <= self.mods:  # with all evacuations that the primary knew of
                self.lease = max(self.lease, m["t"] + LEASE_S)
        for minion_id, fence, info in m.get("own", []):
            self.agent.own(minion_id=minion_id, fence=fence, info=info)
        for minion_id in m.get("dis", []):
            self.agent.disown(minion_id=minion_id)
        if m.get("list") or m.get("shed"):
            self.let_go(minion_ids=m.get("shed", []))
            self.listing, self.hearted = True, -9.0

    def gap(self, *, uid: str) -> None:
        """Frames from a node were lost."""
        self.gap_agent(uid=uid)
        self.gap_place(uid=uid)

    def gap_agent(self, *, uid: str) -> None:
        """Perhaps what a placing node wanted, or answers."""
        self.calls.lost(uid=uid)
        self.lost_from(uid=uid)
        self.agent.gap(uid=uid)

    def gap_place(self, *, uid: str) -> None:
        """Perhaps what an agent told."""
        for group_id, p in self.placers.items():
            if self.reps[group_id].serving():
                p.gap(uid=uid)

    def tick(self) -> None:
        """About twenty times a second: all that goes by time."""
        self.pulse()
        self.agent_chores()
        self.place_chores()

    def chores(self) -> dict[Rank, Input]:
        """What goes by time besides the pulse, by class."""
        return {Rank.AGENT: self.agent_chores, Rank.PLACE: self.place_chores}

    def agent_chores(self) -> None:
        """Beats that are held, what is to be told again, minions that fell silent."""
        self.agent.tick()
        self._flush()

    def place_chores(self) -> None:
        """Placing: may take long, so a busy process does it less often."""
        for group_id, p in list(self.placers.items()):
            if self.reps[group_id].serving():
                p.tick()
        self._flush()

    def pulse(self) -> None:
        """Hearts, promises, ballots, calls: cheap, and in time also in a busy process."""
        if self.now - self.ticked > THAW_S:
            self.note(event="stood-still", s=round(self.now - self.ticked, 2))
            self._thawed(slept=self.now - self.ticked)
        self.ticked = self.now
        self.prove_own()
        self.beat_hearts()
        if self.chief is not None and self.reps[0].serving():
            if self.hearted == self.now:
                self._self_heart()
            self.chief.tick()
        if self.hearted == self.now:
            self.listing = False
        self.calls.tick()
        self.hand.sweep(now=self.now)
        for rep in self.reps.values():
            rep.tick()
        self._flush()

    def _thawed(self, *, slept: float) -> None:
        """The process stood still: what others may have said meanwhile is not silence of theirs."""
        for rep in self.reps.values():
            rep.thawed()
        chief = (self.chief.last, self.chief.echoed) if self.chief is not None else ()
        for at in (self.heard, self.roster, *chief):
            for uid, when in at.items():
                at[uid] = min(when + slept, self.now)

    def _self_heart(self) -> None:
        """The chief's word to the agent of its own node."""
        assert self.chief is not None
        own = self.chief.heart(b=self.heart())
        if "own" not in own:
            self._heartok(uid=self.uid, m=own)
        elif own["own"] or own["dis"]:
            self.reps[0].barrier(then=("selfown", {k: own[k] for k in ("own", "dis")}))

    def leave(self) -> None:
        """The process is to end: hand what it holds to others, and the groups served here to their backups."""
        for rep in self.reps.values():
            rep.hand_over()

    def may_end(self) -> bool:
        """Others hold all that this process holds, as far as there are others."""
        return all(
            may_end(environment=self, epoch=rep.epoch, asked_s=rep.relief.asked_s()) for rep in self.reps.values()
        )

    def only_copies(self) -> list[int]:
        """Groups of which this node knows no other live holder."""
        return [
            group_id for group_id, rep in self.reps.items() if not copied_elsewhere(environment=self, epoch=rep.epoch)
        ]

    # -- disk

    def restore(self, *, recs: list[bytes]) -> None:
        """Replay the journal from a whole snapshot on. Where that raises, the node is of no use any more."""
        for number, raw in enumerate(recs):
            try:
                self._replay(rec=self.load(body=raw))
            except Exception as err:  # a reducer may raise anything
                raise ReplayError(text=f"{type(err).__name__}: {err}", number=number) from err
        for group_id, rep in self.reps.items():
            rep.settle()
            if rep.epoch is not None:
                NodeBase.learn(self, eps=[[group_id, rep.epoch]])

    def _replay(self, *, rec: dict[str, Any]) -> None:
        if rec["k"] not in NODE_RECORDS:
            self.reps[rec["g"]].restore(rec)

    def checkpoint(self) -> list[bytes]:
        """Records that stand for all that this node keeps."""
        out = [dump(body={"k": "id", "uid": self.uid, "inc": self.incarnation})]
        for rep in self.reps.values():
            out += [dump(body=rec) for rec in rep.checkpoint()]
        return out
