"""Days on which several troubles meet, drawn by the seed; cancelled, lasting and repeated jobs among the work."""

from collections.abc import Callable

import pytest

from tests.integration.test_fault_days import boot, hush, load
from tests.support.simulated_work import Day, Worker, task


def some(day: Day) -> Worker:
    return day.sim.rng.choice([m for m in day.fleet if m.up and not m.drained])


def kill(day: Day) -> None:
    ip = day.sim.rng.choice(day.sim.core_ips)
    if day.sim.procs[ip].up:
        day.sim.kill(ip=ip, power=day.sim.rng.random() < 0.5)
        if day.sim.rng.random() < 0.3:
            day.sim.wipe(ip=ip)
        boot(day=day, ip=ip, delay=0.5 + 2 * day.sim.rng.random())


def herd(day: Day) -> None:
    for ip in day.sim.core_ips:
        if day.sim.procs[ip].up:
            day.sim.kill(ip=ip, power=True)
            boot(day=day, ip=ip, delay=0.2 + 0.8 * day.sim.rng.random())


def freeze(day: Day) -> None:
    day.sim.freeze(ip=day.sim.rng.choice(day.sim.core_ips), seconds=1.0 + 4 * day.sim.rng.random())


def cut(day: Day) -> None:
    ip = day.sim.rng.choice(day.sim.core_ips)
    for other in day.sim.core_ips:
        if other != ip:
            day.sim.cut(a=ip, b=other, one_way=day.sim.rng.random() < 0.4)
    day.sim.at(delay=4.0, fn=day.sim.heal)


def apart(day: Day) -> None:
    """A minion reaches some cores only, or is reached by none."""
    m = some(day)
    for ip in day.sim.core_ips:
        if day.sim.rng.random() < 0.7:
            day.sim.cut(a=m.minion_id, b=ip, one_way=day.sim.rng.random() < 0.4)
    day.sim.at(delay=day.sim.rng.choice([2.0, 7.0]), fn=day.sim.heal)


def stall(day: Day) -> None:
    day.sim.stalls[day.sim.rng.choice(day.sim.core_ips)] = day.sim.now + 2.5


def flap(day: Day) -> None:
    day.flap(m=some(day), up=0.3, down=0.7, times=3, same=day.sim.rng.random() < 0.5)


def loss(day: Day) -> None:
    day.sim.loss = 0.03


def jump(day: Day) -> None:
    day.sim.skew[day.sim.rng.choice(day.sim.core_ips)] = day.sim.rng.choice([-3.0, 3.0])


def evacuate(day: Day) -> None:
    zone = day.sim.rng.choice(day.sim.zones)
    day.evacuate(zone=zone, on=True)
    day.sim.at(delay=7.0, fn=lambda: day.evacuate(zone=zone, on=False))


def hang(day: Day) -> None:
    m = some(day)
    m.sick = "hung"
    day.sim.at(delay=4.0, fn=lambda: setattr(m, "sick", ""))


KINDS: list[Callable[[Day], None]] = [
    kill,
    herd,
    freeze,
    cut,
    apart,
    stall,
    flap,
    loss,
    jump,
    evacuate,
    hang,
    lambda d: some(d).drain(),
    lambda d: hush(day=d, m=some(d), seconds=2.0 + 5 * d.sim.rng.random()),
    lambda d: some(d).crash(),
]


@pytest.mark.parametrize("seed", range(6))
def test_troubles_that_meet(seed: int) -> None:
    day = Day(seed=7000 + seed, minions=13, aux=3, cores=3 + 2 * (seed % 2), edges=2, work=1.2, guards=seed % 3 == 0)
    day.judge.early += 5.0
    day.judge.trouble(seconds=300.0)
    lasting = day.job(task(n=3, cpus=500, long_running=True))
    day.timed(task(n=2), task(n=1, depends_on=[0]), first=1.0, period=2.0, count=6)
    for _ in range(5):
        day.job(task(n=6, cpus=500, duplicate=True), queue="side")
        doomed = day.job(task(n=2), queue="slow")
        load(day=day, seconds=1.5)
        day.sim.rng.choice(KINDS)(day)
        day.client.drop(job_id=doomed)
        load(day=day, seconds=1.0)
        day.sim.rng.choice(KINDS)(day)
        day.sim.run(seconds=day.sim.rng.choice([0.5, 2.0, 6.0]))
    day.sim.loss = 0.0
    day.client.drop(job_id=lasting)
    day.finish(limit=90.0)
