"""When a member that holds a group's state may end: others must hold it first."""

from typing import Protocol

from ..transport.envelope import Kind
from .environment import ReplicaEnvironment, Role
from .epoch import Acceptor, Epoch
from .leader_lease import LeaderLease
from .timing import LEAVE_S, RELIEF_S


class Member(Protocol):
    """What relief needs of the replica that it belongs to."""

    group_id: int
    environment: ReplicaEnvironment
    acceptor: Acceptor
    role: Role
    state_epoch: int
    resumed_at: float
    lease: LeaderLease

    @property
    def electing(self) -> bool:
        """A campaign of this member is under way."""

    def start_election(self, *, reason: str, avoid: list[str] | None = None) -> None:
        """Election to be the primary of the next epoch."""

    def step_down(self, *, to: str = "") -> None:
        """Have a backup take over at once."""


def substitutes(*, environment: ReplicaEnvironment, epoch: Epoch) -> list[str]:
    """Live members that hold nothing of the epoch yet."""
    holders = (epoch.primary, *epoch.backups)
    return [u for u in environment.partners(first=[]) if u not in holders and environment.up(node_id=u)]


def copied_elsewhere(*, environment: ReplicaEnvironment, epoch: Epoch | None) -> bool:
    """Another live member holds all that was confirmed, or this one holds nothing."""
    if epoch is None or environment.node_id not in (epoch.primary, *epoch.backups):
        return True
    return any(u != environment.node_id and environment.up(node_id=u) for u in (epoch.primary, *epoch.backups))


def may_end(*, environment: ReplicaEnvironment, epoch: Epoch | None, leaving_s: float) -> bool:
    """No epoch needs this member any more; or another holder is there, and no further one is to be had or has been
    found in RELIEF_S; or no other member is known at all. `asked_s`: how long it has been leaving.
    """
    if (
        epoch is None
        or environment.node_id not in (epoch.primary, *epoch.backups)
        or not environment.partners(first=[])
    ):
        return True
    if not copied_elsewhere(environment=environment, epoch=epoch):
        return False
    return leaving_s >= RELIEF_S or not substitutes(environment=environment, epoch=epoch)


class Handover:
    """Of a member that is about to end, and of backups of this primary that are. Invariant: a leaving member asks
    until no decided epoch names it as holder, or for RELIEF_S if another holder is there. It takes copies all the
    same: nobody else may be there to take them.
    """

    def __init__(self, *, member: Member) -> None:
        self.leaving = False
        self._member = member
        self._begun = 0.0
        self._asked = 0.0

    def begin(self) -> None:
        """This process is about to end."""
        self.leaving = True
        self._begun = self._member.environment.now
        self._asked = -LEAVE_S
        if not self._member.electing:
            self.tick()

    def leaving_s(self) -> float:
        """Seconds since this member began to leave."""
        return self._member.environment.now - self._begun

    def tick(self) -> None:
        """Called a few times a second while there is no campaign."""
        member = self._member
        epoch = member.acceptor.decided
        if not self.leaving or epoch is None or member.environment.now - self._asked < LEAVE_S:
            return
        if self.leaving_s() >= RELIEF_S and copied_elsewhere(environment=member.environment, epoch=epoch):
            return  # several leave at once: they would only hand the copy to and fro
        self._asked = member.environment.now
        if member.role is Role.BACKUP:
            member.environment.send(
                node_id=epoch.primary, kind=Kind.YIELD, body={"g": member.group_id, "n": epoch.number}
            )
        elif member.role is Role.PRIMARY:
            self._hand_over(epoch=epoch)

    def _hand_over(self, *, epoch: Epoch) -> None:
        """Yield to a backup that answers; without one, another copy comes first."""
        member = self._member
        silent = member.lease.silent(epoch=epoch, awake=member.resumed_at, patience=2 * LEAVE_S)
        answering = [node_id for node_id in epoch.backups if node_id not in silent]
        if answering:
            member.step_down(to=answering[0])
        elif substitutes(environment=member.environment, epoch=epoch):
            member.start_election(reason="leaving", avoid=silent)

    def asked(self, *, node_id: str, number: int) -> None:
        """The primary gives up to this backup, or a backup of this primary is about to end."""
        member = self._member
        epoch = member.acceptor.decided
        if member.role is Role.BACKUP and member.state_epoch == number:
            member.start_election(reason="yielded", avoid=[node_id])
        elif member.role is Role.PRIMARY and epoch is not None and epoch.number == number and node_id in epoch.backups:
            if substitutes(environment=member.environment, epoch=epoch):
                member.start_election(reason="backup-leaves", avoid=[node_id])
