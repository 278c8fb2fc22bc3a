"""Days of trouble through the whole simulated cluster; the judge looks at all rules, and what was accepted ends."""

from typing import Any

import pytest

from tests.support.simulated_work import Day, Worker, task


def load(*, day: Day, seconds: float, each: float = 0.25, more: float = 1.0) -> None:
    """Traffic of all kinds of work for a while."""
    rng, end, i = day.sim.rng, day.sim.now + seconds, 0
    while day.sim.now < end:
        i += 1
        pick: list[dict[str, Any]] = [
            [task(n=4), task(n=2, depends_on=[0])],
            [task(n=3, cpus=2000, gang=True, checkpoints=i % 2 == 0, same_rack=i % 3 == 0)],
            [task(n=2, cpus=1500, checkpoints=True, weight=5)],
            [task(n=3, cpus=500, anti_affinity=1)],
            [task(n=3, cpus=500, affinity=f"r{i % 3}")],
        ][i % 5]
        day.job(*pick, queue=rng.choice(["fast", "slow"]))
        day.sim.run(seconds=each * more)


def boot(*, day: Day, ip: str, delay: float) -> None:
    day.sim.at(delay=delay, fn=lambda: day.sim.boot(ip=ip))


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("power", [False, True])
def test_herd_kill_of_all_cores_with_disks_kept(seed: int, power: bool) -> None:
    day = Day(work=1.2, seed=2000 + seed, minions=9, cores=5)
    load(day=day, seconds=4.0)
    day.judge.trouble(seconds=6.0)
    for ip in day.sim.core_ips:
        day.sim.kill(ip=ip, power=power)
        boot(day=day, ip=ip, delay=0.3 + 0.7 * day.sim.rng.random())
    load(day=day, seconds=6.0)
    day.finish()


@pytest.mark.parametrize("same", [False, True])
@pytest.mark.parametrize("seed", range(2))
def test_minions_that_go_down_and_up_by_turns(seed: int, same: bool) -> None:
    day = Day(work=1.2, seed=2100 + seed, minions=9)
    for i in (0, 4):
        day.flap(m=day.fleet[i], up=1.0 + 0.3 * i, down=0.7, times=5, same=same)
    load(day=day, seconds=10.0, more=1.5)
    day.finish()


@pytest.mark.parametrize("seed", range(2))
def test_work_that_stands_still_goes_on_elsewhere(seed: int) -> None:
    day = Day(work=1.2, seed=2300 + seed, minions=9)
    sick = day.fleet[2]

    def spell() -> None:
        sick.sick = "" if sick.sick else "hung"
        day.judge.trouble()
        day.sim.at(delay=3.0, fn=spell)

    day.sim.at(delay=1.0, fn=spell)
    load(day=day, seconds=10.0, more=1.5)
    day.finish()


def test_slow_and_mute_minions() -> None:
    day = Day(work=1.2, seed=2400, minions=9)
    day.fleet[1].speed = 0.1
    for i, m in enumerate(day.fleet[3:6]):
        day.sim.at(delay=1.0 + i, fn=lambda m=m: hush(day=day, m=m, seconds=9.0))  # type: ignore[misc]
    load(day=day, seconds=10.0, more=1.5)
    day.finish()


def hush(*, day: Day, m: Worker, seconds: float) -> None:
    """No beats for so long, while it works on."""
    day.judge.trouble(seconds=seconds)
    m.mute = day.sim.now + seconds


def test_many_jobs_that_want_one_rack() -> None:
    day = Day(seed=2500, minions=9)
    for _ in range(30):
        day.job(task(n=4, affinity="r1"))
        day.job(task(n=1, affinity="r1", checkpoints=True), queue="slow")
        day.sim.run(seconds=0.15)
    day.finish()


@pytest.mark.parametrize("seed", range(3))
def test_burst_of_gangs_of_mixed_sizes(seed: int) -> None:
    day = Day(work=1.2, seed=2600 + seed, minions=12)
    for i in range(24):
        n = day.sim.rng.choice([2, 3, 5, 8])
        day.job(
            task(
                n=n, cpus=day.sim.rng.choice([500, 1500, 3000]), gang=True, same_rack=i % 2 == 0, checkpoints=i % 3 == 0
            ),
            queue=["fast", "slow"][i % 2],
        )
        day.sim.run(seconds=0.1)
    day.finish()
    assert "alone" not in day.judge.ends


@pytest.mark.parametrize("seed", range(2))
def test_drains_and_an_evacuation_under_load(seed: int) -> None:
    day = Day(work=1.2, seed=2700 + seed, minions=12)
    for i in range(4):
        day.sim.at(delay=1.0 + 1.5 * i, fn=day.fleet[i].drain)
    day.sim.at(delay=2.0, fn=lambda: day.evacuate(zone="z2", on=True))
    day.sim.at(delay=11.0, fn=lambda: day.evacuate(zone="z2", on=False))
    day.judge.trouble(seconds=12.0)
    load(day=day, seconds=12.0, more=1.2)
    day.finish()


@pytest.mark.parametrize("seed", range(3))
def test_core_cut_in_two(seed: int) -> None:
    """Minions of the smaller side reach only it; what they ran is nobody's until their holds are over."""
    day = Day(work=1.2, seed=2800 + seed, minions=10, cores=5, zones=5)
    load(day=day, seconds=3.0)
    small = day.sim.core_ips[seed : seed + 2]
    big = [ip for ip in day.sim.core_ips if ip not in small]
    lost = [m for m in day.fleet if f"10.{m.zone[1:]}.0" in {ip.rsplit(".", 1)[0] for ip in small}]
    day.judge.trouble(seconds=9.0)
    for a in small:
        for b in big:
            day.sim.cut(a=a, b=b)
    for m in lost:
        for b in big:
            day.sim.cut(a=m.minion_id, b=b)
    day.sim.at(delay=9.0, fn=day.sim.heal)
    load(day=day, seconds=11.0, more=1.5)
    day.finish()


@pytest.mark.parametrize("seed", range(3))
def test_two_frames_in_a_hundred_are_lost(seed: int) -> None:
    day = Day(work=1.2, seed=2900 + seed, minions=9, cores=3)
    day.sim.loss = 0.02
    day.judge.trouble(seconds=60.0)
    load(day=day, seconds=10.0, more=1.2)
    day.finish()


@pytest.mark.parametrize("step", [-3.0, 3.0])
def test_clocks_jump_under_repeated_jobs(step: float) -> None:
    day = Day(work=1.0, seed=3000, minions=6)
    day.judge.early += 5.0
    for i in range(4):
        day.timed(task(n=2), task(n=1, depends_on=[0]), first=1.0 + i, period=1.5, count=6)
    for i, ip in enumerate(day.sim.core_ips):
        day.sim.at(delay=2.0 + 2.5 * i, fn=lambda ip=ip: day.sim.skew.update({ip: step}))  # type: ignore[misc]
    load(day=day, seconds=8.0, more=2.0)
    day.finish()
