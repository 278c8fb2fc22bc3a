"""Which members are to be the backups of the next epoch: those that have stored the snapshot that it begins with."""

import enum
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .environment import ReplicaEnvironment
from .epoch import Epoch, addr_of

STARTUP_WAIT_S = 0.5  # how long members that may be starting are waited for
TRANSFER_TIMEOUT_S = 0.6  # of the first transfer; doubles with each further one, up to
MAX_TRANSFER_TIMEOUT_S = 2.4
ENOUGH_S = 2.4  # after this time an epoch makes do with the backups that there are; doubles with each epoch in a
MAX_ENOUGH_S = 9.6  # row that had to, up to this
START_OVER_S = 4.8  # after this time without any backup all members are asked anew
IDLE_LOOK_S = 0.2  # between looks while nobody else can be asked


class Outcome(enum.Enum):
    """What an election is to do after a look at the members."""

    WAIT = "wait"  # others may be starting
    START_OVER = "start-over"  # nobody is left to ask: all are asked anew after a pause
    PROCEED = "proceed"  # send the snapshot to the recipients, if any, and wait for those that were asked


@dataclass(frozen=True, slots=True, kw_only=True)
class _Members:
    """Members that may be a backup, best first within each list.

    Attributes:
        all: All of them.
        stored: They have stored the snapshot.
        slow: They were given up on once and live: the snapshot may still arrive.
        untried: They were not asked yet.
        live: Those of `untried` that were heard of lately.
    """

    all: list[str]
    stored: list[str]
    slow: list[str]
    untried: list[str]
    live: list[str]


class BackupSelection:
    """The members that are sent a snapshot, and those that have stored it.

    Attributes:
        avoid: Members that must not be backups.
        stored_by: Members that have stored the snapshot, in the order of their answers.
        wanted: The number of backups that the epoch is to have.
        recipients: The members that are to be sent the snapshot in this attempt.
        has_given_up_on_members: The epoch makes do with fewer backups than there are live members for.
        timeout_s: How long this attempt waits.
        attempts: Attempts in which somebody was sent the snapshot.
    """

    def __init__(
        self, *, environment: ReplicaEnvironment, avoid: Iterable[str], preferred: Sequence[str], shortages: int
    ) -> None:
        """Begin.

        Args:
            environment: The candidate's node.
            avoid: Members that must not be backups.
            preferred: Of equal members, those to be asked first.
            shortages: Epochs in a row that made do with fewer backups.
        """
        self.avoid = set(avoid)
        self.stored_by: list[str] = []
        self.wanted = 0
        self.recipients: list[str] = []
        self.has_given_up_on_members = False
        self.timeout_s = 0.0
        self.attempts = 0
        self._environment = environment
        self._preferred = preferred
        self._enough_s = min(ENOUGH_S * 2**shortages, MAX_ENOUGH_S)
        self._tried: set[str] = set()
        self._started_at = self._first_sent_at = environment.now

    def usable(self) -> list[str]:
        """Members that have stored the snapshot and may be backups."""
        return [node_id for node_id in self.stored_by if node_id not in self.avoid]

    def on_stored(self, *, node_id: str) -> None:
        """A member has stored the snapshot; one that was given up on may only be slow."""
        if node_id not in self.stored_by:
            self.stored_by.append(node_id)

    def discard(self) -> None:
        """Another snapshot is proposed: nobody has stored it."""
        self.stored_by = []

    def attempt_failed(self) -> None:
        """Recipients that have not answered in time are given up on."""
        self._tried.update(node_id for node_id in self.recipients if node_id not in self.stored_by)

    def on_restarted(self, *, address: str) -> list[str]:
        """A member's process has started anew: it may be asked again.

        Returns:
            The recipients at the address that have not stored the snapshot, if it was sent in this attempt.
        """
        self._tried = {node_id for node_id in self._tried if addr_of(node_id=node_id) != address}
        return [
            node_id
            for node_id in self.recipients
            if addr_of(node_id=node_id) == address and node_id not in self.stored_by
        ]

    def select(self, *, epoch: Epoch) -> Outcome:
        """Look at the members and choose the recipients.

        Args:
            epoch: The epoch that is to be replaced.
        """
        now, most = self._environment.now, self._environment.tolerated_losses()
        members = self._members()
        known = len(members.stored) + len(members.slow) + len(members.live)
        if known < min(most, len(members.all)) and now - self._started_at < STARTUP_WAIT_S:
            return Outcome.WAIT
        self._choose(members, most=most)
        is_exhausted = not self.recipients and not members.stored and now - self._first_sent_at > START_OVER_S
        if (self.wanted == 0 or is_exhausted) and not self._is_alone(members, epoch=epoch):
            self._tried, self.avoid = set(), set()
            return Outcome.START_OVER
        return Outcome.PROCEED

    def begin_attempt(self, *, is_new_snapshot: bool) -> None:
        """The recipients are about to be sent the snapshot; `is_new_snapshot`: it is for another epoch number."""
        if not self.recipients:
            self.timeout_s = IDLE_LOOK_S
            return
        timeout_s = min(TRANSFER_TIMEOUT_S * 2**self.attempts, MAX_TRANSFER_TIMEOUT_S)
        self.timeout_s = timeout_s * (1 + self._environment.jitter() / 2)
        self.attempts += 1
        if is_new_snapshot or not self._tried:
            self._first_sent_at = self._environment.now

    def _members(self) -> _Members:
        environment = self._environment
        members = [
            node_id for node_id in environment.backup_candidates(preferred=self._preferred) if node_id not in self.avoid
        ]
        missing = [node_id for node_id in members if node_id not in self.stored_by]
        untried = [node_id for node_id in missing if node_id not in self._tried]
        return _Members(
            all=members,
            stored=[node_id for node_id in members if node_id in self.stored_by],
            slow=[node_id for node_id in missing if node_id in self._tried and environment.is_up(node_id=node_id)],
            untried=untried,
            live=[node_id for node_id in untried if environment.is_up(node_id=node_id)],
        )

    def _choose(self, members: _Members, *, most: int) -> None:
        """Recipients and the number of backups to wait for; after a time those that there are suffice."""
        recipients = members.live[: most - len(members.stored)]
        if not recipients and not members.stored and not members.slow:
            recipients = members.untried[:1]
        self.recipients = recipients
        self.wanted = min(most, len(members.stored) + len(members.slow) + len(recipients))
        if members.stored and self._environment.now - self._first_sent_at > self._enough_s:
            self.has_given_up_on_members = len(members.stored) < self.wanted
            self.wanted = len(members.stored)

    def _is_alone(self, members: _Members, *, epoch: Epoch) -> bool:
        """Whether no other member is known and none is needed to decide an epoch."""
        environment = self._environment
        is_only_member = environment.core_members() in ([environment.node_id], [])
        return not members.all and is_only_member and len(epoch.witnesses) <= 1
