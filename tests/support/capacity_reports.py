"""Minions and their capacity reports, for tests of the scheduler."""

import random
from typing import Any

from yarrowloom.agent.messages import FreeCapacity
from yarrowloom.common.records import decode
from yarrowloom.common.resources import Resources
from yarrowloom.scheduling.capacity import ClusterCapacity, MinionCapacity

RACKS = ("r0", "r1", "r2")


def attach(
    capacity: ClusterCapacity, minion_id: str, *, labels: tuple[str, ...], total: Resources, attachment: int = 1
) -> None:
    """Attach a minion of service "s" through agent "a"."""
    capacity.attach(
        minion=MinionCapacity(
            minion_id=minion_id,
            agent_id="a",
            fence=1,
            attachment=attachment,
            service="s",
            zone="z",
            labels=labels,
            total=total,
        )
    )


def report(capacity: ClusterCapacity, *rows: list[Any], closed: list[str] | None = None) -> None:
    """Agent "a" reports rows of minion, millicores, megabytes and accelerators that are free, and closed minions."""
    capacity.apply_report(
        node_id="a", rows=[decode(row, into=FreeCapacity) for row in rows], closed=closed or [], now=1.0
    )


def capacity_of(rng: random.Random, *, n: int, most: int = 4) -> ClusterCapacity:
    """A few minions with some capacity."""
    capacity = ClusterCapacity()
    for i in range(n):
        cap = Resources(most * 1000, 4000, most)
        attach(capacity, f"m{i}", labels=(rng.choice("ab"), rng.choice(RACKS)), total=cap, attachment=i)
        free = [rng.randint(0, cap.millicores), rng.randint(0, cap.memory_mb), rng.randint(0, cap.gpus)]
        report(capacity, [f"m{i}", *free])
    return capacity
