"""One minion as its agent knows it: what its beats tell, what is owed to it."""

import enum
from dataclasses import dataclass, field
from typing import Any

NOHOW = ""


class Phase(enum.Enum):
    """How much is known of what a minion runs."""

    NEW = "new"  # owned, but no answer with the fence has gone out
    FENCED = "fenced"  # the fence has gone out; the next beat tells what runs
    KNOWN = "known"
    LOST = "lost"  # silent beyond its longest hold, or left


MOVES: dict[Phase, frozenset[Phase]] = {
    Phase.NEW: frozenset({Phase.FENCED, Phase.LOST}),
    Phase.FENCED: frozenset({Phase.KNOWN, Phase.LOST}),
    Phase.KNOWN: frozenset({Phase.LOST}),
    Phase.LOST: frozenset(),
}


@dataclass(kw_only=True)
class Lease:
    """Room on one minion, granted to one group. Invariant: counts against the minion until released; serves one
    run at a time; without a run it lapses at `until`. `own`: made for a run found at an attachment, so that no
    placing node knows it and it ends with its run.
    """

    lease_id: int
    minion_id: str
    group_id: int
    cpu: int
    mem: int
    gpu: int
    until: float = 0.0
    task: str = ""
    own: bool = False


@dataclass(kw_only=True)
class Run:
    """A start that the record holds. Invariant: `sent` only after the order was put into an answer; `live` once a
    beat listed it; it stays until its end is acknowledged by the group. `est` is below 0 for tasks that last.
    """

    task: str
    run: int
    group_id: int
    lease_id: int
    spec: str = ""
    saved: str = ""
    sent: bool = False
    live: bool = False
    stop: bool = False
    since: float = 0.0
    pct: float = 0.0
    moved: float = 0.0
    first: float = 0.0  # percent when first listed; a restored run begins above 0
    miss: int = 0
    est: int = 0


@dataclass(kw_only=True)
class Call:
    """A beat not yet answered."""

    key: Any
    at: float
    horizon: float


@dataclass(kw_only=True)
class Minion:
    """Invariants: `seen` reaches an end only when its group has it on both disks; `fence` is group 0's newest for
    this minion; no order leaves unless phase is KNOWN and every group was attached once
    under this fence (`met`); `att` holds the groups whose attachment stands now; `used` is the sum of `leases`.
    """

    minion_id: str
    fence: int
    heard: float
    service: str = ""
    zone: str = ""
    labels: list[str] = field(default_factory=list)
    cap: tuple[int, int, int] = (0, 0, 0)
    phase: Phase = Phase.NEW
    draining: bool = False
    warned: bool = False  # it said itself, in a beat, that it drains
    leave: float = 0.0
    seq: int = -1
    seen: int = 0
    running: dict[str, tuple[int, str, float]] = field(default_factory=dict)
    ends: dict[int, tuple[str, int, str, str]] = field(default_factory=dict)
    told: dict[int, float] = field(default_factory=dict)
    acked: set[int] = field(default_factory=set)
    runs: dict[str, Run] = field(default_factory=dict)
    strays: dict[str, int] = field(default_factory=dict)
    leases: dict[int, Lease] = field(default_factory=dict)
    used: list[int] = field(default_factory=lambda: [0, 0, 0])
    att: dict[int, tuple[int, int]] = field(default_factory=dict)
    met: set[int] = field(default_factory=set)
    claimed: dict[int, float] = field(default_factory=dict)
    asked: int = 0  # claims, or reports of its loss, not answered yet
    lostok: set[int] = field(default_factory=set)
    losing: float = 0.0
    call: Call | None = None
    pause: float = 0.0  # seconds from the last beat to the next one, by what the last one was answered
    grey: float = 0.0

    def move(self, phase: Phase) -> None:
        """Change phase by the table."""
        assert phase in MOVES[self.phase], (self.phase, phase)
        self.phase = phase

    def free(self) -> tuple[int, int, int]:
        """Room that nobody holds; nothing while something unknown runs."""
        if self.strays:
            return (0, 0, 0)
        return self.cap[0] - self.used[0], self.cap[1] - self.used[1], self.cap[2] - self.used[2]

    def lend(self, *, les: Lease) -> None:
        """A lease is granted."""
        self.leases[les.lease_id] = les
        for i, part in enumerate((les.cpu, les.mem, les.gpu)):
            self.used[i] += part

    def reclaim(self, *, lease_id: int) -> bool:
        """A lease ends; False: it had ended before."""
        les = self.leases.pop(lease_id, None)
        if les is None:
            return False
        for i, part in enumerate((les.cpu, les.mem, les.gpu)):
            self.used[i] -= part
        return True

    def take(self, *, document: dict[str, Any], now: float) -> None:
        """Take note of a beat's account; lists of the wrong shape count as empty."""
        self.heard, self.pause = now, 0.0
        self.seq = int(document.get("call-seq", self.seq + 1))
        self.service = str(document.get("backend", self.service))
        self.zone = str(document.get("zone", self.zone))
        self.labels = [str(x) for x in document.get("labels", self.labels)]
        cap = document.get("capacity", {})
        self.cap = (int(cap.get("cpus", 0)), int(cap.get("mem-mb", 0)), int(cap.get("gpus", 0)))
        if document.get("state") == "draining":
            self.draining = self.warned = True
            self.leave = now + float(document.get("leave-at-ms", 0) or 0) / 1000
        self.running = {}
        for row in document.get("running", []):
            task, run = str(row[0]), int(row[1])
            self.running[task] = (run, str(row[2]) if len(row) > 2 else "", float(row[3]) if len(row) > 3 else 0.0)
        for row in document.get("finished", []):
            num = int(row[0])
            if num > self.seen:
                self.ends[num] = (str(row[1]), int(row[2]), str(row[3]), str(row[4]) if len(row) > 4 else "")

    def note(self) -> None:
        """Move `seen` over ends that are acknowledged. A number not listed was forgotten under an earlier agent."""
        for num in sorted(self.ends):
            if num not in self.acked:
                break
            self.seen = num
            self.acked.discard(num)
            del self.ends[num]
            self.told.pop(num, None)

    def ended(self, *, task: str, run: int) -> bool:
        """Whether the beats listed an end of this run that is not yet noted."""
        return any(t == task and r == run for t, r, _, _ in self.ends.values())
