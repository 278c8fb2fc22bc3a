"""Simulated minions and clients, and an oracle that checks the rules on jobs."""

from typing import Any, Unpack

import orjson

from ..transport.http_messages import Response
from .cluster import Sim
from .errors import SimulationError
from .machines.machine_set import ClusterOptions
from .tenants import SimTenant, breach_of_bound, headers_of

HOST = "h.example"
SLOW = 1.02  # a minion's clock runs so much slower than true time
STOP_S = 0.2  # a run ends so long after the order to stop


def config(*, version: int, guards: bool = False, tries: int = 3, more: int = 0) -> dict[str, Any]:
    """A configuration of two queues on one service."""

    def row(name: str, prefix: str, rank: int) -> dict[str, Any]:
        return {
            "name": name,
            "host-name": HOST,
            "path-prefix": prefix,
            "route-kind": "mutating",
            "deadline-ms": 3000,
            "target-ms": 2000,
            "rank": rank,
            "backend": "svc",
            "max-tries": tries,
            "stretch": 2.0,
        }

    routes = [row("fast", "/fast/", 0), row("slow", "/slow/", 1)]
    routes += [row(f"x{i}", f"/x{i}/", 2) for i in range(more)]
    return {
        "config-version": version,
        "route-table": routes,
        "service-table": [{"name": "svc", "conn-limit": 64, "guards": guards}],
        "limits": {"max-header-bytes": 16384, "max-body-bytes": 262144},
    }


class Oracle:
    """Judges starts and ends as minions see them. Each entry of `broken` is a rule's name and what happened."""

    def __init__(self, *, sim: Sim) -> None:
        self.sim = sim
        self.broken: list[str] = []
        self.jobs: dict[str, dict[str, Any]] = {}
        self.alive: dict[str, list[tuple[str, int]]] = {}
        self.noted: set[str] = set()
        self.done: set[str] = set()
        self.failed: dict[str, int] = {}
        self.refused: set[str] = set()
        self.accepted: dict[str, float] = {}
        self.cancelled: dict[str, float] = {}
        self.tries = 3
        self.tenant_of: dict[str, SimTenant] = {}  # by job id; jobs of no tenant are not in it

    def step_of(self, task: str) -> dict[str, Any]:
        """The step that a task belongs to."""
        job_id, _, s, _ = task.split(".")
        row: dict[str, Any] = self.jobs[job_id]["stages"][int(s)]
        return row

    def started(self, *, m: "SimMinion", task: str, run: int, spec: str, saved: str) -> None:
        """Check the start of a task on a minion."""
        job_id = task.split(".")[0]
        job = self.jobs.get(job_id)
        if job is None or spec != job["task-spec"]:
            self.broken.append(f"UNASKED {task}")
            return
        self._check_request(task=task, job_id=job_id)
        self._check_attempts(m=m, task=task, run=run)
        self._check_order(task=task, job=job)
        self._check_constraints(m=m, task=task)
        self._check_capacity(m=m, task=task)
        self.alive.setdefault(task, []).append((m.minion_id, run))
        self._check_bound(task=task, job_id=job_id)

    def _check_bound(self, *, task: str, job_id: str) -> None:
        """What a tenant has running is within its bound."""
        tenant = self.tenant_of.get(job_id)
        if tenant is None:
            return
        breach = breach_of_bound(tenant=tenant, running=self.tasks_of(tenant), started=task, step_of=self.step_of)
        if breach:
            self.broken.append(breach)

    def tasks_of(self, tenant: SimTenant) -> list[str]:
        """The tasks of a tenant that run."""
        return [name for name, runs in self.alive.items() if runs and self.tenant_of.get(name.split(".")[0]) == tenant]

    def _check_request(self, *, task: str, job_id: str) -> None:
        """A task runs only for a job that was accepted and not cancelled."""
        if job_id in self.refused and job_id not in self.accepted:
            self.broken.append(f"REFUSED {task}")
        if job_id in self.cancelled and self.sim.now > self.cancelled[job_id] + 3.0:
            self.broken.append(f"UNASKED {task} after cancel")

    def _check_attempts(self, *, m: "SimMinion", task: str, run: int) -> None:
        """A task runs on one minion at a time, not after its end, and not more often than the retry limit allows."""
        if self.alive.get(task):
            self.broken.append(f"TWICE {task} run {run} on {m.minion_id}, also {self.alive[task]}")
        if task in self.noted and not self.step_of(task).get("long-running"):
            self.broken.append(f"TWICE {task} run {run} after its end was noted")
        if self.failed.get(task, 0) >= self.tries:
            self.broken.append(f"BUDGET {task}")

    def _check_order(self, *, task: str, job: dict[str, Any]) -> None:
        """A task runs after the stages that its stage depends on; of a gang, one member's end is enough."""
        job_id, k, _, _ = task.split(".")
        for d in self.step_of(task).get("depends-on", []):
            n = job["stages"][d]["task-count"]
            gang = job["stages"][d].get("gang")
            ends = [f"{job_id}.{k}.{d}.{i}" in self.done for i in range(n)]
            if not (any(ends) if gang else all(ends)):
                self.broken.append(f"ORDER {task}")

    def _check_constraints(self, *, m: "SimMinion", task: str) -> None:
        """A task runs on a minion with the required label, and its anti-affinity limit holds there."""
        row = self.step_of(task)
        if row.get("requires") and row["requires"] not in m.labels:
            self.broken.append(f"ROUTE {task}")
        apart = row.get("anti-affinity", 0)
        if apart and sum(t.rsplit(".", 1)[0] == task.rsplit(".", 1)[0] for t in m.running) >= apart:
            self.broken.append(f"ROUTE {task} apart")

    def _check_capacity(self, *, m: "SimMinion", task: str) -> None:
        """The tasks on a minion fit into its capacity."""
        used = [0, 0, 0]
        for other in [*m.running, task]:
            need = self.step_of(other)
            used = [used[0] + need.get("cpus", 0), used[1] + need.get("mem-mb", 0), used[2] + need.get("gpus", 0)]
        if any(u > c for u, c in zip(used, m.cap, strict=True)):
            self.broken.append(f"LIMIT {m.minion_id} {used} over {m.cap}")

    def ended(self, *, m: "SimMinion", task: str, run: int, how: str) -> None:
        """A minion's run of a task ended."""
        self.alive.get(task, []).remove((m.minion_id, run))
        if how == "done":
            self.done.add(task)

    def note(self, *, task: str, how: str) -> None:
        """An end was acknowledged."""
        if how == "done":
            self.noted.add(task)
        if how == "failed":
            self.failed[task] = self.failed.get(task, 0) + 1


