"""The core node: replicas, controller, agent and schedulers in one process; state machines without sockets or disk."""

from collections.abc import Callable
from functools import partial
from typing import Any

from ..agent.messages import AGENT_MESSAGES, CapacitySummary
from ..common.defaults import Defaults
from ..common.effects import Effect, NoEffect
from ..common.errors import StateInDoubtError
from ..common.log import Log
from ..common.records import MalformedRecordError, decode
from ..common.settings import NodeSettings
from ..replication.effects import BatchSynced, SnapshotSynced
from ..replication.handover import is_held_elsewhere, may_end
from ..replication.log_replay import ReplayError
from ..replication.messages import GROUP_MESSAGE_KINDS
from ..scheduling import OrderRuns, Scheduler, StopRuns
from ..transport.effects import Reply, SendMessage
from ..transport.http_messages import Request
from ..transport.message_kinds import Kind
from .call_messages import GroupCall, GroupReply
from .core_environment import CoreEnvironment
from .effects import AcknowledgeOwnAgent, ApplyUpdate, NotifyOwners
from .http_routes import dispatch
from .identity import IDENTITY_KIND, IdentityRecord
from .input_scheduler import Input, InputClass
from .messages import ClusterUpdate, Heartbeat, HeartbeatAck

NODE_RECORDS = frozenset({IDENTITY_KIND, "none"})  # the kinds of records that are of no group
STALL_S = 0.3  # between two pulses: the process stood still


