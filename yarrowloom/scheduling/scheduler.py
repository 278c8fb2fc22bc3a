"""The placing node of one job group: takes groups from the queue, runs their cycles, binds or puts them back."""

import heapq
import math
from typing import Any

from ..common.defaults import Defaults
from ..jobs.model import WAITING, JobState, Unit
from ..jobs.task_name import parse_task_name
from ..prediction import History, kind_key
from . import scheduling_cycle as cycle
from .admission import Admission
from .job_queue import STOP_AGAIN_S
from .lease_cache import Held
from .pod_group import Group, Phase, Walk
from .preemption import AFTER_S, NOMINATE_AFTER_S
from .scheduling_cycle import Ask, Decision
from .warm_capacity import Warmer

PASS_S = 0.008  # slices of passes are at least this far apart
CYCLE_COST_S = 0.0003  # what a cycle takes, with what follows from it,
LOOK_COST_S = 2e-6  # and a visit of an index entry: a slice is followed by as much time for everything else
LOOKS = 400  # groups looked at in one slice of a pass
CYCLES = 24  # cycles run in one slice
VISITS = 3000  # index entries visited in one slice
DUE = 32  # ends of backoff taken up in one slice
BATCH = 256  # members of a group without a gang placed in one cycle
SWEEP_S = 1.0
TELL_S = 60.0
BLOCK_S = 0.1  # work that has waited this long keeps what comes after it off its room
BLOCK_MOST_S = 8.0  # if it finds no room even so long, it stops holding others back
BAR_S = 4.0  # a group keeps off minions on which a member failed at least this long
SILENT_S = 0.9  # rows of room from an agent silent this long, over twice its usual pause, no longer count


