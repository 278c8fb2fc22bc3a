"""Overload in the tests' simulated cluster with the processor time of core nodes charged.

    target/v/bin/python docs/experiments/growth_collapse.py [--minions 350] [--load 0.6] [--burst 2.0] [--for-s 3]
        [--share 0.62] [--seconds 20] [--log FILE] [--without evict,lazy,first,thaw,claim,calls,gc]

Each input of a core node keeps that node from its next one for as long as it took here, divided by `--share`; inputs
wait in the order in which they came, ticks among them (one at most). Not exact: measured time varies from run to run.

`--without` takes one suspect away at a time, for trial only (none of these is a mend):
    evict   nothing is pushed out
    lazy    a placing pass at ticks only, not at each batch of ends and each grant
    block   waiting work holds nothing back (no look at all rows of room for each waiting step)
    first   ticks, hearts, pings, logs and ballots go before all other inputs of a node
    thaw    a primary that stood still for over 0.5 s does not replace its backup in the 0.6 s after
    claim   a claim with a fence already attached by the same agent in the last 2 s is not answered again
    calls   edges never repeat a call by themselves
"""

import argparse
import sys
import time
from collections import deque
from collections.abc import Callable
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
sys.path.insert(0, str(Path(__file__).resolve().parent))

from growth import CAP, NARROW, WORK_S, Meter, install, submit
from yarrowloom.scheduling.evict import Evictor

from yarrowloom.node import group_calls as calls
from yarrowloom.node.core import CoreNode
from yarrowloom.replication.messages import RECORD_KINDS
from yarrowloom.replication.replica import Replica
from yarrowloom.scheduling.job_queue import Desk
from yarrowloom.scheduling.scheduler import Placer
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.machines.process import Proc
from yarrowloom.transport.message_kinds import Kind

STATE: dict[str, Any] = {"on": False, "share": 0.62}
WAIT: dict[int, deque[Callable[[], None]]] = {}
BUSY: dict[int, float] = {}
TICK: set[int] = set()
FIRST = RECORD_KINDS | {Kind.HEARTBEAT, Kind.HEARTBEAT_ACK}
EVENTS: list[tuple[float, str, str]] = []


def charge() -> None:
    """Put the model round the cluster's steps."""
    step = Sim.step

    def charged(self: Sim, ip: str, proc: Proc, fn: Callable[[], None]) -> None:
        if not STATE["on"] or not isinstance(proc.node, CoreNode):
            step(self, ip, proc, fn)
            return
        line = WAIT.setdefault(proc.process_number, deque())
        kind = STATE.pop("kind", None)
        if STATE.get("first") and (fn.__name__ == "run" or kind in FIRST):
            head = STATE.setdefault("heads", {}).setdefault(proc.process_number, deque())
            head.append(fn)
        else:
            line.append(fn)
        drain(self, ip, proc)

    def drain(sim: Sim, ip: str, proc: Proc) -> None:
        line = STATE.get("heads", {}).get(proc.process_number) or WAIT[proc.process_number]
        if not line or sim.now < BUSY.get(proc.process_number, 0.0) - 1e-9:
            return
        fn = line.popleft()
        at = time.process_time()
        step(sim, ip, proc, fn)
        took = (time.process_time() - at) / STATE["share"]
        BUSY[proc.process_number] = sim.now + took
        sim.at(delay=took, fn=lambda: drain(sim, ip, proc))

    tick = Sim._tick

    def ticked(self: Sim, ip: str, proc: Proc) -> None:
        if not STATE["on"] or not isinstance(proc.node, CoreNode):
            tick(self, ip, proc)
            return
        if not proc.up or self.procs.get(ip) is not proc:
            return
        if proc.process_number not in TICK:
            TICK.add(proc.process_number)

            def run() -> None:
                TICK.discard(proc.process_number)
                proc.node.tick()

            self.step(ip, proc, run)
        self.at(delay=0.05, fn=lambda: ticked(self, ip, proc))

    Sim.step, Sim._tick = charged, ticked  # type: ignore[method-assign]


