"""How a journal is replayed: every event has a number within its epoch and is applied once, in order.

A batch carries the number of its first event, a snapshot that of the last event applied to it. A snapshot may hold
events whose batch is written after it: replay passes over them. A number that is missing cannot be made good.
"""

from typing import Any

from ..common.errors import YarrowError


class ReplayError(YarrowError):
    """A journal does not tell what its node had. `number` is the place of the record in it, from 0; -1: not known."""

    code = "journal-unusable"

    def __init__(self, *, text: str, number: int = -1) -> None:
        super().__init__(text=text)
        self.number = number


def unapplied(*, first: int, events: list[Any], applied: int) -> list[Any]:
    """Those of a batch's events that come after number `applied`.

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


def witness_rank(*, document: dict[str, Any]) -> tuple[int, list[Any], list[Any]]:
    """Orders the records of one witness: its epoch, promise and vote only rise.

    >>> old = {"e": None, "pb": None, "ab": None, "av": None}
    >>> witness_rank(document=old) < witness_rank(document={**old, "pb": [1, "a"]})
    True
    """
    seen = document["e"]
    return (seen["n"] if seen is not None else -1, document["pb"] or [], document["ab"] or [])
