"""What the primary of group 0 does besides keeping records: counts agents in, gives out minions, enrols cores."""

from typing import Any, Protocol

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
from ..common.settings import NodeSettings
from ..replication import Replica
from ..replication.epoch import addr_of
from ..transport.message import Message
from .messages import Heartbeat, HeartbeatAck, OwnedMinion
from .registry_requests import OwnerQuery

LEASE_S = 1.5  # how long one word of the chief lets an agent act
DEAD_S = LEASE_S * 1.05 + 0.3  # silence after which its minions go to others
DEAF_S = LEASE_S  # an agent that has heard nothing of the chief this long has no lease any more
LATE_S = 0.5  # the former primary has this long to be heard before its minions go to others
DROP_S = 30.0
BATCH = 256  # minions given out in one commit, and in one tick
ADMIT_S = 0.05  # new minions that come within this time share a commit
CALM_S = 6.0  # nothing had to move for this long: minions may move back
FRESH_S = 1.0  # nor a core been enrolled for this long
EASE_S = 0.5  # how often up to EASE of them, of one rack, do
EASE = 16
PAUSE_S = 0.3  # a primary that did not serve for longer discounts that time
SHED_S = 2.0  # an agent that has not let go of minions by then keeps them


class ControllerEnvironment(Protocol):
    """What the controller needs of its node."""

    now: float
    settings: NodeSettings
    node_id: str
    registry: Registry
    replicas: dict[int, Replica]

    def commit_registry(
        self, *, event: RegistryEvent, then: tuple[Any, ...] | None = None, publish: bool = False
    ) -> None:
        """Commit an event to group 0; `publish`: other nodes are told of the registry once it is durable."""

    def send_message(self, *, node_id: str, message: Message) -> None:
        """Send a message to another node, or to this one."""

    def note(self, *, event: str, **fields: object) -> None:
        """Log an event."""


