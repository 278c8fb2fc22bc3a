"""What the primary of group 0 does besides keeping records: counts agents in, gives out minions, enrols cores."""

from typing import TYPE_CHECKING, Any

from ..agent.choice import rack
from ..record.epoch import addr_of
from ..wire.frame import Kind

if TYPE_CHECKING:
    from .hub import CoreHub

LEASE_S = 1.5                       # how long one word of the chief lets an agent act
DEAD_S = LEASE_S * 1.05 + 0.3       # silence after which its minions go to others
DROP_S = 30.0


class Chief:
    """Volatile; one lives while this node serves group 0. Invariant: a minion is given to another agent only once
    the former agent's word from any chief has run out."""

    def __init__(self, *, node: "CoreHub", late: str) -> None:
        self.node = node
        now = node.now
        # `late`: the primary before this one, whose agent acted on that duty's promise alone, which has run out.
        self.last: dict[str, float] = {u: now for u in {*node.reg.members, *self._owners()} if u != late}
        self.boots: dict[str, int] = {}
        self.pending: dict[str, list[tuple[str, int]]] = {}

    def _owners(self) -> set[str]:
        return {row["o"] for row in self.node.reg.minions.values()}

    def live(self, *, uid: str) -> bool:
        """Counted in and heard of lately."""
        return uid == self.node.uid or self.node.now - self.last.get(uid, -9.0) < LEASE_S * 0.6

    def dead(self, *, uid: str) -> bool:
        """Its word has run out."""
        return uid != self.node.uid and self.node.now - self.last.get(uid, -99.0) > DEAD_S

    def heart(self, *, b: dict[str, Any]) -> dict[str, Any]:
        """A core's heart: enrol it, renew its word, tell it what it owns."""
        node, uid = self.node, b["u"]
        if b["kind"] != "core":
            return {}
        if uid not in node.reg.members:
            old = [u for u in node.reg.members if addr_of(uid=u) == addr_of(uid=uid)]
            for gone in old:
                node.commit0(ev={"t": "drop", "uid": gone})
            info = {k: b[k] for k in ("site", "name", "ctl")}
            node.commit0(ev={"t": "enrol", "uid": uid, "info": info}, news=True)
            node.note(event="core-enrolled", uid=uid, replaces=",".join(old))
        was = self.last.get(uid)
        if was is None or self.dead(uid=uid):
            self._move(owner=uid)
        self.last[uid] = node.now
        if self.boots.get(uid) not in (None, b["boot"]):
            self._renew(uid=uid)
        self.boots[uid] = b["boot"]
        have = {mid: f for mid, f in b.get("own", [])}
        mine = {mid: row for mid, row in node.reg.minions.items() if row["o"] == uid}
        give = [[mid, row["f"], row] for mid, row in mine.items() if have.get(mid, 0) < row["f"]]
        drop = [mid for mid in have if mid not in mine]
        return {"lease": True, "own": give, "dis": drop}

    def _renew(self, *, uid: str) -> None:
        """A core's process began anew: its minions get new fences."""
        rows = [[mid, uid, {}] for mid, row in self.node.reg.minions.items() if row["o"] == uid]
        if rows:
            self.node.commit0(ev={"t": "own", "ms": rows})

    def select(self, *, site: str, labels: list[str]) -> str:
        """The agent for a minion: in its site, where its rack already is, else the least loaded."""
        node = self.node
        live = [u for u in node.reg.members if self.live(uid=u)] or [node.uid]
        near = [u for u in live if node.reg.members.get(u, {}).get("site") == site] or live
        load: dict[str, int] = {u: 0 for u in near}
        mates: dict[str, int] = {}
        name = rack(labels=labels)
        for row in node.reg.minions.values():
            if row["o"] in load:
                load[row["o"]] += 1
                if name and row.get("labels") and rack(labels=row["labels"]) == name and row.get("site") == site:
                    mates[row["o"]] = mates.get(row["o"], 0) + 1
        pool = [u for u in near if u in mates] or near
        return min(pool, key=lambda u: (load[u], u))

    def who(self, *, uid: str, rid: int, b: dict[str, Any]) -> None:
        """Which agent holds a minion; a new one gets an owner."""
        row = self.node.reg.minions.get(b["m"])
        if row is None:
            owner = self.select(site=b["site"], labels=b["labels"])
            info = {k: b[k] for k in ("site", "svc", "labels")}
            self.node.commit0(ev={"t": "own", "ms": [[b["m"], owner, info]]}, then=("owned", b["m"]))
        else:
            owner = row["o"]
        self.node.reps[0].barrier(then=("reply", uid, rid, 200, {"o": owner}))

    def owned(self, *, mid: str) -> None:
        """An ownership is durable: tell the owner."""
        row = self.node.reg.minions.get(mid)
        if row is not None:
            self.node.send(uid=row["o"], kind=Kind.HEARTOK, body={"own": [[mid, row["f"], row]]})

    def _move(self, *, owner: str) -> None:
        """Give a dead agent's minions to live ones."""
        node = self.node
        rows = []
        for mid, row in node.reg.minions.items():
            if row["o"] == owner:
                rows.append([mid, self.select(site=row.get("site", ""), labels=row.get("labels", [])), {}])
        if rows:
            node.note(event="minions-moved", owner=owner, count=len(rows))
            node.commit0(ev={"t": "own", "ms": rows}, then=("owned-all",))

    def tick(self) -> None:
        """Look for agents whose word has run out."""
        node = self.node
        for uid in sorted(self._owners()):
            if self.dead(uid=uid):
                self._move(owner=uid)
        for uid in list(node.reg.members):
            if uid != node.uid and node.now - self.last.get(uid, node.now) > DROP_S:
                node.commit0(ev={"t": "drop", "uid": uid}, news=True)
                node.note(event="core-dropped", uid=uid)
