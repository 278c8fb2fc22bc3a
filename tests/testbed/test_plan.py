"""The checker of experiment files: all findings with their places, and the command's exit code."""

import pathlib
from typing import Any

import pytest

from tests.testbed.test_testbed import BOUND_S, ROOT, rig
from yarrowloom.testbed.plan import InvalidPlanError, check, load

GOOD: dict[str, Any] = {"name": "one", "duration-s": 20}


def places(document: Any, **kw: Any) -> list[str]:
    with pytest.raises(InvalidPlanError) as got:
        check(document=document, **kw)
    assert got.value.exit_code == 78
    return sorted(f.place for f in got.value.findings)


def test_defaults_stand_for_what_is_left_out() -> None:
    plan = check(document=GOOD)
    assert plan.cluster["cores"] == 3
    assert plan.jobs == 0
    assert [q.name for q in plan.queues] == ["urgent", "usual", "bulk"]


@pytest.mark.parametrize(
    ("document", "want"),
    [
        ([], ["(file)", "duration-s", "name"]),
        ({}, ["duration-s", "name"]),
        ({**GOOD, "name": "a/b"}, ["name"]),
        ({**GOOD, "name": 3, "seed": -1, "speed": 1}, ["name", "seed", "speed"]),
        ({**GOOD, "duration-s": float("nan")}, ["duration-s"]),
        ({**GOOD, "duration-s": True}, ["duration-s"]),
        ({**GOOD, "cluster": 3, "minions": [], "callers": {}, "changes": "x"}, ["changes", "cluster", "minions"]),
        (
            {**GOOD, "cluster": {"cores": 0, "edges": "2", "sites": 2.5}},
            ["cluster.cores", "cluster.edges", "cluster.sites"],
        ),
        ({**GOOD, "cluster": {"cores": 100, "edges": 100}, "callers": {"rate": 1}}, []),
        ({**GOOD, "callers": {"task-ms": [9, 3]}}, ["callers.task-ms"]),
        (
            {**GOOD, "callers": {"task-ms": [], "tasks": [0], "gangs": 0.8, "steps": 0.3}},
            ["callers.gangs", "callers.task-ms", "callers.tasks"],
        ),
        ({**GOOD, "queues": [{"name": "a", "share": 0}, {"name": "a", "share": 0}]}, ["queues", "queues[1].name"]),
        ({**GOOD, "queues": {"name": "a"}}, ["queues"]),
        ({**GOOD, "queues": [{"share": 1}, 4]}, ["queues[0].name", "queues[1]", "queues[1].name", "queues[1].share"]),
        ({**GOOD, "faults": [{"at-s": 1, "what": "kill"}]}, ["faults[0].node"]),
        ({**GOOD, "faults": [{"at-s": 1, "what": "kill", "node": "core-9"}]}, ["faults[0].node"]),
        ({**GOOD, "faults": [{"at-s": 19, "what": "freeze", "node": "core-0", "for-s": 2}]}, ["faults[0].at-s"]),
        ({**GOOD, "faults": [{"at-s": 1, "what": "freeze", "node": "core-0"}]}, ["faults[0].for-s"]),
        ({**GOOD, "faults": [{"at-s": 1, "what": "crash", "count": 1, "node": "core-0"}]}, ["faults[0].node"]),
        (
            {**GOOD, "faults": [{"at-s": 1, "what": "flood"}, {}]},
            ["faults[0].what", "faults[1].at-s", "faults[1].what"],
        ),
    ],
)
def test_all_findings_with_their_places(document: Any, want: list[str]) -> None:
    if want:
        assert places(document) == want
    else:
        assert check(document=document).cluster["cores"] == 100


def test_more_than_half_of_memory_is_refused() -> None:
    assert places({**GOOD, "minions": {"count": 4000}}, half_mb=500.0) == ["cluster"]
    assert places({**GOOD, "cluster": {"cores": 100, "edges": 100}}, half_mb=500.0) == ["cluster"]


def test_faults_are_put_in_order() -> None:
    rows = [{"at-s": 9, "what": "crash", "count": 1}, {"at-s": 2, "what": "kill", "node": "edge-1"}]
    assert [f["what"] for f in check(document={**GOOD, "faults": rows}).faults] == ["kill", "crash"]


@pytest.mark.parametrize("path", sorted((ROOT / "docs" / "experiments").glob("*.toml")), ids=lambda p: p.stem)
def test_kept_experiments_can_be_run(path: pathlib.Path) -> None:
    assert load(path=str(path)).name == path.stem


@pytest.mark.parametrize(
    ("text", "words"),
    [
        (
            "name = 'x'\n[cluster]\ncores = 0\nsizes = 1\n",
            ["duration-s: missing", "cluster.cores: not from 1", "cluster.sizes"],
        ),
        ("name = \n", ["line 1"]),
        (None, ["No such file"]),
    ],
)
def test_unusable_file_ends_the_command_with_78(tmp_path: pathlib.Path, text: str | None, words: list[str]) -> None:
    path = tmp_path / "one.toml"
    if text is not None:
        path.write_text(text)
    with rig("experiment", str(path)) as proc:
        _, err = proc.communicate(timeout=BOUND_S)
    assert proc.returncode == 78, err
    assert all(w in err for w in words), err


def test_short_experiment_writes_its_report(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "one.toml"
    path.write_text(
        'name = "one"\nduration-s = 3.0\n[cluster]\ncores = 1\nedges = 1\n[minions]\ncount = 3\n'
        '[callers]\nrate = 4.0\n[[faults]]\nat-s = 1.0\nwhat = "crash"\ncount = 1\n'
    )
    with rig("experiment", str(path), f"--out={tmp_path}") as proc:
        out, err = proc.communicate(timeout=BOUND_S)
    assert proc.returncode == 0, err
    assert "lost=0" in out
    assert (tmp_path / "one" / "figures.json").exists()
    assert "| urgent-done |" in (tmp_path / "one" / "report.md").read_text()
