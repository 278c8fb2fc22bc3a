"""The agent alone: exclusive leases, orders only through it, what becomes of orders that went astray."""

import random
from typing import Any

import orjson

from yarrowloom.agent import Agent, AgentTiming
from yarrowloom.agent.heartbeat import parse_heartbeat
from yarrowloom.agent.messages import (
    AttachMinion,
    LeaseRequest,
    LeaseReturn,
    MinionLostAcknowledged,
    StopTasks,
    TaskEndsAcknowledged,
    TaskOrders,
)
from yarrowloom.common.records import decode
from yarrowloom.transport.envelope import Kind
from yarrowloom.transport.http_server import Response
from yarrowloom.transport.message import Message


class FakeHub:
    """Collects what an agent says."""

    def __init__(self) -> None:
        self.now = 100.0
        self.node_id = "me"
        self.sent: list[tuple[str, Kind, dict[str, Any]]] = []
        self.answers: dict[Any, Response] = {}
        self.trust = True
        self.shut: set[str] = set()
        self.lost: list[str] = []

    def send_message(self, *, node_id: str, message: Message) -> None:
        self.sent.append((node_id, message.KIND, orjson.loads(message.encoded())))

    def respond(self, *, call: Any, response: Response) -> None:
        self.answers[call] = response

    def trusted(self) -> bool:
        return self.trust

    def primary(self, *, group_id: int) -> tuple[str, int] | None:
        return f"p{group_id}", 1

    def evacuated(self, *, zone: str) -> bool:
        return zone in self.shut

    def groups(self) -> range:
        return range(1, 3)

    def cores(self) -> list[str]:
        return ["me", "p1", "p2"]

    def note(self, *, event: str, **fields: object) -> None:
        pass

    def gone(self, *, minion_id: str, fence: int) -> None:
        self.lost.append(minion_id)

    def last(self, kind: Kind) -> dict[str, Any]:
        return [b for _, k, b in self.sent if k is kind][-1]


JOB = "0000000000000001"  # of group 2
TASK = f"{JOB}.0.0.0"


class Rig:
    """An agent with one known minion that both groups have attached."""

    def __init__(self, *, cap: tuple[int, int, int] = (4000, 8000, 2)) -> None:
        self.environment = FakeHub()
        self.agent = Agent(
            environment=self.environment,
            timing=AgentTiming(hold_ms=4000, stop_grace_ms=400, heartbeat_ms=1400, drain_ms=2000),
        )
        self.cap = cap
        self.seq = 0
        self.agent.add_minion(minion_id="i", fence=5, service="", zone="", labels=[])
        self.beat()
        assert orjson.loads(self.environment.answers[1].body)["fence-no"] == 5
        assert "started" not in orjson.loads(self.environment.answers[1].body)
        self.beat()
        self.attach(group_id=1)
        self.attach(group_id=2)

    def beat(self, *, running: list[Any] | None = None, ends: list[Any] | None = None, state: str = "ready") -> Any:
        self.seq += 1
        cpu, mem, gpu = self.cap
        heartbeat = parse_heartbeat(
            document={
                "backend": "s",
                "zone": "z",
                "state": state,
                "call-seq": self.seq,
                "labels": ["a", "r"],
                "capacity": {"cpus": cpu, "mem-mb": mem, "gpus": gpu},
                "running": running or [],
                "finished": ends or [],
            }
        )
        self.agent.on_heartbeat(minion_id="i", heartbeat=heartbeat, call=self.seq)
        return self.wait()

    def wait(self) -> Any:
        """The answer to the last beat, after time enough."""
        for _ in range(30):
            if self.seq in self.environment.answers:
                response = self.environment.answers[self.seq]
                return orjson.loads(response.body) if response.body else {"status": response.status}
            self.environment.now += 0.05
            self.agent.tick()
        raise AssertionError("never answered")

    def attach(self, *, group_id: int, x: list[Any] | None = None, seq: int = 1, n: int = 1) -> None:
        self.take(
            AttachMinion, {"g": group_id, "n": n, "seq": seq, "m": "i", "f": 5, "x": x or []}, node_id=f"p{group_id}"
        )

    def take(self, message_type: type[Message], document: dict[str, Any], *, node_id: str = "p") -> None:
        """A message comes, as it is encoded."""
        self.agent.on_message(node_id=node_id, message=decode(document, into=message_type))

    def ask(self, *, group_id: int, n: int = 1, cpu: int = 1000, gpu: int = 0) -> list[Any]:
        self.take(
            LeaseRequest,
            {
                "g": group_id,
                "rid": 1,
                "svc": "s",
                "cpu": cpu,
                "mem": 10,
                "gpu": gpu,
                "req": "",
                "near": "",
                "n": n,
                "been": ["me"],
                "apart": 0,
                "avoid": {},
                "on": [],
            },
            node_id=f"p{group_id}",
        )
        rows: list[Any] = self.environment.last(Kind.LEASE_GRANT)["x"]
        return rows

    def order(
        self, *, lease_id: int, group_id: int = 2, task: str = TASK, run: int = 1, n: int = 1, seq: int = 1
    ) -> None:
        self.take(
            TaskOrders,
            {
                "g": group_id,
                "n": n,
                "sp": {task.split(".")[0]: "spec"},
                "x": [["i", seq, lease_id, task, run, "", 500]],
            },
            node_id=f"p{group_id}",
        )


