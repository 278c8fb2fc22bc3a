"""What a cluster's core nodes cost by kind of input, for growing numbers of minions at the same traffic per minion.

    target/v/bin/python docs/experiments/growth.py [--minions 27,100,350,700] [--mode spare|backlog|news|attach]
        [--seconds 2] [--most 60] [--profile]

Runs the tests' simulated cluster; processor time is that of this machine, the clock of the cluster is simulated. A
measured span ends after `--most` seconds of processor time; what was played until then is what the figures rest on.
"""

import argparse
import collections
import cProfile
import pstats
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))

from yarrowloom.scheduling.evict import Evictor

from yarrowloom.node.core import CoreNode
from yarrowloom.scheduling.lease_cache import Pool
from yarrowloom.scheduling.scheduler import Placer
from yarrowloom.simulator.caller import SimCaller
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.sample_config import config
from yarrowloom.transport.message_kinds import Kind

WORK_S = 2.0
CAP = (4000, 8000, 8)
NARROW = 2000  # a task's cpus: two of them fill a minion, so a minion ends one task a second when full


class Meter:
    """Calls and processor time by kind of input, on core nodes only."""

    def __init__(self) -> None:
        self.on = False
        self.calls: collections.Counter[str] = collections.Counter()
        self.spent: dict[str, float] = collections.defaultdict(float)
        self.worst: dict[str, float] = {}
        self.sent: collections.Counter[str] = collections.Counter()
        self.frames: collections.Counter[str] = collections.Counter()
        self.node: dict[str, float] = collections.defaultdict(float)
        self.ops: collections.Counter[str] = collections.Counter()
        self.prof = cProfile.Profile()
        self.profile = False
        self.deep = 0
        self.late = 0

    def wrap(self, name: Callable[..., str], fn: Callable[..., Any], *, who: bool = True) -> Callable[..., Any]:
        """Count and time a method."""

        def run(node: Any, *a: Any, **kw: Any) -> Any:
            if not self.on:
                return fn(node, *a, **kw)
            if self.profile and not self.deep:
                self.prof.enable()
            self.deep += 1
            at = time.process_time()
            try:
                return fn(node, *a, **kw)
            finally:
                took = time.process_time() - at
                self.deep -= 1
                if self.profile and not self.deep:
                    self.prof.disable()
                key = name(*a, **kw)
                self.calls[key] += 1
                self.spent[key] += took
                self.worst[key] = max(self.worst.get(key, 0.0), took)
                if who:
                    self.node[node.node_id] += took

        return run

    def count(self, name: str, fn: Callable[..., Any], size: Callable[..., int]) -> Callable[..., Any]:
        """Count the items that a call walks."""

        def run(obj: Any, *a: Any, **kw: Any) -> Any:
            out = fn(obj, *a, **kw)
            if self.on:
                self.ops[name + " calls"] += 1
                self.ops[name + " items"] += size(obj, out)
            return out

        return run


def install(meter: Meter) -> None:
    """Put the meter round the nodes' inputs; names in brackets are parts of others."""
    core: Any = CoreNode
    core.on = meter.wrap(lambda *, node_id, kind, body: "frame " + kind.name, core.on)
    core.on_http_request = meter.wrap(
        lambda *, call, request: "beat" if request.path.startswith("/minions/") else "control", core.on_http_request
    )
    core.done = meter.wrap(lambda *, effects: "disk done", core.done)
    core.tick = meter.wrap(lambda: "tick", core.tick)
    core.checkpoint = meter.wrap(lambda: "(checkpoint)", core.checkpoint, who=False)
    placer: Any = Placer
    placer.pump = meter.wrap(lambda: "(pump)", placer.pump, who=False)
    placer.claim = meter.wrap(lambda *, node_id, b: "(placer claim)", placer.claim, who=False)
    placer.gap = meter.wrap(lambda *, node_id: "(placer gap)", placer.gap, who=False)
    if not meter.profile:
        evictor: Any = Evictor
        evictor._rows = meter.count(
            "evictor rows", evictor._rows, lambda e, out: sum(map(len, e.placer.jobs.on.values()))
        )
        pool: Any = Pool
        pool.rows = meter.count("pool rows", pool.rows, lambda p, out: len(out))
    send = Sim._send

    def sent(self: Sim, ip: str, proc: Any, dst: str, kind: Kind, body: bytes) -> None:
        if meter.on and ip != dst:
            to = "edge" if dst.split(".")[2] == "1" else "core"
            meter.sent[kind.name + " to " + to] += len(body)
            meter.frames[kind.name + " to " + to] += 1
        send(self, ip, proc, dst, kind, body)

    Sim._send = sent  # type: ignore[method-assign]


