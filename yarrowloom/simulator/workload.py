"""Clients that poll while a simulation runs, and a configured cluster with workers and clients."""

from collections.abc import Callable
from typing import Any, Unpack

import orjson

from ..transport.http_messages import Response
from .caller import GONE, SimCaller
from .cluster import Sim
from .errors import SimulationError
from .judges.job_rules import ENDS, Judge
from .machines.machine_set import ClusterOptions
from .sample_config import config
from .tenants import SimTenant
from .worker import Worker, World


class Client(SimCaller):
    """Asks and cancels without waiting. Every answer goes to the judge."""

    def __init__(self, *, sim: Sim, judge: Judge) -> None:
        super().__init__(sim=sim, oracle=judge)
        self.judge = judge

    def _send(self, *, job_id: str, queue: str, document: object, left: int) -> None:
        self.judge.queue[job_id] = queue
        super()._send(job_id=job_id, queue=queue, document=document, left=left)

    def _call(self, *, method: str, job_id: str, back: Callable[[Response], None]) -> None:
        self.sim.http(
            ip=self.sim.rng.choice(self.sim.edge_ips),
            src="caller",
            method=method,
            path=f"/{self.judge.queue[job_id]}/{job_id}",
            headers=self.headers(job_id=job_id),
            back=back,
        )

    def poll(self, *, job_id: str) -> None:
        """Ask for a job's state."""
        sent = self.sim.now

        def back(response: Response) -> None:
            state = orjson.loads(response.body)["state"] if response.status == 200 else ""
            self.judge.shown(job_id=job_id, status=response.status, state=state, sent=sent)

        self._call(method="GET", job_id=job_id, back=back)

    def drop(self, *, job_id: str, left: int = 5) -> None:
        """Cancel a job, again after silence. 410 is an answer too: it may not run after that."""
        got: list[int] = []
        self.judge.asked.add(job_id)
        self.withdrawn.add(job_id)

        def back(response: Response) -> None:
            if not got and (200 <= response.status < 300 or response.status == GONE):
                self.judge.cancelled.setdefault(job_id, self.sim.now)
            got.append(response.status)

        def late() -> None:
            if (not got or got[0] >= 500) and left:
                self.drop(job_id=job_id, left=left - 1)

        self._call(method="DELETE", job_id=job_id, back=back)
        self.sim.at(delay=3.0, fn=late)


def plan(*, version: int, guards: bool, tries: int, tenants: tuple[SimTenant, ...] = ()) -> dict[str, Any]:
    """Two queues on `svc`, one on `aux`."""
    document = config(version=version, guards=guards, tries=tries)
    document["route-table"].append(
        {**document["route-table"][1], "name": "side", "path-prefix": "/side/", "backend": "aux"}
    )
    document["service-table"].append({**document["service-table"][0], "name": "aux"})
    if tenants:
        document["tenant-table"] = [tenant.row() for tenant in tenants]
    return document


