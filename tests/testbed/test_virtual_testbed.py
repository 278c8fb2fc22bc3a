"""The cluster on a virtual clock that slopes come from; sizes are tiny, and no figure's height is judged."""

import math

import pytest

from yarrowloom.common.errors import UsageError
from yarrowloom.testbed.slopes import beats, changes, checkpoint, gang, http_call, slopes, starts
from yarrowloom.testbed.state_cost import jobs_state, routes_state


def test_idle_minions_cost_their_agents() -> None:
    row = beats(minions=6, seed=1, seconds=2.0)
    assert row["beats-a-minion-s"] > 0.5
    assert row["agent-us-a-minion-s"] > 0
    assert row["heart-bytes-a-minion-s"] > 0


@pytest.mark.parametrize("seed", range(3))
def test_mix_starts_all_and_breaks_no_rule(seed: int) -> None:
    row = starts(minions=12, rate=5.0, seed=seed, seconds=4.0)
    assert (row["accepted"], row["refused"], row["rules-broken"]) == (20, 0, 0)
    assert row["starts-a-s"] > 0
    assert row["log-bytes-a-start"] > 0
    assert row["first-start-p50-ms"] > 0


def test_changes_reach_every_node() -> None:
    row = changes(routes=5, seed=1, cores=3, edges=3, count=2)
    assert row["bytes-a-node-change"] > 0
    assert row["everywhere-ms"] < 30_000


def test_state_figures_are_there() -> None:
    rows = [
        jobs_state(count=20, tasks=2, seed=1),
        routes_state(count=20),
        checkpoint(minions=5, seed=1),
        http_call(calls=5),
    ]
    assert all(math.isfinite(v) and v >= 0 for row in rows for v in row.values())


def test_gang_runs_whole_and_ends_done() -> None:
    row = gang(size=5, minions=6, seed=1)
    assert (row["done"], row["alone"], row["rules-broken"]) == (5, 0, 0)
    assert row["all-run-ms"] > 0


def test_unknown_run_is_wrong_use() -> None:
    with pytest.raises(UsageError):
        slopes(repetitions=1, out="", only=("nonsense",))
