"""A small closed world for model checking: real agents and real placing nodes, stub replicas, minions as the protocol
says. All of it is data, so that a state is a pickle; `choices` are what may happen next, `do` lets it happen."""

from dataclasses import dataclass, field
from typing import Any, cast

import orjson

from yarrowloom.agent import Agent, AgentEnvironment, AgentTiming
from yarrowloom.agent.heartbeat import parse_heartbeat
from yarrowloom.agent.messages import AGENT_MESSAGES
from yarrowloom.cluster_state.routing_table import Route
from yarrowloom.common.defaults import SHIPPED
from yarrowloom.common.effects import Effect
from yarrowloom.common.records import decode
from yarrowloom.jobs.model import TaskState
from yarrowloom.jobs.state_machine import Jobs
from yarrowloom.jobs.submission import parse_submission
from yarrowloom.jobs.task_name import task_name
from yarrowloom.prediction import History
from yarrowloom.replication.replica import Replica
from yarrowloom.scheduling import OrderRuns, SchedulerEnvironment, StopRuns
from yarrowloom.scheduling.scheduler import Scheduler
from yarrowloom.transport.effects import Reply, SendMessage
from yarrowloom.transport.envelope import Kind
from yarrowloom.transport.http_server import Response
from yarrowloom.transport.message import Message

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


class Broken(AssertionError):
    """An invariant does not hold."""


def need(ok: bool, rule: str, *what: object) -> None:
    if not ok:
        raise Broken(f"{rule} {' '.join(map(str, what))}")


@dataclass
class Rep:
    """A replica as its users see it. Invariant: what `commit` applied and `write` did not reach dies with the node."""

    w: "World"
    group_id: int
    state_epoch: int
    state: Jobs
    queue: list[tuple[dict[str, Any] | None, Effect | None]] = field(default_factory=list)

    def is_serving(self) -> bool:
        return True

    def commit(self, *, event: dict[str, Any], then: Effect | None = None) -> Any:
        if event["t"] == "start":
            step = self.state.jobs[event["id"]].step_of(unit_key=event["u"])
            need(not step.is_gang or len(event["x"]) == step.task_count, "GANG", "below its criterion", event)
            if then is not None:
                assert isinstance(then, OrderRuns)
                leases = [run.lease for run in then.runs]
                need(
                    len({(lease.agent_id, lease.lease_id) for lease in leases}) == len(event["x"]),
                    "LEASE",
                    "shared",
                    event,
                )
                for lease in leases:
                    self.w.holds(
                        node_id=self.w.node_id(group_id=self.group_id), agent=lease.agent_id, lease_id=lease.lease_id
                    )
        out = self.state.apply(event)
        self.queue.append((event, then))
        return out

    def barrier(self, *, then: Effect) -> None:
        if self.queue:
            self.queue.append((None, then))
        else:
            self.w.effect(group_id=self.group_id, effect=then)

    def write(self) -> list[Effect]:
        """All that waits is durable: what follows from it."""
        rows, self.queue = self.queue, []
        for event, _ in rows:
            if event is not None:
                self.w.log[self.group_id].append(orjson.loads(orjson.dumps(event)))
                if event["t"] == "start":
                    self.w.begun.update(
                        f"{task_name(job_id=event['id'], unit_key=event['u'], index=i)}/{run}"
                        for i, run, _ in event["x"]
                    )
        return [then for _, then in rows if then is not None]


@dataclass
class ReplicaEnvironment:
    """A node's surroundings, for agents and placing nodes."""

    w: "World"
    node_id: str
    prims: dict[int, tuple[str, int]] = field(default_factory=dict)

    @property
    def now(self) -> float:
        return self.w.now

    @property
    def wall_now(self) -> float:
        return self.w.now

    def send(self, *, node_id: str, kind: Kind, body: dict[str, Any]) -> None:
        self.w.send(src=self.node_id, dst=node_id, kind=kind, body=body)

    def send_message(self, *, node_id: str, message: Message) -> None:
        self.send(node_id=node_id, kind=message.KIND, body=orjson.loads(message.encoded()))

    def respond(self, *, call: Any, response: Response) -> None:
        document = orjson.loads(response.body) if response.body else {}
        self.w.push(
            src=self.node_id, dst=call[0], what="ANSWER", body={"seq": call[1], "s": response.status, "d": document}
        )

    def trusted(self) -> bool:
        return True

    def primary(self, *, group_id: int) -> tuple[str, int] | None:
        return self.prims[group_id]

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
        need(False, "LOST", minion_id, "was called lost, but minions never fall silent here")

    def route(self, *, name: str) -> Route | None:
        return ROUTE

    def reply(self, *, node_id: str, request_id: int, status: int, document: Any) -> None:
        need(status == 200, "REFUSED", status, document)

    def ranks(self) -> dict[str, int]:
        return {"q": 0}

    def evacuations(self) -> frozenset[str]:
        return frozenset()


