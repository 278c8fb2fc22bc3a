"""A campaign for the next epoch: checkpoint to a backup, two rounds of ballots, installation."""

import enum
from collections.abc import Sequence
from typing import TYPE_CHECKING, Any

from ..common.records import decode
from ..transport.envelope import Kind
from .environment import encode
from .epoch import Ballot, Epoch, majority
from .timing import PING_S

if TYPE_CHECKING:
    from .replica import Replica


class Phase(enum.Enum):
    """Where a campaign stands."""

    PICK = "pick"
    COPY = "copy"
    PREPARE = "prepare"
    ACCEPT = "accept"
    INSTALL = "install"


MOVES: dict[Phase, frozenset[Phase]] = {
    Phase.PICK: frozenset({Phase.COPY, Phase.PREPARE}),
    Phase.COPY: frozenset({Phase.PREPARE, Phase.PICK}),
    Phase.PREPARE: frozenset({Phase.ACCEPT, Phase.PREPARE, Phase.INSTALL}),
    Phase.ACCEPT: frozenset({Phase.INSTALL, Phase.PREPARE}),
    Phase.INSTALL: frozenset({Phase.PICK}),
}
GATHER_S = 0.5  # how long members that may be coming up are waited for
COPY_S = 0.6  # doubles with each member tried, up to
COPY_MOST_S = 2.4
COPY_ENOUGH_S = 2.4  # after this time an epoch makes do with the backups that have synced the checkpoint; doubles
# with each epoch in a row that had to
ENOUGH_MOST_S = 9.6
COPY_AGAIN_S = 4.8  # after this time without any, all are asked anew
COPY_LOOK_S = 0.2  # how often is looked again while nobody else can be asked
CALM_S = 5.0  # for so long does a primary that copies its state keep its backups from campaigning
VOTE_S = 0.5  # grows with each round, up to
VOTE_MOST_S = 2.0
INSTALL_S = 1.0


