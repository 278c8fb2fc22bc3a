"""Run times by queue and shape: quantiles of the newest runs, beside the caller's estimate."""

import functools
import math
import zlib
from typing import Any, NamedTuple

from ..jobs.submission import Step
from .job_kind import RunKey, run_key
from .slow_minions import Slow

KEEP = 32  # runs kept for each key
KEYS = 256
SEEN = 1024  # ends remembered, against ends told twice
SCALE = 512  # logarithms are kept as whole numbers of 1/SCALE
SHIFT_RUN = 5  # so many in a row outside what was known: the regime has changed
BLIND_MS = 1000  # stands for an estimate that was not given
MOST_MS = 1 << 42
# What is thought of a ratio of actual to estimate before any run is known; one goes with each run that comes.
PRIOR = (1.0, 1.0, 1.2, 0.9, 1.5, 0.75, 2.0)


class Times(NamedTuple):
    """Run time in milliseconds. `n`: runs known; `confidence`: from 0 (the estimate alone) to 1."""

    p50: float
    p90: float
    p95: float
    n: int
    confidence: float


def _log(ms: float) -> int:
    return int(math.log(1.0 if ms < 1.0 else MOST_MS if ms > MOST_MS else ms) * SCALE + 0.5)


_log_est = functools.lru_cache(4096)(_log)


def rank(*, vals: list[int], q: float) -> int:
    """The order statistic that a further value exceeds with a chance of 1 - q at most, or the last.

    >>> [rank(vals=list(range(1, 20)), q=q) for q in (0.5, 0.9, 0.95)]
    [10, 18, 19]
    """
    return vals[min(len(vals), math.ceil(q * (len(vals) + 1) - 1e-9)) - 1]


class Ring:
    """Invariants: at most KEEP pairs (log of the run time, log of the estimate), oldest first; `out` counts the
    newest in a row that lie outside the cached band on one side (negative: below).
    """

    __slots__ = ("cache", "hi", "lo", "out", "rows", "since")

    def __init__(self) -> None:
        self.rows: list[list[int]] = []
        self.out = 0
        self.lo = self.hi = 0
        self.since = 0
        self.cache: tuple[bool, list[int]] | None = None

    def put(self, *, ran: int, est: int) -> None:
        """One run; a few microseconds."""
        self.cache = None
        rows = self.rows
        rows.append([ran, est])
        n = len(rows)
        if n > KEEP:
            del rows[0]
        if n >= 8:
            off = ran - est
            if self.since == 0:
                offs = sorted([r - e for r, e in rows[:-1]])
                cut = len(offs) // 10
                self.lo, self.hi = offs[cut] - 24, offs[-1 - cut] + 24
                self.since = 8
            self.since -= 1
            if self.lo <= off <= self.hi:
                self.out = 0
                return
            self.out = max(self.out, 0) + 1 if off > self.hi else min(self.out, 0) - 1
            if abs(self.out) >= SHIFT_RUN:
                del rows[:-SHIFT_RUN]
                self.out = self.since = 0

    def sorted(self) -> tuple[bool, list[int]]:
        """(estimate is of use, values sorted): ratios to the estimate, or run times where they spread less."""
        if self.cache is None:
            offs = sorted([r - e for r, e in self.rows])
            rans = sorted([r for r, _ in self.rows])
            cut = len(offs) // 8
            by_est = len(offs) < 8 or offs[-1 - cut] - offs[cut] <= rans[-1 - cut] - rans[cut] + 24
            self.cache = by_est, offs if by_est else rans
        return self.cache


class Runs:
    """Invariants: at most KEYS rings, the one used longest ago is forgotten first; an end counts once; only runs
    that ended `done` and began from nothing count. Estimates 0 have keys of their own.
    """

    def __init__(self) -> None:
        self.rings: dict[RunKey, Ring] = {}
        self.seen: dict[int, None] = {}
        self.slow = Slow()

    def note(
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
        """See `History.note_end`."""
        if how != "done" or not whole or ms < 0 or step.is_long_running:
            return
        seen = self.seen
        mark = zlib.crc32(task.encode(), run)
        if mark in seen:
            return
        seen[mark] = None
        if len(seen) > SEEN:
            del seen[next(iter(seen))]
        key = run_key(q=q, step=step)
        ring = self.rings.pop(key, None)
        if ring is None:
            ring = Ring()
            if len(self.rings) >= KEYS:
                del self.rings[next(iter(self.rings))]
        self.rings[key] = ring
        ran, est = _log(ms / far if far > 1.0 else ms), _log_est(step.estimate_ms or BLIND_MS)
        if minion_id and len(ring.rows) >= 8:
            ran -= self.slow.note(minion_id=minion_id, off=ran - est - (ring.lo + ring.hi) // 2)
        ring.put(ran=ran, est=est)

    def times(self, *, q: str, step: Step, far: float = 1.0, minion_id: str = "") -> Times:
        """See `History.times`."""
        est = _log_est(step.estimate_ms or BLIND_MS)
        ring = self.rings.get(run_key(q=q, step=step))
        n = len(ring.rows) if ring is not None else 0
        by_est, vals = ring.sorted() if ring is not None else (True, [])
        if n < len(PRIOR):
            vals = sorted([*vals, *(_log(p * 1000) - _log(1000) for p in PRIOR[n:])])
        base = (est if by_est else 0) + (self.slow.log(minion_id=minion_id) if minion_id else 0)
        p50, p90, p95 = (far * math.exp((base + rank(vals=vals, q=q)) / SCALE) for q in (0.5, 0.9, 0.95))
        return Times(p50=p50, p90=p90, p95=p95, n=n, confidence=n / (n + 4))

    def dump(self) -> Any:
        """As plain data."""
        return {
            "r": [[list(k), r.out, r.lo, r.hi, r.since, [list(x) for x in r.rows]] for k, r in self.rings.items()],
            "s": list(self.seen),
            "m": self.slow.dump(),
        }

    def load(self, document: Any) -> None:
        """Replace all."""
        self.rings = {}
        self.seen = dict.fromkeys(document["s"])
        self.slow = Slow.load(document["m"])
        for (q, cpu, mem, gpu, est), out, lo, hi, since, rows in document["r"]:
            ring = Ring()
            ring.out, ring.lo, ring.hi, ring.since, ring.rows = out, lo, hi, since, [list(r) for r in rows]
            self.rings[q, cpu, mem, gpu, est] = ring
