"""The nodes that a node knows: the registry's members, and who sent heartbeats lately."""

import math

from ..common.records import Record
from .known_versions import KnownVersions
from .messages import Heartbeat, RegistryUpdate

ALIVE_S = 1.2  # a node counts as alive this long after its last heartbeat
ROWS_KEPT = 4096
FORGET_S = 60.0  # beyond `ROWS_KEPT` rows, nodes that have been silent this long are forgotten


class NodeDescription(Record, frozen=True, kw_only=True):
    """What a node's last heartbeat told of it; the fields are those of `Heartbeat`."""

    zone: str
    kind: str
    name: str
    control_address: str
    incarnation: int


class Roster:
    """Who belongs to the cluster, and who is alive.

    Attributes:
        node_id: This node; it is always alive.
        registry: The newest update of the registry. Invariant: its version never falls.
        registry_versions: When its versions were learned.
        last_heartbeat: When each node's last heartbeat came, by this node's monotonic clock, in seconds.
        nodes: What these heartbeats told of their senders.
    """

    def __init__(self, *, node_id: str) -> None:
        self.node_id = node_id
        self.registry = RegistryUpdate()
        self.registry_versions = KnownVersions()
        self.last_heartbeat: dict[str, float] = {}
        self.nodes: dict[str, NodeDescription] = {}

    def apply_registry(self, *, registry: RegistryUpdate, now: float) -> bool:
        """Take what the registry holds; whether it is newer than what is known."""
        if registry.version <= self.registry.version:
            return False
        self.registry = registry
        self.registry_versions.learn(version=registry.version, now=now)
        return True

    def on_heartbeat(self, *, heartbeat: Heartbeat, now: float) -> None:
        """Take note of a node's heartbeat."""
        self.last_heartbeat[heartbeat.node_id] = now
        self.nodes[heartbeat.node_id] = NodeDescription(
            zone=heartbeat.zone,
            kind=heartbeat.kind,
            name=heartbeat.name,
            control_address=heartbeat.control_address,
            incarnation=heartbeat.incarnation,
        )

    def forget_silent(self, *, now: float) -> list[str]:
        """Forget nodes that have long been silent, should there be many; who was forgotten."""
        if len(self.last_heartbeat) <= ROWS_KEPT:
            return []
        silent = [node_id for node_id, at in self.last_heartbeat.items() if now - at > FORGET_S]
        for node_id in silent:
            del self.last_heartbeat[node_id], self.nodes[node_id]
        return silent

    def is_alive(self, *, node_id: str, now: float) -> bool:
        """Whether a node's heartbeat came lately."""
        return node_id == self.node_id or now - self.last_heartbeat.get(node_id, -math.inf) < ALIVE_S

    def alive_senders(self, *, now: float) -> list[str]:
        """Nodes whose heartbeats came lately, in the order of their first ones."""
        return [node_id for node_id, at in self.last_heartbeat.items() if now - at < ALIVE_S]

    def alive_of_kind(self, *, kind: str, now: float) -> list[str]:
        """The same of one kind of nodes, sorted."""
        return sorted(node_id for node_id in self.alive_senders(now=now) if self.nodes[node_id].kind == kind)

    def cores(self, *, now: float) -> list[str]:
        """All core nodes known, sorted: the members and those that sent heartbeats lately."""
        return sorted({*self.registry.members, *self.alive_of_kind(kind="core", now=now)})

    def zone(self, *, node_id: str) -> str:
        """The zone of a node; empty: not known."""
        known = self.registry.members.get(node_id) or self.nodes.get(node_id)
        return known.zone if known is not None else ""

    def control_address(self, *, node_id: str) -> str:
        """Where a core's control interface is reached; empty: not known."""
        description = self.nodes.get(node_id)
        if description is not None and description.control_address:
            return description.control_address
        member = self.registry.members.get(node_id)
        return member.control_address if member is not None else ""
