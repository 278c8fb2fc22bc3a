"""Binding: what a cycle decided becomes leases of the agents, then durable starts, then orders."""

from dataclasses import dataclass, field
from typing import Any

from ..jobs.model import RUNNING, WAITING
from ..jobs.task_name import task_name
from ..transport.envelope import Kind
from .capacity import Size
from .job_queue import Desk
from .lease_cache import Held
from .pod_group import Group, Phase
from .scheduling_cycle import Decision

ASK_S = 0.6
ASKS_PER_EPOCH = 1 << 32
MARK_S = 2.0  # an earmark for a gang lapses after this long at the agent
HOPS = 4


@dataclass(slots=True, kw_only=True)
class Attempt:
    """One binding of one group. Invariants: `plan` holds, by minion, the members not yet given a lease; a gang's
    `rows` start only once no ask is open and none was refused; else all go back.
    """

    group: Group
    need: int
    plan: dict[str, list[int]]
    rows: list[tuple[int, Held]] = field(default_factory=list)
    open: int = 0
    bad: bool = False


@dataclass(slots=True, kw_only=True)
class LeaseAsk:
    """A request to one agent that has not been answered. `on` is (minion, attachment, how many)."""

    request_id: int
    agent: str
    at: float
    size: Size
    attempt: Attempt
    on: list[tuple[str, int, int]]
    n: int
    been: list[str]


