"""Declares minions lost that were silent for longer than they may hold on to their runs."""

from .attachment_claims import MOST_UNANSWERED, pause_s
from .messages import MinionLostAcknowledged, MinionLostReport
from .minion import Minion, Phase
from .minion_table import MinionTable

SLOW_CLOCK_FACTOR = 1.02  # a minion's clock may be this much slow
SLACK_S = 0.3
STALL_S = 0.5  # a process that stood still for longer has not heard what minions sent meanwhile


class FailureDetector:
    """Watches for silence, and reports lost minions to all groups until each has acknowledged it.

    Invariant: a minion counts as lost only once its own hold on its runs is over, by a clock as slow as allowed.
    """

    def __init__(self, *, table: MinionTable) -> None:
        self._table = table
        self._ticked_at = table.environment.now
        self._was_trusted = True

    def begin_tick(self) -> bool:
        """Excuse silence that was this process's own; whether the agent may act for its minions now."""
        now = self._table.environment.now
        pause_s, self._ticked_at = now - self._ticked_at, now
        if pause_s > STALL_S or not self._was_trusted:  # heartbeats may lie unread, or were turned away
            for minion in self._table.minions.values():
                last = minion.last_heartbeat_at
                minion.last_heartbeat_at = max(last, min(now, last + pause_s))
        self._was_trusted = self._table.environment.trusted()
        return self._was_trusted

    def check(self, minion: Minion) -> None:
        """Declare the minion lost if it was silent for too long, or has said that it is gone."""
        now = self._table.environment.now
        limit_s = self._table.timing.hold_ms / 1000 * SLOW_CLOCK_FACTOR + SLACK_S
        is_silent = now - minion.last_heartbeat_at > limit_s
        if minion.phase is Phase.LOST or not (is_silent or (minion.gone_at and now > minion.gone_at)):
            return
        minion.move(Phase.LOST)
        minion.unanswered_requests = 0
        self._table.capacity_changed.add(minion.minion_id)
        self._table.environment.note(
            event="minion-lost", minion=minion.minion_id, runs=len(minion.runs), left=bool(minion.gone_at)
        )

    def report_loss(self, minion: Minion) -> None:
        """Report a lost minion to the groups that have not acknowledged its loss; then have it removed."""
        environment = self._table.environment
        now = environment.now
        group_ids = [group_id for group_id in self._table.group_ids if group_id not in minion.loss_acknowledged_by]
        self._table.watched.add(minion.minion_id)
        if not group_ids:
            environment.remove_lost_minion(minion_id=minion.minion_id, fence=minion.fence)
            return
        if now - minion.loss_reported_at <= pause_s(minion):
            return
        minion.loss_reported_at = now
        minion.unanswered_requests = min(minion.unanswered_requests + 1, MOST_UNANSWERED)
        checkpoints = {task: listed.checkpoint for task, listed in minion.listed_runs.items() if listed.checkpoint}
        for group_id in group_ids:
            primary = environment.primary(group_id=group_id)
            if primary is not None:
                message = MinionLostReport(
                    group_id=group_id, minion_id=minion.minion_id, fence=minion.fence, checkpoints=checkpoints
                )
                environment.send_message(node_id=primary[0], message=message)

    def acknowledge(self, message: MinionLostAcknowledged) -> None:
        """A group has the loss of a minion in its record."""
        minion = self._table.find(minion_id=message.minion_id, fence=message.fence)
        if minion is not None and minion.phase is Phase.LOST:
            minion.loss_acknowledged_by.add(message.group_id)
