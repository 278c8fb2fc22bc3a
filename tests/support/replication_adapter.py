"""All that the model of replication knows of the product: members made of the real `Replica`, `Acceptor` and
`Election`, their node's surroundings, restarts from disk as `node/core.py` and `node/runtime.py` do them."""

from collections.abc import Sequence
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, cast

import orjson

from tests.support.binding_model import InvariantBrokenError
from yarrowloom.cluster_state.registry import Registry
from yarrowloom.common.effects import Effect, NoEffect
from yarrowloom.common.records import Record, decode
from yarrowloom.replication.effects import BatchSynced, SnapshotSynced
from yarrowloom.replication.environment import Reducer, ReplicaEnvironment
from yarrowloom.replication.epoch import Epoch, addr_of
from yarrowloom.replication.handover import may_end
from yarrowloom.replication.log_replay import ReplayError
from yarrowloom.replication.messages import BatchAppended
from yarrowloom.replication.replica import Replica
from yarrowloom.replication.roles import Role
from yarrowloom.replication.timing import BACKUP_TIMEOUT_S, DISK_TIMEOUT_S, LEADER_TIMEOUT_S
from yarrowloom.transport.effects import SendMessage
from yarrowloom.transport.message import Message
from yarrowloom.transport.message_kinds import LANES, Kind, Lane

if TYPE_CHECKING:
    from tests.support.replication_model import World

GROUP = 0
ALIVE_S = 1.2  # as in `node/node_base.py`
WITNESSES_MOST = 9  # as in `node/core_environment.py`
ROLES_WITH_STATE = frozenset({Role.PRIMARY, Role.BACKUP, Role.LAPSED, Role.CANDIDATE})


class EventAcknowledged(Effect, frozen=True, kw_only=True):
    """The event of this number is durable."""

    number: int


class StateRead(Effect, frozen=True, kw_only=True):
    """A read of the state is durable: it saw events of these numbers."""

    numbers: list[int]


class Book:
    """A reducer: the numbers of the events that were applied, in their order."""

    def __init__(self) -> None:
        self.numbers: list[int] = []

    def apply(self, event: dict[str, Any]) -> None:
        self.numbers.append(event["i"])

    def dump(self) -> Any:
        return list(self.numbers)

    def load(self, document: Any) -> None:
        self.numbers = list(document)


def event(*, number: int, registry: bool) -> dict[str, Any]:
    """The event with a number."""
    if not registry:
        return {"t": "n", "i": number}
    return {"t": "enrol", "uid": f"{number:04}", "info": {"site": "z", "name": "n", "ctl": "n:1"}}


def numbers_of(*, state: Reducer) -> list[int]:
    """The events that a state holds; one applied twice is there twice."""
    if isinstance(state, Registry):
        out = [int(node_id) for node_id in state.members]
        return out + out[-1:] * (state.registry_version - len(out))
    assert isinstance(state, Book)
    return state.numbers


def copy_of(document: Any) -> Any:
    return orjson.loads(orjson.dumps(document))


