"""What lets a primary serve: the lease of its backups, and contact with a majority of its epoch's witnesses."""

from collections.abc import Iterable

from msgspec import UNSET
from msgspec.structs import replace

from .environment import ReplicaEnvironment
from .epoch import Epoch
from .messages import LeaseGranted, LeaseRequest
from .quorum_contact import QuorumContact
from .timing import BACKUP_TIMEOUT_S, CONTACT_REQUEST_S, CONTACT_WAIT_S, LEASE_RENEWAL_S, LEASE_S

NEVER_S = -9.0  # steady clocks start at 0, so this is before anything


class LeaderLease:
    """The lease of one group's primary, and a backup's answers to it.

    A primary without contact to the witnesses stays one, goes on asking, and serves again once contact is back.

    Attributes:
        valid_until: At most LEASE_S after the sending of the newest request that all backups have answered.
        contact: Contact with the witnesses.
    """

    def __init__(self, *, environment: ReplicaEnvironment, group_id: int) -> None:
        self.valid_until = 0.0
        self.contact = QuorumContact()
        self._environment = environment
        self._group_id = group_id
        self._answered: dict[str, float] = {}  # by backup: when the newest request that it answered was sent
        self._renewed_at = 0.0
        self._contact_requested_at = 0.0
        self._contact_lost_at: float | None = None  # None: contact was there when it was last looked at
        self._backup_connected_at: float | None = None  # since when a backup reports contact; None: none does

    def is_valid(self) -> bool:
        """Whether the primary may serve now."""
        now = self._environment.now
        return now < self.valid_until and now < self.contact.valid_until

    def has_quorum(self) -> bool:
        """Whether contact with the witnesses was there when it was last looked at."""
        return self._contact_lost_at is None

    def start(self, *, epoch: Epoch, installed: dict[str, float]) -> None:
        """An epoch is installed.

        Args:
            epoch: The epoch.
            installed: By member, when the `InstallEpoch` was sent that it answered.
        """
        self._answered = {backup: installed[backup] for backup in epoch.backups}
        self.valid_until = min(self._answered.values(), default=self._environment.now) + LEASE_S
        self._contact_lost_at = None
        self.contact.start(epoch=epoch, node_id=self._environment.node_id)
        for node_id, sent_at in installed.items():
            self.contact.on_response(node_id=node_id, sent_at=sent_at)

    def revoke(self) -> None:
        """Serve no more."""
        self.valid_until = 0.0

    def on_granted(self, *, epoch: Epoch, node_id: str, sent_at: float) -> None:
        """A backup answered what was sent at `sent_at`: for LEASE_S from then it will not take over."""
        self._answered[node_id] = max(self._answered.get(node_id, NEVER_S), sent_at)
        oldest = min(self._answered.get(backup, NEVER_S) for backup in epoch.backups)
        self.valid_until = max(self.valid_until, oldest + LEASE_S)

    def silent_backups(self, *, epoch: Epoch, resumed_at: float, timeout_s: float = BACKUP_TIMEOUT_S) -> list[str]:
        """Backups that have not answered for longer than a time.

        Args:
            epoch: The primary's epoch.
            resumed_at: When this process last went on after a pause: silence before that proves nothing.
            timeout_s: The time.
        """
        now = self._environment.now
        return [
            backup for backup in epoch.backups if now > max(self._answered.get(backup, NEVER_S), resumed_at) + timeout_s
        ]

    def watch_contact(self) -> None:
        """Note when contact with the witnesses is lost and when it is back."""
        now = self._environment.now
        is_lost = now >= self.contact.valid_until
        if is_lost and self._contact_lost_at is None:
            self._contact_lost_at = now
            self._environment.note(event="quorum-contact-lost", group=self._group_id)
        elif not is_lost and self._contact_lost_at is not None:
            lost_s = round(now - self._contact_lost_at, 2)
            self._environment.note(event="quorum-contact-restored", group=self._group_id, s=lost_s)
            self._contact_lost_at = None

    def renew(self, *, epoch: Epoch) -> None:
        """Ask the backups for the lease and, less often, the other witnesses for contact."""
        now = self._environment.now
        if not epoch.backups:
            self.valid_until = now + LEASE_S
        request = LeaseRequest(
            group_id=self._group_id,
            epoch_number=epoch.number,
            sent_at=now,
            is_without_quorum=UNSET if self.has_quorum() else True,
        )
        if now - self._renewed_at >= LEASE_RENEWAL_S:
            self._renewed_at = now
            for node_id in epoch.backups:
                self._environment.send_message(node_id=node_id, message=request)
        others = [node_id for node_id in epoch.witnesses if node_id not in epoch.backups]
        self._request_contact(request=request, witnesses=others)

    def _request_contact(self, *, request: LeaseRequest, witnesses: Iterable[str]) -> None:
        if self._environment.now - self._contact_requested_at < CONTACT_REQUEST_S:
            return
        self._contact_requested_at = self._environment.now
        for node_id in witnesses:
            if node_id != self._environment.node_id:
                self._environment.send_message(node_id=node_id, message=request)

    def answer(
        self, *, epoch: Epoch | None, asker: str, request: LeaseRequest, grants_lease: bool
    ) -> LeaseGranted | None:
        """What to answer a holder of the epoch.

        A witness answers also after it has promised a proposal number: whoever may stand for election has ended the
        lease before. A backup tells a primary that lost contact whether it has contact itself, and asks for it.

        Args:
            epoch: The newest epoch that is known here.
            asker: The holder.
            request: Its request.
            grants_lease: This member is a backup and stays one for a while, which is what its answer means.

        Returns:
            The answer; None: there is nothing to answer.
        """
        if epoch is None or epoch.number != request.epoch_number:
            return None
        granted = LeaseGranted(
            group_id=request.group_id,
            epoch_number=request.epoch_number,
            sent_at=request.sent_at,
            is_without_quorum=request.is_without_quorum,
        )
        if self._environment.node_id not in epoch.backups:
            return granted if self._environment.node_id in epoch.witnesses else None
        if not grants_lease:
            return None
        if asker != epoch.primary or request.is_without_quorum is not True:
            return granted
        return replace(granted, has_quorum=self._check_own_contact(epoch=epoch))

    def _check_own_contact(self, *, epoch: Epoch) -> bool:
        """Whether this backup is in contact with the witnesses; asks them for the next answer."""
        now = self._environment.now
        self.contact.start(epoch=epoch, node_id=self._environment.node_id)
        request = LeaseRequest(group_id=self._group_id, epoch_number=epoch.number, sent_at=now)
        self._request_contact(request=request, witnesses=epoch.witnesses)
        return now < self.contact.valid_until

    def should_yield(self, *, backup_has_quorum: bool) -> bool:
        """Whether to let the backup that answered take over.

        That is so if contact is lost here and a backup has reported for CONTACT_WAIT_S that it has contact: after a
        partition that heals, this member has contact back by then.

        Args:
            backup_has_quorum: What its answer reports.
        """
        now = self._environment.now
        if self.has_quorum() or not backup_has_quorum:
            self._backup_connected_at = None
            return False
        if self._backup_connected_at is None:
            self._backup_connected_at = now
        return now - self._backup_connected_at >= CONTACT_WAIT_S
