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
    """The acceptor of one group. Invariants: `decided` never goes back; `promised` and `value` belong to the number
    after `decided`; every answer is given only once what it says is on disk (the caller's duty).
    """

    def __init__(self, *, node_id: str, decided: Epoch | None = None) -> None:
        self.node_id = node_id
        self.decided = decided
        self.promised: Ballot | None = None
        self.accepted_number: Ballot | None = None
        self.accepted_value: Epoch | None = None

    def dump(self) -> dict[str, Any]:
        """What the disk keeps."""
        return {
            "e": None if self.decided is None else self.decided.document(),
            "pb": self.promised,
            "ab": self.accepted_number,
            "av": None if self.accepted_value is None else self.accepted_value.document(),
        }

    def load(self, document: dict[str, Any]) -> None:
        """Take what the disk kept."""
        self.decided = document["e"] and decode(document["e"], into=Epoch)
        self.promised, self.accepted_number = document["pb"], document["ab"]
        self.accepted_value = document["av"] and decode(document["av"], into=Epoch)

    def learn(self, epoch: Epoch) -> bool:
        """Take note of a decided epoch; true if it is news."""
        if self.decided is not None and epoch.number <= self.decided.number:
            return False
        self.decided = epoch
        self.promised = self.accepted_number = self.accepted_value = None
        return True

    def _is_open(self, *, n: int) -> bool:
        return self.decided is not None and n == self.decided.number + 1 and self.node_id in self.decided.witnesses

    def prepare(self, *, n: int, ballot: Ballot) -> dict[str, Any] | None:
        """Promise a ballot for number `n`; None: not mine to answer."""
        if self.decided is not None and n <= self.decided.number:
            return {"ok": False, "cur": self.decided.document()}
        if not self._is_open(n=n):
            return None
        if self.promised is not None and ballot < self.promised:
            return {"ok": False, "cur": None, "pb": self.promised}
        self.promised = ballot
        return {
            "ok": True,
            "ab": self.accepted_number,
            "av": None if self.accepted_value is None else self.accepted_value.document(),
        }

    def accept(self, *, n: int, ballot: Ballot, value: Epoch) -> dict[str, Any] | None:
        """Vote for a value."""
        if self.decided is not None and n <= self.decided.number:
            return {"ok": False, "cur": self.decided.document()}
        if not self._is_open(n=n):
            return None
        if self.promised is not None and ballot < self.promised:
            return {"ok": False, "cur": None, "pb": self.promised}
        self.promised = self.accepted_number = ballot
        self.accepted_value = value
        return {"ok": True}
