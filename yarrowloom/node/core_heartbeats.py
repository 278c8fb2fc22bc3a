"""What heartbeats between cores carry besides those of edges: the agent's lease, and who owns which minions."""

import math
from typing import Protocol

import msgspec
from msgspec import UNSET

from ..agent import Agent
from ..cluster_state.minion_ownership import ownership_digest
from ..replication import Replica
from ..transport.effects import SendMessage
from ..transport.message import Message
from .controller import AGENT_LEASE_S, Controller
from .edge_relays import EdgeRelays
from .effects import AcknowledgeOwnAgent
from .heartbeats import Heartbeats
from .membership import Membership
from .messages import ClusterUpdate, Heartbeat, HeartbeatAck
from .roster import Roster


class CoreHeartbeatEnvironment(Protocol):
    """What a core's heartbeats need of their node."""

    now: float
    node_id: str
    roster: Roster
    membership: Membership
    heartbeats: Heartbeats
    agent: Agent
    replicas: dict[int, Replica]
    controller: Controller | None

    def heartbeat(self) -> Heartbeat:
        """The heartbeat that is due now."""

    def heartbeat_ack(self, *, heartbeat: Heartbeat) -> HeartbeatAck:
        """What any node answers a heartbeat."""

    def send_message(self, *, node_id: str, message: Message) -> None:
        """Send a message to another node."""

    def apply_update(self, *, update: ClusterUpdate) -> None:
        """Take a cluster update, and pass it on."""


class CoreHeartbeats:
    """The agent's side and the controller's side of heartbeats between cores.

    Attributes:
        relays: Which edges feed others.
        lease_expires: Until when the agent may act, by the monotonic clock in seconds.
        controller_echo: Epoch and time of the controller's last acknowledgement; empty: there was none.
        owned_minions_wanted: Whether the controller wants to be told all minions that the agent owns.
    """

    def __init__(self, *, environment: CoreHeartbeatEnvironment) -> None:
        self.environment = environment
        self.relays = EdgeRelays()
        self.lease_expires = -math.inf
        self.controller_echo: tuple[int | float | None, ...] = ()
        self.owned_minions_wanted = False

    # -- sending

    def with_owned_minions(self, *, heartbeat: Heartbeat) -> Heartbeat:
        """A heartbeat that also tells the minions that the agent owns: a digest, and all of them if asked for."""
        owned = [(minion.minion_id, minion.fence) for minion in self.environment.agent.minions.values()]
        return msgspec.structs.replace(
            heartbeat,
            minions_digest=ownership_digest(fences=owned),
            controller_echo=self.controller_echo,
            owned_minions=owned if self.owned_minions_wanted else UNSET,
        )

    def send_due(self) -> None:
        """Send heartbeats if their time has come; the controller acknowledges that of its own node at once."""
        node = self.environment
        node.heartbeats.send_due()
        if node.heartbeats.last_sent != node.now:
            return
        if node.controller is not None and node.replicas[0].is_serving():
            self._acknowledge_own_agent(controller=node.controller)
        if node.heartbeats.last_sent == node.now:  # the controller did not ask for another one
            self.owned_minions_wanted = False

    def _acknowledge_own_agent(self, *, controller: Controller) -> None:
        node = self.environment
        ack = controller.on_heartbeat(heartbeat=node.heartbeat())
        if ack.owned is UNSET:
            self.on_ack(node_id=node.node_id, ack=ack)
        elif ack.owned or ack.disowned:
            own = HeartbeatAck(owned=ack.owned, disowned=ack.disowned)
            node.replicas[0].barrier(then=AcknowledgeOwnAgent(ack=own))

    # -- heartbeats of other nodes

    def acknowledge(self, *, heartbeat: Heartbeat) -> None:
        """Answer another node's heartbeat; who owns which minion is told only once it is durable."""
        node = self.environment
        ack = node.heartbeat_ack(heartbeat=heartbeat)
        if heartbeat.kind == "edge":
            relays = self.relays.for_edge(node_id=heartbeat.node_id, now=node.now, alive_edges=self._alive_edges)
            ack = msgspec.structs.replace(ack, relays=relays or UNSET)
        if node.controller is not None and node.replicas[0].is_serving():
            ack = self._joined(ack=ack, own=node.controller.on_heartbeat(heartbeat=heartbeat))
            if ack.owned or ack.disowned:
                node.replicas[0].barrier(then=SendMessage(node_id=heartbeat.node_id, message=ack))
                return
        node.send_message(node_id=heartbeat.node_id, message=ack)

    def _alive_edges(self) -> list[str]:
        return self.environment.roster.alive_of_kind(kind="edge", now=self.environment.now)

    def _joined(self, *, ack: HeartbeatAck, own: HeartbeatAck) -> HeartbeatAck:
        """An acknowledgement joined with the controller's own part of it."""
        roster, now = self.environment.roster, self.environment.now
        return msgspec.structs.replace(
            ack,
            grants_lease=own.grants_lease,
            wants_owned_minions=own.wants_owned_minions,
            minions_to_release=own.minions_to_release,
            owned=own.owned,
            disowned=own.disowned,
            controller_time=now,
            live_members=[member for member in roster.registry.members if roster.is_alive(node_id=member, now=now)],
        )

    # -- acknowledgements

    def on_ack(self, *, node_id: str, ack: HeartbeatAck) -> None:
        """Take what a node says in answer to a heartbeat, or as the controller by itself."""
        node = self.environment
        if ack.sent_at is not UNSET:
            node.heartbeats.last_ack = node.now
        if ack.live_members is not UNSET:
            node.membership.on_listed_alive(node_ids=ack.live_members)
        if ack.update is not UNSET:
            node.apply_update(update=ack.update)
        if ack.sent_at is not UNSET:
            node.heartbeats.on_ack(node_id=node_id, ack=ack)
            self._take_lease(ack=ack, sent_at=ack.sent_at)
        self._take_minions(ack=ack)
        if ack.wants_owned_minions or ack.minions_to_release:
            self.release_minions(minion_ids=ack.minions_to_release or [])
            self.owned_minions_wanted = True
            node.heartbeats.send_soon()

    def _take_lease(self, *, ack: HeartbeatAck, sent_at: float) -> None:
        """The controller lets the agent act, if this node has all evacuations that the controller knew of."""
        if ack.controller_time is not UNSET:
            epoch = None if ack.proof_epoch is UNSET else ack.proof_epoch
            self.controller_echo = (epoch, ack.controller_time)
        version = -1 if ack.registry_version is UNSET else ack.registry_version
        if ack.grants_lease and version <= self.environment.roster.registry.version:
            self.lease_expires = max(self.lease_expires, sent_at + AGENT_LEASE_S)

    def _take_minions(self, *, ack: HeartbeatAck) -> None:
        agent = self.environment.agent
        for owned in ack.owned or ():
            agent.add_minion(
                minion_id=owned.minion_id,
                fence=owned.fence,
                service=owned.row.service or "",
                zone=owned.row.zone or "",
                labels=owned.row.labels or [],
            )
        for minion_id in ack.disowned or ():
            agent.remove_minion(minion_id=minion_id)

    def release_minions(self, *, minion_ids: list[str]) -> None:
        """The controller wants these given to other agents.

        Only those in good order are let go, with none on its way out: the next agent would have to find out anew that
        a minion is silent or about to leave.
        """
        agent = self.environment.agent
        for minion_id in minion_ids:
            minion = agent.minions.get(minion_id)
            if minion is None or not agent.is_open(minion):
                continue
            if not any(run.is_unsent for run in minion.runs.values()):
                agent.remove_minion(minion_id=minion_id)