def test_two_placing_nodes_never_get_one_room() -> None:
    rng = random.Random(7)
    rig = Rig()
    held: list[tuple[int, int, int, int]] = []
    for _ in range(400):
        group_id = rng.randint(1, 2)
        if held and rng.random() < 0.45:
            owner, lease_id, *_ = held.pop(rng.randrange(len(held)))
            rig.take(LeaseReturn, {"g": owner, "x": [["i", lease_id]]})
        else:
            cpu, gpu = rng.choice([500, 1500, 3000]), rng.choice([0, 0, 1])
            held += [
                (group_id, lease_id, cpu, gpu)
                for lease_id, _, _ in rig.ask(group_id=group_id, n=rng.randint(1, 3), cpu=cpu, gpu=gpu)
            ]
        assert len({lease_id for _, lease_id, _, _ in held}) == len(held)
        assert sum(h[2] for h in held) <= 4000
        assert sum(h[3] for h in held) <= 2


def test_order_goes_only_on_a_lease_of_the_newest_attachment() -> None:
    rig = Rig()
    ((lease_id, _, _),) = rig.ask(group_id=2)
    rig.order(lease_id=lease_id + 7)
    assert rig.environment.last(Kind.ORDERS_REJECTED)["x"] == [["i", 1, TASK, 1]]
    rig.order(lease_id=lease_id, n=0)
    assert TASK not in rig.agent.minions["i"].runs
    rig.order(lease_id=lease_id)
    assert rig.beat()["started"] == [[TASK, 1, "spec", ""]]


def test_sent_order_survives_a_new_attachment() -> None:
    rig = Rig()
    ((lease_id, _, _),) = rig.ask(group_id=2)
    rig.order(lease_id=lease_id)
    assert "started" in rig.beat()
    rig.attach(group_id=2, seq=2, x=[[TASK, 1, 1000, 10, 0, 500]])
    assert rig.environment.last(Kind.ATTACHMENT_VERDICT)["x"] == []


def test_unlisted_order_of_a_former_agent_never_started() -> None:
    rig = Rig()
    rig.attach(group_id=2, seq=2, x=[[TASK, 1, 1000, 10, 0, 500]])
    assert rig.environment.last(Kind.ATTACHMENT_VERDICT)["x"] == [[TASK, 1]]


def test_stopped_order_that_was_not_carried_out_is_sent_back() -> None:
    """Once it hung for ever: neither sent again nor stopped, and its gang waited."""
    rig = Rig()
    ((lease_id, _, _),) = rig.ask(group_id=2)
    rig.order(lease_id=lease_id)
    assert "started" in rig.beat()
    rig.take(StopTasks, {"g": 2, "x": [["i", TASK, 1]]})
    rig.beat()
    assert rig.environment.last(Kind.ORDERS_REJECTED)["x"] == [["i", 1, TASK, 1]]
    assert rig.agent.minions["i"].runs == {}


def test_end_is_noted_only_when_its_group_has_it() -> None:
    rig = Rig()
    ((lease_id, _, _),) = rig.ask(group_id=2)
    rig.order(lease_id=lease_id)
    rig.beat()
    rig.beat(running=[[TASK, 1, "", 50]])
    assert rig.beat(ends=[[1, TASK, 1, "done", ""]])["last-seen"] == 0
    assert rig.environment.last(Kind.TASK_ENDS)["x"] == [[1, TASK, 1, "done", ""]]
    rig.take(TaskEndsAcknowledged, {"g": 2, "m": "i", "f": 5, "x": [[1, TASK, 1]]})
    assert rig.beat()["last-seen"] == 1


def test_nothing_starts_on_a_draining_or_evacuated_minion_or_without_trust() -> None:
    for how in ("drain", "evac", "trust"):
        rig = Rig()
        ((lease_id, _, _),) = rig.ask(group_id=2)
        rig.order(lease_id=lease_id)
        if how == "evac":
            rig.environment.shut.add("z")
        if how == "trust":
            rig.environment.trust = False
        out = rig.beat(state="draining" if how == "drain" else "ready")
        assert "started" not in out
        if how != "trust":
            assert rig.environment.last(Kind.ORDERS_REJECTED)["x"][0][2] == TASK
            assert rig.ask(group_id=1) == []


def test_silent_minion_is_lost_only_after_its_longest_hold() -> None:
    rig = Rig()
    heard = rig.environment.now  # a hold counts from when its beat was sent
    rig.beat()
    while rig.agent.minions["i"].phase.value != "lost":
        rig.environment.now += 0.05
        rig.agent.tick()
    assert rig.environment.now - heard >= 4.0 * 1.02
    assert rig.environment.last(Kind.MINION_LOST)["m"] == "i"
    assert rig.environment.lost == []
    for group_id in (1, 2):
        rig.take(MinionLostAcknowledged, {"g": group_id, "m": "i", "f": 5})
    rig.agent.tick()
    assert rig.environment.lost == ["i"]


def test_ends_before_a_takeover_do_not_hold_last_seen_back() -> None:
    """A new agent sees only ends from 40 on: the earlier numbers were forgotten under its predecessor."""
    rig = Rig()
    rig.beat(ends=[[40, TASK, 1, "done", ""], [41, TASK, 2, "done", ""]])
    rig.take(TaskEndsAcknowledged, {"g": 2, "m": "i", "f": 5, "x": [[41, TASK, 2]]})
    assert rig.beat(ends=[[40, TASK, 1, "done", ""], [41, TASK, 2, "done", ""]])["last-seen"] == 0
    rig.take(TaskEndsAcknowledged, {"g": 2, "m": "i", "f": 5, "x": [[40, TASK, 1]]})
    assert rig.beat(ends=[[40, TASK, 1, "done", ""], [41, TASK, 2, "done", ""]])["last-seen"] == 41
