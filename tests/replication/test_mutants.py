"""Mutants of replication: with a guard taken out, the search finds what breaks; with it, the same way ends well."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
import pytest

from tests.support.replication_adapter import Member
from tests.support.replication_explorer import ALL, Search, calm, do, ready, replay
from tests.support.replication_model import Op, World
from yarrowloom.common.effects import Effect, NoEffect
from yarrowloom.common.records import Record
from yarrowloom.replication import election as election_module
from yarrowloom.replication import replica
from yarrowloom.replication.acceptor import Acceptor
from yarrowloom.replication.election import Election
from yarrowloom.replication.epoch import Epoch
from yarrowloom.replication.event_pipeline import EventPipeline
from yarrowloom.replication.messages import GroupMessage, PrepareResponse, decode_message
from yarrowloom.replication.replica import Replica
from yarrowloom.replication.roles import Role
from yarrowloom.replication.stored_records import AcceptorRecord, StateRecord, StoredRecord
from yarrowloom.transport.effects import SendMessage
from yarrowloom.transport.message_kinds import Kind

TWO_COMMITS = (Op(commit=True), Op(commit=True), Op(commit=True, last=True), Op(commit=False, last=True))
READ_EARLY = (Op(commit=True), Op(commit=False), Op(commit=True, last=True), Op(commit=False, last=True))
Patch = pytest.MonkeyPatch


def calm_start(*, script: tuple[Op, ...]) -> World:
    """The last member serves, the first is its backup."""
    return ready(World(size=3, losses=1, script=script, primary=2))


def election(*, script: tuple[Op, ...]) -> World:
    """The primary stands still, its backup's election has begun."""
    w = calm_start(script=script)
    do(w, ("freeze", 2, 2.0))
    while w.members[0].replica.election is None:
        do(w, calm(w))
    return w


def late_copies(*, script: tuple[Op, ...]) -> World:
    """The member that has no copy stands still, and the backup hears nothing: both holders will send it theirs."""
    w = calm_start(script=script)
    for choice in (("freeze", 1, 2.0), None, None, ("cut", 0, "in", True)):
        do(w, choice or calm(w))
    return w


def _says_at_once(p: Patch, *kinds: Kind) -> None:
    """What waits for a sync is said before it."""
    real = Member.write

    def write(self: Member, *, record: Record, done: Effect) -> None:
        if isinstance(done, SendMessage) and done.message.KIND in kinds:
            real(self, record=record, done=NoEffect())
            self.effect(effect=done)
        else:
            real(self, record=record, done=done)

    p.setattr(Member, "write", write)


def an_acceptor_forgets_its_promise_over_a_restart(p: Patch) -> None:
    def restore(self: Acceptor, record: AcceptorRecord) -> None:
        self.decided = record.decided
        self.promised = self.accepted_number = self.accepted_value = None

    p.setattr(Acceptor, "restore", restore)


def a_vote_leaves_before_it_is_synced(p: Patch) -> None:
    _says_at_once(p, Kind.PROMISE, Kind.ACCEPTED)


def a_backup_acknowledges_before_its_write_is_synced(p: Patch) -> None:
    _says_at_once(p, Kind.BATCH_APPENDED)


def a_copy_is_confirmed_before_it_is_synced(p: Patch) -> None:
    _says_at_once(p, Kind.SNAPSHOT_STORED)


def a_backup_answers_the_old_epoch_after_its_election_began(p: Patch) -> None:
    real = Replica.on

    def on(self: Replica, *, node_id: str, kind: Kind, body: dict[str, Any]) -> None:
        if kind is Kind.LEADER_LEASE_REQUEST and self.role is Role.CANDIDATE and self.state_epoch == body["n"]:
            granted = decode_message(kind=Kind.LEADER_LEASE_GRANTED, body=body)
            self.environment.send_message(node_id=node_id, message=granted)
        real(self, node_id=node_id, kind=kind, body=body)

    p.setattr(Replica, "on", on)


def a_primary_ignores_the_end_of_its_lease(p: Patch) -> None:
    p.setattr(Replica, "is_serving", lambda self: self.role is Role.PRIMARY)


def a_backup_is_less_patient_than_the_lease_is_long(p: Patch) -> None:
    p.setattr(replica, "LEADER_TIMEOUT_S", 0.7)


def a_majority_is_counted_of_the_wrong_set(p: Patch) -> None:
    p.setattr(election_module, "majority", lambda votes, among: bool(votes & set(among[:2])))


def an_election_replaces_a_value_that_was_accepted(p: Patch) -> None:
    real = Election.on_response

    def on_response(self: Election, *, node_id: str, message: GroupMessage) -> None:
        if isinstance(message, PrepareResponse):
            message = msgspec.structs.replace(message, accepted_number=None)
        real(self, node_id=node_id, message=message)

    p.setattr(Election, "on_response", on_response)


def a_copy_is_installed_whatever_its_tag(p: Patch) -> None:
    real = Replica._install_snapshot

    def unpack(self: Replica, *, epoch: Epoch) -> bool:
        rows = [tag for tag, record in self.pending_snapshots.items() if record.epoch_number == epoch.number]
        named = msgspec.structs.replace(epoch, snapshot_id=rows[-1]) if rows else epoch
        return real(self, epoch=named)

    p.setattr(Replica, "_install_snapshot", unpack)


