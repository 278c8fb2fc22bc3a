"""A job that was turned away never runs, whatever repeats of the call are still on their way."""

from typing import Any

import orjson
import pytest

from yarrowloom.node.call_messages import NOT_PRIMARY, CallOperation, GroupReply, NoArguments
from yarrowloom.node.group_calls import CallResult, GroupCalls
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.sample_config import HOST
from yarrowloom.transport.http_messages import Response
from yarrowloom.transport.message import Message

JOB = {"task-spec": "s", "stages": [{"task-count": 1, "cpus": 500, "mem-mb": 64, "estimate-ms": 300}]}
JOB_ID = "5c0e7a21d94b36f8"


def hand_in(sim: Sim, *, answers: list[Response]) -> None:
    sim.http(
        ip=sim.edge_ips[0],
        src="caller",
        method="POST",
        path=f"/fast/{JOB_ID}",
        document=JOB,
        headers={"host": HOST, "x-deadline-ms": "3000"},
        back=answers.append,
    )


def known(sim: Sim) -> bool:
    """Whether any node that serves the job group has the job."""
    return any(JOB_ID in sim.core(ip).jobs[1].jobs for ip in sim.serving(group_id=1))


def refuse_once(sim: Sim, ip: str) -> None:
    """The placing node has no room for one job, and room for all after it."""
    scheduler: Any = sim.core(ip).schedulers[1]
    verdicts = ["no room"]
    scheduler.admission._rejection = lambda *, job: verdicts.pop() if verdicts else ""


@pytest.mark.parametrize("seed", range(4))
def test_a_repeat_that_waits_behind_the_refused_call_is_refused_too(seed: int) -> None:
    sim, oracle, _, _ = cluster(seed=seed)
    oracle.jobs[JOB_ID] = JOB
    primary = sim.serving(group_id=1)[0]
    refuse_once(sim, primary)
    sim.freeze(ip=primary, seconds=0.7)  # the call and its repeat wait together
    answers: list[Response] = []
    hand_in(sim, answers=answers)
    sim.run(seconds=4.0)
    assert len(answers) == 1
    assert (answers[0].status in (429, 503)) is not known(sim), answers[0].status


@pytest.mark.parametrize("seed", range(4))
def test_a_refusal_by_the_former_primary_is_not_final_once_another_was_asked(seed: int) -> None:
    sim, oracle, _, _ = cluster(seed=seed)
    oracle.jobs[JOB_ID] = JOB
    former = sim.serving(group_id=1)[0]
    edge = sim.edge_ips[0]
    refuse_once(sim, former)
    answers: list[Response] = []
    hand_in(sim, answers=answers)
    sim.run(seconds=0.003)  # on its way to the former primary
    sim.freeze(ip=former, seconds=2.2)  # which answers late
    assert sim.until(cond=lambda: [ip for ip in sim.serving(group_id=1) if ip != former] != [], limit=2.15)
    new = next(ip for ip in sim.serving(group_id=1) if ip != former)
    sim.cut(a=new, b=edge, one_way=True)  # the new one takes the job, and its answer is lost
    sim.run(seconds=3.0)
    assert len(answers) == 1, [orjson.loads(a.body) for a in answers]
    assert (answers[0].status in (429, 503)) is not known(sim), answers[0].status


def test_a_refusal_that_a_cut_held_up_is_not_final_once_another_node_was_asked() -> None:
    ended: list[tuple[int, bool]] = []

    class Caller:
        now, node_id, serves = 0.0, "edge#1", ("a", 1)

        def send_message(self, *, node_id: str, message: Message) -> None: ...

        def primary(self, *, group_id: int) -> tuple[str, int] | None:
            return self.serves

        def learn(self, *, epochs: object) -> None: ...

    def on_end(result: CallResult) -> None:
        ended.append((result.status, result.was_sent))

    caller = Caller()
    calls = GroupCalls(environment=caller, first_request_id=0)

    def start() -> int:
        caller.serves = ("a", 1)
        operation = CallOperation.SUBMIT_JOB
        calls.start(group_id=1, operation=operation, body=NoArguments(), on_end=on_end, ttl_s=3.0)
        return calls.last_request_id

    def answer(number: int, *, node_id: str, status: int) -> None:
        reply = GroupReply(request_id=number, to="edge#1", status=status, document=[])
        calls.on_reply(node_id=node_id, reply=reply)

    number = start()
    answer(number, node_id="a", status=429)
    assert ended.pop() == (429, True)  # nobody else was asked: it is final
    number = start()
    caller.serves = ("b", 2)
    calls.tick()  # the next primary is asked
    answer(number, node_id="a", status=429)  # the former one's answer comes late
    assert ended.pop() == (0, True)  # the other may have taken it: no clear answer
    number = start()
    caller.serves = ("b", 2)
    calls.tick()
    answer(number, node_id="a", status=NOT_PRIMARY)  # the former one never took it
    answer(number, node_id="b", status=429)
    assert ended.pop() == (429, True)
