"""One member's part in one group: witness always; primary or backup when the epoch says so."""

from collections.abc import Callable, Iterable, Sequence
from typing import Any

from ..common.effects import Effect, NoEffect
from ..common.records import Record
from ..transport.effects import SendMessage
from ..transport.message_kinds import Kind
from .batch import Batch
from .election import Election
from .environment import Reducer, ReplicaEnvironment
from .epoch import Epoch
from .event_pipeline import EventPipeline
from .handover import Handover
from .leader_lease import LeaderLease
from .log_replay import ReplayError, unapplied
from .messages import (
    AcceptRequest,
    AcceptResponse,
    AppendBatch,
    BatchAppended,
    EpochInstalled,
    GroupMessage,
    InstallEpoch,
    LeaseGranted,
    LeaseRequest,
    PrepareRequest,
    PrepareResponse,
    SnapshotStored,
    SnapshotTransfer,
    YieldRequest,
    decode_message,
)
from .reconfiguration import Reconfiguration
from .replica_storage import NO_EPOCH, ReplicaStorage
from .roles import ROLE_TRANSITIONS, Role
from .stored_records import BatchRecord, SnapshotRecord, StoredRecord, SyncMarker
from .timing import (
    BACKUP_TIMEOUT_S,
    DISK_TIMEOUT_S,
    LEADER_TIMEOUT_S,
    RESEND_S,
    REVIEW_S,
    STEP_DOWN_REST_S,
    TAKEOVER_STAGGER_S,
)

FIRST_REVIEW_S = 1.0  # after an election a primary looks for a better set of members only after this time
LAPSED_REST_S = 0.05  # a restarted primary waits this long before it stands for election
RESUMED_REST_S = 0.3  # a process that stood still waits this long: what others sent meanwhile is read first


