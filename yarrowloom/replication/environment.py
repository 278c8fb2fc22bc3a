"""What a replica is made of: its roles, its timing, what it asks of its node."""

import enum
from collections.abc import Sequence
from typing import Any, Protocol

import orjson

from ..common.effects import AnyEffect
from ..transport.envelope import Kind, dump
from .epoch import Epoch

# makes all minions attach anew


class Reducer(Protocol):
    """The state of a group: changes only by events."""

    def apply(self, event: dict[str, Any]) -> Any:
        """Take one event; what it returns are effects as data."""

    def dump(self) -> Any:
        """All of it as plain data."""

    def load(self, document: Any) -> None:
        """Replace all of it; `doc` is the state's own from now on."""


def encode(*, state: Reducer) -> str:
    """The whole state as JSON text. It goes into records and frames as a string, so that none of those who only
    carry it has to parse it or to write it anew.
    """
    return dump(body=state.dump()).decode()


def decode(*, text: Any) -> Any:
    """The plain data of `encode`'s text; a record of the own state holds the data itself, written only once."""
    return orjson.loads(text) if isinstance(text, str) else text


class ReplicaEnvironment(Protocol):
    """What a replica needs of its node."""

    now: float
    node_id: str
    incarnation: int  # this life's number among those with this uid

    def send(self, *, node_id: str, kind: Kind, body: dict[str, Any]) -> None:
        """To another node, or to itself."""

    def write(self, *, record: dict[str, Any], done: tuple[Any, ...]) -> None:
        """To disk; `done` comes back as an effect once synced."""

    def effect(self, *, effect: AnyEffect) -> None:
        """Carry out an effect that is now durable."""

    def partners(self, *, first: Sequence[str]) -> list[str]:
        """Members that may be a backup, best first; of equals, those in `first`."""

    def up(self, *, node_id: str) -> bool:
        """Heard of lately."""

    def other_zones(self, *, holders: Sequence[str]) -> list[str]:
        """If all of `holders` stand in one zone: live members of other zones."""

    def losses(self) -> int:
        """How many disks may be lost at once: the number of backups."""

    def witnesses(self, *, have: Sequence[str]) -> list[str]:
        """The set that should keep epochs, given the one that does."""

    def everyone(self) -> list[str]:
        """All core members known."""

    def jitter(self) -> float:
        """0 to 1."""

    def note(self, *, event: str, **fields: object) -> None:
        """Log."""

    def installed(self, *, group_id: int, epoch: Epoch) -> None:
        """A newer epoch is decided."""

    def elected(self, *, group_id: int) -> None:
        """This node now serves the group."""

    def deposed(self, *, group_id: int) -> None:
        """It no longer does."""


class Role(enum.Enum):
    """A member's part."""

    IDLE = "idle"
    BACKUP = "backup"
    LAPSED = "lapsed"  # has the state of an epoch that it must not go on with: it is to campaign for the next
    CANDIDATE = "taking"  # campaigning for the next epoch
    PRIMARY = "primary"


MOVES: dict[Role, frozenset[Role]] = {
    Role.IDLE: frozenset({Role.BACKUP, Role.LAPSED}),
    Role.BACKUP: frozenset({Role.CANDIDATE, Role.IDLE, Role.LAPSED, Role.BACKUP}),
    Role.LAPSED: frozenset({Role.CANDIDATE, Role.IDLE, Role.BACKUP, Role.LAPSED}),
    Role.CANDIDATE: frozenset({Role.PRIMARY, Role.IDLE, Role.BACKUP, Role.LAPSED, Role.CANDIDATE}),
    Role.PRIMARY: frozenset({Role.CANDIDATE, Role.IDLE, Role.BACKUP, Role.LAPSED}),
}
