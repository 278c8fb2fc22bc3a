"""The index of owners, and the choice of owners for new and misplaced minions."""

import random

import pytest

from yarrowloom.cluster_state.minion_ownership import MinionMove, MinionOwnership, OwnerSelector, ownership_digest
from yarrowloom.cluster_state.registry import Registry
from yarrowloom.cluster_state.registry_rows import MinionRow, PlacementDomain


@pytest.mark.parametrize("seed", range(10))
def test_the_index_of_owners_follows_every_event(seed: int) -> None:
    rng = random.Random(seed)
    registry = Registry()
    for _ in range(300):
        minion_ids = [f"i-{rng.randrange(40)}" for _ in range(rng.randint(1, 5))]
        if rng.random() < 0.7:
            info = {"site": rng.choice("ab"), "svc": "s", "labels": rng.choice([[], ["k"], ["k", "r1"], ["k", "r2"]])}
            registry.apply(
                {"t": "own", "ms": [[m, rng.choice("xyz"), info if rng.random() < 0.5 else {}] for m in minion_ids]}
            )
        else:
            registry.apply({"t": "gone", "m": minion_ids[0], "f": rng.choice([0, registry.fence])})
        if rng.random() < 0.05:
            registry.load(registry.dump())
        fresh = MinionOwnership(rows=registry.minions)
        assert vars(fresh) == vars(registry.ownership)
        assert set(vars(fresh)) == {"minions_by_node", "checksums", "minions_by_domain"}
        for node_id in "xyz":
            fences = [(m, row.fence) for m, row in registry.minions.items() if row.owner == node_id]
            assert registry.ownership.digest(node_id=node_id) == ownership_digest(fences=fences)


def test_selection_keeps_racks_together_and_spreads_them() -> None:
    selector = OwnerSelector(ownership=MinionOwnership(rows={}), zones={"a": "z0", "b": "z0", "c": "z1"})
    got = [selector.select_owner(domain=PlacementDomain("z0", f"r{i // 12}")) for i in range(48)]
    assert [got.count(u) for u in "abc"] == [24, 24, 0]
    assert all(len(set(got[i : i + 12])) == 1 for i in (0, 12, 24, 36))
    assert {selector.select_owner(domain=PlacementDomain("z9", f"q{i}")) for i in range(60)} == {"a", "b", "c"}


def test_small_differences_move_nobody() -> None:
    def owned(**n: int) -> MinionOwnership:
        rows = {
            f"{u}{i}": MinionRow(owner=u, fence=1, zone="z0", labels=["k", f"{u}{i // 3}"])
            for u, k in n.items()
            for i in range(k)
        }
        return MinionOwnership(rows=rows)

    zones = {"a": "z0", "b": "z0"}
    for a, b, some in ((7, 0, False), (40, 31, False), (9, 0, True), (60, 44, True)):
        got = OwnerSelector(ownership=owned(a=a, b=b), zones=zones).rebalancing_moves(max_moves=16)
        assert bool(got) is some
        assert all(minion_id[0] == "a" and to == "b" for minion_id, to in got)
    assert OwnerSelector(ownership=owned(a=60, b=44), zones={"a": "z0"}).rebalancing_moves(max_moves=16) == []


def test_minions_outside_their_zone_or_apart_from_their_rack_move_home_first() -> None:
    rows = {f"i{i}": MinionRow(owner="a", fence=1, zone="z0", labels=["k", "r0"]) for i in range(3)}
    rows["apart"] = MinionRow(owner="b", fence=1, zone="z0", labels=["k", "r0"])
    rows["away"] = MinionRow(owner="a", fence=1, zone="z1", labels=["k", "r1"])
    selector = OwnerSelector(ownership=MinionOwnership(rows=rows), zones={"a": "z0", "b": "z0", "c": "z1"})
    assert selector.rebalancing_moves(max_moves=16) == [MinionMove("apart", "a"), MinionMove("away", "c")]
