"""The state of a job group, changed by one reducer over all its events; what follows comes back as effects."""

from typing import Any, assert_never

from msgspec import UNSET

from ..common.queue_identity import QueueIdentity
from ..common.records import decode
from ..kv import ABSENT, KeyValueStore, PlaceEntry, SubmissionEntry, VersionedRecord
from ..transactions import TransactionConflictError, apply_commit_batch, wall_ms
from ..transactions.clock import TICKS_PER_MS
from .early_cancellations import NONE_YET, EarlyCancellations, EarlyCancellationsSnapshot
from .effects import JobEffect, JobEnded, JobTimed, UnitReady
from .events import (
    BEGUN_OUTCOMES,
    JobCancelled,
    JobEvent,
    JobsBegun,
    JobsForgotten,
    JobSubmitted,
    MinionLost,
    PlacementsChanged,
    RunDue,
    RunOutcome,
    TaskEnded,
    TasksStarted,
    decode_job_event,
)
from .history import JobHistory
from .indexes import JobIndexes
from .model import DONE, RUNNING, TRANSITIONS, WAITING, Job, JobState, Unit
from .placements import PlacementClient
from .record_keys import parse_place_key, submission_key
from .run_ends import end_of, shared_index_of, stops_of
from .snapshot import dump_jobs, load_jobs, show_running, store_of_jobs
from .submission import Step
from .task_name import TaskAddress, task_name

LOG_CLIENT = "log"  # the transaction client for events of releases that had no transactions