def without(names: set[str]) -> None:
    """Take suspects away, for trial."""
    if "evict" in names:
        Evictor.tasks = lambda self, **kw: None  # type: ignore[method-assign]
    if "block" in names:
        Placer._block = lambda self, **kw: None  # type: ignore[method-assign]
    if "lazy" in names:
        pump, tick = Placer.pump, Placer.tick
        inside: set[int] = set()

        def slow(self: Placer) -> None:
            if id(self) in inside:
                pump(self)

        def ticked(self: Placer) -> None:
            inside.add(id(self))
            try:
                tick(self)
            finally:
                inside.discard(id(self))

        Placer.pump, Placer.tick = slow, ticked  # type: ignore[method-assign]
    if "first" in names:
        STATE["first"] = True
        send = Sim._send
        last_due: dict[tuple[str, str], float] = {}

        def sent(self: Sim, ip: str, proc: Proc, dst: str, kind: Kind, body: bytes) -> None:
            if kind not in FIRST:
                send(self, ip, proc, dst, kind, body)
                return
            node_id = proc.node.node_id
            due = self.now if ip == dst else self.now + 0.001 + self.rng.random() * 0.002
            due = last_due[ip, dst] = max(due, last_due.get((ip, dst), 0.0) + 1e-7)

            def arrive() -> None:
                to = self.procs.get(dst)
                if to is not None and to.up:
                    STATE["kind"] = kind
                    self.step(dst, to, lambda: to.node.on_message(node_id=node_id, kind=kind, body=body))
                    STATE.pop("kind", None)

            self.at(delay=due - self.now, fn=arrive)

        Sim._send = sent  # type: ignore[method-assign]
    if "thaw" in names:
        last: dict[str, float] = {}
        thawed, take = Replica.thawed, Replica.take

        def woke(self: Replica) -> None:
            last[self.environment.node_id] = self.environment.now
            thawed(self)

        def taken(self: Replica, *, why: str, avoid: str = "", stay: bool = False) -> None:
            if why.startswith("backup") and self.environment.now - last.get(self.environment.node_id, -9.0) < 0.6:
                return
            take(self, why=why, avoid=avoid, stay=stay)

        Replica.thawed, Replica.take = woke, taken  # type: ignore[method-assign]
    if "claim" in names:
        claim = Desk.claim
        when: dict[tuple[int, str, int], float] = {}

        def claimed(self: Desk, *, node_id: str, b: dict[str, Any]) -> None:
            rows = []
            for row in b["x"]:
                link, key = self.links.get(row[0]), (id(self), row[0], row[1])
                if (
                    link is None
                    or link.fence != row[1]
                    or link.agent != node_id
                    or self.environment.now - when.get(key, -9.0) > 2.0
                ):
                    when[key] = self.environment.now
                    rows.append(row)
            claim(self, node_id=node_id, b={**b, "x": rows})

        Desk.claim = claimed  # type: ignore[method-assign]
    if "calls" in names:
        calls.RESEND_S = 1e9


def listen(sim: Sim) -> None:
    """Collect what core nodes log."""
    for ip in sim.core_ips:
        node = sim.core(ip)

        def note(*, event: str, ip: str = ip, **fields: object) -> None:
            EVENTS.append((sim.now, ip, event + " " + " ".join(f"{k}={v}" for k, v in fields.items())))

        node.note = note  # type: ignore[method-assign]
    if STATE.get("listens"):
        return
    STATE["listens"] = True
    take = Replica.take

    def taken(self: Replica, *, why: str, avoid: str = "", stay: bool = False) -> None:
        EVENTS.append((sim.now, self.environment.node_id.split(":")[0], f"campaign group={self.group_id} why={why}"))
        take(self, why=why, avoid=avoid, stay=stay)

    Replica.take = taken  # type: ignore[method-assign]


