"""Capacity reports for tests of the scheduler."""

from typing import Any

from yarrowloom.agent.messages import FreeCapacity
from yarrowloom.common.records import decode
from yarrowloom.scheduling.capacity import ClusterCapacity


def report(capacity: ClusterCapacity, *rows: list[Any], closed: list[str] | None = None) -> None:
    """Agent "a" reports rows of minion, millicores, megabytes and accelerators that are free, and closed minions."""
    capacity.apply_report(
        node_id="a", rows=[decode(row, into=FreeCapacity) for row in rows], closed=closed or [], now=1.0
    )