def narrow(*, mbps: float, meter: Meter) -> None:
    """Links to edges carry so much: frames of all senders wait in one line for each edge."""
    send = Sim._send
    free: dict[str, float] = {}

    def slow(self: Sim, ip: str, proc: Any, dst: str, kind: Kind, body: bytes) -> None:
        if dst.split(".")[2] != "1" or ip == dst:
            send(self, ip, proc, dst, kind, body)
            return
        due = free[dst] = max(self.now, free.get(dst, 0.0)) + (len(body) + 60) * 8 / (mbps * 1e6)
        if meter.on:
            wait = due - self.now
            meter.worst["link to edges"] = max(meter.worst.get("link to edges", 0.0), wait)
            meter.late += wait > 0.5
        if proc.up:
            self.at(delay=due - self.now, fn=lambda: send(self, ip, proc, dst, kind, body))

    Sim._send = slow  # type: ignore[method-assign]


def submit(caller: SimCaller, *, queue: str, racks: int = 0) -> None:
    """One job of four tasks; those of the later rank are checkpointed. With racks, every third has its data on one."""
    step: dict[str, Any] = {"task-count": 4, "cpus": NARROW, "mem-mb": 256, "estimate-ms": int(WORK_S * 1000)}
    if queue == "slow":
        step["checkpoints"] = True
    if racks and caller.n % 3 == 0:
        step["affinity"] = f"r{caller.n // 3 % racks}"
    caller.submit(stages=[step], queue=queue)


def feed(sim: Sim, caller: SimCaller, *, per_s: float, until: float, racks: int) -> None:
    """Jobs at an even pace, every second one of the later rank."""
    if sim.now >= until:
        return
    submit(caller, queue="fast" if caller.n % 2 else "slow", racks=racks)
    sim.at(delay=1.0 / per_s, fn=lambda: feed(sim, caller, per_s=per_s, until=until, racks=racks))


def play(sim: Sim, *, seconds: float, most: float) -> float:
    """Run the cluster; returns the simulated seconds that were played."""
    begun, cpu, end = sim.now, time.process_time(), sim.now + seconds
    while sim.now < end and time.process_time() - cpu < most:
        sim.run(seconds=0.01)
    return sim.now - begun


def backlog(sim: Sim) -> tuple[int, int]:
    """Waiting steps and running tasks at the placing node."""
    for ip in sim.core_ips:
        for p in sim.core(ip).placers.values():
            return len(p.ready), sum(map(len, p.jobs.on.values()))
    return 0, 0


