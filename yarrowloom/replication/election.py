"""An election for the next epoch: a snapshot to its backups, agreement among the witnesses, installation.

The candidate is the proposer of single-decree Paxos (Leslie Lamport, "Paxos Made Simple", 2001) for the number after
the newest decided epoch; the acceptors are the witnesses of that epoch.
"""

import enum
from collections.abc import Iterable, Sequence
from typing import Protocol

from msgspec import UNSET

from ..common.effects import Effect
from .acceptor import Acceptor
from .backup_selection import BackupSelection, Outcome
from .effects import SnapshotSynced
from .environment import Reducer, ReplicaEnvironment, encode_state
from .epoch import Epoch, ProposalNumber, majority
from .messages import (
    AcceptRequest,
    AcceptResponse,
    EpochInstalled,
    GroupMessage,
    InstallEpoch,
    LeaseRequest,
    PrepareRequest,
    PrepareResponse,
    SnapshotStored,
    SnapshotTransfer,
)
from .stored_records import SnapshotRecord, SyncMarker
from .timing import LEASE_RENEWAL_S

KEEP_BACKUPS_S = 5.0  # for so long does a primary that sends its state keep its backups from standing for election
VOTE_TIMEOUT_S = 0.5  # of the first round; grows by half with each further one, up to
MAX_VOTE_TIMEOUT_S = 2.0
QUIET_ROUNDS = 2  # further rounds are logged
INSTALL_TIMEOUT_S = 1.0
INSTALL_RESEND_S = 0.25
START_OVER_PAUSE_S = 0.2


class Phase(enum.Enum):
    """Where an election stands."""

    SELECT = "select"  # the members that are sent the snapshot are looked for
    TRANSFER = "transfer"  # they store it
    PREPARE = "prepare"  # phase 1 of Paxos
    ACCEPT = "accept"  # phase 2 of Paxos
    INSTALL = "install"  # the decided epoch is made known to its members


PHASE_TRANSITIONS: dict[Phase, frozenset[Phase]] = {
    Phase.SELECT: frozenset({Phase.TRANSFER, Phase.PREPARE}),
    Phase.TRANSFER: frozenset({Phase.PREPARE, Phase.SELECT}),
    Phase.PREPARE: frozenset({Phase.ACCEPT, Phase.PREPARE, Phase.INSTALL}),
    Phase.ACCEPT: frozenset({Phase.INSTALL, Phase.PREPARE}),
    Phase.INSTALL: frozenset({Phase.SELECT}),
}


class Candidate(Protocol):
    """What an election needs of the replica that stands for it; attributes as in `Replica`."""

    group_id: int
    environment: ReplicaEnvironment
    acceptor: Acceptor
    state: Reducer
    last_applied: int
    resting_until: float

    def proposed_snapshot(self, *, epoch_number: int) -> SnapshotRecord | None:
        """The snapshot that this member proposed for an epoch number, in this life or an earlier one."""

    def store_snapshot(self, record: SnapshotRecord) -> None:
        """Keep a snapshot until its epoch is decided."""

    def learn(self, epoch: Epoch) -> None:
        """Take note of a decided epoch; the election is told if it is the one that it proposed."""

    def election_won(self, *, epoch: Epoch, installed: dict[str, float], has_given_up_on_members: bool) -> None:
        """The epoch is installed at a majority of its witnesses and at all of its backups.

        Args:
            epoch: The epoch.
            installed: By member, when the `InstallEpoch` was sent that it answered.
            has_given_up_on_members: It makes do with fewer backups than there are live members for.
        """