class Binding(Desk):
    """A grant answers an ask only if it has its number, which names the epoch too, and comes from the agent asked.

    Invariant: an order leaves only after its start is durable, and only if nothing came in between; the room's
    `fly` of a minion is the sum of the open asks on it.
    """

    def __init__(self, **kw: Any) -> None:
        self.asks: dict[int, LeaseAsk] = {}
        super().__init__(**kw)
        self.request_id = (
            self.replica.state_epoch * ASKS_PER_EPOCH
        )  # whoever places in another epoch numbers its asks otherwise

    def bind(self, *, group: Group, decision: Decision) -> None:
        """Cached leases serve at once, agents are asked for the rest, all in parallel: they answer at once, so no
        attempt ever waits for another's.
        """
        plan: dict[str, list[int]] = {}
        for idx, minion_id in decision.placed:
            plan.setdefault(minion_id, []).append(idx)
        att = Attempt(group=group, need=len(decision.placed), plan=plan)
        asks: dict[str, list[tuple[str, int, int]]] = {}
        back: list[Held] = []
        group.out.update(decision.placed)
        for minion_id, idxs in plan.items():
            spot = self.room.spots[minion_id]
            for held in self.pool.take(minion_id=minion_id, size=group.size, n=len(idxs)):
                att.rows.append((idxs.pop(), held))
            if idxs:
                bare = spot.view.plus(spot.owed).plus(spot.fly, -1)
                if not bare.holds(Size(0, 0, 0).plus(group.size, len(idxs))):
                    back += self.pool.clear(minion_id=minion_id)
                asks.setdefault(spot.agent, []).append((minion_id, spot.seq, len(idxs)))
        self.release(back)
        for node_id, on in sorted(asks.items()):
            for minion_id, _, n in on:
                self.room.reserve(spot=self.room.spots[minion_id], size=group.size, n=n)
            self._ask(att=att, agent=node_id, on=on, n=sum(n for _, _, n in on), been=[node_id])
        self._settle(att=att)

    def _ask(self, *, att: Attempt, agent: str, on: list[tuple[str, int, int]], n: int, been: list[str]) -> None:
        """Send a request for room: metadata only."""
        group = att.group
        avoid = self._there(group=group) if group.apart else {}
        for minion_id, _, k in on if group.apart else ():
            avoid[minion_id] -= k  # what is asked for now is not there yet
        self.request_id += 1
        att.open += 1
        self.asks[self.request_id] = LeaseAsk(
            request_id=self.request_id,
            agent=agent,
            at=self.environment.now,
            size=group.size,
            attempt=att,
            on=on,
            n=n,
            been=been,
        )
        body: dict[str, Any] = {
            "g": self.group_id,
            "rid": self.request_id,
            "svc": group.service,
            "cpu": group.size.cpu,
            "mem": group.size.mem,
            "gpu": group.size.gpu,
            "req": group.req,
            "near": group.near,
            "n": n,
            "been": been,
            "apart": group.apart,
            "avoid": avoid,
            "on": [[minion_id, k] for minion_id, _, k in on],
        }
        if group.gang:
            body.update(all=True, mark=MARK_S)
        self.environment.send(node_id=agent, kind=Kind.LEASE_REQUEST, body=body)

    def _there(self, *, group: Group) -> dict[str, int]:
        """Members that run or are on their way, by minion."""
        unit = self.jobs.jobs[group.job_id].units[group.key]
        out: dict[str, int] = {}
        for minion_id in group.out.values():
            out[minion_id] = out.get(minion_id, 0) + 1
        for i in unit.indices(state=RUNNING):
            out[unit.minion_ids[i]] = out.get(unit.minion_ids[i], 0) + 1
        return out

    def grant(self, *, node_id: str, b: dict[str, Any]) -> None:
        """An agent's decision, with what it has left on the minions asked for."""
        ask = self.asks.get(b["rid"])
        if ask is not None and ask.agent != node_id:
            ask = None
        if ask is not None:
            del self.asks[ask.request_id]
            self._landed(ask=ask)
        if b.get("r"):
            self.room.report(node_id=node_id, rows=b["r"], shut=[], now=self.environment.now)
        got: list[Held] = []
        size = ask.size if ask is not None else Size(*b["size"])
        for lease_id, minion_id, seq in b["x"]:
            spot = self.room.spots.get(minion_id)
            if spot is not None and spot.seq == seq:
                got.append(
                    Held(
                        agent=node_id,
                        minion_id=minion_id,
                        lease_id=lease_id,
                        seq=seq,
                        since=self.environment.now,
                        size=size,
                    )
                )
        if ask is None:
            self.release(got)
            return
        att = ask.attempt
        for held in got:
            idxs = att.plan.get(held.minion_id) or next((v for v in att.plan.values() if v), None)
            if idxs:
                att.rows.append((idxs.pop(), held))
            else:
                self.release([held])
        if len(got) < ask.n:
            if b["to"] and not att.group.gang and not att.group.apart and len(ask.been) < HOPS:
                self._ask(att=att, agent=b["to"], on=[], n=ask.n - len(got), been=[*ask.been, b["to"]])
            else:
                att.bad = True
        self._settle(att=att)
        self.pump()

    def silence(self, *, node_id: str) -> None:
        """An agent fell silent: what it told of its room counts no longer, and it is to tell all of it once it can."""
        self.room.close(node_id=node_id)
        self.environment.send(node_id=node_id, kind=Kind.CAPACITY_REPORT_REQUEST, body={"g": self.group_id})

    def _landed(self, *, ask: LeaseAsk) -> None:
        """An ask is answered or given up: its room no longer flies."""
        ask.attempt.open -= 1
        for minion_id, seq, n in ask.on:
            spot = self.room.spots.get(minion_id)
            if spot is not None and spot.seq == seq:
                self.room.reserve(spot=spot, size=ask.size, n=-n)

    def _settle(self, *, att: Attempt) -> None:
        """Start what may start; once nothing is open, what was refused waits again."""
        group = att.group
        live = group.phase is not Phase.GONE
        fresh = [(i, h) for i, h in att.rows if (s := self.room.spots.get(h.minion_id)) is not None and s.seq == h.seq]
        if not group.gang:
            att.rows = []
            if live and fresh:
                self.start(group=group, batch=fresh)
            else:
                self.release([h for _, h in fresh])
        if att.open:
            return
        if group.gang:
            rows, att.rows = att.rows, []
            if live and not att.bad and len(fresh) == att.need:
                self.start(group=group, batch=sorted(fresh, key=lambda r: r[0]))
            else:
                self.release([h for _, h in fresh])
                self.environment.trace(event="gang-put-off", id=group.job_id, unit=group.key, n=att.need, got=len(rows))
                att.bad = True
                group.out.clear()
        left = [i for idxs in att.plan.values() for i in idxs]
        for i in left:
            group.out.pop(i, None)
        if live and (att.bad or left):  # the snapshot was old
            if group.gang and group.phase is Phase.BOUND:
                self.backlog.wake(group=group)
                group.move(Phase.TURN)
                self.backlog.park(group=group, now=self.environment.now)
            else:
                self.backlog.wake(group=group)
        if live:
            self.weigh(group=group)

    def start(self, *, group: Group, batch: list[tuple[int, Held]]) -> None:
        """Record starts; the orders follow once durable."""
        job_id, key = group.job_id, group.key
        job = self.jobs.jobs[job_id]
        unit = job.units[key]
        top = max(unit.run_ids) if group.gang else 0
        x: list[tuple[int, int, str]] = []
        orders: list[Any] = []
        for i, held in batch:
            group.out.pop(i, None)
            if unit.task_states[i] is not WAITING:
                self.release([held])
                continue
            run = top + 1 if group.gang else unit.run_ids[i] + 1
            x.append((i, run, held.minion_id))
            self.held[task_name(job_id=job_id, unit_key=key, index=i)] = held
            orders.append([job_id, key, i, run, held])
        if not x:
            return
        self.environment.trace(
            event="start",
            id=job_id,
            unit=key,
            queue=job.queue,
            n=len(x),
            of=len(unit.task_states),
            est=group.est,
            wait=round(self.environment.now - group.since, 2),
            near=group.near,
            cycles=group.tries,
        )
        self.nominator.drop(unit=(job_id, key), now=self.environment.now)
        self.effects(
            self.replica.commit(
                event={"t": "start", "id": job_id, "u": key, "x": x, "at": int(self.environment.wall_now * 1000)},
                then=("orders", self.group_id, orders),
            )
        )
        for i in [row[0] for row in x]:
            self._began(job_id=job_id, key=key, i=i)
        self.weigh(group=group)

    def orders(self, rows: list[Any]) -> None:
        """Starts are durable: order them, unless something came in between."""
        by: dict[str, list[Any]] = {}
        specs: dict[str, dict[str, str]] = {}
        late = []
        for job_id, key, i, run, held in rows:
            job, spot = self.jobs.jobs.get(job_id), self.room.spots.get(held.minion_id)
            if job is None or job.is_trimmed or spot is None or spot.seq != held.seq:
                continue
            unit, step = job.units[key], job.step_of(unit_key=key)
            if not unit.is_running(index=i, run_id=run):
                continue
            if job.has_ended:
                late.append([held.minion_id, spot.seq, task_name(job_id=job_id, unit_key=key, index=i), run])
                continue
            by.setdefault(spot.agent, []).append(
                [
                    held.minion_id,
                    spot.seq,
                    held.lease_id,
                    task_name(job_id=job_id, unit_key=key, index=i),
                    run,
                    unit.saved_progress[0 if step.is_gang else i],
                    -1 if step.is_long_running else step.estimate_ms,
                ]
            )
            specs.setdefault(spot.agent, {})[job_id] = job.spec
        for node_id, part in by.items():
            self.environment.send(
                node_id=node_id,
                kind=Kind.TASK_ORDERS,
                body={"g": self.group_id, "n": self.replica.state_epoch, "sp": specs[node_id], "x": part},
            )
        if late:
            self.void(rows=late)

    def give_up(self) -> None:
        """Asks that were not answered in time count as refused. An agent that has said nothing since it was asked is
        asked no more until it is heard again: at high load its minions seem to be the only ones with room.
        """
        now = self.environment.now
        late: list[LeaseAsk] = []
        for ask in self.asks.values():
            if now - ask.at <= ASK_S:
                break
            late.append(ask)
        for node_id in sorted({ask.agent for ask in late if self.room.heard.get(ask.agent, ask.at) < ask.at}):
            self.silence(node_id=node_id)
        for ask in late:
            del self.asks[ask.request_id]
            self._landed(ask=ask)
            ask.attempt.bad = True
            self._settle(att=ask.attempt)
