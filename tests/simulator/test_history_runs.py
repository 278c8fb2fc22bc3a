"""Histories of jobs from the simulated cluster through faults; and a mutant whose answers go to other callers."""

from functools import partial
from typing import Any

import msgspec
import orjson
import pytest

from yarrowloom.node.call_messages import GroupReply
from yarrowloom.node.group_calls import GroupCalls
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.judges.history import Breach, History, JobCall, JobVerb, Operation, Outcome, outcome_of
from yarrowloom.simulator.judges.history_checks import check_answers, check_jobs
from yarrowloom.simulator.judges.oracle import Oracle
from yarrowloom.simulator.sample_config import HOST
from yarrowloom.transport.http_messages import Response

PATIENCE_S = 3.0
TASK: dict[str, Any] = {"task-count": 2, "cpus": 500, "mem-mb": 100, "estimate-ms": 500}
METHODS = {JobVerb.SUBMIT: "POST", JobVerb.SHOW: "GET", JobVerb.CANCEL: "DELETE"}


class Client:
    """Hands in jobs, asks for them all the time, cancels some; records every call."""

    def __init__(self, *, sim: Sim, oracle: Oracle) -> None:
        self.sim, self.oracle = sim, oracle
        self.history = History()
        self.number = 0
        self.jobs: list[str] = []

    def work(self, *, jobs: int) -> None:
        """One job every 0.3 s, and three questions in that time."""
        if jobs == 0:
            return
        job_id = f"{self.sim.rng.getrandbits(64):016x}"
        self.oracle.jobs[job_id] = {"task-spec": f"spec-{job_id}", "stages": [TASK]}
        self.jobs.append(job_id)
        self.call(job_id=job_id, verb=JobVerb.SUBMIT)
        for _ in range(3):
            self.call(job_id=self.sim.rng.choice(self.jobs), verb=JobVerb.SHOW)
        if self.sim.rng.random() < 0.2:
            self.call(job_id=self.sim.rng.choice(self.jobs[-5:]), verb=JobVerb.CANCEL)
        self.sim.at(delay=0.3, fn=partial(self.work, jobs=jobs - 1))

    def call(self, *, job_id: str, verb: JobVerb) -> None:
        self.number += 1
        number, invoked_s, open_ = self.number, self.sim.now, [True]

        def ended(response: Response | None) -> None:
            if not open_:
                return
            open_.clear()
            status = response.status if response is not None else 0
            document = orjson.loads(response.body) if response is not None and status == 200 and response.body else {}
            shows = "state" in document  # only the answer to SHOW does
            echo = None if status != 200 else "shows" if shows else "does"
            state = document["state"] if shows and verb is JobVerb.SHOW else ""
            operation = Operation(
                number=number,
                process="client",
                argument=JobCall(job=job_id, verb=verb),
                invoked_s=invoked_s,
                returned_s=self.sim.now,
                outcome=outcome_of(status=status),
                status=status,
                state=state,
                echo=echo,
                nonce="shows" if verb is JobVerb.SHOW else "does",
            )
            self.history.add(operation=operation)
            if verb is not JobVerb.SHOW and operation.outcome is Outcome.UNCLEAR:
                self.sim.at(delay=0.2, fn=lambda: self.call(job_id=job_id, verb=verb))

        self.sim.at(delay=PATIENCE_S, fn=lambda: ended(None))
        ip = self.sim.rng.choice(self.sim.edge_ips)
        self.sim.http(
            ip=ip,
            src="client",
            method=METHODS[verb],
            path=f"/fast/{job_id}",
            document=self.oracle.jobs[job_id] if verb is JobVerb.SUBMIT else None,
            headers={"host": HOST, "x-deadline-ms": "3000"},
            back=ended,
        )


def played(*, seed: int, fault: str) -> tuple[Client, Breach | None]:
    """40 s of jobs with faults between; the client's history judged."""
    sim, oracle, _, _ = cluster(seed=seed, edges=2)
    client = Client(sim=sim, oracle=oracle)
    client.work(jobs=100)
    for _ in range(4):
        sim.run(seconds=6.0)
        lead = sim.serving(group_id=1)
        if fault == "kill" and lead:
            sim.kill(ip=lead[0], power=True)
            sim.at(delay=1.5, fn=lambda ip=lead[0]: sim.boot(ip=ip))  # type: ignore[misc]
        elif fault == "freeze" and lead:
            sim.freeze(ip=lead[0], seconds=2.5)
        elif fault == "power":
            for ip in sim.core_ips:
                sim.kill(ip=ip, power=True)
                sim.at(delay=1.0, fn=lambda ip=ip: sim.boot(ip=ip))  # type: ignore[misc]
    sim.run(seconds=14.0)
    for job_id in client.jobs:
        client.call(job_id=job_id, verb=JobVerb.SHOW)
    sim.run(seconds=4.0)
    return client, check_answers(history=client.history) or check_jobs(history=client.history)


@pytest.mark.parametrize("fault", ["none", "kill", "freeze", "power"])
@pytest.mark.parametrize("seed", range(3))
def test_the_history_of_jobs_is_clean(seed: int, fault: str) -> None:
    client, breach = played(seed=seed, fault=fault)
    assert breach is None, str(breach)
    assert sum(op.state in ("complete", "cancelled") for op in client.history.jobs) > 100


def crossed(patch: pytest.MonkeyPatch, *, same_kind: bool) -> None:
    """An answer about jobs is given to the oldest call about jobs that is open: to any, or to one of its own kind."""
    whole = GroupCalls.on_reply

    def on_reply(self: GroupCalls, *, node_id: str, reply: GroupReply) -> None:
        own = self.pending.get(reply.request_id)
        request_ids = [
            request_id
            for request_id, call in self.pending.items()
            if own is not None
            and own.group_id == call.group_id > 0
            and (call.operation is own.operation or not same_kind)
        ]
        request_id = request_ids[0] if request_ids else reply.request_id
        whole(self, node_id=node_id, reply=msgspec.structs.replace(reply, request_id=request_id))

    patch.setattr(GroupCalls, "on_reply", on_reply)


@pytest.mark.parametrize("same_kind", [True, False])
def test_answers_that_go_to_other_callers_are_found(same_kind: bool, monkeypatch: pytest.MonkeyPatch) -> None:
    crossed(monkeypatch, same_kind=same_kind)
    found = {breach.rule for _, breach in (played(seed=seed, fault="kill") for seed in range(6)) if breach is not None}
    assert found & (
        {"state-went-back", "ended-twice", "accepted-job-gone", "cancelled-job-alive"}
        if same_kind
        else {"answer-to-another"}
    ), found
