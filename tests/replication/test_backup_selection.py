"""Which members a candidate sends its snapshot to, and with which it makes do."""

from collections.abc import Sequence

import pytest

from tests.support.replication_environment import FakeEnvironment, example_epoch
from yarrowloom.replication.backup_selection import (
    ENOUGH_S,
    START_OVER_S,
    STARTUP_WAIT_S,
    BackupSelection,
    Outcome,
)

EPOCH = example_epoch()


def selection(environment: FakeEnvironment, *, avoid: Sequence[str] = (), shortages: int = 0) -> BackupSelection:
    return BackupSelection(environment=environment, avoid=avoid, preferred=["c"], shortages=shortages)


def attempt(backups: BackupSelection, *, is_new: bool) -> Outcome:
    """One attempt, which nobody answers unless the test says so."""
    outcome = backups.select(epoch=EPOCH)
    if outcome is Outcome.PROCEED:
        backups.begin_attempt(is_new_snapshot=is_new)
    return outcome


@pytest.mark.parametrize(
    ("losses", "avoid", "recipients"),
    [(1, [], ["c"]), (2, [], ["c", "b"]), (1, ["c"], ["b"]), (2, ["c"], ["b", "d"])],
)
def test_preferred_live_members_are_asked_first(losses: int, avoid: list[str], recipients: list[str]) -> None:
    backups = selection(FakeEnvironment(losses=losses), avoid=avoid)
    assert attempt(backups, is_new=True) is Outcome.PROCEED
    assert backups.recipients == recipients
    assert backups.wanted == losses


def test_members_that_may_be_starting_are_waited_for() -> None:
    environment = FakeEnvironment(losses=2)
    environment.down = {"b", "d"}
    backups = selection(environment)
    assert attempt(backups, is_new=True) is Outcome.WAIT
    environment.now += STARTUP_WAIT_S
    assert attempt(backups, is_new=True) is Outcome.PROCEED
    assert backups.recipients == ["c"]
    assert backups.wanted == 1


def test_next_member_is_asked_after_one_has_not_answered_and_a_late_answer_counts() -> None:
    backups = selection(FakeEnvironment())
    attempt(backups, is_new=True)
    backups.attempt_failed()
    attempt(backups, is_new=False)
    assert backups.recipients == ["b"]
    backups.on_stored(node_id="c")
    assert backups.usable() == ["c"]


def test_each_attempt_waits_longer() -> None:
    backups = selection(FakeEnvironment())
    waits = []
    for number in range(3):
        attempt(backups, is_new=number == 0)
        waits.append(backups.timeout_s)
        backups.attempt_failed()
    assert waits == [0.75, 1.5, 3.0]


@pytest.mark.parametrize(("shortages", "has_given_up"), [(0, True), (1, False)])
def test_epoch_makes_do_with_fewer_backups_after_a_time_that_grows(shortages: int, has_given_up: bool) -> None:
    environment = FakeEnvironment(losses=2)
    backups = selection(environment, shortages=shortages)
    attempt(backups, is_new=True)
    backups.on_stored(node_id="c")
    backups.attempt_failed()
    environment.now += ENOUGH_S + 0.1
    attempt(backups, is_new=False)
    assert backups.has_given_up_on_members == has_given_up
    assert backups.wanted == (1 if has_given_up else 2)


def test_all_members_are_asked_anew_if_none_has_answered_for_long() -> None:
    environment = FakeEnvironment(members=["b"])
    backups = selection(environment)
    attempt(backups, is_new=True)
    backups.attempt_failed()
    assert attempt(backups, is_new=False) is Outcome.PROCEED
    assert backups.recipients == []
    environment.now += START_OVER_S + 0.1
    assert attempt(backups, is_new=False) is Outcome.START_OVER
    assert attempt(backups, is_new=False) is Outcome.PROCEED
    assert backups.recipients == ["b"]


@pytest.mark.parametrize(("witnesses", "outcome"), [(("a",), Outcome.PROCEED), (("a", "b", "c"), Outcome.START_OVER)])
def test_member_without_peers_goes_on_alone_only_if_it_is_the_only_witness(
    witnesses: tuple[str, ...], outcome: Outcome
) -> None:
    backups = selection(FakeEnvironment(members=[]))
    assert backups.select(epoch=example_epoch(backups=(), witnesses=witnesses)) is outcome


def test_member_to_avoid_is_no_backup_though_it_has_stored_the_snapshot() -> None:
    backups = selection(FakeEnvironment(), avoid=["d"])
    backups.on_stored(node_id="d")
    backups.on_stored(node_id="b")
    backups.on_stored(node_id="b")
    assert backups.stored_by == ["d", "b"]
    assert backups.usable() == ["b"]


def test_a_member_that_started_anew_is_sent_the_snapshot_again_and_counts_as_untried() -> None:
    backups = selection(FakeEnvironment(members=["b"]))
    attempt(backups, is_new=True)
    assert backups.on_restarted(address="d") == []
    assert backups.on_restarted(address="b") == ["b"]
    backups.attempt_failed()
    assert backups.on_restarted(address="b") == ["b"]
    attempt(backups, is_new=False)
    assert backups.recipients == ["b"]
    backups.on_stored(node_id="b")
    assert backups.on_restarted(address="b") == []
