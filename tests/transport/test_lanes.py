"""Between nodes: lanes and what they lose, the order of inputs, repeats of calls."""

import random
from collections.abc import Sequence
from typing import Any, cast

import orjson
import pytest
import trio
import trio.testing

from tests.support.loopback import HOST, reserved_ports
from yarrowloom.common.log import Log
from yarrowloom.node.call_messages import CallOperation, GroupReply, NoArguments
from yarrowloom.node.group_calls import RESEND_MOST_S, CallResult, GroupCalls
from yarrowloom.node.input_scheduler import TIME_SHARES, DuplicateFilter, InputClass, InputScheduler, classify_message
from yarrowloom.replication.epoch import Epoch
from yarrowloom.simulator.minions import cluster
from yarrowloom.transport.envelope import Frame, Kind, Lane, join_messages, pack_frame, split_messages
from yarrowloom.transport.message import Message
from yarrowloom.transport.peer_connections import PeerConnections
from yarrowloom.transport.send_queue import (
    FRAME_BYTES,
    MAX_QUEUED_MESSAGES,
    PROBES_AFTER_LOSS,
    PROBES_AFTER_MESSAGES,
    SendQueue,
)
from yarrowloom.transport.sequence_tracker import SequenceTracker


def take(seen: SequenceTracker, *, incarnation: int, sequence: int) -> tuple[bool, bool]:
    return seen.take(source="a", lane=2, node_id="a#0", incarnation=incarnation, sequence=sequence, connection=1)


@pytest.mark.parametrize("seed", range(40))
def test_what_is_lost_shows_as_a_gap_and_nothing_goes_back(seed: int) -> None:
    rng = random.Random(seed)
    line, seen = SendQueue(), SequenceTracker()
    got: list[int] = []
    sent, lost_after = 0, -1
    for _ in range(400):
        for _ in range(rng.randint(0, 3)):
            line.put(kind=Kind.TASK_ORDERS, body=b"%d" % sent)
            sent += 1
        if not line.messages:
            continue
        seq, body = line.take()
        if rng.random() < 0.1:
            line.on_failure(lost_messages=True)
            lost_after = sent
            continue
        line.on_sent(held_messages=True)
        fresh, gap = take(seen, incarnation=7, sequence=seq)
        rows = [m for _, m in split_messages(body=body)]
        assert fresh
        assert rows
        if got and rows[0] != got[-1] + 1:
            assert gap
            assert lost_after >= 0
        assert not got or rows[0] > got[-1]
        got += rows
        assert take(seen, incarnation=7, sequence=seq) == (False, False)
        assert take(seen, incarnation=6, sequence=seq + 9) == (False, False)
    assert got == sorted(set(got))


def test_a_full_queue_drops_and_the_next_frame_tells() -> None:
    line, seen = SendQueue(), SequenceTracker()
    assert take(seen, incarnation=1, sequence=line.take()[0])[0]
    kept = [line.put(kind=Kind.TASK_ORDERS, body=b"%d" % i) for i in range(MAX_QUEUED_MESSAGES + 5)]
    assert kept.count(False) == 5
    assert len(line.messages) == MAX_QUEUED_MESSAGES
    assert take(seen, incarnation=1, sequence=line.take()[0]) == (True, True)
    assert take(seen, incarnation=1, sequence=line.take()[0]) == (True, False)


