"""The desk of a placing node: what events, edges and agents bring. Placing is in `placer`, binding in `binding`."""

import heapq
import math
from collections import deque
from typing import Any

from msgspec import UNSET

from ..cluster_state.routing_table import DEFAULT_RANK, DEFAULT_STRETCH, DEFAULT_TARGET_MS
from ..jobs.effects import JobEffect, JobEnded, JobTimed, StopTask, UnitReady
from ..jobs.model import RUNNING, WAITING, Job
from ..jobs.state_machine import Jobs
from ..jobs.task_name import parse_task_name, task_name
from ..replication.replica import Replica
from ..transport.envelope import Kind
from .capacity import Room, Size, Spot
from .environment import SchedulerEnvironment
from .lease_cache import Held, Pool
from .pod_group import Backlog, Group, Phase, Prio
from .preemption import CRAWL_S, CRAWL_X, Nominator, Preemptor, Victim

LIVE_MOST = 5000  # jobs in hand; what comes beyond is refused at once and never runs
LATE = 3.0  # past this many aims a job earns nothing any more
STOP_AGAIN_S = 1.0
AGAIN_S = 1.0  # a claim repeated sooner gets the same attachment once more


class Desk:
    """Invariants: a start is durable before its order leaves; a unit with a task to start has a group in `backlog`;
    every task that is RUNNING is held by the spot of its minion or awaits that minion's next attachment.
    """

    def __init__(
        self,
        *,
        group_id: int,
        environment: SchedulerEnvironment,
        replica: Replica,
        jobs: Jobs,
        far: float,
        status_s: float,
    ) -> None:
        self.group_id = group_id
        self.environment = environment
        self.replica = replica
        self.jobs = jobs
        self.far = far
        self.status_s = status_s
        self.room = Room()
        self.pool = Pool(room=self.room)
        self.backlog = Backlog()
        self.ranking: dict[str, tuple[Any, ...]] = {}  # by queue with a group: what its groups were ranked by
        self.preemptor = Preemptor(room=self.room)
        self.nominator = Nominator(room=self.room)
        self.held: dict[str, Held] = {}
        self.halting: dict[str, tuple[str, int, float]] = {}  # runs of ended jobs: minion, run, when told
        self.timed: list[tuple[float, str]] = []  # heap of (due wall ms, job)
        self.over: deque[tuple[float, str]] = deque()
        self.live = 0  # jobs that are not ended
        self.seq = 0
        for job_id, job in jobs.jobs.items():
            self._adopt(job_id=job_id, job=job)

    def _adopt(self, *, job_id: str, job: Job) -> None:
        if job.has_ended:
            self.over.append((self.environment.now, job_id))
        else:
            self.live += 1
            if job.repeat_count and job.next_run < job.repeat_count:
                self._timed(job_id=job_id)
        for key, unit in job.units.items():
            waits = not job.has_ended and unit.unfinished_tasks and WAITING in unit.task_states
            if waits and self._turn_has_come(job=job, key=key):
                self.enter(job_id=job_id, key=key)
            for i in unit.indices(state=RUNNING):
                self._began(job_id=job_id, key=key, i=i)

    def _timed(self, *, job_id: str) -> None:
        job = self.jobs.jobs[job_id]
        heapq.heappush(self.timed, (job.first_run_ms + job.period_ms * job.next_run, job_id))

    @staticmethod
    def _turn_has_come(*, job: Job, key: str) -> bool:
        k, s = key.split(".")
        step = job.steps[int(s)]
        if any(job.units[f"{k}.{d}"].unfinished_tasks for d in step.depends_on):
            return False
        return not (step.is_gang and job.units[key].has_running_task())

    def tries(self, *, job: Job) -> int:
        """The queue's limit on failed runs."""
        route = self.environment.route(name=job.queue)
        if route is not None:
            return route.max_attempts
        return job.max_attempts if job.max_attempts is not UNSET else 1

    def service(self, *, job: Job) -> str:
        """Where the queue's tasks run now."""
        route = self.environment.route(name=job.queue)
        return route.backend if route is not None else job.service

    def rank(self, *, job: Job) -> int:
        """The queue's rank; 0 goes first."""
        route = self.environment.route(name=job.queue)
        return route.rank if route is not None else DEFAULT_RANK

    # -- groups

    def aim(self, *, job: Job) -> float:
        """Milliseconds within which a job earns all its worth."""
        route = self.environment.route(name=job.queue)
        target_ms, stretch = (route.target_ms, route.stretch) if route else (DEFAULT_TARGET_MS, DEFAULT_STRETCH)
        chain = sum(s.estimate_ms for s in job.steps)
        return max(target_ms + stretch * chain, 500.0)

    def prio(self, *, job_id: str, key: str, seen: float) -> tuple[Prio, float]:
        """A group's place: what can still earn, the queue's rank, the latest start within the aim, first seen; and
        when (wall seconds) it can earn nothing any more.
        """
        job = self.jobs.jobs[job_id]
        k, at = key.split(".")
        base = job.first_run_ms + job.period_ms * int(k) if job.repeat_count else job.accepted_at_ms
        aim = self.aim(job=job)
        rest = sum(s.estimate_ms for s in job.steps[int(at) :])
        late_at = (base + LATE * aim) / 1000
        return (self.environment.wall_now > late_at, self.rank(job=job), base + aim - rest, seen, job_id, key), late_at

    def enter(self, *, job_id: str, key: str) -> None:
        """A group has a member to start: both are known now."""
        group = self.backlog.groups.get((job_id, key))
        now, job = self.environment.now, self.jobs.jobs[job_id]
        if job.has_ended:
            return
        if group is None:
            step = job.step_of(unit_key=key)
            prio, late_at = self.prio(job_id=job_id, key=key, seen=now)
            self.ranking.setdefault(job.queue, self._ranking(queue=job.queue))
            group = Group(
                job_id=job_id,
                key=key,
                service=self.service(job=job),
                size=Size(step.cpu_millicores, step.memory_mb, step.gpus),
                prio=prio,
                since=now,
                seen=now,
                req=step.required_label,
                near=step.preferred_label,
                gang=step.is_gang,
                tight=step.prefers_same_rack,
                apart=step.max_per_minion,
                est=step.estimate_ms,
                late_at=late_at,
            )
            shelf = self.room.shelves.get(group.service)
            group.never = (
                shelf is not None
                and shelf.count > 0
                and not self.room.could(
                    service=group.service, size=group.size, req=group.req, n=step.task_count if group.gang else 1
                )
            )
            self.backlog.add(group=group)
        elif group.phase is Phase.BOUND:
            group.since, group.tries = now, 0
            self.backlog.wake(group=group)
        self.weigh(group=group)

    def weigh(self, *, group: Group) -> None:
        """Count what of a group waits."""
        unit = self.jobs.jobs[group.job_id].units[group.key]
        n = unit.task_states.count(WAITING) - len(group.out)
        self.backlog.weigh(group=group, n=0 if group.never else n)

    def leave(self, *, job_id: str) -> None:
        """A job's groups are gone."""
        for key in list(self.backlog.of.get(job_id, ())):
            self.nominator.drop(unit=(job_id, key), now=self.environment.now)
            self.backlog.remove(job_id=job_id, key=key)

    def _ranking(self, *, queue: str) -> tuple[Any, ...]:
        """What a group's service and place in the order rest on; empty where the queue is no more."""
        route = self.environment.route(name=queue)
        return (route.backend, route.rank, route.target_ms, route.stretch) if route is not None else ()

    def configured(self) -> None:
        """A newer configuration: ranks, aims and services of some queues may differ; their groups move."""
        ranking = {queue: self._ranking(queue=queue) for queue in self.ranking}
        changed = {queue for queue, fields in ranking.items() if fields != self.ranking[queue]}
        self.ranking = ranking
        if not changed:
            return
        for (job_id, key), group in list(self.backlog.groups.items()):
            if self.jobs.jobs[job_id].queue not in changed:
                continue
            prio, group.late_at = self.prio(job_id=job_id, key=key, seen=group.seen)
            self.backlog.rekey(group=group, prio=prio, service=self.service(job=self.jobs.jobs[job_id]))

    # -- effects of events

    def effects(self, effects: list[JobEffect]) -> None:
        """Take note of what events brought about."""
        stops = []
        for effect in effects:
            match effect:
                case UnitReady():
                    self.enter(job_id=effect.job_id, key=effect.unit_key)
                case StopTask():
                    stops.append((effect.minion_id, effect.task, effect.run_id))
                    if self.jobs.jobs[effect.job_id].has_ended:
                        self.halting[effect.task] = (effect.minion_id, effect.run_id, self.environment.now)
                case JobEnded():
                    self._ended(job_id=effect.job_id)
                case JobTimed():
                    self._timed(job_id=effect.job_id)
        if stops:
            self.replica.barrier(then=("stops", self.group_id, stops))

    def _ended(self, *, job_id: str) -> None:
        self.over.append((self.environment.now, job_id))
        self.live -= 1
        job = self.jobs.jobs[job_id]
        self.environment.trace(
            event="job-end",
            id=job_id,
            queue=job.queue,
            state=job.state.value,
            ms=int(self.environment.wall_now * 1000) - job.accepted_at_ms,
        )
        self.leave(job_id=job_id)

    def stops(self, rows: list[Any]) -> None:
        """Tell agents to stop runs."""
        by: dict[str, list[Any]] = {}
        for minion_id, task, run in rows:
            spot = self.room.spots.get(minion_id)
            if spot is not None:
                by.setdefault(spot.agent, []).append([minion_id, task, run])
        for node_id, part in by.items():
            self.environment.send(node_id=node_id, kind=Kind.STOP_TASKS, body={"g": self.group_id, "x": part})

    # -- agents

    def claim(self, *, node_id: str, b: dict[str, Any]) -> None:
        """An agent asks what this group has on its minions."""
        for minion_id, fence, service, zone, labels, cap in b["x"]:
            spot = self.room.spots.get(minion_id)
            if spot is not None and spot.fence > fence:
                continue
            if (
                spot is not None
                and spot.fence == fence
                and spot.agent == node_id
                and self.environment.now - spot.since < AGAIN_S
            ):
                self.attach(spot=spot)  # a repeat: what left under this attachment stays good
                continue
            self.seq += 1
            self.pool.forget(minion_id=minion_id)
            self.room.attach(
                spot=Spot(
                    minion_id=minion_id,
                    agent=node_id,
                    fence=fence,
                    seq=self.seq,
                    service=service,
                    zone=zone,
                    labels=tuple(labels),
                    cap=Size(*cap),
                    since=self.environment.now,
                )
            )
            self.attach(spot=self.room.spots[minion_id])

    def attach(self, *, spot: Spot) -> None:
        """Tell the agent what the record has on a minion."""
        rows, ended = [], []
        for job_id, key, i in sorted(self.jobs.running_by_minion.get(spot.minion_id, ())):
            job = self.jobs.jobs[job_id]
            step, unit = job.step_of(unit_key=key), job.units[key]
            task = task_name(job_id=job_id, unit_key=key, index=i)
            lasts_ms = -1 if step.is_long_running else step.estimate_ms
            rows.append([task, unit.run_ids[i], step.cpu_millicores, step.memory_mb, step.gpus, lasts_ms])
            self.held.pop(task, None)
            if job.has_ended:
                ended.append([spot.minion_id, task, unit.run_ids[i]])
        self.environment.send(
            node_id=spot.agent,
            kind=Kind.ATTACH_MINION,
            body={
                "g": self.group_id,
                "n": self.replica.state_epoch,
                "seq": spot.seq,
                "m": spot.minion_id,
                "f": spot.fence,
                "x": rows,
            },
        )
        if ended:
            self.stops(ended)

    def gap(self, *, node_id: str) -> None:
        """Frames from an agent were lost: attach its minions anew, and have it tell all its room."""
        for minion_id in sorted(self.room.of.get(node_id, ())):
            self.seq += 1
            self.pool.forget(minion_id=minion_id)
            self.room.attach(spot=self.room.spots[minion_id].attached_anew(seq=self.seq, now=self.environment.now))
            self.attach(spot=self.room.spots[minion_id])
        self.environment.send(node_id=node_id, kind=Kind.CAPACITY_REPORT_REQUEST, body={"g": self.group_id})

    def void(self, *, rows: list[Any]) -> None:
        """Orders that never started: (minion, attachment or None, task, run)."""
        for minion_id, seq, task, run in rows:
            spot, parts = self.room.spots.get(minion_id), parse_task_name(task)
            if parts is None or spot is None or (seq is not None and seq != spot.seq):
                continue
            held = self.held.pop(task, None)
            if held is not None:
                self.release([held])
            job_id, key, i = parts
            job = self.jobs.jobs.get(job_id)
            if job is None or key not in job.units:
                continue
            unit = job.units[key]
            if unit.is_running(index=i, run_id=run) and unit.minion_ids[i] == minion_id:
                self._gone(task=task, run=run)
                self.effects(
                    self.replica.commit(
                        event={"t": "end", "id": job_id, "u": key, "i": i, "run": run, "how": "void", "v": "", "mt": 1}
                    )
                )

    def ends(self, *, node_id: str, b: dict[str, Any]) -> None:
        """Ends that an agent passes on; acknowledged once durable."""
        for _num, task, run, how, saved in b["x"]:
            parts = parse_task_name(task)
            job = self.jobs.jobs.get(parts[0]) if parts is not None else None
            held = self.held.pop(task, None)
            if parts is not None and job is not None and not job.is_trimmed:
                self._judge(minion_id=b["m"], job=job, parts=parts, run=run, how=how)
                event = {
                    "t": "end",
                    "id": parts[0],
                    "u": parts[1],
                    "i": parts[2],
                    "run": run,
                    "how": how,
                    "v": saved,
                    "mt": self.tries(job=job),
                    "at": int(self.environment.wall_now * 1000),
                }
                self._gone(task=task, run=run)
                self.effects(self.replica.commit(event=event))
            if held is not None:
                self.pool.put(held=held, now=self.environment.now)
        rows = [[num, task, run] for num, task, run, _, _ in b["x"]]
        self.replica.barrier(then=("endsok", self.group_id, node_id, b["m"], b["f"], rows))
        self.pump()

    def _judge(self, *, minion_id: str, job: Job, parts: tuple[str, str, int], run: int, how: str) -> None:
        """What an end tells of its minion."""
        if how == "alone":
            self.environment.note(event="gang-alone", task=".".join(map(str, parts)), run=run)
        unit = job.units.get(parts[1])
        if unit is None or not unit.is_running(index=parts[2], run_id=run):
            return
        if how == "done":
            self.room.worked(minion_id=minion_id)
        elif how == "failed" and (group := self.backlog.groups.get((parts[0], parts[1]))) is not None:
            group.sore.add(minion_id)
        if (
            how == "failed"
            and not any(unit.failures)
            and self.room.failed(minion_id=minion_id, job_id=parts[0], now=self.environment.now)
        ):
            self.environment.note(event="minion-shy", minion=minion_id, streak=self.room.spots[minion_id].streak)

    def lost(self, *, node_id: str, b: dict[str, Any]) -> None:
        """An agent declares a minion gone."""
        minion_id = b["m"]
        spot = self.room.spots.get(minion_id)
        if spot is None or spot.fence <= b["f"]:
            self.pool.forget(minion_id=minion_id)
            self.room.drop(minion_id=minion_id)
            for job_id, key, i in sorted(self.jobs.running_by_minion.get(minion_id, ())):
                task = task_name(job_id=job_id, unit_key=key, index=i)
                self.held.pop(task, None)
                self._gone(task=task, run=self.jobs.jobs[job_id].units[key].run_ids[i])
            if self.jobs.running_by_minion.get(minion_id):  # a repeat finds nothing left
                self.effects(self.replica.commit(event={"t": "lost", "m": minion_id, "x": None, "v": b["v"]}))
        self.replica.barrier(
            then=("send", node_id, int(Kind.MINION_LOST_ACK), {"g": self.group_id, "m": minion_id, "f": b["f"]})
        )
        self.pump()

    def release(self, rows: list[Held]) -> None:
        """Give leases back."""
        by: dict[str, list[Any]] = {}
        for h in rows:
            spot = self.room.spots.get(h.minion_id)
            if spot is not None and spot.seq == h.seq:
                self.room.owe(spot=spot, size=h.size)
                by.setdefault(h.agent, []).append([h.minion_id, h.lease_id])
        for node_id, part in by.items():
            self.environment.send(node_id=node_id, kind=Kind.LEASE_RETURN, body={"g": self.group_id, "x": part})

    # -- runs

    def _began(self, *, job_id: str, key: str, i: int) -> None:
        """A run is in the record."""
        job = self.jobs.jobs[job_id]
        step, unit = job.step_of(unit_key=key), job.units[key]
        if step.takes_checkpoints and not step.is_gang and not job.has_ended:
            self.preemptor.started(
                service=self.service(job=job),
                rank=self.rank(job=job),
                victim=Victim(
                    task=task_name(job_id=job_id, unit_key=key, index=i),
                    run=unit.run_ids[i],
                    minion_id=unit.minion_ids[i],
                    size=Size(step.cpu_millicores, step.memory_mb, step.gpus),
                    horizon=math.inf
                    if step.is_long_running
                    else self.environment.now + unit.run_ids[i] * max(CRAWL_X * step.estimate_ms / 1000, CRAWL_S),
                ),
            )

    def _gone(self, *, task: str, run: int) -> None:
        """A run is over."""
        self.preemptor.ended(task=task, run=run)
        self.halting.pop(task, None)

    def pump(self) -> None:
        """Place what can be placed; the placer knows how."""
        raise NotImplementedError
