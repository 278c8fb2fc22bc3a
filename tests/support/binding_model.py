"""A small closed world for model checking: real agents and schedulers, stub replicas, minions by the protocol.

All of it is data, so that a state is a pickle. `binding_explorer.choices` are what may happen next, and
`binding_explorer.do` lets it happen.
"""

from dataclasses import dataclass, field
from typing import Any, cast

import orjson

from yarrowloom.agent import Agent, AgentEnvironment, AgentTiming
from yarrowloom.agent.heartbeat import parse_heartbeat
from yarrowloom.agent.messages import AGENT_MESSAGES
from yarrowloom.cluster_state.routing_table import Route, Tenant
from yarrowloom.common.defaults import SHIPPED
from yarrowloom.common.effects import Effect
from yarrowloom.common.queue_identity import QueueIdentity
from yarrowloom.common.records import Record, decode
from yarrowloom.jobs.model import TaskState
from yarrowloom.jobs.record_keys import parse_place_key
from yarrowloom.jobs.state_machine import Jobs
from yarrowloom.jobs.submission import parse_submission
from yarrowloom.jobs.task_name import TaskAddress, task_name
from yarrowloom.prediction import History
from yarrowloom.replication.replica import Replica
from yarrowloom.scheduling import OrderRuns, SchedulerEnvironment, StopRuns
from yarrowloom.scheduling.scheduler import Scheduler
from yarrowloom.transport.effects import Reply, SendMessage
from yarrowloom.transport.http_messages import Response
from yarrowloom.transport.message import Message
from yarrowloom.transport.message_kinds import Kind

DT = 0.4  # one tick; every timer of the protocol is a few of them
HOLD_MS, STOP_MS, LAG_MS, DRAIN_MS = 4000, 400, 1400, 2000
ANSWER_S = 1.0  # a later answer is dropped
CAP = (4000, 8000, 0)
ONE, TWO = "0000000000000000", "0000000100000000"  # a job of group 1, one of group 2
ROUTE = Route(
    name="q",
    host_name="h",
    path_prefix="/q/",
    deadline_ms=3000.0,
    backend="s",
    max_attempts=3,
    target_ms=2000.0,
    rank=0,
    stretch=2.0,
)
Choice = tuple[Any, ...]


class InvariantBrokenError(AssertionError):
    """An invariant does not hold."""


def require(ok: bool, rule: str, *what: object) -> None:
    if not ok:
        raise InvariantBrokenError(f"{rule} {' '.join(map(str, what))}")


def started_tasks(event: dict[str, Any]) -> list[tuple[TaskAddress, int]]:
    """The tasks whose place entries an event writes, with the numbers of their runs."""
    if event["t"] != "tx":
        return []
    rows = [(parse_place_key(key), value) for key, _, value in event["b"]["w"] if value is not None]
    return [(address, value[2]) for address, value in rows if address is not None]


@dataclass
class StubReplica:
    """A replica as its users see it. Invariant: what `commit` applied and `write` did not reach dies with the node."""

    world: "World"
    group_id: int
    state_epoch: int
    state: Jobs
    queue: list[tuple[dict[str, Any] | None, Effect | None]] = field(default_factory=list)

    def is_serving(self) -> bool:
        return True

    def commit(self, *, event: Record, then: Effect | None = None) -> Any:
        document = event.document()
        self.check_start(event=document, then=then)
        out = self.state.apply(document)
        self.queue.append((document, then))
        return out

    def check_start(self, *, event: dict[str, Any], then: Effect | None) -> None:
        starts = started_tasks(event)
        if starts:
            address = starts[0][0]
            step = self.state.jobs[address.job_id].step_of(unit_key=address.unit_key)
            require(not step.is_gang or len(starts) == step.task_count, "GANG", "below its criterion", event)
            if then is not None:
                assert isinstance(then, OrderRuns)
                leases = [run.lease for run in then.runs]
                require(
                    len({(lease.agent_id, lease.lease_id) for lease in leases}) == len(starts),
                    "LEASE",
                    "shared",
                    event,
                )
                for lease in leases:
                    self.world.holds(
                        node_id=self.world.node_id(group_id=self.group_id),
                        agent=lease.agent_id,
                        lease_id=lease.lease_id,
                    )

    def barrier(self, *, then: Effect) -> None:
        if self.queue:
            self.queue.append((None, then))
        else:
            self.world.effect(group_id=self.group_id, effect=then)

    def write(self) -> list[Effect]:
        """All that waits is durable: what follows from it."""
        rows, self.queue = self.queue, []
        for event, _ in rows:
            if event is not None:
                self.world.log[self.group_id].append(orjson.loads(orjson.dumps(event)))
                self.world.recorded_starts.update(
                    f"{task_name(job_id=a.job_id, unit_key=a.unit_key, index=a.task_index)}/{run}"
                    for a, run in started_tasks(event)
                )
        return [then for _, then in rows if then is not None]


