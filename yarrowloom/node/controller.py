"""What the primary of group 0 does besides serving its log: leases to agents, owners of minions, core members."""

import math
from typing import NamedTuple, Protocol

from msgspec import UNSET

from ..cluster_state.minion_ownership import OwnerSelector
from ..cluster_state.registry import Registry
from ..cluster_state.registry_events import (
    CoreMemberAdded,
    CoreMemberRemoved,
    MinionAssignment,
    MinionsAssigned,
    RegistryEvent,
)
from ..cluster_state.registry_rows import CoreMember, MinionDescription
from ..common.effects import Effect
from ..common.settings import NodeSettings
from ..replication import Replica
from ..replication.epoch import addr_of
from ..transport.effects import Reply
from ..transport.message import Message
from .effects import NotifyOwners
from .messages import Heartbeat, HeartbeatAck, OwnedMinion
from .minion_rebalancing import MOVES_PER_ROUND, MinionRebalancing
from .registry_requests import OwnerQuery

AGENT_LEASE_S = 1.5  # how long an acknowledged heartbeat lets an agent act
CLOCK_DRIFT = 1.05  # the controller waits longer than the lease by this factor and margin: clocks differ
LEASE_MARGIN_S = 0.3
LEASE_EXPIRED_S = AGENT_LEASE_S * CLOCK_DRIFT + LEASE_MARGIN_S  # after this silence an agent has no lease any more
ONE_WAY_S = AGENT_LEASE_S  # an agent that has received nothing from the controller this long has none either
LIVE_SHARE = 0.6  # of a lease: an agent that was silent for less may get minions
FORMER_PRIMARY_GRACE_S = 0.5  # the former primary has this long to be heard of before its minions go to others
MEMBER_SILENCE_S = 30.0  # a member that was silent for longer is removed
ASSIGNMENTS_MOST = 256  # in one commit, and in one tick for each kind of work
NEW_MINIONS_WINDOW_S = 0.05  # new minions that come within this time share a commit
OK = 200
SERVICE_PAUSE_S = 0.3  # a primary that did not serve for longer doesn't count that time as silence of others


class ControllerEnvironment(Protocol):
    """What the controller needs of its node."""

    now: float
    settings: NodeSettings
    node_id: str
    registry: Registry
    replicas: dict[int, Replica]

    def commit_registry(self, *, event: RegistryEvent, then: Effect | None = None, publish: bool = False) -> None:
        """Commit an event to group 0; `publish`: other nodes are told of the registry once it is durable."""

    def send_message(self, *, node_id: str, message: Message) -> None:
        """Send a message to another node, or to this one."""

    def note(self, *, event: str, **fields: object) -> None:
        """Log an event."""


class OwnerRequest(NamedTuple):
    """A node's call that waits until a new minion has an owner."""

    node_id: str
    request_id: int
    query: OwnerQuery


