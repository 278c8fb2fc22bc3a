"""A small closed world for model checking of replication: real replicas on disks, links and clocks that the explorer
controls. All of it is data, so that a state is a pickle; `replication_explorer.py` says what may happen next."""

from dataclasses import dataclass
from itertools import pairwise
from typing import Any

from tests.support.binding_model import require
from tests.support.replication_adapter import Member, copy_of
from yarrowloom.common.records import decode
from yarrowloom.replication.epoch import Epoch, majority
from yarrowloom.transport.envelope import dump
from yarrowloom.transport.message_kinds import Kind

START_S = 1000.0
ANSWERS = (Kind.PROMISE, Kind.ACCEPTED, Kind.SNAPSHOT_STORED, Kind.BATCH_APPENDED)


@dataclass(frozen=True, slots=True, kw_only=True)
class Line:
    """What one process sends to an address in one lane arrives in order."""

    src: str
    incarnation: int
    dst: str
    copy: bool


@dataclass(slots=True, kw_only=True)
class Message:
    serial: int
    node_id: str
    kind: str
    body: dict[str, Any]


@dataclass(slots=True, kw_only=True)
class Cut:
    """A way that carries nothing until a time: what is sent is lost, or waits."""

    until: float
    loses: bool


@dataclass(frozen=True, slots=True, kw_only=True)
class Op:
    """A client's call: a commit or a read, at a time after the start; `last` ones wait until no fault
    comes any more and the cluster is whole."""

    commit: bool
    at: float = 0.0
    last: bool = False


