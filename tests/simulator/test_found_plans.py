"""What hunts found: each fault list (`tests/found/`) is played again."""

from pathlib import Path

import pytest

from yarrowloom.simulator.faults.model import load
from yarrowloom.simulator.run import RunSettings, run_simulation

FOUND = sorted((Path(__file__).parent / "found").glob("*.toml"))


@pytest.mark.parametrize("path", FOUND, ids=lambda path: path.stem)
def test_what_a_hunt_found_breaks_no_rule_any_more(path: Path) -> None:
    plan = load(path=str(path))
    assert plan.seed is not None
    assert plan.seconds is not None
    assert plan.size is not None
    report = run_simulation(
        settings=RunSettings(seed=plan.seed, seconds=plan.seconds, size=plan.size, faults=plan.faults)
    )
    assert report.breaches == ()
