"""The scheduling cycle: a pure function from a snapshot of the capacity and one pod group to a decision.

After Kubernetes' "PodGroup Scheduling": all unscheduled members in a fixed order, filter and score for each; what
fits is reserved in the snapshot until the cycle ends; the criterion is judged after each member on the cumulative
result, and nothing binds below it. Candidate subsets (racks) are tried whole, as in its placement algorithm.
"""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from ..common.resources import Resources
from .capacity import ClusterCapacity, MinionCapacity


@dataclass(slots=True, kw_only=True)
class PlacementRequest:
    """One group in its cycle.

    Attributes:
        service: The service whose minions run the tasks.
        size: What one member needs.
        members: Indices of the unscheduled tasks, by priority, then by the time first seen, then by index (the tasks
            of one step share the first two).
        min_count: The criterion: how many members must be placed for any to bind.
        required_label: A label that the minions must have; empty: any.
        preferred_label: The label of minions where the data is, which are preferred; empty: none.
        only_preferred: Only these minions will do.
        same_rack: All members go to one rack.
        max_per_minion: The most members on one minion; 0: any number.
        tasks_by_minion: Members that run or are being bound, by minion.
        reserved_labels: Labels of minions whose capacity is kept for groups of an earlier rank.
        nominated_for_others: Minions nominated for other groups.
        failed_minion_ids: Minions on which a member failed: taken only where no other has capacity.
        excludes_failed: They are not taken at all yet.
        now: Monotonic seconds.
        rank: The rank of the group's queue; 0 goes first.
        longest_run_s: How long a member runs at most, as learned; kept warm capacity serves what ends in time.
    """

    service: str
    size: Resources
    members: list[int]
    min_count: int
    required_label: str = ""
    preferred_label: str = ""
    only_preferred: bool = False
    same_rack: bool = False
    max_per_minion: int = 0
    tasks_by_minion: dict[str, int] = field(default_factory=dict)
    reserved_labels: tuple[str, ...] = ()
    nominated_for_others: frozenset[str] = frozenset()
    failed_minion_ids: frozenset[str] = frozenset()
    excludes_failed: bool = False
    now: float = 0.0
    rank: int = 0
    longest_run_s: float = 0.0


@dataclass(slots=True, kw_only=True)
class Decision:
    """What a cycle found.

    Invariant: `placements` is empty unless `feasible`.

    Attributes:
        placements: Member and minion.
        feasible: The criterion is met.
        fitting: Members for which a minion was found, also where the criterion was not met.
        rejections: By filter, how many minions it rejected (of those looked at).
        rack: The rack that was chosen for `same_rack`.
    """

    placements: list[tuple[int, str]]
    feasible: bool
    fitting: int
    rejections: dict[str, int]
    rack: str = ""


class Snapshot:
    """The capacity as it stands when a group is taken from the queue, with this cycle's reservations.

    Taking it costs nothing: the capacity changes only between cycles, and the reservations hold only what the cycle
    touches; they end with the cycle.
    """

    def __init__(self, *, capacity: ClusterCapacity) -> None:
        self.capacity = capacity
        self.free_after_reservations: dict[str, Resources] = {}
        self.reserved_tasks: dict[str, int] = {}

    def free(self, *, minion: MinionCapacity) -> Resources:
        """What is free on a minion."""
        return self.free_after_reservations.get(minion.minion_id, minion.free)

    def reserve(self, *, minion: MinionCapacity, size: Resources) -> None:
        """Reserve resources for one member until the cycle ends."""
        self.free_after_reservations[minion.minion_id] = self.free(minion=minion).plus(size, -1)
        self.reserved_tasks[minion.minion_id] = self.reserved_tasks.get(minion.minion_id, 0) + 1


Filter = Callable[[Snapshot, PlacementRequest, MinionCapacity], bool]


def _has_capacity(snapshot: Snapshot, request: PlacementRequest, minion: MinionCapacity) -> bool:
    free = snapshot.free(minion=minion)
    warm = minion.warm_reserved
    if (
        warm.millicores + warm.gpus
        and request.rank > minion.warm_rank
        and request.now + request.longest_run_s > minion.warm_until
    ):
        free = free.plus(warm, -1)
    return free.holds(request.size)


def _has_required_label(snapshot: Snapshot, request: PlacementRequest, minion: MinionCapacity) -> bool:
    return not request.required_label or request.required_label in minion.labels


def _is_data_local(snapshot: Snapshot, request: PlacementRequest, minion: MinionCapacity) -> bool:
    return not request.only_preferred or request.preferred_label in minion.labels


def _is_not_reserved(snapshot: Snapshot, request: PlacementRequest, minion: MinionCapacity) -> bool:
    return not any(label in minion.labels for label in request.reserved_labels)


def _is_not_nominated(snapshot: Snapshot, request: PlacementRequest, minion: MinionCapacity) -> bool:
    return minion.minion_id not in request.nominated_for_others


def _is_within_task_limit(snapshot: Snapshot, request: PlacementRequest, minion: MinionCapacity) -> bool:
    if not request.max_per_minion:
        return True
    tasks = request.tasks_by_minion.get(minion.minion_id, 0) + snapshot.reserved_tasks.get(minion.minion_id, 0)
    return tasks < request.max_per_minion


def _is_healthy(snapshot: Snapshot, request: PlacementRequest, minion: MinionCapacity) -> bool:
    return minion.avoid_until <= request.now


# The cheapest and most selective first. The names are shown to the operator as causes of a failed cycle. Why it is
# a plain table and not hooks: docs/design.md, "Placing by groups".
FILTERS: tuple[tuple[str, Filter], ...] = (
    ("room", _has_capacity),
    ("label", _has_required_label),
    ("data", _is_data_local),
    ("spread", _is_within_task_limit),
    ("nominated", _is_not_nominated),
    ("rank", _is_not_reserved),
    ("sound", _is_healthy),
)
REJECTED_RACK = "rack"


