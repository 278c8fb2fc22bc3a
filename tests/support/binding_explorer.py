"""What may happen next in the small world of `tests/support/binding_model.py`, and the search through it.

The first of the choices is what a calm cluster would do: the oldest message, a write, a beat that is due, a task's
end, else time goes on. Each other choice is a swap or a fault. All ways with at most so many swaps and faults within a
window of steps are gone through, depth first, and each goes on calmly until the world is settled."""

import pickle
from collections import deque
from dataclasses import dataclass, field
from enum import Enum
from hashlib import blake2b
from typing import Any

import msgspec
import orjson

from tests.support.binding_model import CAP, DT, Broken, Choice, World, need
from yarrowloom.agent import Agent

FAULTS = ("lose", "die")
WORK_S = 0.7  # a calm task runs this long
SETTLED_BY = 500  # steps; then the world counts as stuck


def choices(w: World) -> list[Choice]:
    """What may happen; the calm one first."""
    lines = sorted(w.lines, key=lambda c: w.lines[c][0][0])
    words = {line for line in lines if all(what == "CAPACITY_REPORT" for _, what, _ in w.lines[line])}
    out: list[Choice] = [("deliver", *line) for line in lines if line not in words]
    out[:0] = [("rooms",)] if words else []
    out += [("write", group_id) for group_id in w.schedulers if w.replica(group_id=group_id).queue]
    idle = [m for m in w.minis.values() if m.sent < 0]
    out += [("beat", m.minion_id) for m in idle if w.now >= m.due]
    ends = [
        (m.minion_id, t, "stopped" if row[2] else "done", row[2] or w.now - row[1] > WORK_S)
        for m in w.minis.values()
        for t, row in m.running.items()
    ]
    out += [("end", minion_id, t, how) for minion_id, t, how, ripe in ends if ripe]
    out.append(("tick",))
    out += [("beat", m.minion_id) for m in idle if w.now < m.due]
    out += [("end", minion_id, t, how) for minion_id, t, how, ripe in ends if not ripe]
    out += [("end", minion_id, t, "failed") for minion_id, t, _, _ in ends]
    out += [("lose", *line) for line in lines if w.lines[line][0][1] not in ("CLUSTER_UPDATE", "MARK")]
    for group_id in w.schedulers:
        out.append(("die", group_id, False))
        if w.replica(group_id=group_id).queue:
            out.append(("die", group_id, True))
    return out


def do(w: World, c: Choice) -> None:
    """Let it happen, and judge the state."""
    what = c[0]
    if what == "deliver":
        w.deliver(line=c[1:])
    elif what == "rooms":  # lines with nothing but words on room are read together: they only tell figures
        for line in sorted(w.lines, key=lambda line: w.lines[line][0][0]):
            if all(kind == "CAPACITY_REPORT" for _, kind, _ in w.lines[line]):
                w.deliver(line=line)
    elif what == "write":
        for effect in w.replica(group_id=c[1]).write():
            w.effect(group_id=c[1], effect=effect)
    elif what == "beat":
        w.minis[c[1]].beat()
    elif what == "end":
        w.minis[c[1]].end(task=c[2], how=c[3])
    elif what == "tick":
        tick(w)
    elif what == "lose":
        lose(w, line=c[1:])
    else:
        die(w, group_id=c[1], kept=c[2])
    judge(w)


def tick(w: World) -> None:
    w.now += DT
    for m in w.minis.values():
        if m.sent >= 0 and w.now - m.sent > 1.0:
            m.sent = -1.0
        if w.now > m.hold:
            for task in list(m.running):
                m.end(task=task, how="lapsed")
    for a in w.agents.values():
        a.tick()
    for p in w.schedulers.values():
        p.tick()
    for src, dst in sorted(w.torn):
        if (src, dst) not in w.lines:
            w.push(src=src, dst=dst, what="MARK", body={})


def lose(w: World, *, line: tuple[str, str]) -> None:
    """A message is lost; a lost answer is a call that fails at once."""
    w.lines[line].pop(0)
    if not w.lines[line]:
        del w.lines[line]
    if line[1] in w.minis:
        w.minis[line[1]].sent, w.minis[line[1]].due = -1.0, w.now + 0.1
    else:
        w.torn.add(line)


