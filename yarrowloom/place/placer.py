"""The placing node of one job group: binds leases to waiting tasks, asks agents for room, records starts."""

from typing import Any

from ..job.state import ENDED, RUN, WAIT, Jobs, task_name
from ..record.replica import Replica
from ..wire.frame import Kind
from .desk import Desk, PlacerHub
from .evict import AFTER_S, Evictor
from .gang import BOOK_AFTER_S, Gangs
from .leases import Ask, Held, Shape, copies

ASK_S = 0.6
SWEEP_S = 1.0
HOPS = 4
BATCH = 64
BLOCK_S = 0.1         # work that has waited this long keeps what comes after it off its room
BLOCK_MOST_S = 8.0    # if it finds no room even so long, it stops holding others back
LATE = 3.0            # past this many aims a job earns nothing any more
SHUT_S = 0.1          # after an agent had no room, views are given this long to catch up


class Placer(Desk):
    """Invariant: an order leaves only after its start is durable, and only if nothing came in between."""

    def __init__(self, *, g: int, hub: PlacerHub, rep: Replica, jobs: Jobs, far: float, status_s: float) -> None:
        super().__init__(g=g, hub=hub, rep=rep, jobs=jobs, far=far, status_s=status_s)
        self.gangs = Gangs(placer=self)
        self.evictor = Evictor(placer=self)

    def grant(self, *, uid: str, b: dict[str, Any]) -> None:
        """An agent's decision."""
        ask = self.asks.pop(b["rid"], None)
        rows = []
        for lid, mid, seq in b["x"]:
            link = self.links.get(mid)
            shape = ask.shape if ask is not None else Shape("", 0, 0, 0, "", "", "")
            held = Held(agent=uid, mid=mid, lid=lid, seq=seq, since=self.hub.now, shape=shape)
            if ask is None:
                self.release([held])
            elif link is not None and link.seq == seq:
                rows.append(held)
        if ask is None:
            return
        if ask.gang is not None:
            self.gangs.granted(ask=ask, rows=rows)
        else:
            for held in rows:
                self.pool.put(held=held, now=self.hub.now)
            if not rows:
                self.shut[ask.shape] = self.hub.now + SHUT_S
            if b["to"] and len(ask.been) < HOPS and len(rows) < ask.n:
                self.ask(shape=ask.shape, n=ask.n - len(rows), agent=b["to"], been=[*ask.been, b["to"]],
                         more=ask.more)
        self.dirty = True
        self.pump()

    def ask(self, *, shape: Shape, n: int, agent: str, been: list[str], gang: Any = None,
            more: dict[str, Any]) -> None:
        """Send a request for room: metadata only."""
        self.rid += 1
        self.asks[self.rid] = Ask(rid=self.rid, shape=shape, n=n, at=self.hub.now, agent=agent, been=been, gang=gang,
                                  more=more)
        avoid: dict[str, int] = {}
        apart = 0
        if shape.unit:
            jid, key = shape.unit.split("/")
            job = self.jobs.jobs.get(jid)
            if job is not None and "u" in job:
                apart = job["steps"][int(key.split(".")[1])]["apart"]
                unit = job["u"][key]
                for i, st in enumerate(unit["s"]):
                    if st == RUN:
                        avoid[unit["m"][i]] = avoid.get(unit["m"][i], 0) + 1
        self.hub.send(uid=agent, kind=Kind.LEASE, body={
            "g": self.g, "rid": self.rid, "svc": shape.svc, "cpu": shape.cpu, "mem": shape.mem, "gpu": shape.gpu,
            "req": shape.req, "near": shape.near, "n": n, "been": been, "apart": apart, "avoid": avoid, **more})

    # -- placing

    def rank(self, item: tuple[tuple[str, str], float]) -> tuple[Any, ...]:
        """Order of the backlog: what can still earn, by the queue's rank, then by the latest start within its aim."""
        (jid, key), _ = item
        job = self.jobs.jobs[jid]
        route = self.hub.route(name=job["q"]) or {}
        k, at = key.split(".")
        base = job["first"] + job["period"] * int(k) if job["times"] else job["at"]
        est = [s["est"] for s in job["steps"]]
        aim = max(float(route.get("target-ms", 0)) + float(route.get("stretch", 1)) * sum(est), 500.0)
        rest = sum(est[int(at):])
        wall = self.hub.wall * 1000
        return (wall > base + LATE * aim, int(route.get("rank", 9)), base + aim - rest, jid, key)

    def gone(self, *, task: str, run: int) -> None:
        """A run is over."""
        self.evictor.ended(task=task, run=run)

    def grade(self, *, job: dict[str, Any]) -> int:
        """The queue's rank; 0 goes first."""
        return int((self.hub.route(name=job["q"]) or {}).get("rank", 9))

    def service(self, *, job: dict[str, Any]) -> str:
        """Where the queue's tasks run now."""
        route = self.hub.route(name=job["q"])
        return str(route["backend"]) if route is not None else str(job["svc"])

    def pump(self) -> None:
        """Place what can be placed; ask for room for the rest."""
        if not self.dirty or not self.rep.serving():
            return
        self.dirty = False
        if len(self.shut) > 1000:
            self.shut.clear()
        want: dict[Shape, int] = {}
        strict: dict[Shape, bool] = {}
        shuns: dict[Shape, tuple[str, ...]] = {}
        blocked: dict[tuple[str, str], int] = {}
        spare: list[Held] = []
        offs: dict[Shape, frozenset[str]] = {}
        self.gangs.sweep()
        for (late, grade, _, jid, key), since in sorted((self.rank(item), item[1]) for item in self.ready.items()):
            job = self.jobs.jobs[jid]
            unit, step = job["u"][key], job["steps"][int(key.split(".")[1])]
            idxs = [i for i, st in enumerate(unit["s"]) if st == WAIT]
            if not idxs:
                del self.ready[jid, key]
                continue
            waited = self.hub.now - since
            urgent = not late and BLOCK_S < waited < BLOCK_MOST_S
            shape = Shape(self.service(job=job), step["cpu"], step["mem"], step["gpu"], step["req"], step["near"],
                          f"{jid}/{key}" if step["apart"] or step["gang"] else "")
            shun = tuple(sorted(req for (svc, req), top in blocked.items() if svc == shape.svc and top < grade))
            if "" in shun:
                spare += self.pool.idle.pop(shape, [])
                continue
            if step["gang"]:
                self.gangs.want(shape=shape, jid=jid, key=key, n=len(unit["s"]), step=step, since=since)
                if waited > BOOK_AFTER_S and (jid, key) in self.ready:
                    self.gangs.book(shape=shape, unit=(jid, key), n=len(unit["s"]), tight=step["tight"], grade=grade)
                continue
            off = self.gangs.off(grade=grade)
            spare += self._start(jid=jid, key=key, idxs=idxs, shape=shape, shun=shun, off=off)
            if not idxs:
                del self.ready[jid, key]
                continue
            want[shape] = want.get(shape, 0) + len(idxs)
            patient = bool(step["near"]) and waited < min(step["est"], 4000) / 2000 * (self.far - 1)
            strict[shape] = strict.get(shape, True) and patient
            shuns[shape] = shun
            offs[shape] = off
            if not late and waited > AFTER_S:
                self.evictor.tasks(shape=shape, n=len(idxs), grade=grade, strict=patient)
            if urgent and not patient:
                self._block(blocked=blocked, shape=shape, grade=grade)
        self.release(spare)
        busy = {a.shape for a in self.asks.values() if a.gang is None}
        for shape, n in want.items():
            if shape not in busy and self.hub.now >= self.shut.get(shape, 0.0):
                self._seek(shape=shape, n=n, strict=strict[shape], shun=shuns[shape], off=offs[shape], spare=spare)

    def _block(self, *, blocked: dict[tuple[str, str], int], shape: Shape, grade: int) -> None:
        """Later ranks take no room that this waits for, if there is a minion that could ever hold it."""
        rows = self.pool.rows(svc=shape.svc, now=self.hub.now)
        if any(copies(row=[*row[4], row[3]], shape=shape) for _, row in rows):
            blocked.setdefault((shape.svc, shape.req), grade)

    def _seek(self, *, shape: Shape, n: int, strict: bool, shun: tuple[str, ...], off: frozenset[str],
              spare: list[Held]) -> None:
        room: dict[str, int] = {}
        known = False
        for uid, row in self.pool.rows(svc=shape.svc, now=self.hub.now):
            near = bool(shape.near) and shape.near in row[3]
            known = known or near
            got = copies(row=row, shape=shape)
            if got and (near or not strict) and row[5] not in off and not any(x in row[3] for x in shun):
                room[uid] = room.get(uid, 0) + got * (1000 if near else 1)
        if strict and not known:
            self._seek(shape=shape, n=n, strict=False, shun=shun, off=off, spare=spare)
            return
        if not room and not strict:
            for held in spare:     # room just given back, which no view shows yet
                if held.shape.svc == shape.svc:
                    room[held.agent] = room.get(held.agent, 0) + 1
        if room:
            uid = max(sorted(room), key=lambda u: room[u])
            self.ask(shape=shape, n=min(n, BATCH), agent=uid, been=[uid], more={
                "strict": strict, "shun": shun, "off": sorted(off)})

    def _start(self, *, jid: str, key: str, idxs: list[int], shape: Shape, shun: tuple[str, ...],
               off: frozenset[str]) -> list[Held]:
        """Bind idle leases to waiting tasks; `idxs` keeps what is left. Returns leases that others need more."""
        rows = self.pool.idle.get(shape)
        batch, spare = [], []
        while rows and idxs:
            held = rows.pop()
            link = self.links.get(held.mid)
            if link is None or link.seq != held.seq:
                continue
            if held.mid in off or any(label in link.labels for label in shun):
                spare.append(held)
                continue
            batch.append((idxs.pop(0), held))
        if batch:
            self.start(jid=jid, key=key, batch=batch)
        return spare

    def start(self, *, jid: str, key: str, batch: list[tuple[int, Held]]) -> None:
        """Record starts; the orders follow once durable."""
        unit = self.jobs.jobs[jid]["u"][key]
        gang = self.jobs.jobs[jid]["steps"][int(key.split(".")[1])]["gang"]
        top = max(unit["r"])
        x, orders = [], []
        for i, held in batch:
            run = top + 1 if gang else unit["r"][i] + 1
            x.append([i, run, held.mid])
            self.held[task_name(jid=jid, unit=key, idx=i)] = held
            orders.append([jid, key, i, run, held])
        job = self.jobs.jobs[jid]
        step = job["steps"][int(key.split(".")[1])]
        self.hub.trace(event="start", id=jid, unit=key, queue=job["q"], n=len(x), of=len(unit["s"]), est=step["est"],
                       wait=round(self.hub.now - self.ready.get((jid, key), self.hub.now), 2), near=step["near"],
                       far=sum(bool(step["near"]) and step["near"] not in self.links[h.mid].labels for _, h in batch))
        self.effects(self.rep.commit(ev={"t": "start", "id": jid, "u": key, "x": x}, then=("orders", self.g, orders)))

    def orders(self, rows: list[Any]) -> None:
        """Starts are durable: order them, unless something came in between."""
        by: dict[str, list[Any]] = {}
        late = []
        for jid, key, i, run, held in rows:
            job, link = self.jobs.jobs.get(jid), self.links.get(held.mid)
            if job is None or "u" not in job or link is None or link.seq != held.seq:
                continue
            unit, step = job["u"][key], job["steps"][int(key.split(".")[1])]
            if unit["s"][i] != RUN or unit["r"][i] != run:
                continue
            if job["st"] in ENDED:
                late.append([held.mid, link.seq, task_name(jid=jid, unit=key, idx=i), run])
                continue
            by.setdefault(link.agent, []).append([
                held.mid, link.seq, held.lid, task_name(jid=jid, unit=key, idx=i), run, job["spec"],
                unit["v"][0 if step["gang"] else i], -1 if step["last"] else step["est"]])
        for uid, part in by.items():
            self.hub.send(uid=uid, kind=Kind.ORDER, body={"g": self.g, "n": self.rep.base, "x": part})
        if late:
            self.void(rows=late)

    # -- time

    def tick(self) -> None:
        """Called several times a second while serving."""
        now = self.hub.now
        for rid, ask in list(self.asks.items()):
            if now - ask.at > ASK_S:
                del self.asks[rid]
                if ask.gang is not None:
                    self.gangs.granted(ask=ask, rows=[])
                self.dirty = True
        self.release(self.pool.expire(now=now))
        wall = self.hub.wall * 1000
        for jid in list(self.timed):
            job = self.jobs.jobs[jid]
            while job["k"] < job["times"] and wall >= job["first"] + job["k"] * job["period"] and len(job["open"]) < 64:
                self.effects(self.rep.commit(ev={"t": "due", "id": jid, "k": job["k"]}))
            if job["k"] >= job["times"]:
                self.timed.discard(jid)
        if now - self.swept > SWEEP_S:
            self.swept = now
            self._sweep()
        self.dirty = self.dirty or bool(self.ready)
        self.pump()

    def _sweep(self) -> None:
        now = self.hub.now
        old = [jid for jid, at in self.over.items() if now - at > self.status_s * 1.25]
        ids = [jid for jid in old if "u" not in self.jobs.jobs.get(jid, {})]
        for jid in ids:
            del self.over[jid]
        if ids:
            self.rep.commit(ev={"t": "forget", "ids": ids})
        again = []
        for mid, held in self.jobs.on.items():
            for jid, key, i in held:
                job = self.jobs.jobs[jid]
                if job["st"] in ENDED:
                    again.append([mid, task_name(jid=jid, unit=key, idx=i), job["u"][key]["r"][i]])
        if again:
            self.stops(again)
