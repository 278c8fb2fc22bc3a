"""Leases: exclusive reservations of minions' resources, granted to schedulers, returned or expired."""

from ..common.resources import Resources
from .capacity_reports import CapacityReporter
from .lease_selection import select_minions
from .messages import FreeCapacity, GrantedLease, LeaseGrant, LeaseRequest, LeaseReturn
from .minion import Lease, Minion
from .minion_table import MinionTable

IDLE_LEASE_S = 3.0  # a lease that its holder neither uses nor returns expires; holders return it far sooner


class LeaseManager:
    """Grants leases on the agent's minions.

    Invariants: leases on a minion never exceed its capacity at the time of the grant; no two leases of this agent,
    nor of earlier incarnations of its process, have the same number.

    Attributes:
        next_lease_id: Number of the next lease.
    """

    def __init__(self, *, table: MinionTable, capacity: CapacityReporter, first_lease_id: int) -> None:
        self._table = table
        self._capacity = capacity
        self.next_lease_id = first_lease_id

    def create(self, minion: Minion, *, group_id: int, size: Resources, hold_s: float = 0.0) -> Lease:
        """A lease that expires after `hold_s` if it is not used; 0: after `IDLE_LEASE_S`."""
        lease = Lease(
            lease_id=self.next_lease_id,
            minion_id=minion.minion_id,
            group_id=group_id,
            size=size,
            expires_at=self._table.environment.now + (hold_s or IDLE_LEASE_S),
        )
        self.next_lease_id += 1
        minion.add_lease(lease)
        return lease

    def remove(self, minion: Minion, *, lease_id: int) -> None:
        """End a lease; schedulers are told of the capacity."""
        minion.remove_lease(lease_id=lease_id)
        self._table.capacity_changed.add(minion.minion_id)

    def release(self, minion: Minion, *, lease_id: int) -> None:
        """The run on a lease is over: its holder may use it for another, unless it does not know of it."""
        lease = minion.leases.get(lease_id)
        if lease is None:
            return
        if lease.is_unknown_to_scheduler:
            self.remove(minion, lease_id=lease_id)
        else:
            lease.task = ""
            lease.expires_at = self._table.environment.now + IDLE_LEASE_S

    def expire(self, minion: Minion) -> None:
        """End the minion's leases that were not used in time."""
        now = self._table.environment.now
        for lease in list(minion.leases.values()):
            if not lease.task and now > lease.expires_at:
                self.remove(minion, lease_id=lease.lease_id)

    def on_request(self, *, node_id: str, request: LeaseRequest) -> None:
        """Grant leases on the minions that a cycle chose or, if it names none, where they fit best.

        If not all can be granted, the answer may name another agent that seems to have the capacity. It also tells
        what is left on the minions that were named.
        """
        environment = self._table.environment
        granted: list[GrantedLease] = []
        if environment.trusted():
            for minion in select_minions(table=self._table, request=request):
                lease = self.create(minion, group_id=request.group_id, size=request.size, hold_s=request.hold_s)
                granted.append(
                    GrantedLease(
                        lease_id=lease.lease_id,
                        minion_id=minion.minion_id,
                        attachment=minion.attachments[request.group_id].number,
                    )
                )
                self._table.capacity_changed.add(minion.minion_id)
        message = LeaseGrant(
            group_id=request.group_id,
            request_id=request.request_id,
            leases=granted,
            redirect=self._capacity.redirect_for(request) if len(granted) < request.count else "",
            free=self._free_on_named(request),
            size=request.size,
        )
        environment.send_message(node_id=node_id, message=message)

    def _free_on_named(self, request: LeaseRequest) -> list[FreeCapacity]:
        """What is left on the minions that a request names; of those that schedulers know to be open."""
        table = self._table
        return [
            FreeCapacity.of(minion_id=wanted.minion_id, free=table.minions[wanted.minion_id].free())
            for wanted in request.minions
            if wanted.minion_id in table.reported_open and wanted.minion_id in table.minions
        ]

    def on_return(self, message: LeaseReturn) -> None:
        """End leases that a group returns, unless they serve a run.

        One whose run has ended, by a heartbeat's list, is free even before that end is durable: nothing runs there
        any more.
        """
        for returned in message.leases:
            minion = self._table.minions.get(returned.minion_id)
            lease = minion.leases.get(returned.lease_id) if minion is not None else None
            if minion is None or lease is None or lease.group_id != message.group_id:
                continue
            run = minion.runs.get(lease.task)
            has_ended = (
                run is not None and run.lease_id == lease.lease_id and minion.has_listed_end(task=run.task, run=run.run)
            )
            if not lease.task or has_ended:
                self.remove(minion, lease_id=lease.lease_id)
                if run is not None:
                    run.lease_id = 0
