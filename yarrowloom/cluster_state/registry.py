"""The state of group 0, changed by its events alone: configuration, evacuated zones, core members, minions."""

from typing import Any, assert_never

import orjson
from msgspec import UNSET, UnsetType

from ..common.errors import Finding, InvalidInputError, StaleVersionError, UnknownOutcomeError
from ..common.records import Record, decode
from . import config as config_rules
from .config_delta import ConfigDocument, apply_delta, diff, is_small
from .minion_ownership import MinionOwnership
from .operator_requests import (
    AcceptedChanges,
    AcceptedChangesSnapshot,
    ZoneVersions,
    ZoneVersionsSnapshot,
    parse_base_version,
    request_digest,
    requested_version,
)
from .registry_events import (
    ConfigAccepted,
    CoreMemberAdded,
    CoreMemberRemoved,
    MinionRemoved,
    MinionsAssigned,
    RegistryEvent,
    ZoneEvacuationChanged,
    decode_registry_event,
)
from .registry_rows import CoreMember, MinionRow


class RegistrySnapshot(
    Record,
    frozen=True,
    kw_only=True,
    rename={
        "config": "conf",
        "accepted_changes": "changes",
        "evacuated_zones": "evac",
        "zone_versions": "zones",
        "registry_version": "mods",
    },
):
    """The stored form of the registry.

    Attributes:
        accepted_changes: Unset in a snapshot of a release that did not keep it yet.
        zone_versions: Unset in a snapshot of a release that did not keep it yet.
    """

    config: dict[str, Any] | None
    accepted_changes: AcceptedChangesSnapshot | UnsetType = UNSET
    evacuated_zones: list[str]
    zone_versions: ZoneVersionsSnapshot | UnsetType = UNSET
    members: dict[str, CoreMember]
    minions: dict[str, MinionRow]
    fence: int
    registry_version: int


