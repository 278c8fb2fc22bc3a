"""Leases that the scheduler holds and no run uses, cached by minion and size for the next task of that size."""

from collections import deque
from dataclasses import dataclass, field

import msgspec

from ..common.resources import Resources
from .capacity import ClusterCapacity

MAX_IDLE_S = 0.5  # the default of the design: an idle lease goes back after this long


class HeldLease(msgspec.Struct, kw_only=True):
    """A lease granted to this scheduler.

    Invariant: it is idle in the cache, or bound to one run, or part of a gang's binding attempt; never two of these.

    Attributes:
        agent_id: The agent that granted it.
        minion_id: The minion whose resources it stands for.
        lease_id: Its number at the agent.
        attachment: The attachment under which it was granted; it is void under any other.
        size: The resources it stands for.
        idle_since: When it was granted or last became idle, monotonic seconds.
    """

    agent_id: str
    minion_id: str
    lease_id: int
    attachment: int
    size: Resources
    idle_since: float


@dataclass(slots=True, kw_only=True)
class LeaseCache:
    """Idle leases.

    Invariant: `idle_leased` of a minion in `capacity` is the sum of its leases here. `by_age` may name leases that
    are idle no longer; these are passed over.
    """

    capacity: ClusterCapacity
    idle: dict[str, dict[Resources, list[HeldLease]]] = field(default_factory=dict)
    by_age: deque[HeldLease] = field(default_factory=deque)

    def put(self, *, lease: HeldLease, now: float) -> bool:
        """Keep a lease that became idle.

        Returns:
            False if its minion was attached anew: the lease is void.
        """
        minion = self.capacity.current(minion_id=lease.minion_id, attachment=lease.attachment)
        if minion is None:
            return False
        lease.idle_since = now
        self.idle.setdefault(lease.minion_id, {}).setdefault(lease.size, []).append(lease)
        self.by_age.append(lease)
        self.capacity.add_idle(minion=minion, size=lease.size, count=1)
        return True

    def take(self, *, minion_id: str, size: Resources, count: int) -> list[HeldLease]:
        """Up to `count` idle leases of a size, for runs."""
        leases = self.idle.get(minion_id, {}).get(size, [])
        taken = leases[len(leases) - count :] if count < len(leases) else list(leases)
        del leases[len(leases) - len(taken) :]
        if taken:
            self.capacity.add_idle(minion=self.capacity.minions[minion_id], size=size, count=-len(taken))
        return taken

    def take_all(self, *, minion_id: str) -> list[HeldLease]:
        """All idle leases of a minion, to be given back."""
        taken: list[HeldLease] = []
        for size, leases in self.idle.pop(minion_id, {}).items():
            if leases:
                self.capacity.add_idle(minion=self.capacity.minions[minion_id], size=size, count=-len(leases))
                taken += leases
        return taken

    def take_expired(self, *, now: float) -> list[HeldLease]:
        """Leases that have been idle for too long, to be given back."""
        taken: list[HeldLease] = []
        while self.by_age and now - self.by_age[0].idle_since >= MAX_IDLE_S:
            lease = self.by_age.popleft()
            leases = self.idle.get(lease.minion_id, {}).get(lease.size, [])
            if lease in leases:
                leases.remove(lease)
                minion = self.capacity.minions[lease.minion_id]
                self.capacity.add_idle(minion=minion, size=lease.size, count=-1)
                taken.append(lease)
        return taken

    def forget(self, *, minion_id: str) -> None:
        """Leases on a minion that is attached anew, or gone, are void."""
        self.idle.pop(minion_id, None)
