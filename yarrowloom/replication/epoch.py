"""Epochs of a group, and the proposal numbers by which the next one is agreed on."""

from collections.abc import Iterable
from typing import Annotated, NamedTuple

import msgspec

from ..common.records import Record

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


class ProposalNumber(NamedTuple):
    """A proposer's number in the sense of Paxos; encoded as a list, compared field by field.

    No two lives of a process share a number, as each life has an incarnation of its own.

    Attributes:
        round: Rises with each attempt of a proposer.
        node_id: The proposer.
        incarnation: The proposer's life.
    """

    round: int
    node_id: str
    incarnation: int


def addr_of(*, node_id: str) -> str:
    """The internal address that a node id carries.

    >>> addr_of(node_id="10.0.0.1:7000#3f")
    '10.0.0.1:7000'
    """
    return node_id.split("#", 1)[0]


def majority(*, votes: set[str], among: Iterable[str]) -> bool:
    """Whether more than half of `among` voted.

    >>> majority(votes={"a", "b", "z"}, among=["a", "b", "c"])
    True
    >>> majority(votes={"a", "z"}, among=["a", "b", "c"])
    False
    """
    members = set(among)
    return 2 * len(votes & members) > len(members)