class Election:
    """One election of a member.

    A proposed epoch names as backup only a member that has stored the proposed snapshot. A value that any witness may
    already have accepted is finished rather than replaced. Nothing is committed during an election, so the state is
    encoded once, and one snapshot id stands for it with all members that are tried.

    Attributes:
        phase: Where the election stands.
        backups: The members that are sent the snapshot.
        snapshot: What is proposed; None: not chosen yet.
        is_resumed: The snapshot was proposed by an earlier life of this member, which may have served with it.
    """

    def __init__(self, *, candidate: Candidate, avoid: Iterable[str], preferred: Sequence[str], shortages: int) -> None:
        """Begin; the next `tick` looks for backups.

        Args:
            candidate: The member that stands for election.
            avoid: Members that must not be backups.
            preferred: Of equal members, those to be asked first.
            shortages: Epochs in a row that made do with fewer backups.
        """
        environment = candidate.environment
        self.phase = Phase.SELECT
        self.backups = BackupSelection(environment=environment, avoid=avoid, preferred=preferred, shortages=shortages)
        self.snapshot: SnapshotRecord | None = None
        self.is_resumed = False
        self._candidate = candidate
        self._environment = environment
        self._phase_since = self._started_at = environment.now
        self._timeout_s = 0.0
        self._responders: set[str] = set()  # members that have answered in this phase
        self._encoded_state = ""
        self._is_snapshot_synced = False  # on this member's own disk
        self._lease_asked_at = self._started_at
        self._votes = 0  # rounds of voting
        self._round = 0  # the highest round of a proposal number that was met
        self._number = ProposalNumber(round=0, node_id=environment.node_id, incarnation=environment.incarnation)
        self._accepted: tuple[ProposalNumber, Epoch] | None = None  # the highest-numbered proposal met in this round
        self._value: Epoch | None = None  # what this election proposes, or has decided
        self._install_sent_at = 0.0
        self._installed: dict[str, float] = {}  # by member: when the oldest request that it may have answered was sent

    # -- time

    def tick(self) -> None:
        """Called a few times a second."""
        age_s = self._environment.now - self._phase_since
        match self.phase:
            case Phase.SELECT:
                self._select_backups()
            case Phase.TRANSFER if age_s <= self._timeout_s:
                self._keep_backups()
            case Phase.TRANSFER:
                self.backups.attempt_failed()
                self._enter(Phase.SELECT)
            case Phase.INSTALL if age_s > INSTALL_TIMEOUT_S:
                self._give_up_installing()
            case Phase.INSTALL:
                if self._environment.now - self._install_sent_at > INSTALL_RESEND_S:
                    self._send_install()
            case _:
                if age_s > self._timeout_s:
                    self._prepare()

    def _enter(self, phase: Phase) -> None:
        assert phase in PHASE_TRANSITIONS[self.phase], (self.phase, phase)
        self.phase = phase
        self._phase_since = self._environment.now
        self._responders = set()

    def _current_epoch(self) -> Epoch:
        """The epoch that is to be replaced."""
        epoch = self._candidate.acceptor.decided
        assert epoch is not None, "only a holder of a decided epoch stands for election"
        return epoch

    def _keep_backups(self) -> None:
        """The epoch's primary tells its backups that it is at work.

        An election of theirs would only send more snapshots over the same links. Not for ever: one of them may be able
        to do what this member is not.
        """
        now, epoch = self._environment.now, self._current_epoch()
        if epoch.primary != self._environment.node_id or now - self._started_at > KEEP_BACKUPS_S:
            return
        if now - self._lease_asked_at < LEASE_RENEWAL_S:
            return
        self._lease_asked_at = now
        request = LeaseRequest(group_id=self._candidate.group_id, epoch_number=epoch.number, sent_at=now)
        for node_id in epoch.backups:
            if node_id not in self.backups.avoid:
                self._environment.send_message(node_id=node_id, message=request)

    # -- the snapshot and its holders

    def _select_backups(self) -> None:
        epoch = self._current_epoch()
        if self._environment.now < self._candidate.resting_until:
            return
        is_new = self.snapshot is None or self.snapshot.epoch_number != epoch.number + 1
        if is_new:
            self.backups.discard()
        outcome = self.backups.select(epoch=epoch)
        if outcome is Outcome.START_OVER:
            pause_s = START_OVER_PAUSE_S * (1 + self._environment.jitter())
            self._candidate.resting_until = self._environment.now + pause_s
        elif outcome is Outcome.PROCEED:
            self._send_snapshot(epoch_number=epoch.number + 1, is_new=is_new)

    def _send_snapshot(self, *, epoch_number: int, is_new: bool) -> None:
        """Send the snapshot to the recipients and wait until as many as are wanted have stored it."""
        backups = self.backups
        if backups.attempts and backups.recipients:
            self._environment.note(
                event="election-transfer-repeated",
                group=self._candidate.group_id,
                attempt=backups.attempts,
                recipients=",".join(backups.recipients),
                stored_by=",".join(backups.stored_by),
            )
        backups.begin_attempt(is_new_snapshot=is_new)
        self._timeout_s = backups.timeout_s
        self._enter(Phase.TRANSFER)
        if is_new or self.snapshot is None:
            self.snapshot = self._propose_snapshot(epoch_number=epoch_number)
        self._transfer(self.snapshot, recipients=backups.recipients)
        self._continue_if_stored()

    def _transfer(self, snapshot: SnapshotRecord, *, recipients: list[str]) -> None:
        transfer = SnapshotTransfer(
            group_id=snapshot.group_id,
            epoch_number=snapshot.epoch_number,
            snapshot_id=snapshot.snapshot_id,
            last_applied=snapshot.last_applied,
            state=snapshot.state,
        )
        for node_id in recipients:
            self._environment.send_message(node_id=node_id, message=transfer)

    def on_peer_restarted(self, *, address: str) -> None:
        """A member's process has started anew: a snapshot that was under way to it is lost, so it is sent again."""
        recipients = self.backups.on_restarted(address=address)
        if self.phase is Phase.TRANSFER and self.snapshot is not None and recipients:
            self._transfer(self.snapshot, recipients=recipients)

    def _propose_snapshot(self, *, epoch_number: int) -> SnapshotRecord:
        """Write the snapshot that the next epoch is to begin with, or go on with the one from before a restart."""
        candidate, environment = self._candidate, self._environment
        self._is_snapshot_synced = False
        record = candidate.proposed_snapshot(epoch_number=epoch_number)
        if record is not None:
            self.is_resumed = True
            done = self._snapshot_synced_effect(record)
            environment.write(record=SyncMarker(group_id=candidate.group_id), done=done)
            return record
        self._encoded_state = self._encoded_state or encode_state(state=candidate.state)
        record = SnapshotRecord(
            group_id=candidate.group_id,
            epoch_number=epoch_number,
            snapshot_id=f"{environment.node_id}/{environment.now:.4f}/{int(environment.jitter() * 1e9)}",
            last_applied=candidate.last_applied,
            state=self._encoded_state,
        )
        environment.write(record=record, done=self._snapshot_synced_effect(record))
        candidate.store_snapshot(record)
        return record

    def _snapshot_synced_effect(self, record: SnapshotRecord) -> Effect:
        return SnapshotSynced(group_id=self._candidate.group_id, snapshot_id=record.snapshot_id)

    def on_snapshot_synced(self, *, snapshot_id: str) -> None:
        """A snapshot is on this member's own disk."""
        if self.snapshot is not None and snapshot_id == self.snapshot.snapshot_id:
            self._is_snapshot_synced = True
            self._continue_if_stored()

    def _on_snapshot_stored(self, *, node_id: str, message: SnapshotStored) -> None:
        if self.snapshot is not None and message.snapshot_id == self.snapshot.snapshot_id:
            self.backups.on_stored(node_id=node_id)
            self._continue_if_stored()

    def _continue_if_stored(self) -> None:
        """Propose an epoch once the snapshot is stored here and at as many members as are wanted."""
        usable = self.backups.usable()
        if self.phase is not Phase.TRANSFER or not self._is_snapshot_synced or len(usable) < self.backups.wanted:
            return
        assert self.snapshot is not None
        epoch = self._current_epoch()
        self._value = Epoch(
            number=epoch.number + 1,
            primary=self._environment.node_id,
            backups=tuple(usable[: self.backups.wanted]),
            witnesses=tuple(self._environment.next_witnesses(current=epoch.witnesses)),
            snapshot_id=self.snapshot.snapshot_id,
        )
        self._prepare()

    # -- agreement

    def on_response(self, *, node_id: str, message: GroupMessage) -> None:
        """One response to a request of this election."""
        match message:
            case SnapshotStored():
                self._on_snapshot_stored(node_id=node_id, message=message)
            case EpochInstalled():
                self._on_epoch_installed(node_id=node_id, message=message)
            case PrepareResponse():
                self._on_prepare_response(node_id=node_id, message=message)
            case AcceptResponse():
                self._on_accept_response(node_id=node_id, message=message)

    def _prepare(self) -> None:
        """Phase 1: ask the witnesses to promise a new proposal number."""
        epoch = self._current_epoch()
        self._enter(Phase.PREPARE)
        timeout_s = min(VOTE_TIMEOUT_S * (1 + self._votes / 2), MAX_VOTE_TIMEOUT_S)
        self._timeout_s = timeout_s * (1 + self._environment.jitter())
        self._votes += 1
        if self._votes > QUIET_ROUNDS:
            self._environment.note(
                event="election-round-repeated",
                group=self._candidate.group_id,
                round=self._votes,
                witnesses=",".join(epoch.witnesses),
            )
        self._round += 1
        self._accepted = None
        self._number = self._number._replace(round=self._round)
        request = PrepareRequest(
            group_id=self._candidate.group_id,
            epoch_number=epoch.number + 1,
            proposal_number=self._number,
            previous_epoch=epoch,
        )
        for witness in epoch.witnesses:
            self._environment.send_message(node_id=witness, message=request)

    def _is_granted(self, message: PrepareResponse | AcceptResponse) -> bool:
        """Whether a witness granted the present proposal number; what a refusal tells is taken note of."""
        if message.decided is not UNSET and message.decided is not None:
            self._candidate.learn(message.decided)
            return False
        if message.epoch_number != self._current_epoch().number + 1 or message.proposal_number != self._number:
            return False  # a response to an earlier round
        if not message.is_granted and message.promised is not UNSET:
            self._round = max(self._round, message.promised.round)
        return message.is_granted

    def _on_prepare_response(self, *, node_id: str, message: PrepareResponse) -> None:
        if not self._is_granted(message) or self.phase is not Phase.PREPARE:
            return
        self._note_accepted(message)
        self._responders.add(node_id)
        if majority(votes=self._responders, among=self._current_epoch().witnesses):
            self._accept()

    def _note_accepted(self, message: PrepareResponse) -> None:
        """Remember the highest-numbered proposal that a witness has accepted: it may be decided already."""
        number, value = message.accepted_number, message.accepted_value
        if not isinstance(number, ProposalNumber) or not isinstance(value, Epoch):
            return
        if self._accepted is None or number > self._accepted[0]:
            self._accepted = (number, value)

    def _accept(self) -> None:
        """Phase 2: ask the witnesses to accept the value that one of them may have accepted before, else the own."""
        epoch = self._current_epoch()
        value = self._accepted[1] if self._accepted is not None else self._value
        assert value is not None
        self._enter(Phase.ACCEPT)
        self._accepted = (self._number, value)
        request = AcceptRequest(
            group_id=self._candidate.group_id,
            epoch_number=epoch.number + 1,
            proposal_number=self._number,
            value=value,
            previous_epoch=epoch,
        )
        for witness in epoch.witnesses:
            self._environment.send_message(node_id=witness, message=request)

    def _on_accept_response(self, *, node_id: str, message: AcceptResponse) -> None:
        if not self._is_granted(message) or self.phase is not Phase.ACCEPT:
            return
        epoch = self._current_epoch()
        self._responders.add(node_id)
        if self._accepted is None or not majority(votes=self._responders, among=epoch.witnesses):
            return
        value = self._accepted[1]
        self._candidate.learn(value)
        if not self.has_proposed(value):
            self._announce(value, previous=epoch)

    def _announce(self, value: Epoch, *, previous: Epoch) -> None:
        """Tell of an epoch that this election finished for another member; the election is over with it."""
        announcement = InstallEpoch(group_id=self._candidate.group_id, epoch=value)
        for node in sorted({*previous.witnesses, *value.witnesses, *value.holders} - {""}):
            self._environment.send_message(node_id=node, message=announcement)

    # -- installation

    def has_proposed(self, epoch: Epoch) -> bool:
        """Whether this life of the member proposed an epoch, so that nobody has served in it yet."""
        if self.snapshot is None or self.is_resumed:
            return False
        return epoch.primary == self._environment.node_id and epoch.snapshot_id == self.snapshot.snapshot_id

    def on_decided(self, epoch: Epoch) -> None:
        """The epoch that this election proposed is decided."""
        if self.phase is Phase.TRANSFER:
            self._enter(Phase.PREPARE)
        self._enter(Phase.INSTALL)
        self._installed = {}
        self._value = epoch
        self._send_install()

    def _send_install(self) -> None:
        """Tell all members that have not answered yet of the decided epoch."""
        epoch = self._value
        assert epoch is not None
        self._install_sent_at = self._environment.now
        message = InstallEpoch(group_id=self._candidate.group_id, epoch=epoch, sent_at=self._install_sent_at)
        members = {*epoch.witnesses, *epoch.backups, *self._environment.core_members()}
        for node_id in sorted(members - {"", *self._responders}):
            self._environment.send_message(node_id=node_id, message=message)

    def _give_up_installing(self) -> None:
        """Backups that do not answer are left out of a further epoch."""
        epoch = self._current_epoch()
        self.backups.avoid = {node_id for node_id in epoch.backups if node_id not in self._responders}
        self.backups.discard()
        self._enter(Phase.SELECT)

    def _on_epoch_installed(self, *, node_id: str, message: EpochInstalled) -> None:
        epoch = self._value
        if self.phase is not Phase.INSTALL or epoch is None or message.epoch_number != epoch.number:
            return
        self._responders.add(node_id)
        self._installed.setdefault(node_id, self._phase_since if message.sent_at is None else message.sent_at)
        if majority(votes=self._responders, among=epoch.witnesses) and self._responders.issuperset(epoch.backups):
            self._candidate.election_won(
                epoch=epoch,
                installed=self._installed,
                has_given_up_on_members=self.backups.has_given_up_on_members,
            )
