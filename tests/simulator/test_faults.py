"""Faults as data: what a file may say, what is found wrong with it, what a seed draws, and what each kind does."""

import tomllib
from pathlib import Path
from typing import Any

import pytest

from yarrowloom.simulator.errors import FaultsError, SimulationError
from yarrowloom.simulator.faults.generator import CATCH_UP_S, Shape, generate_faults
from yarrowloom.simulator.faults.model import RULES, Fault, FaultKind, Plan, Role, check, dump, load
from yarrowloom.simulator.machines.network import Cut, Cuts
from yarrowloom.simulator.run import Run, RunSettings

LOST = {k for k, rule in RULES.items() if Role.CORE in rule.roles} - {FaultKind.CLOCK_STEP, FaultKind.CLOCK_DRIFT}


def fault(kind: FaultKind, where: str, *, at_s: float = 1.0, for_s: float = 1.0, strength: float = 0.0) -> Fault:
    return Fault(kind=kind, at_s=at_s, for_s=for_s, where=where, strength=strength)


def run_of(*faults: Fault, seconds: float = 4.0, size: int = 3, seed: int = 3) -> Run:
    return Run(settings=RunSettings(seed=seed, seconds=seconds, size=size, faults=faults))


def findings(text: str) -> list[str]:
    with pytest.raises(FaultsError) as got:
        check(document=tomllib.loads(text))
    assert got.value.exit_code == 78
    return [str(f) for f in got.value.findings]


@pytest.mark.parametrize(
    ("line", "place"),
    [
        ("", "faults[0].kind: missing"),
        ("kind = 3", "faults[0].kind: not one of"),
        ('kind = "kill"', "faults[0].where: missing"),
        ('kind = "kill"\nwhere = 3', "faults[0].where: not a text"),
        ('kind = "kill"\nwhere = "core-01"', "faults[0].where: 'core-01' is none of"),
        ('kind = "kill"\nwhere = "minion-1"', "faults[0].where: 'minion-1' is none of"),
        ('kind = "kill"\nwhere = "core-0/core-1"', "faults[0].where: not a link"),
        ('kind = "cut"\nwhere = "core-0/core-0"', "faults[0].where: not a link"),
        ('kind = "cut"\nwhere = "core-0"\nstrength = 2', "faults[0].strength: not from 0 to 0"),
        ('kind = "loss"\nwhere = "links"', "faults[0].strength: missing"),
        ('kind = "cut"\nwhere = "core-0"\nfor-s = true', "faults[0].for-s: not a number"),
        ('kind = "cut"\nwhere = "core-0"\nfor-s = nan', "faults[0].for-s: not from 0 to 3600"),
        ('kind = "cut"\nwhere = "core-0"\nwhen = 1', "faults[0].when: unknown"),
    ],
)
def test_a_bad_entry_is_named_with_its_place(line: str, place: str) -> None:
    assert any(f.startswith(place) for f in findings(f"[[faults]]\nat-s = 1\n{line}"))


def test_all_findings_come_together() -> None:
    text = 'size = 0\nseed = 1.5\nhue = 1\n[[faults]]\nkind = "flood"\n[[faults]]\nkind = "kill"\nwhere = "x"'
    assert [f.split(":")[0] for f in findings(text)] == [
        "hue",
        "seed",
        "size",
        "faults[0].at-s",
        "faults[0].kind",
        "faults[1].at-s",
        "faults[1].where",
    ]


@pytest.mark.parametrize("text", ["faults = 3", "faults = [3]", "[faults]\nkind = 1"])
def test_faults_of_another_shape(text: str) -> None:
    assert findings(text)


@pytest.mark.parametrize("raw", [b"[[faults", b"\xff\xfe", b"a = " + b"[" * 5000])
def test_a_file_that_is_no_toml(raw: bytes, tmp_path: Path) -> None:
    path = tmp_path / "faults.toml"
    path.write_bytes(raw)
    with pytest.raises(FaultsError, match="not TOML"):
        load(path=str(path))


def test_a_file_that_cannot_be_read(tmp_path: Path) -> None:
    for path in (tmp_path, tmp_path / "none.toml"):
        with pytest.raises(FaultsError):
            load(path=str(path))


@pytest.mark.parametrize("seed", range(40))
def test_drawn_faults_stay_within_the_budget(seed: int) -> None:
    """Core machines that are lost together, each for the time after its return as well, are not more than allowed;
    and what is drawn can be written down and read again."""
    shape = Shape(cores=3 + seed % 3 * 3, edges=2, minions=9, losses=1 + (seed % 3 == 2), seconds=30.0)
    faults = generate_faults(seed=seed, shape=shape)
    assert check(document=tomllib.loads(dump(plan=Plan(faults=faults, seed=seed)))).faults == faults
    lost = [f for f in faults if f.kind in LOST and f.where.startswith("core-")]
    for one in lost:
        together = {f.where for f in lost if f.at_s <= one.at_s < f.end_s + CATCH_UP_S}
        assert len(together) <= shape.losses
    for all_down in (f for f in faults if f.where == "all-cores"):
        assert not any(f.at_s < all_down.end_s + CATCH_UP_S and all_down.at_s < f.end_s + CATCH_UP_S for f in lost)