def test_frames_are_bounded_and_one_message_may_be_larger() -> None:
    line = SendQueue()
    big = b'"%s"' % (b"x" * (FRAME_BYTES + 9))
    for body in (b'"%s"' % (b"y" * (FRAME_BYTES // 3)),) * 4 + (big, b"1"):
        line.put(kind=Kind.TASK_ORDERS, body=body)
    assert [len(split_messages(body=line.take()[1])) for _ in range(4)] == [2, 2, 1, 1]


def test_a_loss_on_a_lane_that_falls_silent_is_told_by_marks() -> None:
    """The last order before a quiet minute was lost unnoticed until the next one."""
    line = SendQueue()
    line.put(kind=Kind.TASK_ORDERS, body=b"1")
    line.take()
    line.on_sent(held_messages=True)
    assert line.probes_due == PROBES_AFTER_MESSAGES
    line.take()
    line.on_failure(lost_messages=True)
    assert line.probes_due == PROBES_AFTER_LOSS
    line.take()
    line.on_sent(held_messages=False)
    assert line.probes_due == PROBES_AFTER_MESSAGES - 1


@pytest.mark.parametrize("body", [b"", b"{}x", b'{"a":1}', b"[1]", b"[[1]]", b"[[1,2,3]]", b"null", b"[null]"])
def test_unreadable_bodies_are_refused(body: bytes) -> None:
    with pytest.raises((ValueError, TypeError)):
        split_messages(body=body)


def test_peers_batch_keep_order_per_lane_and_report_a_broken_body() -> None:
    got: list[tuple[Lane, Kind, Any]] = []
    lost: list[Lane] = []
    all_arrived, all_gaps = trio.Event(), trio.Event()

    def sink(node_id: str, lane: Lane, rows: list[tuple[Kind, Any]], gap: bool) -> None:
        if gap:
            lost.append(lane)
        got.extend((lane, kind, m) for kind, m in rows)
        if len(got) >= 601:
            all_arrived.set()
            if len(lost) >= 5:
                all_gaps.set()

    async def main() -> None:
        log = Log(name="t", level="error")
        with reserved_ports(2) as ports, trio.fail_after(20):
            here, there = (f"{HOST}:{port}" for port in ports)
            a = PeerConnections(address=here, node_id=here + "#0", incarnation=1, sink=lambda *_: None, log=log)
            b = PeerConnections(address=there, node_id=there + "#0", incarnation=1, sink=sink, log=log)
            async with trio.open_nursery() as nursery:
                await nursery.start(a.run)
                await nursery.start(b.run)
                for i in range(300):
                    a.send(address=there, kind=Kind.TASK_ORDERS, body=b"%d" % i)
                    a.send(address=there, kind=Kind.LEADER_LEASE_REQUEST, body=b"%d" % i)
                a.send(address=there, kind=Kind.SNAPSHOT, body=b'"st"')
                await all_arrived.wait()
                b._deliver(
                    Frame(lane=2, source=here, node_id=here + "#0", incarnation=1, sequence=999, body=b"[[46"),
                    connection=9,
                )
                b._deliver(
                    Frame(lane=1, source=here, node_id=here + "#0", incarnation=1, sequence=999, body=b"[]"),
                    connection=9,
                )
                await all_gaps.wait()
                nursery.cancel_scope.cancel()

    trio.run(main)
    for kind, lane in ((Kind.TASK_ORDERS, Lane.WORK), (Kind.LEADER_LEASE_REQUEST, Lane.URGENT)):
        rows = [(at, m) for at, k, m in got if k is kind]
        assert rows == [(lane, i) for i in range(300)]
    assert [at for at, k, _ in got if k is Kind.SNAPSHOT] == [Lane.COPY]
    # Each lane's first frame (nothing is known of the ones before) and, of two lanes, the one out of its turn.
    assert sorted(lost) == sorted([Lane.WORK, Lane.WORK, Lane.URGENT, Lane.URGENT, Lane.COPY])


def test_a_fault_in_taking_a_message_is_not_put_down_to_the_peer() -> None:
    """Such a fault ends the process, as any other does, rather than the connection."""

    def sink(*_: object) -> None:
        raise ValueError("fault")

    async def main() -> None:
        node = PeerConnections(
            address="10.0.0.1:7000",
            node_id="10.0.0.1:7000#0",
            incarnation=1,
            sink=sink,
            log=Log(name="t", level="error"),
        )
        ours, theirs = trio.testing.memory_stream_pair()
        with pytest.raises(ExceptionGroup) as raised:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node._receive_connection, cast(trio.SocketStream, theirs))
                await ours.send_all(await PeerConnections._read_challenge(stream=cast(trio.SocketStream, ours)))
                await ours.send_all(
                    pack_frame(
                        frame=Frame(lane=1, source="b", node_id="b#0", incarnation=1, sequence=1, body=b"[[20,{}]]")
                    )
                )
        assert [repr(err) for err in raised.value.exceptions] == ["ValueError('fault')"]
        ours, theirs = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:  # what the peer did wrong ends the connection
            nursery.start_soon(node._receive_connection, cast(trio.SocketStream, theirs))
            await ours.send_all(
                await PeerConnections._read_challenge(stream=cast(trio.SocketStream, ours)) + b"\xff" * 9
            )

    trio.run(main)


def test_one_frame_carries_what_waits() -> None:
    line = SendQueue()
    for i in range(100):
        line.put(kind=Kind.TASK_ENDS, body=b"%d" % i)
    seq, body = line.take()
    assert seq == 1
    assert not line.messages
    raw = pack_frame(frame=Frame(lane=2, source="a", node_id="a#0", incarnation=1, sequence=seq, body=body))
    assert len(raw) < 1000
    assert body == join_messages(rows=[(48, b"%d" % i) for i in range(100)])


def test_ticks_and_urgent_inputs_pass_a_backlog() -> None:
    done: list[str] = []
    scheduler = InputScheduler(tick=lambda: done.append("tick"), interval_s=0.05)
    for i in range(200):
        scheduler.put(run=lambda i=i: done.append(f"w{i}"), input_class=InputClass.SCHEDULING)  # type: ignore[misc]
        scheduler.put(run=lambda i=i: done.append(f"c{i}"), input_class=InputClass.CLIENT, expires_at=99.0)  # type: ignore[misc]
    now = 1.0
    while len(scheduler) and (fn := scheduler.take(now=now)) is not None:
        if round(now * 1000) % 40 == 0:
            scheduler.put(run=lambda: done.append("ping"), input_class=InputClass.URGENT)
        fn()
        now += 0.01
    work = [d for d in done if d[0] == "w"]
    assert work == [f"w{i}" for i in range(200)]
    ticks = [i for i, d in enumerate(done) if d == "tick"]
    assert all(b - a <= 8 for a, b in zip(ticks, ticks[1:], strict=False))
    calls = [d for d in done if d[0] == "c"]
    assert calls == [f"c{i}" for i in range(200)]
    both = [d[0] for d in done if d[0] in "wc"]
    backlog = both[: len(work) // 2]  # all take as long, so inputs share as time does
    assert all(
        run <= TIME_SHARES[InputClass.SCHEDULING] / TIME_SHARES[InputClass.CLIENT] + 1
        for run in map(len, "".join(backlog).split("c"))
    )
    assert abs(backlog.count("w") / len(backlog) - 2 / 3) < 0.05


def test_late_calls_that_nobody_waits_for_are_passed_over() -> None:
    done: list[float] = []
    scheduler = InputScheduler(tick=lambda: None, interval_s=9.0)
    assert scheduler.take(now=0.0) is not None
    assert scheduler.take(now=0.0) is None
    for until in (1.0, 5.0):
        scheduler.put(run=lambda until=until: done.append(until), input_class=InputClass.CLIENT, expires_at=until)  # type: ignore[misc]
    while (fn := scheduler.take(now=2.0)) is not None:
        fn()
    assert done == [5.0]
    assert len(scheduler) == 0


class Node:
    """What calls need of their node."""

    node_id = "me"

    def __init__(self) -> None:
        self.now = 0.0
        self.at: tuple[str, int] | None = ("p1", 1)
        self.sent: list[tuple[float, str]] = []
        self.ended: list[int] = []

    def send_message(self, *, node_id: str, message: Message) -> None:
        self.sent.append((round(self.now, 2), node_id))

    def primary(self, *, group_id: int) -> tuple[str, int] | None:
        return self.at

    def learn(self, *, epochs: Sequence[tuple[int, Epoch]]) -> None:
        _, epoch = epochs[0]
        self.at = (epoch.primary, epoch.number)

    def on_end(self, result: CallResult) -> None:
        self.ended.append(result.status)


def test_calls_back_off_and_follow_the_primary_at_once() -> None:
    node = Node()
    calls = GroupCalls(environment=node, first_request_id=0)
    calls.start(group_id=1, operation=CallOperation.SUBMIT_JOB, body=NoArguments(), on_end=node.on_end, ttl_s=8.0)
    while node.now < 5.0:
        calls.tick()
        node.now += 0.05
    gaps = [b[0] - a[0] for a, b in zip(node.sent, node.sent[1:], strict=False)]
    assert len(node.sent) <= 5
    assert gaps == sorted(gaps)
    assert max(gaps) <= RESEND_MOST_S + 0.11
    before = len(node.sent)
    node.at = ("p2", 2)
    calls.tick()
    assert node.sent[before:] == [(round(node.now, 2), "p2")]
    calls.on_frames_lost(node_id="p1")
    assert len(node.sent) == before + 1
    calls.on_frames_lost(node_id="p2")
    assert len(node.sent) == before + 2
    epoch = Epoch(number=3, primary="p3", backups=(), witnesses=("p3",), snapshot_id="")
    declined = GroupReply(request_id=1, to="me", status=421, document=[[1, epoch.document()]])
    calls.on_reply(node_id="p2", reply=declined)
    assert node.sent[-1][1] == "p3"
    assert node.ended == []
    calls.on_reply(node_id="p3", reply=GroupReply(request_id=1, to="me", status=200, document={}))
    assert node.ended == [200]


def test_a_repeat_of_a_call_in_hand_is_passed_over_and_one_after_its_answer_is_not() -> None:
    sim, _, _, _ = cluster(seed=81)
    ip = sim.serving(group_id=1)[0]
    node = sim.core(ip)
    taken: list[int] = []
    scheduler = node.schedulers[1]
    real = scheduler.call

    def call(*, node_id: str, request_id: int, operation: str, arguments: dict[str, Any]) -> None:
        taken.append(request_id)
        real(node_id=node_id, request_id=request_id, operation=operation, arguments=arguments)

    scheduler.call = call  # type: ignore[method-assign]
    m = {"rid": 7, "g": 1, "op": "count", "b": {"q": "fast"}}
    node.replicas[1].commit(event={"t": "forget", "ids": []})  # an answer must wait for this event
    for _ in range(5):
        node.on(node_id="10.0.1.1:7001#ff", kind=Kind.CALL, m=orjson.loads(orjson.dumps(m)))
    assert taken == [7]
    sim.run(seconds=1.0)
    node.on(node_id="10.0.1.1:7001#ff", kind=Kind.CALL, m=m)
    assert taken == [7, 7]


def test_a_deposed_primary_sends_its_callers_on() -> None:
    sim, _, _, _ = cluster(seed=82)
    ip = sim.serving(group_id=1)[0]
    node = sim.core(ip)
    node.replicas[1].commit(event={"t": "forget", "ids": []})
    node.on(node_id="10.0.1.1:7001#ff", kind=Kind.CALL, m={"rid": 7, "g": 1, "op": "count", "b": {"q": "fast"}})
    node.out.sends.clear()
    node.leave()
    rows = [orjson.loads(body) for _, kind, body in node.out.sends if kind is Kind.REPLY]
    assert [(r["rid"], r["s"]) for r in rows] == [(7, 421)]


def test_a_tick_longer_than_its_gap_leaves_room_for_work_and_chores_for_both() -> None:
    """Placing passes longer than the gap were due again at once, and nothing else was ever taken."""
    done: list[str] = []
    took = {"tick": 0.02, "chores": 0.3, "beat": 0.001, "ends": 0.01}
    scheduler = InputScheduler(
        tick=lambda: done.append("tick"),
        interval_s=0.05,
        periodic_inputs={InputClass.SCHEDULING: lambda: done.append("chores")},
    )
    now, end = 0.0, 30.0
    while now < end:
        scheduler.put(run=lambda: done.append("ends"), input_class=InputClass.SCHEDULING)
        if len(done) % 5 == 0:
            scheduler.put(run=lambda: done.append("beat"), input_class=InputClass.AGENT)
        fn = scheduler.take(now=now)
        assert fn is not None
        fn()
        now += took[done[-1]]
    spent = {k: done.count(k) * s for k, s in took.items()}
    assert spent["chores"] < 0.55 * end
    assert spent["ends"] > 0.2 * end
    last, at, worst = 0.0, 0.0, 0.0
    for d in done:
        at += took[d]
        if d == "tick":
            worst, last = max(worst, at - last), at
    assert worst < 0.05 + 0.3 + 0.05  # a gap, one pass, the tick itself


def test_beats_do_not_wait_for_a_backlog_of_placing() -> None:
    done: list[str] = []
    scheduler = InputScheduler(tick=lambda: None, interval_s=0.05)
    for _ in range(500):
        scheduler.put(run=lambda: done.append("ends"), input_class=InputClass.SCHEDULING)
    now = 0.0
    for i in range(100):
        scheduler.put(run=lambda: done.append("beat"), input_class=InputClass.AGENT)
        for _ in range(3):
            fn = scheduler.take(now=now)
            assert fn is not None
            fn()
            now += 0.02 if done and done[-1] == "ends" else 0.001
        assert done.count("beat") >= i


def test_a_backlog_does_not_grow_by_repeats() -> None:
    duplicates = DuplicateFilter()
    ends = {"g": 1, "m": "i", "f": 3, "x": [[1, "a"], [2, "b"]]}
    claim = {"g": 1, "x": [["i", 3, "svc"], ["j", 4, "svc"]]}
    lost = {"g": 1, "m": "i", "f": 3, "v": {}}
    for kind, m in ((Kind.TASK_ENDS, ends), (Kind.CLAIM_MINIONS, claim), (Kind.MINION_LOST, lost)):
        assert duplicates.admit(node_id="a", kind=kind, message=m) is m
        assert duplicates.admit(node_id="a", kind=kind, message=dict(m)) is None
        assert duplicates.admit(node_id="b", kind=kind, message=m) is m
        assert duplicates.release(node_id="a", kind=kind, message=m) is m
        assert duplicates.admit(node_id="a", kind=kind, message=m) is m
    assert (
        duplicates.admit(node_id="a", kind=Kind.TASK_ENDS, message={**ends, "f": 4}) is not None
    )  # under a newer fence it is news
    assert (
        duplicates.admit(node_id="a", kind=Kind.TASK_ORDERS, message={})
        == duplicates.admit(node_id="a", kind=Kind.TASK_ORDERS, message={})
        == {}
    )
    assert duplicates.admit(node_id="a", kind=Kind.TASK_ENDS, message={"x": 3}) == {
        "x": 3
    }  # whoever handles it says why not
    assert duplicates.admit(node_id="a", kind=Kind.CAPACITY_REPORT, message={"v": 1}) == {"v": 1}
    assert duplicates.admit(node_id="a", kind=Kind.CAPACITY_REPORT, message={"v": 2}) is None
    assert duplicates.release(node_id="a", kind=Kind.CAPACITY_REPORT, message={"v": 1}) == {"v": 2}
    assert duplicates.admit(node_id="a", kind=Kind.CAPACITY_REPORT, message={"v": 3}) == {"v": 3}


@pytest.mark.parametrize("kind", list(Kind))
def test_malformed_messages_reach_whoever_says_so(kind: Kind) -> None:
    duplicates = DuplicateFilter()
    odd: list[Any] = [
        None,
        3,
        "x",
        [],
        {},
        {"g": "1"},
        {"g": 1, "m": "i", "f": 1, "x": [[[1]], 3]},
        {"g": 1, "x": [3]},
        {"g": 1, "m": [], "f": {}, "x": 4},
        {"g": None, "ttl": "x"},
    ]
    for m in odd:
        classify_message(kind=kind, message=m)
        assert duplicates.admit(node_id="a", kind=kind, message=m) == m
        assert duplicates.release(node_id="a", kind=kind, message=m) == m
