"""The simulator as a product: one seed one run, breaches that are made on purpose, shrinking, hunting, commands."""

import hashlib
import os
import subprocess
import sys
from dataclasses import replace
from pathlib import Path

import pytest

from yarrowloom.node.core import CoreNode
from yarrowloom.simulator.events import Answer, Event, Invocation, JobEvent, Story
from yarrowloom.simulator.faults import shrink as shrinking
from yarrowloom.simulator.faults.model import Fault, FaultKind, Plan, load
from yarrowloom.simulator.hunt import history_lines, hunt, plan_of
from yarrowloom.simulator.run import Report, Run, RunSettings, run_simulation

ROOT = Path(__file__).resolve().parents[2]
ASK = "from tests.simulator.test_simulator import digest; print(digest())"


def kill(*, at_s: float, where: str = "core-0", for_s: float = 1.0) -> Fault:
    return Fault(kind=FaultKind.KILL, at_s=at_s, for_s=for_s, where=where)


def digest() -> str:
    report = run_simulation(settings=RunSettings(seed=11, seconds=12.0, size=5))
    return hashlib.sha256("\n".join(map(str, [*report.story.events, *report.lines()])).encode()).hexdigest()


def test_one_seed_is_one_run_in_every_process() -> None:
    seen = {
        subprocess.run(
            [sys.executable, "-c", ASK],
            env={**os.environ, "PYTHONHASHSEED": str(n)},
            check=True,
            capture_output=True,
            text=True,
            cwd=ROOT,
        ).stdout
        for n in range(2)
    }
    assert len(seen) == 1
    assert seen != {""}


class Recorder:
    """A check that keeps all events, and finds what it is told to find."""

    def __init__(self, breach: str = "") -> None:
        self.events: list[Event] = []
        self.breach = breach

    def observe(self, event: Event) -> None:
        self.events.append(event)

    def breaches(self) -> list[str]:
        return [self.breach] if self.breach and self.events and self.events[-1].at_s > 2.0 else []


def test_a_check_sees_each_call_with_its_answer_in_order_of_time() -> None:
    check = Recorder()
    report = run_simulation(settings=RunSettings(seed=2, seconds=4.0, faults=()), checks=(check,))
    assert report.breaches == ()
    load_begun = check.events
    assert load_begun == sorted(load_begun, key=lambda e: e.at_s)
    asked = {e.number: e for e in check.events if isinstance(e, Invocation)}
    answers = [e for e in check.events if isinstance(e, Answer)]
    assert len(answers) > 20
    assert len({e.number for e in answers}) == len(answers)
    assert all(asked[e.number].who == e.who and asked[e.number].at_s <= e.at_s for e in answers)
    assert any(e.method == "PATCH" and e.path == "/config" and e.body for e in asked.values())


def test_a_breach_of_a_check_ends_the_run() -> None:
    report = run_simulation(
        settings=RunSettings(seed=2, seconds=8.0, faults=()), checks=(Recorder(breach="REGISTER odd"),)
    )
    assert report.rules == {"REGISTER"}
    assert report.simulated_s < 4.0


def test_a_process_that_raises_has_ended_by_itself(monkeypatch: pytest.MonkeyPatch) -> None:
    run = Run(settings=RunSettings(seed=4, seconds=6.0, faults=()))
    ip = run.sim.core_ips[1]
    real = CoreNode.tick

    def tick(self: CoreNode) -> None:
        if self.settings.ip == ip and self.now > run.sim.started_s + 2.0:
            raise ValueError("made up")
        real(self)

    monkeypatch.setattr(CoreNode, "tick", tick)
    report = run.execute()
    assert report.breaches[0].startswith(f"ENDED {ip} by itself: ValueError made up in tick")
    assert not run.sim.procs[ip].up


def test_two_that_serve_one_group_are_a_breach(monkeypatch: pytest.MonkeyPatch) -> None:
    run = Run(settings=RunSettings(seed=4, seconds=6.0, faults=()))
    both = run.sim.core_ips[:2]
    monkeypatch.setattr(run.sim, "serving", lambda *, group_id: both)
    assert run.execute().rules == {"PRIMARY"}


def test_a_confirmed_configuration_that_is_gone_is_a_breach() -> None:
    run = Run(settings=RunSettings(seed=4, seconds=4.0, faults=()))
    real = run.operator.read_back

    def forget() -> None:
        run.operator.version += 1
        real()

    run.operator.read_back = forget  # type: ignore[method-assign]
    assert run.execute().rules == {"CONFIG"}


def test_jobs_that_never_end_are_a_breach() -> None:
    """Two of three core machines go for good: nothing is served any more, and that is said."""
    faults = tuple(Fault(kind=FaultKind.REMOVE, at_s=1.0, for_s=0.0, where=f"core-{i}") for i in range(2))
    report = run_simulation(settings=RunSettings(seed=4, seconds=4.0, faults=faults))
    assert report.rules & {"UNFINISHED", "LOST"}


