"""What a core node gives its state machines, and how beats and calls of group 0 go through it."""

from collections.abc import Sequence
from typing import Any

from ..agent import Agent, AgentTiming
from ..agent.heartbeat import parse_heartbeat
from ..cluster_state.registry import Registry
from ..cluster_state.registry_events import MinionRemoved, RegistryEvent
from ..common.defaults import SHIPPED, Defaults
from ..common.effects import AnyEffect
from ..common.errors import YarrowError
from ..common.log import Log
from ..common.records import MalformedRecordError
from ..common.settings import NodeSettings
from ..jobs.state_machine import Jobs
from ..prediction import History
from ..replication import Epoch, Replica
from ..scheduling import Placer
from ..transport.envelope import Kind, dump
from ..transport.http_server import Response
from .controller import Chief
from .group_calls import first_number
from .http_routes import BEAT_TTL, refusal
from .membership import MemberView
from .node_base import JOB_GROUPS

OWNER_S = 3.0


class CoreEnvironment(MemberView):
    """Invariants: a replica's effects leave in the order of their events; a placer lives exactly while its group is
    served here; the agent acts only while `trusted`.
    """

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
        super().__init__(settings=settings, node_id=node_id, incarnation=incarnation, log=log, now=now, rand=rand)
        self.registry = Registry()
        self.defaults = defaults or SHIPPED
        self.job_histories = {group_id: History() for group_id in self.groups()}
        keeps_history = self.defaults["learn"]["on"]
        self.jobs = {
            group_id: Jobs(history=history if keeps_history else None)
            for group_id, history in self.job_histories.items()
        }
        self.replicas: dict[int, Replica] = {}
        for group_id in range(JOB_GROUPS + 1):
            state = self.registry if group_id == 0 else self.jobs[group_id]
            first_epoch = self._genesis(group_id=group_id) if first else None
            if first_epoch is not None:
                self.epochs[group_id] = first_epoch
            self.replicas[group_id] = Replica(group_id=group_id, environment=self, state=state, epoch=first_epoch)
        self.placers: dict[int, Placer] = {}
        self.chief: Chief | None = None
        hold = min(settings.max_hold_ms, max(3.0 * settings.heartbeat_interval_ms, 4000.0))
        self.agent = Agent(
            environment=self,
            timing=AgentTiming(
                hold_ms=int(hold),
                stop_grace_ms=int(settings.stop_grace_ms),
                heartbeat_ms=settings.heartbeat_interval_ms,
                drain_ms=int(settings.drain_ms),
            ),
            first_lease_id=first_number(incarnation=incarnation) + 1,
        )
        self.lease = -9.0
        self.echo: list[Any] = []  # epoch and time of the last answer that came from group 0's primary
        self.listing = False  # the chief wants to be told all that the agent holds
        self.owner: dict[str, tuple[str, float]] = {}
        self.before: dict[int, str] = {}
        self.ticked = now

    # -- what the state machines ask

    def groups(self) -> range:
        """Job groups."""
        return range(1, JOB_GROUPS + 1)

    def _genesis(self, *, group_id: int) -> Epoch:
        seeds = [s.replace("#?", "#0") for s in self.seeds()]
        n = len(seeds)
        return Epoch(
            number=0,
            primary=seeds[group_id % n],
            backups=tuple(seeds[(group_id + i) % n] for i in range(1, min(self.settings.losses, n - 1) + 1)),
            witnesses=tuple(seeds),
            snapshot_id="",
        )

    def write(self, *, record: dict[str, Any], done: AnyEffect) -> None:
        """To disk."""
        self.out.writes.append((dump(body=record), done))

    def elected(self, *, group_id: int) -> None:
        """This node now serves the group."""
        e = self.replicas[group_id].epoch
        assert e is not None
        was = self.before.get(group_id, "")
        self.note(event="primary", group=group_id, epoch=e.number, backups=",".join(e.backups))
        self._spread(group_id=group_id)
        if group_id == 0:
            self.chief = Chief(node=self, late=was if was != self.node_id else "")
            self._publish()
        else:
            self.placers[group_id] = Placer(
                defaults=self.defaults,
                history=self.job_histories[group_id],
                group_id=group_id,
                environment=self,
                replica=self.replicas[group_id],
                jobs=self.jobs[group_id],
                far=self.settings.spread_factor,
                status_s=self.settings.job_status_s,
            )

    def deposed(self, *, group_id: int) -> None:
        """It no longer does."""
        self.placers.pop(group_id, None)
        if group_id == 0:
            self.chief = None

    def _spread(self, *, group_id: int) -> None:
        e = self.replicas[group_id].epoch
        for node_id in self.cores():
            if node_id != self.node_id:
                self.send(node_id=node_id, kind=Kind.CLUSTER_UPDATE, body={"eps": [[group_id, e]]})

    def trusted(self) -> bool:
        """The agent may act: group 0's primary gave its word lately, or is this node."""
        return self.now < self.lease or (self.chief is not None and self.replicas[0].is_serving())

    def prove_own(self) -> None:
        """While this node serves group 0, it is itself the proof."""
        epoch = self.replicas[0].epoch
        if self.chief is not None and epoch is not None and self.replicas[0].is_serving():
            self.freshness.prove(at=self.now, epoch=epoch.number)

    def proof(self) -> dict[str, Any]:
        """What an answer tells of how new the configuration here is."""
        self.prove_own()
        return super().proof()

    def let_go(self, *, minion_ids: list[str]) -> None:
        """The chief wants these given to others. Let go of are those in good order, with none on its way out: the
        next agent would have to find out anew that a minion is silent or about to leave.
        """
        for minion_id in minion_ids:
            m = self.agent.minions.get(minion_id)
            if m is not None and self.agent.is_open(m) and not any(run.is_unsent for run in m.runs.values()):
                self.agent.remove_minion(minion_id=minion_id)

    def evacuated(self, *, zone: str) -> bool:
        """Nothing may start there."""
        return zone in self.evacuated_zones

    def ranks(self) -> dict[str, int]:
        """The queues of the newest configuration, with their ranks."""
        return {name: route.rank for name, route in self.table.routes.items()} if self.table else {}

    def evacuations(self) -> frozenset[str]:
        """Sites to which nothing is to be sent."""
        return frozenset(self.evacuated_zones)

    def gone(self, *, minion_id: str, fence: int) -> None:
        """A minion is no more."""
        self.agent.remove_minion(minion_id=minion_id)
        self.calls.start(group_id=0, op="gone", b={"m": minion_id, "f": fence}, done=("none",), ttl=30.0)

    def reply(self, *, node_id: str, request_id: int, status: int, document: Any) -> None:
        """Answer a call of another node."""
        self.send(
            node_id=node_id,
            kind=Kind.REPLY,
            body={"rid": request_id, "to": node_id, "s": status, "d": document} | self.proofs(node_id=node_id),
        )

    def learn(self, *, epochs: Sequence[tuple[int, Epoch]]) -> None:
        """Epochs go to the replicas first, which report what is news."""
        for group_id, e in epochs:
            self.replicas[group_id].learn(e)

    def configured(self) -> None:
        """A newer configuration is in force here."""
        for placer in self.placers.values():
            placer.configured()

    def installed(self, *, group_id: int, epoch: Epoch) -> None:
        """A newer epoch is decided."""
        old = self.epochs.get(group_id)
        if old is not None:
            self.before[group_id] = old.primary
        super().learn(epochs=[(group_id, epoch)])
        self.push()

    # -- group 0

    def commit0(self, *, event: RegistryEvent, then: tuple[Any, ...] | None = None, news: bool = False) -> None:
        """Commit to group 0; what changes news goes out once durable."""
        self.replicas[0].commit(event=event.document(), then=then)
        if news:
            self.replicas[0].barrier(then=("news", self._registry()))

    def _registry(self) -> dict[str, Any]:
        return {
            "reg": {
                "mods": self.registry.registry_version,
                "evac": list(self.registry.evacuated_zones),
                "members": {u: member.document() for u, member in self.registry.members.items()},
            }
        }

    def _publish(self) -> None:
        document = self._registry()
        if self.registry.config is not None:
            document["conf"] = self.registry.config
        self.take_news(document=document)

    def _serve0(self, *, node_id: str, request_id: int, op: str, b: dict[str, Any]) -> None:
        replica, chief = self.replicas[0], self.chief
        assert chief is not None
        if op == "conf":
            try:
                event = self.registry.evaluate_config_request(
                    method=b["m"], if_match=b["base"], body=b["body"].encode()
                )
            except YarrowError as err:
                status, document = refusal(err=err)
                replica.barrier(then=("reply", node_id, request_id, status, document))
                return
            if event is not None:
                replica.commit(event=event.document())
                replica.barrier(then=("news", {"conf": self.registry.config}))
                self.note(event="config-accepted", config_version=self.registry.config_version)
            replica.barrier(then=("reply", node_id, request_id, 200, {}))
        elif op == "getconf":
            replica.barrier(
                then=("reply", node_id, request_id, 200 if self.registry.config else 404, self.registry.config or {})
            )
        elif op == "evac":
            try:
                evacuation = self.registry.evaluate_evacuation(
                    zone=b["site"], is_evacuated=b["on"], known_version=b["mods"]
                )
            except YarrowError as err:
                status, document = refusal(err=err)
                replica.barrier(then=("reply", node_id, request_id, status, document))
                return
            self.commit0(event=evacuation, news=True)
            replica.barrier(then=("reply", node_id, request_id, 200, {}))
        elif op == "who":
            chief.who(node_id=node_id, request_id=request_id, b=b)
        elif op == "gone":
            removed = MinionRemoved(minion_id=b["m"], fence=b["f"])
            self.commit0(event=removed, then=("reply", node_id, request_id, 200, {}))
        elif op == "leave":
            row = self.registry.minions.get(b["m"])
            replica.barrier(then=("reply", node_id, request_id, 200, {} if row is None else {"o": row.owner}))

    # -- beats

    def agent_beat(self, *, minion_id: str, document: dict[str, Any], call: Any) -> None:
        """A beat of an owned minion; what cannot be read is refused."""
        try:
            heartbeat = parse_heartbeat(document=document)
        except MalformedRecordError as error:
            self.log.warn("heartbeat-malformed", minion=minion_id, why=error.text)
            self.respond(call=call, response=Response.of(400, {"error": "not a beat", "text": error.text}))
            return
        self.agent.on_heartbeat(minion_id=minion_id, heartbeat=heartbeat, call=call)

    def beat_elsewhere(self, *, minion_id: str, document: dict[str, Any], call: Any) -> None:
        """Hand a beat to the minion's agent."""
        owner, at = self.owner.get(minion_id, ("", -9.0))
        if owner and owner != self.node_id and self.now - at < OWNER_S:
            self.calls.start(
                group_id=-1,
                to=owner,
                op="beat",
                b={"m": minion_id, "d": document},
                done=("beat", call, minion_id, owner),
                ttl=BEAT_TTL,
            )
            return
        b = {
            "m": minion_id,
            "site": str(document.get("zone", "")),
            "svc": str(document.get("backend", "")),
            "labels": [str(x) for x in document.get("labels", [])],
        }
        self.calls.start(group_id=0, op="who", b=b, done=("who", call, minion_id, document), ttl=BEAT_TTL)

    def called(self, *, done: tuple[Any, ...], status: int, document: Any, sent: bool) -> None:
        """A call of this node has ended."""
        kind = done[0]
        if kind == "http":
            self.respond(
                call=done[1],
                response=Response.of(status, document)
                if status
                else Response.of(503, {"error": "no primary in reach"}),
            )
        elif kind == "leave":
            self._leave_found(call=done[1], minion_id=done[2], until=done[3], status=status, document=document)
        elif kind == "who":
            _, call, minion_id, beat = done
            if status != 200:
                self.respond(call=call, response=Response(status=503))
            elif document["o"] == self.node_id:
                if minion_id in self.agent.minions:
                    self.agent_beat(minion_id=minion_id, document=beat, call=call)
                else:
                    self.respond(call=call, response=Response(status=503))
            else:
                self.owner[minion_id] = (document["o"], self.now)
                if len(self.owner) > 20000:
                    self.owner.clear()
                self.calls.start(
                    group_id=-1,
                    to=document["o"],
                    op="beat",
                    b={"m": minion_id, "d": beat},
                    done=("beat", call, minion_id, document["o"]),
                    ttl=BEAT_TTL,
                )
        elif kind == "beat":
            _, call, minion_id, owner = done
            if status != 200:
                self.owner.pop(minion_id, None)
                self.respond(call=call, response=Response(status=503))
                return
            ctl = self.members.get(owner, {}).get("ctl") or self.info.get(owner, {}).get("ctl")
            if ctl:
                document = {**document, "beat-target": ctl}
            self.respond(call=call, response=Response.of(200, document))

    def _leave_found(self, *, call: Any, minion_id: str, until: float, status: int, document: Any) -> None:
        """Group 0 told which agent a minion that ends is with: none (it has left before), this one or another."""
        owner = document.get("o") if status == 200 else ""
        if status == 200 and owner is None:
            self.respond(call=call, response=Response.of(200, {}))
        elif owner == self.node_id and minion_id in self.agent.minions and self.trusted():
            self.agent.on_leaving(minion_id=minion_id, call=call)
        elif owner and owner != self.node_id and until > self.now:
            self.calls.start(
                group_id=-1, to=owner, op="leave", b={"m": minion_id}, done=("http", call), ttl=until - self.now
            )
        else:
            self.respond(call=call, response=Response(status=503))

    def respond(self, *, call: Any, response: Response) -> None:
        """Answer a call: over HTTP, or to the node that handed the beat over."""
        if isinstance(call, tuple) and call[0] == "far":
            self.reply(
                node_id=call[1],
                request_id=call[2],
                status=response.status,
                document=self.load(body=response.body) if response.body else {},
            )
        else:
            super().respond(call=call, response=response)

    def _handed(self, *, node_id: str, request_id: int, op: str, b: dict[str, Any]) -> None:
        if b["m"] not in self.agent.minions or not self.trusted():
            self.reply(node_id=node_id, request_id=request_id, status=503, document={})
        elif op == "leave":
            self.agent.on_leaving(minion_id=b["m"], call=("far", node_id, request_id))
        else:
            self.agent_beat(minion_id=b["m"], document=b["d"], call=("far", node_id, request_id))

    def effect(self, *, effect: AnyEffect) -> None:
        """Carry out an effect that is now durable."""
        raise NotImplementedError

    def describe(self) -> dict[str, Any]:
        """A summary for the operator."""
        return {
            "uid": self.node_id,
            "site": self.settings.zone,
            "config": self.config_version(),
            "proof-age-ms": self.proof_age_ms(),
            "evacuated": sorted(self.evacuated_zones),
            "members": self.members,
            "groups": {
                str(group_id): {
                    "role": r.role.value,
                    "epoch": r.epoch and r.epoch.document(),
                    "serving": r.is_serving(),
                }
                for group_id, r in self.replicas.items()
            },
            "minions": {
                m.minion_id: {"phase": m.phase.value, "free": list(m.free()), "runs": len(m.runs)}
                for m in self.agent.minions.values()
            },
            "backlog": {str(group_id): len(p.backlog) for group_id, p in self.placers.items()},
            "placing": {str(group_id): p.figures() for group_id, p in self.placers.items()},
        }
