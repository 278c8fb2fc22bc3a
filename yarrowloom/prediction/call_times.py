"""When one kind of job is called: a locked period, quantiles of the gaps, rates over a short and a long time."""

import math
from typing import Any

from .accuracy import Score
from .job_kind import Form

BURST_MS = 250  # what comes within this of a call's first job belongs to the same call
GAPS = 16
FORMS = 8
RACKS = 4
SHORT_MS = 10_000.0  # time constants of the two rates
LONG_MS = 300_000.0
LEAST_PERIOD = 500.0
MOST_PERIOD = 86_400_000.0
SLIP = 0.2  # a call this share of a period off its time is not on time
TOL_MS = 100.0
JOBS_MOST = 64.0  # never more are expected at once


class Calls:
    """Times are History's inner ones, which never go back. Invariants: `gaps` holds the newest GAPS gaps between
    calls; `period` 0 means not locked, else the next beat is due at `ref` + `period`; `lo`..`hi` is where the next
    gap was expected when the last call came; `forms` and `racks` are bounded by FORMS and RACKS.
    """

    __slots__ = (
        "at",
        "bad",
        "err",
        "forms",
        "gaps",
        "gscore",
        "hi",
        "lo",
        "long",
        "n",
        "now",
        "period",
        "pscore",
        "racks",
        "ref",
        "short",
        "size",
        "usual",
    )

    def __init__(self) -> None:
        self.n = 0
        self.at = self.now = 0
        self.size = 0
        self.usual = 1.0
        self.gaps: list[int] = []
        self.lo = self.hi = 0
        self.period = self.ref = self.err = 0.0
        self.bad = 0
        self.short = self.long = 0.0
        self.pscore = Score()
        self.gscore = Score()
        self.forms: list[list[int]] = []
        self.racks: dict[str, float] = {}

    def put(self, *, t: int, form: Form, n: int, near: str, quiet: int) -> bool:
        """One job. `quiet`: how long no job of any kind had come. True if it begins a call."""
        dt = max(0, t - self.now)
        self.short = self.short * math.exp(-dt / SHORT_MS) + 1
        self.long = self.long * math.exp(-dt / LONG_MS) + 1
        self.now = t
        if self.n and t - self.at < BURST_MS:
            self.size += 1
            return False
        self.forms.append([form.cpu, form.mem, form.gpu, n])
        if len(self.forms) > FORMS:
            del self.forms[0]
        self._rack(near=near)
        if self.n:
            self.usual += 0.3 * (min(self.size, JOBS_MOST) - self.usual)
            self._gap(t=t, quiet=quiet)
        self.at, self.size = t, 1
        self.n += 1
        return True

    def _rack(self, *, near: str) -> None:
        racks = self.racks
        if near not in racks and len(racks) >= RACKS:
            del racks[min(racks, key=lambda r: (racks[r], r))]
        for r in racks:
            racks[r] *= 0.9
        racks[near] = racks.get(near, 0.0) + 1

    def _gap(self, *, t: int, quiet: int) -> None:
        gap = t - self.at
        if self.hi:
            self.gscore.push(ok=self.lo <= gap <= self.hi)
        if self.period:
            self._beat(t=t, quiet=quiet)
        self.gaps.append(gap)
        if len(self.gaps) > GAPS:
            del self.gaps[0]
        vals = sorted(self.gaps)
        if len(vals) >= 4:
            cut = len(vals) // 10
            self.lo, self.hi = vals[cut], vals[-1 - cut]
            self.lo -= self.lo // 10
            self.hi += self.hi // 10
        if not self.period and len(vals) >= 4 and (self.n < 2 * GAPS or self.n % 4 == 0):
            self._lock(t=t)

    def _beat(self, *, t: int, quiet: int) -> None:
        """The locked period meets a call: beats without one count as misses, unless nothing at all came then."""
        k = max(1, round((t - self.ref) / self.period))
        off = t - self.ref - k * self.period
        ok = abs(off) <= self.tol()
        for _ in range(min(k - 1, 1 if quiet > self.period / 2 else 16)):
            self.pscore.push(ok=False)
        self.pscore.push(ok=ok)
        if abs(off) <= SLIP * self.period:
            self.bad = 0
            self.ref += k * self.period + 0.25 * off
            self.period += 0.1 * off / k
            self.err += 0.15 * (abs(off) - self.err)
        else:
            self.bad += 1
            if self.bad >= 2:
                self.period = 0.0
                self.bad = 0

    def tol(self) -> float:
        """How far off its time a call still is on time, in milliseconds."""
        return min(SLIP * self.period, max(TOL_MS, 4 * self.err))

    def _lock(self, *, t: int) -> None:
        """Try few periods on the calls kept; at most 3 x GAPS steps."""
        gaps = self.gaps
        vals = sorted(gaps)
        median = float(vals[len(vals) // 2])
        pair = sorted(a + b for a, b in zip(gaps, gaps[1:], strict=False))
        best = (0.0, 0.0, 0.0, 0.0)
        for period in (median, float(pair[len(pair) // 2]), median / 2):
            if not LEAST_PERIOD <= period <= MOST_PERIOD:
                continue
            p, ref, err, ok, beats = period, 0.0, 0.0, 0, 0
            at = 0
            for gap in gaps:
                at += gap
                k = max(1, round((at - ref) / p))
                off = at - ref - k * p
                beats += min(k, 8)
                if abs(off) <= SLIP * p:
                    ok += 1
                    ref += k * p + 0.5 * off
                    p += 0.2 * off / k
                    err += 0.3 * (abs(off) - err)
                elif ok == 0 or off < 0:
                    ref = at
            if ok / max(beats, len(gaps)) > best[0] and p >= LEAST_PERIOD:
                best = (ok / max(beats, len(gaps)), p, t - at + ref, err)
        if best[0] >= 0.6:
            _, self.period, self.ref, self.err = best

    # -- what is expected; nothing here changes state

    def beat(self, *, now: float) -> tuple[float, float] | None:
        """The next beat, and the chance that it brings a call; each beat passed in silence halves it."""
        if not self.period or not self.pscore.on:
            return None
        k = max(1, math.ceil((now - self.tol() - self.ref) / self.period))
        return (self.ref + k * self.period, self.pscore.rate * 0.5 ** (k - 1)) if k <= 4 else None

    def gap(self, *, now: float, horizon: float) -> tuple[int, int, int, float] | None:
        """(early, likely, late, chance within the horizon), from the gaps that are longer than the silence so far."""
        if not self.gscore.on:
            return None
        past = now - self.at
        left = sorted(gap for gap in self.gaps if gap > past)
        if not left:
            return None
        soon = sum(gap <= past + horizon for gap in left)
        chance = self.gscore.rate * soon / (len(left) + 0.5)
        return (
            self.at + left[0] - left[0] // 10,
            self.at + left[len(left) // 2],
            self.at + left[-1] + left[-1] // 10,
            chance,
        )

    def rate(self, *, now: float) -> float:
        """Jobs a millisecond: the lower of both while a burst fades, their mean while it grows."""
        dt = max(0.0, now - self.now)
        short = self.short * math.exp(-dt / SHORT_MS) / SHORT_MS
        long = self.long * math.exp(-dt / LONG_MS) / LONG_MS
        return min(short, long) if short < long else (short + long) / 2

    def shape(self, *, req: str, whole: bool) -> tuple[Form, int]:
        """What holds any of the last few (`whole`) or most of them, and how many tasks they mostly had."""
        at = len(self.forms) - 1 if whole else 5 * len(self.forms) // 8
        cpu, mem, gpu = (sorted(f[i] for f in self.forms)[at] for i in range(3))
        ns = sorted(f[3] for f in self.forms)
        return Form(cpu=cpu, mem=mem, gpu=gpu, req=req), ns[len(ns) // 2]

    def rack(self) -> str:
        """The rack that mostly holds the data, or none that does so more often than not."""
        best = max(self.racks, key=lambda r: (self.racks[r], r), default="")
        return best if best and 2 * self.racks[best] > sum(self.racks.values()) else ""

    def dump(self) -> Any:
        """As plain data."""
        out = {k: getattr(self, k).dump() if k in ("pscore", "gscore") else getattr(self, k) for k in self.__slots__}
        return {**out, "gaps": list(self.gaps), "forms": [list(f) for f in self.forms], "racks": dict(self.racks)}

    @classmethod
    def load(cls, document: Any) -> "Calls":
        """Undo `dump`."""
        out = cls()
        for k in cls.__slots__:
            val = document[k]
            setattr(
                out,
                k,
                Score.load(val)
                if k in ("pscore", "gscore")
                else [list(f) for f in val]
                if k == "forms"
                else list(val)
                if k == "gaps"
                else dict(val)
                if k == "racks"
                else val,
            )
        return out
