"""Rows of the registry's state: core members, and minions with their owners."""

from typing import NamedTuple

from msgspec import UNSET, UnsetType

from ..common.records import Record


class PlacementDomain(NamedTuple):
    """Where a minion stands: its zone, and its rack within that ("" where it names none)."""

    zone: str
    rack: str


def rack_of(*, labels: list[str]) -> str:
    """The rack that a minion's labels name: the second label, as the first names the minion's kind.

    >>> rack_of(labels=["gpu", "r7"]), rack_of(labels=["gpu"])
    ('r7', '')
    """
    return labels[1] if len(labels) > 1 else ""


class CoreMember(Record, frozen=True, kw_only=True, rename={"zone": "site", "control_address": "ctl"}):
    """A core node that takes part in the cluster.

    Attributes:
        zone: The zone of the node's settings.
        name: The node's name in its settings.
        control_address: HOST:PORT of the node's control listener.
    """

    zone: str
    name: str
    control_address: str


class MinionDescription(Record, frozen=True, kw_only=True, rename={"zone": "site", "service": "svc"}):
    """What a minion's heartbeat says of it; an unset field says nothing."""

    zone: str | UnsetType = UNSET
    service: str | UnsetType = UNSET
    labels: list[str] | UnsetType = UNSET

    @property
    def placement_domain(self) -> PlacementDomain:
        """Where the minion stands."""
        zone = "" if self.zone is UNSET else self.zone
        return PlacementDomain(zone, "" if self.labels is UNSET else rack_of(labels=self.labels))


class MinionRow(
    MinionDescription,
    frozen=True,
    kw_only=True,
    rename={"zone": "site", "service": "svc", "owner": "o", "fence": "f"},
):
    """A minion in the registry.

    Attributes:
        owner: Node id of the core node whose agent alone may use the minion.
        fence: Fencing token of this ownership; a later one is higher.
    """

    owner: str
    fence: int

    @classmethod
    def assigned(
        cls, *, owner: str, fence: int, description: MinionDescription, previous: MinionDescription | None
    ) -> "MinionRow":
        """The row of a new ownership; what `description` doesn't say stays as in the previous row."""
        known = previous or MinionDescription()
        return cls(
            zone=known.zone if description.zone is UNSET else description.zone,
            service=known.service if description.service is UNSET else description.service,
            labels=known.labels if description.labels is UNSET else description.labels,
            owner=owner,
            fence=fence,
        )
