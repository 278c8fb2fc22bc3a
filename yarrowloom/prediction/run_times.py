"""Run times by queue and shape: quantiles of the newest runs, beside the caller's estimate."""

import functools
import math
import zlib
from typing import Any, NamedTuple

from ..jobs.events import RunOutcome
from ..jobs.submission import Step
from .job_kind import RunTimeKey, run_time_key
from .slow_minions import SlowMinions

MAX_RUNS = 32  # kept for each key
MAX_KEYS = 256
MAX_SEEN_ENDS = 1024  # ends remembered, so that one told twice counts once
LOG_SCALE = 512  # logarithms are kept as whole numbers of 1 / LOG_SCALE
CHANGE_RUNS = 5  # so many in a row outside the band, on one side: run times have changed for good
MIN_BAND_RUNS = 8  # runs needed for a band; it is found anew after as many
BAND_SLACK = 24
UNKNOWN_ESTIMATE_MS = 1000  # stands for an estimate that was not given
MAX_RUN_MS = 1 << 42
_DONE = RunOutcome.DONE.value  # for the hot path: in Python 3.11, access by the enum's class takes 100 ns
# What is thought of the ratio of actual to estimate before any run is known; one goes with each run that comes.
PRIOR_RATIOS = (1.0, 1.0, 1.2, 0.9, 1.5, 0.75, 2.0)


class RunTimeQuantiles(NamedTuple):
    """How long a run takes, in milliseconds.

    Attributes:
        run_count: Runs that are known.
        confidence: From 0 (the estimate alone) to 1.
    """

    p50: float
    p90: float
    p95: float
    run_count: int
    confidence: float


class LoggedRun(NamedTuple):
    """One run: the logarithms of its run time and of its estimate, in milliseconds."""

    ran: int
    estimate: int


class Distribution(NamedTuple):
    """What quantiles are taken of.

    Attributes:
        is_relative: Whether the values are ratios to the estimate; else they are run times.
        values: Logarithms, sorted.
    """

    is_relative: bool
    values: list[int]


def _log(ms: float) -> int:
    return int(math.log(1.0 if ms < 1.0 else MAX_RUN_MS if ms > MAX_RUN_MS else ms) * LOG_SCALE + 0.5)


_log_estimate = functools.lru_cache(4096)(_log)


def order_statistic(*, ordered: list[int], quantile: float) -> int:
    """The value that a further one exceeds with a chance of 1 - quantile at most, or the last.

    >>> [order_statistic(ordered=list(range(1, 20)), quantile=quantile) for quantile in (0.5, 0.9, 0.95)]
    [10, 18, 19]
    """
    return ordered[min(len(ordered), math.ceil(quantile * (len(ordered) + 1) - 1e-9)) - 1]


class RunTimeWindow:
    """The newest runs of one key.

    Attributes:
        runs: Oldest first. Invariant: at most MAX_RUNS.
        outliers_in_row: How many of the newest lie outside the band on one side; negative: below it.
        band_low: Lower end of the ratios to the estimate that are usual, as a logarithm.
        band_high: Upper end.
        runs_until_band: Runs until the band is found anew.
    """

    __slots__ = ("_distribution", "band_high", "band_low", "outliers_in_row", "runs", "runs_until_band")

    def __init__(self) -> None:
        self.runs: list[LoggedRun] = []
        self.outliers_in_row = 0
        self.band_low = self.band_high = 0
        self.runs_until_band = 0
        self._distribution: Distribution | None = None

    def add(self, *, ran: int, estimate: int) -> None:
        """Take note of one run."""
        self._distribution = None
        self.runs.append(LoggedRun(ran, estimate))
        known = len(self.runs)
        if known > MAX_RUNS:
            del self.runs[0]
        if known < MIN_BAND_RUNS:
            return
        if self.runs_until_band == 0:
            self._find_band()
        self.runs_until_band -= 1
        ratio = ran - estimate
        if self.band_low <= ratio <= self.band_high:
            self.outliers_in_row = 0
        else:
            self._record_outlier(is_above=ratio > self.band_high)

    def _find_band(self) -> None:
        """From all runs but the newest."""
        ratios = sorted([ran - estimate for ran, estimate in self.runs[:-1]])
        cut = len(ratios) // 10
        self.band_low, self.band_high = ratios[cut] - BAND_SLACK, ratios[-1 - cut] + BAND_SLACK
        self.runs_until_band = MIN_BAND_RUNS

    def _record_outlier(self, *, is_above: bool) -> None:
        """Forget the older runs once the newest lie outside the band, on one side, for long."""
        if is_above:
            self.outliers_in_row = max(self.outliers_in_row, 0) + 1
        else:
            self.outliers_in_row = min(self.outliers_in_row, 0) - 1
        if abs(self.outliers_in_row) >= CHANGE_RUNS:
            del self.runs[:-CHANGE_RUNS]
            self.outliers_in_row = self.runs_until_band = 0

    def distribution(self) -> Distribution:
        """Ratios to the estimate, or run times where these spread less."""
        if self._distribution is None:
            ratios = sorted([ran - estimate for ran, estimate in self.runs])
            run_times = sorted([ran for ran, _ in self.runs])
            cut = len(ratios) // 8
            ratio_spread = ratios[-1 - cut] - ratios[cut]
            run_time_spread = run_times[-1 - cut] - run_times[cut]
            is_relative = len(ratios) < MIN_BAND_RUNS or ratio_spread <= run_time_spread + BAND_SLACK
            self._distribution = Distribution(is_relative, ratios if is_relative else run_times)
        return self._distribution


