"""What is learned from the events of a job group: when kinds of jobs are called, how long their tasks run."""

from collections.abc import Sequence
from typing import Any

from ..common.records import MalformedRecordError
from ..jobs.submission import Step
from .call_times import CallTimes, JobShape
from .forecast import Forecast
from .job_kind import Prediction, TaskShape, kind_key, main_first_step, queue_key
from .known_kind import KnownKind
from .run_times import RunTimeQuantiles, RunTimes
from .successor_jobs import SuccessorJobs, TriggerEvent
from .timed_jobs import TimedJob

MAX_NEW_KINDS = 192
MAX_PROVEN_KINDS = 128
CALLS_TO_PROVE = 3
MAX_TIMED_JOBS = 256
CLOCK_STEP_MS = 2_000  # wall time going back by more than this is a step of the clock
FORGET_AMONG = 4  # proven kinds called longest ago, of which the least useful is forgotten


class History:
    """The learned state of a job group: the same events give the same state.

    Times come in with the events, as wall time in milliseconds. Inner time is wall time plus `clock_shift_ms`; it
    never goes back. Each job counts for its kind and for its queue as a whole.

    Attributes:
        run_times: How long runs take.
        successors: Which kinds follow others. Invariant: only proven kinds do.
        new_kinds: Kinds called less than CALLS_TO_PROVE times, in the order of use. Invariant: at most MAX_NEW_KINDS,
            so a flood of new kinds pushes out new kinds only.
        proven_kinds: The others, in the order of use. Invariant: at most MAX_PROVEN_KINDS.
        timed_jobs: By job id, jobs whose times are known. Invariant: at most MAX_TIMED_JOBS.
        newest_ms: The newest inner time.
        clock_shift_ms: Inner time less wall time.
        candidates_weighed: By the last `predict`; no part of the state.

    >>> from ..jobs.submission import parse_submission
    >>> stages = b'[{"task-count":1,"cpus":500,"mem-mb":64,"estimate-ms":900}]'
    >>> steps = parse_submission(body=b'{"task-spec":"x","stages":' + stages + b'}').steps
    >>> history = History()
    >>> for i in range(12):
    ...     history.note_job(at_ms=60_000 * i, job_id=f"{i:016x}", queue="rebuild", service="s", steps=steps)
    >>> [(p.basis.value, p.likely_ms) for p in history.predict(now_ms=715_000, horizon_ms=10_000)]
    [('period', 720000)]
    >>> round(history.run_time(queue="rebuild", step=steps[0]).p50)
    900
    """

    def __init__(self) -> None:
        self.run_times = RunTimes()
        self.successors = SuccessorJobs()
        self.new_kinds: dict[str, KnownKind] = {}
        self.proven_kinds: dict[str, KnownKind] = {}
        self.timed_jobs: dict[str, TimedJob] = {}
        self.newest_ms = 0
        self.clock_shift_ms = 0
        self.candidates_weighed = 0

    # -- events

    def note_job(
        self,
        *,
        at_ms: int,
        job_id: str,
        queue: str,
        service: str,
        steps: Sequence[Step],
        first_run_ms: int = 0,
        period_ms: int = 0,
        repeat_count: int = 0,
    ) -> None:
        """A job was accepted. With a `repeat_count` its times are known, and nothing is learned of it."""
        step = main_first_step(steps=steps)
        kind = kind_key(queue=queue, steps=steps, period_ms=period_ms if repeat_count else 0)
        if repeat_count:
            timed_job = TimedJob(
                kind=kind,
                queue=queue,
                service=service,
                shape=TaskShape.of(step),
                is_gang=step.is_gang,
                prefers_same_rack=step.prefers_same_rack,
                task_count=step.task_count,
                preferred_label=step.preferred_label,
                first_run_ms=first_run_ms,
                period_ms=period_ms,
                repeat_count=repeat_count,
            )
            self._add_timed_job(job_id=job_id, timed_job=timed_job)
            return
        inner_ms, silence_ms = self._advance(at_ms)
        for key in (kind, queue_key(queue=queue)):
            self._record_job(key=key, inner_ms=inner_ms, silence_ms=silence_ms, queue=queue, service=service, step=step)

    def note_over(self, *, at_ms: int, job_id: str, queue: str, steps: Sequence[Step], is_complete: bool) -> None:
        """A job ended: it is complete, or it failed or was cancelled."""
        if self.timed_jobs.pop(job_id, None) is None and is_complete:
            inner_ms, _ = self._advance(at_ms)
            for kind in (kind_key(queue=queue, steps=steps), queue_key(queue=queue)):
                if kind in self.proven_kinds:
                    self.successors.record_trigger(kind=kind, event=TriggerEvent.END, at_ms=inner_ms)

    def note_end(
        self,
        *,
        queue: str,
        step: Step,
        task: str,
        run_id: int,
        outcome: str,
        ran_ms: float,
        remote_factor: float = 1.0,
        began_afresh: bool = True,
        minion_id: str = "",
    ) -> None:
        """A run of a task ended.

        Runs that were not done, or began with saved progress, are passed over, and so is an end that is told again.
        One member of a gang stands for all.

        Args:
            queue: The job's queue.
            step: The task's step.
            task: The task's name.
            run_id: Number of the run.
            ran_ms: How long it ran.
            outcome: How it ended, see `RunOutcome`.
            remote_factor: By how much being away from its data made it longer; 1.0: not at all.
            began_afresh: Whether it began without saved progress.
            minion_id: Where it ran, if slow minions are to be told apart.
        """
        self.run_times.note_end(
            queue=queue,
            step=step,
            task=task,
            run_id=run_id,
            outcome=outcome,
            ran_ms=ran_ms,
            remote_factor=remote_factor,
            began_afresh=began_afresh,
            minion_id=minion_id,
        )

    def _advance(self, wall_ms: int) -> tuple[int, int]:
        """The inner time of an event, and how long nothing had come before it."""
        inner_ms = wall_ms + self.clock_shift_ms
        if inner_ms < self.newest_ms:
            if self.newest_ms - inner_ms > CLOCK_STEP_MS:
                self.clock_shift_ms += self.newest_ms - inner_ms
            inner_ms = self.newest_ms
        silence_ms = inner_ms - self.newest_ms if self.newest_ms else 0
        self.newest_ms = inner_ms
        return inner_ms, silence_ms

    def _add_timed_job(self, *, job_id: str, timed_job: TimedJob) -> None:
        self.timed_jobs.pop(job_id, None)
        if len(self.timed_jobs) >= MAX_TIMED_JOBS:
            del self.timed_jobs[next(iter(self.timed_jobs))]
        self.timed_jobs[job_id] = timed_job

    def _record_job(self, *, key: str, inner_ms: int, silence_ms: int, queue: str, service: str, step: Step) -> None:
        known = self._used_kind(key=key, queue=queue)
        known.update(service=service, step=step)
        shape = JobShape(step.cpu_millicores, step.memory_mb, step.gpus, step.task_count)
        begins_call = known.calls.record_job(
            at_ms=inner_ms, shape=shape, preferred_label=step.preferred_label, silence_ms=silence_ms
        )
        if key in self.new_kinds:
            if known.calls.call_count < CALLS_TO_PROVE:
                return
            del self.new_kinds[key]
            self._make_room_for_proven_kind()
            self.proven_kinds[key] = known
        if begins_call:
            self.successors.record_call(kind=key, at_ms=inner_ms)
            self.successors.record_trigger(kind=key, event=TriggerEvent.CALL, at_ms=inner_ms)

    def _used_kind(self, *, key: str, queue: str) -> KnownKind:
        """What is known of a kind, which becomes the one used last."""
        known = self.proven_kinds.pop(key, None)
        if known is not None:
            self.proven_kinds[key] = known
            return known
        known = self.new_kinds.pop(key, None)
        if known is None:
            known = KnownKind(queue=queue, calls=CallTimes())
            if len(self.new_kinds) >= MAX_NEW_KINDS:
                del self.new_kinds[next(iter(self.new_kinds))]
        self.new_kinds[key] = known
        return known

    def _make_room_for_proven_kind(self) -> None:
        """Forget the least useful of those called longest ago, if there are too many."""
        if len(self.proven_kinds) < MAX_PROVEN_KINDS:
            return
        oldest = [key for key, _ in zip(self.proven_kinds, range(FORGET_AMONG), strict=False)]
        least_useful = min(oldest, key=lambda key: self.proven_kinds[key].trusted_bases)
        del self.proven_kinds[least_useful]
        self.successors.forget(kind=least_useful)

    # -- questions; none of them changes the state

    def run_time(self, *, queue: str, step: Step, remote_factor: float = 1.0, minion_id: str = "") -> RunTimeQuantiles:
        """How long a task of a step runs.

        Args:
            queue: The job's queue.
            step: The step, with the caller's estimate.
            remote_factor: By how much being away from its data makes it longer.
            minion_id: Where it is to run; empty: on a minion that is not slow.
        """
        return self.run_times.quantiles(queue=queue, step=step, remote_factor=remote_factor, minion_id=minion_id)

    def predict(self, *, now_ms: int, horizon_ms: int) -> list[Prediction]:
        """Calls expected from now until the horizon, the earliest first; one for each kind beside the known times."""
        forecast = Forecast(
            proven_kinds=self.proven_kinds,
            successors=self.successors,
            now_ms=max(now_ms + self.clock_shift_ms, self.newest_ms),
            wall_now_ms=now_ms,
            horizon_ms=horizon_ms,
        )
        predictions = forecast.predict(timed_jobs=self.timed_jobs.values())
        self.candidates_weighed = forecast.candidates_weighed
        return predictions

    # -- snapshots

    def dump(self) -> dict[str, Any]:
        """All of it, as plain JSON data that shares nothing with the state."""
        return {
            "runs": self.run_times.dump(),
            "follow": self.successors.dump(),
            "clock": self.newest_ms,
            "shift": self.clock_shift_ms,
            "fresh": [[key, known.dump()] for key, known in self.new_kinds.items()],
            "kinds": [[key, known.dump()] for key, known in self.proven_kinds.items()],
            "timers": [[job_id, *timed_job.dump()] for job_id, timed_job in self.timed_jobs.items()],
        }

    def load(self, document: dict[str, Any]) -> None:
        """Replace all of it by what `dump` gave; empty: a snapshot from before there was a history.

        Raises:
            MalformedRecordError: The document has another form; the state is then as it was.
        """
        loaded = History()
        if document:
            try:
                loaded._load(document)
            except (KeyError, IndexError, TypeError, ValueError) as error:
                raise MalformedRecordError(text=f"history of jobs: {error!r}") from error
        vars(self).update(vars(loaded))

    def _load(self, document: dict[str, Any]) -> None:
        self.run_times.load(document["runs"])
        self.successors.load(document["follow"])
        self.newest_ms, self.clock_shift_ms = document["clock"], document["shift"]
        self.new_kinds = {key: KnownKind.load(known) for key, known in document["fresh"]}
        self.proven_kinds = {key: KnownKind.load(known) for key, known in document["kinds"]}
        self.timed_jobs = {job_id: TimedJob.load(timed_job) for job_id, *timed_job in document["timers"]}
