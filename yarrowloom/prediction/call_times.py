"""When one kind of job is called: a learned period, quantiles of the gaps, rates over a short and a long time.

A call is one or more jobs of a kind that come within a short time of each other.
"""

import math
from typing import Any, NamedTuple

from .accuracy import Accuracy
from .job_kind import TaskShape

BURST_MS = 250  # what comes within this of a call's first job belongs to the same call
MAX_GAPS = 16
MIN_GAPS = 4  # needed before anything is expected of them
MAX_SHAPES = 8
MAX_LABELS = 4
LABEL_DECAY = 0.9
SHORT_RATE_MS = 10_000.0  # time constants of the two rates
LONG_RATE_MS = 300_000.0
MIN_PERIOD_MS = 500.0
MAX_PERIOD_MS = 86_400_000.0
MAX_PHASE_SHARE = 0.2  # a call this share of a period off its time is not on time
MIN_TOLERANCE_MS = 100.0
MIN_PERIOD_FIT = 0.6  # share of due times that a period must meet to be believed
OFF_CALLS_TO_UNLOCK = 2  # calls in a row off their time that end a period
MAX_MISSED_DUE_TIMES = 16  # counted at once
MAX_SILENT_DUE_TIMES = 4  # passed in silence, after which a period expects nothing
MAX_EXPECTED_JOBS = 64.0


class JobShape(NamedTuple):
    """What the main first step of one job asked for, and its number of tasks."""

    cpu_millicores: int
    memory_mb: int
    gpus: int
    task_count: int


class ExpectedDueTime(NamedTuple):
    """The next due time of a period, and the chance that it brings a call."""

    at_ms: float
    chance: float


class ExpectedGap(NamedTuple):
    """When the gap since the last call ends, and the chance that it does within the horizon asked for."""

    earliest_ms: int
    likely_ms: int
    latest_ms: int
    chance: float


class PeriodFit(NamedTuple):
    """How well a period explains the gaps that are known.

    Attributes:
        share: Calls on time for each due time, from 0 to 1.
        reference_ms: The due time that the last call on time belongs to, counted from the call before the gaps.
        error_ms: How far off their time calls were.
    """

    share: float
    period_ms: float
    reference_ms: float
    error_ms: float


# The encoded name of each field of `CallTimes`, in the order of its document.
ENCODED_NAMES = {
    "last_call_ms": "at",
    "off_calls": "bad",
    "period_error_ms": "err",
    "shapes": "forms",
    "gaps_ms": "gaps",
    "gap_accuracy": "gscore",
    "longest_expected_ms": "hi",
    "shortest_expected_ms": "lo",
    "long_rate": "long",
    "call_count": "n",
    "last_job_ms": "now",
    "period_ms": "period",
    "period_accuracy": "pscore",
    "label_weights": "racks",
    "reference_ms": "ref",
    "short_rate": "short",
    "call_size": "size",
    "usual_call_size": "usual",
}


