"""The one history of warm jobs and backfill: kept by the reducer of jobs, fed by its events, asked by placing nodes."""

from collections.abc import Sequence
from typing import Any

from ..jobs.submission import Step
from .call_times import JOBS_MOST, Calls
from .job_kind import Form, Prediction, Why, kind_key, queue_key, root
from .run_times import Runs, Times
from .successor_jobs import Follow, What

FRESH = 192  # kinds on probation
KINDS = 128  # kinds that were called PROVEN times
PROVEN = 3
TIMERS = 256
STEP_MS = 2_000  # the time of day going back by more than this is a step of the clock
FINER = 0.15  # a period, being the finer word, is believed unless the gaps are surer by this
MOST = 64  # predictions of one call


class Kind:
    """What is known of one kind. All but `calls` is fixed by the kind's key, or is the newest seen."""

    __slots__ = ("calls", "gang", "queue", "req", "service", "tight")

    def __init__(self, *, queue: str, service: str, req: str, gang: bool, tight: bool, calls: Calls) -> None:
        self.queue, self.service, self.req, self.gang, self.tight, self.calls = queue, service, req, gang, tight, calls

    def dump(self) -> Any:
        """As plain data."""
        return [self.queue, self.service, self.req, self.gang, self.tight, self.calls.dump()]

    @classmethod
    def load(cls, document: Any) -> "Kind":
        """Undo `dump`."""
        queue, service, req, gang, tight, calls = document
        return cls(queue=queue, service=service, req=req, gang=gang, tight=tight, calls=Calls.load(calls))


