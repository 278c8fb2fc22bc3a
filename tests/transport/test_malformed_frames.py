"""Bad input on the connections between nodes: said in the log, nothing else lost by it, no process ended."""

import contextlib
import random
import struct
from collections.abc import Callable
from typing import Any, cast

import pytest
import trio
import trio.testing

from tests.support.recorded_log import RecordedLog
from yarrowloom.node.call_messages import CallOperation, NoArguments
from yarrowloom.node.group_calls import ignore_result
from yarrowloom.node.runtime import Runtime
from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.transport.envelope import MAX_FRAME_BYTES, Frame, join_messages, pack_frame
from yarrowloom.transport.message_kinds import Kind, Lane
from yarrowloom.transport.peer_connections import PeerConnections

SRC = "10.0.0.1:7000"
BODY = join_messages(rows=[(int(Kind.TASK_ORDERS), b'"bad"')])


def field(*, number: int, wire: int, data: bytes) -> bytes:
    return bytes([number << 3 | wire]) + data


def framed(encoded: bytes) -> bytes:
    return struct.pack(">I", len(encoded)) + encoded


def envelope(**changed: Any) -> bytes:
    good: dict[str, Any] = {
        "lane": 2,
        "source": SRC,
        "node_id": SRC + "#0",
        "incarnation": 1,
        "sequence": 1,
        "body": BODY,
    }
    return pack_frame(frame=Frame(**{**good, **changed}))


GOOD = envelope()
HEAD = GOOD[4:]
BAD: dict[str, bytes] = {
    "lane 0": envelope(lane=0),
    "lane 9": envelope(lane=9),
    "lane huge": envelope(lane=(1 << 32) - 1),
    "no source": envelope(source=""),
    "uid of another address": envelope(node_id="10.0.0.2:7000#0"),
    "uid without a life": envelope(node_id=SRC),
    "incarnation 0": envelope(incarnation=0),
    "sequence 0": envelope(sequence=0),
    "uid a number": framed(HEAD + field(number=3, wire=0, data=b"\x07")),
    "source not text": framed(HEAD + field(number=2, wire=2, data=b"\x02\xff\xfe")),
    "sequence a text": framed(HEAD + field(number=5, wire=2, data=b"\x01a")),
    "lane a text": framed(HEAD + field(number=1, wire=2, data=b"\x01a")),
    "boot a float": framed(HEAD + field(number=4, wire=1, data=bytes(8))),
    "wire type 7": framed(HEAD + field(number=6, wire=7, data=b"")),
    "length above the most": struct.pack(">I", MAX_FRAME_BYTES + 1) + GOOD[4:],
    "length of all ones": b"\xff" * 4 + GOOD[4:],
    "empty frame": framed(b""),
    "cut inside the body": framed(HEAD[:-3]),
    "varint without end": framed(b"\x08" + b"\xff" * 40),
    "body not JSON": envelope(body=b"[[46"),
    "body a map": envelope(body=b'{"a":1}'),
    "body a number": envelope(body=b"7"),
    "row too long": envelope(body=b"[[46,1,2]]"),
    "kind a text": envelope(body=b'[["46",1]]'),
    "kind true": envelope(body=b"[[true,1]]"),
    "kind unknown": envelope(body=b"[[999,1]]"),
    "kind below 0": envelope(body=b"[[-1,1]]"),
}


