"""Attachment of minions: an agent claims its minions and is told what the record has on each."""

from msgspec import UNSET

from ..agent.messages import (
    AttachMinion,
    CapacityRequest,
    ClaimedMinion,
    ClaimMinions,
    MinionLostAcknowledged,
    MinionLostReport,
    RecordedRun,
    StoppedRun,
)
from ..jobs.model import JobState
from ..jobs.task_name import task_name
from ..transport.effects import SendMessage
from .capacity import MinionCapacity
from .context import SchedulerContext
from .job_queue import JobQueue

REPEATED_CLAIM_S = 1.0  # a claim repeated sooner than this gets the same attachment once more
NO_ESTIMATE_MS = -1  # of a task that runs until it is stopped


class Attachments:
    """Attaches minions and takes losses of minions.

    Invariant: every task that the record has as running is on a minion attached here, or awaits that minion's next
    attachment. Leases and orders of an earlier attachment are void.

    Attributes:
        last_attachment: Number of the newest attachment.
    """

    def __init__(self, *, context: SchedulerContext, job_queue: JobQueue) -> None:
        self.context = context
        self.job_queue = job_queue
        self.last_attachment = 0

    def claim(self, *, node_id: str, claim: ClaimMinions) -> None:
        """An agent owns these minions and asks what this group has on them."""
        for claimed in claim.minions:
            known = self.context.capacity.minions.get(claimed.minion_id)
            if known is not None and known.fence > claimed.fence:
                continue
            if known is not None and self._is_repeat(node_id=node_id, claimed=claimed, known=known):
                self._tell(minion=known)  # what left under this attachment stays good
            else:
                self._attach(minion=self._new_minion(node_id=node_id, claimed=claimed))

    def _is_repeat(self, *, node_id: str, claimed: ClaimedMinion, known: MinionCapacity) -> bool:
        is_same_owner = known.fence == claimed.fence and known.agent_id == node_id
        return is_same_owner and self.context.environment.now - known.attached_at < REPEATED_CLAIM_S

    def _new_minion(self, *, node_id: str, claimed: ClaimedMinion) -> MinionCapacity:
        return MinionCapacity(
            minion_id=claimed.minion_id,
            agent_id=node_id,
            fence=claimed.fence,
            attachment=self._next_attachment(),
            service=claimed.service,
            zone=claimed.zone,
            labels=tuple(claimed.labels),
            total=claimed.capacity,
            attached_at=self.context.environment.now,
        )

    def _next_attachment(self) -> int:
        self.last_attachment += 1
        return self.last_attachment

    def _attach(self, *, minion: MinionCapacity) -> None:
        self.context.leases.cache.forget(minion_id=minion.minion_id)
        self.context.capacity.attach(minion=minion)
        self._tell(minion=minion)

    def _tell(self, *, minion: MinionCapacity) -> None:
        """Tell the agent what the record has on a minion."""
        runs: list[RecordedRun] = []
        stops: list[StoppedRun] = []
        pending_jobs: set[str] = set()
        for address in sorted(self.context.jobs.running_by_minion.get(minion.minion_id, ())):
            job_id, unit_key, index = address.job_id, address.unit_key, address.task_index
            job = self.context.jobs.jobs[job_id]
            step, run = job.step_of(unit_key=unit_key), job.units[unit_key].run_ids[index]
            task = task_name(job_id=job_id, unit_key=unit_key, index=index)
            runs.append(
                RecordedRun(
                    task=task,
                    run=run,
                    millicores=step.cpu_millicores,
                    memory_mb=step.memory_mb,
                    gpus=step.gpus,
                    estimate_ms=NO_ESTIMATE_MS if step.is_long_running else step.estimate_ms,
                )
            )
            self.context.leases.by_task.pop(task, None)
            if job.state is JobState.PENDING:
                pending_jobs.add(job_id)
            if job.has_ended:
                stops.append(StoppedRun(minion_id=minion.minion_id, task=task, run=run))
        message = AttachMinion(
            group_id=self.context.group_id,
            epoch_number=self.context.replica.state_epoch,
            attachment=minion.attachment,
            minion_id=minion.minion_id,
            fence=minion.fence,
            runs=runs,
            pending_jobs=sorted(pending_jobs) if pending_jobs else UNSET,
        )
        self.context.environment.send_message(node_id=minion.agent_id, message=message)
        if stops:
            self.context.cancellation.send_stops(stops)

    def reattach_all(self, *, node_id: str) -> None:
        """Messages of an agent were lost: attach its minions anew, and have it report all its capacity."""
        capacity = self.context.capacity
        for minion_id in sorted(capacity.minion_ids_by_agent.get(node_id, ())):
            attachment = self._next_attachment()
            self._attach(
                minion=capacity.minions[minion_id].reattached(attachment=attachment, now=self.context.environment.now)
            )
        self.request_report(node_id=node_id)

    def request_report(self, *, node_id: str) -> None:
        """Have an agent report all its capacity."""
        message = CapacityRequest(group_id=self.context.group_id)
        self.context.environment.send_message(node_id=node_id, message=message)

    def ignore_silent_agent(self, *, node_id: str) -> None:
        """An agent fell silent: its reports count no longer; it is to report all its capacity once it can."""
        self.context.capacity.close_agent(node_id=node_id)
        self.request_report(node_id=node_id)

    def minion_lost(self, *, node_id: str, report: MinionLostReport) -> None:
        """An agent declares a minion gone; acknowledged once that is durable."""
        minion_id = report.minion_id
        known = self.context.capacity.minions.get(minion_id)
        if known is None or known.fence <= report.fence:
            self._lose(minion_id=minion_id, checkpoints=report.checkpoints)
        message = MinionLostAcknowledged(group_id=self.context.group_id, minion_id=minion_id, fence=report.fence)
        self.context.replica.barrier(then=SendMessage(node_id=node_id, message=message))

    def _lose(self, *, minion_id: str, checkpoints: dict[str, str]) -> None:
        context = self.context
        context.leases.cache.forget(minion_id=minion_id)
        context.capacity.remove(minion_id=minion_id)
        for address in sorted(context.jobs.running_by_minion.get(minion_id, ())):
            job_id, unit_key, index = address.job_id, address.unit_key, address.task_index
            task = task_name(job_id=job_id, unit_key=unit_key, index=index)
            context.leases.by_task.pop(task, None)
            context.running.ended(task=task, run=context.jobs.jobs[job_id].units[unit_key].run_ids[index])
        self.job_queue.commit_ends(context.jobs.ends_of_minion(minion_id=minion_id, saved_progress=checkpoints))
