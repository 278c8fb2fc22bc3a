"""A closed cell of real replicas: links, disks and processes that a test moves one step at a time."""

import random
from collections.abc import Callable, Sequence
from typing import Any

import orjson

from yarrowloom.common.effects import Effect, NoEffect
from yarrowloom.common.records import Record
from yarrowloom.node.recovery import last_snapshot, records_since
from yarrowloom.replication.effects import BatchSynced, SnapshotSynced
from yarrowloom.replication.epoch import Epoch
from yarrowloom.replication.replica import Replica
from yarrowloom.replication.roles import Role
from yarrowloom.storage import SNAPSHOT_END
from yarrowloom.transport.effects import SendMessage
from yarrowloom.transport.message import Message
from yarrowloom.transport.message_kinds import Kind

Built = Callable[..., Replica]
STEP_S = 0.05


class EventConfirmed(Effect, frozen=True, kw_only=True):
    """The event of this number is durable."""

    number: int


class Rows:
    """A reducer that keeps its events in order; one that it refuses is taken half-way."""

    def __init__(self) -> None:
        self.rows: list[int] = []
        self.refused = -1

    def apply(self, event: dict[str, Any]) -> list[Any]:
        self.rows.append(event["x"])
        assert event["x"] != self.refused, "refused by the reducer"
        return []

    def dump(self) -> Any:
        return {"rows": self.rows}

    def load(self, document: Any) -> None:
        self.rows = list(document["rows"])


class Member:
    """One process and its disk. Invariant: `journal` is what the disk has, in order; `unsynced` may get lost, but for a
    prefix; an effect runs only once its record is in `journal`."""

    def __init__(self, *, cell: "Cell", node_id: str) -> None:
        self.cell = cell
        self.node_id = node_id
        self.incarnation = 1
        self.journal: list[bytes] = []
        self.unsynced: list[tuple[bytes, Effect]] = []
        self.notes: list[tuple[str, dict[str, object]]] = []
        self.state = Rows()
        self.replica: Replica

    # -- what a replica asks of its node

    @property
    def now(self) -> float:
        return self.cell.now

    def send_message(self, *, node_id: str, message: Message) -> None:
        self.cell.wire.append((self.node_id, node_id, message.KIND, message.encoded()))

    def write(self, *, record: Record, done: Effect) -> None:
        self.unsynced.append((record.encoded(), done))

    def effect(self, *, effect: Effect) -> None:
        match effect:
            case BatchSynced():
                self.replica.batch_synced(epoch_number=effect.epoch_number, last_event=effect.last_event)
            case SnapshotSynced():
                self.replica.snapshot_synced(snapshot_id=effect.snapshot_id)
            case SendMessage():
                self.send_message(node_id=effect.node_id, message=effect.message)
            case EventConfirmed(number=number):
                self.cell.confirmed.append(number)
            case _:
                assert effect == NoEffect(), effect

    def backup_candidates(self, *, preferred: Sequence[str]) -> list[str]:
        return sorted((u for u in self.cell.members if u != self.node_id), key=lambda u: (u not in preferred, u))

    def other_zones(self, *, holders: Sequence[str]) -> list[str]:
        return []

    def is_up(self, *, node_id: str) -> bool:
        return True

    def tolerated_losses(self) -> int:
        return self.cell.losses

    def next_witnesses(self, *, current: Sequence[str]) -> list[str]:
        return list(current)

    def core_members(self) -> list[str]:
        return sorted(self.cell.members)

    def jitter(self) -> float:
        return self.cell.rng.random()

    def note(self, *, event: str, **fields: object) -> None:
        self.notes.append((event, fields))

    def epoch_installed(self, *, group_id: int, epoch: Epoch) -> None:
        self.cell.decided[epoch.number] = epoch

    def elected(self, *, group_id: int) -> None:
        self.cell.elections += 1

    def deposed(self, *, group_id: int) -> None:
        pass

    # -- its disk

    def sync(self, *, count: int) -> None:
        """The next records are synced; their effects follow."""
        batch, self.unsynced = self.unsynced[:count], self.unsynced[count:]
        self.journal += [body for body, _ in batch]
        self.ran(batch=batch)

    def ran(self, *, batch: list[tuple[bytes, Effect]]) -> None:
        for _, done in batch:
            self.effect(effect=done)
        self.replica.flush()

    def snapshot(self) -> list[bytes]:
        """The head of a ring file."""
        identity = orjson.dumps({"k": "id", "uid": self.node_id})
        return [identity, *(record.encoded() for record in self.replica.snapshot_records()), SNAPSHOT_END]

    def rotate(self, *, count: int) -> None:
        """As the writer does: a snapshot of what is now, then records that waited all along."""
        self.journal += self.snapshot()
        self.sync(count=count)

    def replayed(self, *, journal: list[bytes], built: Built = Replica) -> tuple[Replica, Rows]:
        """A replica that has what a journal tells, from its last whole snapshot on."""
        begin = last_snapshot(records=journal)
        records = [orjson.loads(raw) for raw in records_since(records=journal, begin=max(begin, 0))]
        state = Rows()
        replica = built(group_id=0, environment=self, state=state, epoch=None)
        for record in records:
            if record.get("k") not in ("id", "none"):
                replica.restore(record)
        replica.finish_restore()
        return replica, state

    def restart(self, *, lost: int = 0) -> None:
        """End and start again with what the disk has, less the newest records that no sync covered."""
        journal = self.journal + [body for body, _ in self.unsynced]
        journal = journal[: len(journal) - min(lost, len(self.unsynced))]
        self.unsynced = []
        self.incarnation += 1
        self.replica, self.state = self.replayed(journal=journal, built=self.cell.built)
        self.journal = self.snapshot()


