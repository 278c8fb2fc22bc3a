"""Slow minions are found by their runs against those of the others."""

import orjson

from yarrowloom.prediction.slow_minions import MAX_MINIONS, MIN_RUNS, SlowMinions


def test_slowness_is_relative_to_the_median_minion() -> None:
    slow = SlowMinions()
    for i in range(1000):
        slow.record(minion_id=f"m{i % 10}", excess=500 if i % 10 else 1100)
    assert {slow.excess(minion_id=f"m{k}") for k in range(1, 10)} == {0}
    assert 550 <= slow.excess(minion_id="m0") <= 650
    assert slow.excess(minion_id="unknown") == 0


def test_a_minion_is_called_slow_only_after_several_runs() -> None:
    slow = SlowMinions()
    for _ in range(MIN_RUNS - 1):
        assert slow.record(minion_id="m", excess=2000) == 0
    assert slow.record(minion_id="m", excess=2000) > 0


def test_the_minion_first_heard_of_is_forgotten_first() -> None:
    slow = SlowMinions()
    for i in range(MAX_MINIONS + 1):
        slow.record(minion_id=f"m{i}", excess=0)
    assert len(slow.minions) == MAX_MINIONS
    assert "m0" not in slow.minions
    assert f"m{MAX_MINIONS}" in slow.minions


def test_slow_minions_survive_a_reload() -> None:
    slow = SlowMinions()
    for i in range(200):
        slow.record(minion_id=f"m{i % 3}", excess=i % 7 * 100)
    twin = SlowMinions.load(orjson.loads(orjson.dumps(slow.dump())))
    assert twin.dump() == slow.dump()
    assert twin.minions == slow.minions
