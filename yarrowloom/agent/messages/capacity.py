"""Capacity: reports to schedulers, summaries to other agents. See the package for what all messages have in common."""

from typing import ClassVar

from ...common.records import Record
from ...common.resources import Resources
from ...transport.message import Message
from ...transport.message_kinds import Kind
from .leases import FreeCapacity


class CapacityReport(
    Message,
    frozen=True,
    kw_only=True,
    rename={"node_id": "u", "group_id": "g", "open_minions": "x", "closed_minions": "shut"},
):
    """Agent to scheduler: what changed of its free capacity since its last report.

    Attributes:
        node_id: The agent's node.
        open_minions: Minions that take new work, with what is free on them.
        closed_minions: Minions, reported as open before, that take no new work now.
    """

    KIND: ClassVar[Kind] = Kind.CAPACITY_REPORT

    node_id: str
    group_id: int
    open_minions: list[FreeCapacity]
    closed_minions: list[str]


class SummaryRow(Record, frozen=True, kw_only=True, array_like=True):
    """One open minion in a summary.

    Attributes:
        millicores: Free thousandths of a core.
        memory_mb: Free megabytes.
        gpus: Free accelerators.
        capacity: All that the minion offers.
    """

    millicores: int
    memory_mb: int
    gpus: int
    labels: list[str]
    capacity: Resources
    minion_id: str


class CapacitySummary(Message, frozen=True, kw_only=True, rename={"node_id": "u", "minions_by_service": "v"}):
    """Agent to agent: the open minions with the most free capacity, by service.

    It serves to name a redirect, and may be out of date.
    """

    KIND: ClassVar[Kind] = Kind.CAPACITY_REPORT

    node_id: str
    minions_by_service: dict[str, list[SummaryRow]]


class CapacityRequest(Message, frozen=True, kw_only=True, rename={"group_id": "g"}):
    """Scheduler to agent: report all open minions."""

    KIND: ClassVar[Kind] = Kind.CAPACITY_REPORT_REQUEST

    group_id: int