class Election:
    """Invariant: what is proposed names as backup only a member that has synced the checkpoint with this tag, and
    a value that any witness may already have voted for is finished rather than replaced. Nothing is committed during
    a campaign, so the state is encoded once, and one tag stands for it with all members that are tried.
    """

    def __init__(self, *, replica: "Replica", why: str, avoid: set[str], first: Sequence[str]) -> None:
        self.replica = replica
        self.why = why
        self.avoid = avoid
        self.first = first
        self.tried: set[str] = set()
        self.phase = Phase.PICK
        self.since = self.begun = replica.environment.now
        self.round = 0
        self.tag = ""
        self.inst = -1
        self.text = ""
        self.copies = 0
        self.votes = 0
        self.asked: list[str] = []  # members that were sent the checkpoint in this round
        self.have: list[str] = []  # members that have synced it
        self.goal = 0  # as many backups are wanted
        self.fewer = False  # live members were given up on
        self.copying = self.begun  # when the first of them was sent the checkpoint
        self.calmed = self.begun
        self.near = False
        self.resumed = False  # the copy was proposed before a restart
        self.ok: set[str] = set()
        self.best: tuple[Ballot, Epoch] | None = None
        self.ballot: Ballot = [0, replica.environment.node_id, replica.environment.incarnation]
        self.value: Epoch | None = None
        self.sent = 0.0
        self.installed: dict[str, float] = {}  # by member: when the oldest INSTALL that it may have answered left
        self.patience = 0.0

    def _go(self, phase: Phase) -> None:
        assert phase in MOVES[self.phase], (self.phase, phase)
        self.phase = phase
        self.since = self.replica.environment.now
        self.ok = set()

    def tick(self) -> None:
        """Time goes on."""
        environment, age = self.replica.environment, self.replica.environment.now - self.since
        if self.phase is Phase.PICK:
            self._pick()
        elif self.phase is Phase.COPY and age <= self.patience:
            self._keep_calm()
        elif self.phase is Phase.COPY:
            self.tried.update(u for u in self.asked if u not in self.have)
            self._go(Phase.PICK)
        elif self.phase in (Phase.PREPARE, Phase.ACCEPT) and age > self.patience:
            self._prepare()
        elif self.phase is Phase.INSTALL:
            if age > INSTALL_S:
                e = self.replica.acceptor.decided
                self.avoid = {u for u in e.backups if u not in self.ok} if e else set()
                self.have = []
                self._go(Phase.PICK)
            elif environment.now - self.sent > 0.25:
                self._install()

    def _keep_calm(self) -> None:
        """The epoch's primary tells its backups that it is at work: a campaign of theirs would only send more copies
        over the same links. Not for ever: one of them may be able to do what this member is not.
        """
        environment, e = self.replica.environment, self.replica.acceptor.decided
        if (
            e is None
            or e.primary != environment.node_id
            or environment.now - self.begun > CALM_S
            or environment.now - self.calmed < PING_S
        ):
            return
        self.calmed = environment.now
        for node_id in e.backups:
            if node_id not in self.avoid:
                environment.send(
                    node_id=node_id,
                    kind=Kind.LEADER_LEASE_REQUEST,
                    body={"g": self.replica.group_id, "n": e.number, "t": environment.now},
                )

    def _pick(self) -> None:
        replica, environment = self.replica, self.replica.environment
        e = replica.acceptor.decided
        assert e is not None
        if environment.now < replica.resting_until:
            return
        fresh = self.inst != e.number + 1
        if fresh:
            self.have = []
        rows = [u for u in environment.partners(first=self.first) if u not in self.avoid]
        copies = [u for u in rows if u in self.have]
        pending = [u for u in rows if u in self.tried and u not in self.have and environment.up(node_id=u)]
        untried = [u for u in rows if u not in self.tried and u not in self.have]
        live = [u for u in untried if environment.up(node_id=u)]
        most = environment.losses()
        if len(copies) + len(pending) + len(live) < min(most, len(rows)) and environment.now - self.begun < GATHER_S:
            return  # others may be coming up too
        ask = live[: most - len(copies)]
        if not ask and not copies and not pending:
            ask = untried[:1]
        self.goal = min(most, len(copies) + len(pending) + len(ask))
        if copies and environment.now - self.copying > min(
            COPY_ENOUGH_S * 2**replica.reconfiguration.short, ENOUGH_MOST_S
        ):
            self.fewer = len(copies) < self.goal  # makes do with these: another epoch follows later
            self.goal = len(copies)
        solo = not rows and environment.everyone() in ([environment.node_id], []) and len(e.witnesses) <= 1
        over = not ask and not copies and environment.now - self.copying > COPY_AGAIN_S
        if (self.goal == 0 or over) and not solo:
            self.tried, self.avoid = set(), set()
            replica.resting_until = environment.now + 0.2 * (1 + environment.jitter())
            return
        self._copy(ask=ask, fresh=fresh, number=e.number + 1)

    def _copy(self, *, ask: list[str], fresh: bool, number: int) -> None:
        """Send the checkpoint to the members in `ask` and wait until as many as are wanted have synced it."""
        replica, environment = self.replica, self.replica.environment
        self.asked = ask
        if self.copies and ask:
            environment.note(
                event="campaign-goes-on",
                group=replica.group_id,
                round=self.copies,
                asked=",".join(ask),
                have=",".join(self.have),
            )
        if ask:
            self.patience = min(COPY_S * 2**self.copies, COPY_MOST_S) * (1 + environment.jitter() / 2)
            self.copies += 1
            self.copying = environment.now if fresh or not self.tried else self.copying
        else:
            self.patience = COPY_LOOK_S
        self._go(Phase.COPY)
        if fresh:
            self._propose(inst=number)
        record = replica.pending_snapshots[self.tag]
        for node_id in ask:
            environment.send(
                node_id=node_id, kind=Kind.SNAPSHOT, body={k: record[k] for k in ("g", "inst", "tag", "applied", "st")}
            )
        self._copied()

    def _propose(self, *, inst: int) -> None:
        """Write the copy that the next epoch is to begin with, or go on with the one from before a restart."""
        replica, environment = self.replica, self.replica.environment
        self.inst, self.near = inst, False
        record = replica.proposed_snapshot(epoch_number=inst)
        if record is not None:
            self.resumed = True
            environment.write(
                record={"k": "none", "g": replica.group_id}, done=("copied", replica.group_id, record["tag"])
            )
        else:
            self.text = self.text or encode(state=replica.state)
            tag = f"{environment.node_id}/{environment.now:.4f}/{int(environment.jitter() * 1e9)}"
            record = {
                "k": "ck",
                "g": replica.group_id,
                "inst": inst,
                "tag": tag,
                "applied": replica.last_applied,
                "st": self.text,
            }
            environment.write(record=record, done=("copied", replica.group_id, tag))
            replica.store_snapshot(record=record)
        self.tag = record["tag"]

    def copied(self, *, tag: str, node_id: str) -> None:
        """A checkpoint is synced, here (`uid` empty) or at a member; one that was given up on may only be slow."""
        if tag != self.tag:
            return
        if not node_id:
            self.near = True
        elif node_id not in self.have:
            self.have.append(node_id)
        self._copied()

    def _copied(self) -> None:
        copies = [u for u in self.have if u not in self.avoid]
        if self.phase is Phase.COPY and self.near and len(copies) >= self.goal:
            e = self.replica.acceptor.decided
            assert e is not None
            self.value = Epoch(
                number=e.number + 1,
                primary=self.replica.environment.node_id,
                backups=tuple(copies[: self.goal]),
                witnesses=tuple(self.replica.environment.witnesses(have=e.witnesses)),
                snapshot_id=self.tag,
            )
            self._prepare()

    def _prepare(self) -> None:
        e = self.replica.acceptor.decided
        assert e is not None
        self._go(Phase.PREPARE)
        self.patience = min(VOTE_S * (1 + self.votes / 2), VOTE_MOST_S) * (1 + self.replica.environment.jitter())
        self.votes += 1
        if self.votes > 2:
            self.replica.environment.note(
                event="campaign-votes-again",
                group=self.replica.group_id,
                round=self.votes,
                witnesses=",".join(e.witnesses),
            )
        self.round += 1
        self.best = None
        self.ballot = [self.round, self.replica.environment.node_id, self.replica.environment.incarnation]
        for node_id in e.witnesses:
            self.replica.environment.send(
                node_id=node_id,
                kind=Kind.PREPARE,
                body={"g": self.replica.group_id, "n": e.number + 1, "bal": self.ballot, "cert": e.document()},
            )

    def on(self, *, node_id: str, kind: Kind, m: dict[str, Any]) -> None:
        """One answer."""
        if kind is Kind.SNAPSHOT_STORED:
            self.copied(tag=m["tag"], node_id=node_id)
            return
        if kind is Kind.EPOCH_INSTALLED:
            self._installed(node_id=node_id, n=m["n"], sent=m.get("t"))
            return
        if m.get("cur"):
            self.replica.learn(decode(m["cur"], into=Epoch))
            return
        e = self.replica.acceptor.decided
        if e is None or m["n"] != e.number + 1 or m["bal"] != self.ballot:
            return
        if not m["ok"]:
            self.round = max(self.round, m["pb"][0])
            return
        if kind is Kind.PROMISE and self.phase is Phase.PREPARE:
            if m["ab"] is not None and (self.best is None or m["ab"] > self.best[0]):
                self.best = (m["ab"], decode(m["av"], into=Epoch))
            self.ok.add(node_id)
            if majority(votes=self.ok, among=e.witnesses):
                val = self.best[1] if self.best else self.value
                assert val is not None
                self._go(Phase.ACCEPT)
                self.best = (self.ballot, val)
                for acceptor in e.witnesses:
                    self.replica.environment.send(
                        node_id=acceptor,
                        kind=Kind.ACCEPT,
                        body={
                            "g": self.replica.group_id,
                            "n": e.number + 1,
                            "bal": self.ballot,
                            "val": val.document(),
                            "cert": e.document(),
                        },
                    )
        elif kind is Kind.ACCEPTED and self.phase is Phase.ACCEPT:
            self.ok.add(node_id)
            if majority(votes=self.ok, among=e.witnesses) and self.best is not None:
                val = self.best[1]
                old = e
                self.replica.learn(val)
                if self.replica.election is not self:
                    for peer in sorted({*old.witnesses, *val.witnesses, val.primary, *val.backups} - {""}):
                        self.replica.environment.send(
                            node_id=peer,
                            kind=Kind.INSTALL_EPOCH,
                            body={"g": self.replica.group_id, "e": val.document()},
                        )

    def decided(self, *, epoch: Epoch) -> None:
        """The epoch that this campaign proposed is decided."""
        if self.phase is Phase.COPY:
            self._go(Phase.PREPARE)
        self._go(Phase.INSTALL)
        self.installed = {}
        self.value = epoch
        self._install()

    def _install(self) -> None:
        assert self.value is not None
        self.sent = self.replica.environment.now
        for peer in sorted(
            {*self.value.witnesses, *self.value.backups, *self.replica.environment.everyone()} - {"", *self.ok}
        ):
            self.replica.environment.send(
                node_id=peer,
                kind=Kind.INSTALL_EPOCH,
                body={"g": self.replica.group_id, "e": self.value.document(), "t": self.sent},
            )

    def _installed(self, *, node_id: str, n: int, sent: float | None) -> None:
        val = self.value
        if self.phase is not Phase.INSTALL or val is None or n != val.number:
            return
        self.ok.add(node_id)
        self.installed.setdefault(node_id, self.since if sent is None else sent)
        if majority(votes=self.ok, among=val.witnesses) and self.ok.issuperset(val.backups):
            self.replica.reconfiguration.formed(fewer=self.fewer)
            self.replica.lease.start(epoch=val, answers=self.installed)
            self.replica.activate()