def main() -> None:
    """Load, a burst, then the load again."""
    ap = argparse.ArgumentParser()
    ap.add_argument("--minions", type=int, default=350)
    ap.add_argument("--load", type=float, default=0.6)
    ap.add_argument("--burst", type=float, default=2.0)
    ap.add_argument("--for-s", type=float, default=3.0)
    ap.add_argument("--share", type=float, default=0.62)
    ap.add_argument("--seconds", type=float, default=20.0)
    ap.add_argument("--most", type=float, default=300.0)
    ap.add_argument("--log", default="")
    ap.add_argument("--without", default="")
    arg = ap.parse_args()
    STATE["share"] = arg.share
    without(set(arg.without.split(",")))
    meter = Meter()
    install(meter)
    charge()
    sim, oracle, caller, fleet = cluster(seed=7, minions=arg.minions, work=WORK_S, cap=CAP, cores=5, edges=4)
    sim.until(cond=lambda: sum(m.fence > 0 for m in fleet) == arg.minions, limit=20.0)
    sim.run(seconds=3.0)
    listen(sim)
    full = arg.minions * CAP[0] / NARROW / WORK_S / 4
    begun = sim.now

    def feed() -> None:
        at = sim.now - begun
        rate = full * arg.load * (arg.burst if 4.0 <= at < 4.0 + arg.for_s else 1.0)
        submit(caller, queue="fast" if caller.n % 2 else "slow")
        sim.at(delay=1.0 / rate, fn=feed)

    feed()
    STATE["on"] = True
    cpu, done, acc, n = time.process_time(), 0, 0, 0
    while sim.now - begun < arg.seconds and time.process_time() - cpu < arg.most:
        meter.on = sim.now - begun >= 4.0 + arg.for_s
        sim.run(seconds=1.0)
        row = [len(oracle.noted) - done, len(oracle.accepted) - acc, caller.n - n]
        done, acc, n = len(oracle.noted), len(oracle.accepted), caller.n
        lag = max((len(WAIT.get(sim.procs[ip].process_number, ())) for ip in sim.core_ips), default=0)
        busy = max((BUSY.get(sim.procs[ip].process_number, 0.0) - sim.now for ip in sim.core_ips), default=0.0)
        ready = max((len(p.ready) for ip in sim.core_ips for p in sim.core(ip).placers.values()), default=0)
        seen = [e[2] for e in EVENTS if e[0] > sim.now - 1.0]
        print(
            f"{sim.now - begun:5.1f} s  jobs {row[2]:4} accepted {row[1]:4} ends noted {row[0]:5} of {full * 4:.0f}  "
            f"running {sum(len(m.running) for m in fleet):4}  waiting steps {ready:4}  longest line {lag:5}  "
            f"busy for {max(busy, 0.0):.2f}  primaries {sum(s.startswith('primary') for s in seen)} "
            f"campaigns {sum(s.startswith('campaign') for s in seen)} "
            f"lost {sum(s.startswith('minion-lost') for s in seen)} "
            f"moved {sum(s.startswith('minions-moved') for s in seen)} "
            f"stood {sum(s.startswith('stood') for s in seen)}",
            flush=True,
        )
    print("inputs of core nodes from the burst's end on:")
    for key, spent in sorted(meter.spent.items(), key=lambda kv: -kv[1])[:9]:
        k = meter.calls[key]
        print(
            f"   {key:16} {k:7} calls  {spent:8.2f} cpu-s  each {1e3 * spent / k:8.3f} ms  "
            f"worst {1e3 * meter.worst[key]:8.1f} ms"
        )
    print("rules broken:", len(oracle.broken), oracle.broken[:5])
    if arg.log:
        Path(arg.log).write_text("".join(f"{t - begun:8.3f} {ip} {e}\n" for t, ip, e in EVENTS))


if __name__ == "__main__":
    main()
