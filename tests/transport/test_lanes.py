"""Between nodes: lanes and what they lose, the order of inputs, repeats of calls."""

import random
from typing import Any

import pytest
import trio
import trio.testing

from tests.support.loopback import HOST, reserved_ports
from yarrowloom.common.log import Log
from yarrowloom.transport.envelope import Frame, join_messages, pack_frame, split_messages
from yarrowloom.transport.message_kinds import Kind, Lane
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

        async def send_one_frame() -> None:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(node._receive_connection, theirs)
                await ours.send_all(await PeerConnections._read_challenge(stream=ours))
                await ours.send_all(
                    pack_frame(
                        frame=Frame(lane=1, source="b", node_id="b#0", incarnation=1, sequence=1, body=b"[[20,{}]]")
                    )
                )

        with pytest.raises(ExceptionGroup) as raised:
            await send_one_frame()
        assert [repr(err) for err in raised.value.exceptions] == ["ValueError('fault')"]
        ours, theirs = trio.testing.memory_stream_pair()
        async with trio.open_nursery() as nursery:  # what the peer did wrong ends the connection
            nursery.start_soon(node._receive_connection, theirs)
            await ours.send_all(await PeerConnections._read_challenge(stream=ours) + b"\xff" * 9)

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
