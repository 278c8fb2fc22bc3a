"""Cancellation of runs: stops go to their agents, those of ended jobs again and again until the run has ended."""

from dataclasses import dataclass

from ..agent.messages import StoppedRun, StopTasks
from .capacity import ClusterCapacity
from .environment import SchedulerEnvironment

REPEAT_S = 1.0


@dataclass(slots=True, kw_only=True)
class PendingStop:
    """A run of an ended job that has not ended yet."""

    run: StoppedRun
    sent_at: float  # monotonic seconds


class Cancellation:
    """Sends stops. Invariant: `pending` names only runs of ended jobs that the record has as running, by task."""

    def __init__(self, *, group_id: int, environment: SchedulerEnvironment, capacity: ClusterCapacity) -> None:
        self.group_id = group_id
        self.environment = environment
        self.capacity = capacity
        self.pending: dict[str, PendingStop] = {}

    def repeat_until_ended(self, *, run: StoppedRun) -> None:
        """A run's job has ended: its stop is repeated until the run ends."""
        self.pending[run.task] = PendingStop(run=run, sent_at=self.environment.now)

    def run_ended(self, *, task: str) -> None:
        """A run is over."""
        self.pending.pop(task, None)

    def send_stops(self, runs: list[StoppedRun]) -> None:
        """Tell agents to stop runs."""
        by_agent: dict[str, list[StoppedRun]] = {}
        for run in runs:
            minion = self.capacity.minions.get(run.minion_id)
            if minion is not None:
                by_agent.setdefault(minion.agent_id, []).append(run)
        for node_id, agent_runs in by_agent.items():
            self.environment.send_message(node_id=node_id, message=StopTasks(group_id=self.group_id, runs=agent_runs))

    def repeat(self) -> None:
        """Send the pending stops again that were last sent long enough ago."""
        now = self.environment.now
        due = [stop for stop in self.pending.values() if now - stop.sent_at > REPEAT_S]
        for stop in due:
            stop.sent_at = now
        if due:
            self.send_stops([stop.run for stop in due])