class Cell:
    """Members a, b, c ... of one group; a is the first primary, those after it are its backups."""

    def __init__(self, *, size: int = 3, losses: int = 1, seed: int = 1, built: Built = Replica) -> None:
        self.rng = random.Random(seed)
        self.now = 100.0
        self.losses = losses
        self.built = built
        self.wire: list[tuple[str, str, Kind, bytes]] = []
        self.confirmed: list[int] = []
        self.decided: dict[int, Epoch] = {}
        self.elections = 0
        node_ids = [f"{name}:1#0" for name in "abcdefg"[:size]]
        first = Epoch(
            number=0,
            primary=node_ids[0],
            backups=tuple(node_ids[1 : 1 + losses]),
            witnesses=tuple(node_ids),
            snapshot_id="",
        )
        self.members = {node_id: Member(cell=self, node_id=node_id) for node_id in node_ids}
        for member in self.members.values():
            member.replica = built(group_id=0, environment=member, state=member.state, epoch=first)
            member.journal = member.snapshot()

    def deliver(self, *, at: int = 0) -> None:
        """One message arrives."""
        _src, dst, kind, body = self.wire.pop(at)
        if dst in self.members:
            member = self.members[dst]
            member.replica.on(node_id=_src, kind=kind, body=orjson.loads(body))
            member.replica.flush()

    def settle(self, *, seconds: float, until: Callable[[], bool] = lambda: False) -> bool:
        """Time goes on, with nothing lost."""
        end = self.now + seconds
        while self.now < end and not until():
            self.now += STEP_S
            for member in self.members.values():
                member.replica.tick()
                member.replica.flush()
            while self.wire or any(m.unsynced for m in self.members.values()):
                for member in self.members.values():
                    member.sync(count=len(member.unsynced))
                while self.wire:
                    self.deliver()
        return until()

    def primary(self) -> Member:
        """Who serves; time goes on until somebody does."""
        assert self.settle(seconds=30.0, until=lambda: bool(self.serving()))
        return self.serving()[0]

    def cut(self, *, node_id: str) -> None:
        """What is on its way from or to a member is lost."""
        self.wire = [row for row in self.wire if node_id not in row[:2]]

    def serving(self) -> list[Member]:
        return [m for m in self.members.values() if m.replica.is_serving()]

    def backup(self) -> Member:
        epoch = self.primary().replica.epoch
        assert epoch is not None
        return self.members[epoch.backups[0]]

    def commit(self, *, x: int, member: Member | None = None) -> None:
        (member or self.primary()).replica.commit(event={"x": x}, then=EventConfirmed(number=x))


__all__ = ["SNAPSHOT_END", "Cell", "Member", "Role", "Rows"]
