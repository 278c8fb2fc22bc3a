"""When a node sends heartbeats, to whom, and what it concludes from their acknowledgements."""

import math
from typing import Protocol

import msgspec
from msgspec import UNSET

from ..common.settings import NodeSettings
from ..replication.epoch import addr_of
from ..transport.message import Message
from .config_dissemination import ConfigDissemination
from .config_freshness import Freshness
from .epochs import KnownEpochs
from .hash_ring import successors
from .messages import ContactProof, Heartbeat, HeartbeatAck
from .roster import Roster

HEARTBEAT_S = 0.25  # between the heartbeats of a node
HASTY_HEARTBEAT_S = 0.1  # the same while the node lacks updates that others have
CORE_WATCHERS = 4  # ring successors to which a core sends its heartbeats
EDGE_WATCHERS = 2  # the same of an edge
PROBES = 2  # core nodes asked besides the usual ones, in turn, while no answer proves contact with a primary
NO_ACK_S = 1.0  # without any acknowledgement for this long, seeds and all other nodes known are asked too
FULL_CONFIG_S = 1.5  # a node that was asked for the whole configuration and has not sent it by then is passed over


class HeartbeatEnvironment(Protocol):
    """What heartbeats need of their node."""

    now: float
    settings: NodeSettings
    node_id: str
    kind: str
    roster: Roster
    epochs: KnownEpochs
    dissemination: ConfigDissemination
    freshness: Freshness

    def send_message(self, *, node_id: str, message: Message) -> None:
        """Send a message to another node."""

    def heartbeat(self) -> Heartbeat:
        """The heartbeat that is due now."""

    def heartbeat_targets(self) -> list[str]:
        """Who gets it."""

    def confirm(self, *, sent_at: float, proof: ContactProof) -> bool:
        """Take the proof of an acknowledgement; whether its sender is in touch with group 0's primary."""


