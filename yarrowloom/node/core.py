"""The core node: witness, records, chief, agent and placing node in one process; all state machines, no sockets."""

from collections.abc import Callable
from typing import Any

from ..agent.messages import AGENT_MESSAGES, CapacitySummary
from ..cluster_state.minion_ownership import ownership_digest
from ..common.defaults import Defaults
from ..common.effects import AnyEffect, Effect, NoEffect
from ..common.log import Log
from ..common.records import decode
from ..common.settings import NodeSettings
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
from .input_scheduler import Input, InputClass
from .node_base import NodeBase

NODE_RECORDS = frozenset({"id", "none"})  # the kinds of records that are of no group
THAW_S = 0.3
OVERLOADED = {"error": "too busy to take it in time"}


class CoreNode(CoreEnvironment):
    """Inputs and effects. Invariant: effects leave in the order of their events."""

    def __init__(
        self,
        *,
        settings: NodeSettings,
        node_id: str,
        incarnation: int,
        log: Log,
        first: bool,
        now: float,
        rand: float = 0.5,
        defaults: Defaults | None = None,
    ) -> None:
        super().__init__(
            settings=settings,
            node_id=node_id,
            incarnation=incarnation,
            log=log,
            first=first,
            now=now,
            rand=rand,
            defaults=defaults,
        )
        self.hand = InHand()
        self.relays = EdgeRelays()
        self._effect_handlers: dict[type[Effect], Callable[[Any], None]] = {
            NoEffect: lambda _effect: None,
        }
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

    def effect(self, *, effect: AnyEffect) -> None:
        """Carry out an effect whose event is durable."""
        if isinstance(effect, Effect):
            self._effect_handlers[type(effect)](effect)
        else:
            self._effects[effect[0]](*effect[1:])

    def _none(self) -> None:
        pass

    def _near(self, group_id: int, n: int, last: int) -> None:
        self.replicas[group_id].batch_synced(epoch_number=n, last_event=last)

    def _copied(self, group_id: int, tag: str) -> None:
        election = self.replicas[group_id].election
        if election is not None:
            election.copied(tag=tag, node_id="")

    def _sendeff(self, node_id: str, kind: int, body: dict[str, Any]) -> None:
        self.send(node_id=node_id, kind=Kind(kind), body=body)

    def _reply(self, node_id: str, request_id: int, status: int, document: Any) -> None:
        self.reply(node_id=node_id, request_id=request_id, status=status, document=document)

    def _news(self, document: dict[str, Any]) -> None:
        self.take_news(document=document)

    def _owned(self, minion_ids: list[str]) -> None:
        if self.chief is not None:
            self.chief.owned(minion_ids=minion_ids)

    def _selfown(self, document: dict[str, Any]) -> None:
        self._heartok(node_id=self.node_id, m=document)

    def _stops(self, group_id: int, rows: list[Any]) -> None:
        if group_id in self.placers:
            self.placers[group_id].stops(rows)

    def _orders(self, group_id: int, rows: list[Any]) -> None:
        if group_id in self.placers and self.replicas[group_id].is_serving():
            self.placers[group_id].orders(rows)

    def _endsok(self, group_id: int, node_id: str, minion_id: str, fence: int, rows: list[Any]) -> None:
        self.send(node_id=node_id, kind=Kind.TASK_ENDS_ACK, body={"g": group_id, "m": minion_id, "f": fence, "x": rows})

    # -- inputs

    def http(self, *, call: Any, req: Request) -> None:
        """A call of a minion or the operator."""
        dispatch(node=self, call=call, req=req)
        self._flush()

    def done(self, *, effects: list[AnyEffect]) -> None:
        """Records are synced."""
        for effect in effects:
            self.effect(effect=effect)
        self._flush()

    def _flush(self) -> None:
        for replica in self.replicas.values():
            replica.flush()

    def heart(self) -> dict[str, Any]:
        """A core's heart tells what its agent owns: a digest, and all of it if the chief asked."""
        own = [(m.minion_id, m.fence) for m in self.agent.minions.values()]
        body = {**super().heart(), "dig": ownership_digest(fences=own), "echo": self.echo}
        if self.listing:
            body["own"] = own
        return body

    def on(self, *, node_id: str, kind: Kind, m: Any) -> None:
        """One message from `uid`, parsed; it is the node's from now on."""
        if kind in RECORD_KINDS:
            self.replicas[m["g"]].on(node_id=node_id, kind=kind, m=m)
        elif kind is Kind.HEARTBEAT:
            self._heart(b=m)
        elif kind is Kind.HEARTBEAT_ACK:
            self._heartok(node_id=node_id, m=m)
        elif kind is Kind.CLUSTER_UPDATE:
            self.take_news(document=m)
        elif kind is Kind.CALL:
            self._call(node_id=node_id, m=m)
        elif kind is Kind.REPLY:
            self.calls.reply(node_id=node_id, m=m)
        elif kind is Kind.CAPACITY_REPORT:
            self._room(m=m)
        else:
            self._jobs(node_id=node_id, kind=kind, m=m)
        self._flush()

    def _room(self, *, m: dict[str, Any]) -> None:
        if "v" in m:
            self.agent.on_capacity_summary(decode(m, into=CapacitySummary))
        elif m["g"] in self.placers:
            placer = self.placers[m["g"]]
            placer.room.report(node_id=m["u"], rows=m["x"], shut=m["shut"], now=self.now)
            placer.pump()

    def _call(self, *, node_id: str, m: dict[str, Any]) -> None:
        group_id, request_id, op, b = m["g"], m["rid"], m["op"], m["b"]
        refusal = self.hand.refusal(node_id=node_id, request_id=request_id)
        if refusal is not None:
            super().reply(node_id=node_id, request_id=request_id, status=refusal.status, document=refusal.document)
            return
        if not self.hand.take(node_id=node_id, request_id=request_id, group_id=group_id, now=self.now):
            return
        if (
            group_id < 0 and m["to"] != self.node_id
        ):  # for the agent of a node that is no more; groups know who serves them
            self.reply(node_id=node_id, request_id=request_id, status=503, document={})
        elif group_id < 0:
            self._handed(node_id=node_id, request_id=request_id, op=op, b=b)
        elif not self.replicas[group_id].is_serving():
            self.reply(
                node_id=node_id,
                request_id=request_id,
                status=NOT_PRIMARY,
                document=[[k, e] for k, e in self.epochs.items()],
            )
        elif group_id == 0:
            self._serve0(node_id=node_id, request_id=request_id, op=op, b=b)
        else:
            self.placers[group_id].call(node_id=node_id, request_id=request_id, op=op, b=b)

    def too_late(self, *, node_id: str, m: dict[str, Any]) -> None:
        """A call about jobs waited until its caller is about to give up: it is not taken and never will be, unless a
        copy of it was, whose answer may have got lost. Told so, the caller may try again; told nothing, it could not
        know.
        """
        request_id = m["rid"]
        if self.hand.holds(node_id=node_id, request_id=request_id):
            return
        if m["op"] == "put" and m["b"]["id"] in self.jobs[m["g"]].jobs:
            self._call(node_id=node_id, m=m)
            return
        self.hand.refuse(node_id=node_id, request_id=request_id, status=503, document=OVERLOADED, now=self.now)
        super().reply(node_id=node_id, request_id=request_id, status=503, document=OVERLOADED)

    def reply(self, *, node_id: str, request_id: int, status: int, document: Any) -> None:
        """Answer a call of another node."""
        group_id = self.hand.drop(node_id=node_id, request_id=request_id)
        if group_id > 0 and status in REFUSALS:
            self.hand.refuse(node_id=node_id, request_id=request_id, status=status, document=document, now=self.now)
        super().reply(node_id=node_id, request_id=request_id, status=status, document=document)

    def deposed(self, *, group_id: int) -> None:
        """Calls in hand are not answered here any more: their callers look for the next primary at once."""
        super().deposed(group_id=group_id)
        for node_id, request_id in self.hand.leave(group_id=group_id):
            self.reply(
                node_id=node_id,
                request_id=request_id,
                status=NOT_PRIMARY,
                document=[[k, e] for k, e in self.epochs.items()],
            )

    def _jobs(self, *, node_id: str, kind: Kind, m: dict[str, Any]) -> None:
        if kind in AGENT_MESSAGES:
            self.agent.on_message(node_id=node_id, message=decode(m, into=AGENT_MESSAGES[kind]))
        elif m["g"] in self.placers and self.replicas[m["g"]].is_serving():
            p = self.placers[m["g"]]
            if kind is Kind.CLAIM_MINIONS:
                p.claim(node_id=node_id, b=m)
            elif kind is Kind.TASK_ENDS:
                p.ends(node_id=node_id, b=m)
            elif kind is Kind.LEASE_GRANT:
                p.grant(node_id=node_id, b=m)
            elif kind is Kind.MINION_LOST:
                p.lost(node_id=node_id, b=m)
            elif kind is Kind.ORDERS_REJECTED and m["n"] == self.replicas[m["g"]].state_epoch:
                p.void(rows=m["x"])
            elif kind is Kind.ATTACHMENT_VERDICT and m["n"] == self.replicas[m["g"]].state_epoch:
                p.void(rows=[[m["m"], m["seq"], t, r] for t, r in m["x"]])

    def _heart(self, *, b: dict[str, Any]) -> None:
        self.hear(b=b)
        body = self.answer(b=b)
        if b["kind"] == "edge":
            via = self.relays.for_edge(
                node_id=b["u"], now=self.now, nodes=self.info, alive=lambda node_id: self.alive(node_id=node_id)
            )
            if via:
                body["via"] = via
        if self.chief is not None and self.replicas[0].is_serving():
            body.update(self.chief.heart(b=b), at=self.now)
            body["up"] = [u for u in self.members if self.alive(node_id=u)]
            if body.get("own") or body.get("dis"):
                self.replicas[0].barrier(then=("send", b["u"], int(Kind.HEARTBEAT_ACK), body))
                return
        self.send(node_id=b["u"], kind=Kind.HEARTBEAT_ACK, body=body)

    def _heartok(self, *, node_id: str, m: dict[str, Any]) -> None:
        if "t" in m:
            self.contact = self.now
        for u in m.get("up", []):
            self.roster[u] = self.now
        if "news" in m:
            self.take_news(document=m["news"])
        if "t" in m:
            self.told(node_id=node_id, m=m)
            if "at" in m:
                self.echo = [m.get("by"), m["at"]]
            if (
                m.get("lease") and m.get("mods", -1) <= self.registry_version
            ):  # with all evacuations that the primary knew of
                self.lease = max(self.lease, m["t"] + LEASE_S)
        for minion_id, fence, info in m.get("own", []):
            self.agent.add_minion(
                minion_id=minion_id,
                fence=fence,
                service=info.get("svc", ""),
                zone=info.get("site", ""),
                labels=info.get("labels", []),
            )
        for minion_id in m.get("dis", []):
            self.agent.remove_minion(minion_id=minion_id)
        if m.get("list") or m.get("shed"):
            self.let_go(minion_ids=m.get("shed", []))
            self.listing, self.hearted = True, -9.0

    def gap(self, *, node_id: str) -> None:
        """Frames from a node were lost."""
        self.gap_agent(node_id=node_id)
        self.gap_place(node_id=node_id)

    def gap_agent(self, *, node_id: str) -> None:
        """Perhaps what a placing node wanted, or answers."""
        self.calls.lost(node_id=node_id)
        self.lost_from(node_id=node_id)
        self.agent.on_lost_messages(node_id=node_id)

    def gap_place(self, *, node_id: str) -> None:
        """Perhaps what an agent told."""
        for group_id, p in self.placers.items():
            if self.replicas[group_id].is_serving():
                p.gap(node_id=node_id)

    def tick(self) -> None:
        """About twenty times a second: all that goes by time."""
        self.pulse()
        self.agent_chores()
        self.place_chores()

    def chores(self) -> dict[InputClass, Input]:
        """What goes by time besides the pulse, by class."""
        return {InputClass.AGENT: self.agent_chores, InputClass.SCHEDULING: self.place_chores}

    def agent_chores(self) -> None:
        """Beats that are held, what is to be told again, minions that fell silent."""
        self.agent.tick()
        self._flush()

    def place_chores(self) -> None:
        """Placing: may take long, so a busy process does it less often."""
        for group_id, p in list(self.placers.items()):
            if self.replicas[group_id].is_serving():
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
        if self.chief is not None and self.replicas[0].is_serving():
            if self.hearted == self.now:
                self._self_heart()
            self.chief.tick()
        if self.hearted == self.now:
            self.listing = False
        self.calls.tick()
        self.hand.sweep(now=self.now)
        for replica in self.replicas.values():
            replica.tick()
        self._flush()

    def _thawed(self, *, slept: float) -> None:
        """The process stood still: what others may have said meanwhile is not silence of theirs."""
        for replica in self.replicas.values():
            replica.process_resumed()
        chief = (self.chief.last, self.chief.echoed) if self.chief is not None else ()
        for at in (self.heard, self.roster, *chief):
            for node_id, when in at.items():
                at[node_id] = min(when + slept, self.now)

    def _self_heart(self) -> None:
        """The chief's word to the agent of its own node."""
        assert self.chief is not None
        own = self.chief.heart(b=self.heart())
        if "own" not in own:
            self._heartok(node_id=self.node_id, m=own)
        elif own["own"] or own["dis"]:
            self.replicas[0].barrier(then=("selfown", {k: own[k] for k in ("own", "dis")}))

    def leave(self) -> None:
        """The process is to end: hand what it holds to others, and the groups served here to their backups."""
        for replica in self.replicas.values():
            replica.begin_handover()

    def may_end(self) -> bool:
        """Others hold all that this process holds, as far as there are others."""
        return all(
            may_end(environment=self, epoch=replica.epoch, leaving_s=replica.handover.leaving_s())
            for replica in self.replicas.values()
        )

    def only_copies(self) -> list[int]:
        """Groups of which this node knows no other live holder."""
        return [
            group_id
            for group_id, replica in self.replicas.items()
            if not copied_elsewhere(environment=self, epoch=replica.epoch)
        ]

    # -- disk

    def restore(self, *, records: list[bytes]) -> None:
        """Replay the journal from a whole snapshot on. Where that raises, the node is of no use any more."""
        for number, raw in enumerate(records):
            try:
                self._replay(record=self.load(body=raw))
            except Exception as err:  # a reducer may raise anything
                raise ReplayError(text=f"{type(err).__name__}: {err}", number=number) from err
        for group_id, replica in self.replicas.items():
            replica.finish_restore()
            if replica.epoch is not None:
                NodeBase.learn(self, epochs=[(group_id, replica.epoch)])

    def _replay(self, *, record: dict[str, Any]) -> None:
        if record["k"] not in NODE_RECORDS:
            self.replicas[record["g"]].restore(record)

    def checkpoint(self) -> list[bytes]:
        """Records that stand for all that this node keeps."""
        out = [dump(body={"k": "id", "uid": self.node_id, "inc": self.incarnation})]
        for replica in self.replicas.values():
            out += [dump(body=record) for record in replica.snapshot_records()]
        return out