@dataclass
class Mini:
    """A minion: one beat at a time; a start beyond every run number seen of its task only; ends kept until noted."""

    w: "World"
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
        self.sent = self.w.now
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
        self.w.agents[self.agent].on_heartbeat(
            minion_id=self.minion_id, heartbeat=heartbeat, call=(self.minion_id, self.seq)
        )

    def answer(self, *, b: dict[str, Any]) -> None:
        if b["seq"] != self.seq or self.sent < 0:
            return
        sent, self.sent, document = self.sent, -1.0, b["d"]
        self.due = self.w.now + (document.get("retry-after-ms", 100) if b["s"] == 200 else 100) / 1000
        if b["s"] != 200 or document["fence-no"] < self.fence:
            return
        self.fence = document["fence-no"]
        if "hold-ms" in document:
            self.hold = max(self.hold, sent + document["hold-ms"] / 1000)
        for n in [n for n in self.ends if n <= document.get("last-seen", 0)]:
            task, _, how, _ = self.ends.pop(n)
            if how == "done":
                self.w.noted.add(task)
                need(self.w.durable(task=task), "LOST", task, "was noted and is not in the record")
        for task, run in document.get("stopped", []):
            self.top[task] = max(self.top.get(task, 0), run)
            if task in self.running and self.running[task][0] == run:
                self.running[task][2] = True
        for task, run, spec, _ in document.get("started", []):
            if run > self.top.get(task, 0):
                self.top[task] = run
                need(spec == f"spec-{task.split('.')[0]}", "UNASKED", task)
                need(f"{task}/{run}" in self.w.begun, "EARLY", task, run, "is not in the record")
                need(task not in self.w.noted, "TWICE", task, run, "after its end was noted")
                need(
                    not any(task in m.running for m in self.w.minis.values()), "TWICE", task, run, "on", self.minion_id
                )
                self.running[task] = [run, self.w.now, False]

    def end(self, *, task: str, how: str) -> None:
        run = self.running.pop(task)[0]
        self.num += 1
        self.ends[self.num] = (task, run, how, "")