@dataclass
class ReplicaEnvironment:
    """A node's surroundings, for agents and schedulers."""

    world: "World"
    node_id: str
    primaries: dict[int, tuple[str, int]] = field(default_factory=dict)

    @property
    def now(self) -> float:
        return self.world.now

    @property
    def wall_now(self) -> float:
        return self.world.now

    def send(self, *, node_id: str, kind: Kind, body: dict[str, Any]) -> None:
        self.world.send(source=self.node_id, destination=node_id, kind=kind, body=body)

    def send_message(self, *, node_id: str, message: Message) -> None:
        self.send(node_id=node_id, kind=message.KIND, body=orjson.loads(message.encoded()))

    def respond(self, *, call: Any, response: Response) -> None:
        document = orjson.loads(response.body) if response.body else {}
        self.world.push(
            source=self.node_id,
            destination=call[0],
            what="ANSWER",
            body={"seq": call[1], "s": response.status, "d": document},
        )

    def trusted(self) -> bool:
        return True

    def primary(self, *, group_id: int) -> tuple[str, int] | None:
        return self.primaries[group_id]

    def evacuated(self, *, zone: str) -> bool:
        return False

    def groups(self) -> range:
        return range(1, 3)

    def cores(self) -> list[str]:
        return []  # no summaries to other agents: redirects are left out

    def note(self, *, event: str, **fields: object) -> None:
        pass

    def trace(self, *, event: str, **fields: object) -> None:
        pass

    def remove_lost_minion(self, *, minion_id: str, fence: int) -> None:
        require(False, "LOST", minion_id, "was called lost, but minions never fall silent here")

    def route_of(self, *, queue: QueueIdentity) -> Route | None:
        return ROUTE

    def tenant(self, *, name: str) -> Tenant | None:
        return None

    def reply(self, *, node_id: str, request_id: int, status: int, document: Any) -> None:
        require(status == 200, "REFUSED", status, document)

    def ranks(self) -> dict[str, int]:
        return {"q": 0}

    def evacuations(self) -> frozenset[str]:
        return frozenset()


@dataclass
class ModelMinion:
    """A minion: one beat at a time; a start beyond every run number seen of its task only; ends kept until noted."""

    world: "World"
    minion_id: str
    agent: str
    fence: int = 0
    hold: float = 0.0
    seq: int = 0
    sent: float = -1.0  # when the beat on its way left; below 0: none is
    due: float = 0.0
    num: int = 0
    running: dict[str, list[Any]] = field(default_factory=dict)  # task: run, since, to be stopped
    ends: dict[int, tuple[str, int, str, str]] = field(default_factory=dict)
    top: dict[str, int] = field(default_factory=dict)

    def beat(self) -> None:
        self.seq += 1
        self.sent = self.world.now
        cpu, mem, gpu = CAP
        heartbeat = parse_heartbeat(
            document={
                "backend": "s",
                "zone": "z",
                "state": "ready",
                "call-seq": self.seq,
                "labels": ["a", "r"],
                "capacity": {"cpus": cpu, "mem-mb": mem, "gpus": gpu},
                "running": [[t, row[0], "", 50] for t, row in self.running.items()],
                "finished": [[n, *end] for n, end in sorted(self.ends.items())],
            }
        )
        self.world.agents[self.agent].on_heartbeat(
            minion_id=self.minion_id, heartbeat=heartbeat, call=(self.minion_id, self.seq)
        )

    def answer(self, *, b: dict[str, Any]) -> None:
        if b["seq"] != self.seq or self.sent < 0:
            return
        sent, self.sent, document = self.sent, -1.0, b["d"]
        self.due = self.world.now + (document.get("retry-after-ms", 100) if b["s"] == 200 else 100) / 1000
        if b["s"] != 200 or document["fence-no"] < self.fence:
            return
        self.fence = document["fence-no"]
        if "hold-ms" in document:
            self.hold = max(self.hold, sent + document["hold-ms"] / 1000)
        for n in [n for n in self.ends if n <= document.get("last-seen", 0)]:
            task, _, how, _ = self.ends.pop(n)
            if how == "done":
                self.world.noted_tasks.add(task)
                require(self.world.durable(task=task), "LOST", task, "was noted and is not in the record")
        for task, run in document.get("stopped", []):
            self.top[task] = max(self.top.get(task, 0), run)
            if task in self.running and self.running[task][0] == run:
                self.running[task][2] = True
        for task, run, spec, _ in document.get("started", []):
            if run > self.top.get(task, 0):
                self.top[task] = run
                require(spec == f"spec-{task.split('.')[0]}", "UNASKED", task)
                require(f"{task}/{run}" in self.world.recorded_starts, "EARLY", task, run, "is not in the record")
                require(task not in self.world.noted_tasks, "TWICE", task, run, "after its end was noted")
                require(
                    not any(task in m.running for m in self.world.minions.values()),
                    "TWICE",
                    task,
                    run,
                    "on",
                    self.minion_id,
                )
                self.running[task] = [run, self.world.now, False]

    def end(self, *, task: str, how: str) -> None:
        run = self.running.pop(task)[0]
        self.num += 1
        self.ends[self.num] = (task, run, how, "")