class Jobs:
    """The reducer of a job group: its state changes by `apply` and `load` only.

    Attributes:
        store: The group's records: which jobs were submitted, where tasks run, what tenants' tasks hold.
        jobs: By job id. What the records say is copied here, for quick access.
        early_cancellations: Of jobs that were not known.
        history: What is learned of the same events; None where none is kept.
        indexes: By minion and by queue.
    """

    def __init__(self, *, history: JobHistory | None = None) -> None:
        self.store = KeyValueStore()
        self._log_client = PlacementClient(name=LOG_CLIENT, state=self)
        self.jobs: dict[str, Job] = {}
        self.early_cancellations = EarlyCancellations()
        self.history = history
        self.indexes = JobIndexes()

    @property
    def running_by_minion(self) -> dict[str, set[TaskAddress]]:
        """By minion id, the RUNNING tasks."""
        return self.indexes.running_by_minion

    @property
    def pending_by_queue(self) -> dict[QueueIdentity, int]:
        """By queue, how many jobs are PENDING."""
        return self.indexes.pending_by_queue

    # -- snapshots

    def dump(self) -> dict[str, Any]:
        """All of it, as plain data that shares nothing with the state."""
        document = {
            "jobs": dump_jobs(jobs=self.jobs, running=self.running_by_minion),
            "past": self.history.dump() if self.history is not None else {},
            "kv": self.store.dump(),
        }
        if self.early_cancellations.newest != NONE_YET:
            document["early"] = self.early_cancellations.snapshot().document()
        return document

    def load(self, document: dict[str, Any]) -> None:
        """Replace all of it by what `dump` gave.

        A snapshot of an earlier release has no store, and one from before there was a history is the jobs alone.

        Raises:
            MalformedRecordError: A field is missing or of another type; the state is then as it was.
        """
        history: dict[str, Any] = {}
        records: dict[str, Any] | None = None
        early_cancellations = EarlyCancellations()
        if "jobs" in document and "past" in document:
            records = document.get("kv")
            if "early" in document:
                stored = decode(document["early"], into=EarlyCancellationsSnapshot)
                early_cancellations = EarlyCancellations.from_snapshot(snapshot=stored)
            document, history = document["jobs"], document["past"]
        if records is not None:
            store = KeyValueStore()
            store.load(records)
            jobs = load_jobs(document, store=store)
        else:
            jobs = decode(document, into=dict[str, Job])
            store = store_of_jobs(jobs)
        if self.history is not None:
            self.history.load(history)
        self.jobs, self.store, self.early_cancellations = jobs, store, early_cancellations
        self.indexes = JobIndexes.of(jobs)

    # -- events

    def apply(self, event: JobEvent | dict[str, Any]) -> list[JobEffect]:
        """Apply an event: a record, or a document as the log holds it.

        Raises:
            MalformedRecordError: It isn't an event of a job group; the state is then as it was.
        """
        return self.apply_event(decode_job_event(event) if isinstance(event, dict) else event)

    def apply_event(self, event: JobEvent) -> list[JobEffect]:
        """Apply one event, and tell what follows from it."""
        match event:
            case PlacementsChanged():
                return self._change_placements(event)
            case JobSubmitted():
                return self._submit(event)
            case RunDue():
                return self._begin_due_run(event)
            case JobsBegun():
                return self._note_begun(event)
            case JobCancelled():
                return self._cancel(event)
            case JobsForgotten():
                return self._forget(event)
            case TaskEnded():
                return self._release_logged([event])
            case MinionLost():
                return self._release_logged(self._ends_on_lost_minion(event))
            case TasksStarted():
                return self._bind_logged(event)
            case _:
                assert_never(event)

    def _submit(self, event: JobSubmitted) -> list[JobEffect]:
        if not self._insert_submission(event):
            return []
        job = Job.accepted(event.job)
        self.jobs[event.job_id] = job
        self.indexes.add_pending(job)
        if self.history is not None:
            self.history.note_job(
                at_ms=job.accepted_at_ms,
                job_id=event.job_id,
                queue=job.queue,
                service=job.service,
                steps=job.steps,
                first_run_ms=job.first_run_ms,
                period_ms=job.period_ms,
                repeat_count=job.repeat_count,
            )
        if job.repeat_count:
            return [JobTimed(job_id=event.job_id)]
        return self._begin_run(job_id=event.job_id, run=0)

    def _insert_submission(self, event: JobSubmitted) -> bool:
        """Insert a job's submission entry, if there is none: one record commits by one conditional write."""
        job = event.job
        entry = SubmissionEntry(queue=job.queue, tenant=job.tenant, accepted_at_ms=job.accepted_at_ms)
        time = max(self.store.newest_time + 1, job.accepted_at_ms * TICKS_PER_MS)
        record = VersionedRecord(value=entry, valid_from=time, updated_at=time)
        key = submission_key(job_id=event.job_id)
        return self.store.put_if_match(key=key, etag=ABSENT, record=record) is not None

    def _begin_due_run(self, event: RunDue) -> list[JobEffect]:
        job = self.jobs.get(event.job_id)
        if job is None or job.has_ended or job.next_run != event.run or event.run >= job.repeat_count:
            return []
        return self._begin_run(job_id=event.job_id, run=event.run)

    def _begin_run(self, *, job_id: str, run: int) -> list[JobEffect]:
        job = self.jobs[job_id]
        effects: list[JobEffect] = []
        for step_index, step in enumerate(job.steps):
            unit_key = f"{run}.{step_index}"
            job.units[unit_key] = Unit.waiting(task_count=step.task_count)
            if not step.depends_on:
                effects.append(UnitReady(job_id=job_id, unit_key=unit_key))
        job.next_run = run + 1
        job.open_runs.append(run)
        return effects

    def submission(self, *, job_id: str) -> SubmissionEntry | None:
        """The submission entry of a job; None: it is not known."""
        record = self.store.read(key=submission_key(job_id=job_id))
        entry = record.value if record is not None else None
        return entry if isinstance(entry, SubmissionEntry) else None

    # -- placements

    def _change_placements(self, event: PlacementsChanged) -> list[JobEffect]:
        """Take the steps of a transaction, and show its place entries in the jobs.

        Clients commit only what they have seen to hold, so a conflict says that this is not the state in which the
        event was committed.

        Raises:
            TransactionConflictError: A condition does not hold; the state is then as it was.
        """
        changes = apply_commit_batch(self.store, event.batch)
        if changes is None:
            raise TransactionConflictError(text=f"{event.batch.transaction_id} does not fit the records")
        effects: list[JobEffect] = []
        ends = iter(event.ends)
        for change in changes:
            address = parse_place_key(change.key)
            if address is None:
                continue
            entry = change.record.value
            if isinstance(entry, PlaceEntry):
                self._start_task(address, entry=entry, started_at_ms=wall_ms(time=change.record.valid_from))
                if event.is_begin_reported is UNSET:
                    self._mark_begun(self.jobs[address.job_id])
            else:
                effects += self._end_task(end_of(address, change=change, end=next(ends)))
        return effects

    def _start_task(self, address: TaskAddress, *, entry: PlaceEntry, started_at_ms: int) -> None:
        unit = self.jobs[address.job_id].units[address.unit_key]
        assert unit.task_states[address.task_index] is WAITING
        assert entry.run_id > unit.run_ids[address.task_index]
        show_running(unit, index=address.task_index, entry=entry, started_at_ms=started_at_ms)
        self.indexes.add_running(address, minion_id=entry.minion_id)

    def _note_begun(self, event: JobsBegun) -> list[JobEffect]:
        for job_id in event.job_ids:
            job = self.jobs.get(job_id)
            if job is not None:
                self._mark_begun(job)
        return []

    def _mark_begun(self, job: Job) -> None:
        """A task of a job has begun."""
        if job.state is JobState.PENDING:
            self._move(job=job, to=JobState.ACTIVE)

    def _bind_logged(self, event: TasksStarted) -> list[JobEffect]:
        """Starts in the log of a release that had no transactions."""
        self._log_client.last_number = self.store.last_etag
        bound = self._log_client.bind(
            job_id=event.job_id,
            unit_key=event.unit_key,
            starts=event.starts,
            wall_ms=event.started_at_ms,
            is_begin_reported=False,
        )
        return self._change_placements(bound)

    def _release_logged(self, ends: list[TaskEnded]) -> list[JobEffect]:
        """Ends in the log of a release that had no transactions."""
        self._log_client.last_number = self.store.last_etag
        released = self._log_client.release(ends=ends, wall_ms=max((end.ended_at_ms for end in ends), default=0))
        return self._change_placements(released) if released is not None else []

    def _end_task(self, event: TaskEnded) -> list[JobEffect]:
        job = self.jobs.get(event.job_id)
        unit = job.units.get(event.unit_key) if job is not None else None
        if job is None or unit is None or not unit.is_running(index=event.index, run_id=event.run_id):
            return []
        if event.outcome in BEGUN_OUTCOMES:
            self._mark_begun(job)
        step = job.step_of(unit_key=event.unit_key)
        self._untrack(job_id=event.job_id, unit_key=event.unit_key, unit=unit, index=event.index)
        started_at_ms = unit.started_at_ms.pop(event.index, 0) if unit.started_at_ms is not UNSET else 0
        if self.history is not None and started_at_ms and event.ended_at_ms:
            self.history.note_end(
                queue=job.queue,
                step=step,
                task=task_name(job_id=event.job_id, unit_key=event.unit_key, index=event.index),
                run_id=event.run_id,
                outcome=event.outcome,
                ran_ms=float(max(event.ended_at_ms - started_at_ms, 0)),
                minion_id=unit.minion_ids[event.index],
                began_afresh=not unit.saved_progress[shared_index_of(step=step, index=event.index)],
            )
        if event.outcome == RunOutcome.DONE and not step.is_long_running:
            effects = self._complete_task(event, job=job, step=step, unit=unit)
        else:
            effects = self._return_task(event, job=job, step=step, unit=unit)
        self._trim_if_over(job=job)
        return effects

    def _complete_task(self, event: TaskEnded, *, job: Job, step: Step, unit: Unit) -> list[JobEffect]:
        """A task is done; a gang's member stands for all of them."""
        for index in range(step.task_count) if step.is_gang else (event.index,):
            if index != event.index and unit.task_states[index] is RUNNING:
                self._untrack(job_id=event.job_id, unit_key=event.unit_key, unit=unit, index=index)
            if unit.task_states[index] is not DONE:
                unit.task_states[index] = DONE
                unit.unfinished_tasks -= 1
        if unit.unfinished_tasks or job.has_ended:
            return []
        effects = self._finish_unit(job_id=event.job_id, unit_key=event.unit_key)
        self._note_end_of_job(job_id=event.job_id, job=job, at_ms=event.ended_at_ms)
        return effects

    def _return_task(self, event: TaskEnded, *, job: Job, step: Step, unit: Unit) -> list[JobEffect]:
        """A run ended without the task being done: the task waits again, unless its job fails by it."""
        unit.task_states[event.index] = WAITING
        shared_index = shared_index_of(step=step, index=event.index)
        if event.saved_progress:
            unit.saved_progress[shared_index] = event.saved_progress
        has_failed = event.outcome == RunOutcome.FAILED and not step.is_long_running
        if has_failed and not (step.is_gang and unit.last_failed_run == event.run_id):
            unit.last_failed_run = event.run_id
            unit.failures[shared_index] += 1
        if job.has_ended:
            return []
        if has_failed and unit.failures[shared_index] >= max(1, event.max_attempts):
            return self._end_early(job_id=event.job_id, state=JobState.FAILED, at_ms=event.ended_at_ms)
        if step.is_gang and unit.has_running_task():
            # The others are stopped, also those whose order is still on its way: they would wait alone.
            return list(stops_of(job_id=event.job_id, unit_key=event.unit_key, unit=unit))
        return [UnitReady(job_id=event.job_id, unit_key=event.unit_key)]

    def _finish_unit(self, *, job_id: str, unit_key: str) -> list[JobEffect]:
        """A unit has no task left: steps that depend on it may begin, or the run is finished, and so may be the job."""
        job = self.jobs[job_id]
        run, step_index = unit_key.split(".")
        unfinished = [job.units[f"{run}.{index}"].unfinished_tasks for index in range(len(job.steps))]
        effects: list[JobEffect] = [
            UnitReady(job_id=job_id, unit_key=f"{run}.{index}")
            for index, step in enumerate(job.steps)
            if int(step_index) in step.depends_on and not any(unfinished[earlier] for earlier in step.depends_on)
        ]
        if not any(unfinished):
            job.open_runs = [open_run for open_run in job.open_runs if open_run != int(run)]
            if not job.open_runs and job.next_run >= max(job.repeat_count, 1):
                self._move(job=job, to=JobState.COMPLETE)
                effects.append(JobEnded(job_id=job_id))
        return effects

    def _ends_on_lost_minion(self, event: MinionLost) -> list[TaskEnded]:
        """The ends of the runs that are lost with a minion."""
        ends = self.ends_of_minion(minion_id=event.minion_id, saved_progress=event.saved_progress)
        if event.runs is None:
            return ends
        names = {
            (task_name(job_id=end.job_id, unit_key=end.unit_key, index=end.index), end.run_id): end for end in ends
        }
        return [end for name, end in names.items() if name in event.runs]

    def ends_of_minion(self, *, minion_id: str, saved_progress: dict[str, str]) -> list[TaskEnded]:
        """The ends LOST of all that runs on a minion.

        Args:
            minion_id: The minion, which is gone.
            saved_progress: By task name, what the tasks had saved.
        """
        ends: list[TaskEnded] = []
        for address in sorted(self.running_by_minion.get(minion_id, ())):
            job_id, unit_key, index = address.job_id, address.unit_key, address.task_index
            task = task_name(job_id=job_id, unit_key=unit_key, index=index)
            end = TaskEnded(
                job_id=job_id,
                unit_key=unit_key,
                index=index,
                run_id=self.jobs[job_id].units[unit_key].run_ids[index],
                outcome=RunOutcome.LOST.value,
                saved_progress=saved_progress.get(task, ""),
                max_attempts=1,
            )
            ends.append(end)
        return ends

    def _cancel(self, event: JobCancelled) -> list[JobEffect]:
        job = self.jobs.get(event.job_id)
        if job is None and event.is_early is True:
            self.early_cancellations.add(job_id=event.job_id)
        if job is None or job.has_ended:
            return []
        return self._end_early(job_id=event.job_id, state=JobState.CANCELLED, at_ms=event.cancelled_at_ms)

    def _forget(self, event: JobsForgotten) -> list[JobEffect]:
        for job_id in event.job_ids:
            job = self.jobs.get(job_id)
            if job is not None and job.is_trimmed:
                key = submission_key(job_id=job_id)
                self.store.delete_if_match(key=key, etag=self.store.etag(key=key))
                del self.jobs[job_id]
        return []

    # -- ends of jobs

    def _end_early(self, *, job_id: str, state: JobState, at_ms: int) -> list[JobEffect]:
        """End a job that is not complete; what still runs is to be stopped."""
        job = self.jobs[job_id]
        if state is JobState.FAILED:
            self._mark_begun(job)
        self._move(job=job, to=state)
        self._note_end_of_job(job_id=job_id, job=job, at_ms=at_ms)
        effects: list[JobEffect] = [JobEnded(job_id=job_id)]
        for unit_key, unit in job.units.items():
            effects += stops_of(job_id=job_id, unit_key=unit_key, unit=unit)
        self._trim_if_over(job=job)
        return effects

    def _note_end_of_job(self, *, job_id: str, job: Job, at_ms: int) -> None:
        """Tell the history if a job has ended, before its steps are dropped. Without a time, it isn't told."""
        if self.history is not None and at_ms and job.has_ended and not job.is_trimmed:
            is_complete = job.state is JobState.COMPLETE
            self.history.note_over(
                at_ms=at_ms, job_id=job_id, queue=job.queue, steps=job.steps, is_complete=is_complete
            )

    def _trim_if_over(self, *, job: Job) -> None:
        if job.has_ended and not any(unit.has_running_task() for unit in job.units.values()):
            job.trim()

    # -- rows and indexes

    def _move(self, *, job: Job, to: JobState) -> None:
        assert to in TRANSITIONS[job.state], (job.state, to)
        if job.state is JobState.PENDING:
            self.indexes.remove_pending(job)
        job.state = to

    def _untrack(self, *, job_id: str, unit_key: str, unit: Unit, index: int) -> None:
        self.indexes.remove_running(TaskAddress(job_id, unit_key, index), minion_id=unit.minion_ids[index])
