"""When a member that holds a group's state may end: others must hold it first."""

from typing import Protocol

from .acceptor import Acceptor
from .environment import ReplicaEnvironment
from .epoch import Epoch
from .leader_lease import LeaderLease
from .messages import YieldRequest
from .roles import Role
from .timing import LEAVE_RETRY_S, LEAVE_WAIT_S


class LeavingMember(Protocol):
    """What a handover needs of the replica that it belongs to; attributes as in `Replica`."""

    group_id: int
    environment: ReplicaEnvironment
    acceptor: Acceptor
    role: Role
    state_epoch: int
    resumed_at: float
    lease: LeaderLease

    @property
    def is_electing(self) -> bool:
        """Whether an election of this member is under way."""

    def start_election(self, *, reason: str, avoid: list[str] | None = None) -> None:
        """Stand for election as the primary of the next epoch."""

    def step_down(self, *, successor: str = "") -> None:
        """Have a backup take over at once."""


def substitutes(*, environment: ReplicaEnvironment, epoch: Epoch) -> list[str]:
    """Live members that hold nothing of the epoch yet."""
    return [
        node_id
        for node_id in environment.backup_candidates(preferred=[])
        if node_id not in epoch.holders and environment.is_up(node_id=node_id)
    ]


def is_held_elsewhere(*, environment: ReplicaEnvironment, epoch: Epoch | None) -> bool:
    """Whether another live member holds all that was acknowledged, or this one holds nothing."""
    if epoch is None or environment.node_id not in epoch.holders:
        return True
    return any(node_id != environment.node_id and environment.is_up(node_id=node_id) for node_id in epoch.holders)


def may_end(*, environment: ReplicaEnvironment, epoch: Epoch | None, leaving_s: float) -> bool:
    """Whether the process may end as far as one group goes.

    It may if no epoch needs this member any more; or if another holder is there, and no further one is to be had or
    has been found in LEAVE_WAIT_S; or if no other member is known at all.

    Args:
        environment: The member's node.
        epoch: The newest epoch that is known.
        leaving_s: Seconds for which the member has been leaving.
    """
    if epoch is None or environment.node_id not in epoch.holders or not environment.backup_candidates(preferred=[]):
        return True
    if not is_held_elsewhere(environment=environment, epoch=epoch):
        return False
    return leaving_s >= LEAVE_WAIT_S or not substitutes(environment=environment, epoch=epoch)


class Handover:
    """Has a member that is about to end replaced, and backups of this primary that are.

    Invariant: a leaving member asks until no decided epoch names it as holder, or for LEAVE_WAIT_S if another holder is
    there. It stores snapshots of others all the same: nobody else may be there to do so.

    Attributes:
        is_leaving: This process is about to end.
    """

    def __init__(self, *, member: LeavingMember) -> None:
        self.is_leaving = False
        self._member = member
        self._begun_at = 0.0
        self._asked_at = 0.0

    def begin(self) -> None:
        """This process is about to end."""
        self.is_leaving = True
        self._begun_at = self._member.environment.now
        self._asked_at = -LEAVE_RETRY_S
        if not self._member.is_electing:
            self.tick()

    def leaving_s(self) -> float:
        """Seconds since this member began to leave."""
        return self._member.environment.now - self._begun_at

    def tick(self) -> None:
        """Called a few times a second while there is no election."""
        member = self._member
        epoch = member.acceptor.decided
        if not self.is_leaving or epoch is None or member.environment.now - self._asked_at < LEAVE_RETRY_S:
            return
        if self.leaving_s() >= LEAVE_WAIT_S and is_held_elsewhere(environment=member.environment, epoch=epoch):
            return  # several leave at once: they would only pass the copy back and forth
        self._asked_at = member.environment.now
        if member.role is Role.BACKUP:
            request = YieldRequest(group_id=member.group_id, epoch_number=epoch.number)
            member.environment.send_message(node_id=epoch.primary, message=request)
        elif member.role is Role.PRIMARY:
            self._hand_over(epoch=epoch)

    def _hand_over(self, *, epoch: Epoch) -> None:
        """Yield to a backup that answers; without one, another copy comes first."""
        member = self._member
        silent = member.lease.silent_backups(epoch=epoch, resumed_at=member.resumed_at, timeout_s=2 * LEAVE_RETRY_S)
        answering = [node_id for node_id in epoch.backups if node_id not in silent]
        if answering:
            member.step_down(successor=answering[0])
        elif substitutes(environment=member.environment, epoch=epoch):
            member.start_election(reason="leaving", avoid=silent)

    def on_yield_request(self, *, node_id: str, request: YieldRequest) -> None:
        """The primary steps down for this backup, or a backup of this primary is about to end."""
        member = self._member
        epoch = member.acceptor.decided
        number = request.epoch_number
        if member.role is Role.BACKUP and member.state_epoch == number:
            member.start_election(reason="yielded", avoid=[node_id])
            return
        if member.role is not Role.PRIMARY or epoch is None or epoch.number != number or node_id not in epoch.backups:
            return
        if substitutes(environment=member.environment, epoch=epoch):
            member.start_election(reason="backup-leaves", avoid=[node_id])
