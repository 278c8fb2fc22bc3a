"""Model checking of replication: real replicas, every way with so many swaps and faults is gone through; random ways go
deeper.

`CASES` has what each search met when it was written. `states` are the distinct ones among those that were compared (all
within the window, later only those in which nothing but time could go on); the invariants of `replication_model.py`
were asked after each of `steps`."""

from dataclasses import dataclass

import pytest

from tests.support.replication_explorer import ALL, FAULTS, Search, calm, do, ready, walk
from tests.support.replication_model import Op, World

SCRIPT = (
    Op(commit=True),
    Op(commit=True),
    Op(commit=False),
    Op(commit=True, at=0.5),
    Op(commit=True, last=True),
    Op(commit=False, last=True),
)


@dataclass(frozen=True, slots=True, kw_only=True)
class Case:
    """A world, the bounds of the search, and the least states and steps: somewhat below what was counted."""

    size: int = 3
    losses: int = 1
    registry: bool = False
    rates: tuple[float, ...] = ()
    swaps: int = 0
    faults: int = 0
    window: int = 20
    kinds: frozenset[str] = ALL
    states: int = 0
    steps: int = 0

    def world(self) -> World:
        return ready(
            World(
                size=self.size,
                losses=self.losses,
                script=SCRIPT,
                rates=self.rates,
                registry=self.registry,
            )
        )


CASES = {
    # 76 states, 2,054 steps, 197 ways
    "three, one swap": Case(swaps=1, window=40, states=70, steps=1900),
    # 1,569 states, 13,293 steps, 635 ways
    "three, one fault": Case(faults=1, window=12, states=1450, steps=12500),
    # 558 states, 6,583 steps, 505 ways
    "three, snapshots and ends of processes": Case(
        swaps=1, faults=1, window=12, kinds=frozenset({"rotate", "kill"}), states=520, steps=6100
    ),
    # 1,679 states, 12,599 steps, 563 ways
    "three, a stand-still and an end": Case(
        faults=2, window=6, kinds=frozenset({"freeze", "kill"}), states=1550, steps=11800
    ),
    # 1,262 states, 6,265 steps, 377 ways
    "clocks that differ, one fault at a lease's edge": Case(
        rates=(0.98, 1.02, 1.0), swaps=1, faults=1, window=12, kinds=frozenset({"edge", "cut"}), states=1150, steps=5800
    ),
    # 1,075 states, 10,517 steps, 469 ways
    "four with the registry, one fault": Case(size=4, registry=True, faults=1, window=6, states=1000, steps=9800),
    # 1,063 states, 15,419 steps, 326 ways
    "five, two losses, one fault": Case(size=5, losses=2, faults=1, window=3, states=980, steps=14500),
}


@pytest.mark.parametrize("name", CASES)
def test_search_breaks_no_invariant_and_every_way_settles(name: str) -> None:
    case = CASES[name]
    found = Search(swaps=case.swaps, faults=case.faults, window=case.window, kinds=case.kinds).run(case.world())
    print(name, found.states, found.steps, found.ways, found.kinds)
    assert found.broken == []
    assert found.states >= case.states
    assert found.steps >= case.steps
    assert {"deliver", "sync", "op", "tick"} <= found.kinds.keys()
    assert case.kinds == ALL or not case.faults or case.kinds & FAULTS <= found.kinds.keys()


def test_same_search_meets_the_same_states() -> None:
    one, two = (Search(swaps=1, faults=0, window=40).run(Case().world()) for _ in range(2))
    assert one.seen == two.seen
    assert one.steps == two.steps
    assert one.states > 60


def test_cluster_without_faults_answers_all_calls() -> None:
    w = Case().world()
    w.closing = True
    while w.unsettled():
        do(w, calm(w))
    assert list(w.acked) == [1, 2, 3, 4]
    assert set(w.acked.values()) == {1}


WALKS = {
    "three": Case(),
    "five": Case(size=5, losses=2),
    "registry": Case(size=4, registry=True),
    "clocks": Case(rates=(1.02, 0.98, 1.0)),
}


@pytest.mark.parametrize("name", WALKS)
def test_random_ways_break_no_invariant(name: str) -> None:
    faults = 0
    for seed in range(60):
        faults += sum(c[0] in FAULTS for _, c in walk(WALKS[name].world(), seed=seed, steps=200, share=0.05))
    print(name, faults)
    assert faults > 200