def scene(
    *, mode: str, minions: int, seconds: float, most: float, meter: Meter, routes: int, edges: int, arg_racks: bool
) -> None:
    """Build a cluster, load it, measure a span, print the figures."""
    sim, _oracle, caller, fleet = cluster(seed=7, minions=minions, work=WORK_S, cap=CAP, cores=5, edges=edges)
    racks = max(1, minions // 12) if arg_racks else 0
    if racks:
        for i, m in enumerate(fleet):
            m.labels = ("a", f"r{i // 12 % racks}")
    sim.until(cond=lambda: sum(m.fence > 0 for m in fleet) == minions, limit=20.0)
    sim.run(seconds=3.0)
    full = minions * CAP[0] / NARROW / WORK_S / 4  # jobs a second that fill the minions
    if mode == "spare":
        feed(sim, caller, per_s=full * 0.6, until=sim.now + 1e6, racks=racks)
        play(sim, seconds=4.0, most=most)
    elif mode == "backlog":
        for _ in range(minions * 3 // 2):
            submit(caller, queue="fast" if caller.n % 2 else "slow", racks=racks)
        feed(sim, caller, per_s=full, until=sim.now + 1e6, racks=racks)
        play(sim, seconds=1.5, most=most)
    elif mode == "news":
        sim.ask(
            ip=sim.core_ips[0],
            method="PUT",
            path="/config",
            document=config(version=4, more=routes),
            headers={"if-match": "3"},
        )
        sim.run(seconds=3.0)
    elif mode == "attach":
        feed(sim, caller, per_s=full * 0.6, until=sim.now + 1e6, racks=racks)
        play(sim, seconds=4.0, most=most)
    wait0, run0 = backlog(sim)
    seqs, jobs = sum(m.seq for m in fleet), caller.n
    noted = len(_oracle.noted)
    meter.on = True
    cpu = time.process_time()
    if mode == "news":
        sim.http(
            ip=sim.core_ips[0],
            src="op",
            method="PUT",
            path="/config",
            document=config(version=5, more=routes),
            headers={"if-match": "4"},
            back=lambda response: None,
        )
    if mode == "attach":
        for ip in sim.core_ips:
            for p in sim.core(ip).placers.values():
                sim.step(ip, sim.procs[ip], lambda p=p: p.gap(node_id=sim.procs[sim.core_ips[0]].node.node_id))  # type: ignore[misc]
    played = play(sim, seconds=seconds, most=most)
    meter.on = False
    beats, jobs = sum(m.seq for m in fleet) - seqs, caller.n - jobs
    wait1, run1 = backlog(sim)
    total = sum(meter.node.values())
    busiest = max(meter.node.values(), default=0.0)
    size = 0
    for ip in sim.core_ips:
        node = sim.core(ip)
        if node.placers:
            size = sum(map(len, node.snapshot_records()))
    print(
        f"\n== {mode} minions={minions} played={played:.2f} s (simulated) in {time.process_time() - cpu:.1f} s; "
        f"jobs={jobs} beats={beats} ends noted={len(_oracle.noted) - noted} waiting={wait0}->{wait1} "
        f"running={run0}->{run1} checkpoint={size} B"
    )
    print(
        f"   core time {total / played:.3f} s a simulated s, the busiest node {busiest / played:.3f}; "
        f"per beat {1e3 * total / max(beats, 1):.3f} ms, per minion and s {1e3 * total / minions / played:.3f} ms, "
        f"per job {1e3 * total / max(jobs, 1):.2f} ms"
    )
    for key, spent in sorted(meter.spent.items(), key=lambda kv: -kv[1]):
        n = meter.calls[key]
        print(
            f"   {key:18} calls/s {n / played:9.1f}  cpu s/s {spent / played:8.4f}  each {1e3 * spent / n:8.3f} ms  "
            f"worst {1e3 * meter.worst[key]:8.2f} ms  per minion and s {1e3 * spent / minions / played:7.3f} ms"
        )
    for key, n in sorted(meter.ops.items()):
        print(f"   {key:24} {n / played:12.0f} /s")
    for key, n in sorted(meter.sent.items(), key=lambda kv: -kv[1])[:6]:
        print(f"   sent {key:20} {n / played / 1000:10.1f} kB/s in {meter.frames[key] / played:8.1f} frames/s")
    if "link to edges" in meter.worst:
        print(
            f"   links to edges: longest wait {meter.worst['link to edges']:.2f} s, frames that waited over 0.5 s: "
            f"{meter.late}; edges ready at the end: "
            f"{sum(sim.procs[ip].node.ready() for ip in sim.edge_ips)} of {len(sim.edge_ips)}"
        )  # type: ignore[union-attr]
    if meter.profile:
        stats = pstats.Stats(meter.prof, stream=sys.stdout)
        stats.sort_stats("tottime").print_stats(22)


def main() -> None:
    """Read the flags, run the sizes one after the other."""
    ap = argparse.ArgumentParser()
    ap.add_argument("--minions", default="27,100,350,700")
    ap.add_argument("--mode", default="spare")
    ap.add_argument("--seconds", type=float, default=2.0)
    ap.add_argument("--most", type=float, default=60.0)
    ap.add_argument("--routes", type=int, default=510)
    ap.add_argument("--edges", type=int, default=4)
    ap.add_argument("--mbps", type=float, default=0.0, help="links to edges")
    ap.add_argument("--racks", action="store_true", help="racks of 12, data on them")
    ap.add_argument("--profile", action="store_true")
    arg = ap.parse_args()
    meter = Meter()
    meter.profile = arg.profile
    install(meter)
    if arg.mbps:
        narrow(mbps=arg.mbps, meter=meter)
    for n in map(int, arg.minions.split(",")):
        prof = meter.profile
        meter.__init__()  # type: ignore[misc]
        meter.profile = prof
        scene(
            mode=arg.mode,
            minions=n,
            seconds=arg.seconds,
            most=arg.most,
            meter=meter,
            routes=arg.routes,
            edges=arg.edges,
            arg_racks=arg.racks,
        )
        sys.stdout.flush()


if __name__ == "__main__":
    main()