class Heartbeats:
    """Sends a node's heartbeats.

    Attributes:
        last_sent: When heartbeats were sent last, by the monotonic clock in seconds.
        last_ack: When any node last acknowledged one, in touch with group 0's primary or not.
        last_ack_in_touch: By address: when a node that was in touch last acknowledged one.
        updates_lost_from: Addresses of nodes whose updates may have got lost since the last heartbeats.
        full_config_source: The node that is to send the whole configuration if need be; empty: none was chosen yet.
    """

    def __init__(self, *, environment: HeartbeatEnvironment) -> None:
        self.environment = environment
        self.last_sent = -math.inf
        self.last_ack = -math.inf
        self.last_ack_in_touch: dict[str, float] = {}
        self.updates_lost_from: set[str] = set()
        self.full_config_source = ""

    # -- whom to send to

    def seeds(self) -> list[str]:
        """Node ids good enough to reach the seeds: only the address in them counts."""
        settings = self.environment.settings
        return [f"{seed.rsplit(':', 1)[0]}:{settings.ports[0]}#?" for seed in settings.seeds]

    def targets(self) -> list[str]:
        """Who gets this node's heartbeats: its successors on the ring, and of cores group 0's primary.

        While nobody answers or no members are known, all others too: the address of a primary may answer that lost
        its disk. While those that answer can't prove contact with a primary, a few of the others in turn.
        """
        node = self.environment
        members = node.roster.registry.members
        count = CORE_WATCHERS if node.kind == "core" else EDGE_WATCHERS
        targets = successors(node_id=node.node_id, among=list(members), count=count)
        primary = node.epochs.primary(group_id=0)
        if node.kind == "core" and primary is not None and primary[0] != node.node_id:
            targets.append(primary[0])
        if node.now - self.last_ack > NO_ACK_S or not members:
            targets += self._others(known=targets)
        else:
            targets += self.probes(known=targets)
        return list(dict.fromkeys(targets))

    def probes(self, *, known: list[str]) -> list[str]:
        """A few nodes besides those known, in turn, while the proof of contact with a primary is old.

        They are few because a change of primary ages all proofs at once, and must not have every node ask every other.
        """
        node = self.environment
        if node.freshness.age(now=node.now) < node.freshness.probe_s:
            return []
        others = [node_id for node_id in dict.fromkeys(self._others(known=known)) if node_id not in known]
        first = int(node.now / HEARTBEAT_S) * PROBES
        return [others[(first + i) % len(others)] for i in range(min(PROBES, len(others)))]

    def _others(self, *, known: list[str]) -> list[str]:
        """Whoever else may know of the primary: seeds, members, all that epochs name."""
        node = self.environment
        addresses = {addr_of(node_id=node_id) for node_id in (*known, node.node_id)}
        seeds = [seed for seed in self.seeds() if addr_of(node_id=seed) not in addresses]
        others = (*node.roster.registry.members, *node.epochs.node_ids())
        return seeds + [node_id for node_id in others if node_id != node.node_id]

    # -- sending

    def send_soon(self) -> None:
        """Send the next heartbeats without waiting for their time."""
        self.last_sent = -math.inf

    def send_due(self) -> None:
        """Send heartbeats if their time has come.

        One receiver at a time is asked for the whole configuration, should it be needed; a receiver is told if updates
        of its may have got lost.
        """
        node = self.environment
        if node.now - self.last_sent < self._period_s():
            return
        self.last_sent = node.now
        heartbeat = node.heartbeat()
        targets = node.heartbeat_targets()
        self._choose_full_config_source(targets=targets)
        for node_id in targets:
            versions = msgspec.structs.replace(
                heartbeat.versions,
                wants_full_config=node_id == self.full_config_source,
                has_lost_updates=addr_of(node_id=node_id) in self.updates_lost_from,
            )
            node.send_message(node_id=node_id, message=msgspec.structs.replace(heartbeat, versions=versions))
        self.updates_lost_from.clear()

    def _period_s(self) -> float:
        behind_since = self.environment.dissemination.behind_since
        if behind_since is None:
            is_hasty = bool(self.updates_lost_from)
        else:
            is_hasty = self.environment.now - behind_since < FULL_CONFIG_S
        return HASTY_HEARTBEAT_S if is_hasty else HEARTBEAT_S

    def _choose_full_config_source(self, *, targets: list[str]) -> None:
        """Pass over a source that is not in touch any more, or did not send the configuration in time."""
        now, dissemination = self.environment.now, self.environment.dissemination
        in_touch = [node_id for node_id in targets if self._was_in_touch(node_id=node_id)] or targets
        behind_since = dissemination.behind_since
        is_overdue = behind_since is not None and now - behind_since > FULL_CONFIG_S
        if not in_touch or (self.full_config_source in in_touch and not is_overdue):
            return
        is_known = self.full_config_source in in_touch
        position = in_touch.index(self.full_config_source) + 1 if is_known else 0
        self.full_config_source = in_touch[position % len(in_touch)]
        if is_overdue:
            dissemination.behind_since = now

    def _was_in_touch(self, *, node_id: str) -> bool:
        acknowledged_at = self.last_ack_in_touch.get(addr_of(node_id=node_id), -math.inf)
        return self.environment.now - acknowledged_at < FULL_CONFIG_S

    # -- acknowledgements

    def on_ack(self, *, node_id: str, ack: HeartbeatAck) -> bool:
        """A node acknowledged a heartbeat and tells of its versions.

        Its update came before on the same way, or got lost: the next heartbeat says so, and soon.

        Returns:
            Whether it is in touch with group 0's primary: only such a node is asked for a whole configuration.
        """
        node, address = self.environment, addr_of(node_id=node_id)
        assert ack.sent_at is not UNSET
        in_touch = node.confirm(sent_at=ack.sent_at, proof=ack.proof)
        if in_touch:
            self.last_ack_in_touch[address] = node.now
        has_newer_config = ack.config_version is not UNSET and ack.config_version > node.dissemination.proven_version
        has_newer_registry = ack.registry_version is not UNSET and ack.registry_version > node.roster.registry.version
        if has_newer_config and node.dissemination.behind_since is None:
            node.dissemination.behind_since = node.now
        if has_newer_config or has_newer_registry:
            self.updates_lost_from.add(address)
        return in_touch

    def on_sequence_gap(self, *, node_id: str) -> None:
        """Frames of another node got lost, perhaps updates: the next heartbeat tells it."""
        self.updates_lost_from.add(addr_of(node_id=node_id))
