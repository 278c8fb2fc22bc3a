"""Cluster updates from node to node: each node gets what its last heartbeat shows that it lacks, and passes it on."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from msgspec import UNSET, UnsetType

from ..cluster_state.config_delta import ConfigDelta, ConfigHistory
from ..cluster_state.routing_table import RoutingTable
from ..common.log import Log
from ..common.settings import NodeSettings
from ..replication.epoch import Epoch
from ..transport.message import Message
from .epochs import KnownEpochs
from .messages import ClusterUpdate, Heartbeat, RegistryUpdate, VersionsHeld
from .roster import Roster

RESEND_S = 0.5  # an update that no heartbeat confirms within this time, and twice its own on the link, is sent again
MBIT_PER_BYTE = 8e-6


class DisseminationEnvironment(Protocol):
    """What the dissemination needs of its node."""

    now: float
    settings: NodeSettings
    log: Log
    roster: Roster
    epochs: KnownEpochs

    def send_message(self, *, node_id: str, message: Message) -> None:
        """Send a message to another node."""

    def learn(self, *, epochs: Sequence[tuple[int, Epoch]]) -> None:
        """Take note of epochs."""

    def configured(self) -> None:
        """A newer configuration is in force."""

    def send_heartbeats_soon(self) -> None:
        """Send the next heartbeats without waiting for their time."""


@dataclass(kw_only=True, slots=True)
class InFlight:
    """What was sent to a node and is not confirmed yet.

    Attributes:
        config_version: The configuration that was sent last; 0: none.
        config_resend_at: When it may be sent again, by the monotonic clock in seconds.
        registry_version: The registry's version that was sent last; -1: none.
        epoch_numbers: The numbers of the epochs that were sent last, by group id.
        resend_at: When registry and epochs may be sent again.
    """

    config_version: int = 0
    config_resend_at: float = 0.0
    registry_version: int = -1
    epoch_numbers: dict[int, int] = field(default_factory=dict)
    resend_at: float = 0.0


class ConfigDissemination:
    """The configuration in force at a node, and who has been sent what of the cluster's state.

    Attributes:
        config: The newest configuration, as JSON data; None: there is none yet.
        table: The same, prepared for look-ups. Invariant: its version never falls; it is that of the newest document
            in `history`.
        history: The configurations of late, from which changes are made.
        needs_full_config: Whether a change did not fit the configuration held here, so that all of it is wanted.
        behind_since: Since when others have told of a newer configuration; None: they do not.
        held_by: What nodes said in their last heartbeats that they hold.
        in_flight: What was sent to them since.
    """

    def __init__(self, *, environment: DisseminationEnvironment) -> None:
        self.environment = environment
        self.config: dict[str, Any] | None = None
        self.table: RoutingTable | None = None
        self.history = ConfigHistory()
        self.needs_full_config = False
        self.behind_since: float | None = None
        self.held_by: dict[str, VersionsHeld] = {}
        self.in_flight: dict[str, InFlight] = {}

    @property
    def config_version(self) -> int:
        """The version of the configuration in force here; 0: none yet."""
        return self.table.config_version if self.table is not None else 0

    @property
    def proven_version(self) -> int:
        """The same, but 0 also while the configuration is known to be out of date."""
        return 0 if self.needs_full_config or self.table is None else self.table.config_version

    def versions_held(self) -> VersionsHeld:
        """What this node holds of the cluster's state."""
        node = self.environment
        return VersionsHeld(
            config_version=self.proven_version,
            registry_version=node.roster.registry.version,
            epoch_numbers={str(group_id): number for group_id, number in node.epochs.numbers().items()},
            link_mbps=node.settings.link_mbps,
        )

    # -- to other nodes

    def on_heartbeat(self, *, heartbeat: Heartbeat, known_incarnation: int | None) -> None:
        """Take note of what a node holds; `known_incarnation`: its incarnation by the heartbeat before."""
        node_id, versions = heartbeat.node_id, heartbeat.versions
        before = self.held_by.get(node_id)
        if before is not None and (
            versions.has_lost_updates
            or versions.config_version < before.config_version
            or versions.registry_version < before.registry_version
            or known_incarnation != heartbeat.incarnation
        ):
            self.in_flight.pop(node_id, None)  # it got lost, or was refused
        self.held_by[node_id] = versions

    def forget(self, *, node_ids: list[str]) -> None:
        """Forget nodes."""
        for node_id in node_ids:
            self.held_by.pop(node_id, None)
            self.in_flight.pop(node_id, None)

    def update_for(self, *, node_id: str) -> ClusterUpdate:
        """What a node lacks by its last heartbeat and is not on its way to it; the caller sends it."""
        held, in_flight = self.held_by[node_id], self.in_flight.setdefault(node_id, InFlight())
        config, delta = self._config_for(held=held, in_flight=in_flight)
        may_resend = self.environment.now >= in_flight.resend_at
        registry = self._registry_for(held=held, in_flight=in_flight, may_resend=may_resend)
        epochs = self._epochs_for(held=held, in_flight=in_flight, may_resend=may_resend)
        return ClusterUpdate(config=config, config_delta=delta, registry=registry, epochs=epochs)

    def _config_for(
        self, *, held: VersionsHeld, in_flight: InFlight
    ) -> tuple[dict[str, Any] | UnsetType, ConfigDelta | UnsetType]:
        """The whole configuration or its change.

        The whole goes only to a node that asked this one for it and has nothing that the change could be made to.
        """
        now, newest = self.environment.now, self.config_version
        is_pending = in_flight.config_version >= newest and now < in_flight.config_resend_at
        if self.table is None or held.config_version >= newest or is_pending:
            return UNSET, UNSET
        delta = self.history.delta_since(config_version=held.config_version)
        if delta is None and not held.wants_full_config:
            return UNSET, UNSET
        size_bytes = self.history.newest_bytes if delta is None else 0
        link_mbps = min(self.environment.settings.link_mbps, held.link_mbps)
        in_flight.config_version = newest
        in_flight.config_resend_at = now + RESEND_S + 2 * size_bytes * MBIT_PER_BYTE / link_mbps
        if delta is not None:
            return UNSET, delta
        return self.config if self.config is not None else UNSET, UNSET

    def _registry_for(self, *, held: VersionsHeld, in_flight: InFlight, may_resend: bool) -> RegistryUpdate | UnsetType:
        registry = self.environment.roster.registry
        is_pending = in_flight.registry_version >= registry.version and not may_resend
        if held.registry_version >= registry.version or is_pending:
            return UNSET
        in_flight.registry_version = registry.version
        in_flight.resend_at = self.environment.now + RESEND_S
        return registry

    def _epochs_for(
        self, *, held: VersionsHeld, in_flight: InFlight, may_resend: bool
    ) -> list[tuple[int, Epoch]] | UnsetType:
        epochs = {
            group_id: epoch
            for group_id, epoch in self.environment.epochs.newer_than(numbers=held.epoch_numbers).items()
            if may_resend or in_flight.epoch_numbers.get(group_id, -1) < epoch.number
        }
        if not epochs:
            return UNSET
        in_flight.epoch_numbers.update({group_id: epoch.number for group_id, epoch in epochs.items()})
        in_flight.resend_at = self.environment.now + RESEND_S
        return list(epochs.items())

    def publish(self) -> None:
        """Send updates to the nodes that send their heartbeats here."""
        node = self.environment
        for node_id in node.roster.alive_senders(now=node.now):
            update = self.update_for(node_id=node_id)
            if not update.is_empty:
                node.send_message(node_id=node_id, message=update)

    # -- from other nodes

    def apply(self, *, update: ClusterUpdate) -> None:
        """Take what is newer than what is here, and pass it on down the tree."""
        is_newer = self._apply_config(update=update)
        if update.registry is not UNSET:
            node = self.environment
            is_newer = node.roster.apply_registry(registry=update.registry, now=node.now) or is_newer
        if update.epochs is not UNSET and update.epochs:
            before = self.environment.epochs.numbers()
            self.environment.learn(epochs=update.epochs)
            is_newer = is_newer or before != self.environment.epochs.numbers()
        if is_newer:
            self.publish()

    def _apply_config(self, *, update: ClusterUpdate) -> bool:
        is_newer = False
        if update.config is not UNSET and (
            self.table is None or update.config["config-version"] > self.table.config_version
        ):
            self._put_in_force(document=update.config)
            is_newer = True
        if update.config_delta is not UNSET:
            is_newer = self._apply_delta(delta=update.config_delta) or is_newer
        return is_newer

    def _apply_delta(self, *, delta: ConfigDelta) -> bool:
        if self.table is None or self.needs_full_config or delta.new_version <= self.table.config_version:
            return False
        document = self.history.apply_delta(delta=delta)
        if document is not None:
            self._put_in_force(document=document)
            return True
        self.needs_full_config = True
        self.environment.send_heartbeats_soon()
        self.environment.log.warn(
            "config-change-unfit",
            base=delta.base_version,
            to=delta.new_version,
            config_version=self.table.config_version,
        )
        return False

    def _put_in_force(self, *, document: dict[str, Any]) -> None:
        self.config = self.history.add(document=document)
        self.table = RoutingTable(document=self.config)
        self.needs_full_config, self.behind_since = False, None
        self.environment.log.info(
            "config-applied", config_version=self.table.config_version, routes=len(self.table.routes)
        )
        self.environment.configured()
