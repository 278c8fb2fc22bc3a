"""Core members as a node knows them: who is up, who may be a backup, who should be a witness."""

import math
from collections.abc import Iterable, Sequence
from typing import Protocol

from ..common.settings import NodeSettings
from ..replication.epoch import addr_of
from .epochs import KnownEpochs
from .roster import Roster

WITNESSES_MOST = 9  # more are not asked to keep epochs
LISTED_ALIVE_S = 1.5  # a member that the controller lists as alive is up this long


def spread(*, order: list[str], zones: dict[str, str], size: int, most: int) -> list[str]:
    """The first `size` nodes of `order`, sorted, of which no zone has more than `most`; empty if there are none.

    >>> zones = {"a": "x", "b": "x", "c": "x", "d": "y", "e": "z"}
    >>> spread(order=list(zones), zones=zones, size=3, most=1)
    ['a', 'd', 'e']
    >>> spread(order=list(zones), zones=zones, size=5, most=2)
    []
    """
    taken: dict[str, int] = {}
    found: list[str] = []
    for node_id in order:
        zone = zones[node_id]
        if len(found) < size and taken.get(zone, 0) < most:
            taken[zone] = taken.get(zone, 0) + 1
            found.append(node_id)
    return sorted(found) if len(found) == size else []


class MembershipEnvironment(Protocol):
    """What the view of the members needs of its node."""

    now: float
    settings: NodeSettings
    node_id: str
    roster: Roster
    epochs: KnownEpochs


class Membership:
    """A core's view of the members.

    Invariant: it follows from heartbeats, the registry's members and the epochs known, and changes none of them.

    Attributes:
        last_listed_alive: When the controller last listed each member as alive, by the monotonic clock in seconds.
    """

    def __init__(self, *, environment: MembershipEnvironment) -> None:
        self.environment = environment
        self.last_listed_alive: dict[str, float] = {}

    def on_listed_alive(self, *, node_ids: Iterable[str]) -> None:
        """The controller lists members as alive."""
        for node_id in node_ids:
            self.last_listed_alive[node_id] = self.environment.now

    def is_up(self, *, node_id: str) -> bool:
        """Whether a node sent a heartbeat lately, here or to the controller."""
        now = self.environment.now
        if self.environment.roster.is_alive(node_id=node_id, now=now):
            return True
        return now - self.last_listed_alive.get(node_id, -math.inf) < LISTED_ALIVE_S

    def zones(self) -> dict[str, str]:
        """Core nodes and their zones as far as known.

        After a restart of all there are no members yet, only what epochs name and whose heartbeats come. A node id
        that gave way to another at its address does not count.
        """
        node = self.environment
        alive = {*node.roster.alive_of_kind(kind="core", now=node.now), node.node_id}
        newest = {addr_of(node_id=node_id): node_id for node_id in alive}
        return {
            node_id: node.roster.zone(node_id=node_id)
            for node_id in sorted({*node.epochs.node_ids(), *alive, *node.roster.registry.members})
            if newest.get(addr_of(node_id=node_id), node_id) == node_id
        }

    def backup_candidates(self, *, first: Sequence[str]) -> list[str]:
        """Members that may be a backup, best first.

        Those that are up come first, then one zone after another, beginning with those that are not this node's;
        within a zone those in `first`, then the least loaded.
        """
        node = self.environment
        load: dict[str, int] = {}
        for holder in node.epochs.holders():
            load[holder] = load.get(holder, 0) + 1
        zones = self.zones()
        rank = {
            node_id: (not self.is_up(node_id=node_id), node_id not in first, load.get(node_id, 0), node_id)
            for node_id in zones
            if node_id != node.node_id
        }
        taken = {node.settings.zone: 1, "": 1}
        order: list[str] = []
        while rank:
            best = min(rank, key=lambda node_id: (rank[node_id][0], taken.get(zones[node_id], 0), rank[node_id][1:]))
            del rank[best]
            order.append(best)
            taken[zones[best]] = taken.get(zones[best], 0) + 1
        return order

    def other_zones(self, *, holders: Sequence[str]) -> list[str]:
        """If all of `holders` stand in one zone: live members of other zones. A zone not known yet proves nothing."""
        zones = self.zones()
        holder_zones = {zones.get(node_id, "") for node_id in holders}
        if len(holder_zones) != 1 or "" in holder_zones:
            return []
        return [
            node_id
            for node_id, zone in zones.items()
            if zone and zone not in holder_zones and self.is_up(node_id=node_id)
        ]

    def witnesses(self, *, current: Sequence[str]) -> list[str]:
        """The set of witnesses that should replace the current one; it is the current one if nothing better is up.

        It widens to all core nodes and replaces the absent by the present. Their number is odd and never falls, but
        for a set of which one zone holds the majority while a smaller one, still enough for the losses that are
        allowed, would not.
        """
        members = self.environment.roster.registry.members
        zones = {node_id: member.zone for node_id, member in members.items() if self.is_up(node_id=node_id)}
        order = [node_id for node_id in current if node_id in zones]
        order += [node_id for node_id in sorted(zones) if node_id not in current]
        size = min(len(order) - 1 + len(order) % 2, WITNESSES_MOST)
        fewest = max(2 * self.environment.settings.losses + 1, 3)
        for count in range(size, fewest - 1, -2):
            found = spread(order=order, zones=zones, size=count, most=count // 2)
            if found and (count >= len(current) or all(node_id in zones for node_id in current)):
                return found
        if size < max(len(current), 3):
            return list(current)
        by_most = (spread(order=order, zones=zones, size=size, most=most) for most in range(size // 2, size + 1))
        return next(found for found in by_most if found)
