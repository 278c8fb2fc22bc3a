"""Requests to the primary of group 0: the bodies of calls for its registry."""

from ..common.records import Record


class ConfigChange(Record, frozen=True, kw_only=True, rename={"method": "m", "expected_version": "base"}):
    """The operator's PUT or PATCH of the configuration.

    Attributes:
        method: "PUT" or "PATCH".
        expected_version: The request's If-Match header, as it came.
        body: The request's body as text.
    """

    method: str
    expected_version: str | None
    body: str


class EvacuationChange(
    Record, frozen=True, kw_only=True, rename={"zone": "site", "is_on": "on", "known_version": "mods"}
):
    """The operator's order to evacuate a zone, or to end that.

    Attributes:
        zone: The zone.
        is_on: Whether nothing may start there from now on.
        known_version: The registry's version that the node which took the order knew before the order was sent.
    """

    zone: str
    is_on: bool
    known_version: int


class OwnerQuery(Record, frozen=True, kw_only=True, rename={"minion_id": "m", "zone": "site", "service": "svc"}):
    """Which agent owns a minion; one that is not known yet gets an owner.

    Attributes:
        minion_id: The minion.
        zone: Its zone, as its heartbeat tells.
        service: The backend that it serves.
        labels: Its labels.
    """

    minion_id: str
    zone: str
    service: str
    labels: list[str]


class MinionRemoval(Record, frozen=True, kw_only=True, rename={"minion_id": "m", "fence": "f"}):
    """A minion is no more, says its owner.

    Attributes:
        minion_id: The minion.
        fence: The fencing token of that ownership.
    """

    minion_id: str
    fence: int


class MinionDeparture(Record, frozen=True, kw_only=True, rename={"minion_id": "m"}):
    """Which agent owns a minion that says that it ends; it gets no new owner."""

    minion_id: str
