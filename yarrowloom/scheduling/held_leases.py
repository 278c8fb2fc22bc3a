"""The leases that the scheduler holds: idle ones in the cache, others bound to the task whose run uses them."""

from ..agent.messages import LeaseReturn, ReturnedLease
from .capacity import ClusterCapacity
from .environment import SchedulerEnvironment
from .lease_cache import HeldLease, LeaseCache


class HeldLeases:
    """All leases held. Invariant: a lease is given back at most once, and only under the attachment it came with.

    Attributes:
        cache: Idle leases.
        by_task: The lease of each run that was started and has not ended, by the task's name.
    """

    def __init__(self, *, group_id: int, environment: SchedulerEnvironment, capacity: ClusterCapacity) -> None:
        self.group_id = group_id
        self.environment = environment
        self.capacity = capacity
        self.cache = LeaseCache(capacity=capacity)
        self.by_task: dict[str, HeldLease] = {}

    def give_back(self, leases: list[HeldLease]) -> None:
        """Return leases to their agents; void ones are dropped."""
        by_agent: dict[str, list[ReturnedLease]] = {}
        for lease in leases:
            minion = self.capacity.current(minion_id=lease.minion_id, attachment=lease.attachment)
            if minion is not None:
                self.capacity.add_returned(minion=minion, size=lease.size)
                row = ReturnedLease(minion_id=lease.minion_id, lease_id=lease.lease_id)
                by_agent.setdefault(lease.agent_id, []).append(row)
        for node_id, rows in by_agent.items():
            self.environment.send_message(node_id=node_id, message=LeaseReturn(group_id=self.group_id, leases=rows))

    def give_back_expired(self) -> None:
        """Return the leases that have been idle for too long."""
        self.give_back(self.cache.take_expired(now=self.environment.now))

    def drop_void(self) -> None:
        """Drop bound leases whose minion is attached anew or gone.

        A gang member that is done by another member's end leaves such a lease behind, if its own order was lost.
        """
        for task, lease in list(self.by_task.items()):
            if self.capacity.current(minion_id=lease.minion_id, attachment=lease.attachment) is None:
                del self.by_task[task]
