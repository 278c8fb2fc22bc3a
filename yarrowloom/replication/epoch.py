"""Epochs and the witness that keeps them: one ballot per epoch number, decided by a majority of the last set."""

from collections.abc import Iterable
from typing import Annotated, Any

import msgspec

from ..common.records import Record, decode

_EPOCH_KEYS = {"number": "n", "primary": "p", "backups": "b", "witnesses": "w", "snapshot_id": "t"}


class Epoch(Record, frozen=True, kw_only=True, rename=_EPOCH_KEYS):
    """Who serves a group from one decided election to the next.

    Invariant: for each number at most one epoch is ever decided. Primary and backups are the holders: they alone have
    the group's state.

    Attributes:
        number: Rises by one with each election; 0 is the epoch that the settings give.
        primary: Node id of the member that serves.
        backups: Node ids of the members that keep a copy of the state, in the order in which they take over.
        witnesses: Node ids of the acceptors that decide the epoch after this one.
        snapshot_id: The snapshot of the state that primary and backups began with; empty in epoch 0.
    """

    number: Annotated[int, msgspec.Meta(ge=0)]
    primary: str
    backups: tuple[str, ...]
    witnesses: tuple[str, ...]
    snapshot_id: str

    @property
    def holders(self) -> tuple[str, ...]:
        """The primary and the backups."""
        return (self.primary, *self.backups)


Ballot = list[Any]  # [round, uid, incarnation], compared in this order: no two lives of a process share one


def addr_of(*, node_id: str) -> str:
    """The internal address that a uid carries.

    >>> addr_of(node_id="10.0.0.1:7000#3f")
    '10.0.0.1:7000'
    """
    return node_id.split("#", 1)[0]


def majority(*, votes: set[str], among: Iterable[str]) -> bool:
    """More than half of `among` voted.

    >>> majority(votes={"a", "b", "z"}, among=["a", "b", "c"])
    True
    >>> majority(votes={"a", "z"}, among=["a", "b", "c"])
    False
    """
    members = set(among)
    return 2 * len(votes & members) > len(members)


class Acceptor:
    """The acceptor of one group. Invariants: `seen` never goes back; `promised` and `value` belong to the number
    after `seen`; every answer is given only once what it says is on disk (the caller's duty).
    """

    def __init__(self, *, node_id: str, seen: Epoch | None = None) -> None:
        self.node_id = node_id
        self.seen = seen
        self.promised: Ballot | None = None
        self.voted: Ballot | None = None
        self.value: Epoch | None = None

    def dump(self) -> dict[str, Any]:
        """What the disk keeps."""
        return {
            "e": None if self.seen is None else self.seen.document(),
            "pb": self.promised,
            "ab": self.voted,
            "av": None if self.value is None else self.value.document(),
        }

    def load(self, document: dict[str, Any]) -> None:
        """Take what the disk kept."""
        self.seen = document["e"] and decode(document["e"], into=Epoch)
        self.promised, self.voted = document["pb"], document["ab"]
        self.value = document["av"] and decode(document["av"], into=Epoch)

    def learn(self, epoch: Epoch) -> bool:
        """Take note of a decided epoch; true if it is news."""
        if self.seen is not None and epoch.number <= self.seen.number:
            return False
        self.seen = epoch
        self.promised = self.voted = self.value = None
        return True

    def _open(self, *, n: int) -> bool:
        return self.seen is not None and n == self.seen.number + 1 and self.node_id in self.seen.witnesses

    def prepare(self, *, n: int, ballot: Ballot) -> dict[str, Any] | None:
        """Promise a ballot for number `n`; None: not mine to answer."""
        if self.seen is not None and n <= self.seen.number:
            return {"ok": False, "cur": self.seen.document()}
        if not self._open(n=n):
            return None
        if self.promised is not None and ballot < self.promised:
            return {"ok": False, "cur": None, "pb": self.promised}
        self.promised = ballot
        return {"ok": True, "ab": self.voted, "av": None if self.value is None else self.value.document()}

    def accept(self, *, n: int, ballot: Ballot, value: Epoch) -> dict[str, Any] | None:
        """Vote for a value."""
        if self.seen is not None and n <= self.seen.number:
            return {"ok": False, "cur": self.seen.document()}
        if not self._open(n=n):
            return None
        if self.promised is not None and ballot < self.promised:
            return {"ok": False, "cur": None, "pb": self.promised}
        self.promised = self.voted = ballot
        self.value = value
        return {"ok": True}