def test_a_story_tells_of_the_jobs_in_the_breach_only() -> None:
    story = Story()
    for i in range(9):
        story.observe(JobEvent(at_s=i, who="i-0", text=f"starts j{i % 3}.0.0.0", job=f"j{i % 3}"))
    story.observe(Event(at_s=10, who="fault", text="begins"))
    kept = story.about(text="TWICE j1.0.0.0 run 2", last=3)
    assert [e.text for e in kept] == ["starts j1.0.0.0", "starts j1.0.0.0", "begins"]


def fake_report(settings: RunSettings) -> Report:
    """A run that breaks a rule exactly if core-1 is killed for half a second or more."""
    faults = settings.faults or ()
    hit = any(f.where == "core-1" and f.for_s >= 0.5 for f in faults)
    return Report(
        settings=settings,
        faults=faults,
        jobs=0,
        finished=0,
        changes=0,
        elections=0,
        simulated_s=1.0,
        breaches=("ODD",) if hit else (),
    )


def test_shrinking_leaves_what_the_breach_needs(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(shrinking, "run_simulation", lambda *, settings: fake_report(settings))
    faults = tuple(kill(at_s=float(i), where=f"core-{i % 3}", for_s=8.0) for i in range(9))
    small = shrinking.shrink(report=fake_report(RunSettings(faults=faults)))
    assert [(f.where, f.for_s) for f in small.faults] == [("core-1", 0.5)]


def test_shrinking_keeps_to_the_rule_that_was_broken(monkeypatch: pytest.MonkeyPatch) -> None:
    def other(*, settings: RunSettings) -> Report:
        return replace(fake_report(settings), breaches=("OTHER",))

    monkeypatch.setattr(shrinking, "run_simulation", other)
    first = fake_report(RunSettings(faults=(kill(at_s=1.0, where="core-1"), kill(at_s=2.0))))
    assert shrinking.shrink(report=first) is first


def test_a_hunt_plays_every_seed_once() -> None:
    seen: list[int] = []
    found = hunt(
        settings=RunSettings(seed=50, seconds=2.0),
        runs=5,
        jobs=2,
        progress=lambda report: seen.append(report.settings.seed),
    )
    assert found.runs == 5
    assert found.broken == ()
    assert sorted(seen) == list(range(50, 55))


def test_what_a_hunt_tells_can_be_played_again(tmp_path: Path) -> None:
    report = run_simulation(settings=RunSettings(seed=7, seconds=5.0, faults=(kill(at_s=1.5),)))
    rows = history_lines(report=report)
    begin = rows.index("seed = 7")
    path = tmp_path / "again.toml"
    path.write_text("\n".join(rows[begin : rows.index("", rows.index("[[faults]]"))]))
    plan = load(path=str(path))
    assert plan == plan_of(report=report) == Plan(faults=report.faults, seed=7, seconds=5.0, size=3)
    again = command("hunt", f"--replay={path}")
    assert again.returncode == 0
    assert "begins: kill of core-0 for 1 s" in again.stdout


def command(*args: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run([sys.executable, "yarrowloom.py", *args], cwd=ROOT, capture_output=True, text=True)


def test_the_command_reports_a_clean_run() -> None:
    done = command("simulate", "--seed=3", "--seconds=3")
    assert done.returncode == 0
    assert "breaches 0" in done.stdout
    assert done.stderr == ""


def test_the_command_reports_a_breach_with_its_exit_code(tmp_path: Path) -> None:
    path = tmp_path / "faults.toml"
    path.write_text(
        "seconds = 3\n" + "".join(f'[[faults]]\nkind = "remove"\nat-s = 1.0\nwhere = "core-{i}"\n' for i in range(2))
    )
    done = command("simulate", f"--faults={path}")
    assert done.returncode == 1
    assert "breaches 1" in done.stdout


@pytest.mark.parametrize(
    ("args", "code", "place"),
    [
        (["simulate", "--seed=x"], 64, "--seed"),
        (["simulate", "--seed=1.5"], 64, "--seed"),
        (["simulate", "--seconds=0"], 64, "--seconds"),
        (["simulate", "--size=True"], 64, "--size"),
        (["simulate", "--faults=/no/such"], 78, "/no/such"),
        (["hunt", "--replay=/no/such"], 78, "/no/such"),
        (["hunt", "--runs=0", "--jobs=x"], 64, "--jobs"),
        (["hunt", "--most=-1"], 64, "--most"),
    ],
)
def test_flags_that_cannot_be_used(args: list[str], code: int, place: str) -> None:
    done = command(*args)
    assert done.returncode == code
    assert place in done.stderr
    assert "Traceback" not in done.stderr