class SimMinion:
    """A minion that follows the published protocol.

    Invariants: responses with an old fencing token are ignored; the lease is measured on the minion's own, slower
    clock; ends are listed until they are acknowledged; at most one heartbeat is in flight.
    """

    def __init__(
        self,
        *,
        sim: Sim,
        oracle: Oracle,
        minion_id: str,
        zone: str,
        cap: tuple[int, int, int],
        work: float,
        labels: tuple[str, ...] = ("a", "r1"),
        fail: float = 0.0,
    ) -> None:
        self.sim, self.oracle, self.minion_id, self.zone, self.cap = sim, oracle, minion_id, zone, cap
        self.labels, self.work, self.fail = labels, work, fail
        self.running: dict[str, dict[str, Any]] = {}
        self.ends: dict[int, tuple[str, int, str, str, float]] = {}
        self.top: dict[str, int] = {}
        self.seen = 0
        self.num = 0
        self.fence = 0
        self.hold = 0.0
        self.lapsed = -1.0
        self.seq = 0
        self.up = True
        self.state = "ready"
        self.target = ""
        self.inflight = 0
        self.planned = 0
        self.at = sim.rng.randrange(len(sim.core_ips))
        sim.at(delay=sim.rng.random(), fn=self.beat)
        self._watch()

    def _watch(self) -> None:
        if not self.up:
            return
        if self.running and self.sim.now > self.hold:
            self.lapsed = self.sim.now
            for task in list(self.running):
                self.end(task=task, how="lapsed")
        self.sim.at(delay=0.02, fn=self._watch)

    def crash(self) -> None:
        """Die with all that runs."""
        self.up = False
        for task, row in self.running.items():
            self.oracle.ended(m=self, task=task, run=row["run"], how="lost")
        self.running = {}

    def end(self, *, task: str, how: str) -> None:
        """End a run and list its end."""
        row = self.running.pop(task)
        self.oracle.ended(m=self, task=task, run=row["run"], how=how)
        self.num += 1
        self.ends[self.num] = (task, row["run"], how, "", self.sim.now)
        if not self.inflight:
            self.plan(delay=0.05)

    def plan(self, *, delay: float) -> None:
        """Plan the next heartbeat."""
        self.planned += 1
        mark = self.planned

        def go() -> None:
            if mark == self.planned and not self.inflight:
                self.beat()

        self.sim.at(delay=delay, fn=go)

    def account(self, *, seq: int, sent: float) -> dict[str, Any]:
        """Return the body of the next heartbeat."""
        return {
            "backend": "svc",
            "address": f"{self.minion_id}:1",
            "zone": self.zone,
            "config-version": "v1",
            "slots": 8,
            "state": self.state,
            "cold-left-ms": 0,
            "call-seq": seq,
            "clock-ms": int(sent * 1000),
            "capacity": {"cpus": self.cap[0], "mem-mb": self.cap[1], "gpus": self.cap[2]},
            "labels": list(self.labels),
            "running": [[t, r["run"], r.get("saved", ""), r["pct"](sent)] for t, r in self.running.items()],
            "finished": [[n, *e[:4]] for n, e in sorted(self.ends.items())][:500],
        }

    def beat(self) -> None:
        """Send a heartbeat."""
        if not self.up or self.inflight:
            return
        self.seq += 1
        self.planned += 1
        self.inflight = seq = self.seq
        sent = self.sim.now
        dst = self.target or self.sim.core_ips[self.at % len(self.sim.core_ips)]
        document = self.account(seq=seq, sent=sent)

        def back(response: Response) -> None:
            if self.inflight == seq and self.up and self.sim.now - sent <= 1.0:
                self.inflight = 0
                if response.status == 200:
                    self.answer(document=orjson.loads(response.body), sent=sent)
                else:
                    self.miss()

        def late() -> None:
            if self.inflight == seq and self.up:
                self.inflight = 0
                self.miss()

        self.sim.at(delay=1.0, fn=late)
        self.sim.http(
            ip=dst, src=self.minion_id, method="PUT", path=f"/minions/{self.minion_id}", document=document, back=back
        )

    def miss(self) -> None:
        """A heartbeat failed: try another node."""
        self.target = ""
        self.at += 1
        self.plan(delay=0.1)

    def answer(self, *, document: dict[str, Any], sent: float) -> None:
        """Process the response to a heartbeat that was sent at `sent`.

        A response with a smaller fencing token than one before is ignored, except for when and where the next
        heartbeat goes.
        """
        if document.get("beat-target"):
            self.target = document["beat-target"].split(":")[0]
        self.plan(delay=min(document.get("retry-after-ms", 1400), 1400) / 1000)
        fence = document.get("fence-no", 0)
        if fence < self.fence:
            return
        self.fence = fence
        if "hold-ms" in document:
            self.hold = max(self.hold, sent + min(document["hold-ms"], 6000) / 1000 * SLOW)
        for n in sorted(self.ends):
            if n <= document.get("last-seen", 0):
                self._end_acknowledged(n)
        for task, run in document.get("stopped", []):
            self.top[task] = max(self.top.get(task, 0), run)
            if task in self.running and self.running[task]["run"] == run:
                self.stop(task=task, run=run)
        for task, run, spec, saved in document.get("started", []):
            if run > self.top.get(task, 0):
                self.top[task] = run
                self.begin(task=task, run=run, spec=spec, saved=saved)

    def _end_acknowledged(self, n: int) -> None:
        """Forget a listed end that was acknowledged."""
        task, _, how, _, at = self.ends.pop(n)
        if self.lapsed < at:
            self.oracle.note(task=task, how=how)

    def stop(self, *, task: str, run: int) -> None:
        """Stop a run that was ordered to stop; it ends a little later."""
        self.sim.at(delay=STOP_S, fn=lambda: self.finish(task=task, run=run, how="stopped"))

    def begin(self, *, task: str, run: int, spec: str, saved: str) -> None:
        """Start a run of a task; a long-running one ends only by an order."""
        self.oracle.started(m=self, task=task, run=run, spec=spec, saved=saved)
        last = self.oracle.step_of(task).get("long-running")
        how = "failed" if self.sim.rng.random() < self.fail else "done"
        dur = 1e9 if last else self.work * (0.5 + self.sim.rng.random())
        begun = self.sim.now
        self.running[task] = {
            "run": run,
            "pct": (lambda at: 50) if last else (lambda at: min(99, int(100 * (at - begun) / dur))),
        }
        self.sim.at(delay=dur, fn=lambda: self.finish(task=task, run=run, how=how))

    def finish(self, *, task: str, run: int, how: str) -> None:
        """End a run if it still goes on."""
        if self.up and task in self.running and self.running[task]["run"] == run:
            self.end(task=task, how=how)