def test_a_fault_on_a_machine_that_is_not_there_is_refused() -> None:
    with pytest.raises(SimulationError, match=r"faults\[0\].where: there are 3 of core, no core-7"):
        run_of(fault(FaultKind.KILL, "core-7")).execute()


def test_cuts_cover_one_way_and_pairs() -> None:
    cuts = Cuts()
    cuts.whole.append(Cut(inside=frozenset("a"), inward=False))
    cuts.whole.append(Cut(inside=frozenset("b"), others=frozenset("c"), outward=False))
    cuts.add(("x", "y"))
    hit = {(s, d) for s in "abcxy" for d in "abcxy" if (s, d) in cuts}
    assert hit == {("a", "b"), ("a", "c"), ("a", "x"), ("a", "y"), ("c", "b"), ("x", "y")}


@pytest.mark.parametrize("kind", list(FaultKind))
def test_each_kind_begins_ends_and_is_overcome(kind: FaultKind) -> None:
    """A short fault of each kind, within the budget, breaks no rule; afterwards nothing of it is left."""
    rule = RULES[kind]
    role = rule.roles[0]
    where = str(role) if role in (Role.LINKS, Role.ALL_CORES, Role.ALL_MACHINES) else f"{role}-0"
    strength = {
        FaultKind.LOSS: 0.03,
        FaultKind.DISK_SLOW: 20.0,
        FaultKind.SLOW_LINK: 0.05,
        FaultKind.CRAWL: 0.1,
        FaultKind.CLOCK_STEP: 4.0,
        FaultKind.CLOCK_DRIFT: 0.02,
        FaultKind.CPU_QUOTA: 0.5,
    }.get(kind, 0.0)
    run = run_of(fault(kind, where, strength=strength), seconds=5.0)
    report = run.execute()
    assert report.breaches == ()
    assert any(e.who == "fault" and f"{kind} of {where}" in e.text for e in report.story.events)
    sim = run.sim
    assert isinstance(sim.cuts, Cuts)
    assert not sim.cuts.whole
    assert not sim.holds
    assert not sim.link_delay
    assert not sim.disk_factor
    assert sim.loss == 0.0
    assert not sim.failing_disks
    assert not any(sim.skew.values())
    up = [ip for ip in sim.core_ips if sim.procs[ip].up]
    assert len(up) == (2 if kind is FaultKind.REMOVE else 3)


def test_a_replaced_machine_comes_back_empty_at_another_address() -> None:
    run = run_of(fault(FaultKind.REPLACE, "core-1"))
    old = run.sim.core_ips[1]
    assert run.execute().breaches == ()
    assert run.sim.core_ips[1] != old
    assert run.sim.procs[run.sim.core_ips[1]].up
    assert not run.sim.procs[old].up


def test_held_frames_arrive_in_order_or_are_lost() -> None:
    for deliver in (True, False):
        sim = run_of().sim
        a, b = sim.core_ips[:2]
        arrived: list[float] = []
        real = sim.procs[b].node.on_message

        def on(
            *,
            node_id: str,
            kind: Any,
            body: Any,
            real: Any = real,
            arrived: list[float] = arrived,
            sim: Any = sim,
            a: str = a,
        ) -> None:
            if node_id.startswith(a):
                arrived.append(sim.now)
            real(node_id=node_id, kind=kind, body=body)

        sim.procs[b].node.on_message = on  # type: ignore[method-assign]
        release = sim.hold(cut=Cut(inside=frozenset([a]), others=frozenset([b]), inward=False), deliver=deliver)
        sim.run(seconds=0.01)
        arrived.clear()
        sim.run(seconds=0.5)
        assert arrived == []
        held = len(sim.holds[0].sends)
        assert held > 0
        release()
        sim.run(seconds=0.004)
        assert (len(arrived) >= held) if deliver else (len(arrived) < held)


def test_a_stand_still_between_a_step_and_its_output() -> None:
    run = run_of()
    sim, ip = run.sim, run.sim.core_ips[0]
    sent: list[float] = []
    real = sim._send

    def send(src: str, *rest: Any) -> None:
        if src == ip:
            sent.append(sim.now)
        real(src, *rest)

    sim._send = send  # type: ignore[method-assign,assignment]
    sim.pause_after_step[ip] = 1.0
    begun = sim.now
    sim.run(seconds=1.5)
    assert not [at for at in sent if begun + 0.1 < at < begun + 1.0]
    assert [at for at in sent if at >= begun + 1.0]


def test_a_steady_clock_drifts_and_never_goes_back() -> None:
    sim = run_of().sim
    ip, begun = sim.core_ips[0], sim.now
    sim.drift(ip=ip, rate=-0.02)
    sim.run(seconds=2.0)
    assert sim.clock(ip) == pytest.approx(begun + 1.96)
    sim.drift(ip=ip, rate=0.0)
    sim.run(seconds=1.0)
    assert sim.clock(ip) == pytest.approx(begun + 2.96)
