"""An agent alone, with one minion that both job groups have attached."""

from typing import Any

import orjson

from yarrowloom.agent import Agent, AgentTiming, Minion
from yarrowloom.agent.heartbeat import parse_heartbeat
from yarrowloom.agent.messages import AttachMinion, LeaseRequest, TaskOrders
from yarrowloom.common.records import decode
from yarrowloom.transport.http_messages import Response
from yarrowloom.transport.message import Message
from yarrowloom.transport.message_kinds import Kind

JOB = "0000000000000001"  # of group 2
TASK = f"{JOB}.0.0.0"
MINION = "i"
FENCE = 5
TICK_S = 0.05


class StubEnvironment:
    """Collects what an agent sends and answers."""

    def __init__(self) -> None:
        self.now = 100.0
        self.node_id = "me"
        self.sent: list[tuple[str, Kind, dict[str, Any]]] = []
        self.responses: dict[Any, Response] = {}
        self.is_trusted = True
        self.evacuated_zones: set[str] = set()
        self.removed_minions: list[str] = []

    def send_message(self, *, node_id: str, message: Message) -> None:
        self.sent.append((node_id, message.KIND, orjson.loads(message.encoded())))

    def respond(self, *, call: Any, response: Response) -> None:
        self.responses[call] = response

    def trusted(self) -> bool:
        return self.is_trusted

    def primary(self, *, group_id: int) -> tuple[str, int] | None:
        return f"p{group_id}", 1

    def evacuated(self, *, zone: str) -> bool:
        return zone in self.evacuated_zones

    def groups(self) -> range:
        return range(1, 3)

    def cores(self) -> list[str]:
        return ["me", "p1", "p2"]

    def note(self, *, event: str, **fields: object) -> None:
        pass

    def remove_lost_minion(self, *, minion_id: str, fence: int) -> None:
        self.removed_minions.append(minion_id)

    def last(self, kind: Kind) -> dict[str, Any]:
        """The last message of a kind."""
        return [body for _, sent_kind, body in self.sent if sent_kind is kind][-1]

    def has_sent(self, kind: Kind) -> bool:
        return any(sent_kind is kind for _, sent_kind, _ in self.sent)


class AgentHarness:
    """The agent and its minion, whose two first heartbeats were answered and which both groups have attached."""

    def __init__(self, *, capacity: tuple[int, int, int] = (4000, 8000, 2)) -> None:
        self.environment = StubEnvironment()
        timing = AgentTiming(hold_ms=4000, stop_grace_ms=400, heartbeat_ms=1400, drain_ms=2000)
        self.agent = Agent(environment=self.environment, timing=timing)
        self.capacity = capacity
        self.call_number = 0
        self.agent.add_minion(minion_id=MINION, fence=FENCE, service="", zone="", labels=[])
        first = self.heartbeat()
        assert first["fence-no"] == FENCE
        assert "started" not in first
        self.heartbeat()
        self.attach(group_id=1)
        self.attach(group_id=2)

    @property
    def minion(self) -> Minion:
        return self.agent.minions[MINION]

    def heartbeat(self, **fields: Any) -> Any:
        """The response to a heartbeat; `fields` are published keys in place of the usual ones."""
        self.call_number += 1
        millicores, memory_mb, gpus = self.capacity
        document = {
            "backend": "s",
            "zone": "z",
            "state": "ready",
            "call-seq": self.call_number,
            "labels": ["a", "r"],
            "capacity": {"cpus": millicores, "mem-mb": memory_mb, "gpus": gpus},
            "running": [],
            "finished": [],
        }
        heartbeat = parse_heartbeat(document={**document, **fields})
        self.agent.on_heartbeat(minion_id=MINION, heartbeat=heartbeat, call=self.call_number)
        return self.response()

    def response(self) -> Any:
        """The response to the last heartbeat, once it comes."""
        for _ in range(30):
            response = self.environment.responses.get(self.call_number)
            if response is not None:
                return orjson.loads(response.body) if response.body else {"status": response.status}
            self.tick()
        raise AssertionError("never answered")

    def tick(self) -> None:
        self.environment.now += TICK_S
        self.agent.tick()

    def deliver(self, message_type: type[Message], document: dict[str, Any], *, node_id: str = "p2") -> None:
        """A message comes, as it is encoded."""
        self.agent.on_message(node_id=node_id, message=decode(document, into=message_type))

    def attach(
        self, *, group_id: int, runs: list[Any] | None = None, attachment: int = 1, epoch_number: int = 1
    ) -> None:
        document = {
            "g": group_id,
            "n": epoch_number,
            "seq": attachment,
            "m": MINION,
            "f": FENCE,
            "x": runs or [],
        }
        self.deliver(AttachMinion, document, node_id=f"p{group_id}")

    def request_leases(self, *, group_id: int, count: int = 1, millicores: int = 1000, gpus: int = 0) -> list[Any]:
        """Rows of the grant: lease, minion, attachment."""
        document = {
            "g": group_id,
            "rid": 1,
            "svc": "s",
            "cpu": millicores,
            "mem": 10,
            "gpu": gpus,
            "req": "",
            "near": "",
            "n": count,
            "been": ["me"],
            "apart": 0,
            "avoid": {},
            "on": [],
        }
        self.deliver(LeaseRequest, document, node_id=f"p{group_id}")
        rows: list[Any] = self.environment.last(Kind.LEASE_GRANT)["x"]
        return rows

    def request_lease(self, *, group_id: int = 2) -> int:
        """Request one lease, which is granted."""
        ((lease_id, _, _),) = self.request_leases(group_id=group_id)
        return int(lease_id)

    def order(self, *, lease_id: int, run: int = 1, epoch_number: int = 1) -> None:
        """Order the task of group 2."""
        document = {
            "g": 2,
            "n": epoch_number,
            "sp": {JOB: "spec"},
            "x": [[MINION, 1, lease_id, TASK, run, "", 500]],
        }
        self.deliver(TaskOrders, document)