class World:
    """Two schedulers, two agents with one minion each. Invariant: a channel (sender, receiver) is a queue; what was
    lost of it is told to the receiver with the next message."""

    def __init__(self) -> None:
        self.now = 100.0
        self.serial = 0
        self.channels: dict[tuple[str, str], list[tuple[int, str, dict[str, Any]]]] = {}
        self.lossy_channels: set[tuple[str, str]] = set()
        self.log: dict[int, list[dict[str, Any]]] = {1: [], 2: []}
        self.recorded_starts: set[str] = set()
        self.noted_tasks: set[str] = set()
        self.grants: dict[str, str] = {}  # agent:lease, to whom it was granted
        self.returned_leases: set[str] = set()  # those that were given back
        self.size: dict[str, int] = {}
        self.minions = {
            minion_id: ModelMinion(world=self, minion_id=minion_id, agent=node_id)
            for node_id, minion_id in (("a1", "i1"), ("a2", "i2"))
        }
        self.agents: dict[str, Agent] = {}
        self.schedulers: dict[int, Scheduler] = {}
        for group_id in (1, 2):
            self.start_scheduler(group_id=group_id, n=1)
        for m in self.minions.values():
            environment = ReplicaEnvironment(
                world=self,
                node_id=m.agent,
                primaries={group_id: (self.node_id(group_id=group_id), 1) for group_id in (1, 2)},
            )
            self.agents[m.agent] = Agent(
                environment=cast(AgentEnvironment, environment),
                timing=AgentTiming(hold_ms=HOLD_MS, stop_grace_ms=STOP_MS, heartbeat_ms=LAG_MS, drain_ms=DRAIN_MS),
            )
            self.agents[m.agent].add_minion(minion_id=m.minion_id, fence=5, service="", zone="", labels=[])

    # -- schedulers

    def node_id(self, *, group_id: int) -> str:
        return str(self.schedulers[group_id].context.environment.node_id)

    def start_scheduler(self, *, group_id: int, n: int) -> None:
        """A scheduler begins with what is durable."""
        jobs = Jobs()
        for event in self.log[group_id]:
            jobs.apply(orjson.loads(orjson.dumps(event)))
        replica = StubReplica(world=self, group_id=group_id, state_epoch=n, state=jobs)
        self.schedulers[group_id] = Scheduler(
            defaults=SHIPPED,
            history=History(),
            group_id=group_id,
            environment=cast(SchedulerEnvironment, ReplicaEnvironment(world=self, node_id=f"p{group_id}.{n}")),
            replica=cast(Replica, replica),
            jobs=jobs,
            remote_factor=2.0,
            retention_s=120.0,
        )

    def replica(self, *, group_id: int) -> StubReplica:
        return cast(StubReplica, self.schedulers[group_id].context.replica)

    def submit(self, *, job_id: str, stages: list[dict[str, Any]]) -> None:
        """A job is submitted."""
        group_id = 1 + int(job_id[:8], 16) % 2
        row = parse_submission(body=orjson.dumps({"task-spec": f"spec-{job_id}", "stages": stages}))
        self.size[job_id] = stages[0]["cpus"]
        self.schedulers[group_id].call(
            node_id="edge",
            request_id=1,
            operation="put",
            arguments={"id": job_id, "q": "q", "j": {**row.document(), "svc": "s", "mt": 3}},
        )
        for effect in self.replica(group_id=group_id).write():
            self.effect(group_id=group_id, effect=effect)

    def effect(self, *, group_id: int, effect: Effect) -> None:
        """As in `node/core.py`."""
        scheduler = self.schedulers[group_id]
        if isinstance(effect, OrderRuns):
            scheduler.order_runs(effect)
        elif isinstance(effect, StopRuns):
            scheduler.stop_runs(effect)
        elif isinstance(effect, SendMessage):
            scheduler.context.environment.send_message(node_id=effect.node_id, message=effect.message)
        else:
            require(isinstance(effect, Reply), "EFFECT", effect)

    def durable(self, *, task: str) -> bool:
        job_id, k, s, i = task.split(".")
        jobs = Jobs()
        for event in self.log[1 + int(job_id[:8], 16) % 2]:
            jobs.apply(orjson.loads(orjson.dumps(event)))
        job = jobs.jobs[job_id]
        return job.has_ended or job.units[f"{k}.{s}"].task_states[int(i)] is TaskState.DONE

    # -- channels

    def push(self, *, source: str, destination: str, what: str, body: dict[str, Any]) -> None:
        self.serial += 1
        self.channels.setdefault((source, destination), []).append(
            (self.serial, what, orjson.loads(orjson.dumps(body)))
        )

    def send(self, *, source: str, destination: str, kind: Kind, body: dict[str, Any]) -> None:
        if kind is Kind.LEASE_GRANT:
            for lease_id, _, _ in body["x"]:
                self.grants[f"{source}:{lease_id}"] = destination
        elif kind is Kind.LEASE_RETURN:
            for _, lease_id in body["x"]:
                self.holds(node_id=source, agent=destination, lease_id=lease_id)
                self.returned_leases.add(f"{destination}:{lease_id}")
        elif kind is Kind.TASK_ORDERS:
            for _, _, lease_id, task, run, _, _ in body["x"]:
                require(f"{task}/{run}" in self.recorded_starts, "EARLY", task, run, "is ordered and not in the record")
                self.holds(node_id=source, agent=destination, lease_id=lease_id)
        if destination in self.agents or destination in (self.node_id(group_id=1), self.node_id(group_id=2)):
            self.push(source=source, destination=destination, what=kind.name, body=body)

    def holds(self, *, node_id: str, agent: str, lease_id: int) -> None:
        require(
            self.grants.get(f"{agent}:{lease_id}") == node_id and f"{agent}:{lease_id}" not in self.returned_leases,
            "LEASE",
            f"{agent}:{lease_id}",
            "is not held by",
            node_id,
        )

    def deliver(self, *, channel: tuple[str, str]) -> None:
        """The next message, with the words on room before it: these only tell figures."""
        source, destination = channel
        while channel in self.channels:
            _, what, body = self.channels[channel].pop(0)
            if not self.channels[channel]:
                del self.channels[channel]
            if channel in self.lossy_channels:
                self.lossy_channels.discard(channel)
                self.gap(source=source, destination=destination)
            self.take(source=source, destination=destination, what=what, b=body)
            if what != "CAPACITY_REPORT":
                break

    def gap(self, *, source: str, destination: str) -> None:
        if destination in self.agents:
            self.agents[destination].on_lost_messages(node_id=source)
        for scheduler in self.schedulers.values():
            if scheduler.context.environment.node_id == destination:
                scheduler.on_messages_lost(node_id=source)

    def take(self, *, source: str, destination: str, what: str, b: dict[str, Any]) -> None:
        """As in `node/core.py`."""
        if destination in self.minions:
            self.minions[destination].answer(b=b)
        elif what == "CLUSTER_UPDATE":
            cast(ReplicaEnvironment, self.agents[destination].environment).primaries[b["g"]] = (b["u"], b["n"])
        elif what == "MARK":
            pass
        elif destination in self.agents:
            self.agent(a=self.agents[destination], source=source, kind=Kind[what], b=b)
        else:
            scheduler = self.schedulers[b["g"]]
            if scheduler.context.environment.node_id == destination:
                scheduler.on_message(node_id=source, kind=Kind[what], body=b)

    def agent(self, *, a: Agent, source: str, kind: Kind, b: dict[str, Any]) -> None:
        if kind is Kind.TASK_ORDERS:
            was = {(m.minion_id, r.task, r.run) for m in a.minions.values() for r in m.runs.values()}
            self.to_agent(a=a, source=source, kind=kind, b=b)
            for minion_id, _, lease_id, task, run, _, _ in b["x"]:
                r = a.minions[minion_id].runs.get(task)
                if r is not None and r.run == run and (minion_id, task, run) not in was:
                    self.holds(node_id=source, agent=a.environment.node_id, lease_id=lease_id)
                    require(source == a.environment.primary(group_id=b["g"])[0], "LEASE", source, "is no primary")  # type: ignore[index]
        else:
            require(kind in AGENT_MESSAGES, "KIND", kind.name)
            self.to_agent(a=a, source=source, kind=kind, b=b)

    @staticmethod
    def to_agent(*, a: Agent, source: str, kind: Kind, b: dict[str, Any]) -> None:
        a.on_message(node_id=source, message=decode(b, into=AGENT_MESSAGES[kind]))
