"""Which minions a lease request gets: pure functions of the agent's own table."""

from ..common.resources import Resources
from .messages import LeaseRequest, SummaryRow
from .minion import Minion
from .minion_table import MinionTable


def has_room(*, row: SummaryRow, request: LeaseRequest) -> bool:
    """Whether a minion in another agent's summary could take one lease.

    >>> row = SummaryRow(millicores=4000, memory_mb=100, gpus=0, labels=["a", "r1"],
    ...     capacity=Resources(4000, 100, 0), minion_id="m")
    >>> request = LeaseRequest(group_id=1, request_id=1, service="s", millicores=500, memory_mb=10, gpus=0,
    ...     required_label="a", preferred_label="", count=1, asked_agents=[], max_per_minion=0,
    ...     members_by_minion={}, minions=[])
    >>> has_room(row=row, request=request)
    True
    >>> import msgspec
    >>> has_room(row=msgspec.structs.replace(row, labels=["b", "r1"]), request=request)
    False
    """
    return (
        row.millicores >= request.millicores
        and row.memory_mb >= request.memory_mb
        and row.gpus >= request.gpus
        and (not request.required_label or request.required_label in row.labels)
    )


def select_minions(*, table: MinionTable, request: LeaseRequest) -> list[Minion]:
    """Minions for up to `count` leases, one entry a lease; all or none where `all_or_nothing` is asked."""
    selected = (
        _select_named(table=table, request=request)
        if request.minions
        else _select_best_fit(table=table, request=request)
    )
    return [] if request.all_or_nothing and len(selected) < request.count else selected


def _may_lease(minion: Minion, *, table: MinionTable, request: LeaseRequest) -> bool:
    """Whether the group may have leases on a minion, whatever is free there."""
    return (
        minion.service == request.service
        and (not request.required_label or request.required_label in minion.labels)
        and request.group_id in minion.attachments
        and table.is_open(minion)
    )


def _select_named(*, table: MinionTable, request: LeaseRequest) -> list[Minion]:
    """Of the minions that a scheduling cycle chose, those that can take what was planned.

    The agent decides by its own table: the cycle's snapshot may be out of date.
    """
    selected: list[Minion] = []
    for wanted in request.minions:
        minion = table.minions.get(wanted.minion_id)
        if minion is None or not _may_lease(minion, table=table, request=request):
            continue
        count = wanted.count
        for need, have in zip(request.size, minion.free(), strict=True):
            if need:
                count = min(count, have // need)
            elif have < 0:
                count = 0
        if request.max_per_minion:
            count = min(count, request.max_per_minion - request.members_by_minion.get(wanted.minion_id, 0))
        selected += [minion] * count
    return selected


def _select_best_fit(*, table: MinionTable, request: LeaseRequest) -> list[Minion]:
    """Minions with the preferred label first, then those whose free capacity is the tightest fit."""
    candidates = [
        (minion, free)
        for minion in table.minions.values()
        if _may_lease(minion, table=table, request=request) and (free := minion.free()).holds(request.size)
    ]
    candidates.sort(key=lambda candidate: _cost(candidate[0], free=candidate[1], request=request))
    selected: list[Minion] = []
    for minion, free in candidates:
        missing = request.count - len(selected)
        if missing <= 0:
            break
        selected += [minion] * min(missing, _most_on(minion, free=free, request=request))
    return selected


def _cost(minion: Minion, *, free: Resources, request: LeaseRequest) -> tuple[bool, int, int, int, str]:
    """The order of candidates, the best one first. Work without GPUs keeps off minions that have them free."""
    lacks_label = bool(request.preferred_label) and request.preferred_label not in minion.labels
    without_gpus, with_gpus = (0, free.gpus) if request.gpus > 0 else (free.gpus, 0)
    return lacks_label, without_gpus, with_gpus, free.millicores, minion.minion_id


def _most_on(minion: Minion, *, free: Resources, request: LeaseRequest) -> int:
    """How many leases a minion can take."""
    most = free.copies(request.size)
    if request.max_per_minion:
        most = min(most, request.max_per_minion - request.members_by_minion.get(minion.minion_id, 0))
    return max(most, 0)
