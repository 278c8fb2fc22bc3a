"""Heartbeats between nodes, their acknowledgements, and the cluster updates that nodes pass on to each other."""

from typing import Any, ClassVar

import msgspec
from msgspec import UNSET, UnsetType

from ..cluster_state.config_delta import ConfigDelta
from ..cluster_state.registry_rows import CoreMember, MinionRow
from ..common.records import Record
from ..replication.epoch import Epoch
from ..transport.message import Message
from ..transport.message_kinds import Kind


class RegistryUpdate(Record, frozen=True, kw_only=True, rename={"version": "mods", "evacuated_zones": "evac"}):
    """The registry's part of a cluster update.

    Attributes:
        version: The registry's version; -1: nothing is known of the registry yet.
        evacuated_zones: Zones in which nothing may start, sorted.
        members: The core nodes, by node id, as the registry describes them.
    """

    version: int = -1
    evacuated_zones: list[str] = msgspec.field(default_factory=list)
    members: dict[str, CoreMember] = msgspec.field(default_factory=dict)


class ClusterUpdate(
    Message,
    frozen=True,
    kw_only=True,
    rename={"config": "conf", "config_delta": "delta", "registry": "reg", "epochs": "eps"},
):
    """What a node lacks of the cluster's state, as far as the sender knows; any of the fields may be absent.

    Attributes:
        config: The whole configuration.
        config_delta: The change from an older version of the configuration.
        registry: The registry's members and evacuated zones.
        epochs: Epochs with the number of their group.
    """

    KIND: ClassVar[Kind] = Kind.CLUSTER_UPDATE

    config: dict[str, Any] | UnsetType = UNSET
    config_delta: ConfigDelta | UnsetType = UNSET
    registry: RegistryUpdate | UnsetType = UNSET
    epochs: list[tuple[int, Epoch]] | UnsetType = UNSET

    @property
    def is_empty(self) -> bool:
        """Whether it tells nothing."""
        return self.config is UNSET and self.config_delta is UNSET and self.registry is UNSET and self.epochs is UNSET


class VersionsHeld(
    Record,
    frozen=True,
    kw_only=True,
    rename={
        "config_version": "conf",
        "registry_version": "mods",
        "epoch_numbers": "ep",
        "link_mbps": "mbps",
        "wants_full_config": "whole",
        "has_lost_updates": "lost",
    },
):
    """What a node holds of the cluster's state, as its heartbeats tell.

    Attributes:
        config_version: The version of its configuration; 0: none, or one that is known to be wrong.
        registry_version: The version of the registry that it knows; -1: none.
        epoch_numbers: The number of the newest epoch that it knows, by group id.
        link_mbps: The bandwidth of its link, in Mbit/s.
        wants_full_config: Whether the receiver is the one that should send the whole configuration if need be.
        has_lost_updates: Whether updates that the receiver sent may have got lost.
    """

    config_version: int
    registry_version: int
    epoch_numbers: dict[str, int]
    link_mbps: float = 1000.0
    wants_full_config: bool = True
    has_lost_updates: bool = False


class Heartbeat(
    Message,
    frozen=True,
    kw_only=True,
    rename={
        "node_id": "u",
        "zone": "site",
        "control_address": "ctl",
        "sent_at": "t",
        "versions": "have",
        "minions_digest": "dig",
        "controller_echo": "echo",
        "owned_minions": "own",
    },
):
    """A node tells that it is alive, and what it holds of the cluster's state.

    Attributes:
        node_id: The sender.
        zone: The sender's failure domain.
        kind: "core" or "edge".
        name: The sender's name in its settings.
        control_address: Where minions and the operator reach a core; empty: nowhere.
        incarnation: Tells the lives of the sender apart.
        sent_at: The sender's own monotonic time in seconds; the acknowledgement gives it back.
        versions: What the sender holds of the cluster's state.
        minions_digest: Of a core: the digest of the minions that its agent owns.
        controller_echo: Of a core: epoch and time of the controller's last acknowledgement; empty: there was none.
        owned_minions: Of a core, if the controller asked for it: all minions that its agent owns, with their fences.
    """

    KIND: ClassVar[Kind] = Kind.HEARTBEAT

    node_id: str
    zone: str
    kind: str
    name: str
    control_address: str
    incarnation: int
    sent_at: float
    versions: VersionsHeld
    minions_digest: list[int] | UnsetType = UNSET
    controller_echo: tuple[int | float | None, ...] | UnsetType = UNSET
    owned_minions: list[tuple[str, int]] | UnsetType = UNSET


