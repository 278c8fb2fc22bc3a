"""What a heartbeat is answered, and when: at once, or a little later if orders are about to come."""

from msgspec import UNSET

from .heartbeat import UNAVAILABLE, HeartbeatResponse, TaskToStart, TaskToStop
from .minion import Minion, PendingHeartbeat, Phase, TaskRun
from .minion_table import MinionTable
from .task_runs import TaskRuns
from .timing import LATEST_RESPONSE_S

IDLE_WAIT_S = 0.6  # a minion that runs nothing has nothing to tell: its heartbeat may wait for an order
ENDS_WAIT_S = 0.08  # a heartbeat with ends waits this long for their acknowledgement and the next orders
IDLE_RETRY_MS = 1  # the wait of an idle minion is spent before the response, where an order can end it
UNATTACHED_RETRY_MS = 50
CHANGING_RETRY_MS = 150  # a minion that drains, or was told to stop a run
FREE_RETRY_MS = 200
FULL_RETRY_MS = 500


class HeartbeatResponder:
    """Answers the heartbeats of minions.

    Invariant: a heartbeat gets one response.
    """

    def __init__(self, *, table: MinionTable, runs: TaskRuns) -> None:
        self._table = table
        self._runs = runs

    def respond_unavailable(self, minion: Minion) -> None:
        """Send the minion, if its heartbeat waits, to another node."""
        pending = minion.pending_heartbeat
        if pending is not None:
            minion.pending_heartbeat = None
            self._table.environment.respond(call=pending.call, response=UNAVAILABLE)

    def respond_if_due(self, minion: Minion, *, is_new: bool = False) -> None:
        """Answer the minion's waiting heartbeat, if it is time or if there is something to tell.

        `is_new` says that the heartbeat has just come.
        """
        environment, pending = self._table.environment, minion.pending_heartbeat
        if pending is None:
            return
        if not environment.trusted() or minion.phase is not Phase.KNOWN:
            self.respond_unavailable(minion)
            return
        if minion.is_draining or environment.evacuated(zone=minion.zone):
            self._runs.reject_unsent(minion)
        starts = self._runs_to_start(minion)
        stops = _runs_to_stop(minion)
        has_open_ends = minion.has_unacknowledged_end()
        if is_new:
            _set_wait(minion, pending=pending, has_open_ends=has_open_ends)
        may_wait = is_new or has_open_ends or not minion.ends
        if environment.now < pending.respond_at and may_wait and not starts and not stops:
            return
        if environment.now - pending.received_at > LATEST_RESPONSE_S:
            self.respond_unavailable(minion)
        else:
            self._respond(minion, pending=pending, starts=starts, stops=stops)

    def _runs_to_start(self, minion: Minion) -> list[TaskRun]:
        """Orders for the minion; none before every group has told what it has there."""
        if not minion.runs or not self._table.was_attached_by_all(minion):
            return []
        return [
            run
            for run in minion.runs.values()
            if not (run.is_sent or run.is_running or run.is_stop_requested)  # spelled out: each heartbeat comes by
        ]

    def _respond(
        self, minion: Minion, *, pending: PendingHeartbeat, starts: list[TaskRun], stops: list[TaskToStop]
    ) -> None:
        now = self._table.environment.now
        retry_after_ms = self._retry_after_ms(minion, has_starts=bool(starts), has_stops=bool(stops))
        response = HeartbeatResponse(
            fence=minion.fence,
            hold_ms=self._table.timing.hold_ms,
            last_acknowledged_end=minion.last_acknowledged_end,
            started=[_start(run) for run in starts] if starts else UNSET,
            stopped=stops or UNSET,
            retry_after_ms=retry_after_ms,
        )
        for run in starts:
            run.is_sent = True
        minion.pending_heartbeat = None
        minion.retry_after_s = now + retry_after_ms / 1000 - minion.last_heartbeat_at
        self._table.environment.respond(call=pending.call, response=response.http_response())

    def _retry_after_ms(self, minion: Minion, *, has_starts: bool, has_stops: bool) -> int:
        if not minion.listed_runs and not has_starts:
            return IDLE_RETRY_MS if self._table.was_attached_by_all(minion) else UNATTACHED_RETRY_MS
        if minion.is_draining or has_stops:
            return CHANGING_RETRY_MS
        return FULL_RETRY_MS if minion.is_nearly_full() else FREE_RETRY_MS


def _set_wait(minion: Minion, *, pending: PendingHeartbeat, has_open_ends: bool) -> None:
    """How long the response to a new heartbeat may wait for something to tell."""
    if has_open_ends:
        pending.respond_at = pending.received_at + ENDS_WAIT_S
    elif not minion.listed_runs and not minion.is_draining:
        pending.respond_at = pending.received_at + IDLE_WAIT_S


def _runs_to_stop(minion: Minion) -> list[TaskToStop]:
    """Sent runs that are to be stopped, then runs that no group's record has."""
    stops = [
        TaskToStop(task=run.task, run=run.run) for run in minion.runs.values() if run.is_stop_requested and run.is_sent
    ]
    stops += [TaskToStop(task=task, run=run) for task, run in minion.unknown_runs.items()]
    return stops


def _start(run: TaskRun) -> TaskToStart:
    return TaskToStart(task=run.task, run=run.run, spec=run.spec, checkpoint=run.checkpoint)
