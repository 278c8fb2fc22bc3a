"""What core and edge nodes share: outputs as data, heartbeats, cluster updates, calls of other nodes."""

from collections.abc import Sequence
from typing import Any

import msgspec
import orjson
from msgspec import UNSET

from ..cluster_state.routing_table import Route, RoutingTable, Tenant
from ..common.log import Log
from ..common.queue_identity import QueueIdentity
from ..common.settings import NodeSettings
from ..replication.epoch import Epoch, addr_of
from ..transport.envelope import dump
from ..transport.http_messages import Response
from ..transport.message import Message
from ..transport.message_kinds import Kind
from .config_dissemination import ConfigDissemination
from .config_freshness import Freshness
from .epochs import KnownEpochs
from .group_calls import GroupCalls, first_number
from .heartbeats import Heartbeats
from .messages import ClusterUpdate, ContactProof, Heartbeat, HeartbeatAck
from .outputs import Outbox
from .roster import Roster

JOB_GROUPS = 1

_encode = msgspec.json.Encoder().encode  # prepared once: each message passes it


class NodeBase:
    """A node of either kind, as a state machine without sockets, disk or clocks.

    Whoever runs a node sets its clocks, gives it one input, and carries out what `out` holds then.

    Attributes:
        settings: The settings of the process; replaced when the file changes.
        node_id: Names the node; the part before "#" is its address.
        incarnation: Tells this life from all others with this node id; only its equality means anything elsewhere.
        kind: "core" or "edge".
        now: Monotonic time of the current input, in seconds; it never falls.
        wall_now: Wall time of the current input, in seconds.
        out: What the node wants done.
        roster: The nodes that this one knows.
        epochs: The newest epochs that it knows.
        freshness: Its proof of contact with group 0's primary.
        dissemination: The configuration in force, and what other nodes hold.
        heartbeats: Its own heartbeats.
        calls: Its open calls of other nodes.
    """

    def __init__(self, *, settings: NodeSettings, node_id: str, incarnation: int, kind: str, log: Log) -> None:
        self.settings = settings
        self.node_id = node_id
        self.incarnation = incarnation
        self.kind = kind
        self.log = log
        self.now = 0.0
        self.wall_now = 0.0
        self.out = Outbox()
        self.roster = Roster(node_id=node_id)
        self.epochs = KnownEpochs()
        self.freshness = Freshness(apply_ms=settings.config_apply_ms)
        self.dissemination = ConfigDissemination(environment=self)
        self.heartbeats = Heartbeats(environment=self)
        self.calls = GroupCalls(environment=self, first_request_id=first_number(incarnation=incarnation))

    # -- outputs

    def send(self, *, node_id: str, kind: Kind, body: dict[str, Any]) -> None:
        """Send a message that has no class yet to another node, or to this one."""
        self.out.sends.append((addr_of(node_id=node_id), kind, dump(body=body)))

    def send_message(self, *, node_id: str, message: Message) -> None:
        """Send a message to another node, or to this one."""
        self.out.sends.append((addr_of(node_id=node_id), message.KIND, _encode(message)))

    def respond(self, *, call: object, response: Response) -> None:
        """Answer an HTTP call."""
        self.out.answers.append((call, response))

    def note(self, *, event: str, **fields: object) -> None:
        """Log an event."""
        self.log.info(event, **fields)

    def trace(self, *, event: str, **fields: object) -> None:
        """Log detail."""
        self.log.debug(event, **fields)

    def load(self, *, body: bytes) -> Any:
        """Decode JSON."""
        return orjson.loads(body)

    # -- epochs

    def primary(self, *, group_id: int) -> tuple[str, int] | None:
        """Node id of a group's primary and the number of its epoch; None: no epoch is known."""
        return self.epochs.primary(group_id=group_id)

    def learn(self, *, epochs: Sequence[tuple[int, Epoch]]) -> None:
        """Take note of epochs with their groups."""
        self.epochs.learn(epochs=epochs)

    # -- configuration

    @property
    def config(self) -> dict[str, Any] | None:
        """The newest configuration, as JSON data; None: there is none yet."""
        return self.dissemination.config

    @property
    def table(self) -> RoutingTable | None:
        """The same, prepared for look-ups."""
        return self.dissemination.table

    def configured(self) -> None:
        """A newer configuration is in force here."""

    def config_version(self) -> int:
        """The version of the configuration in force here; 0: none yet."""
        return self.dissemination.config_version

    def route_of(self, *, queue: QueueIdentity) -> Route | None:
        """The route that serves a queue by the configuration in force here; None: there is none."""
        table = self.dissemination.table
        return table.route_of(queue=queue) if table is not None else None

    def tenant(self, *, name: str) -> Tenant | None:
        """The row of a tenant."""
        table = self.dissemination.table
        return table.tenants.get(name) if table is not None else None

    def tenant_of_key(self, *, key_digest: str) -> str:
        """The tenant that a key belongs to by the configuration in force here; empty: none."""
        table = self.dissemination.table
        return table.tenants_by_key.get(key_digest, "") if table is not None else ""

    def select(self, *, host: str, path: str) -> Route | None:
        """The route that a path belongs to by the configuration in force here; None: there is none."""
        return self.table.select(host=host, path=path) if self.table is not None else None

    def apply_update(self, *, update: ClusterUpdate) -> None:
        """Take what is newer than what is here, and pass it on."""
        self.dissemination.apply(update=update)

    # -- other nodes

    def cores(self) -> list[str]:
        """All core nodes known, sorted."""
        return self.roster.cores(now=self.now)

    def is_alive(self, *, node_id: str) -> bool:
        """Whether a node's heartbeat came lately."""
        return self.roster.is_alive(node_id=node_id, now=self.now)

    # -- contact with group 0's primary

    def proof(self) -> ContactProof:
        """How new the configuration here is; empty while it is known to be out of date."""
        if self.dissemination.needs_full_config:
            return ContactProof()
        return self.freshness.proof(now=self.now, config_version=self.config_version())

    def proof_for_call(self, *, node_id: str) -> ContactProof:
        """The same for the answer to a node's call: a few times a second is enough."""
        is_due = self.freshness.is_due(node_id=node_id, now=self.now)
        return self.proof() if is_due else ContactProof()

    def proof_age_ms(self) -> int | None:
        """How old the proof is; None: there was none yet."""
        age_s = self.proof().age_s
        return round(age_s * 1000) if age_s is not UNSET else None

    def confirm(self, *, sent_at: float, proof: ContactProof) -> bool:
        """Take the proof that an answer carries to what was sent at `sent_at`; whether its sender is in touch."""
        return self.freshness.confirm(
            sent_at=sent_at,
            now=self.now,
            proof=proof,
            known_epoch=self.epochs.number(group_id=0),
            config_version=self.dissemination.proven_version,
        )

    # -- heartbeats

    def heartbeat(self) -> Heartbeat:
        """The heartbeat that is due now."""
        return Heartbeat(
            node_id=self.node_id,
            zone=self.settings.zone,
            kind=self.kind,
            name=self.settings.name,
            control_address=self.settings.binds.get("control", ""),
            incarnation=self.incarnation,
            sent_at=self.now,
            versions=self.dissemination.versions_held(),
        )

    def heartbeat_targets(self) -> list[str]:
        """Who gets it."""
        return self.heartbeats.targets()

    def send_heartbeats_soon(self) -> None:
        """Send the next heartbeats without waiting for their time."""
        self.heartbeats.send_soon()

    def on_heartbeat(self, *, heartbeat: Heartbeat) -> None:
        """Take note of another node's heartbeat."""
        known = self.roster.nodes.get(heartbeat.node_id)
        known_incarnation = known.incarnation if known is not None else None
        self.dissemination.on_heartbeat(heartbeat=heartbeat, known_incarnation=known_incarnation)
        self.roster.on_heartbeat(heartbeat=heartbeat, now=self.now)
        self.dissemination.forget(node_ids=self.roster.forget_silent(now=self.now))

    def heartbeat_ack(self, *, heartbeat: Heartbeat) -> HeartbeatAck:
        """What a heartbeat is answered at least: its time, the versions held here and how new they are, an update."""
        update = self.dissemination.update_for(node_id=heartbeat.node_id)
        proof = self.proof()
        return HeartbeatAck(
            sent_at=heartbeat.sent_at,
            proof_age_s=proof.age_s,
            proof_epoch=proof.epoch,
            config_version=self.dissemination.proven_version,
            registry_version=self.roster.registry.version,
            update=UNSET if update.is_empty else update,
        )

    def on_urgent_frames_lost(self, *, node_id: str) -> None:
        """Urgent frames of another node got lost, perhaps updates."""
        self.heartbeats.on_sequence_gap(node_id=node_id)
