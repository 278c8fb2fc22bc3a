"""What a replica needs of its node, and of the state that it replicates."""

from collections.abc import Sequence
from typing import Any, Protocol

import orjson

from ..common.effects import Effect
from ..common.records import Record
from ..transport.envelope import dump
from ..transport.message import Message
from .epoch import Epoch


class Reducer(Protocol):
    """The state of a group. It changes only by events, and equal events in equal order give equal states."""

    def apply(self, event: Any) -> Sequence[Effect] | None:
        """Take one event, as the log holds it or as a record of the reducer's own.

        The effects are handed to the caller of `Replica.commit`, and of no use at a backup.
        """

    def dump(self) -> object:
        """All of it as plain data."""

    def load(self, document: Any) -> None:
        """Replace all of it; `document` is the state's own from now on."""


def encode_state(*, state: Reducer) -> str:
    """The whole state as JSON text.

    Records and messages carry it as a string, so that those who only pass it on need not parse or encode it again.
    """
    return dump(body=state.dump()).decode()


def decode_state(*, encoded: object) -> object:
    """The plain data of a stored state: of `encode_state`'s text, or the data itself as in a `StateRecord`."""
    return orjson.loads(encoded) if isinstance(encoded, str) else encoded


class ReplicaEnvironment(Protocol):
    """What a replica needs of its node.

    Attributes:
        now: Seconds of the node's steady clock.
        node_id: The node.
        incarnation: The number of this life of the process among those with this node id.
    """

    now: float
    node_id: str
    incarnation: int

    def send_message(self, *, node_id: str, message: Message) -> None:
        """Send to another node, or to this one."""

    def write(self, *, record: Record, done: Effect) -> None:
        """Write to disk; `done` comes back as an effect once it is synced."""

    def effect(self, *, effect: Effect) -> None:
        """Carry out an effect that is now durable."""

    def backup_candidates(self, *, preferred: Sequence[str]) -> list[str]:
        """Members that may be a backup, best first; of equals, those in `first`."""

    def is_up(self, *, node_id: str) -> bool:
        """Whether a member was heard of lately."""

    def other_zones(self, *, holders: Sequence[str]) -> list[str]:
        """If all of `holders` stand in one zone: live members of other zones."""

    def tolerated_losses(self) -> int:
        """How many disks may be lost at once: the number of backups."""

    def next_witnesses(self, *, current: Sequence[str]) -> list[str]:
        """The witnesses that a next epoch should have, given those of this one."""

    def core_members(self) -> list[str]:
        """All core members known."""

    def jitter(self) -> float:
        """A random number from 0 to 1."""

    def note(self, *, event: str, **fields: object) -> None:
        """Log an event."""

    def epoch_installed(self, *, group_id: int, epoch: Epoch) -> None:
        """A newer epoch is decided."""

    def elected(self, *, group_id: int) -> None:
        """This node now serves the group."""

    def deposed(self, *, group_id: int) -> None:
        """This node no longer serves the group."""