class SimCaller:
    """Submits jobs as clients do, and again under the same ID after a time-out, 502 or 504.

    Attributes:
        withdrawn: Jobs that it cancels; they are not submitted again.
    """

    def __init__(self, *, sim: Sim, oracle: Oracle) -> None:
        self.sim, self.oracle = sim, oracle
        self.n = 0
        self.withdrawn: set[str] = set()

    def headers(self, *, job_id: str) -> dict[str, str]:
        """Headers of a call about a job, with the key of its tenant."""
        return {"host": HOST, "x-deadline-ms": "3000", **headers_of(self.oracle.tenant_of.get(job_id))}

    def submit(
        self,
        *,
        stages: list[dict[str, Any]],
        queue: str = "fast",
        tenant: SimTenant | None = None,
        **more: object,
    ) -> str:
        """Submit a job; return its ID."""
        self.n += 1
        job_id = f"{self.sim.rng.getrandbits(64):016x}"
        document = {"task-spec": f"spec-{job_id}", "stages": stages, **more}
        self.oracle.jobs[job_id] = document
        if tenant is not None:
            self.oracle.tenant_of[job_id] = tenant
        self._send(job_id=job_id, queue=queue, document=document, left=5)
        return job_id

    def _send(self, *, job_id: str, queue: str, document: object, left: int) -> None:
        ip = self.sim.rng.choice(self.sim.edge_ips)
        state = {"done": False}

        def again() -> None:
            if left and job_id not in self.withdrawn:
                self._send(job_id=job_id, queue=queue, document=document, left=left - 1)

        def back(response: Response) -> None:
            if state["done"]:
                return
            state["done"] = True
            if 200 <= response.status < 300:
                self.oracle.accepted.setdefault(job_id, self.sim.now)
            elif response.status in (429, 503) and left == 5:
                self.oracle.refused.add(job_id)
            elif response.status in (502, 504):
                again()

        def late() -> None:
            if not state["done"]:
                state["done"] = True
                again()

        self.sim.http(
            ip=ip,
            src="caller",
            method="POST",
            path=f"/{queue}/{job_id}",
            document=document,
            headers=self.headers(job_id=job_id),
            back=back,
        )
        self.sim.at(delay=3.0, fn=late)

    def state(self, *, job_id: str, queue: str = "fast") -> tuple[int, Any]:
        """Ask for a job's state."""
        status, document = self.sim.ask(
            ip=self.sim.edge_ips[0],
            method="GET",
            path=f"/{queue}/{job_id}",
            headers=self.headers(job_id=job_id),
        )
        return status, document["state"] if status == 200 else None

    def cancel(self, *, job_id: str, queue: str = "fast") -> int:
        """Cancel a job."""
        status, _ = self.sim.ask(
            ip=self.sim.edge_ips[0],
            method="DELETE",
            path=f"/{queue}/{job_id}",
            headers=self.headers(job_id=job_id),
        )
        if status == 200:
            self.oracle.cancelled[job_id] = self.sim.now
        return status


def cluster(
    *,
    seed: int,
    minions: int = 6,
    work: float = 0.5,
    cap: tuple[int, int, int] = (4000, 8000, 0),
    fail: float = 0.0,
    **kw: Unpack[ClusterOptions],
) -> tuple[Sim, Oracle, SimCaller, list[SimMinion]]:
    """A configured cluster with minions."""
    sim = Sim(seed=seed, **kw)
    oracle = Oracle(sim=sim)
    fleet = [
        SimMinion(
            sim=sim,
            oracle=oracle,
            minion_id=f"i-{i}",
            zone=f"z{i % len(sim.zones)}",
            cap=cap,
            work=work,
            labels=("a", f"r{i % len(sim.zones)}"),
            fail=fail,
        )
        for i in range(minions)
    ]
    sim.run(seconds=1.0)
    for ip in sim.core_ips:
        status, _ = sim.ask(ip=ip, method="PUT", path="/config", document=config(version=3), headers={"if-match": "0"})
        if status == 200:
            break
    if status != 200:
        raise SimulationError(text=f"the configuration was answered {status}")
    sim.run(seconds=2.0)
    return sim, oracle, SimCaller(sim=sim, oracle=oracle), fleet
