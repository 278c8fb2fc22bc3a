"""Observers of a run: events about jobs, who serves each group, and an operator who changes the config."""

from typing import Any

import orjson

from ..node.node_base import JOB_GROUPS
from ..transport.http_messages import Response
from .events import JobEvent
from .faulty_cluster import FaultyCluster
from .judges.job_rules import Judge
from .minions import SimMinion
from .sample_config import HOST

LOOK_S = 0.1
CHANGE_S = (0.5, 3.0)  # an operator rests this long between changes
RETRY_S = 1.5  # an order without an answer is sent again, as it was
FIRST_VERSION = 3


class ReportingJudge(Judge):
    """A judge that also reports what it observes as events of the run."""

    def __init__(self, *, sim: FaultyCluster, tries: int = 3) -> None:
        self.shown_last: dict[str, str] = {}
        self.teller = sim
        super().__init__(sim=sim, tries=tries)

    def _tell(self, *, who: str, job: str, text: str) -> None:
        self.teller.tell(JobEvent(at_s=self.teller.now - self.teller.started_s, who=who, text=text, job=job))

    def breach(self, *, rule: str, what: str) -> None:
        """Note a broken rule."""
        self.teller.note(who="judge", text=f"BREACH {rule} {what}")
        super().breach(rule=rule, what=what)

    def started(self, *, m: SimMinion, task: str, run: int, spec: str, saved: str) -> None:
        """A minion begins a task."""
        more = f" from checkpoint {saved}" if saved else ""
        self._tell(who=m.minion_id, job=task.split(".")[0], text=f"starts {task} run {run}{more}, fence {m.fence}")
        super().started(m=m, task=task, run=run, spec=spec, saved=saved)

    def ended(self, *, m: SimMinion, task: str, run: int, how: str) -> None:
        """A minion's run of a task ended."""
        self._tell(who=m.minion_id, job=task.split(".")[0], text=f"ends {task} run {run}: {how}")
        super().ended(m=m, task=task, run=run, how=how)

    def seen(self, *, m: SimMinion, num: int, task: str, run: int, how: str, lapsed: bool) -> None:
        """An end's number was reached by `last-seen`."""
        late = ", after its hold had lapsed" if lapsed else ""
        self._tell(who=m.minion_id, job=task.split(".")[0], text=f"end of {task} run {run} ({how}) acknowledged{late}")
        super().seen(m=m, num=num, task=task, run=run, how=how, lapsed=lapsed)

    def shown(self, *, job_id: str, status: int, state: str, sent: float) -> None:
        """An answer on a job's state."""
        text = f"{job_id} is {state}" if status == 200 else f"{job_id}: status {status}"
        if self.shown_last.get(job_id) != text:
            self.shown_last[job_id] = text
            self._tell(who="caller", job=job_id, text=text)
        super().shown(job_id=job_id, status=status, state=state, sent=sent)


class ServingCheck:
    """Notes who serves each group; two at a time are a breach. Looks every `LOOK_S`."""

    def __init__(self, *, sim: FaultyCluster) -> None:
        self.sim = sim
        self.groups = 1 + JOB_GROUPS
        self.last: dict[int, str] = {}
        self.elections = 0
        self.broken: list[str] = []
        self._look()

    def _look(self) -> None:
        self.sim.at(delay=LOOK_S, fn=self._look)
        for group_id in range(self.groups):
            serving = self.sim.serving(group_id=group_id)
            if len(serving) > 1:
                self.broken.append(f"PRIMARY group {group_id} is served by {serving} at {self.sim.now:.2f}")
            if serving and serving[0] != self.last.get(group_id):
                self.elections += group_id in self.last
                self.last[group_id] = serving[0]
                self.sim.note(
                    who=serving[0],
                    text=f"serves group {group_id} in epoch {self._epoch(ip=serving[0], group_id=group_id)}",
                )

    def _epoch(self, *, ip: str, group_id: int) -> int | str:
        epoch = self.sim.core(ip).replicas[group_id].epoch
        return "?" if epoch is None else epoch.number


class Operator:
    """Changes the configuration again and again; an order without a clear answer is sent again as it was."""

    def __init__(self, *, sim: FaultyCluster) -> None:
        self.sim = sim
        self.version = FIRST_VERSION
        self.changes = 0
        self.working = True
        self.broken: list[str] = []
        sim.at(delay=sim.rng.uniform(*CHANGE_S), fn=self._change)

    def _change(self) -> None:
        if self.working:
            self._send(document=self._doc(version=self.version + 1))

    def _doc(self, *, version: int) -> dict[str, Any]:
        route = {
            "name": "extra",
            "host-name": HOST,
            "path-prefix": "/extra/",
            "route-kind": "mutating",
            "deadline-ms": 3000,
            "target-ms": 2000 + version,
            "rank": 2,
            "backend": "svc",
            "max-tries": 3,
            "stretch": 2.0,
        }
        return {"config-version": version, "upserts": {"route-table": [route]}}

    def _send(self, *, document: dict[str, Any]) -> None:
        version = document["config-version"]
        answered: list[int] = []

        def back(response: Response) -> None:
            if answered:
                return
            answered.append(response.status)
            if response.status == 200:
                self.version, self.changes = version, self.changes + 1
                self.sim.note(who="op", text=f"configuration {version} confirmed")
                self.sim.at(delay=self.sim.rng.uniform(*CHANGE_S), fn=self._change)
            elif response.status == 412:
                self.broken.append(
                    f"CONFIG {version}, sent by the only operator on {version - 1}, refused at "
                    f"{self.sim.now:.2f}: {response.body.decode()[:200]}"
                )

        def late() -> None:
            if not answered or answered[0] not in (200, 412):
                answered.append(0)
                self._send(document=document)

        self.sim.http(
            ip=self.sim.rng.choice(self.sim.core_ips),
            src="op",
            method="PATCH",
            path="/config",
            document=document,
            headers={"if-match": str(version - 1)},
            back=back,
        )
        self.sim.at(delay=RETRY_S, fn=late)

    def read_back(self) -> None:
        """At the end the configuration holds what was confirmed."""
        for _ in range(20):
            status, document = self.sim.ask(
                ip=self.sim.rng.choice(self.sim.core_ips), method="GET", path="/config", limit=1.0
            )
            if status == 200:
                self._compare(document=orjson.loads(orjson.dumps(document)))
                return
        self.broken.append(f"CONFIG no answer to GET /config at {self.sim.now:.2f}")

    def _compare(self, *, document: dict[str, Any]) -> None:
        if document["config-version"] < self.version:
            self.broken.append(f"CONFIG {document['config-version']} at the end, {self.version} was confirmed")
