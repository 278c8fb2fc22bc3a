"""How a journal is replayed: every event has a number within its epoch and is applied once, in order.

A batch carries the number of its first event, a snapshot that of the last event applied to it. A snapshot may hold
events whose batch is written after it: replay passes over them. A number that is missing cannot be made good.
"""

from typing import TypeVar

from ..common.errors import YarrowError
from .epoch import ProposalNumber
from .stored_records import AcceptorRecord

EventType = TypeVar("EventType")
_LOWEST = ProposalNumber(round=-1, node_id="", incarnation=0)


class ReplayError(YarrowError):
    """A journal does not tell what its node had.

    Attributes:
        number: The place of the record in the journal, from 0; -1: not known.
    """

    code = "journal-unusable"

    def __init__(self, *, text: str, number: int = -1) -> None:
        super().__init__(text=text)
        self.number = number


def unapplied(*, first: int, events: list[EventType], applied: int) -> list[EventType]:
    """Those of a batch's events that come after number `applied`.

    Raises:
        ReplayError: Events between `applied` and the batch are missing.

    >>> unapplied(first=4, events=["d", "e", "f"], applied=4)
    ['e', 'f']
    >>> unapplied(first=4, events=["d"], applied=7)
    []
    >>> unapplied(first=4, events=["d"], applied=2)
    Traceback (most recent call last):
    ...
    yarrowloom.replication.log_replay.ReplayError: event 4 follows event 2
    """
    if first > applied + 1:
        raise ReplayError(text=f"event {first} follows event {applied}")
    return events[applied + 1 - first :]


def acceptor_rank(record: AcceptorRecord) -> tuple[int, ProposalNumber, ProposalNumber]:
    """Orders the records of one acceptor: its epoch, promise and accepted number only rise.

    >>> old = AcceptorRecord(group_id=0, decided=None, promised=None, accepted_number=None, accepted_value=None)
    >>> number = ProposalNumber(round=1, node_id="a", incarnation=1)
    >>> new = AcceptorRecord(group_id=0, decided=None, promised=number, accepted_number=None, accepted_value=None)
    >>> acceptor_rank(old) < acceptor_rank(new)
    True
    """
    number = record.decided.number if record.decided is not None else -1
    return (number, record.promised or _LOWEST, record.accepted_number or _LOWEST)