class RunTimes:
    """Run times by queue and shape. Only runs that were done, and had begun from nothing, count.

    Attributes:
        windows: By key, in the order of use. Invariant: at most MAX_KEYS; the one used longest ago is forgotten first.
        seen_ends: Checksums of ends, oldest first, so that each counts once. Invariant: at most MAX_SEEN_ENDS.
        slow_minions: How much longer runs take on single minions.
    """

    def __init__(self) -> None:
        self.windows: dict[RunTimeKey, RunTimeWindow] = {}
        self.seen_ends: dict[int, None] = {}
        self.slow_minions = SlowMinions()

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
        """See `History.note_end`."""
        if outcome != _DONE or not began_afresh or ran_ms < 0 or step.is_long_running:
            return
        if not self._is_first_report(task, run_id):
            return
        window = self._used_window(run_time_key(queue=queue, step=step))
        ran = _log(ran_ms / remote_factor if remote_factor > 1.0 else ran_ms)
        estimate = _log_estimate(step.estimate_ms or UNKNOWN_ESTIMATE_MS)
        if minion_id and len(window.runs) >= MIN_BAND_RUNS:
            excess = ran - estimate - (window.band_low + window.band_high) // 2
            ran -= self.slow_minions.record(minion_id=minion_id, excess=excess)
        window.add(ran=ran, estimate=estimate)

    def _is_first_report(self, task: str, run_id: int) -> bool:
        checksum = zlib.crc32(task.encode(), run_id)
        if checksum in self.seen_ends:
            return False
        self.seen_ends[checksum] = None
        if len(self.seen_ends) > MAX_SEEN_ENDS:
            del self.seen_ends[next(iter(self.seen_ends))]
        return True

    def _used_window(self, key: RunTimeKey) -> RunTimeWindow:
        """The key's window, which becomes the one used last."""
        window = self.windows.pop(key, None)
        if window is None:
            window = RunTimeWindow()
            if len(self.windows) >= MAX_KEYS:
                del self.windows[next(iter(self.windows))]
        self.windows[key] = window
        return window

    def quantiles(self, *, queue: str, step: Step, remote_factor: float = 1.0, minion_id: str = "") -> RunTimeQuantiles:
        """See `History.run_time`."""
        window = self.windows.get(run_time_key(queue=queue, step=step))
        run_count = len(window.runs) if window is not None else 0
        is_relative, values = window.distribution() if window is not None else Distribution(True, [])
        if run_count < len(PRIOR_RATIOS):
            values = sorted([*values, *(_log(ratio * 1000) - _log(1000) for ratio in PRIOR_RATIOS[run_count:])])
        base = _log_estimate(step.estimate_ms or UNKNOWN_ESTIMATE_MS) if is_relative else 0
        if minion_id:
            base += self.slow_minions.excess(minion_id=minion_id)
        p50, p90, p95 = (
            remote_factor * math.exp((base + order_statistic(ordered=values, quantile=quantile)) / LOG_SCALE)
            for quantile in (0.5, 0.9, 0.95)
        )
        return RunTimeQuantiles(p50, p90, p95, run_count=run_count, confidence=run_count / (run_count + 4))

    def dump(self) -> dict[str, Any]:
        """All of it as plain data."""
        windows = [
            [
                list(key),
                window.outliers_in_row,
                window.band_low,
                window.band_high,
                window.runs_until_band,
                [list(run) for run in window.runs],
            ]
            for key, window in self.windows.items()
        ]
        return {"r": windows, "s": list(self.seen_ends), "m": self.slow_minions.dump()}

    def load(self, document: dict[str, Any]) -> None:
        """Replace all of it by what `dump` gave."""
        self.windows = {}
        self.seen_ends = dict.fromkeys(document["s"])
        self.slow_minions = SlowMinions.load(document["m"])
        for key, outliers_in_row, band_low, band_high, runs_until_band, runs in document["r"]:
            queue, cpu_bucket, memory_bucket, gpu_bucket, has_estimate = key
            window = RunTimeWindow()
            window.outliers_in_row = outliers_in_row
            window.band_low, window.band_high = band_low, band_high
            window.runs_until_band = runs_until_band
            window.runs = [LoggedRun(*run) for run in runs]
            self.windows[queue, cpu_bucket, memory_bucket, gpu_bucket, has_estimate] = window
