"""Gangs: earmarks on all members' agents in one global order, all or nothing, then the orders."""

from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

from .leases import Ask, Held, Shape, copies

if TYPE_CHECKING:
    from .placer import Placer

MARK_S = 2.0
PAUSE_S = 0.15
AT_ONCE = 4


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


class Gangs:
    """Attempts in hand."""

    def __init__(self, *, placer: "Placer") -> None:
        self.placer = placer
        self.open: dict[tuple[str, str], Try] = {}
        self.pause: dict[tuple[str, str], float] = {}

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
