"""Tells of jobs that stand still: none of their tasks runs, by the record or on a minion that is heard, and why."""

import enum
from dataclasses import dataclass

from ..jobs.model import RUNNING, Job
from .context import SchedulerContext
from .pod_group import Phase, PodGroup
from .scheduling_queue import BACKOFF_MAX_S

STANDSTILL_S = 3.0  # a job that stands still for so long is told of
NOT_TRIED_S = BACKOFF_MAX_S + 0.5  # a waiting group without a cycle for so long was left out
LOOKS_PER_REPORT = 1000  # groups and runs looked at for one report


class StandstillCause(enum.StrEnum):
    """Why a job stands still. The values are shown to the operator."""

    NOT_TRIED = "not-tried"  # a group waits, and has had no cycle for longer than the longest backoff
    CYCLES_FAIL = "cycles-fail"  # its cycles fail
    BINDING = "binding"  # its members have minions, and wait for leases
    QUOTA = "quota"  # it waits for its tenant's quota
    MINION_UNATTACHED = "minion-unattached"  # its runs are on minions that no agent has attached since they began anew
    MINION_CLOSED = "minion-closed"  # its runs are on minions that are silent, or drain


@dataclass(slots=True, kw_only=True)
class Standstill:
    """The jobs that stand still for one cause.

    Attributes:
        count: How many.
        job_id: The one that has stood still longest.
        unit_key: The unit of it that should run.
        waited_s: For how long.
        detail: What is known besides: why its last cycle failed, or a minion.
    """

    count: int = 0
    job_id: str = ""
    unit_key: str = ""
    waited_s: float = 0.0
    detail: str = ""

    def add(self, *, job_id: str, unit_key: str, waited_s: float, detail: str) -> None:
        """One job more."""
        self.count += 1
        if waited_s > self.waited_s:
            self.job_id, self.unit_key, self.waited_s, self.detail = job_id, unit_key, waited_s, detail


class StandstillMonitor:
    """Looks at what waits, once for each report; changes nothing of it."""

    def __init__(self, *, context: SchedulerContext) -> None:
        self.context = context
        self._unheard_since: dict[str, float] = {}

    def report(self) -> None:
        """Log one line for each cause for which jobs stand still."""
        found: dict[StandstillCause, Standstill] = {}
        self._add_waiting(found)
        self._add_unheard(found)
        for cause, standstill in sorted(found.items()):
            self.context.environment.note(
                event="jobs-stand-still",
                cause=cause.value,
                count=standstill.count,
                id=standstill.job_id,
                unit=standstill.unit_key,
                waited=round(standstill.waited_s, 1),
                why=standstill.detail,
            )

    def _add_waiting(self, found: dict[StandstillCause, Standstill]) -> None:
        """Groups that wait, of jobs of which nothing runs by the record."""
        now = self.context.environment.now
        waiting = [
            group
            for group in self.context.queue.groups.values()
            if group.waiting_count and now - group.waiting_since >= STANDSTILL_S and not group.exceeds_cluster
        ]
        for group in waiting[:LOOKS_PER_REPORT]:
            if not self.context.jobs.jobs[group.job_id].has_running_task():
                found.setdefault(self._cause(group), Standstill()).add(
                    job_id=group.job_id,
                    unit_key=group.unit_key,
                    waited_s=now - group.waiting_since,
                    detail=group.last_failure,
                )

    def _cause(self, group: PodGroup) -> StandstillCause:
        if group.phase is Phase.THROTTLED:
            return StandstillCause.QUOTA
        if group.phase is Phase.BOUND or group.binding:
            return StandstillCause.BINDING
        if self.context.environment.now - max(group.last_cycle_at, group.waiting_since) > NOT_TRIED_S:
            return StandstillCause.NOT_TRIED
        return StandstillCause.CYCLES_FAIL

    def _add_unheard(self, found: dict[StandstillCause, Standstill]) -> None:
        """Jobs all of whose recorded runs are on minions that have not been heard for a while."""
        now, jobs = self.context.environment.now, self.context.jobs
        unheard = {minion_id for minion_id in jobs.running_by_minion if not self._is_heard(minion_id)}
        self._unheard_since = {minion_id: self._unheard_since.get(minion_id, now) for minion_id in unheard}
        silent = {minion_id for minion_id, since in self._unheard_since.items() if now - since >= STANDSTILL_S}
        seen: set[str] = set()
        looks = 0
        for minion_id in sorted(silent):
            for address in sorted(jobs.running_by_minion[minion_id]):
                looks += 1
                if looks > LOOKS_PER_REPORT:
                    return
                job = jobs.jobs[address.job_id]
                if address.job_id in seen or job.has_ended or self._runs_elsewhere(job=job, silent=silent):
                    continue
                seen.add(address.job_id)
                is_attached = minion_id in self.context.capacity.minions
                cause = StandstillCause.MINION_CLOSED if is_attached else StandstillCause.MINION_UNATTACHED
                found.setdefault(cause, Standstill()).add(
                    job_id=address.job_id,
                    unit_key=address.unit_key,
                    waited_s=now - self._unheard_since[minion_id],
                    detail=minion_id,
                )

    def _is_heard(self, minion_id: str) -> bool:
        minion = self.context.capacity.minions.get(minion_id)
        return minion is not None and minion.is_open

    def _runs_elsewhere(self, *, job: Job, silent: set[str]) -> bool:
        """Whether a task of the job runs on a minion that is heard."""
        return any(
            unit.minion_ids[index] not in silent for unit in job.units.values() for index in unit.indices(state=RUNNING)
        )
