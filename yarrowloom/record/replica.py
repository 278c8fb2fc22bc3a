"""One member's part in one group: witness always; primary or backup when the epoch says so."""

from typing import Any

from ..wire.frame import Kind
from .ballot import Campaign
from .epoch import Epoch
from .parts import MOVES, Hub, Reducer, Role
from .replay import ReplayError, unapplied
from .stored import StoredCopy
from .timing import DOUBT_S, PING_S, PROMISE_S, RESEND_S, REST_S, SILENCE_S, SUSPECT_S, TURN_S, WANT_S


class Replica(StoredCopy):
    """Invariants: `state` holds exactly the events up to number `applied` of epoch `base`, each once; the newest of
    them may wait in `queue` or `fly`, and no effect, answer or read leaves for them before they are on the disks of
    the primary and of all backups; a primary serves only until `until`, which the oldest of its backups' last words
    (`words`) bounds; a backup that has begun to take over never again answers the epoch it leaves, also not after a
    restart. What a restarted member has is a beginning of its epoch's events with all confirmed ones: never more than
    a proposal, which counts once the backups of a new epoch have copied it."""

    def __init__(self, *, g: int, hub: Hub, state: Reducer, epoch: Epoch | None) -> None:
        super().__init__(g=g, uid=hub.uid, state=state, epoch=epoch)
        self.hub = hub
        self.role = Role.IDLE
        self.until = 0.0
        self.words: dict[str, float] = {}
        self.heard = 0.0
        self.rest = 0.0
        self.camp: Campaign | None = None
        self.queue: list[tuple[dict[str, Any] | None, tuple[Any, ...] | None]] = []
        self.fly: dict[str, Any] | None = None
        self.pinged = 0.0
        self.reset = 0.0
        self.awake = 0.0      # when this process last stood still: silence counts from then
        self.want: tuple[frozenset[str], float] = (frozenset(), 0.0)     # other witnesses, wished for since
        self.spare: tuple[frozenset[str], float] = (frozenset(), 0.0)    # members that could be one more backup
        if epoch is not None and epoch["n"] == 0 and hub.uid in (epoch["p"], *epoch["b"]):
            self.base = 0
            self._place()

    # -- what others ask

    @property
    def epoch(self) -> Epoch | None:
        """The newest decided epoch known."""
        return self.wit.seen

    def serving(self) -> bool:
        """May act as the primary right now."""
        return self.role is Role.PRIMARY and self.hub.now < self.until

    def commit(self, *, ev: dict[str, Any], then: tuple[Any, ...] | None = None) -> Any:
        """Apply an event; `then` is carried out once it is durable. Only while serving."""
        result = self._apply(event=ev)
        self.queue.append((ev, then))
        return result

    def _apply(self, *, event: dict[str, Any]) -> Any:
        """Apply the next event. A reducer that raises may have changed a part of the state: the copy is void, so this
        member neither leads nor answers until it is sent another."""
        try:
            result = self.state.apply(event)
        except Exception as err:
            self.hub.note(event="copy-void", group=self.g, epoch=self.base, number=self.applied + 1, cause=repr(err))
            self.base = -1
            self._become(Role.IDLE)
            raise
        self.applied += 1
        return result

    def barrier(self, *, then: tuple[Any, ...]) -> None:
        """Carry out an effect once all that was applied so far is durable."""
        if self.queue:
            self.queue.append((None, then))
        elif self.fly is not None:
            self.fly["effs"].append(then)
        else:
            self.hub.effect(eff=then)

    # -- roles

    def _become(self, role: Role) -> None:
        assert role in MOVES[self.role], (self.role, role)
        was, self.role = self.role, role
        if was is Role.PRIMARY and role is not Role.TAKING or was is Role.TAKING and role in (
                Role.IDLE, Role.BACKUP, Role.LAPSED):
            self.queue.clear()
            self.fly = None
            self.camp = None
            self.hub.deposed(g=self.g)

    def _place(self) -> None:
        """Take the part that the known epoch gives."""
        e = self.wit.seen
        assert e is not None
        mine = self.base == e["n"]
        if not mine and self._unpack(epoch=e):
            mine = True
        self._prune(n=e["n"])
        if mine and e["p"] == self.hub.uid:
            self._become(Role.LAPSED)
            self.rest = max(self.rest, self.hub.now + 0.05)
        elif mine and self.hub.uid in e["b"]:
            self._become(Role.LAPSED if self.proposed(n=e["n"] + 1) else Role.BACKUP)
            self.heard = self.hub.now
        elif self.role is not Role.IDLE:
            self._become(Role.IDLE)

    def learn(self, epoch: Epoch) -> None:
        """Take note of a decided epoch."""
        if not self.wit.learn(epoch):
            return
        self._save(done=("none",))
        self.hub.installed(g=self.g, epoch=epoch)
        camp = self.camp
        # An earlier life may have served in an epoch whose copy it proposed: this one goes on to the next.
        if camp is not None and epoch["p"] == self.hub.uid and epoch["t"] == camp.tag and not camp.resumed:
            self.base = epoch["n"]
            self._prune(n=epoch["n"])
            camp.decided(epoch=epoch)
            return
        self._place()

    def _save(self, *, done: tuple[Any, ...]) -> None:
        self.hub.write(rec={"k": "w", "g": self.g, **self.wit.dump()}, done=done)

    # -- disk

    def checkpoint(self) -> list[dict[str, Any]]:
        """Records that stand for all that is kept."""
        return self.records(whole=self.role is not Role.IDLE)

    def settle(self) -> None:
        """All is replayed: take the part that the disk tells."""
        self.role = Role.IDLE
        e = self.wit.seen
        if e is not None and self.base == e["n"] and self.hub.uid in (e["p"], *e["b"]):
            own = self.proposed(n=e["n"] + 1)
            if own is not None:
                self._load(epoch=e["n"], rec=own)      # has also what was applied and not yet on disk
            self._place()

    # -- time

    def tick(self) -> None:
        """Called a few times a second."""
        now = self.hub.now
        if self.camp is not None:
            self.camp.tick()
            return
        if self.role is Role.PRIMARY:
            self._serve()
        elif self.role is Role.BACKUP:
            if now - self.heard > SILENCE_S + self._turn() and now >= self.rest:
                self.take(why="silence")
        elif self.role is Role.LAPSED and now >= self.rest:
            self.take(why="restart")

    def _turn(self) -> float:
        """Seconds that this backup waits for those named before it to take over."""
        e = self.wit.seen
        return TURN_S * e["b"].index(self.hub.uid) if e is not None and self.hub.uid in e["b"] else 0.0

    def _word(self, *, uid: str, sent: float) -> None:
        """A backup answered what was sent at `sent`: it will not take over for a while from then."""
        e = self.wit.seen
        assert e is not None
        self.words[uid] = max(self.words.get(uid, -9.0), sent)
        self.until = max(self.until, min(self.words.get(b, -9.0) for b in e["b"]) + PROMISE_S)

    def _yield(self) -> None:
        """Have a backup take over at once."""
        e = self.wit.seen
        assert e is not None
        self.until = 0.0
        order = [u for u in self.hub.partners(first=e["b"]) if u in e["b"]]
        for uid in (order or e["b"])[:1]:
            self.hub.send(uid=uid, kind=Kind.YIELD, body={"g": self.g, "n": e["n"]})
        self._become(Role.LAPSED)
        self.rest = self.hub.now + REST_S

    def thawed(self) -> None:
        """The process stood still: silence of others, and of the own disk, proves nothing yet."""
        self.awake = self.hub.now
        self.heard = max(self.heard, self.hub.now)
        self.rest = max(self.rest, self.hub.now + 0.3)

    def _serve(self) -> None:
        now, e = self.hub.now, self.wit.seen
        assert e is not None
        if not e["b"]:
            self.until = now + PROMISE_S
        elif now - self.pinged >= PING_S:
            self.pinged = now
            for uid in e["b"]:
                self.hub.send(uid=uid, kind=Kind.PING, body={"g": self.g, "n": e["n"], "t": now})
        if self.fly is not None:
            age = now - max(self.fly["t0"], self.awake)
            if age > SUSPECT_S and not self.fly["near"]:
                self._yield()
                return
            if age > DOUBT_S:
                self.take(why="backup-slow", avoid=[u for u in e["b"] if u not in self.fly["far"]])
                return
            if len(self.fly["far"]) < len(e["b"]) and now - self.fly["t"] > RESEND_S:
                self._fire()
        elif self.queue and now < self.until:
            self.flush()
        silent = [u for u in e["b"] if now > max(self.words.get(u, -9.0), self.awake) + DOUBT_S]
        if silent:
            self.take(why="backup-silent", avoid=silent)
        elif now >= self.reset:
            self.reset = now + 1.0
            want = frozenset(self.hub.witnesses(have=e["w"]))
            if want != self.want[0]:
                self.want = (want, now)
            few = len(e["w"]) < 2 * self.hub.losses() + 1 and len(want) > len(e["w"])     # no majority outlives that
            if want != frozenset(e["w"]) and (few or now - self.want[1] >= WANT_S):
                self.take(why="witnesses")
            elif len(e["b"]) < self.hub.losses():
                spare = frozenset(u for u in self.hub.partners(first=e["b"]) if u not in e["b"] and self.hub.up(uid=u))
                if not spare & self.spare[0]:
                    self.spare = (spare, now)
                elif now - self.spare[1] >= WANT_S:
                    self.take(why="backups")

    def hand_over(self) -> None:
        """Planned end: the backup is to take over at once."""
        e = self.wit.seen
        if self.role is Role.PRIMARY and e is not None and e["b"]:
            self._yield()

    def take(self, *, why: str, avoid: list[str] | None = None) -> None:
        """Campaign to be the primary of the next epoch."""
        assert self.wit.seen is not None
        self.hub.note(event="campaign", group=self.g, why=why, after=self.wit.seen["n"])
        self._become(Role.TAKING)
        self.camp = Campaign(rep=self, why=why, avoid=set(avoid or ()), first=self.wit.seen["b"])
        self.camp.tick()

    # -- commits

    def flush(self) -> None:
        """Send the next batch, one at a time."""
        if self.fly is not None or not self.queue or not self.serving():
            return
        events = [ev for ev, _ in self.queue if ev is not None]
        effects = [eff for _, eff in self.queue if eff is not None]
        self.queue = []
        last = self.applied                    # what waits here is the newest of what is applied
        first = last - len(events) + 1
        e = self.wit.seen
        assert e is not None
        self.fly = {"first": first, "last": last, "evs": events, "effs": effects, "t0": self.hub.now, "t": 0.0,
                    "near": False, "far": set()}
        self.hub.write(rec={"k": "lg", "g": self.g, "n": e["n"], "first": first, "evs": events},
                       done=("near", self.g, e["n"], last))
        if e["b"]:
            self._fire()

    def _fire(self) -> None:
        e, fly = self.wit.seen, self.fly
        assert e is not None and fly is not None
        fly["t"] = self.hub.now
        for uid in e["b"]:
            if uid not in fly["far"]:
                self.hub.send(uid=uid, kind=Kind.LOG, body={"g": self.g, "n": e["n"], "first": fly["first"],
                                                            "evs": fly["evs"], "t": self.hub.now})

    def near(self, *, n: int, last: int) -> None:
        """The own disk has the batch that ends with an event."""
        if self.fly is not None and self.fly["last"] == last and self.wit.seen and self.wit.seen["n"] == n:
            self.fly["near"] = True
            self._landed()

    def _landed(self) -> None:
        fly = self.fly
        e = self.wit.seen
        if (fly is None or e is None or not fly["near"] or len(fly["far"]) < len(e["b"])
                or self.role is not Role.PRIMARY):
            return
        self.fly = None
        for eff in fly["effs"]:
            self.hub.effect(eff=eff)
        self.flush()

    def activate(self) -> None:
        """The campaign is won and installed: all disks hold the whole state."""
        e = self.wit.seen
        assert e is not None
        effs = (self.fly["effs"] if self.fly else []) + [eff for _, eff in self.queue if eff is not None]
        self.queue, self.fly, self.camp = [], None, None
        self._become(Role.PRIMARY)
        self.until = max(self.until, self.hub.now + PROMISE_S / 2) if not e["b"] else self.until
        self.reset = self.hub.now + 1.0
        self.hub.elected(g=self.g)
        for eff in effs:
            self.hub.effect(eff=eff)

    # -- messages

    def on(self, *, uid: str, kind: Kind, m: dict[str, Any]) -> None:
        """One message of this group."""
        if kind is Kind.PREP or kind is Kind.ACCEPT:
            self._vote(uid=uid, kind=kind, m=m)
        elif kind is Kind.INSTALL:
            self.learn(m["e"])
            self._save(done=("send", uid, int(Kind.INSTALLED), {"g": self.g, "n": m["e"]["n"]}))
        elif kind is Kind.CKPT:
            if self.wit.seen is None or m["inst"] > self.wit.seen["n"]:
                rec = {"k": "ck", "g": self.g, "inst": m["inst"], "tag": m["tag"], "applied": int(m["applied"]),
                       "st": m["st"]}
                self.keep(rec=rec)
                self.hub.write(rec=rec, done=("send", uid, int(Kind.CKPTOK), {"g": self.g, "tag": m["tag"]}))
        elif kind is Kind.LOG:
            self._log(uid=uid, m=m)
        elif kind is Kind.PING:
            if self.role is Role.BACKUP and self.base == m["n"]:
                self.heard = self.hub.now
                self.hub.send(uid=uid, kind=Kind.PONG, body=m)
        elif kind is Kind.YIELD:
            if self.role is Role.BACKUP and self.base == m["n"]:
                self.take(why="yielded", avoid=[uid])
        elif kind in (Kind.PONG, Kind.LOGOK):
            e = self.wit.seen
            if self.role is Role.PRIMARY and e is not None and m["n"] == e["n"] and uid in e["b"]:
                self._word(uid=uid, sent=m["t"])
                if kind is Kind.LOGOK and self.fly is not None and m["last"] == self.fly["last"]:
                    self.fly["far"].add(uid)
                    self._landed()
        elif self.camp is not None:
            self.camp.on(uid=uid, kind=kind, m=m)

    def _vote(self, *, uid: str, kind: Kind, m: dict[str, Any]) -> None:
        if m.get("cert"):
            self.learn(m["cert"])
        if kind is Kind.PREP:
            res = self.wit.prepare(n=m["n"], ballot=m["bal"])
            back = Kind.PROMISE
        else:
            res = self.wit.accept(n=m["n"], ballot=m["bal"], value=m["val"])
            back = Kind.ACCEPTED
        if res is None:
            return
        body = {"g": self.g, "n": m["n"], "bal": m["bal"], **res}
        if res["ok"]:
            self._save(done=("send", uid, int(back), body))
        else:
            self.hub.send(uid=uid, kind=back, body=body)

    def _log(self, *, uid: str, m: dict[str, Any]) -> None:
        if self.role is not Role.BACKUP or self.base != m["n"]:
            return
        self.heard = self.hub.now
        last = m["first"] + len(m["evs"]) - 1
        try:
            fresh = unapplied(first=m["first"], events=m["evs"], applied=self.applied)
        except ReplayError as err:
            self.hub.note(event="log-gap", group=self.g, epoch=self.base, cause=err.text)
            return
        rec: dict[str, Any] = {"k": "none", "g": self.g}
        if fresh:
            rec = {"k": "lg", "g": self.g, "n": m["n"], "first": self.applied + 1, "evs": fresh}
        try:
            for event in fresh:
                self._apply(event=event)
        except Exception:      # noted, and the copy is void; the primary replaces a backup that does not answer
            return
        self.hub.write(rec=rec, done=("send", uid, int(Kind.LOGOK), {
            "g": self.g, "n": m["n"], "last": last, "t": m["t"]}))
