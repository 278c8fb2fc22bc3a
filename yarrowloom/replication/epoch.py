"""Epochs and the witness that keeps them: one ballot per epoch number, decided by a majority of the last set."""

from typing import Any, TypedDict


class Epoch(TypedDict):
    """Who serves a group. `n` is its number, `p` the primary, `b` the backups, `w` the witnesses, `t` the tag of
    the checkpoint that primary and backups share. Invariant: for each number at most one epoch is ever decided.
    """

    n: int
    p: str
    b: list[str]
    w: list[str]
    t: str


Ballot = list[Any]  # [round, uid, incarnation], compared in this order: no two lives of a process share one


def addr_of(*, node_id: str) -> str:
    """The internal address that a uid carries.

    >>> addr_of(node_id="10.0.0.1:7000#3f")
    '10.0.0.1:7000'
    """
    return node_id.split("#", 1)[0]


def check_epoch(*, epoch: Any) -> None:
    """Raise ValueError for what is no epoch: it would be kept, and end the process once it is looked at.

    >>> check_epoch(epoch={"n": 1, "p": "a", "b": [], "w": ["a"], "t": ""})
    >>> check_epoch(epoch={"n": 1, "p": "a"})
    Traceback (most recent call last):
    ValueError: not an epoch: {'n': 1, 'p': 'a'}
    """
    good = isinstance(epoch, dict) and type(epoch.get("n")) is int and epoch["n"] >= 0
    good = good and isinstance(epoch.get("p"), str) and isinstance(epoch.get("t"), str)
    for name in ("b", "w"):
        row = epoch.get(name) if good else None
        good = good and isinstance(row, list) and all(isinstance(node_id, str) for node_id in row)
    if not good:
        raise ValueError(f"not an epoch: {epoch!r:.80}")


def majority(*, votes: set[str], among: list[str]) -> bool:
    """More than half of `among` voted.

    >>> majority(votes={"a", "b", "z"}, among=["a", "b", "c"])
    True
    >>> majority(votes={"a", "z"}, among=["a", "b", "c"])
    False
    """
    return 2 * len(votes & set(among)) > len(set(among))


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
        return {"e": self.seen, "pb": self.promised, "ab": self.voted, "av": self.value}

    def load(self, document: dict[str, Any]) -> None:
        """Take what the disk kept."""
        self.seen, self.promised = document["e"], document["pb"]
        self.voted, self.value = document["ab"], document["av"]

    def learn(self, epoch: Epoch) -> bool:
        """Take note of a decided epoch; true if it is news."""
        if self.seen is not None and epoch["n"] <= self.seen["n"]:
            return False
        self.seen = epoch
        self.promised = self.voted = self.value = None
        return True

    def _open(self, *, n: int) -> bool:
        return self.seen is not None and n == self.seen["n"] + 1 and self.node_id in self.seen["w"]

    def prepare(self, *, n: int, ballot: Ballot) -> dict[str, Any] | None:
        """Promise a ballot for number `n`; None: not mine to answer."""
        if self.seen is not None and n <= self.seen["n"]:
            return {"ok": False, "cur": self.seen}
        if not self._open(n=n):
            return None
        if self.promised is not None and ballot < self.promised:
            return {"ok": False, "cur": None, "pb": self.promised}
        self.promised = ballot
        return {"ok": True, "ab": self.voted, "av": self.value}

    def accept(self, *, n: int, ballot: Ballot, value: Epoch) -> dict[str, Any] | None:
        """Vote for a value."""
        if self.seen is not None and n <= self.seen["n"]:
            return {"ok": False, "cur": self.seen}
        if not self._open(n=n):
            return None
        if self.promised is not None and ballot < self.promised:
            return {"ok": False, "cur": None, "pb": self.promised}
        self.promised = self.voted = ballot
        self.value = value
        return {"ok": True}