@dataclass(kw_only=True)
class Member:
    """One process with its disk: what `ReplicaEnvironment` asks of a node. `left` is the newest epoch that an election
    of this disk's owner was to replace; one that asked for no votes is forgotten with its process. `synced` and
    `pending` are the disk: what is to be done once they are synced waits with the records."""

    w: "World"
    index: int
    address: str
    node_id: str
    rate: float
    registry: bool
    incarnation: int = 0
    up_since: float = 0.0
    down_until: float = -1.0  # below 0: the process runs
    frozen_until: float = -1.0  # below 0: it does not stand still
    leaving_since: float = -1.0  # below 0: it is not about to end
    gone: bool = False  # replaced by a member at another address
    left: int = -1
    asked_votes: int = -1  # the newest of these for which votes were asked
    draws: int = 0
    synced: list[dict[str, Any]] = field(default_factory=list)
    pending: list[tuple[int, dict[str, Any], Effect]] = field(default_factory=list)
    last_heard: dict[str, float] = field(default_factory=dict)
    view: list[str] = field(default_factory=list)  # the node ids that it takes for members
    replica: Replica = field(init=False)

    # -- what the product asks (`ReplicaEnvironment`)

    @property
    def now(self) -> float:
        return self.w.start + (self.w.now - self.w.start) * self.rate

    def send_message(self, *, node_id: str, message: Message) -> None:
        kind, body = message.KIND, orjson.loads(message.encoded())
        self.w.check_send(member=self, kind=kind, body=body)
        self.w.send(src=self, dst=addr_of(node_id=node_id), kind=kind.name, body=body, copy=LANES[kind] is Lane.COPY)

    def write(self, *, record: Record, done: Effect) -> None:
        if isinstance(done, SendMessage) and isinstance(done.message, BatchAppended):
            self.w.check_left(member=self, n=done.message.epoch_number)
        self.pending.append((self.w.next_serial(), orjson.loads(record.encoded()), done))

    def effect(self, *, effect: Effect) -> None:
        match effect:
            case BatchSynced():
                self.replica.batch_synced(epoch_number=effect.epoch_number, last_event=effect.last_event)
            case SnapshotSynced():
                self.replica.snapshot_synced(snapshot_id=effect.snapshot_id)
            case SendMessage():
                self.send_message(node_id=effect.node_id, message=effect.message)
            case EventAcknowledged(number=number):
                self.w.acked_by(member=self, numbers=[number])
            case StateRead(numbers=numbers):
                self.w.acked_by(member=self, numbers=numbers)
            case _:
                assert effect == NoEffect(), effect

    def backup_candidates(self, *, preferred: Sequence[str]) -> list[str]:
        rows = [(not self.is_up(node_id=u), u not in preferred, u) for u in self.view if u != self.node_id]
        return [u for *_, u in sorted(rows)]

    def is_up(self, *, node_id: str) -> bool:
        return node_id == self.node_id or self.now - self.last_heard.get(node_id, -9.0) < ALIVE_S

    def other_zones(self, *, holders: Sequence[str]) -> list[str]:
        return []  # each member has a zone of its own

    def tolerated_losses(self) -> int:
        return self.w.losses

    def next_witnesses(self, *, current: Sequence[str]) -> list[str]:
        up = [u for u in current if u in self.view and self.is_up(node_id=u)]
        up += [u for u in sorted(self.view) if u not in current and self.is_up(node_id=u)]
        size = min(len(up) - 1 + len(up) % 2, WITNESSES_MOST)
        return sorted(up[:size]) if size >= max(len(current), 3) else list(current)

    def core_members(self) -> list[str]:
        return sorted({*self.view, self.node_id})

    def jitter(self) -> float:
        self.draws += 1
        return (self.draws * 0.381966 + self.index * 0.27 + self.incarnation * 0.11) % 1.0

    def note(self, *, event: str, **fields: object) -> None:
        if event == "election-started":
            self.left = max(self.left, int(str(fields["epoch"])))

    def epoch_installed(self, *, group_id: int, epoch: Epoch) -> None:
        self.w.learnt(member=self, epoch=epoch)

    def elected(self, *, group_id: int) -> None:
        for other in self.w.members:
            if other is not self and self.epoch is not None:
                self.w.send(
                    src=self, dst=other.address, kind="CLUSTER_UPDATE", body={"e": self.epoch.document()}, copy=False
                )

    def deposed(self, *, group_id: int) -> None:
        pass

    # -- what the explorer asks and does

    @property
    def environment(self) -> ReplicaEnvironment:
        return cast(ReplicaEnvironment, self)  # which sets `now`; here the explorer's time is read

    @property
    def epoch(self) -> Epoch | None:
        return self.replica.epoch

    @property
    def running(self) -> bool:
        return self.down_until < 0 and not self.gone

    @property
    def awake(self) -> bool:
        return self.running and self.frozen_until < 0

    def is_serving(self) -> bool:
        return self.running and self.replica.is_serving()

    def numbers(self) -> list[int]:
        return numbers_of(state=self.replica.state)

    def held_epoch(self) -> int:
        """The epoch whose record this member holds, as its primary or backup; below 0: none."""
        return self.replica.state_epoch if self.replica.role in ROLES_WITH_STATE else -1

    def whole_backup(self, *, n: int) -> bool:
        return self.awake and self.replica.role is Role.BACKUP and self.replica.state_epoch == n

    def begin(self, *, epoch: Epoch | None) -> None:
        """The process starts: with what its disk has, or for the first time."""
        self.replica = self.replay(records=self.synced, epoch=epoch)
        self.replica.process_resumed()
        self.synced = self.checkpoint()
        self.pending.clear()

    def replay(self, *, records: list[dict[str, Any]], epoch: Epoch | None = None) -> Replica:
        """The replica that a restart makes of records."""
        replica = Replica(
            group_id=GROUP, environment=self.environment, state=Registry() if self.registry else Book(), epoch=epoch
        )
        try:
            for record in copy_of(records):
                if record["k"] != "none":
                    replica.restore(record)
        except ReplayError as err:
            raise InvariantBrokenError(f"REPLAY {self.node_id} {err.text}") from err
        if records:
            replica.finish_restore()
        return replica

    def checkpoint(self) -> list[dict[str, Any]]:
        rows: list[dict[str, Any]] = [orjson.loads(record.encoded()) for record in self.replica.snapshot_records()]
        return rows

    def commit(self, *, number: int) -> None:
        self.replica.commit(event=event(number=number, registry=self.registry), then=EventAcknowledged(number=number))
        self.replica.flush()

    def read(self) -> None:
        self.replica.barrier(then=StateRead(numbers=list(self.numbers())))
        self.replica.flush()

    def take(self, *, node_id: str, kind: str, body: dict[str, Any]) -> None:
        """A message arrives."""
        if kind == "CLUSTER_UPDATE":
            self.replica.learn(decode(body["e"], into=Epoch))
        else:
            self.replica.on(node_id=node_id, kind=Kind[kind], body=body)
        self.replica.flush()

    def done(self, *, effects: list[Effect]) -> None:
        for effect in effects:
            self.effect(effect=effect)
        self.replica.flush()

    def tick(self) -> None:
        self.replica.tick()
        self.replica.flush()

    def thaw(self, *, slept: float) -> None:
        self.replica.process_resumed()
        for node_id, when in self.last_heard.items():
            self.last_heard[node_id] = min(when + slept, self.now)

    def leave(self) -> None:
        self.replica.begin_handover()

    def may_end(self) -> bool:
        return may_end(environment=self.environment, epoch=self.epoch, leaving_s=self.replica.handover.leaving_s())

    def deadlines(self) -> list[float]:
        """By the own clock: when something is decided by time alone."""
        replica = self.replica
        if replica.role is Role.PRIMARY:
            flight = replica.pipeline.in_flight.begun_at if replica.pipeline.in_flight is not None else 0.0
            answers = [at + BACKUP_TIMEOUT_S for at in replica.lease._answered.values()]
            return [
                replica.lease.valid_until,
                replica.lease.contact.valid_until,
                flight + DISK_TIMEOUT_S,
                flight + BACKUP_TIMEOUT_S,
                *answers,
            ]
        return (
            [replica.last_heartbeat + LEADER_TIMEOUT_S + replica._takeover_delay_s()]
            if replica.role is Role.BACKUP
            else []
        )

    def on_disk(self, *, kind: Kind, body: dict[str, Any]) -> bool:
        """Whether what an answer says is synced."""
        if kind is Kind.SNAPSHOT_STORED:
            return any(r["k"] == "ck" and r["tag"] == body["tag"] for r in self.synced) or (
                self.epoch is not None and (self.epoch.snapshot_id == body["tag"])
            )
        if kind is Kind.BATCH_APPENDED:
            rows = [r for r in self.synced if r["k"] in ("lg", "st") and r["n"] == body["n"]]
            ends = [r["applied"] if r["k"] == "st" else r["first"] + len(r["evs"]) - 1 for r in rows]
            return bool(max(ends, default=0) >= body["last"])
        last = self.witness_on_disk()
        if last is None or last["e"] is None:
            return False
        if last["e"]["n"] >= body["n"]:
            return True
        name = "ab" if kind is Kind.ACCEPTED else "pb"
        return bool(last[name] is not None and last[name] >= body["bal"])

    def witness_on_disk(self) -> dict[str, Any] | None:
        return next((r for r in reversed(self.synced) if r["k"] == "w"), None)

    def vote_on_disk(self, *, n: int) -> tuple[Any, Epoch] | None:
        """Proposal number and value that this witness voted for as epoch `n`."""
        last = self.witness_on_disk()
        if last is None or last["e"] is None or last["e"]["n"] + 1 != n or last["ab"] is None:
            return None
        return last["ab"], decode(last["av"], into=Epoch)