class Registry:
    """The reducer of group 0: its state changes by `apply` and `load` only.

    Attributes:
        config: The current configuration as published, None before the first. Its version only rises.
        accepted_changes: The configuration requests that were accepted.
        zone_versions: The evacuation requests that were accepted.
        evacuated_zones: Zones closed for new work, sorted.
        members: By node id, the core members.
        minions: By minion id, its row; so a minion has at most one owner.
        ownership: An index over `minions`, which follows them.
        fence: The highest fencing token given out.
        registry_version: Rises with each change of members, and with each evacuation request that is accepted.
    """

    def __init__(self) -> None:
        self.config: ConfigDocument | None = None
        self.accepted_changes = AcceptedChanges()
        self.zone_versions = ZoneVersions()
        self.evacuated_zones: list[str] = []
        self.members: dict[str, CoreMember] = {}
        self.minions: dict[str, MinionRow] = {}
        self.ownership = MinionOwnership(rows=self.minions)
        self.fence = 0
        self.registry_version = 0

    @property
    def config_version(self) -> int:
        """The current configuration's version, 0 before the first."""
        return int(self.config["config-version"]) if self.config else 0

    # -- snapshots

    def dump(self) -> dict[str, Any]:
        """All of it as plain data, the stored form of a `RegistrySnapshot`."""
        document: dict[str, Any] = RegistrySnapshot(
            config=self.config,
            accepted_changes=self.accepted_changes.snapshot(),
            evacuated_zones=self.evacuated_zones,
            zone_versions=self.zone_versions.snapshot(),
            members=self.members,
            minions=self.minions,
            fence=self.fence,
            registry_version=self.registry_version,
        ).document()
        return document

    def load(self, document: object) -> None:
        """Replace all of it by what `dump` gave.

        Raises:
            MalformedRecordError: A field is missing or of another type; the state is then as it was.
        """
        snapshot = decode(document, into=RegistrySnapshot)
        self.config = snapshot.config
        self.evacuated_zones = snapshot.evacuated_zones
        self.members = snapshot.members
        self.minions = snapshot.minions
        self.fence = snapshot.fence
        self.registry_version = snapshot.registry_version
        self.accepted_changes = self._accepted_changes_of(snapshot=snapshot)
        self.zone_versions = self._zone_versions_of(snapshot=snapshot)
        self.ownership = MinionOwnership(rows=self.minions)

    def _accepted_changes_of(self, *, snapshot: RegistrySnapshot) -> AcceptedChanges:
        stored = snapshot.accepted_changes
        if stored is UNSET:  # an earlier release's: nothing is known of requests up to this version
            stored = AcceptedChangesSnapshot(forgotten_up_to=self.config_version, digests=[])
        return AcceptedChanges.from_snapshot(snapshot=stored)

    def _zone_versions_of(self, *, snapshot: RegistrySnapshot) -> ZoneVersions:
        stored = snapshot.zone_versions
        if stored is UNSET:  # an earlier release's: nothing is known of requests up to this version
            stored = ZoneVersionsSnapshot(forgotten_up_to=self.registry_version, versions=[])
        return ZoneVersions.from_snapshot(snapshot=stored)

    # -- events

    def apply(self, event: RegistryEvent | dict[str, Any]) -> None:
        """Apply an event: a record, or a document as the log holds it.

        Raises:
            MalformedRecordError: It isn't an event of the registry; the state is then as it was.
        """
        self.apply_event(decode_registry_event(event) if isinstance(event, dict) else event)

    def apply_event(self, event: RegistryEvent) -> None:
        """Apply one event."""
        match event:
            case ConfigAccepted():
                self._accept_config(event)
            case ZoneEvacuationChanged():
                self._change_evacuation(event)
            case CoreMemberAdded():
                self.registry_version += 1
                self.members[event.node_id] = event.member
            case CoreMemberRemoved():
                self.registry_version += 1
                self.members.pop(event.node_id, None)
            case MinionsAssigned():
                self._assign_minions(event)
            case MinionRemoved():
                self._remove_minion(event)
            case _:
                assert_never(event)

    def _accept_config(self, event: ConfigAccepted) -> None:
        if event.delta is not UNSET:
            assert self.config is not None, "a change to a configuration follows a whole one"
            self.config = apply_delta(document=self.config, delta=event.delta)
        elif event.config is not UNSET:
            self.config = event.config
        self.accepted_changes.add(version=self.config_version, digest=event.request_digest)

    def _change_evacuation(self, event: ZoneEvacuationChanged) -> None:
        self.registry_version += 1
        others = set(self.evacuated_zones) - {event.zone}
        self.evacuated_zones = sorted({*others, event.zone} if event.is_evacuated else others)
        self.zone_versions.add(key=event.zone, version=self.registry_version)

    def _assign_minions(self, event: MinionsAssigned) -> None:
        for assignment in event.assignments:
            self.fence += 1
            previous = self.minions.get(assignment.minion_id)
            row = MinionRow.assigned(
                owner=assignment.owner, fence=self.fence, description=assignment.description, previous=previous
            )
            self.minions[assignment.minion_id] = row
            self.ownership.assign(minion_id=assignment.minion_id, row=row, previous=previous)

    def _remove_minion(self, event: MinionRemoved) -> None:
        row = self.minions.get(event.minion_id)
        if row is not None and row.fence <= event.fence:
            del self.minions[event.minion_id]
            self.ownership.remove(minion_id=event.minion_id, row=row)

    # -- operator requests; these only read the state, and return the event that is to be committed

    def evaluate_evacuation(self, *, zone: str, is_evacuated: bool, known_version: int) -> ZoneEvacuationChanged:
        """The event that an evacuation request makes; the state stays as it is.

        A request that asks for the present state makes an event too, since it must fence what was sent before it.

        Args:
            zone: The zone that the request names.
            is_evacuated: The state that it asks for.
            known_version: The registry's version known to the node that received the request before it was sent.

        Raises:
            UnknownOutcomeError: The request would change the zone's state, but was perhaps sent before its node knew of
                the zone's last request: it may be a copy that was delayed.
        """
        changes_state = (zone in self.evacuated_zones) is not is_evacuated
        if changes_state and known_version < self.zone_versions.last_version(key=zone):
            raise UnknownOutcomeError(text=f"another order for {zone} came meanwhile")
        return ZoneEvacuationChanged(zone=zone, is_evacuated=is_evacuated)

    def evaluate_config_request(self, *, method: str, if_match: str | None, body: bytes) -> ConfigAccepted | None:
        """The event that a PUT or PATCH of the configuration makes; the state stays as it is.

        Versions are unique and rise, so a request can only have been accepted under its own version: with the digest
        that `accepted_changes` holds for that. Below what that memory knows nobody can tell, and neither a
        confirmation nor a refusal would be right.

        Returns:
            None if this very request was accepted before.

        Raises:
            InvalidInputError: The request or the configuration that it would make is malformed.
            StaleVersionError: It builds on a version that isn't the current one.
            UnknownOutcomeError: Whether it was accepted before isn't known any more.
        """
        base_version = parse_base_version(if_match=if_match)
        digest = request_digest(base_version=base_version, method=method, body=body)
        try:
            document = orjson.loads(body)
        except orjson.JSONDecodeError as err:
            raise InvalidInputError(text="unreadable", findings=[Finding(place="(body)", text=str(err))]) from err
        version = requested_version(document=document)
        if self.accepted_changes.was_accepted(version=version, digest=digest):
            return None
        self._check_base_version(base_version=base_version, version=version)
        if method == "PATCH":
            if self.config is None:
                raise StaleVersionError(text="there is no configuration yet")
            document = config_rules.patch(base=self.config, change=document)
        return self._config_event(document=config_rules.check(document=document), digest=digest)

    def _check_base_version(self, *, base_version: int, version: int) -> None:
        """Raise if a request that wants to make `version` doesn't build on the current version."""
        if base_version == self.config_version:
            return
        if version > base_version and self.accepted_changes.may_be_forgotten(version=version):
            raise UnknownOutcomeError(
                text=f"orders up to version {self.accepted_changes.forgotten_up_to} aren't known any more"
            )
        raise StaleVersionError(text=f"version {self.config_version} is current")

    def _config_event(self, *, document: ConfigDocument, digest: str) -> ConfigAccepted:
        """The event that makes a valid configuration the current one; raises if its version doesn't rise."""
        if document["config-version"] <= self.config_version:
            raise InvalidInputError(
                text="version does not rise",
                findings=[Finding(place="config-version", text=f"not above {self.config_version}")],
            )
        if self.config is not None:
            delta = diff(old=self.config, new=document)
            if is_small(delta=delta, document=document):
                return ConfigAccepted(delta=delta, request_digest=digest)
        return ConfigAccepted(config=document, request_digest=digest)
