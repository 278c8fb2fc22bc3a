"""What may happen next in the world of `tests/support/replication_model.py`, and the search through it.

The first choice of each state is what a calm cluster would do: what is due by time, a call, a sync, the oldest message,
else time goes on. Each other one is a swap or a fault. All ways with at most so many of both in a window of steps are
gone through, and each goes on calmly until the world is settled."""

import pickle
import random
import re
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from typing import Any, cast

import orjson

from tests.support.binding_explorer import Found
from tests.support.binding_model import Choice, InvariantBrokenError, require
from tests.support.replication_model import Cut, Line, World
from yarrowloom.common.records import Record

DT_S = 0.2
EDGE_S = 0.002
SETTLED_BY = 6000
CUT_S = 2.6
FREEZES_S = (0.6, 2.0)
CRASH_DOWN_S = {"kill": 0.3, "power": 2.0, "end": 1.0}  # for so long is a process down
DRAIN_S, DRAIN_MOST_S = 0.6, 5.0  # as in `node/runtime.py`
SWAPS = frozenset({"sync", "deliver", "op", "tick", "edge", "rotate"})
FAULTS = frozenset({"lose", "repeat", "kill", "power", "disk", "replace", "cut", "freeze", "leave"})
ALL = SWAPS | FAULTS
LINKS = frozenset(
    {"w", "environment", "_environment", "replica", "_candidate", "_member"}
)  # attributes that lead back to others
_TAG = re.compile(rb"10\.0\.0\.\d+:7000#\d+/[0-9.]+/\d+")


def calm(w: World) -> Choice:
    """What happens if nothing is in the way."""
    for m in w.members:
        if not m.gone and 0 <= m.down_until <= w.now:
            return ("restart", m.index)
        if m.running and 0 <= m.frozen_until <= w.now:
            return ("thaw", m.index)
        spent = w.now - m.leaving_since
        if m.awake and m.leaving_since >= 0 and (spent >= DRAIN_MOST_S or (spent >= DRAIN_S and m.may_end())):
            return ("end", m.index)
    for way, cut in w.cuts.items():
        if cut.until <= w.now:
            return ("heal", *way)
    if w.op_due():
        return ("op",)
    writing = [m for m in w.members if m.awake and m.pending]
    if writing:
        member = min(writing, key=lambda m: m.pending[0][0])
        return ("sync", member.index, len(member.pending))
    lines = [line for line in w.lines if w.open(line=line)]
    if lines:
        return ("deliver", min(lines, key=lambda line: w.lines[line][0].serial))
    return ("tick",)


def others(w: World, *, kinds: frozenset[str]) -> list[Choice]:
    """All else that may happen."""
    out: list[Choice] = []
    for m in w.members:
        if m.awake and m.pending:
            out += [("sync", m.index, n) for n in {1, len(m.pending)}] + [("rotate", m.index)]
        elif m.awake:
            out.append(("rotate", m.index))
    lines = sorted((line for line in w.lines if w.open(line=line)), key=lambda line: w.lines[line][0].serial)
    out += [("deliver", line) for line in lines]
    if w.next_op < len(w.script) and not w.script[w.next_op].last and w.server() is not None:
        out.append(("op",))
    out.append(("tick",))
    out += edges(w) if "edge" in kinds else []
    out += [("lose", line) for line in lines if line.src != line.dst]
    out += [("repeat", line) for line in lines if line.src != line.dst]
    for m in w.members:
        if m.running:
            out += member_faults(w, index=m.index)
    return [c for c in out if c[0] in kinds]


def edges(w: World) -> list[Choice]:
    """Moments just before and after a deadline of a member, within the next tick."""
    out: list[Choice] = []
    for m in w.members:
        if m.awake:
            for at in sorted(set(m.deadlines())):
                ahead = (at - m.now) / m.rate
                out += [("edge", m.index, ahead + shift) for shift in (-EDGE_S, EDGE_S) if 0 < ahead + shift < DT_S]
    return out


def member_faults(w: World, *, index: int) -> list[Choice]:
    m = w.members[index]
    out: list[Choice] = [("kill", index), ("leave", index)] + [("power", index, n) for n in range(len(m.pending) + 1)]
    if len(w.lost_disks) < w.losses:
        out += [("disk", index), ("replace", index)]
    if m.awake:
        out += [("freeze", index, s) for s in FREEZES_S]
    rest = [x.address for x in w.members if x is not m and not x.gone]
    if not w.cuts:
        out += [("cut", index, way, loses) for way in ("in", "out", "both") for loses in (True, False)]
        out += [("cut", index, address, loses) for address in rest for loses in (True, False)]
    return out


