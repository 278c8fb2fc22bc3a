"""The hollow minion against the oracles for the rules, in the simulated cluster and on drawn answers."""

import random
from typing import Any

import orjson
import pytest

from tests.integration.test_cluster import TASK, finish
from yarrowloom.simulator.caller import SimCaller
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.judges.oracle import Oracle
from yarrowloom.testbed.judge import Judge
from yarrowloom.testbed.simulated_minion import Bounds, Hollow, How, Yard, mark
from yarrowloom.testbed.work import write
from yarrowloom.transport.http_messages import Response

JID = "5c0e7a21d94b36f8"


class Both:
    """Tells the oracle of the simulated cluster and the rig's judge the same."""

    def __init__(self, *, oracle: Oracle, judge: Judge) -> None:
        self.oracle, self.judge = oracle, judge

    def started(self, *, m: Hollow, task: str, run: int, spec: str, saved: str) -> None:
        job_id = task.split(".")[0]
        self.judge.sent(job_id=job_id, document=self.oracle.jobs[job_id], tries=self.oracle.tries)
        self.oracle.started(m=m, task=task, run=run, spec=spec, saved=saved)  # type: ignore[arg-type]
        self.judge.started(m=m, task=task, run=run, spec=spec, saved=saved)

    def ended(self, *, m: Hollow, task: str, run: int, how: str) -> None:
        self.oracle.ended(m=m, task=task, run=run, how=how)  # type: ignore[arg-type]
        self.judge.ended(m=m, task=task, run=run, how=how)

    def note(self, *, task: str, how: str) -> None:
        self.oracle.note(task=task, how=how)
        self.judge.note(task=task, how=how)


class Driver:
    """Drives a hollow minion by the simulated clock and network."""

    def __init__(self, *, sim: Sim, m: Hollow) -> None:
        self.sim, self.m = sim, m
        self.at = sim.rng.randrange(len(sim.core_ips))
        self.tick()

    def tick(self) -> None:
        if not self.m.up:
            return
        self.m.advance(now=self.sim.now)
        if not self.m.open and self.sim.now >= self.m.due:
            self.beat()
        self.sim.at(delay=0.01, fn=self.tick)

    def beat(self) -> None:
        sim, m, sent = self.sim, self.m, self.sim.now
        document = m.beat(now=sent)
        seq = m.seq
        dst = m.target.split(":")[0] or sim.core_ips[self.at % len(sim.core_ips)]

        def back(response: Response) -> None:
            if response.status == 200:
                m.answer(seq=seq, document=orjson.loads(response.body), sent=sent, now=sim.now)
            elif seq == m.open:
                self.at += 1
                m.miss(seq=seq, now=sim.now)

        def late() -> None:
            if seq == m.open:
                self.at += 1
                m.miss(seq=seq, now=sim.now)

        sim.at(delay=1.0, fn=late)
        sim.http(ip=dst, src=m.minion_id, method="PUT", path=f"/minions/{m.minion_id}", document=document, back=back)


def hollow_cluster(
    *, seed: int, minions: int = 6, fail: float = 0.0
) -> tuple[Sim, Oracle, Judge, SimCaller, list[Driver]]:
    sim, oracle, caller, _ = cluster(seed=seed, minions=0)
    judge = Judge()
    yard = Yard(seed=seed, bounds=Bounds(max_hold=6.0, beat=1.4), watcher=Both(oracle=oracle, judge=judge), fail=fail)
    fleet = [
        Driver(
            sim=sim,
            m=Hollow(
                yard=yard,
                minion_id=f"i-{i}",
                service="svc",
                zone=f"z{i % len(sim.zones)}",
                cap=(4000, 8000, 0),
                labels=("a", f"r{i % len(sim.zones)}"),
                due=sim.now,
            ),
        )
        for i in range(minions)
    ]
    sim.run(seconds=2.0)
    return sim, oracle, judge, caller, fleet


@pytest.mark.parametrize("seed", range(4))
def test_jobs_complete_on_hollow_minions(seed: int) -> None:
    sim, oracle, judge, caller, _ = hollow_cluster(seed=seed)
    job_ids = [caller.submit(stages=[TASK, {**TASK, "depends-on": [0]}]) for _ in range(6)]
    job_ids.append(caller.submit(stages=[{**TASK, "task-count": 1}, {**TASK, "anti-affinity": 1}]))
    finish(sim, oracle, caller, job_ids)
    assert judge.broken == []
    assert judge.starts >= 6 * 6 + 4