class CoreNode(CoreEnvironment):
    """The inputs of a core node, and the effects that it carries out.

    Invariant: effects are carried out in the order of their events.
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
        self._effect_handlers: dict[type[Effect], Callable[[Any], None]] = {
            NoEffect: lambda _effect: None,
            BatchSynced: self._batch_synced,
            SnapshotSynced: self._snapshot_synced,
            SendMessage: self._send_message,
            Reply: self._respond_to_call,
            StopRuns: self._stop_runs,
            OrderRuns: self._order_runs,
            ApplyUpdate: self._apply_update,
            NotifyOwners: self._notify_owners,
            AcknowledgeOwnAgent: self._acknowledge_own_agent,
        }
        self._handlers: dict[Kind, Callable[..., None]] = {
            Kind.HEARTBEAT: self._on_heartbeat,
            Kind.HEARTBEAT_ACK: self._on_heartbeat_ack,
            Kind.CLUSTER_UPDATE: self._on_cluster_update,
            Kind.CALL: self._on_call,
            Kind.REPLY: self._on_reply,
            Kind.CAPACITY_REPORT: self._on_capacity_report,
            **{kind: partial(self._on_group_message, kind=kind) for kind in GROUP_MESSAGE_KINDS},
        }

    # -- effects

    def effect(self, *, effect: Effect) -> None:
        """Carry out an effect whose event is durable."""
        self._effect_handlers[type(effect)](effect)

    def _batch_synced(self, effect: BatchSynced) -> None:
        replica = self.replicas[effect.group_id]
        replica.batch_synced(epoch_number=effect.epoch_number, last_event=effect.last_event)

    def _snapshot_synced(self, effect: SnapshotSynced) -> None:
        self.replicas[effect.group_id].snapshot_synced(snapshot_id=effect.snapshot_id)

    def _send_message(self, effect: SendMessage) -> None:
        self.send_message(node_id=effect.node_id, message=effect.message)

    def _respond_to_call(self, effect: Reply) -> None:
        self.reply(
            node_id=effect.node_id,
            request_id=effect.request_id,
            status=effect.status,
            document=effect.document,
            newest_cancellation=effect.newest_cancellation,
        )

    def _apply_update(self, effect: ApplyUpdate) -> None:
        self.apply_update(update=effect.update)

    def _notify_owners(self, effect: NotifyOwners) -> None:
        if self.controller is not None:
            self.controller.on_assigned(minion_ids=effect.minion_ids)

    def _acknowledge_own_agent(self, effect: AcknowledgeOwnAgent) -> None:
        self.core_heartbeats.on_ack(node_id=self.node_id, ack=effect.ack)

    def _stop_runs(self, effect: StopRuns) -> None:
        if effect.group_id in self.schedulers:
            self.schedulers[effect.group_id].stop_runs(effect)

    def _order_runs(self, effect: OrderRuns) -> None:
        if effect.group_id in self.schedulers and self.replicas[effect.group_id].is_serving():
            self.schedulers[effect.group_id].order_runs(effect)

    # -- inputs

    def on_http_request(self, *, call: int, request: Request) -> None:
        """A minion or the operator calls over HTTP."""
        dispatch(node=self, call=call, request=request)
        self._flush()

    def on_synced(self, *, effects: list[Effect]) -> None:
        """Records are synced: their effects are due."""
        for effect in effects:
            self.effect(effect=effect)
        self._flush()

    def _flush(self) -> None:
        for replica in self.replicas.values():
            if replica.pipeline.pending_events:
                replica.flush()

    def on_message(self, *, node_id: str, kind: Kind, body: object) -> None:
        """Take one message of a node; `body` is parsed, and the node's from now on.

        Raises:
            MalformedRecordError: The body is not one of this kind.
        """
        self._handlers.get(kind, partial(self._on_job_message, kind=kind))(node_id=node_id, body=body)
        self._flush()

    def _on_capacity_report(self, *, node_id: str, body: dict[str, Any]) -> None:
        if "v" in body:
            self.agent.on_capacity_summary(decode(body, into=CapacitySummary))
        elif body["g"] in self.schedulers:
            self.schedulers[body["g"]].on_message(node_id=body["u"], kind=Kind.CAPACITY_REPORT, body=body)

    def _on_call(self, *, node_id: str, body: object) -> None:
        self.call_server.on_call(node_id=node_id, call=decode(body, into=GroupCall))

    def on_call_expired(self, *, node_id: str, body: object) -> None:
        """A call about jobs waited here until its caller is about to give up.

        Raises:
            MalformedRecordError: The body is not one of a call.
        """
        self.call_server.on_call_expired(node_id=node_id, call=decode(body, into=GroupCall))

    def _on_job_message(self, *, node_id: str, kind: Kind, body: dict[str, Any]) -> None:
        if kind in AGENT_MESSAGES:
            self.agent.on_message(node_id=node_id, message=decode(body, into=AGENT_MESSAGES[kind]))
        elif body["g"] in self.schedulers and self.replicas[body["g"]].is_serving():
            self.schedulers[body["g"]].on_message(node_id=node_id, kind=kind, body=body)

    def _on_heartbeat(self, *, node_id: str, body: object) -> None:
        heartbeat = decode(body, into=Heartbeat)
        self.on_heartbeat(heartbeat=heartbeat)
        self.core_heartbeats.acknowledge(heartbeat=heartbeat)

    def _on_heartbeat_ack(self, *, node_id: str, body: object) -> None:
        self.core_heartbeats.on_ack(node_id=node_id, ack=decode(body, into=HeartbeatAck))

    def _on_cluster_update(self, *, node_id: str, body: object) -> None:
        self.apply_update(update=decode(body, into=ClusterUpdate))

    def _on_reply(self, *, node_id: str, body: object) -> None:
        self.calls.on_reply(node_id=node_id, reply=decode(body, into=GroupReply))

    def _on_group_message(self, *, node_id: str, body: dict[str, Any], kind: Kind) -> None:
        """A message of replication.

        Raises:
            MalformedRecordError: It isn't one; the replica is as it was, or has discarded its state.
            StateInDoubtError: Its handler failed, perhaps half way.
        """
        replica = self.replicas[body["g"]]
        try:
            replica.on(node_id=node_id, kind=kind, body=body)
        except MalformedRecordError:
            raise
        except Exception as error:
            text = f"group {replica.group_id}, {kind.name} of {node_id}: {error!r}"
            raise StateInDoubtError(text=text) from error

    def on_peer_restarted(self, *, address: str) -> None:
        """A newer incarnation of the node at an address was heard: what was under way to the one before is lost."""
        for replica in self.replicas.values():
            if replica.election is not None:
                replica.election.on_peer_restarted(address=address)

    def on_frames_lost(self, *, node_id: str) -> None:
        """Frames of another node were lost."""
        self.on_agent_frames_lost(node_id=node_id)
        self.on_scheduler_frames_lost(node_id=node_id)

    def on_agent_frames_lost(self, *, node_id: str) -> None:
        """Perhaps what a scheduler wanted of the agent, or answers."""
        self.calls.on_frames_lost(node_id=node_id)
        self.on_urgent_frames_lost(node_id=node_id)
        self.agent.on_lost_messages(node_id=node_id)

    def on_scheduler_frames_lost(self, *, node_id: str) -> None:
        """Perhaps what an agent told a scheduler."""
        for scheduler in self._serving_schedulers():
            scheduler.on_messages_lost(node_id=node_id)

    def _serving_schedulers(self) -> list[Scheduler]:
        return [scheduler for group_id, scheduler in self.schedulers.items() if self.replicas[group_id].is_serving()]

    def tick(self) -> None:
        """About twenty times a second: all that goes by time."""
        self.pulse()
        self.tick_agent()
        self.tick_schedulers()

    def periodic_inputs(self) -> dict[InputClass, Input]:
        """What goes by time besides the pulse, by class."""
        return {InputClass.AGENT: self.tick_agent, InputClass.SCHEDULING: self.tick_schedulers}

    def tick_agent(self) -> None:
        """The agent: heartbeats that are held, messages that are due again, minions that are silent."""
        self.agent.tick()
        self._flush()

    def tick_schedulers(self) -> None:
        """The schedulers: a pass may take long, so a busy process runs them less often."""
        for scheduler in self._serving_schedulers():
            scheduler.tick()
        self._flush()

    def pulse(self) -> None:
        """Heartbeats, leases, elections, calls: cheap, and in time also in a busy process."""
        if self.now - self.last_pulse > STALL_S:
            self.note(event="process-stalled", s=round(self.now - self.last_pulse, 2))
            self._resume(stalled_s=self.now - self.last_pulse)
        self.last_pulse = self.now
        self.prove_own()
        self.core_heartbeats.send_due()
        if self.controller is not None and self.replicas[0].is_serving():
            self.controller.tick()
        self.calls.tick()
        self.call_server.sweep()
        for replica in self.replicas.values():
            replica.tick()
        self._flush()

    def _resume(self, *, stalled_s: float) -> None:
        """The process stood still: messages of others that waited meanwhile are no silence of theirs."""
        for replica in self.replicas.values():
            replica.process_resumed()
        last_seen = [self.roster.last_heartbeat, self.membership.last_listed_alive]
        if self.controller is not None:
            last_seen += [self.controller.last_heartbeat, self.controller.last_echo]
        for times in last_seen:
            for node_id, at in times.items():
                times[node_id] = min(at + stalled_s, self.now)

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
            if not is_held_elsewhere(environment=self, epoch=replica.epoch)
        ]

    # -- disk

    def restore(self, *, records: list[bytes]) -> None:
        """Replay the journal from a whole snapshot on.

        Raises:
            ReplayError: A record can't be replayed; the node is of no use any more.
        """
        for number, raw in enumerate(records):
            try:
                self._replay(record=self.load(body=raw))
            except Exception as error:  # a reducer may raise anything
                raise ReplayError(text=f"{type(error).__name__}: {error}", number=number) from error
        for group_id, replica in self.replicas.items():
            replica.finish_restore()
            if replica.epoch is not None:
                self.epochs.learn(epochs=[(group_id, replica.epoch)])

    def _replay(self, *, record: dict[str, Any]) -> None:
        if record["k"] not in NODE_RECORDS:
            self.replicas[record["g"]].restore(record)

    def snapshot_records(self) -> list[bytes]:
        """Records that stand for all that this node keeps."""
        identity = IdentityRecord(kind=IDENTITY_KIND, node_id=self.node_id, incarnation=self.incarnation)
        records = [identity.encoded()]
        for replica in self.replicas.values():
            records += [record.encoded() for record in replica.snapshot_records()]
        return records
