"""One member's part in one group: witness always; primary or backup when the epoch says so."""

from typing import Any

from ..common.effects import AnyEffect
from ..common.records import decode
from ..transport.envelope import Kind
from .batch import Batch
from .election import Election
from .environment import MOVES, Reducer, ReplicaEnvironment, Role
from .epoch import Epoch
from .handover import Handover
from .leader_lease import LeaderLease
from .log_replay import ReplayError, unapplied
from .reconfiguration import Reconfiguration
from .replica_storage import ReplicaStorage
from .timing import DOUBT_S, RENEW_S, RESEND_S, REST_S, SILENCE_S, SUSPECT_S, TURN_S


class Replica(ReplicaStorage):
    """Invariants: `state` holds exactly the events up to number `applied` of epoch `base`, each once; no effect, answer
    or read leaves for those in `queue` and `in_flight` before they are on the disks of the primary and all backups; a
    primary serves only while its `lease` is valid; a backup that began to take over never again answers the epoch it
    leaves, also not after a restart. What a restarted member has is a beginning of its epoch's events with all that
    were confirmed: a proposal, which counts once the backups of a new epoch have copied it.
    """

    def __init__(self, *, group_id: int, environment: ReplicaEnvironment, state: Reducer, epoch: Epoch | None) -> None:
        super().__init__(group_id=group_id, node_id=environment.node_id, state=state, epoch=epoch)
        self.environment = environment
        self.role = Role.IDLE
        self.lease = LeaderLease(environment=environment, group_id=group_id)
        self.last_heartbeat = 0.0
        self.resting_until = 0.0
        self.election: Election | None = None
        self.pending_events: list[tuple[dict[str, Any] | None, AnyEffect | None]] = []
        self.in_flight: Batch | None = None
        self.next_review = 0.0
        self.resumed_at = 0.0  # when this process last stood still: silence counts from then
        self.reconfiguration = Reconfiguration()
        self.handover = Handover(member=self)
        if epoch is not None and epoch.number == 0 and environment.node_id in (epoch.primary, *epoch.backups):
            self.state_epoch = 0
            self._place()

    # -- what others ask

    @property
    def epoch(self) -> Epoch | None:
        """The newest decided epoch known."""
        return self.acceptor.decided

    @property
    def electing(self) -> bool:
        """A campaign of this member is under way."""
        return self.election is not None

    def is_serving(self) -> bool:
        """May act as the primary right now."""
        return self.role is Role.PRIMARY and self.lease.valid()

    def commit(self, *, event: dict[str, Any], then: AnyEffect | None = None) -> Any:
        """Apply an event; `then` is carried out once it is durable. Only while serving."""
        result = self._apply(event=event)
        self.pending_events.append((event, then))
        return result

    def _apply(self, *, event: dict[str, Any]) -> Any:
        """Apply the next event. A reducer that raises may have changed a part of the state: the copy is void, so this
        member neither leads nor answers until it is sent another.
        """
        try:
            result = self.state.apply(event)
        except Exception as err:
            self.environment.note(
                event="copy-void",
                group=self.group_id,
                epoch=self.state_epoch,
                number=self.last_applied + 1,
                cause=repr(err),
            )
            self.state_epoch = -1
            self._become(Role.IDLE)
            raise
        self.last_applied += 1
        return result

    def barrier(self, *, then: AnyEffect) -> None:
        """Carry out an effect once all that was applied so far is durable."""
        if self.pending_events:
            self.pending_events.append((None, then))
        elif self.in_flight is not None:
            self.in_flight.effects.append(then)
        else:
            self.environment.effect(effect=then)

    # -- roles

    def _become(self, role: Role) -> None:
        assert role in MOVES[self.role], (self.role, role)
        was, self.role = self.role, role
        if (was is Role.PRIMARY and role is not Role.CANDIDATE) or (
            was is Role.CANDIDATE and role in (Role.IDLE, Role.BACKUP, Role.LAPSED)
        ):
            self.pending_events.clear()
            self.in_flight = None
            self.election = None
            self.environment.deposed(group_id=self.group_id)

    def _place(self) -> None:
        """Take the part that the known epoch gives."""
        e = self.acceptor.decided
        assert e is not None
        mine = self.state_epoch == e.number
        if not mine and self._install_snapshot(epoch=e):
            mine = True
        self._prune(n=e.number)
        if mine and e.primary == self.environment.node_id:
            self._become(Role.LAPSED)
            self.resting_until = max(self.resting_until, self.environment.now + 0.05)
        elif mine and self.environment.node_id in e.backups:
            self._become(Role.LAPSED if self.proposed_snapshot(epoch_number=e.number + 1) else Role.BACKUP)
            self.last_heartbeat = self.environment.now
        elif self.role is not Role.IDLE:
            self._become(Role.IDLE)

    def learn(self, epoch: Epoch) -> None:
        """Take note of a decided epoch."""
        if not self.acceptor.learn(epoch):
            return
        self._save(done=("none",))
        self.environment.installed(group_id=self.group_id, epoch=epoch)
        election = self.election
        # An earlier life may have served in an epoch whose copy it proposed: this one goes on to the next.
        if (
            election is not None
            and epoch.primary == self.environment.node_id
            and epoch.snapshot_id == election.tag
            and not election.resumed
        ):
            self.state_epoch = epoch.number
            self._prune(n=epoch.number)
            election.decided(epoch=epoch)
            return
        self._place()

    def _save(self, *, done: tuple[Any, ...]) -> None:
        self.environment.write(record={"k": "w", "g": self.group_id, **self.acceptor.dump()}, done=done)

    # -- disk

    def snapshot_records(self) -> list[dict[str, Any]]:
        """Records that stand for all that is kept."""
        return self.records(whole=self.role is not Role.IDLE)

    def finish_restore(self) -> None:
        """All is replayed: take the part that the disk tells."""
        self.role = Role.IDLE
        e = self.acceptor.decided
        if e is not None and self.state_epoch == e.number and self.environment.node_id in (e.primary, *e.backups):
            own = self.proposed_snapshot(epoch_number=e.number + 1)
            if own is not None:
                self._load(epoch=e.number, record=own)  # has also what was applied and not yet on disk
            self._place()

    # -- time

    def tick(self) -> None:
        """Called a few times a second."""
        now = self.environment.now
        if self.election is not None:
            self.election.tick()
            return
        self.handover.tick()
        if self.role is Role.PRIMARY:
            self._serve()
        elif self.role is Role.BACKUP:
            if now - self.last_heartbeat > SILENCE_S + self._turn() and now >= self.resting_until:
                assert self.acceptor.decided is not None
                self.start_election(reason="silence", avoid=[self.acceptor.decided.primary])
        elif self.role is Role.LAPSED and now >= self.resting_until:
            self.start_election(reason="restart")

    def _turn(self) -> float:
        """Seconds that this backup waits for those named before it to take over."""
        e = self.acceptor.decided
        return (
            TURN_S * e.backups.index(self.environment.node_id)
            if e is not None and self.environment.node_id in e.backups
            else 0.0
        )

    def step_down(self, *, to: str = "") -> None:
        """Have a backup take over at once; `to` names the one that should."""
        e = self.acceptor.decided
        assert e is not None
        self.lease.end()
        order = [to] if to else [u for u in self.environment.partners(first=e.backups) if u in e.backups]
        for node_id in (order or e.backups)[:1]:
            self.environment.send(node_id=node_id, kind=Kind.YIELD, body={"g": self.group_id, "n": e.number})
        self._become(Role.LAPSED)
        self.resting_until = self.environment.now + REST_S

    def process_resumed(self) -> None:
        """The process stood still: silence of others, and of the own disk, proves nothing yet."""
        self.resumed_at = self.environment.now
        self.last_heartbeat = max(self.last_heartbeat, self.environment.now)
        self.resting_until = max(self.resting_until, self.environment.now + 0.3)

    def _serve(self) -> None:
        now, e = self.environment.now, self.acceptor.decided
        assert e is not None
        self.lease.watch()
        self.lease.ask(epoch=e)
        if self.in_flight is not None:
            age = now - max(self.in_flight.begun_at, self.resumed_at)
            if age > SUSPECT_S and not self.in_flight.local_durable:
                self.step_down()
                return
            if age > DOUBT_S:
                self.start_election(
                    reason="backup-slow", avoid=[u for u in e.backups if u not in self.in_flight.acknowledged_by]
                )
                return
            if len(self.in_flight.acknowledged_by) < len(e.backups) and now - self.in_flight.sent_at > RESEND_S:
                self._send_batch()
        elif self.pending_events:
            self.flush()
        silent = self.lease.silent(epoch=e, awake=self.resumed_at)
        if silent:
            self.start_election(reason="backup-silent", avoid=silent)
        elif now >= self.next_review and self.lease.in_contact():
            self.next_review = now + RENEW_S
            why = self.reconfiguration.reason(environment=self.environment, epoch=e)
            if why:
                self.start_election(reason=why)

    def _answered(self, *, node_id: str, kind: Kind, m: dict[str, Any]) -> None:
        """A backup or witness of this epoch answered a holder."""
        e = self.acceptor.decided
        if e is None or m["n"] != e.number or self.role not in (Role.PRIMARY, Role.BACKUP):
            return
        self.lease.contact.heard(node_id=node_id, sent=m["t"])
        if self.role is not Role.PRIMARY or node_id not in e.backups:
            return
        self.lease.answered(epoch=e, node_id=node_id, sent=m["t"])
        if kind is Kind.BATCH_APPENDED and self.in_flight is not None and m["last"] == self.in_flight.last:
            self.in_flight.acknowledged_by.add(node_id)
            self._landed()
        elif self.lease.better_off(answer=m):
            self.environment.note(event="yield-for-contact", group=self.group_id, to=node_id)
            self.step_down(to=node_id)

    def begin_handover(self) -> None:
        """The process is about to end: others are to take over."""
        self.handover.begin()

    def start_election(self, *, reason: str, avoid: list[str] | None = None) -> None:
        """Election to be the primary of the next epoch."""
        assert self.acceptor.decided is not None
        self.environment.note(event="campaign", group=self.group_id, why=reason, after=self.acceptor.decided.number)
        self._become(Role.CANDIDATE)
        self.election = Election(replica=self, why=reason, avoid=set(avoid or ()), first=self.acceptor.decided.backups)
        self.election.tick()

    # -- commits

    def flush(self) -> None:
        """Send the next batch, one at a time."""
        if self.in_flight is not None or not self.pending_events or not self.is_serving():
            return
        events = [event for event, _ in self.pending_events if event is not None]
        effects = [effect for _, effect in self.pending_events if effect is not None]
        self.pending_events = []
        last = self.last_applied  # what waits here is the newest of what is applied
        first = last - len(events) + 1
        e = self.acceptor.decided
        assert e is not None
        self.in_flight = Batch(first=first, last=last, events=events, effects=effects, begun_at=self.environment.now)
        self.environment.write(
            record={"k": "lg", "g": self.group_id, "n": e.number, "first": first, "evs": events},
            done=("near", self.group_id, e.number, last),
        )
        if e.backups:
            self._send_batch()

    def _send_batch(self) -> None:
        e, batch = self.acceptor.decided, self.in_flight
        assert e is not None
        assert batch is not None
        batch.sent_at = self.environment.now
        for node_id in e.backups:
            if node_id not in batch.acknowledged_by:
                self.environment.send(
                    node_id=node_id,
                    kind=Kind.APPEND_BATCH,
                    body={
                        "g": self.group_id,
                        "n": e.number,
                        "first": batch.first,
                        "evs": batch.events,
                        "t": self.environment.now,
                    },
                )

    def batch_synced(self, *, epoch_number: int, last_event: int) -> None:
        """The own disk has the batch that ends with an event."""
        if (
            self.in_flight is not None
            and self.in_flight.last == last_event
            and self.acceptor.decided
            and self.acceptor.decided.number == epoch_number
        ):
            self.in_flight.local_durable = True
            self._landed()

    def _landed(self) -> None:
        batch = self.in_flight
        e = self.acceptor.decided
        if (
            batch is None
            or e is None
            or not batch.local_durable
            or len(batch.acknowledged_by) < len(e.backups)
            or self.role is not Role.PRIMARY
        ):
            return
        self.in_flight = None
        for effect in batch.effects:
            self.environment.effect(effect=effect)
        self.flush()

    def activate(self) -> None:
        """The campaign is won and installed: all disks hold the whole state."""
        e = self.acceptor.decided
        assert e is not None
        effects = (self.in_flight.effects if self.in_flight else []) + [
            effect for _, effect in self.pending_events if effect is not None
        ]
        self.pending_events, self.in_flight, self.election = [], None, None
        self._become(Role.PRIMARY)
        self.next_review = self.environment.now + 1.0
        self.environment.elected(group_id=self.group_id)
        for effect in effects:
            self.environment.effect(effect=effect)

    # -- messages

    def on(self, *, node_id: str, kind: Kind, m: dict[str, Any]) -> None:
        """One message of this group."""
        if kind is Kind.PREPARE or kind is Kind.ACCEPT:
            self._vote(node_id=node_id, kind=kind, m=m)
        elif kind is Kind.INSTALL_EPOCH:
            self._install(node_id=node_id, m=m)
        elif kind is Kind.SNAPSHOT:
            if self.acceptor.decided is None or m["inst"] > self.acceptor.decided.number:
                record = {key: m[key] for key in ("inst", "tag", "st")}
                record.update(k="ck", g=self.group_id, applied=int(m["applied"]))
                self.store_snapshot(record=record)
                self.environment.write(
                    record=record,
                    done=("send", node_id, int(Kind.SNAPSHOT_STORED), {"g": self.group_id, "tag": m["tag"]}),
                )
        elif kind is Kind.APPEND_BATCH:
            self._log(node_id=node_id, m=m)
        elif kind is Kind.LEADER_LEASE_REQUEST:
            renews = self.role is Role.BACKUP and self.state_epoch == m["n"]
            answer = self.lease.answer(epoch=self.acceptor.decided, asker=node_id, question=m, renews=renews)
            if answer is not None and self.acceptor.decided is not None:
                if renews and node_id == self.acceptor.decided.primary:
                    self.last_heartbeat = self.environment.now
                self.environment.send(node_id=node_id, kind=Kind.LEADER_LEASE_GRANTED, body=answer)
        elif kind is Kind.YIELD:
            self.handover.asked(node_id=node_id, number=m["n"])
        elif kind is Kind.LEADER_LEASE_GRANTED or kind is Kind.BATCH_APPENDED:
            self._answered(node_id=node_id, kind=kind, m=m)
        elif self.election is not None:
            self.election.on(node_id=node_id, kind=kind, m=m)

    def _install(self, *, node_id: str, m: dict[str, Any]) -> None:
        """A decided epoch. Whom it names as backup answers only as one: the answer is a lease from when it left."""
        epoch = decode(m["e"], into=Epoch)
        self.learn(epoch)
        e = self.acceptor.decided
        if e is None or e.number != epoch.number:
            return
        if self.environment.node_id in e.backups:
            if self.role is not Role.BACKUP or self.state_epoch != e.number:
                return
            self.last_heartbeat = self.environment.now
        self._save(
            done=("send", node_id, int(Kind.EPOCH_INSTALLED), {"g": self.group_id, "n": e.number, "t": m.get("t")})
        )

    def _vote(self, *, node_id: str, kind: Kind, m: dict[str, Any]) -> None:
        if m.get("cert"):
            self.learn(decode(m["cert"], into=Epoch))
        if kind is Kind.PREPARE:
            response = self.acceptor.prepare(n=m["n"], ballot=m["bal"])
            back = Kind.PROMISE
        else:
            response = self.acceptor.accept(n=m["n"], ballot=m["bal"], value=decode(m["val"], into=Epoch))
            back = Kind.ACCEPTED
        if response is None:
            return
        body = {"g": self.group_id, "n": m["n"], "bal": m["bal"], **response}
        if response["ok"]:
            self._save(done=("send", node_id, int(back), body))
        else:
            self.environment.send(node_id=node_id, kind=back, body=body)

    def _log(self, *, node_id: str, m: dict[str, Any]) -> None:
        if self.role is not Role.BACKUP or self.state_epoch != m["n"]:
            return
        self.last_heartbeat = self.environment.now
        last = m["first"] + len(m["evs"]) - 1
        try:
            fresh = unapplied(first=m["first"], events=m["evs"], applied=self.last_applied)
        except ReplayError as err:
            self.environment.note(event="log-gap", group=self.group_id, epoch=self.state_epoch, cause=err.text)
            return
        record: dict[str, Any] = {"k": "none", "g": self.group_id}
        if fresh:
            record = {"k": "lg", "g": self.group_id, "n": m["n"], "first": self.last_applied + 1, "evs": fresh}
        try:
            for event in fresh:
                self._apply(event=event)
        except Exception:  # noted, and the copy is void; the primary replaces a backup that does not answer
            return
        self.environment.write(
            record=record,
            done=(
                "send",
                node_id,
                int(Kind.BATCH_APPENDED),
                {"g": self.group_id, "n": m["n"], "last": last, "t": m["t"]},
            ),
        )
