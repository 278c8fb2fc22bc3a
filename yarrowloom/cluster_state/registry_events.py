"""Events of the registry: each change of group 0's state, as its log holds them."""

from typing import Any

from msgspec import UNSET, UnsetType

from ..common.records import Record, TaggedDecoder
from .config_delta import ConfigDelta
from .registry_rows import CoreMember, MinionDescription


class RegistryEventRecord(Record, frozen=True, kw_only=True, tag_field="t"):
    """Base of all events of the registry."""


class ConfigAccepted(
    RegistryEventRecord,
    frozen=True,
    kw_only=True,
    tag="conf",
    rename={"delta": "d", "config": "doc", "request_digest": "h"},
):
    """An operator's configuration became the current one.

    Attributes:
        request_digest: Names the request that made it, so that its repeat is recognised.
        delta: The change to the configuration before, where that is small.
        config: The whole configuration. Invariant: one of `delta` and `config` is set.
    """

    request_digest: str
    delta: ConfigDelta | UnsetType = UNSET
    config: dict[str, Any] | UnsetType = UNSET


class ZoneEvacuationChanged(
    RegistryEventRecord, frozen=True, kw_only=True, tag="evac", rename={"zone": "site", "is_evacuated": "on"}
):
    """An operator closed a zone for new work (`is_evacuated`), or opened it again."""

    zone: str
    is_evacuated: bool


class CoreMemberAdded(
    RegistryEventRecord, frozen=True, kw_only=True, tag="enrol", rename={"node_id": "uid", "member": "info"}
):
    """A core node joined the cluster."""

    node_id: str
    member: CoreMember


class CoreMemberRemoved(RegistryEventRecord, frozen=True, kw_only=True, tag="drop", rename={"node_id": "uid"}):
    """A core node is no longer part of the cluster; a node id that isn't known is passed over."""

    node_id: str


class MinionAssignment(Record, frozen=True, kw_only=True, array_like=True):
    """One minion's new owner. Encoded as an array of its fields, in this order."""

    minion_id: str
    owner: str
    description: MinionDescription = MinionDescription()


class MinionsAssigned(RegistryEventRecord, frozen=True, kw_only=True, tag="own", rename={"assignments": "ms"}):
    """Minions got owners; each assignment brings a new fencing token."""

    assignments: list[MinionAssignment]


class MinionRemoved(
    RegistryEventRecord, frozen=True, kw_only=True, tag="gone", rename={"minion_id": "m", "fence": "f"}
):
    """An agent reported that a minion ended. Not heeded if the minion's ownership is newer than `fence`."""

    minion_id: str
    fence: int


RegistryEvent = (
    ConfigAccepted | ZoneEvacuationChanged | CoreMemberAdded | CoreMemberRemoved | MinionsAssigned | MinionRemoved
)


REGISTRY_EVENTS: TaggedDecoder[RegistryEvent] = TaggedDecoder(
    ConfigAccepted,
    ZoneEvacuationChanged,
    CoreMemberAdded,
    CoreMemberRemoved,
    MinionsAssigned,
    MinionRemoved,
)


def decode_registry_event(document: object) -> RegistryEvent:
    """The event that a document of the log stands for.

    Raises:
        MalformedRecordError: The kind is unknown, or a field is missing or of another type.

    >>> decode_registry_event({"t": "drop", "uid": "10.0.0.1:7000#1"})
    CoreMemberRemoved(node_id='10.0.0.1:7000#1')
    """
    return REGISTRY_EVENTS.decode(document)