class World:
    """Members, links and the clients' script. Invariants are asked in `judge` and where members speak or learn."""

    def __init__(
        self,
        *,
        size: int,
        losses: int,
        script: tuple[Op, ...],
        rates: tuple[float, ...] = (),
        registry: bool = False,
        primary: int = 0,
        unasked: frozenset[str] = frozenset(),
    ) -> None:
        self.start = self.now = START_S
        self.losses = losses
        self.unasked = unasked  # rules that are known to break
        self.script = script
        self.next_op = 0
        self.closing = False  # no swap or fault comes any more
        self.began = float("inf")  # when the script's times count from
        self.serial = 0
        self.count = 0  # events handed in
        self.acked: dict[int, int] = {}  # event: the epoch in which it was acknowledged or read
        self.last_acks: set[int] = set()  # events of the last commits: these must be acknowledged
        self.lost_disks: set[str] = set()  # node ids whose disk is gone, until the cluster is whole again
        self.votes: dict[tuple[int, str, str], set[str]] = {}  # epoch number, proposal number, value: who voted
        self.decided: dict[int, Epoch] = {}
        self.proposals: dict[tuple[int, str], Epoch] = {}
        self.lines: dict[Line, list[Message]] = {}
        self.cuts: dict[tuple[str, str], Cut] = {}
        self.members: list[Member] = []
        addresses = [f"10.0.0.{i + 1}:7000" for i in range(size)]
        node_ids = [f"{a}#0" for a in addresses]
        order = node_ids[primary:] + node_ids[:primary]
        first = Epoch(
            number=0,
            primary=order[0],
            backups=tuple(order[1 : losses + 1]),
            witnesses=tuple(node_ids[: size - 1 + size % 2]),
            snapshot_id="",
        )
        self.decided[0] = first
        for i, (address, node_id) in enumerate(zip(addresses, node_ids, strict=True)):
            member = Member(
                w=self,
                index=i,
                address=address,
                node_id=node_id,
                rate=rates[i] if rates else 1.0,
                registry=registry,
                view=list(node_ids),
            )
            member.last_heard = dict.fromkeys(node_ids, START_S)
            member.begin(epoch=first)
            self.members.append(member)

    # -- messages

    def next_serial(self) -> int:
        self.serial += 1
        return self.serial

    def send(self, *, src: Member, dst: str, kind: str, body: dict[str, Any], copy: bool) -> None:
        cut = self.cuts.get((src.address, dst))
        there = self.at(address=dst)
        if there is None or not there.running or (cut is not None and cut.loses):
            return
        line = Line(src=src.address, incarnation=src.incarnation, dst=dst, copy=copy)
        self.lines.setdefault(line, []).append(
            Message(serial=self.next_serial(), node_id=src.node_id, kind=kind, body=copy_of(body))
        )

    def at(self, *, address: str) -> Member | None:
        return next((m for m in self.members if m.address == address and not m.gone), None)

    def open(self, *, line: Line) -> bool:
        """Whether its next message may arrive now."""
        there = self.at(address=line.dst)
        return there is not None and there.awake and (line.src, line.dst) not in self.cuts

    def deliver(self, *, line: Line, keep: bool = False) -> None:
        """The next message arrives; `keep`: it will come again."""
        message = self.lines[line][0]
        if not keep:
            self.drop(line=line)
        there = self.at(address=line.dst)
        assert there is not None
        for old in [
            x for x in self.lines if (x.src, x.dst) == (line.src, line.dst) and x.incarnation < line.incarnation
        ]:
            del self.lines[old]  # as `transport/peer_connections.py`: nothing of an earlier process counts any more
        there.take(node_id=message.node_id, kind=message.kind, body=copy_of(message.body))

    def drop(self, *, line: Line) -> None:
        self.lines[line].pop(0)
        if not self.lines[line]:
            del self.lines[line]

    # -- disks and processes

    def sync(self, *, member: Member, count: int) -> None:
        """The oldest records reach the disk, and what waited for them follows."""
        rows, member.pending = member.pending[:count], member.pending[count:]
        member.synced += [record for _, record, _ in rows]
        member.done(effects=[done for *_, done in rows])

    def rotate(self, *, member: Member) -> None:
        """The journal moves on: a checkpoint stands for all that was, the records that waited follow it."""
        member.synced = member.checkpoint()
        self.sync(member=member, count=len(member.pending))

    def crash(self, *, member: Member, kept: int, down_s: float) -> None:
        """The process ends. Of what was not synced `kept` records are there."""
        member.synced += [record for _, record, _ in member.pending[:kept]]
        member.pending.clear()
        member.down_until = self.now + down_s
        member.frozen_until = member.leaving_since = -1.0
        self.lines = {line: rows for line, rows in self.lines.items() if line.dst != member.address}
        self.check_replay(member=member)

    def restart(self, *, member: Member) -> None:
        member.incarnation += 1
        member.left = member.asked_votes
        member.down_until = -1.0
        member.last_heard = {}
        member.draws = 0
        member.begin(epoch=None)

    def lose_disk(self, *, member: Member, new_addr: bool) -> None:
        """Process and disk are lost; an empty member comes, there or at another address."""
        self.lost_disks.add(member.node_id)
        self.crash(member=member, kept=0, down_s=0.5)
        if new_addr:
            member.gone = True
            fresh = Member(
                w=self,
                index=len(self.members),
                address=f"10.0.0.{len(self.members) + 1}:7000",
                node_id="",
                rate=member.rate,
                registry=member.registry,
                down_until=member.down_until,
            )
            self.members.append(fresh)
            member = fresh
        member.synced = []
        member.left = member.asked_votes = -1
        member.node_id = f"{member.address}#{member.incarnation + 1}"
        member.begin(epoch=None)
        member.synced = []

    def current(self) -> list[str]:
        return [m.node_id for m in self.members if not m.gone]

    def tick_member(self, member: Member) -> None:
        """Time goes on for one process; heartbeats and the epochs that they carry are simplified."""
        for other in self.members:
            if other is not member and other.awake and (other.address, member.address) not in self.cuts:
                member.last_heard[other.node_id] = member.now
                member.view = self.current()
        member.tick()
        mine = member.epoch
        for other in self.members:
            if mine is None or other is member or not other.awake:
                continue
            line = Line(src=member.address, incarnation=member.incarnation, dst=other.address, copy=False)
            waits = any(m.kind == "CLUSTER_UPDATE" for m in self.lines.get(line, []))
            if (other.epoch is None or other.epoch.number < mine.number) and not waits:
                self.send(src=member, dst=other.address, kind="CLUSTER_UPDATE", body={"e": mine.document()}, copy=False)

    # -- clients

    def server(self) -> Member | None:
        return next((m for m in self.members if m.awake and m.is_serving()), None)

    def op_due(self) -> bool:
        if self.next_op >= len(self.script) or self.server() is None:
            return False
        op = self.script[self.next_op]
        return self.closing and self.whole() if op.last else self.now >= self.began + op.at

    def start_script(self) -> None:
        self.began = self.now

    def do_op(self) -> None:
        member, op = self.server(), self.script[self.next_op]
        assert member is not None
        self.next_op += 1
        if op.commit:
            self.count += 1
            if op.last:
                self.last_acks.add(self.count)
            member.commit(number=self.count)
        else:
            require(
                set(self.acked) <= set(member.numbers()),
                "STALE",
                member.node_id,
                "reads",
                member.numbers(),
                "acknowledged were",
                sorted(self.acked),
            )
            member.read()

    def acked_by(self, *, member: Member, numbers: list[int]) -> None:
        """An acknowledgement or an answer with these events leaves."""
        for number in numbers:
            self.acked.setdefault(number, member.replica.state_epoch)

    # -- invariants

    def check_send(self, *, member: Member, kind: Kind, body: dict[str, Any]) -> None:
        """What a member says must be on its disk, and must not belong to an epoch that it has begun to replace."""
        if kind in ANSWERS and body.get("ok", True):
            require(member.on_disk(kind=kind, body=body), "UNSYNCED", member.node_id, kind.name, body)
        if kind is Kind.PREPARE:
            member.asked_votes = max(member.asked_votes, body["n"] - 1)
        if kind is Kind.LEADER_LEASE_GRANTED:
            self.check_left(member=member, n=body["n"])
        if (kind is Kind.PROMISE and body["ok"]) or (kind is Kind.ACCEPTED and body["ok"]):
            before = self.decided[body["n"] - 1]
            require(member.node_id in before.witnesses, "ABSTAIN", member.node_id, "is no witness of", before)
        if kind is Kind.ACCEPT and "PROPOSAL" not in self.unasked:
            known = self.proposals.setdefault((body["n"], str(body["bal"])), decode(body["val"], into=Epoch))
            require(
                known == decode(body["val"], into=Epoch),
                "PROPOSAL",
                "two values by one proposal number",
                known,
                body["val"],
            )
        if kind is Kind.ACCEPTED and body["ok"]:
            vote = member.vote_on_disk(n=body["n"])
            if vote is not None and vote[0] == body["bal"]:
                self.vote(node_id=member.node_id, n=body["n"], proposal_number=str(body["bal"]), value=vote[1])

    def check_left(self, *, member: Member, n: int) -> None:
        """Asked when a lease is renewed, and when a batch is taken: one that was taken before the election is in the
        copy that the member proposes, so its acknowledgement may leave later."""
        if member.node_id in self.decided[n].backups:
            require(
                n > member.left, "LEFT", member.node_id, "acknowledges epoch", n, "after its election to replace it"
            )

    def vote(self, *, node_id: str, n: int, proposal_number: str, value: Epoch) -> None:
        """A vote is on disk: a majority of them for one value by one proposal number decides."""
        votes = self.votes.setdefault((n, proposal_number, dump(body=value).decode()), set())
        votes.add(node_id)
        if majority(votes=votes, among=self.decided[n - 1].witnesses):
            require(self.decided.setdefault(n, value) == value, "EPOCH", n, "was", self.decided[n], "and is", value)

    def learnt(self, *, member: Member, epoch: Epoch) -> None:
        require(
            self.decided.get(epoch.number) == epoch,
            "EPOCH",
            member.node_id,
            "takes",
            epoch,
            "decided is",
            self.decided.get(epoch.number),
        )

    def check_replay(self, *, member: Member) -> None:
        """What a restart would make of the disk."""
        if member.synced:
            replica = member.replay(records=member.synced)
            now, member.replica = member.replica, replica
            self.check_state(member=member)
            member.replica = now
            member.pending.clear()

    def check_state(self, *, member: Member) -> None:
        numbers, n = member.numbers(), member.held_epoch()
        require(all(a < b for a, b in pairwise(numbers)), "ORDER", member.node_id, "holds", numbers)
        missing = [i for i, at in self.acked.items() if at <= n and i not in numbers]
        require(not missing, "LOST", missing, "are acknowledged;", member.node_id, "in epoch", n, "holds", numbers)

    def judge(self) -> None:
        """The invariants of every state."""
        for member in self.members:
            if member.running:
                self.check_state(member=member)
        serving = [m.node_id for m in self.members if m.is_serving()]
        require(len(serving) <= 1, "SERVING", *serving)
        if serving:
            member = next(m for m in self.members if m.node_id == serving[0])
            missing = set(self.acked) - set(member.numbers())
            require(not missing, "LOST", missing, "are acknowledged; serving is", serving[0], member.numbers())
        if self.lost_disks and self.whole():
            self.lost_disks.clear()

    def whole(self) -> bool:
        """Some member serves, with a full set of backups and of witnesses, and no trouble is left."""
        server = self.server()
        if server is None or self.cuts or any(not m.awake or m.leaving_since >= 0 for m in self.members if not m.gone):
            return False
        epoch = server.epoch
        assert epoch is not None
        by_node_id = {m.node_id: m for m in self.members if not m.gone}
        return (
            len(epoch.backups) >= self.losses
            and set(epoch.witnesses) <= set(by_node_id)
            and all(u in by_node_id and by_node_id[u].whole_backup(n=epoch.number) for u in epoch.backups)
        )

    def settled(self) -> bool:
        return self.next_op >= len(self.script) and self.whole() and not self.unsettled()

    def unsettled(self) -> list[str]:
        """What is still to come."""
        out = [f"{len(self.script) - self.next_op} calls"] if self.next_op < len(self.script) else []
        out += [f"{i} not acknowledged" for i in self.last_acks if i not in self.acked]
        out += (
            [] if self.whole() else [f"not whole: {[(m.node_id, m.replica.role.value, m.epoch) for m in self.members]}"]
        )
        out += [f"{m.node_id} writes" for m in self.members if m.pending]
        return out + [
            f"{row.kind} to {line.dst}"
            for line, rows in self.lines.items()
            for row in rows
            if row.kind not in ("LEADER_LEASE_REQUEST", "LEADER_LEASE_GRANTED")
        ]


__all__ = ["Cut", "Line", "Message", "Op", "World"]
