"""The group cycle: a pure function from one snapshot of the room and one group to a decision.

After "PodGroup Scheduling": all unscheduled members in a fixed order, filter and score for each, what fits is
reserved in the snapshot until the cycle ends, the criterion is judged after each member on the cumulative result,
and nothing binds below it. Candidate subsets (racks) are tried whole, as in the source's placement algorithm.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from .capacity import Room, Size, Spot


@dataclass(slots=True, kw_only=True)
class Ask:
    """One group at its turn. `members` are the indices of its unscheduled tasks, sorted by priority, then by the
    time first seen, then by index (one step's tasks share the first two). `need` is the criterion: how many more
    members must be placed for any to bind.
    """

    service: str
    size: Size
    members: list[int]
    need: int
    req: str = ""
    near: str = ""
    strict: bool = False  # only where the data is
    tight: bool = False  # all of it in one rack
    apart: int = 0  # members on one minion at most; 0: any
    there: dict[str, int] = field(default_factory=dict)  # members that run, by minion
    shun: tuple[str, ...] = ()  # labels left to work of an earlier rank
    off: frozenset[str] = frozenset()  # minions nominated for other groups
    sore: frozenset[str] = frozenset()  # minions on which a member failed: only where no other has room,
    bar: bool = False  # or not at all yet
    now: float = 0.0
    rank: int = 0
    upper_s: float = 0.0  # how long a member runs at most, as learned; warm room serves what ends in it


@dataclass(slots=True, kw_only=True)
class Decision:
    """What a cycle found. Invariant: `placed` is empty unless the criterion is met."""

    placed: list[tuple[int, str]]
    feasible: bool
    fit: int  # members that had room, also where the criterion was not met
    refused: dict[str, int]  # by filter: minions it turned away (of those looked at)
    rack: str = ""


class Snapshot:
    """The room as it stands when a group is popped; reservations are an overlay that dies with the cycle. Taking it
    costs nothing: the table changes only between cycles, and the overlay holds what the cycle touches.
    """

    def __init__(self, *, room: Room) -> None:
        self.room = room
        self.over: dict[str, Size] = {}
        self.mine: dict[str, int] = {}

    def free(self, *, spot: Spot) -> Size:
        """Room left on a minion."""
        return self.over.get(spot.minion_id, spot.free)

    def reserve(self, *, spot: Spot, size: Size) -> None:
        """Until the cycle ends."""
        self.over[spot.minion_id] = self.free(spot=spot).plus(size, -1)
        self.mine[spot.minion_id] = self.mine.get(spot.minion_id, 0) + 1


Filter = Callable[[Snapshot, Ask, Spot], bool]


def _room(snap: Snapshot, ask: Ask, spot: Spot) -> bool:
    free = snap.free(spot=spot)
    if spot.keep.cpu + spot.keep.gpu and ask.rank > spot.keep_rank and ask.now + ask.upper_s > spot.keep_till:
        free = free.plus(spot.keep, -1)
    return free.holds(ask.size)


def _label(snap: Snapshot, ask: Ask, spot: Spot) -> bool:
    return not ask.req or ask.req in spot.labels


def _data(snap: Snapshot, ask: Ask, spot: Spot) -> bool:
    return not ask.strict or ask.near in spot.labels


def _rank(snap: Snapshot, ask: Ask, spot: Spot) -> bool:
    return not any(label in spot.labels for label in ask.shun)


def _nominated(snap: Snapshot, ask: Ask, spot: Spot) -> bool:
    return spot.minion_id not in ask.off


def _spread(snap: Snapshot, ask: Ask, spot: Spot) -> bool:
    return not ask.apart or ask.there.get(spot.minion_id, 0) + snap.mine.get(spot.minion_id, 0) < ask.apart


def _sound(snap: Snapshot, ask: Ask, spot: Spot) -> bool:
    return spot.shy <= ask.now


# Order: the cheapest and most selective first. A hook per filter was weighed: see docs/design.md.
FILTERS: tuple[tuple[str, Filter], ...] = (
    ("room", _room),
    ("label", _label),
    ("data", _data),
    ("spread", _spread),
    ("nominated", _nominated),
    ("rank", _rank),
    ("sound", _sound),
)


def placement_feasible(*, placed: int, ask: Ask) -> bool:
    """The criterion on the cumulative result: a minimum count.

    >>> placement_feasible(placed=2, ask=Ask(service="s", size=Size(1, 1, 0), members=[0, 1, 2], need=3))
    False
    """
    return placed >= max(ask.need, 1)


def _passes(*, snap: Snapshot, ask: Ask, spot: Spot, refused: dict[str, int]) -> bool:
    for name, fn in FILTERS:
        if not fn(snap, ask, spot):
            refused[name] = refused.get(name, 0) + 1
            return False
    return True


def _ordered(*, snap: Snapshot, ask: Ask) -> Iterator[Spot]:
    """Score: where the data is first, then the tightest fit; where a member failed, last. A minion that took a
    member is an even tighter fit, so it stays the best until it is full.
    """
    put_off: list[Spot] = []
    if ask.near:
        for spot in snap.room.labelled(service=ask.service, label=ask.near):
            if spot.minion_id in ask.sore:
                put_off.append(spot)
            else:
                yield spot
    if not ask.strict:
        for spot in snap.room.ordered(service=ask.service, size=ask.size):
            if ask.near and ask.near in spot.labels:
                continue
            if spot.minion_id in ask.sore:
                put_off.append(spot)
            else:
                yield spot
    if not ask.bar:
        yield from put_off


def _fill(*, snap: Snapshot, ask: Ask, spots: Iterator[Spot]) -> Decision:
    """The default algorithm: each member in order gets the best minion that passes all filters."""
    placed: list[tuple[int, str]] = []
    refused: dict[str, int] = {}
    feasible = False
    best: Spot | None = None
    for idx in ask.members:
        if best is None or not (_room(snap, ask, best) and _spread(snap, ask, best)):
            best = next((s for s in spots if _passes(snap=snap, ask=ask, spot=s, refused=refused)), None)
        if best is None:
            break  # members are alike: where one finds nothing, none does
        snap.reserve(spot=best, size=ask.size)
        placed.append((idx, best.minion_id))
        feasible = feasible or placement_feasible(placed=len(placed), ask=ask)
    return Decision(placed=placed if feasible else [], feasible=feasible, fit=len(placed), refused=refused)


def _by_rack(*, room: Room, ask: Ask) -> Decision:
    """Placement algorithm: racks are the candidate subsets; of the feasible ones the fullest wins. What is left of a
    rack is what is free there less what the group takes, so the first feasible one in the order of what is free is the
    fullest. Only minions with room for a member are looked at, as the index gives them, the tightest fit first.
    """
    spots: dict[str, list[Spot]] = {}
    for spot in room.ordered(service=ask.service, size=ask.size):
        spots.setdefault(spot.rack, []).append(spot)
    spots.pop("", None)  # of no rack
    racks = room.racks(service=ask.service)
    most, refused = 0, {"rack": sum(len(rack.minion_ids) for name, rack in racks.items() if name and name not in spots)}
    for name in sorted(spots, key=lambda name: (racks[name].free.gpu, racks[name].free.cpu, name)):
        rows = spots[name]
        if racks[name].free.copies(ask.size) < ask.need or sum(s.free.copies(ask.size) for s in rows) < ask.need:
            refused["rack"] += len(racks[name].minion_ids)
            continue
        order = [s for s in rows if s.minion_id not in ask.sore]
        if not ask.bar:
            order += [s for s in rows if s.minion_id in ask.sore]
        got = _fill(snap=Snapshot(room=room), ask=ask, spots=iter(order))
        if got.feasible:
            got.rack = name
            return got
        most = max(most, got.fit)
    return Decision(placed=[], feasible=False, fit=most, refused=refused)


def run(*, room: Room, ask: Ask) -> Decision:
    """One cycle: one snapshot, one decision. Same input, same decision.

    >>> room = Room()
    >>> run(room=room, ask=Ask(service="s", size=Size(1, 1, 0), members=[0], need=1)).feasible
    False
    """
    if ask.tight:
        return _by_rack(room=room, ask=ask)
    snap = Snapshot(room=room)
    return _fill(snap=snap, ask=ask, spots=_ordered(snap=snap, ask=ask))
