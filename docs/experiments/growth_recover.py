"""How long the core takes to serve again after all its processes were killed and came back, by size and backlog.

    target/v/bin/python docs/experiments/growth_recover.py [--minions 27,100,350] [--waiting 0,1.3] [--down 0.7]
        [--share 0.62] [--limit 30] [--without ...]

Simulated cluster, processor time charged as in `growth_collapse.py`; times are simulated seconds from the return.
"""

import argparse
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[2]))
sys.path.insert(0, str(Path(__file__).resolve().parent))

from growth import CAP, NARROW, WORK_S, submit
from growth_collapse import BUSY, EVENTS, STATE, TICK, WAIT, charge, listen, without

from yarrowloom.simulator.configured_cluster import cluster


def scene(*, minions: int, waiting: float, down: float, limit: float, most: float) -> None:
    """Load without charge, kill all cores, bring them back, measure with charge."""
    STATE["on"] = False
    for table in (WAIT, BUSY, TICK, EVENTS):
        table.clear()
    sim, oracle, caller, fleet = cluster(seed=7, minions=minions, work=WORK_S, cap=CAP, cores=5, edges=4)
    sim.until(cond=lambda: sum(m.fence > 0 for m in fleet) == minions, limit=20.0)
    sim.run(seconds=3.0)
    full = minions * CAP[0] / NARROW / WORK_S / 4
    begun = sim.now

    def feed() -> None:
        submit(caller, queue="fast" if caller.n % 2 else "slow")
        sim.at(delay=1.0 / (full * 0.6), fn=feed)

    feed()
    sim.run(seconds=4.0)
    for _ in range(int(minions * waiting)):
        submit(caller, queue="fast" if caller.n % 2 else "slow")
    sim.run(seconds=0.3)
    for ip in sim.core_ips:
        sim.kill(ip=ip)
    size = max(sum(map(len, sim.disks[ip].synced)) for ip in sim.core_ips)
    sim.run(seconds=down)
    cpu = time.process_time()
    for ip in sim.core_ips:
        sim.boot(ip=ip)
    boot = (time.process_time() - cpu) / len(sim.core_ips)
    listen(sim)
    STATE["on"] = True
    back, acc, seen = sim.now, len(oracle.accepted), {m.minion_id: set(m.top.items()) for m in fleet}
    marks: dict[str, float] = {}
    cpu = time.process_time()
    while sim.now - back < limit and time.process_time() - cpu < most and len(marks) < 6:
        sim.run(seconds=0.05)
        at = sim.now - back
        if sim.serving(group_id=0):
            marks.setdefault("group 0 serves", at)
        if sim.serving(group_id=1):
            marks.setdefault("jobs serve", at)
        if len(oracle.accepted) > acc:
            marks.setdefault("first job accepted", at)
        links = max((len(p.links) for ip in sim.core_ips for p in sim.core(ip).placers.values()), default=0)
        met = sum(bool(m.once_attached) for ip in sim.core_ips for m in sim.core(ip).agent.minions.values())
        if links >= 0.95 * minions and met >= 0.95 * minions:
            marks.setdefault("95% of the minions attached", at)
        if any(set(m.top.items()) - seen[m.minion_id] for m in fleet):
            marks.setdefault("first start", at)
        if sum(len(m.running) for m in fleet) > minions * 0.9:
            marks.setdefault("minions busy again", at)
    print(
        f"minions={minions} waiting={waiting} a minion: disk {size / 1e6:.2f} MB, a core's restore "
        f"{1e3 * boot / STATE['share']:.0f} ms; seconds from the return: "
        + ", ".join(f"{k} {v:.2f}" for k, v in sorted(marks.items(), key=lambda kv: kv[1]))
        + f"; played {sim.now - back:.1f} s; primaries {sum(e[2].startswith('primary') for e in EVENTS)}, "
        f"campaigns {sum(e[2].startswith('campaign') for e in EVENTS)}, "
        f"lost {sum(e[2].startswith('minion-lost') for e in EVENTS)}, "
        f"stood still {sum(e[2].startswith('stood') for e in EVENTS)}; rules broken {len(oracle.broken)}",
        flush=True,
    )
    assert begun < back


def main() -> None:
    """Read the flags, run the sizes."""
    ap = argparse.ArgumentParser()
    ap.add_argument("--minions", default="27,100,350")
    ap.add_argument("--waiting", default="0,1.3")
    ap.add_argument("--down", type=float, default=0.7)
    ap.add_argument("--share", type=float, default=0.62)
    ap.add_argument("--limit", type=float, default=30.0)
    ap.add_argument("--most", type=float, default=90.0)
    ap.add_argument("--without", default="")
    arg = ap.parse_args()
    STATE["share"] = arg.share
    charge()
    without(set(arg.without.split(",")))
    for n in map(int, arg.minions.split(",")):
        for w in map(float, arg.waiting.split(",")):
            scene(minions=n, waiting=w, down=arg.down, limit=arg.limit, most=arg.most)


if __name__ == "__main__":
    main()
