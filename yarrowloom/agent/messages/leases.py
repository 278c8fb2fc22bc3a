"""Leases: request, grant, return. See the package for what all messages have in common."""

from typing import ClassVar

from ...common.records import Record
from ...common.resources import Resources
from ...transport.message import Message
from ...transport.message_kinds import Kind


class MinionCount(Record, frozen=True, kw_only=True, array_like=True):
    """How many leases are wanted on one minion."""

    minion_id: str
    count: int


class LeaseRequest(
    Message,
    frozen=True,
    kw_only=True,
    omit_defaults=True,
    rename={
        "group_id": "g",
        "request_id": "rid",
        "service": "svc",
        "millicores": "cpu",
        "memory_mb": "mem",
        "gpus": "gpu",
        "required_label": "req",
        "preferred_label": "near",
        "count": "n",
        "asked_agents": "been",
        "max_per_minion": "apart",
        "members_by_minion": "avoid",
        "minions": "on",
        "all_or_nothing": "all",
        "hold_s": "mark",
    },
):
    """Scheduler to agent: grant `count` leases, each of the given size.

    Attributes:
        request_id: Number by which the grant names its request; no two epochs of a group share one.
        service: Only minions of this back end.
        millicores: Thousandths of a core, for each lease.
        memory_mb: Megabytes, for each lease.
        gpus: Accelerators, for each lease.
        required_label: Only minions with this label; empty: any.
        preferred_label: Minions with this label first (where the data is); empty: none.
        asked_agents: Agents that have been asked already, this one included: not to be named as redirect.
        max_per_minion: At most this many members of the group on one minion; 0: any number.
        members_by_minion: Members that run, or are about to, by minion; counts against `max_per_minion`.
        minions: What a scheduling cycle chose; empty: the agent chooses.
        all_or_nothing: Grant all leases or none (gang scheduling).
        hold_s: Seconds that an unused lease is held; 0: the agent's default.
    """

    KIND: ClassVar[Kind] = Kind.LEASE_REQUEST

    group_id: int
    request_id: int
    service: str
    millicores: int
    memory_mb: int
    gpus: int
    required_label: str
    preferred_label: str
    count: int
    asked_agents: list[str]
    max_per_minion: int
    members_by_minion: dict[str, int]
    minions: list[MinionCount]
    all_or_nothing: bool = False
    hold_s: float = 0.0

    @property
    def size(self) -> Resources:
        """What each lease is to hold."""
        return Resources(self.millicores, self.memory_mb, self.gpus)


class GrantedLease(Record, frozen=True, kw_only=True, array_like=True):
    """One lease: an exclusive reservation of resources on one minion.

    Attributes:
        lease_id: Unique for the agent's process and all its incarnations.
        attachment: The minion's attachment under which the lease is granted; void with it.
    """

    lease_id: int
    minion_id: str
    attachment: int


class FreeCapacity(Record, frozen=True, kw_only=True, array_like=True):
    """What nobody has leased of one minion that is open to new work.

    A number below 0 says that more is in use there than the minion offers now.

    Attributes:
        millicores: Thousandths of a core.
        memory_mb: Megabytes.
        gpus: Accelerators.
    """

    minion_id: str
    millicores: int
    memory_mb: int
    gpus: int

    @classmethod
    def of(cls, *, minion_id: str, free: Resources) -> "FreeCapacity":
        """The row of a minion with this much free."""
        return cls(minion_id=minion_id, millicores=free.millicores, memory_mb=free.memory_mb, gpus=free.gpus)


class LeaseGrant(
    Message,
    frozen=True,
    kw_only=True,
    rename={
        "group_id": "g",
        "request_id": "rid",
        "leases": "x",
        "redirect": "to",
        "free": "r",
        "size": "size",
    },
):
    """Agent to scheduler, in answer to `LeaseRequest`: the leases that are granted, perhaps none.

    Attributes:
        redirect: Another agent that seems to have the capacity that is missing; empty: none is known.
        free: What is left on the open ones of the minions that the request named.
        size: What each lease holds.
    """

    KIND: ClassVar[Kind] = Kind.LEASE_GRANT

    group_id: int
    request_id: int
    leases: list[GrantedLease]
    redirect: str
    free: list[FreeCapacity]
    size: Resources


class ReturnedLease(Record, frozen=True, kw_only=True, array_like=True):
    """A lease that its holder does not need any more."""

    minion_id: str
    lease_id: int


class LeaseReturn(Message, frozen=True, kw_only=True, rename={"group_id": "g", "leases": "x"}):
    """Scheduler to agent: these leases are given back."""

    KIND: ClassVar[Kind] = Kind.LEASE_RETURN

    group_id: int
    leases: list[ReturnedLease]
