"""Gangs: earmarks on all members' agents in one global order, all or nothing, then the orders."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from .leases import Ask, Held, Shape, copies

if TYPE_CHECKING:
    from .placer import Placer

MARK_S = 2.0
PAUSE_S = 0.15
AT_ONCE = 4
BOOK_AFTER_S = 2.0    # a gang that waited this long has minions kept free for it
BOOK_MOST_S = 10.0
BOOKS = 2


@dataclass(kw_only=True)
class Try:
    """One attempt for one gang. Invariant: agents are asked in rising order of uid, one at a time, so that two
    attempts never wait for each other in a ring."""

    jid: str
    key: str
    n: int
    shape: Shape
    plan: list[tuple[str, int]]
    tight: bool
    rows: list[Held] = field(default_factory=list)
    asked: int = 0


@dataclass(kw_only=True)
class Book:
    """Minions that work of the same or a later rank keeps off, so that their room comes free for one gang."""

    mids: frozenset[str]
    grade: int
    until: float


class Gangs:
    """Attempts in hand, and bookings of gangs that waited long. Invariant: bookings share no minion."""

    def __init__(self, *, placer: "Placer") -> None:
        self.placer = placer
        self.open: dict[tuple[str, str], Try] = {}
        self.pause: dict[tuple[str, str], float] = {}
        self.books: dict[tuple[str, str], Book] = {}
        self.rest: dict[tuple[str, str], float] = {}

    def off(self, *, grade: int) -> frozenset[str]:
        """Minions that work of this rank is to keep off."""
        out: frozenset[str] = frozenset()
        for book in self.books.values():
            if grade >= book.grade:
                out |= book.mids
        return out

    def sweep(self) -> None:
        """Drop bookings that served their end or lasted too long."""
        now, ready = self.placer.hub.now, self.placer.ready
        for unit, book in list(self.books.items()):
            if unit not in ready or now > book.until:
                del self.books[unit]
                self.rest[unit] = now + BOOK_MOST_S / 2
        if len(self.rest) > 1000:
            self.rest.clear()

    def book(self, *, shape: Shape, unit: tuple[str, str], n: int, tight: bool, grade: int) -> None:
        """Keep the least used minions (of one rack, where asked) free for a gang."""
        p, now = self.placer, self.placer.hub.now
        if unit in self.books or len(self.books) >= BOOKS or now < self.rest.get(unit, 0.0):
            return
        taken = frozenset(mid for b in self.books.values() for mid in b.mids)
        racks: dict[str, list[tuple[float, str, int]]] = {}
        for _, row in p.pool.rows(svc=shape.svc, now=now):
            top = copies(row=[*row[4], row[3]], shape=shape)
            if top and row[5] not in taken:
                used = sum(1 - have / cap for have, cap in zip(row[:3], row[4], strict=True) if cap)
                name = row[3][1] if tight and len(row[3]) > 1 else ""
                racks.setdefault(name, []).append((used / top, row[5], top))
        best: tuple[float, list[str]] | None = None
        for name in sorted(racks):
            left, cost, mids = n, 0.0, []
            for used, mid, top in sorted(racks[name]):
                if left > 0:
                    mids.append(mid)
                    left, cost = left - top, max(cost, used)
            if left <= 0 and (best is None or cost < best[0]):
                best = (cost, mids)
        if best is not None:
            self.books[unit] = Book(mids=frozenset(best[1]), grade=grade, until=now + BOOK_MOST_S)
            p.evictor.minions(mids=self.books[unit].mids, svc=shape.svc, grade=grade)
            p.hub.trace(event="gang-booked", id=unit[0], unit=unit[1], n=n, minions=len(best[1]))

    def want(self, *, shape: Shape, jid: str, key: str, n: int, step: dict[str, Any], since: float) -> None:
        """A gang waits: try if the views show room for all of it."""
        p, now = self.placer, self.placer.hub.now
        if (jid, key) in self.open or len(self.open) >= AT_ONCE or now < self.pause.get((jid, key), 0.0):
            return
        racks: dict[tuple[str, str], int] = {}
        for uid, row in p.pool.rows(svc=shape.svc, now=now):
            name = row[3][1] if len(row[3]) > 1 else ""
            racks[uid, name] = racks.get((uid, name), 0) + copies(row=row, shape=shape)
        tight = bool(step["tight"])
        plan: list[tuple[str, int]] = []
        if tight:
            good = [(got, uid) for (uid, _), got in racks.items() if got >= n]
            if good:
                plan = [(min(good)[1], n)]
            elif now - since < min(step["est"], 6000) / 1000 * (p.far - 1):
                return
            else:
                tight = False
        if not plan:
            by: dict[str, int] = {}
            for (uid, _), got in racks.items():
                by[uid] = by.get(uid, 0) + got
            left = n
            for uid in sorted(by):
                if by[uid] and left:
                    plan.append((uid, min(left, by[uid])))
                    left -= plan[-1][1]
            if left:
                p.hub.trace(event="gang-no-room", id=jid, unit=key, n=n, short=left, req=shape.req,
                            gpu=shape.gpu, tight=step["tight"])
                return
        att = Try(jid=jid, key=key, n=n, shape=shape, plan=plan, tight=tight)
        self.open[jid, key] = att
        self._next(att)

    def _next(self, att: Try) -> None:
        uid, n = att.plan[att.asked]
        att.asked += 1
        self.placer.ask(shape=att.shape, n=n, agent=uid, been=[uid], gang=att,
                        more={"mark": MARK_S, "tight": att.tight, "all": True})

    def granted(self, *, ask: Ask, rows: list[Held]) -> None:
        """An agent answered for its part."""
        att: Try = ask.gang
        p = self.placer
        if self.open.get((att.jid, att.key)) is not att:
            p.release(rows)
            return
        att.rows += rows
        job = p.jobs.jobs.get(att.jid)
        live = job is not None and (att.jid, att.key) in p.ready
        fresh = all(h.mid in p.links and p.links[h.mid].seq == h.seq for h in att.rows)
        if live and fresh and len(rows) == ask.n and len(att.rows) < att.n:
            self._next(att)
            return
        del self.open[att.jid, att.key]
        if live and fresh and len(att.rows) == att.n:
            p.start(jid=att.jid, key=att.key, batch=list(enumerate(att.rows)))
            p.ready.pop((att.jid, att.key), None)
        else:
            p.release(att.rows)
            p.hub.trace(event="gang-put-off", id=att.jid, unit=att.key, n=att.n, got=len(att.rows), asked=ask.agent,
                        live=live, fresh=fresh)
            self.pause[att.jid, att.key] = p.hub.now + PAUSE_S
            if len(self.pause) > 1000:
                self.pause.clear()
