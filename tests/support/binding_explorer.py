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

from tests.support.binding_model import CAP, DT, Choice, InvariantBrokenError, World, require
from yarrowloom.agent import Agent

FAULTS = ("lose", "die")
WORK_S = 0.7  # a calm task runs this long
SETTLED_BY = 500  # steps; then the world counts as stuck


def choices(world: World) -> list[Choice]:
    """What may happen; the calm one first."""
    channels = sorted(world.channels, key=lambda c: world.channels[c][0][0])
    words = {
        channel for channel in channels if all(what == "CAPACITY_REPORT" for _, what, _ in world.channels[channel])
    }
    out: list[Choice] = [("deliver", *channel) for channel in channels if channel not in words]
    out[:0] = [("rooms",)] if words else []
    out += [("write", group_id) for group_id in world.schedulers if world.replica(group_id=group_id).queue]
    idle = [m for m in world.minions.values() if m.sent < 0]
    out += [("beat", m.minion_id) for m in idle if world.now >= m.due]
    ends = [
        (m.minion_id, t, "stopped" if row[2] else "done", row[2] or world.now - row[1] > WORK_S)
        for m in world.minions.values()
        for t, row in m.running.items()
    ]
    out += [("end", minion_id, t, how) for minion_id, t, how, ripe in ends if ripe]
    out.append(("tick",))
    out += [("beat", m.minion_id) for m in idle if world.now < m.due]
    out += [("end", minion_id, t, how) for minion_id, t, how, ripe in ends if not ripe]
    out += [("end", minion_id, t, "failed") for minion_id, t, _, _ in ends]
    out += [
        ("lose", *channel) for channel in channels if world.channels[channel][0][1] not in ("CLUSTER_UPDATE", "MARK")
    ]
    for group_id in world.schedulers:
        out.append(("die", group_id, False))
        if world.replica(group_id=group_id).queue:
            out.append(("die", group_id, True))
    return out


def do(world: World, choice: Choice) -> None:
    """Let it happen, and judge the state."""
    match choice:
        case ("deliver", source, destination):
            world.deliver(channel=(source, destination))
        case ("rooms",):
            deliver_reports(world)
        case ("write", group_id):
            for effect in world.replica(group_id=group_id).write():
                world.effect(group_id=group_id, effect=effect)
        case ("beat", minion_id):
            world.minions[minion_id].beat()
        case ("end", minion_id, task, outcome):
            world.minions[minion_id].end(task=task, how=outcome)
        case ("tick",):
            tick(world)
        case ("lose", source, destination):
            lose(world, channel=(source, destination))
        case ("die", group_id, kept):
            die(world, group_id=group_id, kept=kept)
        case _:
            raise ValueError(choice)
    judge(world)


def deliver_reports(world: World) -> None:
    """Channels with nothing but capacity reports are read together: these only tell figures."""
    for channel in sorted(world.channels, key=lambda channel: world.channels[channel][0][0]):
        if all(kind == "CAPACITY_REPORT" for _, kind, _ in world.channels[channel]):
            world.deliver(channel=channel)


def tick(world: World) -> None:
    world.now += DT
    for m in world.minions.values():
        if m.sent >= 0 and world.now - m.sent > 1.0:
            m.sent = -1.0
        if world.now > m.hold:
            for task in list(m.running):
                m.end(task=task, how="lapsed")
    for a in world.agents.values():
        a.tick()
    for p in world.schedulers.values():
        p.tick()
    for source, destination in sorted(world.lossy_channels):
        if (source, destination) not in world.channels:
            world.push(source=source, destination=destination, what="MARK", body={})


def lose(world: World, *, channel: tuple[str, str]) -> None:
    """A message is lost; a lost answer is a call that fails at once."""
    world.channels[channel].pop(0)
    if not world.channels[channel]:
        del world.channels[channel]
    if channel[1] in world.minions:
        world.minions[channel[1]].sent, world.minions[channel[1]].due = -1.0, world.now + 0.1
    else:
        world.lossy_channels.add(channel)


def die(world: World, *, group_id: int, kept: bool) -> None:
    """A placing node dies with what it was told; what it sent is still on its way. `kept`: what it wrote last is
    durable, but nothing came of it. The next one begins; agents hear of it by and by."""
    old, n = world.node_id(group_id=group_id), world.replica(group_id=group_id).state_epoch + 1
    if kept:
        world.replica(group_id=group_id).write()
    world.channels = {channel: rows for channel, rows in world.channels.items() if channel[1] != old}
    world.lossy_channels = {channel for channel in world.lossy_channels if channel[1] != old}
    world.start_scheduler(group_id=group_id, n=n)
    for node_id in world.agents:
        world.push(
            source="news",
            destination=node_id,
            what="CLUSTER_UPDATE",
            body={"g": group_id, "u": world.node_id(group_id=group_id), "n": n},
        )


def judge(world: World) -> None:
    """The invariants of every state."""
    for a in world.agents.values():
        for m in a.minions.values():
            have = [sum(part) for part in zip((0, 0, 0), *(x.size for x in m.leases.values()), strict=True)]
            require(have == list(m.leased), "LIMIT", m.minion_id, "used", m.leased, "leases", have)
            require(all(h <= c for h, c in zip(have, CAP, strict=True)), "LIMIT", m.minion_id, "leases", have)
            lids = [r.lease_id for r in m.runs.values() if r.lease_id]
            require(len(set(lids)) == len(lids), "LEASE", m.minion_id, "serves two runs at a time", lids)
    for mini in world.minions.values():
        cpu = sum(world.size[t.split(".")[0]] for t in mini.running)
        require(cpu <= CAP[0], "LIMIT", mini.minion_id, "runs", list(mini.running))