def die(w: World, *, group_id: int, kept: bool) -> None:
    """A placing node dies with what it was told; what it sent is still on its way. `kept`: what it wrote last is
    durable, but nothing came of it. The next one begins; agents hear of it by and by."""
    old, n = w.node_id(group_id=group_id), w.replica(group_id=group_id).state_epoch + 1
    if kept:
        w.replica(group_id=group_id).write()
    w.lines = {line: rows for line, rows in w.lines.items() if line[1] != old}
    w.torn = {line for line in w.torn if line[1] != old}
    w.rise(group_id=group_id, n=n)
    for node_id in w.agents:
        w.push(
            src="news",
            dst=node_id,
            what="CLUSTER_UPDATE",
            body={"g": group_id, "u": w.node_id(group_id=group_id), "n": n},
        )


def judge(w: World) -> None:
    """The invariants of every state."""
    for a in w.agents.values():
        for m in a.minions.values():
            have = [sum(part) for part in zip((0, 0, 0), *(x.size for x in m.leases.values()), strict=True)]
            need(have == list(m.leased), "LIMIT", m.minion_id, "used", m.leased, "leases", have)
            need(all(h <= c for h, c in zip(have, CAP, strict=True)), "LIMIT", m.minion_id, "leases", have)
            lids = [r.lease_id for r in m.runs.values() if r.lease_id]
            need(len(set(lids)) == len(lids), "LEASE", m.minion_id, "serves two runs at a time", lids)
    for mini in w.minis.values():
        cpu = sum(w.size[t.split(".")[0]] for t in mini.running)
        need(cpu <= CAP[0], "LIMIT", mini.minion_id, "runs", list(mini.running))


def left(w: World) -> list[str]:
    """What is not settled yet: jobs not done in the record, room not back at the agents or in a placing node's table,
    what a placing node still remembers of runs and requests that are no more."""
    out = []
    for group_id, p in w.schedulers.items():
        out += [f"job {job_id}" for job_id, job in p.context.jobs.jobs.items() if not job.has_ended]
        out += [f"held {t} by {w.node_id(group_id=group_id)}" for t in p.context.leases.by_task] + [
            f"ask {request_id} of {w.node_id(group_id=group_id)}" for request_id in p.binding.open_requests
        ]
        out += [f"write {group_id}"] if w.replica(group_id=group_id).queue else []
        out += [
            f"room of {minion_id} at {w.node_id(group_id=group_id)}"
            for minion_id in w.minis
            if (s := p.context.capacity.minions.get(minion_id)) is None or not s.is_open or s.free != s.total
        ]
    for a in w.agents.values():
        out += [f"lease {lease_id} on {m.minion_id}" for m in a.minions.values() for lease_id in m.leases]
        out += [f"run {t} on {m.minion_id}" for m in a.minions.values() for t in (*m.runs, *m.unknown_runs)]
    out += [
        f"{what} to {dst}"
        for (_, dst), rows in w.lines.items()
        for _, what, _ in rows
        if what != "CAPACITY_REPORT" and dst not in w.minis
    ]
    out += [f"{src} to {dst} torn" for src, dst in w.torn]
    return out + [f"runs or ends of {m.minion_id}" for m in w.minis.values() if m.running or m.ends]


def settled(w: World) -> bool:
    """Every accepted job is done in the record, and all room is back."""
    return not any(m.running or m.ends for m in w.minis.values()) and not left(w)


SKIP = frozenset({"w", "hub", "rep", "agent", "warm", "serial"})


def plain(x: Any, seen: set[int]) -> Any:
    """A state as plain data; what is met again is left out."""
    if x is None or (isinstance(x, (str, int, float)) and not isinstance(x, Enum)):
        return x
    if isinstance(x, Enum):
        return x.value
    if isinstance(x, (set, frozenset)):
        return sorted(map(str, x))
    if isinstance(x, (list, tuple, deque)):
        return [plain(v, seen) for v in x]
    if isinstance(x, dict):
        return {str(k): plain(v, seen) for k, v in x.items()}
    if isinstance(x, msgspec.Struct):
        return msgspec.to_builtins(x, str_keys=True)
    if id(x) in seen:
        return "#"
    seen.add(id(x))
    names = getattr(type(x), "__slots__", ()) or x.__dict__
    return {
        n: plain(v, seen)
        for n in names
        if not isinstance(v := getattr(x, n), Agent) and (n not in SKIP or isinstance(v, str))
    }


