"""The runs that groups' records have on the agent's minions: attached, ordered, stopped, compared with heartbeats."""

from msgspec import UNSET

from ..common.resources import Resources
from ..jobs.task_name import job_id_of
from .leases import LeaseManager
from .messages import (
    AttachmentVerdict,
    AttachMinion,
    BegunRun,
    OrdersRejected,
    RecordedRun,
    RejectedOrder,
    StoppedRun,
    TaskOrder,
    TaskOrders,
    TasksBegun,
    UnstartedRun,
)
from .minion import NOT_ATTACHED, Attachment, Minion, Phase, TaskRun
from .minion_table import MinionTable
from .run_progress import note_progress, remaining_s, stands_still
from .timing import NEVER

GONE_AFTER_HEARTBEATS = 4  # a run that so many heartbeats in a row do not list, nor its end, is no more
SUSPECT_S = 3.0  # a minion on which a run stands still gets no leases for this long
DRAIN_MARGIN_S = 0.4  # beyond the time for a stop, a run must end this much before its minion leaves
BEGIN_TOLD_AGAIN_S = 2.0  # pause before a begin is told again; doubles with each time
MOST_LISTED_ENDS = 400  # a minion that lists this many ends may have left some out


class TaskRuns:
    """Decides what becomes of each run: sent, stopped, or called never started.

    Invariants: an order is taken only from the newest epoch of its group and on a lease that the order's group holds;
    a run that the minion may have started is never called unstarted.
    """

    def __init__(self, *, table: MinionTable, leases: LeaseManager) -> None:
        self._table = table
        self._leases = leases

    # -- attachments

    def attach(self, *, node_id: str, message: AttachMinion) -> Minion | None:
        """Take note of the runs that a group has on a minion and tell which of them never started.

        Returns:
            The minion; None if the attachment is out of date or the minion is not known well enough.
        """
        minion = self._table.find(minion_id=message.minion_id, fence=message.fence)
        attachment = Attachment(message.epoch_number, message.attachment)
        group_id = message.group_id
        if (
            minion is None
            or minion.phase is not Phase.KNOWN
            or self._is_from_old_epoch(group_id=group_id, epoch_number=message.epoch_number)
            or (group_id in minion.attachments and minion.attachments[group_id] >= attachment)
        ):
            return None
        minion.attachments[group_id] = attachment
        minion.once_attached.add(group_id)
        minion.unanswered_requests = 0
        self._end_unrecorded(minion, message=message)
        self._void_leases(minion, group_id=group_id)
        unstarted = [
            UnstartedRun(task=recorded.task, run=recorded.run)
            for recorded in message.runs
            if self._has_never_started(minion, group_id=group_id, recorded=recorded)
        ]
        self._await_begins(minion, message=message)
        verdict = AttachmentVerdict(
            group_id=group_id,
            epoch_number=message.epoch_number,
            attachment=message.attachment,
            minion_id=minion.minion_id,
            fence=minion.fence,
            unstarted=unstarted,
        )
        self._table.environment.send_message(node_id=node_id, message=verdict)
        return minion

    def _await_begins(self, minion: Minion, *, message: AttachMinion) -> None:
        """What was told under an earlier attachment may have been lost."""
        pending_jobs = frozenset(message.pending_jobs if message.pending_jobs is not UNSET else ())
        for run in minion.runs.values():
            if run.group_id == message.group_id:
                run.is_begin_awaited = job_id_of(run.task) in pending_jobs
                run.begin_reports, run.begin_told_at = 0, NEVER

    def _is_from_old_epoch(self, *, group_id: int, epoch_number: int) -> bool:
        primary = self._table.environment.primary(group_id=group_id)
        return primary is not None and primary[1] > epoch_number

    def _end_unrecorded(self, minion: Minion, *, message: AttachMinion) -> None:
        """Stop or forget the group's runs that its record does not have any more."""
        recorded_runs = {recorded.task: recorded.run for recorded in message.runs}
        for task, run in list(minion.runs.items()):
            if run.group_id == message.group_id and recorded_runs.get(task) != run.run:
                if run.is_unsent:
                    self.forget(minion, task=task, run=run.run)
                else:
                    run.is_stop_requested = True

    def _void_leases(self, minion: Minion, *, group_id: int) -> None:
        """End the group's unused leases: a new attachment makes its scheduler forget all leases on the minion."""
        for lease_id, lease in list(minion.leases.items()):
            if lease.group_id == group_id and not lease.task:
                minion.remove_lease(lease_id=lease_id)
            elif lease.group_id == group_id:
                lease.is_unknown_to_scheduler = True

    def _has_never_started(self, minion: Minion, *, group_id: int, recorded: RecordedRun) -> bool:
        """Whether a recorded run never started here; one that does run here is taken over."""
        known = minion.runs.get(recorded.task)
        if known is not None and known.run == recorded.run:
            if known.is_stop_requested or not known.is_unsent:
                return False
            self.forget(minion, task=recorded.task, run=recorded.run)
            minion.remove_lease(lease_id=known.lease_id)
            return True
        listed = minion.listed_runs.get(recorded.task)
        if listed is not None and listed.run == recorded.run:
            self._take_over(minion, group_id=group_id, recorded=recorded)
            return False
        return not minion.has_listed_end(task=recorded.task, run=recorded.run)

    def _take_over(self, minion: Minion, *, group_id: int, recorded: RecordedRun) -> None:
        """A run that was started through another agent, or under an earlier fence, goes on here."""
        size = Resources(recorded.millicores, recorded.memory_mb, recorded.gpus)
        lease = self._leases.create(minion, group_id=group_id, size=size)
        lease.task, lease.is_unknown_to_scheduler = recorded.task, True
        minion.runs[recorded.task] = TaskRun(
            task=recorded.task,
            run=recorded.run,
            group_id=group_id,
            lease_id=lease.lease_id,
            is_sent=True,
            is_running=True,
            running_since=self._table.environment.now,
            first_percent=minion.listed_runs[recorded.task].percent,
            estimate_ms=recorded.estimate_ms,
        )
        minion.unknown_runs.pop(recorded.task, None)

    # -- orders

    def take_orders(self, *, node_id: str, message: TaskOrders) -> list[Minion]:
        """Take orders; those that cannot be carried out are rejected as never started.

        Returns:
            The minions that have new orders.
        """
        rejected: list[RejectedOrder] = []
        minion_ids: set[str] = set()
        is_old = self._is_from_old_epoch(group_id=message.group_id, epoch_number=message.epoch_number)
        for order in message.orders:
            minion = self._table.minions.get(order.minion_id)
            attachment = Attachment(message.epoch_number, order.attachment)
            if minion is None or is_old or minion.attachments.get(message.group_id) != attachment:
                continue  # an attachment made since, or still to be made, tells what becomes of the run
            if self._take_order(minion, order=order, message=message):
                minion_ids.add(order.minion_id)
            else:
                rejected.append(
                    RejectedOrder(
                        minion_id=order.minion_id, attachment=order.attachment, task=order.task, run=order.run
                    )
                )
        if rejected:
            rejection = OrdersRejected(group_id=message.group_id, epoch_number=message.epoch_number, orders=rejected)
            self._table.environment.send_message(node_id=node_id, message=rejection)
        return [self._table.minions[minion_id] for minion_id in sorted(minion_ids)]

    def _take_order(self, minion: Minion, *, order: TaskOrder, message: TaskOrders) -> bool:
        """Take one order of the attachment that stands; whether it can be carried out."""
        lease = minion.leases.get(order.lease_id)
        if (
            lease is None
            or lease.task
            or order.task in minion.runs
            or order.task in minion.listed_runs
            or not self._table.is_open(minion)
        ):
            return False
        lease.task = order.task
        job_id = job_id_of(order.task)
        minion.runs[order.task] = TaskRun(
            task=order.task,
            run=order.run,
            group_id=message.group_id,
            lease_id=order.lease_id,
            spec=message.specs[job_id],
            is_begin_awaited=message.pending_jobs is not UNSET and job_id in message.pending_jobs,
            checkpoint=order.checkpoint,
            estimate_ms=order.estimate_ms,
        )
        return True

    def request_stop(self, stopped: StoppedRun) -> Minion | None:
        """A group wants a run stopped; one that was not sent is rejected. Returns its minion, if the run is known."""
        minion = self._table.minions.get(stopped.minion_id)
        run = minion.runs.get(stopped.task) if minion is not None else None
        if minion is None or run is None or run.run != stopped.run:
            return None
        if run.is_sent:
            run.is_stop_requested = True
        else:
            self.reject(minion, run=run)
        return minion

    def reject(self, minion: Minion, *, run: TaskRun) -> None:
        """Forget a run that does not go on here, and tell its group that it never started."""
        self.forget(minion, task=run.task, run=run.run)
        environment = self._table.environment
        primary = environment.primary(group_id=run.group_id)
        if primary is None:
            return
        rejected = RejectedOrder(
            minion_id=minion.minion_id,
            attachment=minion.attachments.get(run.group_id, NOT_ATTACHED).number,
            task=run.task,
            run=run.run,
        )
        message = OrdersRejected(group_id=run.group_id, epoch_number=primary[1], orders=[rejected])
        environment.send_message(node_id=primary[0], message=message)

    def reject_unsent(self, minion: Minion) -> None:
        """Reject all runs that the minion cannot know of."""
        for run in [run for run in minion.runs.values() if run.is_unsent]:
            self.reject(minion, run=run)

    def forget(self, minion: Minion, *, task: str, run: int) -> None:
        """A run is over: its lease is released."""
        known = minion.runs.get(task)
        if known is not None and known.run == run:
            del minion.runs[task]
            self._leases.release(minion, lease_id=known.lease_id)

    # -- heartbeats

    def reconcile(self, minion: Minion, *, after_heartbeat: bool) -> None:
        """Compare what the minion lists with the runs that records have on it.

        `after_heartbeat` says that a heartbeat has just come: only then does its list tell of orders sent before it.
        """
        now = self._table.environment.now
        for run in list(minion.runs.values()):
            listed = minion.listed_runs.get(run.task)
            if listed is not None and listed.run == run.run:
                note_progress(run, listed=listed, now=now)
                if after_heartbeat and stands_still(run, now=now):
                    run.is_stop_requested = True  # it goes on elsewhere
                    minion.no_leases_until = now + SUSPECT_S
            elif minion.has_listed_end(task=run.task, run=run.run):
                run.missing_heartbeats = 0
            elif run.is_running:
                run.missing_heartbeats += after_heartbeat
                if run.missing_heartbeats >= GONE_AFTER_HEARTBEATS and len(minion.ends) < MOST_LISTED_ENDS:
                    self.reject(minion, run=run)
            elif after_heartbeat and run.is_stop_requested:
                self.reject(minion, run=run)  # neither carried out nor wanted any more
            elif after_heartbeat:
                run.is_sent = False  # the order was not carried out: it goes out once more
        minion.unknown_runs = (
            {task: listed.run for task, listed in minion.listed_runs.items() if task not in minion.runs}
            if self._table.was_attached_by_all(minion)
            else {}
        )
        self._tell_begun(minion)
        if minion.is_draining:
            self._stop_what_cannot_end(minion)

    def _tell_begun(self, minion: Minion) -> None:
        """Tell schedulers of the runs that they wait for and that heartbeats list.

        They are told again and again, ever more rarely: a primary that does not serve just then drops it, and a new
        attachment, which would ask anew, need not follow.
        """
        environment = self._table.environment
        begun: dict[int, list[TaskRun]] = {}
        for run in minion.runs.values():
            if run.is_begin_awaited and run.is_running and _is_begin_due(run, now=environment.now):
                begun.setdefault(run.group_id, []).append(run)
        for group_id, runs in begun.items():
            primary = environment.primary(group_id=group_id)
            if primary is None:
                continue  # the next heartbeat tries again
            rows = [BegunRun(task=run.task, run=run.run) for run in runs]
            message = TasksBegun(group_id=group_id, minion_id=minion.minion_id, runs=rows)
            environment.send_message(node_id=primary[0], message=message)
            for run in runs:
                run.begin_reports, run.begin_told_at = run.begin_reports + 1, environment.now

    def _stop_what_cannot_end(self, minion: Minion) -> None:
        """Stop runs that cannot end before a draining minion leaves, so that they go on elsewhere."""
        now = self._table.environment.now
        time_left = minion.leaves_at - now - self._table.timing.stop_grace_ms / 1000 - DRAIN_MARGIN_S
        for run in minion.runs.values():
            if run.is_running and not run.is_stop_requested and remaining_s(run, now=now) > time_left:
                run.is_stop_requested = True


def _is_begin_due(run: TaskRun, *, now: float) -> bool:
    """Whether a begin was not told yet, or long enough ago."""
    return not run.begin_reports or now - run.begin_told_at >= BEGIN_TOLD_AGAIN_S * 2.0 ** (run.begin_reports - 1)
