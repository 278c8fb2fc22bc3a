"""The surroundings of one part of a replica: a clock that a test sets, and lists of what was sent, written and done."""

from collections.abc import Sequence

from yarrowloom.common.effects import Effect
from yarrowloom.common.records import Record
from yarrowloom.replication.epoch import Epoch
from yarrowloom.transport.message import Message


class Done(Effect, frozen=True, kw_only=True):
    """Something that waits for an event; `number` tells it from others."""

    number: int


class FakeEnvironment:
    """A node without network and disk. `members` are the other members, best first; those in `down` are silent."""

    def __init__(self, *, node_id: str = "a", members: Sequence[str] = ("b", "c", "d"), losses: int = 1) -> None:
        self.now = 100.0
        self.node_id = node_id
        self.incarnation = 1
        self.members = list(members)
        self.down: set[str] = set()
        self.losses = losses
        self.sent: list[tuple[str, Message]] = []
        self.written: list[tuple[Record, Effect]] = []
        self.effects: list[Effect] = []
        self.notes: list[str] = []

    def send_message(self, *, node_id: str, message: Message) -> None:
        self.sent.append((node_id, message))

    def write(self, *, record: Record, done: Effect) -> None:
        self.written.append((record, done))

    def effect(self, *, effect: Effect) -> None:
        self.effects.append(effect)

    def backup_candidates(self, *, preferred: Sequence[str]) -> list[str]:
        return sorted(self.members, key=lambda node_id: node_id not in preferred)

    def is_up(self, *, node_id: str) -> bool:
        return node_id not in self.down

    def other_zones(self, *, holders: Sequence[str]) -> list[str]:
        return []

    def tolerated_losses(self) -> int:
        return self.losses

    def next_witnesses(self, *, current: Sequence[str]) -> list[str]:
        return list(current)

    def core_members(self) -> list[str]:
        return [self.node_id, *self.members]

    def jitter(self) -> float:
        return 0.5

    def note(self, *, event: str, **fields: object) -> None:
        self.notes.append(event)

    def epoch_installed(self, *, group_id: int, epoch: Epoch) -> None:
        pass

    def elected(self, *, group_id: int) -> None:
        pass

    def deposed(self, *, group_id: int) -> None:
        pass


def example_epoch(*, backups: Sequence[str] = ("b",), witnesses: Sequence[str] = ("a", "b", "c")) -> Epoch:
    """Epoch 3 of primary a."""
    return Epoch(number=3, primary="a", backups=tuple(backups), witnesses=tuple(witnesses), snapshot_id="a/1")