def left(world: World) -> list[str]:
    """What is not settled yet: jobs not done in the record, room not back at the agents or in a placing node's table,
    what a placing node still remembers of runs and requests that are no more."""
    out = []
    for group_id, p in world.schedulers.items():
        out += [f"job {job_id}" for job_id, job in p.context.jobs.jobs.items() if not job.has_ended]
        out += [f"held {t} by {world.node_id(group_id=group_id)}" for t in p.context.leases.by_task] + [
            f"ask {request_id} of {world.node_id(group_id=group_id)}" for request_id in p.binding.open_requests
        ]
        out += [f"write {group_id}"] if world.replica(group_id=group_id).queue else []
        out += [
            f"room of {minion_id} at {world.node_id(group_id=group_id)}"
            for minion_id in world.minions
            if (s := p.context.capacity.minions.get(minion_id)) is None or not s.is_open or s.free != s.total
        ]
    for a in world.agents.values():
        out += [f"lease {lease_id} on {m.minion_id}" for m in a.minions.values() for lease_id in m.leases]
        out += [f"run {t} on {m.minion_id}" for m in a.minions.values() for t in (*m.runs, *m.unknown_runs)]
    out += [
        f"{what} to {destination}"
        for (_, destination), rows in world.channels.items()
        for _, what, _ in rows
        if what != "CAPACITY_REPORT" and destination not in world.minions
    ]
    out += [f"{source} to {destination} torn" for source, destination in world.lossy_channels]
    return out + [f"runs or ends of {m.minion_id}" for m in world.minions.values() if m.running or m.ends]


def settled(world: World) -> bool:
    """Every accepted job is done in the record, and all room is back."""
    return not any(m.running or m.ends for m in world.minions.values()) and not left(world)


SKIP = frozenset({"world", "agent", "warm", "serial"})


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


def digest(world: World) -> bytes:
    """The same for the same state, whatever way led there. Of messages' numbers only the order counts."""
    nums = {n: i for i, n in enumerate(sorted(n for rows in world.channels.values() for n, _, _ in rows))}
    document = {
        "w": {k: plain(v, set()) for k, v in vars(world).items() if k not in ("channels", "serial")},
        "q": {group_id: plain(world.replica(group_id=group_id).queue, set()) for group_id in world.schedulers},
        "l": {f"{a}>{b}": [[nums[n], what, body] for n, what, body in rows] for (a, b), rows in world.channels.items()},
        "p": {node_id: a.environment.primaries for node_id, a in world.agents.items()},  # type: ignore[attr-defined]
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

    def run(self, world: World) -> Found:
        stack: list[tuple[bytes, Choice | None, int, int, int, list[tuple[int, Choice]]]] = [
            (pickle.dumps(world, protocol=5), None, self.swaps, self.faults, 0, [])
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
                    require(step < SETTLED_BY, "STUCK", *left(here))
                    calm, *rest = choices(here)
                    if step < self.window and (swaps or faults):
                        snap = pickle.dumps(here, protocol=5)
                        for c in reversed(rest):
                            bad = c[0] in FAULTS
                            if faults if bad else swaps:
                                stack.append((snap, c, swaps - (not bad), faults - bad, step, [*trail, (step, c)]))
                    self.act(here, calm)
                    step += 1
            except (InvariantBrokenError, AssertionError, KeyError, IndexError) as err:
                self.found.broken.append((f"{type(err).__name__} {err}", trail))
        return self.found

    def act(self, world: World, c: Choice) -> None:
        self.found.steps += 1
        self.found.kinds[c[0]] = self.found.kinds.get(c[0], 0) + 1
        do(world, c)

    def known(self, world: World, left: tuple[int, int, int]) -> bool:
        """Beyond what is branched from, only states in which nothing but time can go on are compared."""
        if not (left[2] and (left[0] or left[1])) and choices(world)[0][0] != "tick":
            return False
        key = digest(world)
        self.found.seen.add(key)
        rows = self.best.setdefault(key, [])
        if any(all(a >= b for a, b in zip(row, left, strict=True)) for row in rows):
            return True
        rows.append(left)
        self.found.states = len(self.found.seen)
        return False


def replay(world: World, trail: list[tuple[int, Choice]], *, most: int = SETTLED_BY) -> World:
    """The calm way but for the choices named by their steps, until the world is settled."""
    other = dict(trail)
    for step in range(most):
        if settled(world) and step > max(other, default=-1):
            return world
        c = other.get(step)
        do(world, c if c is not None else choices(world)[0])
    raise InvariantBrokenError(f"STUCK {left(world)}")


def attached(jobs: list[tuple[str, list[dict[str, Any]]]]) -> World:
    """A calm start: both minions are known and attached by both groups, then jobs are handed in."""
    world = World()
    while not settled(world):
        do(world, choices(world)[0])
    for job_id, stages in jobs:
        world.submit(job_id=job_id, stages=stages)
    return world
