"""The lease of a primary and its contact with the witnesses, with a clock that the test sets."""

from collections.abc import Sequence

import pytest

from tests.support.replication_environment import FakeEnvironment, example_epoch
from yarrowloom.replication.leader_lease import LeaderLease
from yarrowloom.replication.messages import LeaseGranted, LeaseRequest
from yarrowloom.replication.timing import BACKUP_TIMEOUT_S, CONTACT_WAIT_S, LEASE_S

START_S = 100.0


def leading(*, backups: Sequence[str] = ("b",)) -> tuple[FakeEnvironment, LeaderLease]:
    """A primary whose epoch was installed at all members at the start."""
    environment = FakeEnvironment()
    lease = LeaderLease(environment=environment, group_id=1)
    lease.start(epoch=example_epoch(backups=backups), installed=dict.fromkeys("abc", START_S))
    return environment, lease


def test_lease_ends_a_lease_time_after_the_request_that_was_answered() -> None:
    environment, lease = leading()
    environment.now = START_S + 1.0
    lease.on_granted(epoch=example_epoch(), node_id="b", sent_at=START_S + 0.4)
    assert lease.valid_until == START_S + 0.4 + LEASE_S


def test_lease_counts_from_the_backup_that_is_longest_silent() -> None:
    environment, lease = leading(backups=("b", "c"))
    environment.now = START_S + 1.0
    lease.on_granted(epoch=example_epoch(backups=("b", "c")), node_id="b", sent_at=START_S + 0.9)
    assert lease.valid_until == START_S + LEASE_S


def test_late_grant_of_an_earlier_request_takes_nothing_back() -> None:
    environment, lease = leading()
    environment.now = START_S + 1.0
    lease.on_granted(epoch=example_epoch(), node_id="b", sent_at=START_S + 0.8)
    lease.on_granted(epoch=example_epoch(), node_id="b", sent_at=START_S + 0.2)
    assert lease.valid_until == START_S + 0.8 + LEASE_S


def test_primary_without_contact_is_not_valid_though_its_backup_answers() -> None:
    environment, lease = leading()
    lease.contact.start(epoch=example_epoch(), node_id="a")
    environment.now = START_S + LEASE_S + 0.1
    lease.on_granted(epoch=example_epoch(), node_id="b", sent_at=environment.now)
    assert environment.now < lease.valid_until
    assert not lease.is_valid()
    lease.watch_contact()
    assert not lease.has_quorum()
    lease.contact.on_response(node_id="c", sent_at=environment.now)
    lease.watch_contact()
    assert lease.is_valid()
    assert lease.has_quorum()
    assert environment.notes == ["quorum-contact-lost", "quorum-contact-restored"]


@pytest.mark.parametrize(
    ("resumed_at", "silent"), [(0.0, ["b"]), (START_S + 0.5, [])], ids=["ran all the while", "stood still meanwhile"]
)
def test_backup_is_silent_only_if_the_process_could_have_heard_it(resumed_at: float, silent: list[str]) -> None:
    environment, lease = leading()
    environment.now = START_S + BACKUP_TIMEOUT_S + 0.01
    assert lease.silent_backups(epoch=example_epoch(), resumed_at=resumed_at) == silent


@pytest.mark.parametrize(
    ("node_id", "epoch_number", "grants_lease", "is_answered"),
    [
        ("b", 3, True, True),
        ("b", 3, False, False),
        ("c", 3, False, True),
        ("z", 3, False, False),
        ("b", 2, True, False),
    ],
    ids=["backup", "backup that stands for election", "witness", "no member", "another epoch"],
)
def test_who_answers_a_lease_request(node_id: str, epoch_number: int, grants_lease: bool, is_answered: bool) -> None:
    lease = LeaderLease(environment=FakeEnvironment(node_id=node_id), group_id=1)
    request = LeaseRequest(group_id=1, epoch_number=epoch_number, sent_at=START_S)
    answer = lease.answer(epoch=example_epoch(), asker="a", request=request, grants_lease=grants_lease)
    expected = LeaseGranted(group_id=1, epoch_number=epoch_number, sent_at=START_S)
    assert answer == (expected if is_answered else None)


def test_primary_yields_only_to_a_backup_that_has_contact_for_a_while() -> None:
    environment, lease = leading()
    environment.now = START_S + LEASE_S + 0.1
    lease.watch_contact()
    assert not lease.should_yield(backup_has_quorum=True)
    environment.now += CONTACT_WAIT_S / 2
    assert not lease.should_yield(backup_has_quorum=False)
    environment.now += CONTACT_WAIT_S
    assert not lease.should_yield(backup_has_quorum=True)
    environment.now += CONTACT_WAIT_S
    assert lease.should_yield(backup_has_quorum=True)