def do(w: World, c: Choice) -> None:
    """Let it happen, and judge the state."""
    what = c[0]
    if what in ("deliver", "lose", "repeat"):
        line = cast(Line, c[1])
        if what == "lose":
            w.drop(line=line)
        else:
            w.deliver(line=line, keep=what == "repeat")
    elif what == "op":
        w.do_op()
    elif what == "tick":
        w.now += DT_S
        for m in w.members:
            if m.awake:
                w.tick_member(m)
    elif what == "heal":
        del w.cuts[c[1], c[2]]
    else:
        do_member(w, c)
    w.judge()


def do_member(w: World, c: Choice) -> None:
    what, m = c[0], w.members[c[1]]
    if what == "sync":
        w.sync(member=m, count=c[2])
    elif what == "rotate":
        w.rotate(member=m)
    elif what == "edge":
        w.now += c[2]
        w.tick_member(m)
    elif what == "restart":
        w.restart(member=m)
    elif what == "thaw":
        m.frozen_until = -1.0
        m.thaw(slept=1.0)
    elif what == "freeze":
        m.frozen_until = w.now + c[2]
    elif what in CRASH_DOWN_S:
        w.crash(member=m, kept=c[2] if what == "power" else len(m.pending), down_s=CRASH_DOWN_S[what])
    elif what in ("disk", "replace"):
        w.lose_disk(member=m, new_addr=what == "replace")
    elif what == "leave":
        m.leaving_since = w.now
        m.leave()
    else:
        cut(w, c)


def cut(w: World, c: Choice) -> None:
    """Ways to and from a member carry nothing for a while."""
    _, index, way, loses = c
    me = w.members[index].address
    for other in (
        x.address for x in w.members if x.address != me and (way in ("in", "out", "both") or x.address == way)
    ):
        pairs = {"in": [(other, me)], "out": [(me, other)]}.get(way, [(other, me), (me, other)])
        w.cuts.update({pair: Cut(until=w.now + CUT_S, loses=loses) for pair in pairs})
    if loses:
        w.lines = {line: rows for line, rows in w.lines.items() if (line.src, line.dst) not in w.cuts}


def flat(x: Any, now: float, seen: set[int]) -> Any:
    """A state as plain data; what is met again is left out. Times count from now; those long past are all the same."""
    kind = type(x)
    if kind is float:
        return round(max(x - now, -12.0), 4) if x > 900 else x
    if x is None or kind in (str, int, bool):
        return x
    if kind is dict:
        return {k: flat(v, now, seen) for k, v in x.items()}
    if kind is list or kind is tuple:
        return [flat(v, now, seen) for v in x]
    if kind in (set, frozenset):
        return sorted(map(str, x))
    if isinstance(x, Enum):
        return x.value
    if id(x) in seen:
        return "#"
    if isinstance(x, Record):
        return flat(x.document(), now, seen)
    seen.add(id(x))
    fields = vars(x) if hasattr(x, "__dict__") else {name: getattr(x, name) for name in x.__slots__}
    return {k: flat(v, now, seen) for k, v in fields.items() if k not in LINKS}


def digest(w: World) -> bytes:
    """The same for the same state, whatever way led there; of serial numbers only the order counts, tags are renamed,
    times are told from now."""
    order = sorted([r.serial for rows in w.lines.values() for r in rows] + [r[0] for m in w.members for r in m.pending])
    place = {n: i for i, n in enumerate(order)}
    lines = sorted(
        [
            line.src,
            line.incarnation,
            line.dst,
            line.copy,
            [[place[r.serial], r.node_id, r.kind, flat(r.body, w.now, set())] for r in rows],
        ]
        for line, rows in w.lines.items()
    )
    members = []
    for m in w.members:
        own = {k: v for k, v in vars(m).items() if k not in LINKS | {"pending", "synced"}}
        waiting = [[place[n], record, type(done).__name__, done] for n, record, done in m.pending]
        members.append([m.synced, flat([own, m.replica, waiting], m.now, set())])
    document = [
        lines,
        members,
        w.next_op,
        w.closing,
        sorted(w.acked.items()),
        sorted(w.lost_disks),
        w.count,
        sorted([*way, round(c.until - w.now, 4), c.loses] for way, c in w.cuts.items()),
        [round(max(0.0, w.script[w.next_op].at - (w.now - w.began)), 4) if w.next_op < len(w.script) else 0],
        sorted(
            [n, bal, value, sorted(node_ids)] for (n, bal, value), node_ids in w.votes.items() if n >= max(w.decided)
        ),
    ]
    names: dict[bytes, bytes] = {}
    raw = _TAG.sub(
        lambda hit: names.setdefault(hit.group(), b"tag%d" % len(names)),
        orjson.dumps(document, option=orjson.OPT_SORT_KEYS | orjson.OPT_NON_STR_KEYS),
    )
    return blake2b(raw, digest_size=16).digest()