def digest(w: World) -> bytes:
    """The same for the same state, whatever way led there. Of messages' numbers only the order counts."""
    nums = {n: i for i, n in enumerate(sorted(n for rows in w.lines.values() for n, _, _ in rows))}
    document = {
        "w": {k: plain(v, set()) for k, v in vars(w).items() if k not in ("lines", "serial")},
        "q": {group_id: plain(w.replica(group_id=group_id).queue, set()) for group_id in w.schedulers},
        "l": {f"{a}>{b}": [[nums[n], what, body] for n, what, body in rows] for (a, b), rows in w.lines.items()},
        "p": {node_id: a.environment.prims for node_id, a in w.agents.items()},  # type: ignore[attr-defined]
    }
    return blake2b(
        orjson.dumps(document, option=orjson.OPT_SORT_KEYS | orjson.OPT_NON_STR_KEYS), digest_size=16
    ).digest()


@dataclass(kw_only=True)
class Found:
    """What a search met. `broken`: invariant and the choices that were not the calm ones, with their steps."""

    states: int = 0
    steps: int = 0
    ways: int = 0
    seen: set[bytes] = field(default_factory=set)
    kinds: dict[str, int] = field(default_factory=dict)
    broken: list[tuple[str, list[tuple[int, Choice]]]] = field(default_factory=list)


@dataclass(kw_only=True)
class Search:
    """Invariant: a state is gone on from only if it was not met with at least as many swaps, faults and steps left."""

    swaps: int
    faults: int
    window: int
    stop_at: int = 1
    found: Found = field(default_factory=Found)
    best: dict[bytes, list[tuple[int, int, int]]] = field(default_factory=dict)

    def run(self, w: World) -> Found:
        stack: list[tuple[bytes, Choice | None, int, int, int, list[tuple[int, Choice]]]] = [
            (pickle.dumps(w, protocol=5), None, self.swaps, self.faults, 0, [])
        ]
        while stack and len(self.found.broken) < self.stop_at:
            state, first, swaps, faults, step, trail = stack.pop()
            self.found.ways += 1
            here: World = pickle.loads(state)
            try:
                if first is not None:
                    self.act(here, first)
                    step += 1
                while not self.known(here, (swaps, faults, max(0, self.window - step))) and not settled(here):
                    need(step < SETTLED_BY, "STUCK", *left(here))
                    calm, *rest = choices(here)
                    if step < self.window and (swaps or faults):
                        snap = pickle.dumps(here, protocol=5)
                        for c in reversed(rest):
                            bad = c[0] in FAULTS
                            if faults if bad else swaps:
                                stack.append((snap, c, swaps - (not bad), faults - bad, step, [*trail, (step, c)]))
                    self.act(here, calm)
                    step += 1
            except (Broken, AssertionError, KeyError, IndexError) as err:
                self.found.broken.append((f"{type(err).__name__} {err}", trail))
        return self.found

    def act(self, w: World, c: Choice) -> None:
        self.found.steps += 1
        self.found.kinds[c[0]] = self.found.kinds.get(c[0], 0) + 1
        do(w, c)

    def known(self, w: World, left: tuple[int, int, int]) -> bool:
        """Beyond what is branched from, only states in which nothing but time can go on are compared."""
        if not (left[2] and (left[0] or left[1])) and choices(w)[0][0] != "tick":
            return False
        key = digest(w)
        self.found.seen.add(key)
        rows = self.best.setdefault(key, [])
        if any(all(a >= b for a, b in zip(row, left, strict=True)) for row in rows):
            return True
        rows.append(left)
        self.found.states = len(self.found.seen)
        return False


def replay(w: World, trail: list[tuple[int, Choice]], *, most: int = SETTLED_BY) -> World:
    """The calm way but for the choices named by their steps, until the world is settled."""
    other = dict(trail)
    for step in range(most):
        if settled(w) and step > max(other, default=-1):
            return w
        c = other.get(step)
        do(w, c if c is not None else choices(w)[0])
    raise Broken(f"STUCK {left(w)}")


def attached(jobs: list[tuple[str, list[dict[str, Any]]]]) -> World:
    """A calm start: both minions are known and attached by both groups, then jobs are handed in."""
    w = World()
    while not settled(w):
        do(w, choices(w)[0])
    for job_id, stages in jobs:
        w.put(job_id=job_id, stages=stages)
    return w