class Controller:
    """Lives while this node serves group 0; nothing of it is stored.

    Invariants: a minion is given to another agent only once the former agent's lease from any controller has expired,
    or the former agent has said that it released the minion; an agent gets a lease only in the acknowledgement of a
    heartbeat whose digest fits what it should own, or which lists what it holds.

    Attributes:
        last_heartbeat: By agent, when its last heartbeat came, or, if none did, when this controller began.
        last_echo: By agent, the controller's time that came back with its last heartbeat.
        incarnations: By agent, that of its last heartbeat.
        owner_requests: Calls about new minions, which share the next commit.
        outdated_fences: By agent, minions whose fencing tokens are from before its process began anew.
        rebalancing: Minions that should move in quiet times.
    """

    def __init__(self, *, node: ControllerEnvironment, former_primary: str) -> None:
        """Begin to serve; `former_primary`: the node that served group 0 before, empty if it was this one."""
        self.node = node
        now = node.now
        self.last_heartbeat: dict[str, float] = dict.fromkeys(self._agents(), now)
        if former_primary in self.last_heartbeat:
            # Its agent acted on the lease of that primary alone, which has expired.
            self.last_heartbeat[former_primary] = now - LEASE_EXPIRED_S + FORMER_PRIMARY_GRACE_S
        self.last_echo: dict[str, float] = {}
        self.incarnations: dict[str, int] = {}
        self.owner_requests: list[OwnerRequest] = []
        self.outdated_fences: dict[str, list[str]] = {}
        self.rebalancing = MinionRebalancing(now=now, has_minions=bool(node.registry.minions))
        self._assigned_new_at = -math.inf
        self._served_at = now

    # -- agents

    def _agents(self) -> set[str]:
        """All members, and whoever owns minions."""
        return {*self.node.registry.members, *self.node.registry.ownership.minions_by_node}

    def _owned_by(self, *, node_id: str) -> dict[str, None]:
        """The minions of an agent, as the registry says."""
        return self.node.registry.ownership.minions_by_node.get(node_id, {})

    def _silence_s(self, *, node_id: str) -> float:
        """How long an agent has been silent; 0 for the one of this node."""
        if node_id == self.node.node_id:
            return 0.0
        return self.node.now - self.last_heartbeat.get(node_id, -math.inf)

    def is_live(self, *, node_id: str) -> bool:
        """Whether an agent may get minions."""
        return self._silence_s(node_id=node_id) < AGENT_LEASE_S * LIVE_SHARE

    def has_expired(self, *, node_id: str) -> bool:
        """Whether an agent's lease has certainly expired."""
        return self._silence_s(node_id=node_id) > LEASE_EXPIRED_S

    def _is_unreachable(self, *, heartbeat: Heartbeat) -> bool:
        """Whether the sender's heartbeats come here, but the acknowledgements don't reach it.

        Each of these tells the controller's time, which the next heartbeat gives back. Such an agent can't act; so
        its lease isn't renewed, and its minions go to others.
        """
        node, node_id, echo = self.node, heartbeat.node_id, heartbeat.controller_echo
        epoch = node.replicas[0].epoch
        self.last_echo.setdefault(node_id, node.now)
        if echo is UNSET:
            return False
        if echo and epoch is not None and echo[0] == epoch.number and echo[1] is not None:
            self.last_echo[node_id] = max(self.last_echo[node_id], echo[1])
        return node_id != node.node_id and node.now - self.last_echo[node_id] > ONE_WAY_S

    def on_heartbeat(self, *, heartbeat: Heartbeat) -> HeartbeatAck:
        """A core's heartbeat: make it a member, renew its lease, tell it what it owns.

        Returns:
            The controller's part of the acknowledgement; empty for other nodes, and where the lease isn't renewed.
        """
        self._discount_pause()
        node_id = heartbeat.node_id
        if heartbeat.kind != "core":
            return HeartbeatAck()
        if node_id not in self.node.registry.members:
            self._add_member(heartbeat=heartbeat)
        if self._is_unreachable(heartbeat=heartbeat) or self._is_being_relieved(node_id=node_id):
            return HeartbeatAck()
        self.last_heartbeat[node_id] = self.node.now
        if self.incarnations.get(node_id, heartbeat.incarnation) != heartbeat.incarnation:
            self.outdated_fences[node_id] = list(self._owned_by(node_id=node_id))
            self._renew_fences(node_id=node_id)
        self.incarnations[node_id] = heartbeat.incarnation
        if heartbeat.owned_minions is UNSET:
            return self._ack_digest(heartbeat=heartbeat)
        return self._ack_owned(node_id=node_id, fences=dict(heartbeat.owned_minions))

    def _is_being_relieved(self, *, node_id: str) -> bool:
        """Whether an agent that comes back still has minions that go to others; some of them do so now."""
        if node_id == self.node.node_id:
            return False
        was_silent = node_id not in self.last_heartbeat or self.has_expired(node_id=node_id)
        return was_silent and self._reassign_from(owner=node_id)

    def _ack_digest(self, *, heartbeat: Heartbeat) -> HeartbeatAck:
        """Acknowledge a heartbeat that tells what the agent holds by a digest."""
        node_id = heartbeat.node_id
        if heartbeat.minions_digest != self.node.registry.ownership.digest(node_id=node_id):
            return HeartbeatAck(wants_owned_minions=True)
        to_release = self.rebalancing.to_release(node_id=node_id)
        self.rebalancing.on_requested(minion_ids=to_release)
        return HeartbeatAck(grants_lease=True, minions_to_release=to_release or UNSET)

    def _ack_owned(self, *, node_id: str, fences: dict[str, int]) -> HeartbeatAck:
        """Acknowledge a heartbeat that lists the minions that the agent holds, by minion their fencing tokens."""
        self._move_released(node_id=node_id, held=fences)
        owned = self._owned_by(node_id=node_id)
        outdated = {*self.outdated_fences.get(node_id, ())}
        given = [
            self._owned_minion(minion_id=minion_id)
            for minion_id in owned
            if fences.get(minion_id, 0) < self.node.registry.minions[minion_id].fence
            and minion_id not in outdated
            and minion_id not in self.rebalancing.moves
        ]
        disowned = [minion_id for minion_id in fences if minion_id not in owned]
        return HeartbeatAck(grants_lease=True, owned=given, disowned=disowned)

    # -- members

    def _add_member(self, *, heartbeat: Heartbeat) -> None:
        """A core joins; the members of the same address are gone."""
        node, node_id = self.node, heartbeat.node_id
        replaced = [member for member in node.registry.members if addr_of(node_id=member) == addr_of(node_id=node_id)]
        for member in replaced:
            node.commit_registry(event=CoreMemberRemoved(node_id=member))
        member_row = CoreMember(zone=heartbeat.zone, name=heartbeat.name, control_address=heartbeat.control_address)
        node.commit_registry(event=CoreMemberAdded(node_id=node_id, member=member_row), publish=True)
        node.note(event="core-member-added", node_id=node_id, replaces=",".join(replaced))
        self.rebalancing.on_member_joined(now=node.now)

    def _remove_silent_members(self) -> None:
        node = self.node
        for node_id in list(node.registry.members):
            last_heartbeat = self.last_heartbeat.get(node_id, node.now)
            if node_id != node.node_id and node.now - last_heartbeat > MEMBER_SILENCE_S:
                node.commit_registry(event=CoreMemberRemoved(node_id=node_id), publish=True)
                node.note(event="core-member-removed", node_id=node_id)

    # -- owners of minions

    def _owner_selector(self) -> OwnerSelector:
        """Chooses among the live agents; this node's if there is none."""
        members = self.node.registry.members
        zones = {node_id: member.zone for node_id, member in members.items() if self.is_live(node_id=node_id)}
        return OwnerSelector(
            ownership=self.node.registry.ownership, zones=zones or {self.node.node_id: self.node.settings.zone}
        )

    def _assign(self, *, assignments: list[MinionAssignment]) -> None:
        """Commit new owners; they are told once it is durable."""
        if not assignments:
            return
        minion_ids = [assignment.minion_id for assignment in assignments]
        self.node.commit_registry(
            event=MinionsAssigned(assignments=assignments), then=NotifyOwners(minion_ids=minion_ids)
        )

    def on_assigned(self, *, minion_ids: list[str]) -> None:
        """Assignments are durable: tell the owners."""
        owned_by: dict[str, list[OwnedMinion]] = {}
        for minion_id in minion_ids:
            row = self.node.registry.minions.get(minion_id)
            if row is not None:
                owned_by.setdefault(row.owner, []).append(self._owned_minion(minion_id=minion_id))
        for node_id, owned in owned_by.items():
            self.node.send_message(node_id=node_id, message=HeartbeatAck(owned=owned))

    def _owned_minion(self, *, minion_id: str) -> OwnedMinion:
        row = self.node.registry.minions[minion_id]
        return OwnedMinion(minion_id=minion_id, fence=row.fence, row=row)

    def _renew_fences(self, *, node_id: str) -> None:
        """A core's process began anew: some of its minions get new fencing tokens."""
        minion_ids = self.outdated_fences.pop(node_id)
        if minion_ids[ASSIGNMENTS_MOST:]:
            self.outdated_fences[node_id] = minion_ids[ASSIGNMENTS_MOST:]
        owned = self._owned_by(node_id=node_id)
        self._assign(
            assignments=[
                MinionAssignment(minion_id=minion_id, owner=node_id)
                for minion_id in minion_ids[:ASSIGNMENTS_MOST]
                if minion_id in owned
            ]
        )
        self.rebalancing.on_disturbance(now=self.node.now)

    def _reassign_from(self, *, owner: str) -> bool:
        """Give some minions of an agent without a lease to live ones; whether there were any."""
        node = self.node
        minion_ids = list(self._owned_by(node_id=owner))[:ASSIGNMENTS_MOST]
        if not minion_ids:
            return False
        selector = self._owner_selector()
        node.note(event="minions-reassigned", owner=owner, count=len(minion_ids))
        domains = {minion_id: node.registry.minions[minion_id].placement_domain for minion_id in minion_ids}
        self._assign(
            assignments=[
                MinionAssignment(minion_id=minion_id, owner=selector.select_owner(domain=domain))
                for minion_id, domain in domains.items()
            ]
        )
        self.rebalancing.on_disturbance(now=node.now)
        return True

    # -- new minions

    def find_owner(self, *, node_id: str, request_id: int, query: OwnerQuery) -> None:
        """Which agent owns a minion; a new one gets an owner, together with others that come at the time."""
        row = self.node.registry.minions.get(query.minion_id)
        if row is not None:
            self._reply_owner(node_id=node_id, request_id=request_id, owner=row.owner)
            return
        self.owner_requests.append(OwnerRequest(node_id=node_id, request_id=request_id, query=query))
        if len(self.owner_requests) >= ASSIGNMENTS_MOST or self._is_window_over():
            self._assign_new()

    def _is_window_over(self) -> bool:
        return self.node.now - self._assigned_new_at >= NEW_MINIONS_WINDOW_S

    def _assign_new(self) -> None:
        """Give owners to the new minions that are asked for."""
        minions, requests = self.node.registry.minions, self.owner_requests
        self.owner_requests, self._assigned_new_at = [], self.node.now
        selector, assignments = self._owner_selector(), dict[str, MinionAssignment]()
        for request in requests:
            query, minion_id = request.query, request.query.minion_id
            if minion_id in minions or minion_id in assignments:
                continue
            description = MinionDescription(zone=query.zone, service=query.service, labels=query.labels)
            owner = selector.select_owner(domain=description.placement_domain)
            assignments[minion_id] = MinionAssignment(minion_id=minion_id, owner=owner, description=description)
        self._assign(assignments=list(assignments.values()))
        for request in requests:
            owner = minions[request.query.minion_id].owner
            self._reply_owner(node_id=request.node_id, request_id=request.request_id, owner=owner)

    def _reply_owner(self, *, node_id: str, request_id: int, owner: str) -> None:
        """Respond to a call once the ownership is durable."""
        self.node.replicas[0].barrier(
            then=Reply(node_id=node_id, request_id=request_id, status=OK, document={"o": owner})
        )

    # -- moves in quiet times

    def _move_released(self, *, node_id: str, held: dict[str, int]) -> None:
        """Give minions that an agent released, as it was asked to, to their new owners."""
        moves = self.rebalancing.take_released(node_id=node_id, held=held)
        owned = self._owned_by(node_id=node_id)
        assignments = [
            MinionAssignment(minion_id=minion_id, owner=new_owner)
            for minion_id, new_owner in moves.items()
            if minion_id in owned and self.is_live(node_id=new_owner)
        ]
        if assignments:
            self.node.note(event="minions-rebalanced", owner=node_id, count=len(assignments))
            self._assign(assignments=assignments)

    def _rebalance(self) -> None:
        """In quiet times, plan moves of minions that belong elsewhere."""
        now = self.node.now
        if not self.rebalancing.begin_round(now=now):
            return
        if not all(self.is_live(node_id=node_id) for node_id in self._agents()):
            return
        moves = self._owner_selector().rebalancing_moves(max_moves=MOVES_PER_ROUND)
        owners = {move.minion_id: self.node.registry.minions[move.minion_id].owner for move in moves}
        self.rebalancing.plan(moves=moves, owners=owners, now=now)

    # -- time

    def _discount_pause(self) -> None:
        """This primary serves.

        Heartbeats that came while it did not, without a lease or contact, were not counted: that time is no silence
        of the agents.
        """
        paused_s = self.node.now - self._served_at
        self._served_at = self.node.now
        if paused_s > SERVICE_PAUSE_S:
            self.last_heartbeat = {
                node_id: min(at + paused_s, self.node.now) for node_id, at in self.last_heartbeat.items()
            }

    def tick(self) -> None:
        """Do what is due, one batch of each kind of work; called while this node serves group 0."""
        self._discount_pause()
        if self.owner_requests and self._is_window_over():
            self._assign_new()
        for node_id in sorted(self.node.registry.ownership.minions_by_node):
            if self.has_expired(node_id=node_id) and self._reassign_from(owner=node_id):
                break
        if self.outdated_fences:
            self._renew_fences(node_id=next(iter(self.outdated_fences)))
        self._rebalance()
        self._remove_silent_members()