@pytest.mark.parametrize("seed", range(6))
def test_no_rule_broken_through_crashes_cuts_and_freezes(seed: int) -> None:
    sim, oracle, judge, caller, fleet = hollow_cluster(seed=seed)
    job_ids = []
    for kind in ("crash", "cut", "freeze", "kill"):
        job_ids += [caller.submit(stages=[TASK, {**TASK, "depends-on": [0], "checkpoints": True}]) for _ in range(2)]
        sim.run(seconds=1.0)
        ip = sim.rng.choice(sim.core_ips)
        if kind == "crash" and (live := [d.m for d in fleet if d.m.up]):
            sim.rng.choice(live).crash(now=sim.now)
        elif kind == "cut":
            for other in sim.core_ips:
                sim.cut(a=fleet[-1].m.minion_id, b=other)
            sim.at(delay=9.0, fn=sim.heal)
        elif kind == "freeze":
            sim.freeze(ip=ip, seconds=3.0)
        else:
            sim.kill(ip=ip)
            sim.at(delay=0.5, fn=lambda ip=ip: sim.boot(ip=ip))  # type: ignore[misc]
        sim.run(seconds=10.0)
    finish(sim, oracle, caller, job_ids)
    assert judge.broken == []


def one(*, judge: Judge | None = None, guards: bool = False, **bounds: float) -> Hollow:
    """A minion alone; tasks of job JID are asked for."""
    judge = judge or Judge()
    stages = [
        {"task-count": 4, "cpus": 500},
        {"task-count": 2, "cpus": 500, "gang": True},
        {"task-count": 1, "cpus": 500, "checkpoints": True},
        {"task-count": 1, "cpus": 9000},
    ]
    judge.sent(
        job_id=JID, document={"task-spec": write(stages=stages, ms=[500, 500, 9000, 500]), "stages": stages}, tries=3
    )
    yard = Yard(seed=1, bounds=Bounds(drift=0.0, **bounds), watcher=judge)
    return Hollow(
        yard=yard, minion_id="i-1", service="svc", zone="z", cap=(4000, 8000, 0), labels=("a", "r1"), guards=guards
    )


def spec(m: Hollow) -> str:
    watcher = m.yard.watcher
    assert isinstance(watcher, Judge)
    return str(watcher.jobs[JID].document["task-spec"])


def tell(m: Hollow, *, now: float, lag: float = 0.0, **document: Any) -> None:
    """One beat and its answer."""
    m.beat(now=now)
    m.answer(seq=m.seq, document={k.replace("_", "-"): v for k, v in document.items()}, sent=now, now=now + lag)


def order(m: Hollow, *, step: int = 0, idx: int = 0, run: int = 1, saved: str = "") -> list[Any]:
    return [f"{JID}.0.{step}.{idx}", run, spec(m), saved]


def test_lower_fence_does_nothing() -> None:
    m = one()
    tell(m, now=0.0, fence_no=7, hold_ms=4000, started=[order(m)])
    tell(m, now=0.1, fence_no=6, hold_ms=9000, started=[order(m, idx=1)], stopped=[[f"{JID}.0.0.0", 1]])
    assert list(m.running) == [f"{JID}.0.0.0"]
    assert m.hold == 4.0
    assert m.fence == 7
    tell(m, now=0.2, started=[order(m, idx=1)])
    assert len(m.running) == 1


def test_hold_is_cut_never_shortened_and_its_end_kills() -> None:
    m = one(max_hold=5.0)
    tell(m, now=0.0, hold_ms=60000, started=[order(m, step=2)])
    tell(m, now=1.0, hold_ms=100)
    assert m.hold == 5.0
    assert m.wake() == 5.0
    m.advance(now=5.0)
    assert m.running == {}
    assert [e[2] for e in m.ends.values()] == ["lapsed"]


def test_answer_a_second_late_is_dropped() -> None:
    m = one()
    tell(m, now=0.0, lag=1.01, hold_ms=4000, started=[order(m)])
    assert m.running == {}
    assert m.hold == 0.0
    assert m.due > 1.0