def a_backup_never_takes_over(p: Patch) -> None:
    real = Replica.tick

    def tick(self: Replica) -> None:
        if self.role is not Role.BACKUP:
            real(self)

    p.setattr(Replica, "tick", tick)


def a_read_does_not_wait_for_what_it_saw(p: Patch) -> None:
    p.setattr(Replica, "barrier", lambda self, then: self.environment.effect(effect=then))


def effects_do_not_wait_for_the_backup(p: Patch) -> None:
    real = EventPipeline.send_batch

    def send_batch(self: EventPipeline, *, epoch: Epoch) -> None:
        real(self, epoch=epoch)
        assert self.in_flight is not None
        self.in_flight.acknowledged_by.update(epoch.backups)

    p.setattr(EventPipeline, "send_batch", send_batch)


def a_repeated_batch_is_applied_again(p: Patch) -> None:
    p.setattr(replica, "unapplied", lambda first, events, applied: events)


def a_snapshot_names_the_last_event_sent_instead_of_the_last_applied(p: Patch) -> None:
    real = Replica.snapshot_records

    def snapshot_records(self: Replica) -> list[StoredRecord]:
        waiting = sum(1 for pending in self.pipeline.pending_events if pending.event is not None)
        applied = self.last_applied - waiting
        return [
            msgspec.structs.replace(record, last_applied=applied) if isinstance(record, StateRecord) else record
            for record in real(self)
        ]

    p.setattr(Replica, "snapshot_records", snapshot_records)


def a_restarted_backup_forgets_the_election_it_began(p: Patch) -> None:
    p.setattr(Replica, "proposed_snapshot", lambda self, epoch_number: None)


def a_witness_that_lost_its_disk_votes(p: Patch) -> None:
    def is_open(self: Acceptor, *, epoch_number: int) -> bool:
        return self.decided is not None and epoch_number == self.decided.number + 1

    p.setattr(Acceptor, "_is_open", is_open)


@dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """The rule that breaks, and where the search looks for it."""

    rule: str
    faults: int = 0
    swaps: int = 0
    window: int = 20
    kinds: frozenset[str] = ALL
    script: tuple[Op, ...] = TWO_COMMITS
    start: Callable[..., World] = calm_start


MUTANTS: dict[Any, Case] = {
    an_acceptor_forgets_its_promise_over_a_restart: Case(
        rule="EPOCH", faults=2, window=30, kinds=frozenset({"power"}), start=election
    ),
    a_vote_leaves_before_it_is_synced: Case(rule="UNSYNCED", faults=1),
    a_backup_acknowledges_before_its_write_is_synced: Case(rule="UNSYNCED"),
    a_copy_is_confirmed_before_it_is_synced: Case(rule="UNSYNCED", faults=1),
    a_backup_answers_the_old_epoch_after_its_election_began: Case(
        rule="LEFT", faults=1, window=30, kinds=frozenset({"freeze", "cut"})
    ),
    a_primary_ignores_the_end_of_its_lease: Case(rule="SERVING", faults=1, kinds=frozenset({"freeze"})),
    a_backup_is_less_patient_than_the_lease_is_long: Case(rule="SERVING", faults=1, kinds=frozenset({"cut"})),
    a_majority_is_counted_of_the_wrong_set: Case(
        rule="EPOCH", swaps=1, window=30, kinds=frozenset({"deliver"}), start=election
    ),
    an_election_replaces_a_value_that_was_accepted: Case(
        rule="EPOCH", faults=1, window=30, kinds=frozenset({"power"}), start=election
    ),
    a_copy_is_installed_whatever_its_tag: Case(
        rule="LOST", swaps=1, window=35, kinds=frozenset({"tick"}), start=late_copies
    ),
    a_backup_never_takes_over: Case(rule="STUCK", faults=1, kinds=frozenset({"disk"})),
    a_read_does_not_wait_for_what_it_saw: Case(rule="LOST", faults=1, script=READ_EARLY),
    effects_do_not_wait_for_the_backup: Case(rule="LOST"),
    a_repeated_batch_is_applied_again: Case(rule="ORDER", faults=1, kinds=frozenset({"repeat"})),
    a_snapshot_names_the_last_event_sent_instead_of_the_last_applied: Case(
        rule="ORDER", swaps=1, faults=1, window=24, kinds=frozenset({"rotate", "kill"})
    ),
    a_restarted_backup_forgets_the_election_it_began: Case(
        rule="LEFT", faults=1, window=30, kinds=frozenset({"kill"}), start=election
    ),
    a_witness_that_lost_its_disk_votes: Case(rule="ABSTAIN", faults=2, window=30, kinds=frozenset({"disk", "kill"})),
}


@pytest.mark.parametrize("out", MUTANTS, ids=lambda fn: fn.__name__)
def test_search_finds_what_breaks_without_a_guard(out: Any, monkeypatch: Patch) -> None:
    case = MUTANTS[out]
    start = case.start(script=case.script)
    out(monkeypatch)
    search = Search(swaps=case.swaps, faults=case.faults, window=case.window, kinds=case.kinds, most_steps=30_000)
    found = search.run(start)
    print(out.__name__, found.states, found.steps, found.ways, found.broken)
    ((why, trail),) = found.broken
    assert why.startswith(f"InvariantBrokenError {case.rule}")
    monkeypatch.undo()
    replay(case.start(script=case.script), trail)  # with the guard, the same way ends well