class Wire:
    """One receiving node over in-memory streams."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.got: list[Any] = []
        self.log = RecordedLog()
        self.peers = PeerConnections(
            address="10.0.0.9:7000", node_id="10.0.0.9:7000#0", incarnation=1, sink=self.sink, log=self.log
        )
        self.nursery = nursery

    def sink(self, node_id: str, lane: Lane, rows: list[tuple[Kind, Any]], lost: bool) -> None:
        self.got += [m for _, m in rows]

    async def bring(self, *, data: bytes, pieces: random.Random | None = None) -> None:
        """A connection that brings these bytes and ends."""
        ours, theirs = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self.peers._receive_connection, theirs)
        await trio.testing.wait_all_tasks_blocked()
        data = await PeerConnections._read_challenge(stream=ours) + data
        with contextlib.suppress(trio.BrokenResourceError):  # the receiver has ended it
            while data:
                size = pieces.randint(1, 200) if pieces is not None else len(data)
                await ours.send_all(data[:size])
                data = data[size:]
            await ours.send_eof()
        await trio.testing.wait_all_tasks_blocked()


def play(script: Callable[[Wire], Any]) -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            await script(Wire(nursery))
            nursery.cancel_scope.cancel()

    trio.run(main)


def good(*, sequence: int, m: int) -> bytes:
    return envelope(sequence=sequence, body=join_messages(rows=[(int(Kind.TASK_ORDERS), b"%d" % m)]))


@pytest.mark.parametrize("name", BAD)
def test_a_bad_frame_is_said_in_the_log_and_the_next_connection_goes_on(name: str) -> None:
    async def script(wire: Wire) -> None:
        await wire.bring(data=BAD[name])
        assert wire.got == [], wire.log.rows
        assert len(wire.log.rows) == 1, wire.log.rows
        event, fields = wire.log.rows[0]
        assert event in ("peer-malformed", "frame-malformed", "frame-kind-unknown")
        assert fields
        await wire.bring(data=good(sequence=2, m=7))
        assert wire.got == [7]

    play(script)


def test_a_connection_is_closed_for_its_node_and_lane_only() -> None:
    async def script(wire: Wire) -> None:
        streams = []
        for source in (SRC, "10.0.0.2:7000"):
            ours, theirs = trio.testing.memory_stream_pair()
            wire.nursery.start_soon(wire.peers._receive_connection, theirs)
            challenge = await PeerConnections._read_challenge(stream=ours)
            await ours.send_all(challenge + envelope(source=source, node_id=f"{source}#0"))
            streams.append(ours)
        await trio.testing.wait_all_tasks_blocked()
        wire.peers.close_incoming(f"{SRC}#0", Lane.COPY)
        assert len(wire.peers._receiving) == 2
        wire.peers.close_incoming(f"{SRC}#0", Lane.WORK)
        await trio.testing.wait_all_tasks_blocked()
        assert len(wire.peers._receiving) == 1
        assert await streams[0].receive_some(1) == b""

    play(script)


@pytest.mark.parametrize("seed", range(150))
def test_noise_between_good_frames_loses_only_what_its_own_connection_still_held(seed: int) -> None:
    rng = random.Random(seed)

    async def script(wire: Wire) -> None:
        want = []
        for turn in range(6):
            encoded = bytearray(good(sequence=2 * turn + 2, m=turn))
            for _ in range(rng.randint(1, 4)):
                encoded[rng.randrange(len(encoded))] = rng.randrange(256)
            noise = rng.choice(
                [
                    bytes(encoded),
                    rng.randbytes(rng.randint(1, 60)),
                    bytes(encoded)[: rng.randint(1, len(encoded))],
                    rng.choice(list(BAD.values())),
                ]
            )
            want.append(turn)
            await wire.bring(data=good(sequence=2 * turn + 1, m=turn) + noise, pieces=rng if seed % 2 else None)
            wire.peers._tracker._senders.clear()  # noise may have passed for a frame with a number far ahead
        assert set(want) <= {m for m in wire.got if type(m) is int}

    play(script)


ODD: list[Any] = [
    None,
    0,
    -1,
    1 << 62,
    1.5,
    "",
    "x",
    "10.0.0.1:7000#0",
    True,
    [],
    [[]],
    [1],
    [None],
    {},
    {"g": 1},
    {"n": 10**9},
    [["i", 1]],
    [[1, "i"]],
    {"u": None},
]
KEYS = [
    "g",
    "n",
    "u",
    "x",
    "m",
    "f",
    "rid",
    "to",
    "b",
    "op",
    "s",
    "d",
    "t",
    "news",
    "have",
    "kind",
    "tag",
    "seq",
    "r",
    "e",
    "pb",
    "i",
    "lid",
    "svc",
    "cpu",
    "mem",
    "gpu",
    "own",
    "dis",
    "up",
    "age",
    "via",
    "reg",
    "conf",
    "v",
    "ttl",
]


def node_of(sim: Sim) -> Runtime:
    """The runtime of a serving core, without sockets."""
    node = sim.core(sim.serving(group_id=1)[0])
    runtime = Runtime(node=node, log=RecordedLog(), ring=None, port=7000)
    runtime.credit_s = 1e9
    runtime.peers.send = lambda **_: None  # type: ignore[method-assign]
    return runtime


@pytest.mark.parametrize("seed", range(24))
def test_messages_of_any_kind_with_wrong_types_end_no_process(seed: int) -> None:
    rng = random.Random(seed)
    sim, _, _, _ = cluster(seed=90 + seed % 6)
    runtime = node_of(sim)
    for _ in range(300):
        kind = rng.choice(list(Kind))
        m = {key: rng.choice(ODD) for key in rng.sample(KEYS, rng.randint(3, 30))}
        m["g"] = rng.choice([0, 1])
        runtime.receive_frames(rng.choice(sorted(sim.node_ids.values())), Lane.WORK, [(kind, m)], False)
        runtime.node.out.sends.clear()
        runtime.step(runtime.node.tick)


@pytest.mark.parametrize("seed", range(6))
def test_calls_and_answers_with_wrong_types_end_no_process_and_no_call(seed: int) -> None:
    rng = random.Random(seed)
    sim, _, _, _ = cluster(seed=90 + seed)
    runtime = node_of(sim)
    node = runtime.node
    node.calls.start(
        group_id=0, operation=CallOperation.READ_CONFIG, body=NoArguments(), on_end=ignore_result, ttl_s=1e12
    )
    request_id = node.calls.last_request_id
    for _ in range(1500):
        kind = rng.choice([Kind.CALL, Kind.REPLY])
        m: Any = rng.choice(ODD) if rng.random() < 0.1 else {k: rng.choice(ODD) for k in rng.sample(KEYS, 8)}
        if isinstance(m, dict) and rng.random() < 0.8:
            m |= {
                "rid": rng.choice([request_id, *ODD]),
                "g": rng.choice([-1, 0, 1, 7, *ODD]),
                "op": rng.choice(
                    ["put", "get", "del", "count", "conf", "getconf", "who", "leave", "gone", "beat", *ODD[:8]]
                ),
                "b": rng.choice([*ODD, {"id": 7}, {"m": []}]),
            }
        runtime.receive_frames(rng.choice(sorted(sim.node_ids.values())), Lane.WORK, [(kind, m)], False)
    assert request_id in node.calls.pending
    assert any(event == "frame-malformed" for event, _ in cast(RecordedLog, runtime.log).rows)
