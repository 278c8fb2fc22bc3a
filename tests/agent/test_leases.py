"""Leases are exclusive, and granted only on minions that may take work."""

import random

import pytest

from tests.support.agent_harness import MINION, AgentHarness
from yarrowloom.agent.leases import IDLE_LEASE_S
from yarrowloom.agent.messages import LeaseReturn
from yarrowloom.transport.message_kinds import Kind


def test_two_schedulers_never_get_one_capacity(harness: AgentHarness) -> None:
    seed = 7
    print("seed", seed)
    rng = random.Random(seed)
    held: list[tuple[int, int, int, int]] = []
    for _ in range(400):
        group_id = rng.randint(1, 2)
        if held and rng.random() < 0.45:
            holder, lease_id, *_ = held.pop(rng.randrange(len(held)))
            harness.deliver(LeaseReturn, {"g": holder, "x": [[MINION, lease_id]]})
        else:
            millicores, gpus = rng.choice([500, 1500, 3000]), rng.choice([0, 0, 1])
            granted = harness.request_leases(
                group_id=group_id, count=rng.randint(1, 3), millicores=millicores, gpus=gpus
            )
            held += [(group_id, lease_id, millicores, gpus) for lease_id, _, _ in granted]
        assert len({lease_id for _, lease_id, _, _ in held}) == len(held)
        assert sum(lease[2] for lease in held) <= 4000
        assert sum(lease[3] for lease in held) <= 2


def test_lease_of_another_group_is_not_returned(harness: AgentHarness) -> None:
    lease_id = harness.request_lease(group_id=2)
    harness.deliver(LeaseReturn, {"g": 1, "x": [[MINION, lease_id]]})
    assert list(harness.minion.leases) == [lease_id]


def test_unused_lease_expires(harness: AgentHarness) -> None:
    harness.request_lease()
    end = harness.environment.now + IDLE_LEASE_S + 0.5
    while harness.environment.now < end:
        harness.heartbeat()
        harness.tick()
    assert harness.minion.leases == {}
    assert list(harness.minion.free()) == [4000, 8000, 2]


@pytest.mark.parametrize("state", ["draining", "evacuated"])
def test_closed_minion_is_reported_and_gets_no_leases(harness: AgentHarness, state: str) -> None:
    harness.tick()
    if state == "evacuated":
        harness.environment.evacuated_zones.add("z")
    harness.heartbeat(state="draining" if state == "draining" else "ready")
    assert harness.request_leases(group_id=1) == []
    for _ in range(8):
        harness.tick()
    closed = [
        body["shut"] for _, kind, body in harness.environment.sent if kind is Kind.CAPACITY_REPORT and "g" in body
    ]
    assert [MINION] in closed
