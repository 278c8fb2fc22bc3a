"""Which minions a lease request gets."""

import pytest

from tests.support.agent_harness import StubEnvironment
from yarrowloom.agent import AgentTiming, Minion
from yarrowloom.agent.lease_selection import select_minions
from yarrowloom.agent.messages import LeaseRequest, MinionCount
from yarrowloom.agent.minion import Attachment, Lease, Phase
from yarrowloom.agent.minion_table import MinionTable
from yarrowloom.common.resources import Resources

GROUP = 1


def request(*, count: int = 1, named: dict[str, int] | None = None, **fields: object) -> LeaseRequest:
    document = {
        "group_id": GROUP,
        "request_id": 1,
        "service": "s",
        "millicores": 1000,
        "memory_mb": 10,
        "gpus": 0,
        "required_label": "",
        "preferred_label": "",
        "asked_agents": [],
        "max_per_minion": 0,
        "members_by_minion": {},
        "minions": [MinionCount(minion_id=minion_id, count=n) for minion_id, n in (named or {}).items()],
        **fields,
    }
    return LeaseRequest(count=count, **document)  # type: ignore[arg-type]


@pytest.fixture
def table() -> MinionTable:
    """Three minions: `small` and `large` differ in cores, `accelerated` has GPUs."""
    environment = StubEnvironment()
    timing = AgentTiming(hold_ms=4000, stop_grace_ms=400, heartbeat_ms=1400, drain_ms=2000)
    table = MinionTable(environment=environment, timing=timing)
    for minion_id, capacity, labels in (
        ("accelerated", Resources(2000, 100, 4), ["g", "r1"]),
        ("large", Resources(8000, 100, 0), ["c", "r1"]),
        ("small", Resources(2000, 100, 0), ["c", "r2"]),
    ):
        table.minions[minion_id] = Minion(
            minion_id=minion_id,
            fence=1,
            last_heartbeat_at=environment.now,
            service="s",
            zone="z",
            labels=labels,
            capacity=capacity,
            phase=Phase.KNOWN,
            attachments={GROUP: Attachment(1, 1)},
            once_attached={1, 2},
        )
    return table


def selected(table: MinionTable, lease_request: LeaseRequest) -> list[str]:
    return [minion.minion_id for minion in select_minions(table=table, request=lease_request)]


@pytest.mark.parametrize(
    ("lease_request", "expected"),
    [
        (request(), ["small"]),
        (request(count=4), ["small", "small", "large", "large"]),
        (request(gpus=1), ["accelerated"]),
        (request(preferred_label="r1"), ["large"]),
        (request(required_label="r1"), ["large"]),
        (request(required_label="r9"), []),
        (request(service="other"), []),
        (request(millicores=9000), []),
        (request(count=3, max_per_minion=1), ["small", "large", "accelerated"]),
        (request(count=2, max_per_minion=1, members_by_minion={"small": 1}), ["large", "accelerated"]),
        (request(count=99, all_or_nothing=True), []),
        (request(count=4, named={"large": 2, "small": 2}), ["large", "large", "small", "small"]),
        (request(count=3, named={"small": 3}), ["small", "small"]),
        (request(count=3, named={"small": 3}, all_or_nothing=True), []),
        (request(count=3, named={"large": 3}, max_per_minion=2, members_by_minion={"large": 1}), ["large"]),
        (request(count=1, named={"large": 1}, required_label="r2"), []),
        (request(count=1, named={"unknown": 1}), []),
    ],
)
def test_selection_fits_the_request(table: MinionTable, lease_request: LeaseRequest, expected: list[str]) -> None:
    assert selected(table, lease_request) == expected


def test_leased_capacity_is_not_granted_again(table: MinionTable) -> None:
    table.minions["large"].add_lease(
        Lease(lease_id=1, minion_id="large", group_id=2, size=Resources(8000, 10, 0), expires_at=200.0)
    )
    assert selected(table, request(count=9, named={"large": 9})) == []
    assert "large" not in selected(table, request(count=9))


def test_minion_that_the_group_has_not_attached_is_passed_over(table: MinionTable) -> None:
    del table.minions["small"].attachments[GROUP]
    assert selected(table, request()) == ["large"]


def test_minion_on_which_an_unknown_run_goes_on_is_passed_over(table: MinionTable) -> None:
    table.minions["small"].unknown_runs["t"] = 1
    assert selected(table, request()) == ["large"]
    assert selected(table, request(named={"small": 1})) == []