class Chief:
    """Volatile; one lives while this node serves group 0. Invariants: a minion is given to another agent only once
    the former agent's word from any chief has run out, or it has said that it let go; an agent gets the word only
    in answer to a heart whose digest fits what it should hold, or which lists what it holds.
    """

    def __init__(self, *, node: ControllerEnvironment, late: str) -> None:
        self.node = node
        now = node.now
        self.last: dict[str, float] = dict.fromkeys(
            {*node.registry.members, *node.registry.ownership.minions_by_node}, now
        )
        if late in self.last:
            # The primary before this one: its agent acted on that duty's promise alone, which has run out.
            self.last[late] = now - DEAD_S + LATE_S
        self.echoed: dict[str, float] = {}  # by agent: when that was said which it last heard of this chief
        self.incarnations: dict[str, int] = {}
        self.asks: list[tuple[str, int, OwnerQuery]] = []  # for new minions: node id, request id, query
        self.admitted = -9.0
        self.stale: dict[str, list[str]] = {}  # by agent: minions whose fence is from before its process began anew
        self.shed: dict[str, tuple[str, str]] = {}  # minions that should change hands: from whom, to whom
        self.asked: set[str] = set()  # of these, those that their agent held when it was asked
        self.eased = self.served = now
        self.stirred = now if node.registry.minions else now - CALM_S + FRESH_S

    def live(self, *, node_id: str) -> bool:
        """Counted in and heard of lately."""
        return node_id == self.node.node_id or self.node.now - self.last.get(node_id, -9.0) < LEASE_S * 0.6

    def deaf(self, *, heartbeat: Heartbeat) -> bool:
        """Whether the sender of a heartbeat is heard but hears nothing: each answer tells the chief's time, which the
        next heartbeat gives back. Such an agent can't act, so nothing is renewed for it, and its minions go to others.
        """
        node, node_id, echo = self.node, heartbeat.node_id, heartbeat.controller_echo
        epoch = node.replicas[0].epoch
        self.echoed.setdefault(node_id, node.now)
        if echo is UNSET:
            return False
        if echo and epoch is not None and echo[0] == epoch.number and echo[1] is not None:
            self.echoed[node_id] = max(self.echoed[node_id], echo[1])
        return node_id != node.node_id and node.now - self.echoed[node_id] > DEAF_S

    def dead(self, *, node_id: str) -> bool:
        """Its word has run out."""
        return node_id != self.node.node_id and self.node.now - self.last.get(node_id, -99.0) > DEAD_S

    def on_heartbeat(self, *, heartbeat: Heartbeat) -> HeartbeatAck:
        """A core's heartbeat: enrol it, renew its lease, tell it what it owns.

        `owned_minions` of the heartbeat is all that its agent holds, if it was asked for it; otherwise the digest of
        that has to do.

        Returns:
            The controller's part of the acknowledgement.
        """
        self._resumed()
        node, node_id = self.node, heartbeat.node_id
        if heartbeat.kind != "core":
            return HeartbeatAck()
        if node_id not in node.registry.members:
            self._enrol(heartbeat=heartbeat)
        if self.deaf(heartbeat=heartbeat):
            return HeartbeatAck()
        if (
            node_id != node.node_id
            and (node_id not in self.last or self.dead(node_id=node_id))
            and self._move(owner=node_id)
        ):
            return HeartbeatAck()
        self.last[node_id] = node.now
        if self.incarnations.get(node_id) not in (None, heartbeat.incarnation):
            self.stale[node_id] = list(node.registry.ownership.minions_by_node.get(node_id, ()))
            self._renew(node_id=node_id)
        self.incarnations[node_id] = heartbeat.incarnation
        leave = [minion_id for minion_id, (was, _) in self.shed.items() if was == node_id]
        if heartbeat.owned_minions is UNSET:
            if heartbeat.minions_digest != node.registry.ownership.digest(node_id=node_id):
                return HeartbeatAck(wants_owned_minions=True)
            self.asked.update(leave)
            return HeartbeatAck(grants_lease=True, minions_to_release=leave or UNSET)
        have = dict(heartbeat.owned_minions)
        self._let_go(
            node_id=node_id,
            minion_ids=[minion_id for minion_id in leave if minion_id in self.asked and minion_id not in have],
        )
        mine = node.registry.ownership.minions_by_node.get(node_id, {})
        old = {*self.stale.get(node_id, ())}
        give = [
            self._row(minion_id)
            for minion_id in mine
            if have.get(minion_id, 0) < node.registry.minions[minion_id].fence
            and minion_id not in old
            and minion_id not in self.shed
        ]
        return HeartbeatAck(
            grants_lease=True, owned=give, disowned=[minion_id for minion_id in have if minion_id not in mine]
        )

    def _row(self, minion_id: str) -> OwnedMinion:
        row = self.node.registry.minions[minion_id]
        return OwnedMinion(minion_id=minion_id, fence=row.fence, row=row)

    def _enrol(self, *, heartbeat: Heartbeat) -> None:
        node, node_id = self.node, heartbeat.node_id
        old = [u for u in node.registry.members if addr_of(node_id=u) == addr_of(node_id=node_id)]
        for gone in old:
            node.commit_registry(event=CoreMemberRemoved(node_id=gone))
        member = CoreMember(zone=heartbeat.zone, name=heartbeat.name, control_address=heartbeat.control_address)
        node.commit_registry(event=CoreMemberAdded(node_id=node_id, member=member), publish=True)
        node.note(event="core-enrolled", node_id=node_id, replaces=",".join(old))
        self.stirred = max(self.stirred, node.now - CALM_S + FRESH_S)

    def _owner_selector(self) -> OwnerSelector:
        members = self.node.registry.members
        live = {u: member.zone for u, member in members.items() if self.live(node_id=u)}
        zones = live or {self.node.node_id: self.node.settings.zone}
        return OwnerSelector(ownership=self.node.registry.ownership, zones=zones)

    def _give(self, *, rows: list[MinionAssignment]) -> None:
        """Commit new owners; they are told once it is durable."""
        self.node.commit_registry(
            event=MinionsAssigned(assignments=rows), then=("owned", [row.minion_id for row in rows])
        )

    def _renew(self, *, node_id: str) -> None:
        """A core's process began anew: its minions get new fences."""
        minion_ids = self.stale.pop(node_id)
        self.stale.update({node_id: minion_ids[BATCH:]} if minion_ids[BATCH:] else {})
        mine = self.node.registry.ownership.minions_by_node.get(node_id, {})
        rows = [
            MinionAssignment(minion_id=minion_id, owner=node_id)
            for minion_id in minion_ids[:BATCH]
            if minion_id in mine
        ]
        if rows:
            self._give(rows=rows)
        self.stirred = self.node.now

    def find_owner(self, *, node_id: str, request_id: int, query: OwnerQuery) -> None:
        """Which agent holds a minion; a new one gets an owner, together with others that come at the time."""
        row = self.node.registry.minions.get(query.minion_id)
        if row is not None:
            self.node.replicas[0].barrier(then=("reply", node_id, request_id, 200, {"o": row.owner}))
            return
        self.asks.append((node_id, request_id, query))
        if len(self.asks) >= BATCH or self.node.now - self.admitted >= ADMIT_S:
            self._admit()

    def _admit(self) -> None:
        node, asks = self.node, self.asks
        self.asks, self.admitted = [], node.now
        selector, rows = self._owner_selector(), dict[str, MinionAssignment]()
        for _, _, query in asks:
            minion_id = query.minion_id
            if minion_id not in node.registry.minions and minion_id not in rows:
                described = MinionDescription(zone=query.zone, service=query.service, labels=query.labels)
                owner = selector.select_owner(domain=described.placement_domain)
                rows[minion_id] = MinionAssignment(minion_id=minion_id, owner=owner, description=described)
        if rows:
            self._give(rows=list(rows.values()))
        for node_id, request_id, query in asks:
            owner = node.registry.minions[query.minion_id].owner
            node.replicas[0].barrier(then=("reply", node_id, request_id, 200, {"o": owner}))

    def owned(self, *, minion_ids: list[str]) -> None:
        """Ownerships are durable: tell the owners."""
        by: dict[str, list[OwnedMinion]] = {}
        for minion_id in minion_ids:
            row = self.node.registry.minions.get(minion_id)
            if row is not None:
                by.setdefault(row.owner, []).append(self._row(minion_id))
        for node_id, rows in by.items():
            self.node.send_message(node_id=node_id, message=HeartbeatAck(owned=rows))

    def _move(self, *, owner: str) -> bool:
        """Give some of a dead agent's minions to live ones; whether there were any."""
        node = self.node
        minion_ids = list(node.registry.ownership.minions_by_node.get(owner, ()))[:BATCH]
        if not minion_ids:
            return False
        selector = self._owner_selector()
        node.note(event="minions-moved", owner=owner, count=len(minion_ids))
        self._give(
            rows=[
                MinionAssignment(
                    minion_id=minion_id,
                    owner=selector.select_owner(domain=node.registry.minions[minion_id].placement_domain),
                )
                for minion_id in minion_ids
            ]
        )
        self.stirred = node.now
        return True

    def _let_go(self, *, node_id: str, minion_ids: list[str]) -> None:
        """An agent holds these no longer, as it was asked to."""
        to = {minion_id: self.shed.pop(minion_id)[1] for minion_id in minion_ids}
        mine = self.node.registry.ownership.minions_by_node.get(node_id, {})
        rows = [
            MinionAssignment(minion_id=minion_id, owner=new)
            for minion_id, new in to.items()
            if minion_id in mine and self.live(node_id=new)
        ]
        if rows:
            self.node.note(event="minions-evened", owner=node_id, count=len(rows))
            self._give(rows=rows)

    def _ease(self) -> None:
        """In calm times, ask an agent to let go of minions that belong elsewhere, a few at a time."""
        node, now = self.node, self.node.now
        if (self.shed and now - self.eased < SHED_S) or now - self.eased < EASE_S:
            return
        self.shed.clear()
        self.asked.clear()
        agents = {*node.registry.members, *node.registry.ownership.minions_by_node}
        if now - self.stirred < CALM_S or not all(self.live(node_id=u) for u in agents):
            return
        rows = self._owner_selector().rebalancing_moves(max_moves=EASE)
        self.eased = now
        self.shed = {minion_id: (node.registry.minions[minion_id].owner, new) for minion_id, new in rows}

    def _resumed(self) -> None:
        """This primary serves. Hearts that came while it did not, without a lease or contact, were not counted: that
        time is no silence of the agents.
        """
        paused = self.node.now - self.served
        self.served = self.node.now
        if paused > PAUSE_S:
            self.last = {node_id: min(at + paused, self.node.now) for node_id, at in self.last.items()}

    def tick(self) -> None:
        """Look for agents whose word has run out; one batch of each kind of work."""
        self._resumed()
        node = self.node
        if self.asks and node.now - self.admitted >= ADMIT_S:
            self._admit()
        for node_id in sorted(node.registry.ownership.minions_by_node):
            if self.dead(node_id=node_id) and self._move(owner=node_id):
                break
        if self.stale:
            self._renew(node_id=next(iter(self.stale)))
        self._ease()
        for node_id in list(node.registry.members):
            if node_id != node.node_id and node.now - self.last.get(node_id, node.now) > DROP_S:
                node.commit_registry(event=CoreMemberRemoved(node_id=node_id), publish=True)
                node.note(event="core-dropped", node_id=node_id)