class ContactProof(Record, frozen=True, kw_only=True, rename={"age_s": "age", "epoch": "by", "config_version": "conf"}):
    """The part of an answer that tells how new the sender's configuration is; empty while that is not known.

    Attributes:
        age_s: Seconds since the primary of group 0 proved that the configuration was its newest.
        epoch: The number of that primary's epoch.
        config_version: The version of the sender's configuration.
    """

    age_s: float | UnsetType = UNSET
    epoch: int | UnsetType = UNSET
    config_version: int | UnsetType = UNSET


class OwnedMinion(Record, frozen=True, kw_only=True, array_like=True):
    """A minion that the controller gives to an agent.

    Attributes:
        minion_id: The minion.
        fence: The fencing token of this ownership; it rises with each owner.
        row: The registry's row of the minion.
    """

    minion_id: str
    fence: int
    row: MinionRow


class HeartbeatAck(
    Message,
    frozen=True,
    kw_only=True,
    rename={
        "sent_at": "t",
        "proof_age_s": "age",
        "proof_epoch": "by",
        "config_version": "conf",
        "registry_version": "mods",
        "update": "news",
        "relays": "via",
        "is_full": "full",
        "grants_lease": "lease",
        "wants_owned_minions": "list",
        "minions_to_release": "shed",
        "owned": "own",
        "disowned": "dis",
        "controller_time": "at",
        "live_members": "up",
    },
):
    """The acknowledgement of a heartbeat; what does not apply is absent.

    The controller also sends `owned` by itself, without a heartbeat to acknowledge.

    Attributes:
        sent_at: When the heartbeat was sent, by its sender's clock; absent: no heartbeat is acknowledged.
        proof_age_s: As in `ContactProof`.
        proof_epoch: As in `ContactProof`.
        config_version: The version of the sender's configuration.
        registry_version: The registry's version that the sender knows.
        update: What the receiver lacks.
        relays: Of a core, to an edge: the edges that should feed it.
        is_full: Of a relay: it feeds as many edges as it can, the receiver is to ask another.
        grants_lease: Of the controller: the receiver's agent may act for `AGENT_LEASE_S` from `sent_at` on.
        wants_owned_minions: Of the controller: the next heartbeat is to list the minions that the agent owns.
        minions_to_release: Of the controller: minions that should move to other agents.
        owned: Of the controller: minions that the agent owns from now on.
        disowned: Of the controller: minions that the agent does not own.
        controller_time: Of the controller: its monotonic time, which the next heartbeat gives back.
        live_members: Of the controller: the members that it counts as alive.
    """

    KIND: ClassVar[Kind] = Kind.HEARTBEAT_ACK

    sent_at: float | UnsetType = UNSET
    proof_age_s: float | UnsetType = UNSET
    proof_epoch: int | UnsetType = UNSET
    config_version: int | UnsetType = UNSET
    registry_version: int | UnsetType = UNSET
    update: ClusterUpdate | UnsetType = UNSET
    relays: list[str] | UnsetType = UNSET
    is_full: bool | UnsetType = UNSET
    grants_lease: bool | UnsetType = UNSET
    wants_owned_minions: bool | UnsetType = UNSET
    minions_to_release: list[str] | UnsetType = UNSET
    owned: list[OwnedMinion] | UnsetType = UNSET
    disowned: list[str] | UnsetType = UNSET
    controller_time: float | UnsetType = UNSET
    live_members: list[str] | UnsetType = UNSET

    @property
    def proof(self) -> ContactProof:
        """How new the sender's configuration is."""
        return ContactProof(age_s=self.proof_age_s, epoch=self.proof_epoch, config_version=self.config_version)
