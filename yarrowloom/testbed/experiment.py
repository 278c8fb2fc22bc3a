"""Runs the experiment of a file: a cluster, hollow minions, callers, changes and faults; figures at its end."""

import pathlib
import time
from dataclasses import dataclass, field
from typing import Any

import httpcore
import orjson
import trio
from hdrh.histogram import HdrHistogram

from ..common.errors import UsageError
from .callers import HOST, HollowLoad, config, loads
from .cluster import Cluster, Shape
from .fleet import Crew, Fleet
from .judge import Judge
from .local import guarded, show, summary
from .plan import Fault, Plan, load
from .report import write
from .sample import Sampler
from .simulated_minion import Bounds, Hollow

MOST_US = 3_600_000_000
QUANTILES = (50.0, 90.0, 99.0, 99.9, 100.0)
SPREAD_S = 0.05
SPREAD_LIMIT_S = 30.0


@dataclass(kw_only=True)
class Clocked(Judge):
    """A judge that also keeps when each job's first task began."""

    first: dict[str, float] = field(default_factory=dict)

    def started(self, *, m: Hollow, task: str, run: int, spec: str, saved: str) -> None:
        """A task began."""
        super().started(m=m, task=task, run=run, spec=spec, saved=saved)
        self.first.setdefault(task[:16], trio.current_time())


@dataclass(kw_only=True)
class ClockedLoad(HollowLoad):
    """A load that keeps when each job was handed in."""

    begun: dict[str, float] = field(default_factory=dict)

    async def _one(
        self, pool: httpcore.AsyncConnectionPool, address: str, job_id: str, document: dict[str, Any]
    ) -> None:
        self.begun[job_id] = trio.current_time()
        await super()._one(pool, address, job_id, document)


def figures(*, vals: list[float]) -> dict[str, float]:
    """Quantiles of seconds, in milliseconds.

    >>> figures(vals=[0.001, 0.002])["p50-ms"]
    1.0
    """
    hist = HdrHistogram(1, MOST_US, 3)
    for val in vals:
        hist.record_value(max(1, min(MOST_US, int(val * 1e6))))
    out: dict[str, float] = {"count": len(vals)}
    if vals:
        out |= {f"p{q:g}-ms": round(hist.get_value_at_percentile(q) / 1000, 1) for q in QUANTILES}
    return out