class Replica(ReplicaStorage):
    """A member of a group.

    No effect, answer or read leaves for events in the `pipeline` before these are on the disks of the primary and all
    backups. A primary serves only while its `lease` is valid. A backup that has stood for election
    never again answers the epoch that it leaves, also not after a restart.

    What a restarted member has is the first so many events of its epoch, with all that were confirmed among them. It
    is only a proposal, which counts once the backups of a new epoch have stored it.

    Attributes:
        environment: The node.
        role: What the member does in the epoch that it knows.
        lease: As the primary, what lets it serve; as a backup, its contact with the witnesses.
        last_heartbeat: When a backup last heard from its primary, by the node's steady clock.
        resting_until: Before this time the member doesn't stand for election.
        resumed_at: When this process last went on after a pause: silence counts from then.
        election: The election under way; set only as CANDIDATE.
        pipeline: As the primary, the events on their way to the disks of all holders.
        reconfiguration: Looks for a better set of members.
        handover: Has the member replaced before its process ends.
    """

    def __init__(self, *, group_id: int, environment: ReplicaEnvironment, state: Reducer, epoch: Epoch | None) -> None:
        super().__init__(group_id=group_id, node_id=environment.node_id, state=state, epoch=epoch)
        self.environment = environment
        self.role = Role.IDLE
        self.lease = LeaderLease(environment=environment, group_id=group_id)
        self.last_heartbeat = 0.0
        self.resting_until = 0.0
        self.resumed_at = 0.0
        self.election: Election | None = None
        self.pipeline = EventPipeline(environment=environment, group_id=group_id)
        self.reconfiguration = Reconfiguration()
        self.handover = Handover(member=self)
        self._next_review_at = 0.0
        if epoch is not None and epoch.number == 0 and environment.node_id in epoch.holders:
            self.state_epoch = 0
            self._assume_role()

    # -- what the node asks

    @property
    def epoch(self) -> Epoch | None:
        """The newest decided epoch known."""
        return self.acceptor.decided

    @property
    def is_electing(self) -> bool:
        """Whether an election of this member is under way."""
        return self.election is not None

    def is_serving(self) -> bool:
        """Whether the member may act as the primary right now."""
        return self.role is Role.PRIMARY and self.lease.is_valid()

    def commit(self, *, event: Record | dict[str, Any], then: Effect | None = None) -> Sequence[Effect]:
        """Apply an event; only while serving.

        Args:
            event: The event: typed, or as the log holds it.
            then: Carried out once the event is durable.

        Returns:
            The effects that the reducer asks for, if any.
        """
        # Before the event is applied: its lists belong to the state from then on.
        document = event.document() if isinstance(event, Record) else event
        effects = self._apply(event=event)
        self.pipeline.append(event=document, then=then)
        return effects

    def barrier(self, *, then: Effect) -> None:
        """Carry out an effect once all that was applied so far is durable."""
        self.pipeline.barrier(then=then)

    def _apply(self, *, event: Record | dict[str, Any]) -> Sequence[Effect]:
        """Apply the next event.

        A reducer that raises may have changed a part of the state, which is then of no use: this member neither leads
        nor answers until it is sent another.
        """
        try:
            effects = self.state.apply(event)
        except Exception as error:
            self.environment.note(
                event="state-discarded",
                group=self.group_id,
                epoch=self.state_epoch,
                number=self.last_applied + 1,
                cause=repr(error),
            )
            self.state_epoch = NO_EPOCH
            self._change_role(Role.IDLE)
            raise
        self.last_applied += 1
        return effects or ()

    # -- roles

    def _known_epoch(self) -> Epoch:
        epoch = self.acceptor.decided
        assert epoch is not None, "a member with a role knows its epoch"
        return epoch

    def _change_role(self, role: Role) -> None:
        assert role in ROLE_TRANSITIONS[self.role], (self.role, role)
        previous, self.role = self.role, role
        ends_service = previous is Role.PRIMARY and role is not Role.CANDIDATE
        ends_election = previous is Role.CANDIDATE and role not in (Role.CANDIDATE, Role.PRIMARY)
        if ends_service or ends_election:
            self.pipeline.clear()
            self.election = None
            self.environment.deposed(group_id=self.group_id)

    def _assume_role(self) -> None:
        """Take the role that the known epoch gives."""
        epoch = self._known_epoch()
        has_state = self.state_epoch == epoch.number or self._install_snapshot(epoch=epoch)
        self._discard_snapshots(up_to=epoch.number)
        if has_state and epoch.primary == self.environment.node_id:
            self._change_role(Role.LAPSED)
            self.resting_until = max(self.resting_until, self.environment.now + LAPSED_REST_S)
        elif has_state and self.environment.node_id in epoch.backups:
            has_stood = self.proposed_snapshot(epoch_number=epoch.number + 1) is not None
            self._change_role(Role.LAPSED if has_stood else Role.BACKUP)
            self.last_heartbeat = self.environment.now
        elif self.role is not Role.IDLE:
            self._change_role(Role.IDLE)

    def learn(self, epoch: Epoch) -> None:
        """Take note of a decided epoch."""
        if not self.acceptor.learn(epoch):
            return
        self._save_acceptor(done=NoEffect())
        self.environment.epoch_installed(group_id=self.group_id, epoch=epoch)
        # An earlier life may have served in an epoch whose snapshot it proposed: this one goes on to the next epoch.
        if self.election is not None and self.election.has_proposed(epoch):
            self.state_epoch = epoch.number
            self._discard_snapshots(up_to=epoch.number)
            self.election.on_decided(epoch)
            return
        self._assume_role()

    def _save_acceptor(self, *, done: Effect) -> None:
        self.environment.write(record=self.acceptor.stored_record(group_id=self.group_id), done=done)

    # -- disk

    def snapshot_records(self) -> list[StoredRecord]:
        """Records that stand for all that is kept of the group."""
        return list(self.records(with_state=self.role is not Role.IDLE))

    def finish_restore(self) -> None:
        """All records are replayed: take the role that they tell."""
        self.role = Role.IDLE
        epoch = self.acceptor.decided
        if epoch is None or self.state_epoch != epoch.number or self.environment.node_id not in epoch.holders:
            return
        proposed = self.proposed_snapshot(epoch_number=epoch.number + 1)
        if proposed is not None:  # it also has what was applied and not yet on disk
            self._load_state(epoch_number=epoch.number, record=proposed)
        self._assume_role()

    # -- time

    def tick(self) -> None:
        """Called a few times a second."""
        if self.election is not None:
            self.election.tick()
            return
        self.handover.tick()
        if self.role is Role.PRIMARY:
            self._lead()
        elif self.role is Role.BACKUP:
            self._watch_primary()
        elif self.role is Role.LAPSED and self.environment.now >= self.resting_until:
            self.start_election(reason="restart")

    def process_resumed(self) -> None:
        """The process stood still: silence of others, and of the own disk, proves nothing yet."""
        now = self.environment.now
        self.resumed_at = now
        self.last_heartbeat = max(self.last_heartbeat, now)
        self.resting_until = max(self.resting_until, now + RESUMED_REST_S)

    def _watch_primary(self) -> None:
        """A backup takes over from a silent primary, after those that are named before it."""
        now, epoch = self.environment.now, self._known_epoch()
        silent_s = now - self.last_heartbeat
        if silent_s > LEADER_TIMEOUT_S + self._takeover_delay_s() and now >= self.resting_until:
            self.start_election(reason="silence", avoid=[epoch.primary])

    def _takeover_delay_s(self) -> float:
        """Seconds that this backup waits for those named before it to take over."""
        epoch = self.acceptor.decided
        if epoch is None or self.environment.node_id not in epoch.backups:
            return 0.0
        return TAKEOVER_STAGGER_S * epoch.backups.index(self.environment.node_id)

    def _lead(self) -> None:
        """What a primary does as time goes on."""
        epoch = self._known_epoch()
        self.lease.watch_contact()
        self.lease.renew(epoch=epoch)
        batch = self.pipeline.in_flight
        if batch is None:
            self.flush()
        elif self._give_up_on(batch=batch, epoch=epoch):
            return
        silent = self.lease.silent_backups(epoch=epoch, resumed_at=self.resumed_at)
        if silent:
            self.start_election(reason="backup-silent", avoid=silent)
        elif self.environment.now >= self._next_review_at and self.lease.has_quorum():
            self._review_members(epoch=epoch)

    def _give_up_on(self, *, batch: Batch, epoch: Epoch) -> bool:
        """Whether the own disk or a backup takes too long for a batch; else it is sent again in time."""
        now = self.environment.now
        age_s = now - max(batch.begun_at, self.resumed_at)
        if age_s > DISK_TIMEOUT_S and not batch.local_durable:
            self.step_down()
            return True
        missing = [node_id for node_id in epoch.backups if node_id not in batch.acknowledged_by]
        if age_s > BACKUP_TIMEOUT_S:
            self.start_election(reason="backup-slow", avoid=missing)
            return True
        if missing and now - batch.sent_at > RESEND_S:
            self.pipeline.send_batch(epoch=epoch)
        return False

    def _review_members(self, *, epoch: Epoch) -> None:
        self._next_review_at = self.environment.now + REVIEW_S
        reason = self.reconfiguration.reason(environment=self.environment, epoch=epoch)
        if reason:
            self.start_election(reason=reason)

    # -- change of the primary

    def start_election(self, *, reason: str, avoid: Iterable[str] | None = None) -> None:
        """Stand for election as the primary of the next epoch.

        Args:
            reason: Why, for the log.
            avoid: Members that must not be backups.
        """
        epoch = self._known_epoch()
        self.environment.note(event="election-started", group=self.group_id, reason=reason, epoch=epoch.number)
        self._change_role(Role.CANDIDATE)
        self.election = Election(
            candidate=self, avoid=avoid or (), preferred=epoch.backups, shortages=self.reconfiguration.shortages
        )
        self.election.tick()

    def election_won(self, *, epoch: Epoch, installed: dict[str, float], has_given_up_on_members: bool) -> None:
        """The epoch of this member's election is installed: the disks of all holders have the whole state.

        Args:
            epoch: The epoch.
            installed: By member, when the `InstallEpoch` was sent that it answered.
            has_given_up_on_members: It makes do with fewer backups than there are live members for.
        """
        self.reconfiguration.epoch_installed(has_given_up_on_members=has_given_up_on_members)
        self.lease.start(epoch=epoch, installed=installed)
        effects = self.pipeline.take_effects()
        self.election = None
        self._change_role(Role.PRIMARY)
        self._next_review_at = self.environment.now + FIRST_REVIEW_S
        self.environment.elected(group_id=self.group_id)
        for effect in effects:
            self.environment.effect(effect=effect)

    def step_down(self, *, successor: str = "") -> None:
        """Have a backup take over at once.

        Args:
            successor: The backup that should; empty: the best one.
        """
        epoch = self._known_epoch()
        self.lease.revoke()
        partners = [successor] if successor else self.environment.backup_candidates(preferred=epoch.backups)
        candidates = [node_id for node_id in partners if node_id in epoch.backups] or list(epoch.backups)
        for node_id in candidates[:1]:
            request = YieldRequest(group_id=self.group_id, epoch_number=epoch.number)
            self.environment.send_message(node_id=node_id, message=request)
        self._change_role(Role.LAPSED)
        self.resting_until = self.environment.now + STEP_DOWN_REST_S

    def begin_handover(self) -> None:
        """The process is about to end: others are to take over."""
        self.handover.begin()

    # -- commits

    def flush(self) -> None:
        """Send the next batch; one is in flight at a time."""
        pipeline = self.pipeline
        if pipeline.in_flight is None and pipeline.pending_events and self.is_serving():
            pipeline.start_batch(epoch=self._known_epoch(), last_applied=self.last_applied)

    def batch_synced(self, *, epoch_number: int, last_event: int) -> None:
        """The own disk has the batch that ends with an event; an election may have replaced it meanwhile."""
        epoch = self.acceptor.decided
        if epoch is not None and epoch.number == epoch_number:
            self.pipeline.on_synced(last_event=last_event)
            self._complete_batch(epoch=epoch)

    def snapshot_synced(self, *, snapshot_id: str) -> None:
        """The own disk has a snapshot that this member proposes."""
        if self.election is not None:
            self.election.on_snapshot_synced(snapshot_id=snapshot_id)

    def _complete_batch(self, *, epoch: Epoch) -> None:
        if self.role is Role.PRIMARY and self.pipeline.complete_batch(epoch=epoch):
            self.flush()

    # -- messages

    def on(self, *, node_id: str, kind: Kind, body: object) -> None:
        """Take one parsed message of this group.

        Args:
            node_id: The sender.
            kind: One of `GROUP_MESSAGE_KINDS`.
            body: Plain data with the encoded keys.

        Raises:
            MalformedRecordError: The body does not fit the kind.
        """
        message = decode_message(kind=kind, body=body)
        _HANDLERS[type(message)](self, node_id, message)

    def _on_prepare_request(self, node_id: str, request: PrepareRequest) -> None:
        if request.previous_epoch is not None:
            self.learn(request.previous_epoch)
        self._send_vote(node_id=node_id, response=self.acceptor.prepare(request))

    def _on_accept_request(self, node_id: str, request: AcceptRequest) -> None:
        if request.previous_epoch is not None:
            self.learn(request.previous_epoch)
        self._send_vote(node_id=node_id, response=self.acceptor.accept(request))

    def _send_vote(self, *, node_id: str, response: PrepareResponse | AcceptResponse | None) -> None:
        """Answer a proposer; what grants something leaves only once it is on the disk."""
        if response is None:
            return
        if response.is_granted:
            self._save_acceptor(done=SendMessage(node_id=node_id, message=response))
        else:
            self.environment.send_message(node_id=node_id, message=response)

    def _on_install_epoch(self, node_id: str, message: InstallEpoch) -> None:
        """Whom a decided epoch names as backup answers only as one: the answer is a lease from when it was sent."""
        self.learn(message.epoch)
        epoch = self.acceptor.decided
        if epoch is None or epoch.number != message.epoch.number:
            return
        if self.environment.node_id in epoch.backups:
            if self.role is not Role.BACKUP or self.state_epoch != epoch.number:
                return
            self.last_heartbeat = self.environment.now
        sent_at = message.sent_at if isinstance(message.sent_at, float) else None
        answer = EpochInstalled(group_id=self.group_id, epoch_number=epoch.number, sent_at=sent_at)
        self._save_acceptor(done=SendMessage(node_id=node_id, message=answer))

    def _on_snapshot_transfer(self, node_id: str, message: SnapshotTransfer) -> None:
        if not self._is_undecided(epoch_number=message.epoch_number):
            return
        record = SnapshotRecord(
            group_id=self.group_id,
            epoch_number=message.epoch_number,
            snapshot_id=message.snapshot_id,
            last_applied=message.last_applied,
            state=message.state,
        )
        self.store_snapshot(record)
        answer = SnapshotStored(group_id=self.group_id, snapshot_id=message.snapshot_id)
        self.environment.write(record=record, done=SendMessage(node_id=node_id, message=answer))

    def _on_append_batch(self, node_id: str, message: AppendBatch) -> None:
        """A backup applies the events that it doesn't have yet, and acknowledges the batch once it is on the disk."""
        if self.role is not Role.BACKUP or self.state_epoch != message.epoch_number:
            return
        self.last_heartbeat = self.environment.now
        try:
            new = unapplied(first=message.first_event, events=message.events, applied=self.last_applied)
        except ReplayError as error:
            self.environment.note(event="log-gap-found", group=self.group_id, epoch=self.state_epoch, cause=error.text)
            return
        record: StoredRecord = SyncMarker(group_id=self.group_id)
        if new:
            first = self.last_applied + 1
            record = BatchRecord(
                group_id=self.group_id, epoch_number=message.epoch_number, first_event=first, events=new
            )
        try:
            for event in new:
                self._apply(event=event)
        except Exception:  # noted, and the state is discarded; the primary replaces a backup that does not answer
            return
        answer = BatchAppended(
            group_id=self.group_id,
            epoch_number=message.epoch_number,
            last_event=message.first_event + len(message.events) - 1,
            sent_at=message.sent_at,
        )
        self.environment.write(record=record, done=SendMessage(node_id=node_id, message=answer))

    def _on_lease_request(self, node_id: str, request: LeaseRequest) -> None:
        epoch = self.acceptor.decided
        grants_lease = self.role is Role.BACKUP and self.state_epoch == request.epoch_number
        answer = self.lease.answer(epoch=epoch, asker=node_id, request=request, grants_lease=grants_lease)
        if answer is None or epoch is None:
            return
        if grants_lease and node_id == epoch.primary:
            self.last_heartbeat = self.environment.now
        self.environment.send_message(node_id=node_id, message=answer)

    def _on_lease_granted(self, node_id: str, message: LeaseGranted) -> None:
        if not self._on_holder_answered(node_id=node_id, message=message):
            return
        if self.lease.should_yield(backup_has_quorum=message.has_quorum is True):
            self.environment.note(event="leadership-yielded", group=self.group_id, to=node_id)
            self.step_down(successor=node_id)

    def _on_batch_appended(self, node_id: str, message: BatchAppended) -> None:
        if not self._on_holder_answered(node_id=node_id, message=message):
            return
        if self.pipeline.on_acknowledged(node_id=node_id, last_event=message.last_event):
            self._complete_batch(epoch=self._known_epoch())
        else:  # a late acknowledgement, which reports no contact of the backup
            self.lease.should_yield(backup_has_quorum=False)

    def _on_holder_answered(self, *, node_id: str, message: LeaseGranted | BatchAppended) -> bool:
        """Count the answer of a member of this epoch; whether it is one of a backup to its primary."""
        epoch = self.acceptor.decided
        if epoch is None or message.epoch_number != epoch.number or self.role not in (Role.PRIMARY, Role.BACKUP):
            return False
        self.lease.contact.on_response(node_id=node_id, sent_at=message.sent_at)
        if self.role is not Role.PRIMARY or node_id not in epoch.backups:
            return False
        self.lease.on_granted(epoch=epoch, node_id=node_id, sent_at=message.sent_at)
        return True

    def _on_yield_request(self, node_id: str, request: YieldRequest) -> None:
        self.handover.on_yield_request(node_id=node_id, request=request)

    def _on_election_response(self, node_id: str, message: GroupMessage) -> None:
        if self.election is not None:
            self.election.on_response(node_id=node_id, message=message)


_HANDLERS: dict[type[GroupMessage], Callable[[Replica, str, Any], None]] = {
    PrepareRequest: Replica._on_prepare_request,
    PrepareResponse: Replica._on_election_response,
    AcceptRequest: Replica._on_accept_request,
    AcceptResponse: Replica._on_election_response,
    InstallEpoch: Replica._on_install_epoch,
    EpochInstalled: Replica._on_election_response,
    SnapshotTransfer: Replica._on_snapshot_transfer,
    SnapshotStored: Replica._on_election_response,
    AppendBatch: Replica._on_append_batch,
    BatchAppended: Replica._on_batch_appended,
    LeaseRequest: Replica._on_lease_request,
    LeaseGranted: Replica._on_lease_granted,
    YieldRequest: Replica._on_yield_request,
}