@dataclass(kw_only=True)
class Search:
    """Invariant: a state is gone on from only if it was not met with at least as many swaps, faults and steps left."""

    swaps: int
    faults: int
    window: int
    kinds: frozenset[str] = ALL
    stop_at: int = 1
    most_steps: int = 0  # 0: no limit
    found: Found = field(default_factory=Found)
    best: dict[bytes, list[tuple[int, int, int]]] = field(default_factory=dict)
    here: set[bytes] = field(default_factory=set)  # calm states of the way that is gone

    def run(self, w: World) -> Found:
        stack: list[tuple[bytes, Choice | None, int, int, int, list[tuple[int, Choice]]]] = [
            (pickle.dumps(w, protocol=5), None, self.swaps, self.faults, 0, [])
        ]
        while (
            stack
            and len(self.found.broken) < self.stop_at
            and (not self.most_steps or self.found.steps < self.most_steps)
        ):
            state, first, swaps, faults, step, trail = stack.pop()
            self.found.ways += 1
            here: World = pickle.loads(state)
            self.here = set()
            try:
                if first is not None:
                    self.act(here, first)
                    step += 1
                while not self.ended(here, (swaps, faults, max(0, self.window - step))):
                    require(step < SETTLED_BY, "STUCK", *here.unsettled())
                    usual = calm(here)
                    if step < self.window and (swaps or faults):
                        snap = pickle.dumps(here, protocol=5)
                        for c in reversed(others(here, kinds=self.kinds)):
                            bad = c[0] in FAULTS
                            if c != usual and (faults if bad else swaps):
                                stack.append((snap, c, swaps - (not bad), faults - bad, step, [*trail, (step, c)]))
                    self.act(here, usual)
                    step += 1
            except (InvariantBrokenError, AssertionError, KeyError, IndexError) as err:
                self.found.broken.append((f"{type(err).__name__} {err}", trail))
        return self.found

    def act(self, w: World, c: Choice) -> None:
        self.found.steps += 1
        self.found.kinds[c[0]] = self.found.kinds.get(c[0], 0) + 1
        do(w, c)

    def ended(self, w: World, left: tuple[int, int, int]) -> bool:
        """All is settled and nothing but calm is left, or the state was met before."""
        w.closing = not left[2] or not (left[0] or left[1])
        return (w.closing and w.settled()) or self.known(w, left)

    def known(self, w: World, left: tuple[int, int, int]) -> bool:
        """Beyond what is branched from, only states in which nothing but time can go on are compared."""
        if not (left[2] and (left[0] or left[1])) and calm(w)[0] != "tick":
            return False
        key = digest(w)
        self.found.seen.add(key)
        rows = self.best.setdefault(key, [])
        if any(all(a >= b for a, b in zip(row, left, strict=True)) for row in rows):
            require(key not in self.here, "STUCK", "the same state again", *w.unsettled())
            return True
        if w.closing:
            self.here.add(key)
        rows.append(left)
        self.found.states = len(self.found.seen)
        return False


def walk(w: World, *, seed: int, steps: int, share: float, kinds: frozenset[str] = ALL) -> list[tuple[int, Choice]]:
    """A random way: each step is another choice with this probability; then calm until all is settled. The trail."""
    rand, trail = random.Random(seed), list[tuple[int, Choice]]()
    try:
        for step in range(SETTLED_BY):
            w.closing = step >= steps
            if w.closing and w.settled():
                return trail
            c = calm(w)
            if step < steps and rand.random() < share:
                rows = others(w, kinds=kinds)
                kind = rand.choice(sorted({row[0] for row in rows}))
                c = rand.choice([row for row in rows if row[0] == kind])
                trail.append((step, c))
            do(w, c)
        raise InvariantBrokenError(f"STUCK {w.unsettled()}")
    except (InvariantBrokenError, AssertionError, KeyError, IndexError) as err:
        raise InvariantBrokenError(f"{type(err).__name__} {err} after {step + 1} steps, {trail}") from err


def replay(w: World, trail: list[tuple[int, Choice]]) -> World:
    """The calm way but for the choices named by their steps, until the world is settled."""
    other = dict(trail)
    for step in range(SETTLED_BY):
        w.closing = step > max(other, default=-1)
        if w.closing and w.settled():
            return w
        do(w, other.get(step) or calm(w))
    raise InvariantBrokenError(f"STUCK {w.unsettled()}")


def ready(w: World) -> World:
    """The cluster comes up calmly; the script's times count from here."""
    while not w.whole() or calm(w)[0] != "tick":
        do(w, calm(w))
    w.start_script()
    return w
