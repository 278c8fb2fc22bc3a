"""The acceptor of a witness: what it promises, accepts and refuses."""

import orjson
import pytest

from yarrowloom.replication.acceptor import Acceptor
from yarrowloom.replication.epoch import Epoch, ProposalNumber
from yarrowloom.replication.messages import AcceptRequest, PrepareRequest
from yarrowloom.replication.stored_records import AcceptorRecord, decode_stored_record

LOW = ProposalNumber(round=1, node_id="b", incarnation=1)
HIGH = ProposalNumber(round=2, node_id="a", incarnation=1)


def epoch(*, number: int) -> Epoch:
    return Epoch(number=number, primary="a", backups=("b",), witnesses=("a", "b", "c"), snapshot_id="a/1")


def prepare(number: ProposalNumber, *, epoch_number: int = 1) -> PrepareRequest:
    return PrepareRequest(group_id=0, epoch_number=epoch_number, proposal_number=number)


def accept(number: ProposalNumber, *, epoch_number: int = 1) -> AcceptRequest:
    value = epoch(number=epoch_number)
    return AcceptRequest(group_id=0, epoch_number=epoch_number, proposal_number=number, value=value)


@pytest.fixture
def acceptor() -> Acceptor:
    """A witness of epoch 0."""
    return Acceptor(node_id="c", decided=epoch(number=0))


def test_promise_tells_the_value_accepted_before(acceptor: Acceptor) -> None:
    assert acceptor.accept(accept(LOW)) is not None
    response = acceptor.prepare(prepare(HIGH))
    assert response is not None
    assert response.is_granted
    assert response.accepted_number == LOW
    assert response.accepted_value == epoch(number=1)


def test_lower_proposal_is_refused_with_the_number_promised(acceptor: Acceptor) -> None:
    acceptor.prepare(prepare(HIGH))
    for response in (acceptor.prepare(prepare(LOW)), acceptor.accept(accept(LOW))):
        assert response is not None
        assert not response.is_granted
        assert response.promised == HIGH
    assert acceptor.accepted_value is None


def test_proposal_for_a_decided_number_is_refused_with_the_decided_epoch(acceptor: Acceptor) -> None:
    acceptor.learn(epoch(number=1))
    for response in (acceptor.prepare(prepare(HIGH)), acceptor.accept(accept(HIGH))):
        assert response is not None
        assert not response.is_granted
        assert response.decided == epoch(number=1)


@pytest.mark.parametrize(
    ("node_id", "decided", "epoch_number"),
    [("z", epoch(number=0), 1), ("c", epoch(number=0), 2), ("c", None, 1)],
    ids=["no witness of the epoch before", "an epoch between is not known", "no epoch is known"],
)
def test_acceptor_without_a_say_does_not_answer(node_id: str, decided: Epoch | None, epoch_number: int) -> None:
    acceptor = Acceptor(node_id=node_id, decided=decided)
    assert acceptor.prepare(prepare(HIGH, epoch_number=epoch_number)) is None
    assert acceptor.accept(accept(HIGH, epoch_number=epoch_number)) is None
    assert acceptor.promised is None


def test_newer_epoch_ends_the_votes_for_the_one_before(acceptor: Acceptor) -> None:
    acceptor.accept(accept(LOW))
    assert acceptor.learn(epoch(number=1))
    assert (acceptor.promised, acceptor.accepted_number, acceptor.accepted_value) == (None, None, None)
    assert not acceptor.learn(epoch(number=1))


def test_restored_acceptor_refuses_what_it_refused_before(acceptor: Acceptor) -> None:
    acceptor.prepare(prepare(HIGH))
    stored = decode_stored_record(orjson.loads(acceptor.stored_record(group_id=0).encoded()))
    assert isinstance(stored, AcceptorRecord)
    again = Acceptor(node_id="c")
    again.restore(stored)
    response = again.accept(accept(LOW))
    assert response is not None
    assert not response.is_granted