class CallTimes:
    """Calls of one kind. Times are the history's inner ones in milliseconds, which never go back.

    Attributes:
        call_count: Calls so far.
        last_call_ms: When the last call began.
        last_job_ms: When the last job came.
        call_size: Jobs of the last call.
        usual_call_size: Moving average of jobs a call.
        gaps_ms: Between calls, oldest first. Invariant: at most MAX_GAPS.
        shortest_expected_ms: Where the next gap was expected as the last call came: lower end.
        longest_expected_ms: Upper end; 0: nothing was expected.
        period_ms: The learned period; 0: none.
        reference_ms: The due time that the last call on time belonged to; the next is a period later.
        period_error_ms: Moving average of how far off their time calls were.
        off_calls: Calls in a row that were off their time.
        short_rate: Jobs, decayed over SHORT_RATE_MS.
        long_rate: Jobs, decayed over LONG_RATE_MS.
        period_accuracy: Whether due times brought calls.
        gap_accuracy: Whether gaps were as expected.
        shapes: Of the first jobs of the newest calls, oldest first. Invariant: at most MAX_SHAPES.
        label_weights: By preferred label, a decayed count of calls. Invariant: at most MAX_LABELS.
    """

    __slots__ = tuple(ENCODED_NAMES)

    def __init__(self) -> None:
        self.call_count = 0
        self.last_call_ms = self.last_job_ms = 0
        self.call_size = 0
        self.usual_call_size = 1.0
        self.gaps_ms: list[int] = []
        self.shortest_expected_ms = self.longest_expected_ms = 0
        self.period_ms = self.reference_ms = self.period_error_ms = 0.0
        self.off_calls = 0
        self.short_rate = self.long_rate = 0.0
        self.period_accuracy = Accuracy()
        self.gap_accuracy = Accuracy()
        self.shapes: list[JobShape] = []
        self.label_weights: dict[str, float] = {}

    # -- what has come

    def record_job(self, *, at_ms: int, shape: JobShape, preferred_label: str, silence_ms: int) -> bool:
        """Take note of one job.

        Args:
            at_ms: When it came.
            shape: What its main first step asks for.
            preferred_label: That step's; empty: none.
            silence_ms: How long no job of any kind had come.

        Returns:
            Whether it begins a call.
        """
        since_last_job = max(0, at_ms - self.last_job_ms)
        self.short_rate = self.short_rate * math.exp(-since_last_job / SHORT_RATE_MS) + 1
        self.long_rate = self.long_rate * math.exp(-since_last_job / LONG_RATE_MS) + 1
        self.last_job_ms = at_ms
        if self.call_count and at_ms - self.last_call_ms < BURST_MS:
            self.call_size += 1
            return False
        self.shapes.append(shape)
        if len(self.shapes) > MAX_SHAPES:
            del self.shapes[0]
        self._record_label(preferred_label)
        if self.call_count:
            self.usual_call_size += 0.3 * (min(self.call_size, MAX_EXPECTED_JOBS) - self.usual_call_size)
            self._record_gap(at_ms=at_ms, silence_ms=silence_ms)
        self.last_call_ms, self.call_size = at_ms, 1
        self.call_count += 1
        return True

    def _record_label(self, preferred_label: str) -> None:
        weights = self.label_weights
        if preferred_label not in weights and len(weights) >= MAX_LABELS:
            del weights[min(weights, key=lambda label: (weights[label], label))]
        for label in weights:
            weights[label] *= LABEL_DECAY
        weights[preferred_label] = weights.get(preferred_label, 0.0) + 1

    def _record_gap(self, *, at_ms: int, silence_ms: int) -> None:
        gap_ms = at_ms - self.last_call_ms
        if self.longest_expected_ms:
            self.gap_accuracy.record(came_true=self.shortest_expected_ms <= gap_ms <= self.longest_expected_ms)
        if self.period_ms:
            self._follow_period(at_ms=at_ms, silence_ms=silence_ms)
        self.gaps_ms.append(gap_ms)
        if len(self.gaps_ms) > MAX_GAPS:
            del self.gaps_ms[0]
        if len(self.gaps_ms) < MIN_GAPS:
            return
        ordered = sorted(self.gaps_ms)
        cut = len(ordered) // 10
        shortest, longest = ordered[cut], ordered[-1 - cut]
        self.shortest_expected_ms = shortest - shortest // 10
        self.longest_expected_ms = longest + longest // 10
        if not self.period_ms and (self.call_count < 2 * MAX_GAPS or self.call_count % 4 == 0):
            self._look_for_period(at_ms=at_ms)

    def _follow_period(self, *, at_ms: int, silence_ms: int) -> None:
        """Compare a call with the period. Due times without a call are misses, unless nothing at all came then."""
        due_times = max(1, round((at_ms - self.reference_ms) / self.period_ms))
        off_ms = at_ms - self.reference_ms - due_times * self.period_ms
        is_on_time = abs(off_ms) <= self.tolerance_ms()
        was_all_silent = silence_ms > self.period_ms / 2
        for _ in range(min(due_times - 1, 1 if was_all_silent else MAX_MISSED_DUE_TIMES)):
            self.period_accuracy.record(came_true=False)
        self.period_accuracy.record(came_true=is_on_time)
        if abs(off_ms) <= MAX_PHASE_SHARE * self.period_ms:
            self.off_calls = 0
            self.reference_ms += due_times * self.period_ms + 0.25 * off_ms
            self.period_ms += 0.1 * off_ms / due_times
            self.period_error_ms += 0.15 * (abs(off_ms) - self.period_error_ms)
        else:
            self.off_calls += 1
            if self.off_calls >= OFF_CALLS_TO_UNLOCK:
                self.period_ms = 0.0
                self.off_calls = 0

    def tolerance_ms(self) -> float:
        """How far off its time a call still is on time."""
        return min(MAX_PHASE_SHARE * self.period_ms, max(MIN_TOLERANCE_MS, 4 * self.period_error_ms))

    def _look_for_period(self, *, at_ms: int) -> None:
        """Try few periods on the gaps that are known: the median, that of two gaps, and half of it."""
        ordered = sorted(self.gaps_ms)
        median = float(ordered[len(ordered) // 2])
        pairs = sorted(one + two for one, two in zip(self.gaps_ms, self.gaps_ms[1:], strict=False))
        best = PeriodFit(0.0, 0.0, 0.0, 0.0)
        for period_ms in (median, float(pairs[len(pairs) // 2]), median / 2):
            if MIN_PERIOD_MS <= period_ms <= MAX_PERIOD_MS:
                fit = self._fit_period(period_ms)
                if fit.share > best.share and fit.period_ms >= MIN_PERIOD_MS:
                    best = fit
        if best.share >= MIN_PERIOD_FIT:
            self.period_ms, self.period_error_ms = best.period_ms, best.error_ms
            self.reference_ms = at_ms - sum(self.gaps_ms) + best.reference_ms

    def _fit_period(self, period_ms: float) -> PeriodFit:
        """Follow a period over the gaps, beginning at the call before them."""
        reference_ms, error_ms, on_time, due_times = 0.0, 0.0, 0, 0
        call_ms = 0
        for gap_ms in self.gaps_ms:
            call_ms += gap_ms
            passed = max(1, round((call_ms - reference_ms) / period_ms))
            off_ms = call_ms - reference_ms - passed * period_ms
            due_times += min(passed, 8)
            if abs(off_ms) <= MAX_PHASE_SHARE * period_ms:
                on_time += 1
                reference_ms += passed * period_ms + 0.5 * off_ms
                period_ms += 0.2 * off_ms / passed
                error_ms += 0.3 * (abs(off_ms) - error_ms)
            elif on_time == 0 or off_ms < 0:
                reference_ms = call_ms
        share = on_time / max(due_times, len(self.gaps_ms))
        return PeriodFit(share, period_ms, reference_ms, error_ms)

    # -- what is expected; nothing here changes the state

    def next_due_time(self, *, now_ms: float) -> ExpectedDueTime | None:
        """The period's next due time; each one that passed in silence halves its chance."""
        if not self.period_ms or not self.period_accuracy.is_trusted:
            return None
        passed = max(1, math.ceil((now_ms - self.tolerance_ms() - self.reference_ms) / self.period_ms))
        if passed > MAX_SILENT_DUE_TIMES:
            return None
        chance = self.period_accuracy.success_rate * 0.5 ** (passed - 1)
        return ExpectedDueTime(at_ms=self.reference_ms + passed * self.period_ms, chance=chance)

    def end_of_gap(self, *, now_ms: float, horizon_ms: float) -> ExpectedGap | None:
        """When the next call comes, from the gaps that are longer than the silence so far."""
        if not self.gap_accuracy.is_trusted:
            return None
        silence_ms = now_ms - self.last_call_ms
        longer = sorted(gap_ms for gap_ms in self.gaps_ms if gap_ms > silence_ms)
        if not longer:
            return None
        within_horizon = sum(gap_ms <= silence_ms + horizon_ms for gap_ms in longer)
        return ExpectedGap(
            earliest_ms=self.last_call_ms + longer[0] - longer[0] // 10,
            likely_ms=self.last_call_ms + longer[len(longer) // 2],
            latest_ms=self.last_call_ms + longer[-1] + longer[-1] // 10,
            chance=self.gap_accuracy.success_rate * within_horizon / (len(longer) + 0.5),
        )

    def jobs_per_ms(self, *, now_ms: float) -> float:
        """The rate of jobs: the lower of both rates while a burst fades, their mean while it grows."""
        since_last_job = max(0.0, now_ms - self.last_job_ms)
        short = self.short_rate * math.exp(-since_last_job / SHORT_RATE_MS) / SHORT_RATE_MS
        long = self.long_rate * math.exp(-since_last_job / LONG_RATE_MS) / LONG_RATE_MS
        return min(short, long) if short < long else (short + long) / 2

    def expected_shape(self, *, required_label: str, holds_all: bool) -> tuple[TaskShape, int]:
        """What holds the newest shapes (`holds_all`) or most of them, and how many tasks they mostly had."""
        last = len(self.shapes) - 1 if holds_all else 5 * len(self.shapes) // 8
        cpu_millicores, memory_mb, gpus, _ = (sorted(column)[last] for column in zip(*self.shapes, strict=True))
        task_counts = sorted(shape.task_count for shape in self.shapes)
        return TaskShape(cpu_millicores, memory_mb, gpus, required_label), task_counts[len(task_counts) // 2]

    def expected_label(self) -> str:
        """The preferred label of more than half of the calls, empty if there is none."""
        weights = self.label_weights
        best = max(weights, key=lambda label: (weights[label], label), default="")
        return best if best and 2 * weights[best] > sum(weights.values()) else ""

    # -- snapshots

    def dump(self) -> dict[str, Any]:
        """All of it as plain data that shares nothing with the state."""
        document = {encoded: getattr(self, name) for name, encoded in ENCODED_NAMES.items()}
        document["pscore"] = self.period_accuracy.dump()
        document["gscore"] = self.gap_accuracy.dump()
        document["gaps"] = list(self.gaps_ms)
        document["forms"] = [list(shape) for shape in self.shapes]
        document["racks"] = dict(self.label_weights)
        return document

    @classmethod
    def load(cls, document: dict[str, Any]) -> "CallTimes":
        """What `dump` gave."""
        calls = cls()
        for name, encoded in ENCODED_NAMES.items():
            setattr(calls, name, document[encoded])
        calls.period_accuracy = Accuracy.load(document["pscore"])
        calls.gap_accuracy = Accuracy.load(document["gscore"])
        calls.gaps_ms = list(document["gaps"])
        calls.shapes = [JobShape(*shape) for shape in document["forms"]]
        calls.label_weights = dict(document["racks"])
        return calls