class World:
    """Two placing nodes, two agents with one minion each. Invariant: a channel (sender, receiver) is a queue; what was
    lost of it is told to the receiver with the next message."""

    def __init__(self) -> None:
        self.now = 100.0
        self.serial = 0
        self.lines: dict[tuple[str, str], list[tuple[int, str, dict[str, Any]]]] = {}
        self.torn: set[tuple[str, str]] = set()
        self.log: dict[int, list[dict[str, Any]]] = {1: [], 2: []}
        self.begun: set[str] = set()
        self.noted: set[str] = set()
        self.grants: dict[str, str] = {}  # agent:lease, to whom it was granted
        self.back: set[str] = set()  # those that were given back
        self.size: dict[str, int] = {}
        self.minis = {
            minion_id: Mini(w=self, minion_id=minion_id, agent=node_id)
            for node_id, minion_id in (("a1", "i1"), ("a2", "i2"))
        }
        self.agents: dict[str, Agent] = {}
        self.schedulers: dict[int, Scheduler] = {}
        for group_id in (1, 2):
            self.rise(group_id=group_id, n=1)
        for m in self.minis.values():
            environment = ReplicaEnvironment(
                w=self, node_id=m.agent, prims={group_id: (self.node_id(group_id=group_id), 1) for group_id in (1, 2)}
            )
            self.agents[m.agent] = Agent(
                environment=cast(AgentEnvironment, environment),
                timing=AgentTiming(hold_ms=HOLD_MS, stop_grace_ms=STOP_MS, heartbeat_ms=LAG_MS, drain_ms=DRAIN_MS),
            )
            self.agents[m.agent].add_minion(minion_id=m.minion_id, fence=5, service="", zone="", labels=[])

    # -- placing nodes

    def node_id(self, *, group_id: int) -> str:
        return str(self.schedulers[group_id].context.environment.node_id)

    def rise(self, *, group_id: int, n: int) -> None:
        """A placing node begins with what is durable."""
        jobs = Jobs()
        for event in self.log[group_id]:
            jobs.apply(orjson.loads(orjson.dumps(event)))
        replica = Rep(w=self, group_id=group_id, state_epoch=n, state=jobs)
        self.schedulers[group_id] = Scheduler(
            defaults=SHIPPED,
            history=History(),
            group_id=group_id,
            environment=cast(SchedulerEnvironment, ReplicaEnvironment(w=self, node_id=f"p{group_id}.{n}")),
            replica=cast(Replica, replica),
            jobs=jobs,
            remote_factor=2.0,
            retention_s=120.0,
        )

    def replica(self, *, group_id: int) -> Rep:
        return cast(Rep, self.schedulers[group_id].context.replica)

    def put(self, *, job_id: str, stages: list[dict[str, Any]]) -> None:
        """A job is handed in."""
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
            need(isinstance(effect, Reply), "EFFECT", effect)

    def durable(self, *, task: str) -> bool:
        job_id, k, s, i = task.split(".")
        jobs = Jobs()
        for event in self.log[1 + int(job_id[:8], 16) % 2]:
            jobs.apply(orjson.loads(orjson.dumps(event)))
        job = jobs.jobs[job_id]
        return job.has_ended or job.units[f"{k}.{s}"].task_states[int(i)] is TaskState.DONE

    # -- channels

    def push(self, *, src: str, dst: str, what: str, body: dict[str, Any]) -> None:
        self.serial += 1
        self.lines.setdefault((src, dst), []).append((self.serial, what, orjson.loads(orjson.dumps(body))))

    def send(self, *, src: str, dst: str, kind: Kind, body: dict[str, Any]) -> None:
        if kind is Kind.LEASE_GRANT:
            for lease_id, _, _ in body["x"]:
                self.grants[f"{src}:{lease_id}"] = dst
        elif kind is Kind.LEASE_RETURN:
            for _, lease_id in body["x"]:
                self.holds(node_id=src, agent=dst, lease_id=lease_id)
                self.back.add(f"{dst}:{lease_id}")
        elif kind is Kind.TASK_ORDERS:
            for _, _, lease_id, task, run, _, _ in body["x"]:
                need(f"{task}/{run}" in self.begun, "EARLY", task, run, "is ordered and not in the record")
                self.holds(node_id=src, agent=dst, lease_id=lease_id)
        if dst in self.agents or dst in (self.node_id(group_id=1), self.node_id(group_id=2)):
            self.push(src=src, dst=dst, what=kind.name, body=body)

    def holds(self, *, node_id: str, agent: str, lease_id: int) -> None:
        need(
            self.grants.get(f"{agent}:{lease_id}") == node_id and f"{agent}:{lease_id}" not in self.back,
            "LEASE",
            f"{agent}:{lease_id}",
            "is not held by",
            node_id,
        )

    def deliver(self, *, line: tuple[str, str]) -> None:
        """The next message, with the words on room before it: these only tell figures."""
        src, dst = line
        while line in self.lines:
            _, what, body = self.lines[line].pop(0)
            if not self.lines[line]:
                del self.lines[line]
            if line in self.torn:
                self.torn.discard(line)
                self.gap(src=src, dst=dst)
            self.take(src=src, dst=dst, what=what, b=body)
            if what != "CAPACITY_REPORT":
                break

    def gap(self, *, src: str, dst: str) -> None:
        if dst in self.agents:
            self.agents[dst].on_lost_messages(node_id=src)
        for scheduler in self.schedulers.values():
            if scheduler.context.environment.node_id == dst:
                scheduler.on_messages_lost(node_id=src)

    def take(self, *, src: str, dst: str, what: str, b: dict[str, Any]) -> None:
        """As in `node/core.py`."""
        if dst in self.minis:
            self.minis[dst].answer(b=b)
        elif what == "CLUSTER_UPDATE":
            cast(ReplicaEnvironment, self.agents[dst].environment).prims[b["g"]] = (b["u"], b["n"])
        elif what == "MARK":
            pass
        elif dst in self.agents:
            self.agent(a=self.agents[dst], src=src, kind=Kind[what], b=b)
        else:
            scheduler = self.schedulers[b["g"]]
            if scheduler.context.environment.node_id == dst:
                scheduler.on_message(node_id=src, kind=Kind[what], body=b)

    def agent(self, *, a: Agent, src: str, kind: Kind, b: dict[str, Any]) -> None:
        if kind is Kind.TASK_ORDERS:
            was = {(m.minion_id, r.task, r.run) for m in a.minions.values() for r in m.runs.values()}
            self.to_agent(a=a, src=src, kind=kind, b=b)
            for minion_id, _, lease_id, task, run, _, _ in b["x"]:
                r = a.minions[minion_id].runs.get(task)
                if r is not None and r.run == run and (minion_id, task, run) not in was:
                    self.holds(node_id=src, agent=a.environment.node_id, lease_id=lease_id)
                    need(src == a.environment.primary(group_id=b["g"])[0], "LEASE", src, "is no primary")  # type: ignore[index]
        else:
            need(kind in AGENT_MESSAGES, "KIND", kind.name)
            self.to_agent(a=a, src=src, kind=kind, b=b)

    @staticmethod
    def to_agent(*, a: Agent, src: str, kind: Kind, b: dict[str, Any]) -> None:
        a.on_message(node_id=src, message=decode(b, into=AGENT_MESSAGES[kind]))