class Run:
    """One run of a plan. Invariant: what goes wrong is the plan's faults alone."""

    def __init__(self, *, plan: Plan) -> None:
        self.plan = plan
        self.judge = Clocked()
        self.spread: list[float] = []
        self.acks: list[float] = []
        self.unspread = 0
        clu, mins = plan.cluster, plan.minions
        self.bounds = Bounds(beat=mins["beat-ms"] / 1000)
        self.cluster = Cluster(
            shape=Shape(
                cores=clu["cores"],
                edges=clu["edges"],
                regions=clu["regions"],
                zones=min(clu["sites"], clu["cores"]),
                disk_mb=clu["disk-mb"],
                beat_ms=mins["beat-ms"],
            )
        )
        self.sampler = Sampler(cluster=self.cluster)
        self.rows: dict[str, HollowLoad] = {}
        self.config_version = 1
        self.begun = 0.0

    async def main(self) -> None:
        """All of it."""
        plan, mins = self.plan, self.plan.minions
        with self.cluster as cluster:
            cluster.start_all()
            await cluster.configure(
                document=config(version=1, queues=plan.queues, more=plan.callers["idle-queues"], guards=mins["guards"])
            )
            crew = Crew(
                count=mins["count"],
                zones=cluster.zones,
                cap=(mins["cpus"], mins["mem-mb"], 0),
                gpu_every=mins["gpu-every"],
                gpus=mins["gpus"],
                racks=mins["racks"],
                guards=mins["guards"],
            )
            self.fleet = Fleet(
                crew=crew,
                cores=cluster.controls(),
                seed=plan.seed,
                watcher=self.judge,
                bounds=self.bounds,
                fail=mins["fail"],
            )
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self.fleet.run)
                await cluster.ready()
                await self._known()
                show(what="ready", name=plan.name)
                self.begun = trio.current_time()
                nursery.start_soon(self.sampler.run)
                nursery.start_soon(self._progress)
                async with trio.open_nursery() as inner:
                    for fault in plan.faults:
                        inner.start_soon(self._fault, fault)
                    if plan.changes["rate"]:
                        inner.start_soon(self._changes)
                    if plan.jobs:
                        self._callers(inner)
                    await trio.sleep(plan.duration)
                await self.sampler.once()
                nursery.cancel_scope.cancel()

    def _callers(self, nursery: trio.Nursery) -> None:
        plan, call = self.plan, self.plan.callers
        made = loads(
            addresses=self.cluster.fronts(),
            jobs=plan.jobs,
            rate=call["rate"],
            seed=plan.seed,
            judge=self.judge,
            queues=plan.queues,
            wait_s=plan.duration + plan.drain,
            kind=ClockedLoad,
            task_ms=(call["task-ms"][0], call["task-ms"][1]),
            tasks=tuple(call["tasks"]),
            gangs=call["gangs"],
            steps=call["steps"],
            poll_s=call["poll-ms"] / 1000,
        )
        self.rows.update(made)
        for row in made.values():
            nursery.start_soon(row.run)

    async def _known(self) -> None:
        """Every minion has had an answer to a beat."""
        limit = trio.current_time() + 60
        while any(not m.fence for m in self.fleet.minions):
            self.cluster.watch()
            if trio.current_time() > limit:
                raise UsageError(text="not all minions were taken in within 60 s")
            await trio.sleep(0.1)

    async def _progress(self) -> None:
        while True:
            await trio.sleep(2.0)
            self.cluster.watch()
            show(
                what="running",
                s=round(trio.current_time() - self.begun, 1),
                starts=self.judge.starts,
                ended=sum(len(r.done_ms) for r in self.rows.values()),
                on_minions=sum(len(m.running) for m in self.fleet.minions),
            )

    async def _fault(self, fault: Fault) -> None:
        await trio.sleep_until(self.begun + fault["at"])
        show(what="fault", kind=fault["what"], node=fault["node"], count=fault["count"])
        if fault["what"] == "crash":
            for m in self.fleet.rng.sample(self.fleet.minions, min(fault["count"], len(self.fleet.minions))):
                self.fleet.crash(m=m)
            return
        node = self.cluster.find(name=fault["node"])
        if fault["what"] == "freeze":
            self.cluster.freeze(node=node, on=True)
            await trio.sleep(fault["span"])
            self.cluster.freeze(node=node, on=False)
            return
        self.cluster.kill(node=node)
        if fault["what"] == "restart":
            await trio.sleep(fault["span"])
            self.cluster.start(node=node)

    async def _changes(self) -> None:
        """Changes one after another; each is followed until every process has it in force."""
        end = self.begun + self.plan.duration
        while trio.current_time() < end:
            begun = trio.current_time()
            self.config_version += 1
            queue = self.plan.queues[self.config_version % len(self.plan.queues)]
            row = next(r for r in config(version=1, queues=self.plan.queues)["route-table"] if r["name"] == queue.name)
            await self.cluster.configure(
                base=self.config_version - 1,
                method="PATCH",
                document={
                    "config-version": self.config_version,
                    "upserts": {"route-table": [{**row, "target-ms": 2000 + self.config_version}]},
                },
            )
            self.acks.append(trio.current_time() - begun)
            acked = trio.current_time()
            while trio.current_time() - acked < SPREAD_LIMIT_S:
                stamps: list[int] = []
                async with trio.open_nursery() as nursery:
                    for node in self.cluster.nodes:
                        if node.proc is not None and not node.frozen:
                            nursery.start_soon(self._stamp, node.binds.get("control") or node.binds["ready"], stamps)
                if min(stamps, default=0) >= self.config_version:
                    self.spread.append(trio.current_time() - acked)
                    break
                await trio.sleep(SPREAD_S)
            else:
                self.unspread += 1
            await trio.sleep_until(begun + 1 / self.plan.changes["rate"])

    async def _stamp(self, address: str, out: list[int]) -> None:
        _, document = await self.cluster.call(method="GET", address=address, path="/tally")
        out.append(int(document["stamp"]) if isinstance(document, dict) else 0)

    def result(self) -> dict[str, Any]:
        """Raw figures, as they go to the JSON file."""
        sam, fleet = self.sampler, self.fleet
        lat: dict[str, Any] = {}
        for name, row in self.rows.items():
            assert isinstance(row, ClockedLoad)
            waits = [self.judge.first[j] - at for j, at in row.begun.items() if j in self.judge.first]
            lat |= {
                f"{name}-accept": figures(vals=[v / 1000 for v in row.accept_ms]),
                f"{name}-first-start": figures(vals=waits),
                f"{name}-done": figures(vals=[v / 1000 for v in row.done_ms]),
            }
        if self.acks:
            lat |= {"change-ack": figures(vals=self.acks), "change-everywhere": figures(vals=self.spread)}
        procs: dict[str, Any] = {}
        for name, ser in sorted(sam.series.items()):
            span = max(ser.span(), 1e-9)
            procs[name] = {
                "kind": ser.kind,
                "span-s": round(span, 2),
                "cores": round(ser.grown(key="cpu-s") / span, 4),
                "rss-mb": round(ser.top(key="rss") / 1e6, 1),
            }
            procs[name] |= {
                f"{key}-a-s": round(ser.grown(key=key) / span, 1)
                for key in (
                    "msgs-sent",
                    "bytes-sent",
                    "msgs-got",
                    "calls",
                    "disk-records",
                    "disk-bytes",
                    "disk-batches",
                    "checkpoints",
                )
            }
        return {
            "name": self.plan.name,
            "plan": {k: v for k, v in vars(self.plan).items() if k != "queues"},
            "queues": [vars(q) for q in self.plan.queues],
            "day": time.strftime("%Y-%m-%d", time.gmtime()),
            "host": HOST,
            "jobs": summary(rows=self.rows, judge=self.judge),
            "latencies": lat,
            "unspread": self.unspread,
            "processes": procs,
            "tallies": sam.tallies,
            "beats": {
                **vars(fleet.tally),
                "a-s": round(fleet.tally.beats / max(sam.own.rows[-1]["at"] if sam.own.rows else 1.0, 1.0), 1),
            },
            "rig-cores": round(sam.own.grown(key="cpu-s") / max(sam.own.span(), 1e-9), 3),
            "series": {n: s.rows for n, s in sam.series.items()},
            "broken": self.judge.broken[:100],
        }


def experiment(*, path: str, out: str) -> tuple[dict[str, Any], bool]:
    """Run a file's experiment; the summary, and whether nothing was lost: no job lost or unreached, no rule broken."""
    plan = load(path=path)
    run = Run(plan=plan)
    guarded(main=run.main)
    results = run.result()
    folder = pathlib.Path(out) / plan.name
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "figures.json").write_bytes(orjson.dumps(results, option=orjson.OPT_INDENT_2 | orjson.OPT_NON_STR_KEYS))
    write(results=results, folder=folder)
    jobs = results["jobs"]
    for text in run.judge.broken[:20]:
        show(what="rule-broken", text=text)
    return {**jobs, "report": folder / "report.md"}, not (
        jobs["lost"] or jobs["unreached"] or run.judge.broken or run.unspread
    )
