"""Kinds that follow others: B is called some time after A's call or end."""

import enum
import math
from typing import Any, NamedTuple

from .accuracy import Score
from .job_kind import related

WITHIN_MS = 20_000  # what comes later than this follows nothing
RECENT = 12  # triggers that may still be followed
EACH = 3  # followers kept for each trigger
PAIRS = 256
LAGS = 8
SLACK_MS = 100


class What(str, enum.Enum):
    """What is followed."""

    CALL = "call"
    END = "end"


class Pair:
    """Invariants: at most LAGS lags, oldest first; `open` while the newest trigger waits to be followed."""

    __slots__ = ("lags", "open", "score")

    def __init__(self) -> None:
        self.score = Score()
        self.lags: list[int] = []
        self.open = False

    def band(self) -> tuple[int, int, int]:
        """(earliest, middle, latest) lag, with a little room."""
        vals = sorted(self.lags)
        return int(vals[0] * 0.9) - SLACK_MS, vals[len(vals) // 2], int(vals[-1] * 1.1) + SLACK_MS

    def triggered(self) -> None:
        """The trigger came; one that nobody followed was a miss."""
        if self.open:
            self.score.push(ok=False)
        self.open = True

    def followed(self, *, lag: int) -> None:
        """The follower came."""
        low, _, high = self.band() if len(self.lags) >= 3 else (0, 0, WITHIN_MS)
        self.score.push(ok=low <= lag <= high)
        self.lags.append(lag)
        if len(self.lags) > LAGS:
            del self.lags[0]
        self.open = False

    def worth(self, *, rate: float) -> float:
        """Confidence above what calls at `rate` a millisecond would reach by mere chance; 0 if not clearly above."""
        if not self.score.on or len(self.lags) < 3:
            return 0.0
        low, _, high = self.band()
        mere = 1 - math.exp(-rate * (high - max(0, low)))
        return self.score.rate if self.score.rate > mere + 0.2 else 0.0


class Trigger(NamedTuple):
    """A call or end that may be followed: kind, what, inner time."""

    kind: str
    what: What
    at: int


class Follow:
    """Invariants: at most PAIRS pairs, EACH for one trigger; `recent` holds at most RECENT triggers, oldest first,
    one for each (kind, what).
    """

    def __init__(self) -> None:
        self.pairs: dict[tuple[str, What], dict[str, Pair]] = {}
        self.count = 0
        self.recent: list[Trigger] = []

    def trigger(self, *, kind: str, what: What, at: int) -> None:
        """A call began or a job ended."""
        self.recent = [r for r in self.recent if (r.kind, r.what) != (kind, what)][1 - RECENT :]
        self.recent.append(Trigger(kind, what, at))
        mine = self.pairs.get((kind, what))
        if mine is None:
            return
        for name, pair in list(mine.items()):
            pair.triggered()
            if pair.score.tries >= 8 and not pair.score.on:
                del mine[name]
                self.count -= 1
        if not mine:
            del self.pairs[kind, what]

    def called(self, *, kind: str, at: int) -> None:
        """A call began: which of the recent triggers does it follow?"""
        for trig in self.recent:
            lag = at - trig.at
            if lag > WITHIN_MS or related(one=trig.kind, two=kind):
                continue
            mine = self.pairs.get((trig.kind, trig.what))
            pair = mine.get(kind) if mine is not None else None
            if pair is None:
                if self.count >= PAIRS or (mine is not None and len(mine) >= EACH):
                    continue
                pair = Pair()
                pair.open = True
                self.pairs.setdefault((trig.kind, trig.what), {})[kind] = pair
                self.count += 1
            if pair.open:
                pair.followed(lag=lag)

    def drop(self, *, kind: str) -> None:
        """A kind is forgotten: as a trigger at once, as a follower by its pairs turning off."""
        for what in What:
            self.count -= len(self.pairs.pop((kind, what), ()))
        self.recent = [r for r in self.recent if r.kind != kind]

    def dump(self) -> Any:
        """As plain data."""
        return {
            "r": [[r.kind, r.what.value, r.at] for r in self.recent],
            "p": [
                [k, w.value, n, p.score.dump(), list(p.lags), p.open]
                for (k, w), mine in self.pairs.items()
                for n, p in mine.items()
            ],
        }

    def load(self, document: Any) -> None:
        """Replace all."""
        self.recent = [Trigger(k, What(w), at) for k, w, at in document["r"]]
        self.pairs = {}
        self.count = len(document["p"])
        for k, w, n, score, lags, is_open in document["p"]:
            pair = Pair()
            pair.score, pair.lags, pair.open = Score.load(score), list(lags), is_open
            self.pairs.setdefault((k, What(w)), {})[n] = pair
