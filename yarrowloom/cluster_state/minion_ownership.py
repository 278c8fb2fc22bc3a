"""Which agent owns which minions: an index over the registry's rows, and the choice of owners."""

from collections.abc import Iterator
from typing import NamedTuple
from zlib import crc32

from .registry_rows import MinionRow, PlacementDomain

# Agents of a zone are balanced only where their numbers of minions differ by at least this, and by a quarter.
MIN_IMBALANCE = 8


def minion_checksum(*, minion_id: str, fence: int) -> int:
    """One minion's share of an ownership digest."""
    return crc32(f"{minion_id}/{fence}".encode())


def ownership_digest(*, fences: list[tuple[str, int]]) -> list[int]:
    """The digest of what an agent owns, given as (minion id, fence).

    Returns:
        The number of minions and the sum of their checksums; the order of the minions doesn't count.

    >>> one, other = [("i-1", 3), ("i-2", 4)], [("i-2", 4), ("i-1", 3)]
    >>> ownership_digest(fences=one) == ownership_digest(fences=other) != ownership_digest(fences=[("i-1", 7)])
    True
    """
    return [len(fences), sum(minion_checksum(minion_id=minion_id, fence=fence) for minion_id, fence in fences)]


class MinionOwnership:
    """An index over the registry's minion rows that follows each change in constant time.

    The inner mappings to None are sets that keep the order of insertion, so that replicas and repeated simulations
    choose alike.

    Attributes:
        minions_by_node: By owner, its minions. Invariant: no empty entries.
        checksums: By owner, the sum of its minions' checksums.
        minions_by_domain: By placement domain and owner, the minions there. Invariant: no empty entries.
    """

    def __init__(self, *, rows: dict[str, MinionRow]) -> None:
        self.minions_by_node: dict[str, dict[str, None]] = {}
        self.checksums: dict[str, int] = {}
        self.minions_by_domain: dict[PlacementDomain, dict[str, dict[str, None]]] = {}
        for minion_id, row in rows.items():
            self.assign(minion_id=minion_id, row=row)

    def assign(self, *, minion_id: str, row: MinionRow, previous: MinionRow | None = None) -> None:
        """Take in a minion's new row, which replaces `previous`."""
        if previous is not None:
            self.remove(minion_id=minion_id, row=previous)
        owner = row.owner
        self.minions_by_node.setdefault(owner, {})[minion_id] = None
        checksum = minion_checksum(minion_id=minion_id, fence=row.fence)
        self.checksums[owner] = self.checksums.get(owner, 0) + checksum
        self.minions_by_domain.setdefault(row.placement_domain, {}).setdefault(owner, {})[minion_id] = None

    def remove(self, *, minion_id: str, row: MinionRow) -> None:
        """Forget a minion, whose row is `row`."""
        owner, domain = row.owner, row.placement_domain
        owned, owners_in_domain = self.minions_by_node[owner], self.minions_by_domain[domain]
        del owned[minion_id], owners_in_domain[owner][minion_id]
        self.checksums[owner] -= minion_checksum(minion_id=minion_id, fence=row.fence)
        if not owned:
            del self.minions_by_node[owner], self.checksums[owner]
        if not owners_in_domain[owner]:
            del owners_in_domain[owner]
        if not owners_in_domain:
            del self.minions_by_domain[domain]

    def minion_count(self, *, node_id: str) -> int:
        """How many minions an agent owns."""
        return len(self.minions_by_node.get(node_id, ()))

    def digest(self, *, node_id: str) -> list[int]:
        """The `ownership_digest` of an agent's minions."""
        return [self.minion_count(node_id=node_id), self.checksums.get(node_id, 0)]


class MinionMove(NamedTuple):
    """A minion that should change its owner."""

    minion_id: str
    new_owner: str


