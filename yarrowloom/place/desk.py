"""The desk of a placing node: what events, edges and agents bring; the placing itself is in `placer`."""

from typing import Any, Protocol

from ..job.state import ENDED, RUN, WAIT, Jobs, split_name, task_name
from ..record.replica import Replica
from ..wire.frame import Kind
from .leases import Ask, Held, Link, Pool, Shape

LIVE_MOST = 5000      # jobs in hand; what comes beyond is refused at once and never runs


class PlacerHub(Protocol):
    """What a placing node needs of its node."""

    now: float
    wall: float
    uid: str

    def send(self, *, uid: str, kind: Kind, body: dict[str, Any]) -> None:
        """To another node, or to itself."""

    def route(self, *, name: str) -> dict[str, Any] | None:
        """The queue's route in the newest configuration."""

    def reply(self, *, uid: str, rid: int, status: int, doc: Any) -> None:
        """Answer a call."""

    def note(self, *, event: str, **fields: object) -> None:
        """Log."""

    def trace(self, *, event: str, **fields: object) -> None:
        """Log in detail."""


class Desk:
    """Invariants: a start is durable before its order leaves; a unit is in `ready` exactly if it has a task to
    start; every task that is RUN is held by the link of its minion or awaits that minion's next attachment."""

    def __init__(self, *, g: int, hub: PlacerHub, rep: Replica, jobs: Jobs, far: float, status_s: float) -> None:
        self.g = g
        self.hub = hub
        self.rep = rep
        self.jobs = jobs
        self.far = far
        self.status_s = status_s
        self.links: dict[str, Link] = {}
        self.pool = Pool()
        self.ready: dict[tuple[str, str], float] = {}
        self.timed: set[str] = set()
        self.over: dict[str, float] = {}
        self.asks: dict[int, Ask] = {}
        self.held: dict[str, Held] = {}
        self.shut: dict[Shape, float] = {}
        self.rid = 0
        self.seq = 0
        self.swept = hub.now
        self.dirty = True
        for jid, job in jobs.jobs.items():
            self._adopt(jid=jid, job=job)

    def _adopt(self, *, jid: str, job: dict[str, Any]) -> None:
        if job["st"] in ENDED:
            self.over[jid] = self.hub.now
            return
        if job["times"] and job["k"] < job["times"]:
            self.timed.add(jid)
        for key, unit in job["u"].items():
            if unit["left"] and self._turn(job=job, key=key) and WAIT in unit["s"]:
                self.ready[jid, key] = self.hub.now

    def _turn(self, *, job: dict[str, Any], key: str) -> bool:
        k, s = key.split(".")
        step = job["steps"][int(s)]
        if any(job["u"][f"{k}.{d}"]["left"] for d in step["deps"]):
            return False
        return not (step["gang"] and RUN in job["u"][key]["s"])

    def tries(self, *, job: dict[str, Any]) -> int:
        """The queue's limit on failed runs."""
        route = self.hub.route(name=job["q"])
        return int(route.get("max-tries", 1)) if route is not None else int(job["mt"])

    # -- effects of events

    def effects(self, effs: list[tuple[Any, ...]]) -> None:
        """Take note of what events brought about."""
        stops = []
        for eff in effs:
            kind = eff[0]
            if kind == "ready":
                self.ready.setdefault((eff[1], eff[2]), self.hub.now)
            elif kind == "stop":
                stops.append(eff[1:])
            elif kind == "over":
                self.over[eff[1]] = self.hub.now
                job = self.jobs.jobs[eff[1]]
                self.hub.trace(event="job-end", id=eff[1], queue=job["q"], state=job["st"],
                               ms=int(self.hub.wall * 1000) - job["at"])
                self.timed.discard(eff[1])
                for key in [k for k in self.ready if k[0] == eff[1]]:
                    del self.ready[key]
            elif kind == "timed":
                self.timed.add(eff[1])
        if stops:
            self.rep.barrier(then=("stops", self.g, stops))
        self.dirty = True

    def stops(self, rows: list[Any]) -> None:
        """Tell agents to stop runs."""
        by: dict[str, list[Any]] = {}
        for mid, task, run in rows:
            link = self.links.get(mid)
            if link is not None:
                by.setdefault(link.agent, []).append([mid, task, run])
        for uid, part in by.items():
            self.hub.send(uid=uid, kind=Kind.STOP, body={"g": self.g, "x": part})

    # -- calls of edges

    def call(self, *, uid: str, rid: int, op: str, b: dict[str, Any]) -> None:
        """A caller's request; the answer waits until what it rests on is durable."""
        jid = b.get("id", "")
        job = self.jobs.jobs.get(jid)
        if op == "put":
            if job is None and len(self.jobs.jobs) - len(self.over) >= LIVE_MOST:
                self.hub.reply(uid=uid, rid=rid, status=429, doc={"error": "too many jobs in hand"})
                return
            if job is None:
                now = self.hub.wall
                ev = {"t": "job", "id": jid, "j": {**b["j"], "q": b["q"], "at": int(now * 1000)}}
                self.effects(self.rep.commit(ev=ev, then=("reply", uid, rid, 200, {})))
                return
            self.rep.barrier(then=("reply", uid, rid, 200 if job["q"] == b["q"] else 409, {}))
        elif op == "count":
            self.rep.barrier(then=("reply", uid, rid, 200, {"pending": self.jobs.pending.get(b["q"], 0)}))
        elif job is None or job["q"] != b["q"]:
            self.rep.barrier(then=("reply", uid, rid, 410, {}))
        elif op == "get":
            self.rep.barrier(then=("reply", uid, rid, 200, {"state": job["st"]}))
        elif op == "del":
            if job["st"] in ENDED:
                self.rep.barrier(then=("reply", uid, rid, 200, {}))
            else:
                self.effects(self.rep.commit(ev={"t": "cancel", "id": jid}, then=("reply", uid, rid, 200, {})))

    # -- agents

    def claim(self, *, uid: str, b: dict[str, Any]) -> None:
        """An agent asks what this group has on its minions."""
        for mid, fence, svc, site, labels, _cap in b["x"]:
            link = self.links.get(mid)
            if link is not None and link.fence > fence:
                continue
            self.seq += 1
            self.links[mid] = Link(agent=uid, fence=fence, seq=self.seq, svc=svc, site=site, labels=labels)
            self.pool.forget(mid=mid)
            self.attach(mid=mid)

    def attach(self, *, mid: str) -> None:
        """Tell the agent what the record has on a minion."""
        link = self.links[mid]
        rows, ended = [], []
        for jid, key, i in sorted(self.jobs.on.get(mid, ())):
            job = self.jobs.jobs[jid]
            step, unit = job["steps"][int(key.split(".")[1])], job["u"][key]
            task = task_name(jid=jid, unit=key, idx=i)
            rows.append([task, unit["r"][i], step["cpu"], step["mem"], step["gpu"],
                         -1 if step["last"] else step["est"]])
            self.held.pop(task, None)
            if job["st"] in ENDED:
                ended.append([mid, task, unit["r"][i]])
        self.hub.send(uid=link.agent, kind=Kind.ATTACH, body={
            "g": self.g, "n": self.rep.base, "seq": link.seq, "m": mid, "f": link.fence, "x": rows})
        if ended:
            self.stops(ended)

    def gap(self, *, uid: str) -> None:
        """Frames from an agent were lost: attach its minions anew."""
        for mid, link in self.links.items():
            if link.agent == uid:
                self.seq += 1
                link.seq = self.seq
                self.pool.forget(mid=mid)
                self.attach(mid=mid)

    def void(self, *, rows: list[Any]) -> None:
        """Orders that never started: (minion, link seq or None, task, run)."""
        for mid, seq, task, run in rows:
            link, parts = self.links.get(mid), split_name(task=task)
            if parts is None or link is None or (seq is not None and seq != link.seq):
                continue
            held = self.held.pop(task, None)
            if held is not None:
                self.release([held])
            jid, key, i = parts
            job = self.jobs.jobs.get(jid)
            if job is None or "u" not in job or job["u"].get(key, {}).get("m", {}) == {}:
                continue
            unit = job["u"][key]
            if unit["s"][i] == RUN and unit["r"][i] == run and unit["m"][i] == mid:
                self.effects(self.rep.commit(ev={"t": "end", "id": jid, "u": key, "i": i, "run": run, "how": "void",
                                                 "v": "", "mt": 1}))

    def ends(self, *, uid: str, b: dict[str, Any]) -> None:
        """Ends that an agent passes on; acknowledged once durable."""
        free: list[Held] = []
        for _num, task, run, how, saved in b["x"]:
            parts = split_name(task=task)
            job = self.jobs.jobs.get(parts[0]) if parts is not None else None
            held = self.held.pop(task, None)
            self.gone(task=task, run=run)
            if parts is not None and job is not None and "u" in job:
                if how == "alone":
                    self.hub.note(event="gang-alone", task=task, run=run)
                ev = {"t": "end", "id": parts[0], "u": parts[1], "i": parts[2], "run": run, "how": how, "v": saved,
                      "mt": self.tries(job=job)}
                self.effects(self.rep.commit(ev=ev))
            if held is not None:
                free.append(held)
        rows = [[num, task, run] for num, task, run, _, _ in b["x"]]
        self.rep.barrier(then=("endsok", self.g, uid, b["m"], b["f"], rows))
        for held in free:     # after the acknowledgement, which frees the lease of its run
            self._idle(held=held)
        self.pump()

    def _idle(self, *, held: Held) -> None:
        link = self.links.get(held.mid)
        if link is None or link.seq != held.seq:
            return
        far = held.shape.near and held.shape.near not in link.labels
        if held.shape.unit or far:
            self.rep.barrier(then=("giveback", self.g, held.agent, held.mid, held.lid))
        else:
            self.pool.put(held=held, now=self.hub.now)

    def lost(self, *, uid: str, b: dict[str, Any]) -> None:
        """An agent declares a minion gone."""
        link = self.links.get(b["m"])
        if link is None or link.fence <= b["f"]:
            self.links.pop(b["m"], None)
            self.pool.forget(mid=b["m"])
            for jid, key, i in self.jobs.on.get(b["m"], ()):
                self.held.pop(task_name(jid=jid, unit=key, idx=i), None)
            self.effects(self.rep.commit(ev={"t": "lost", "m": b["m"], "x": None, "v": b["v"]}))
        self.rep.barrier(then=("send", uid, int(Kind.LOSTOK), {"g": self.g, "m": b["m"], "f": b["f"]}))

    def release(self, rows: list[Held]) -> None:
        """Give leases back."""
        by: dict[str, list[Any]] = {}
        for h in rows:
            by.setdefault(h.agent, []).append([h.mid, h.lid])
        for uid, part in by.items():
            self.hub.send(uid=uid, kind=Kind.RETURN, body={"g": self.g, "x": part})

    def gone(self, *, task: str, run: int) -> None:
        """A run is over."""
        raise NotImplementedError

    def pump(self) -> None:
        """Place what can be placed; the placer knows how."""
        raise NotImplementedError