def placement_feasible(*, placed: int, request: PlacementRequest) -> bool:
    """The criterion on the cumulative result: a minimum count.

    >>> size = Resources(1, 1, 0)
    >>> placement_feasible(placed=2, request=PlacementRequest(service="s", size=size, members=[0, 1, 2], min_count=3))
    False
    """
    return placed >= max(request.min_count, 1)


def _passes_filters(
    *, snapshot: Snapshot, request: PlacementRequest, minion: MinionCapacity, rejections: dict[str, int]
) -> bool:
    for name, accepts in FILTERS:
        if not accepts(snapshot, request, minion):
            rejections[name] = rejections.get(name, 0) + 1
            return False
    return True


def _by_score(*, snapshot: Snapshot, request: PlacementRequest) -> Iterator[MinionCapacity]:
    """Candidates in order of score: where the data is first, then the tightest fit; where a member failed, last.

    A minion that took a member is an even tighter fit, so it stays the best until it is full.
    """
    if not request.preferred_label and not request.failed_minion_ids:
        return snapshot.capacity.tightest_first(service=request.service, size=request.size)
    candidates = _local_then_tightest(snapshot=snapshot, request=request)
    return _failed_last(candidates=candidates, request=request) if request.failed_minion_ids else candidates


def _failed_last(*, candidates: Iterator[MinionCapacity], request: PlacementRequest) -> Iterator[MinionCapacity]:
    failed: list[MinionCapacity] = []
    for minion in candidates:
        if minion.minion_id in request.failed_minion_ids:
            failed.append(minion)
        else:
            yield minion
    if not request.excludes_failed:
        yield from failed


def _local_then_tightest(*, snapshot: Snapshot, request: PlacementRequest) -> Iterator[MinionCapacity]:
    locality = request.preferred_label
    if locality:
        yield from snapshot.capacity.with_label(service=request.service, label=locality)
    if not request.only_preferred:
        for minion in snapshot.capacity.tightest_first(service=request.service, size=request.size):
            if not (locality and locality in minion.labels):
                yield minion


def _place_members(*, snapshot: Snapshot, request: PlacementRequest, candidates: Iterator[MinionCapacity]) -> Decision:
    """The default algorithm: each member in order gets the best minion that passes all filters."""
    placements: list[tuple[int, str]] = []
    rejections: dict[str, int] = {}
    feasible = False
    best: MinionCapacity | None = None
    for member in request.members:
        if best is None or not (
            _has_capacity(snapshot, request, best) and _is_within_task_limit(snapshot, request, best)
        ):
            best = next(
                (
                    minion
                    for minion in candidates
                    if _passes_filters(snapshot=snapshot, request=request, minion=minion, rejections=rejections)
                ),
                None,
            )
        if best is None:
            break  # members are alike: where one finds nothing, none does
        snapshot.reserve(minion=best, size=request.size)
        placements.append((member, best.minion_id))
        feasible = feasible or placement_feasible(placed=len(placements), request=request)
    return Decision(
        placements=placements if feasible else [], feasible=feasible, fitting=len(placements), rejections=rejections
    )


def _place_in_one_rack(*, capacity: ClusterCapacity, request: PlacementRequest) -> Decision:
    """The placement algorithm for `same_rack`: racks are the candidate subsets; of the feasible ones the fullest wins.

    What is left of a rack is what is free there less what the group takes, so the first feasible one in the order of
    what is free is the fullest. Only minions with capacity for a member are looked at, the tightest fit first.
    """
    by_rack: dict[str, list[MinionCapacity]] = {}
    for minion in capacity.tightest_first(service=request.service, size=request.size):
        by_rack.setdefault(minion.rack, []).append(minion)
    by_rack.pop("", None)  # minions of no rack
    racks = capacity.racks(service=request.service)
    without_capacity = (rack for name, rack in racks.items() if name and name not in by_rack)
    rejections = {REJECTED_RACK: sum(len(rack.minion_ids) for rack in without_capacity)}
    most_fitting = 0
    for name in sorted(by_rack, key=lambda name: (racks[name].free.gpus, racks[name].free.millicores, name)):
        minions, rack = by_rack[name], racks[name]
        if rack.free.copies(request.size) < request.min_count or (
            sum(minion.free.copies(request.size) for minion in minions) < request.min_count
        ):
            rejections[REJECTED_RACK] += len(rack.minion_ids)
            continue
        candidates = [minion for minion in minions if minion.minion_id not in request.failed_minion_ids]
        if not request.excludes_failed:
            candidates += [minion for minion in minions if minion.minion_id in request.failed_minion_ids]
        decision = _place_members(snapshot=Snapshot(capacity=capacity), request=request, candidates=iter(candidates))
        if decision.feasible:
            decision.rack = name
            return decision
        most_fitting = max(most_fitting, decision.fitting)
    return Decision(placements=[], feasible=False, fitting=most_fitting, rejections=rejections)


def run_cycle(*, capacity: ClusterCapacity, request: PlacementRequest) -> Decision:
    """One cycle: one snapshot, one decision. The same input gives the same decision.

    >>> request = PlacementRequest(service="s", size=Resources(1, 1, 0), members=[0], min_count=1)
    >>> run_cycle(capacity=ClusterCapacity(), request=request).feasible
    False
    """
    if request.same_rack:
        return _place_in_one_rack(capacity=capacity, request=request)
    snapshot = Snapshot(capacity=capacity)
    return _place_members(snapshot=snapshot, request=request, candidates=_by_score(snapshot=snapshot, request=request))