class OwnerSelector:
    """Chooses owners for several minions at once; each choice counts for those after it.

    Attributes:
        ownership: The present owners.
        zones: The live agents by node id, with their zones. Never empty.
        minion_counts: By live agent, its minions, with those that were chosen for it here.
        nodes_by_zone: The live agents of each zone.
        selected: By placement domain, the agent that was last chosen for it.
    """

    def __init__(self, *, ownership: MinionOwnership, zones: dict[str, str]) -> None:
        self.ownership = ownership
        self.zones = zones
        self.minion_counts = {node_id: ownership.minion_count(node_id=node_id) for node_id in zones}
        self.nodes_by_zone: dict[str, list[str]] = {}
        for node_id, zone in zones.items():
            self.nodes_by_zone.setdefault(zone, []).append(node_id)
        self.selected: dict[PlacementDomain, str] = {}

    def select_owner(self, *, domain: PlacementDomain) -> str:
        """The agent for a minion: in its zone, where its rack already is, else the one with the fewest minions."""
        nearby = self.nodes_by_zone.get(domain.zone) or list(self.zones)
        candidates: list[str] = []
        if domain.rack:
            owners = self.ownership.minions_by_domain.get(domain, {})
            candidates = [node_id for node_id in nearby if node_id in owners]
            if not candidates and domain in self.selected:
                candidates = [self.selected[domain]]
        owner = min(candidates or nearby, key=lambda node_id: (self.minion_counts[node_id], node_id))
        self.minion_counts[owner] += 1
        self.selected[domain] = owner
        return owner

    def rebalancing_moves(self, *, max_moves: int) -> list[MinionMove]:
        """Minions that should move now: those outside their zone or apart from their rack, else one rack's surplus."""
        return self._moves_home(max_moves=max_moves) or self._moves_to_balance(max_moves=max_moves)

    def _moves_home(self, *, max_moves: int) -> list[MinionMove]:
        """Moves into the minions' own zones, and of a rack's smaller parts to its greatest one.

        The minions that one agent has of one domain move together, unless they alone are more than `max_moves`.
        """
        moves: list[MinionMove] = []
        for domain, owners in self.ownership.minions_by_domain.items():
            for owner, new_owner in self._misplaced(domain=domain, owners=owners):
                minion_ids = owners[owner]
                if moves and len(moves) + len(minion_ids) > max_moves:
                    continue
                moves += [
                    MinionMove(minion_id, new_owner or self.select_owner(domain=domain))
                    for minion_id in list(minion_ids)[: max_moves - len(moves)]
                ]
        return moves

    def _misplaced(
        self, *, domain: PlacementDomain, owners: dict[str, dict[str, None]]
    ) -> Iterator[tuple[str, str | None]]:
        """Live owners that should not have the minions of a domain, and who should (None: whoever has the fewest)."""
        local_nodes = self.nodes_by_zone.get(domain.zone, [])
        if not local_nodes:
            return
        parts = sorted((len(minion_ids), owner) for owner, minion_ids in owners.items() if owner in self.zones)
        greatest = max((part for part in parts if part[1] in local_nodes), default=None)
        new_owner = None if greatest is None else greatest[1]
        for _, owner in parts:
            is_split_rack = bool(domain.rack) and new_owner is not None and owner != new_owner
            if owner not in local_nodes or is_split_rack:
                yield owner, new_owner

    def _moves_to_balance(self, *, max_moves: int) -> list[MinionMove]:
        """Moves from the agent with the most minions of a zone to the one with the fewest; a rack moves whole."""
        for zone, node_ids in self.nodes_by_zone.items():
            fullest = max(node_ids, key=lambda node_id: self.minion_counts[node_id])
            emptiest = min(node_ids, key=lambda node_id: self.minion_counts[node_id])
            difference = self.minion_counts[fullest] - self.minion_counts[emptiest]
            if difference < MIN_IMBALANCE or 4 * difference < self.minion_counts[fullest]:
                continue
            limit = min(difference // 2, max_moves)
            for domain, owners in self.ownership.minions_by_domain.items():
                minion_ids = list(owners.get(fullest, ()))
                if domain.zone == zone and minion_ids and (not domain.rack or len(minion_ids) <= limit):
                    return [MinionMove(minion_id, emptiest) for minion_id in minion_ids[:limit]]
        return []