class Placer(Admission):
    """Invariants: the work of one slice is bounded by LOOKS, CYCLES and VISITS, whatever waits; a pass goes on where it
    stopped; slices take no more than half of the time, by what they are known to cost, whoever asks for them.
    """

    def __init__(self, *, defaults: Defaults, history: History, **kw: Any) -> None:
        self.history = history
        self.walks: dict[str, Walk] = {}
        self.holding: dict[str, dict[tuple[str, int], dict[tuple[str, str], float]]] = {}
        self.next_slice = -9.0
        self.cycles = 0
        self.failed = 0
        super().__init__(**kw)
        self.swept = self.told = self.environment.now
        self.warmer = Warmer(table=self.room, past=history, row=defaults["warm"])

    # -- passes

    def pump(self) -> None:
        """One slice of placing, if one is due."""
        now = self.environment.now
        if now < self.next_slice or not self.replica.is_serving():
            return
        cycles, looks = self.cycles, self.room.looks
        self.nominator.sweep(now=now)
        for group in self.backlog.due(now=now)[:DUE]:
            self._requeue(group=group)
        for service, sizes in self.room.take_grown().items():
            self.walks.setdefault(service, Walk()).grow(sizes=sizes)
        for service in sorted(self.backlog.active.keys() | self.walks.keys()):
            self._slice(service=service)
        took = (self.cycles - cycles) * CYCLE_COST_S + (self.room.looks - looks) * LOOK_COST_S
        self.next_slice = now + max(PASS_S, 2 * took)

    def _requeue(self, *, group: Group) -> None:
        """Its backoff is over: its place may have changed."""
        prio, _ = self.prio(job_id=group.job_id, key=group.key, seen=group.seen)
        self.backlog.wake(group=group)
        self.backlog.rekey(group=group, prio=prio, service=group.service)

    def _slice(self, *, service: str) -> None:
        walk = self.walks.setdefault(service, Walk())
        walk.begin(top=self._tops(service=service))
        walk.looks = LOOKS
        most = self.room.looks + VISITS
        for _ in range(CYCLES):
            group = self.backlog.pop(service=service, walk=walk) if self.room.looks < most else None
            if group is None:
                return
            self._turn(group=group, walk=walk)

    def _tops(self, *, service: str) -> dict[str, int]:
        """By label, the earliest rank of groups that hold their room against later ranks."""
        out: dict[str, int] = {}
        for (req, rank), units in sorted(self.holding.get(service, {}).items()):
            while units and req not in out:
                unit, until = next(iter(units.items()))
                group = self.backlog.groups.get(unit)
                if group is None or group.phase is Phase.BOUND or self.environment.now > until or group.rank != rank:
                    del units[unit]
                else:
                    out[req] = rank
        return out

    def _turn(self, *, group: Group, walk: Walk) -> None:
        """A group's cycle, and what follows from it."""
        job = self.jobs.jobs[group.job_id]
        unit = job.units[group.key]
        members = [i for i in unit.indices(state=WAITING) if i not in group.out]
        if not members or (group.gang and unit.has_running_task()):
            self.backlog.bind(group=group)
            return
        if self.environment.wall_now > group.late_at and not group.prio[0]:
            prio, _ = self.prio(job_id=group.job_id, key=group.key, seen=group.seen)
            self.backlog.rekey(group=group, prio=prio, service=group.service)
        waited = self.environment.now - group.since
        patient = (
            bool(group.near)
            and waited < min(group.est, 4000) / 2000 * (self.far - 1)
            and bool(self.room.labelled(service=group.service, label=group.near))
        )
        if walk.hopeless(group):
            decision = Decision(placed=[], feasible=False, fit=0, refused={"as-before": len(members)})
        else:
            decision = self._cycle(group=group, members=members, unit=unit, walk=walk, strict=patient)
        if decision.feasible:
            group.tries = 0
            self.holding.get(group.service, {}).get((group.req, group.rank), {}).pop((group.job_id, group.key), None)
            self.bind(group=group, decision=decision)
            if group.phase is Phase.TURN:
                if len(members) > len(decision.placed):
                    self.backlog.wake(group=group)
                else:
                    self.backlog.bind(group=group)
            return
        self._fail(group=group, decision=decision, waited=waited, patient=patient, n=len(members), walk=walk)

    def _cycle(self, *, group: Group, members: list[int], unit: Unit, walk: Walk, strict: bool) -> Decision:
        self.cycles += 1
        shun = tuple(sorted(req for req, top in walk.top.items() if req and top < group.rank))
        off = self.nominator.off(group=group)
        there = self._there(group=group) if group.apart else {}
        sore = frozenset(group.sore)
        ask = Ask(
            service=group.service,
            size=group.size,
            members=members if group.gang else members[:BATCH],
            need=len(members) if group.gang else 1,
            req=group.req,
            near=group.near,
            strict=strict,
            tight=group.gang and group.tight,
            apart=group.apart,
            there=there,
            shun=shun,
            off=off,
            sore=sore,
            bar=bool(sore) and self.environment.now - group.since < BAR_S,
            now=self.environment.now,
            rank=group.rank,
        )
        if self.warmer.kept and not group.gang:
            job = self.jobs.jobs[group.job_id]
            step = job.step_of(unit_key=group.key)
            ask.upper_s = (
                self.history.times(q=job.queue, step=step).p95 / 1000 if not step.is_long_running else math.inf
            )
        elif self.warmer.kept:
            ask.upper_s = math.inf
        decision = cycle.run(room=self.room, ask=ask)
        if (
            not decision.feasible
            and ask.tight
            and self.environment.now - group.since > min(group.est, 6000) / 1000 * (self.far - 1)
        ):
            ask.tight = False
            decision = cycle.run(room=self.room, ask=ask)
        if decision.fit == 0 and not (strict or ask.tight or shun or off or group.apart or group.near):
            walk.note(size=group.size, req=group.req)
        return decision

    def _fail(self, *, group: Group, decision: Decision, waited: float, patient: bool, n: int, walk: Walk) -> None:
        """Nothing binds. Preemption for the whole group, then backoff."""
        self.failed += 1
        why = " ".join(f"{k}:{v}" for k, v in sorted(decision.refused.items())) or "no-minion"
        group.why = f"{decision.fit}/{n} {why}"
        self.environment.trace(
            event="cycle-failed",
            id=group.job_id,
            unit=group.key,
            rank=group.rank,
            waited=round(waited, 2),
            fit=decision.fit,
            members=n,
            why=why,
        )
        could = self.room.could(service=group.service, size=group.size, req=group.req, n=n if group.gang else 1)
        if group.never is could:
            group.never = not could
            self.weigh(group=group)
        if not could:
            group.why += " never: no minions known could hold it"
        late = group.prio[0]
        if not late and waited > AFTER_S and not group.gang:
            self._preempt(
                rows=self.preemptor.choose(group=group, n=n, strict=patient, now=self.environment.now),
                service=group.service,
                note=group.service,
            )
        if group.gang and not late and waited > NOMINATE_AFTER_S:
            nom = self.nominator.nominate(group=group, n=n, now=self.environment.now)
            if nom is not None:
                self._preempt(
                    rows=self.preemptor.on(minion_ids=nom.minion_ids, service=group.service, rank=group.rank),
                    service=group.service,
                    note="",
                )
                self.environment.trace(
                    event="minions-nominated", id=group.job_id, unit=group.key, n=n, minions=len(nom.minion_ids)
                )
        if not late and not patient and not group.gang and BLOCK_S <= waited < BLOCK_MOST_S and could:
            units = self.holding.setdefault(group.service, {}).setdefault((group.req, group.rank), {})
            units[group.job_id, group.key] = group.since + BLOCK_MOST_S
            walk.top[group.req] = min(walk.top.get(group.req, group.rank), group.rank)
        self.backlog.park(group=group, now=self.environment.now)

    def _preempt(self, *, rows: list[Any], service: str, note: str) -> None:
        if rows:
            self.stops(self.preemptor.stop(victims=rows, service=note, now=self.environment.now))
            self.environment.note(event="pushed-out", runs=len(rows), service=service)

    # -- time

    def tick(self) -> None:
        """Called several times a second while serving."""
        now = self.environment.now
        if self.warmer.on:
            self.warmer.tick(
                now=now,
                wall_now=self.environment.wall_now,
                ranks=self.environment.ranks(),
                shut=self.environment.evacuations(),
            )
        if self.warmer.on and now - self.told > TELL_S:
            self.told = now
            row = self.warmer.report()
            self.environment.note(
                event="warm", **{k: row[k] for k in ("hits", "misses", "gone", "cold", "core-s-held")}
            )
        self.give_up()
        for node_id in self.room.silent(now=now, after=SILENT_S):
            self.silence(node_id=node_id)
        self.release(self.pool.expire(now=now))
        wall_now = self.environment.wall_now * 1000
        while self.timed and self.timed[0][0] <= wall_now:
            _, job_id = heapq.heappop(self.timed)
            job = self.jobs.jobs.get(job_id)
            if job is None or job.has_ended or job.next_run >= job.repeat_count:
                continue
            if len(job.open_runs) >= 64:
                heapq.heappush(self.timed, (wall_now + 200.0, job_id))
                continue
            if wall_now >= job.first_run_ms + job.next_run * job.period_ms:
                self.effects(self.replica.commit(event={"t": "due", "id": job_id, "k": job.next_run}))
            if job.next_run < job.repeat_count:
                self._timed(job_id=job_id)
        if now - self.swept > SWEEP_S:
            self.swept = now
            self._sweep()
        self.pump()

    def _sweep(self) -> None:
        now = self.environment.now
        for service, victim in self.preemptor.crawling(now=now):
            parts = parse_task_name(victim.task)
            group = self.backlog.groups.get(parts[:2]) if parts is not None else None
            if group is not None:
                group.sore.add(victim.minion_id)
            self.stops(self.preemptor.stop(victims=[victim], service="", now=now))
            self.environment.note(event="crawls", task=victim.task, minion=victim.minion_id, service=service)
        ids = []
        while self.over and now - self.over[0][0] > self.status_s * 1.25:
            at, job_id = self.over.popleft()
            job = self.jobs.jobs.get(job_id)
            if job is not None and not job.is_trimmed:
                self.over.append((now, job_id))
            else:
                ids.append(job_id)
        if ids:
            self.replica.commit(event={"t": "forget", "ids": ids})
        for task, held in list(self.held.items()):  # of a gang's member that is done by another's end, say
            spot = self.room.spots.get(held.minion_id)
            if spot is None or spot.seq != held.seq:
                del self.held[task]
        again = []
        for task, (minion_id, run, told) in list(self.halting.items()):
            if now - told > STOP_AGAIN_S:
                self.halting[task] = (minion_id, run, now)
                again.append([minion_id, task, run])
        if again:
            self.stops(again)

    def start(self, *, group: Group, batch: list[tuple[int, Held]]) -> None:
        """Record starts; a job's first ones use up its warm room."""
        if self.warmer.on and group.key.startswith("0."):
            job = self.jobs.jobs[group.job_id]
            if job.state is JobState.PENDING:
                self.warmer.started(
                    queue=job.queue,
                    kind=kind_key(q=job.queue, steps=job.steps),
                    now=self.environment.now,
                    wait_ms=self.environment.wall_now * 1000 - job.accepted_at_ms,
                )
        super().start(group=group, batch=batch)

    # -- for the operator

    def explain(self, *, job_id: str) -> list[dict[str, Any]]:
        """Why each group of a job waits."""
        out = []
        for key in sorted(self.backlog.of.get(job_id, ())):
            group = self.backlog.groups[job_id, key]
            before = sum(
                other.prio < group.prio
                and other.service == group.service
                and other.phase in (Phase.ACTIVE, Phase.PARKED)
                for other in self.backlog.groups.values()
            )
            out.append(
                {
                    "group": f"{job_id}.{key}",
                    "phase": group.phase.value,
                    "members-waiting": group.load,
                    "binding": len(group.out),
                    "rank": group.rank,
                    "before": before,
                    "cycles-failed": group.tries,
                    "last": group.why,
                    "waited-s": round(self.environment.now - group.since, 2),
                }
            )
        return out

    def figures(self) -> dict[str, Any]:
        """How the queue stands."""
        phases: dict[str, int] = {}
        for group in self.backlog.groups.values():
            phases[group.phase.value] = phases.get(group.phase.value, 0) + 1
        return {
            "groups": phases,
            "cycles": self.cycles,
            "failed": self.failed,
            "asks": len(self.asks),
            "pushed-out": self.preemptor.total,
            "live-jobs": self.live,
            "nominated": sum(len(n.minion_ids) for n in self.nominator.by.values()),
            "warm": self.warmer.report(),
            "expected-wait-ms": {
                service: round(self.expected(service=service, rank=9)) for service in self.room.shelves
            },
        }