class Day:
    """A configured cluster with workers, of which the last `aux` belong to another service."""

    def __init__(
        self,
        *,
        seed: int,
        minions: int = 8,
        aux: int = 0,
        work: float = 0.5,
        guards: bool = False,
        tries: int = 3,
        cap: tuple[int, int, int] = (4000, 8000, 0),
        racks: int = 3,
        sim: Sim | None = None,
        judge: Judge | None = None,
        tenants: tuple[SimTenant, ...] = (),
        **kw: Unpack[ClusterOptions],
    ) -> None:
        """`sim`, `judge`: to be used in place of the usual ones, which further arguments are for.

        `tenants`: those of the configuration; all calls about a job carry the key of its tenant.
        """
        self.sim = sim = sim or Sim(seed=seed, **kw)
        self.judge = judge = judge or Judge(sim=sim, tries=tries)
        self.world = World(work=work)
        judge.services = {"fast": {"svc"}, "slow": {"svc"}, "side": {"aux"}}
        self.fleet: list[Worker] = []
        self.guards = guards
        for i in range(minions):
            self.add_minion(
                minion_id=f"i-{i}",
                zone=f"z{i % len(sim.zones)}",
                cap=cap,
                labels=("a", f"r{i % racks}"),
                service="aux" if i >= minions - aux else "svc",
            )
        self.client = Client(sim=sim, judge=judge)
        self.job_ids: list[str] = []
        self.asks = True
        sim.run(seconds=1.0)
        document = plan(version=3, guards=guards, tries=tries, tenants=tenants)
        if not any(
            sim.ask(ip=ip, method="PUT", path="/config", document=document, headers={"if-match": "0"})[0] == 200
            for ip in sim.core_ips
        ):
            raise SimulationError(text="no core node took the configuration")
        sim.run(seconds=2.0)
        sim.at(delay=0.2, fn=self._poll)

    def add_minion(
        self,
        *,
        minion_id: str,
        zone: str,
        cap: tuple[int, int, int],
        labels: tuple[str, ...],
        service: str = "svc",
        address: str = "",
    ) -> Worker:
        """Add a minion to the cluster and start it."""
        m = Worker(
            sim=self.sim,
            judge=self.judge,
            world=self.world,
            minion_id=minion_id,
            zone=zone,
            cap=cap,
            labels=labels,
            service=service,
            guards=self.guards,
            address=address,
        )
        self.fleet.append(m)
        return m

    def flap(self, *, m: Worker, up: float, down: float, times: int, same: bool) -> None:
        """A minion goes down and comes back by turns, under a new id each time, at the same address or another."""

        def fall() -> None:
            self.judge.trouble()
            m.crash()
            self.sim.at(delay=down, fn=rise)

        def rise() -> None:
            new = self.add_minion(
                minion_id=f"{m.minion_id}x",
                zone=m.zone,
                cap=m.cap,
                labels=m.labels,
                service=m.service,
                address=m.address if same else "",
            )
            if times > 1:
                self.flap(m=new, up=up, down=down, times=times - 1, same=same)

        self.sim.at(delay=up, fn=fall)

    def evacuate(self, *, zone: str, on: bool) -> None:
        """The operator's order; it binds from its acknowledgement, and no longer once its taking back is sent."""

        def back(response: Response) -> None:
            if on and 200 <= response.status < 300:
                self.judge.evacuated_zones[zone] = self.sim.now

        if not on:
            self.judge.evacuated_zones.pop(zone, None)
        self.sim.http(
            ip=self.sim.rng.choice(self.sim.core_ips),
            src="op",
            method="POST" if on else "DELETE",
            path=f"/evacuation/{zone}",
            back=back,
        )

    def _poll(self) -> None:
        live = [j for j in self.job_ids if self.judge.shows.get(j) in (None, "pending", "active")]
        if self.asks:
            if live:
                self.client.poll(job_id=self.sim.rng.choice(live))
            if self.job_ids:
                self.client.poll(job_id=self.sim.rng.choice(self.job_ids))
            self.sim.at(delay=0.2, fn=self._poll)

    def job(self, *stages: dict[str, Any], queue: str = "fast", tenant: SimTenant | None = None) -> str:
        """Submit a job; return its ID."""
        job_id = self.client.submit(stages=list(stages), queue=queue, tenant=tenant)
        self.job_ids.append(job_id)
        return job_id

    def timed(
        self,
        *stages: dict[str, Any],
        first: float,
        period: float,
        count: int,
        queue: str = "fast",
        tenant: SimTenant | None = None,
    ) -> str:
        """Submit a job that repeats `count` times every `period` seconds, first in `first` seconds; return its ID."""
        wall_now = self.sim.wall0 + self.sim.now
        job_id = self.client.submit(
            stages=list(stages),
            queue=queue,
            tenant=tenant,
            **{"first-run-ms": int((wall_now + first) * 1000), "period-ms": int(period * 1000), "repeat-count": count},
        )
        self.job_ids.append(job_id)
        return job_id

    def settle(self, *, limit: float = 60.0) -> list[str]:
        """Wait until all accepted jobs have ended or a rule is broken; return the jobs that are left."""
        judge, sim = self.judge, self.sim
        end = sim.now + limit

        sim.until(cond=lambda: all(j in judge.accepted or j in judge.refused for j in self.job_ids), limit=8.0)

        def left() -> list[str]:
            return [j for j in self.job_ids if j in judge.accepted and judge.shows.get(j) not in ENDS]

        while left() and sim.now < end and not judge.broken:
            for job_id in left():
                self.client.poll(job_id=job_id)
            sim.run(seconds=0.5)
        for job_id in self.job_ids:
            if job_id in judge.accepted:
                self.client.poll(job_id=job_id)
        sim.run(seconds=1.0)
        judge.close()
        return left()


def task(*, n: int = 3, cpus: int = 1000, **more: object) -> dict[str, Any]:
    """A step; flags in Python's case."""
    return {
        "task-count": n,
        "cpus": cpus,
        "mem-mb": 100,
        "estimate-ms": 500,
        **{k.replace("_", "-"): v for k, v in more.items()},
    }