class History:
    """State of a reducer: the same events give the same state. Times come in with the events, as wall milliseconds.

    Invariants: inner time is wall time plus `shift` and never goes back (`clock` is the newest); `fresh` and
    `kinds` are bounded by FRESH and KINDS, have no key in common and stand in the order of use, so a flood of new
    kinds pushes out new kinds only; each job counts for its kind and for its queue as a whole; `timers` is bounded
    by TIMERS; only proven kinds are followed or predicted. `looked` counts the candidates weighed by the last
    `predict`; it is no part of the state.

    >>> from ..jobs.submission import parse_submission
    >>> stages = b'[{"task-count":1,"cpus":500,"mem-mb":64,"estimate-ms":900}]'
    >>> steps = parse_submission(body=b'{"task-spec":"x","stages":' + stages + b'}').steps
    >>> h = History()
    >>> for i in range(12):
    ...     h.note_job(at=60_000 * i, job_id=f"{i:016x}", q="rebuild", service="s", steps=steps)
    >>> [(p.why.value, p.likely) for p in h.predict(now_ms=715_000, horizon_ms=10_000)]
    [('period', 720000)]
    >>> round(h.times(q="rebuild", step=steps[0]).p50)
    900
    """

    def __init__(self) -> None:
        self.runs = Runs()
        self.follow = Follow()
        self.fresh: dict[str, Kind] = {}
        self.kinds: dict[str, Kind] = {}
        self.timers: dict[str, list[Any]] = {}
        self.clock = 0
        self.shift = 0
        self.looked = 0

    # -- events

    def _inner(self, at: int) -> tuple[int, int]:
        """(inner time, how long nothing came before it)."""
        t = at + self.shift
        if t < self.clock:
            if self.clock - t > STEP_MS:
                self.shift += self.clock - t
            t = self.clock
        quiet = t - self.clock if self.clock else 0
        self.clock = t
        return t, quiet

    def note_job(
        self,
        *,
        at: int,
        job_id: str,
        q: str,
        service: str,
        steps: Sequence[Step],
        first: int = 0,
        period: int = 0,
        times: int = 0,
    ) -> None:
        """A job was taken at wall time `at`, of queue `q`, with tasks for service `svc`. Never raises for a job that
        `job.spec.parse` lets through. With `times`, the due times are known and nothing is learned.
        """
        first_step = root(steps=steps)
        key = kind_key(q=q, steps=steps, period=period if times else 0)
        form = Form(first_step.cpu_millicores, first_step.memory_mb, first_step.gpus, first_step.required_label)
        if times:
            self.timers.pop(job_id, None)
            if len(self.timers) >= TIMERS:
                del self.timers[next(iter(self.timers))]
            self.timers[job_id] = [
                key,
                q,
                service,
                list(form),
                first_step.is_gang,
                first_step.prefers_same_rack,
                first_step.task_count,
                first_step.preferred_label,
                first,
                period,
                times,
            ]
            return
        t, quiet = self._inner(at)
        for name in (key, queue_key(q=q)):
            self._call(key=name, t=t, quiet=quiet, q=q, service=service, step=first_step, form=form)

    def _call(self, *, key: str, t: int, quiet: int, q: str, service: str, step: Step, form: Form) -> None:
        kind = self.kinds.pop(key, None)
        if kind is not None:
            self.kinds[key] = kind
        else:
            kind = self.fresh.pop(key, None)
            if kind is None:
                kind = Kind(
                    queue=q,
                    service=service,
                    req=form.req,
                    gang=step.is_gang,
                    tight=step.prefers_same_rack,
                    calls=Calls(),
                )
                if len(self.fresh) >= FRESH:
                    del self.fresh[next(iter(self.fresh))]
            self.fresh[key] = kind
        kind.service, kind.req, kind.gang, kind.tight = service, form.req, step.is_gang, step.prefers_same_rack
        began = kind.calls.put(t=t, form=form, n=step.task_count, near=step.preferred_label, quiet=quiet)
        if key in self.fresh:
            if kind.calls.n < PROVEN:
                return
            del self.fresh[key]
            self._room()
            self.kinds[key] = kind
        if began:
            self.follow.called(kind=key, at=t)
            self.follow.trigger(kind=key, what=What.CALL, at=t)

    def _room(self) -> None:
        """Forget the least useful of the four proven kinds called longest ago, if there are too many."""
        if len(self.kinds) < KINDS:
            return
        old = [key for key, _ in zip(self.kinds, range(4), strict=False)]
        worst = min(old, key=lambda k: (self.kinds[k].calls.pscore.on + self.kinds[k].calls.gscore.on, old.index(k)))
        del self.kinds[worst]
        self.follow.drop(kind=worst)

    def note_over(self, *, at: int, job_id: str, q: str, steps: Sequence[Step], done: bool) -> None:
        """A job has ended at wall time `at`; `done`: it is complete, not failed or cancelled."""
        if self.timers.pop(job_id, None) is None and done:
            t, _ = self._inner(at)
            for key in (kind_key(q=q, steps=steps), queue_key(q=q)):
                if key in self.kinds:
                    self.follow.trigger(kind=key, what=What.END, at=t)

    def note_end(
        self,
        *,
        q: str,
        step: Step,
        task: str,
        run: int,
        how: str,
        ms: float,
        far: float = 1.0,
        whole: bool = True,
        minion_id: str = "",
    ) -> None:
        """Run `run` of `task` ended as `how` after `ms` milliseconds of running. `far`: by how much being away from
        its data made it longer (1.0: not at all); `whole`: it began without saved progress; `mid`: the minion, if slow
        ones are to be told apart. All but whole `done` runs are passed over, and so is an end told again among the
        last SEEN ones. One member of a gang stands for all.
        """
        self.runs.note(q=q, step=step, task=task, run=run, how=how, ms=ms, far=far, whole=whole, minion_id=minion_id)

    # -- questions; none of them changes the state

    def times(self, *, q: str, step: Step, far: float = 1.0, minion_id: str = "") -> Times:
        """How long a task of this step runs, in milliseconds, if being away makes it `far` times as long; on the
        minion `mid`, or on one that is not slow.
        """
        return self.runs.times(q=q, step=step, far=far, minion_id=minion_id)

    def predict(self, *, now_ms: int, horizon_ms: int) -> list[Prediction]:
        """Calls expected from now until the horizon, the earliest first; at most MOST, one for each kind beside the
        known times. Weighs at most KINDS + TIMERS + RECENT x EACH candidates.
        """
        now = max(now_ms + self.shift, self.clock)
        off = now - now_ms
        best: dict[str, Prediction] = {}
        self.looked = 0

        def take(
            *, key: str, why: Why, early: float, likely: float, late: float, confidence: float, jobs: float
        ) -> None:
            if confidence <= 0 or early > now + horizon_ms or (key in best and best[key].confidence >= confidence):
                return
            kind = self.kinds[key]
            form, n = kind.calls.shape(req=kind.req, whole=not key.endswith("/*"))
            best[key] = Prediction(
                kind=key,
                why=why,
                early=int(max(early, now)) - off,
                likely=int(max(likely, now)) - off,
                late=int(max(late, now)) - off,
                queue=kind.queue,
                service=kind.service,
                form=form,
                gang=kind.gang,
                tight=kind.tight,
                n=n,
                near=kind.calls.rack(),
                confidence=min(confidence, 1.0),
                jobs=min(JOBS_MOST, max(jobs, 1.0)),
            )

        for key, kind in self.kinds.items():
            calls = kind.calls
            self.looked += 1
            beat = calls.beat(now=now)
            if beat is not None:
                beats = 1 + max(0.0, now + horizon_ms - beat[0]) // calls.period
                take(
                    key=key,
                    why=Why.PERIOD,
                    early=beat[0] - calls.tol(),
                    likely=beat[0],
                    late=beat[0] + calls.tol(),
                    confidence=beat[1],
                    jobs=beats * calls.usual,
                )
            gap = calls.gap(now=now, horizon=horizon_ms)
            if gap is not None and (beat is None or gap[3] > beat[1] + FINER):
                take(
                    key=key,
                    why=Why.GAPS,
                    early=gap[0],
                    likely=gap[1],
                    late=gap[2],
                    confidence=gap[3],
                    jobs=max(gap[3] * calls.usual, calls.rate(now=now) * horizon_ms),
                )
        for trig in self.follow.recent:
            for key, pair in self.follow.pairs.get((trig.kind, trig.what), {}).items():
                self.looked += 1
                if not pair.open or key not in self.kinds or not pair.lags:
                    continue
                low, likely, high = pair.band()
                if now <= trig.at + high:
                    calls = self.kinds[key].calls
                    take(
                        key=key,
                        why=Why.FOLLOW,
                        early=trig.at + low,
                        likely=trig.at + likely,
                        late=trig.at + high,
                        confidence=pair.worth(rate=calls.rate(now=now)),
                        jobs=calls.usual,
                    )
        out = [*self._either(best=best), *self._timed(now_ms=now_ms, horizon_ms=horizon_ms)]
        return sorted(out, key=lambda p: (p.early, -p.confidence, p.kind))[:MOST]

    def _either(self, *, best: dict[str, Prediction]) -> list[Prediction]:
        """A queue as a whole, or its kinds one by one: the finer word, unless the coarse one is surer by FINER."""
        sure: dict[str, float] = {}
        for key, p in best.items():
            if key != queue_key(q=p.queue):
                sure[p.queue] = max(sure.get(p.queue, 0.0), p.confidence)
        out = []
        for key, p in best.items():
            all_of = best.get(queue_key(q=p.queue))
            coarse = all_of is not None and all_of.confidence > sure.get(p.queue, 0.0) + FINER
            if coarse == (key == queue_key(q=p.queue)):
                out.append(p)
        return out

    def _timed(self, *, now_ms: int, horizon_ms: int) -> list[Prediction]:
        """Known times, which are wall times and need no learning."""
        out = []
        for key, q, service, form, gang, tight, n, near, first, period, times in self.timers.values():
            self.looked += 1
            k = max(0, -((first - now_ms) // period)) if period else 0
            due = first + k * period
            if k >= times or not now_ms <= due <= now_ms + horizon_ms:
                continue
            more = (now_ms + horizon_ms - due) // period if period else times - 1
            out.append(
                Prediction(
                    kind=key,
                    why=Why.TIMED,
                    early=due,
                    likely=due,
                    late=due,
                    queue=q,
                    service=service,
                    form=Form(*form),
                    gang=gang,
                    tight=tight,
                    n=n,
                    near=near,
                    confidence=1.0,
                    jobs=min(JOBS_MOST, 1.0 + min(more, times - 1 - k)),
                )
            )
        return out

    # -- checkpoint

    def dump(self) -> dict[str, Any]:
        """All of it, as plain JSON data that shares nothing with the state."""
        return {
            "runs": self.runs.dump(),
            "follow": self.follow.dump(),
            "clock": self.clock,
            "shift": self.shift,
            "fresh": [[k, v.dump()] for k, v in self.fresh.items()],
            "kinds": [[k, v.dump()] for k, v in self.kinds.items()],
            "timers": [[k, *v] for k, v in self.timers.items()],
        }

    def load(self, document: dict[str, Any]) -> None:
        """Replace all of it. `document` may be empty: a record from before there was a history."""
        self.__init__()  # type: ignore[misc]
        if not document:
            return
        self.runs.load(document["runs"])
        self.follow.load(document["follow"])
        self.clock, self.shift = document["clock"], document["shift"]
        self.fresh = {k: Kind.load(v) for k, v in document["fresh"]}
        self.kinds = {k: Kind.load(v) for k, v in document["kinds"]}
        self.timers = {k: list(v) for k, *v in document["timers"]}
