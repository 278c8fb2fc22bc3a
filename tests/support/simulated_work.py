"""Simulated work, under the name that tests know; a day's end is asserted here."""

from yarrowloom.simulator import workload
from yarrowloom.simulator.worker import Worker, World
from yarrowloom.simulator.workload import Client, plan, task

__all__ = ["Client", "Day", "Worker", "World", "plan", "task"]


class Day(workload.Day):
    """A day whose end is asserted."""

    def finish(self, *, limit: float = 60.0) -> None:
        """All accepted jobs end as they should, and no rule is broken."""
        left = self.settle(limit=limit)
        assert self.judge.broken == []
        assert left == [], [(j, self.judge.shows.get(j)) for j in left]