def test_nothing_starts_without_a_hold() -> None:
    m = one()
    tell(m, now=0.0, started=[order(m)])
    assert m.running == {}


def test_ends_come_again_until_seen() -> None:
    m = one()
    tell(m, now=0.0, hold_ms=9000, started=[order(m, idx=i) for i in range(4)])
    m.advance(now=0.5)
    assert m.due == 0.55
    first = m.beat(now=0.55)["finished"]
    m.miss(seq=m.seq, now=1.55)
    assert [row[0] for row in first] == [1, 2, 3, 4]
    assert m.beat(now=1.7)["finished"] == first
    m.answer(seq=m.seq, document={"last-seen": 3}, sent=1.7, now=1.7)
    assert list(m.ends) == [4]


def test_end_is_noted_unless_the_hold_lapsed_in_between() -> None:
    for late in (False, True):
        judge = Judge()
        m = one(judge=judge)
        tell(m, now=0.0, hold_ms=3000, started=[order(m)])
        m.advance(now=0.5)
        tell(m, now=3.5 if late else 2.5, hold_ms=3000, last_seen=1)
        assert m.ends == {}
        assert (f"{JID}.0.0.0" in judge.noted) is not late


def test_run_that_does_not_rise_is_turned_away() -> None:
    m = one()
    tell(m, now=0.0, hold_ms=9000, stopped=[[f"{JID}.0.0.0", 2]])
    tell(m, now=0.1, started=[order(m, run=2)])
    assert m.running == {}
    tell(m, now=0.2, started=[order(m, run=3)])
    assert m.running[f"{JID}.0.0.0"].run == 3


def test_guard_refuses_what_does_not_fit_and_no_guard_breaks_the_limit() -> None:
    m = one(guards=True)
    tell(m, now=0.0, hold_ms=9000, started=[order(m, step=3)])
    assert m.running == {}
    assert [e[2] for e in m.ends.values()] == ["refused"]
    judge = Judge()
    m = one(judge=judge)
    tell(m, now=0.0, hold_ms=9000, started=[order(m, step=3)])
    assert [b.split()[0] for b in judge.broken] == ["LIMIT"]


def test_stop_keeps_progress_and_the_next_run_goes_on_from_it() -> None:
    m = one(stop=0.0)
    tell(m, now=0.0, hold_ms=9000, started=[order(m, step=2)])
    tell(m, now=3.0, hold_ms=9000, stopped=[[f"{JID}.0.2.0", 1]])
    m.advance(now=3.0)
    saved = next(iter(m.ends.values()))[3]
    assert saved == f"{3000:08x}" + mark(name=f"{JID}.0.2.0")
    tell(m, now=4.0, hold_ms=9000, last_seen=1, started=[order(m, step=2, run=2, saved=saved)])
    assert m.running[f"{JID}.0.2.0"].at == pytest.approx(4.0 + 0.25 + 6.0)


def test_gang_waits_works_and_ends_together() -> None:
    m = one()
    tell(m, now=0.0, hold_ms=9000, started=[order(m, step=1)])
    m.advance(now=3.0)
    assert [e[2] for e in m.ends.values()] == ["alone"]
    tell(m, now=4.0, hold_ms=9000, last_seen=1, started=[order(m, step=1, run=2), order(m, step=1, idx=1, run=2)])
    m.advance(now=4.5)
    assert [e[2] for e in m.ends.values()] == ["done", "done"]
    assert m.yard.gangs == {}
    tell(m, now=5.0, hold_ms=9000, last_seen=3, started=[order(m, step=1, run=3), order(m, step=1, idx=1, run=3)])
    m.running[f"{JID}.0.1.0"].fail = True
    m.advance(now=5.5)
    assert sorted(e[2] for e in m.ends.values()) == ["broken", "failed"]


def drawn_answer(*, rng: random.Random, m: Hollow, fence: int, nums: list[int]) -> dict[str, Any]:
    """A heartbeat response with a fence near the last one, which may start, stop or acknowledge something."""
    task, run = f"{JID}.0.{rng.randrange(3)}.0", rng.randrange(1, 40)
    ans: dict[str, Any] = {
        "fence-no": max(0, fence + rng.choice([-1, 0, 0, 0, 1])),
        "hold-ms": rng.choice([0, 500, 2000, 60000]),
    }
    if rng.random() < 0.6:
        ans["started"] = [[task, run, spec(m), ""]]
    if rng.random() < 0.3:
        ans["stopped"] = [[task, rng.randrange(1, 40)]]
    if nums and rng.random() < 0.5:
        ans["last-seen"] = rng.choice(nums)
    return ans


@pytest.mark.parametrize("seed", range(20))
def test_drawn_answers_against_a_plain_model(seed: int) -> None:
    """The model keeps only what each rule needs: the highest fence, the latest hold, runs by task, ends by number."""
    rng = random.Random(seed)
    m = one(max_hold=4.0)
    fence, hold, seen, now = 0, 0.0, 0, 0.0
    top: dict[str, int] = {}
    listed: dict[int, list[Any]] = {}
    for _ in range(300):
        now += rng.choice([0.01, 0.2, 0.7, 1.5])
        for _ in range(4):
            m.advance(now=now)
        assert not m.running or now < hold, "runs beyond its hold"
        document = m.beat(now=now)
        nums = [row[0] for row in document["finished"]]
        assert nums == sorted(nums)
        assert all(n > seen for n in nums)
        for row in document["finished"]:
            assert listed.setdefault(row[0], row) == row, "an end changed"
        assert [n for n in sorted(listed) if n > seen] == nums, "an end was forgotten"
        ans = drawn_answer(rng=rng, m=m, fence=fence, nums=nums)
        lag = rng.choice([0.0, 0.1, 0.9, 1.2])
        before = {t: r.run for t, r in m.running.items()}
        m.answer(seq=m.seq, document=ans, sent=now, now=now + lag)
        if lag > 1.0 or ans["fence-no"] < fence:
            assert {t: r.run for t, r in m.running.items()}.items() <= before.items(), "acted on a void answer"
            now += lag
            continue
        fence = ans["fence-no"]
        hold = max(hold, now + min(ans["hold-ms"] / 1000, 4.0))
        seen = max(seen, ans.get("last-seen", 0))
        for name, num in ans.get("stopped", []):
            top[name] = max(top.get(name, 0), num)
        now += lag
        for name, num, *_ in ans.get("started", []):
            fresh = num > top.get(name, 0) and now < hold
            assert (name in m.running and m.running[name].run == num) == (
                fresh or (before.get(name) == num and (name in m.running))
            ), "a start against the rules"
            if fresh:
                top[name] = num


def test_judge_names_each_rule() -> None:
    judge = Judge()
    m = one(judge=judge)
    stages = [{"task-count": 1}, {"task-count": 2, "depends-on": [0], "requires": "big", "anti-affinity": 1}]
    judge.sent(job_id="a" * 16, document={"task-spec": "s", "stages": stages}, tries=1)
    judge.jobs["a" * 16].refused = True

    def start(task: str, run: int = 1, text: str = "s", saved: str = "") -> list[str]:
        judge.broken.clear()
        judge.started(m=m, task=task, run=run, spec=text, saved=saved)
        return [b.split()[0] for b in judge.broken]

    a = "a" * 16
    assert start(f"{a}.0.0.0") == ["REFUSED"]
    judge.jobs[a].refused = False
    assert start(f"{a}.0.0.0", 2) == ["TWICE"]
    judge.ended(m=m, task=f"{a}.0.0.0", run=1, how="failed")
    judge.ended(m=m, task=f"{a}.0.0.0", run=2, how="done")
    judge.note(task=f"{a}.0.0.0", how="done")
    judge.note(task=f"{a}.0.0.0", how="failed")
    assert start(f"{a}.0.0.0", 3) == ["TWICE", "BUDGET"]
    assert start(f"{a}.0.1.0") == ["ROUTE"]
    judge.done.clear()
    assert start(f"{a}.0.1.1") == ["ORDER", "ROUTE"]
    assert start(f"{a}.0.0.0", 4, "other") == ["UNASKED"]
    assert start("b" * 16 + ".0.0.0") == ["UNASKED"]
    assert "UNASKED" in start(f"{JID}.0.2.0", 1, spec(m), "000000ff" + mark(name="another"))
    assert {How(h).value for h in judge.ends} <= {h.value for h in How}
