"""Which frames a receiver takes: lives, connections and their order; the challenge; the count of lives on disk."""

import math
import pathlib
import random
from typing import Any

import orjson
import pytest
import trio
import trio.testing

from tests.support.loopback import HOST, reserved_ports, settings
from yarrowloom.common.log import Log
from yarrowloom.common.settings import check
from yarrowloom.node.identity import last_identity
from yarrowloom.node.startup import open_core, open_edge
from yarrowloom.storage import RingJournal
from yarrowloom.transport.envelope import Frame, join_messages, pack_frame
from yarrowloom.transport.message_kinds import Kind, Lane
from yarrowloom.transport.peer_connections import CHALLENGE_BYTES, PeerConnections
from yarrowloom.transport.sequence_tracker import MAX_RETIRED, SequenceTracker

SRC = "10.0.0.1:7000"
LOG = Log(name="t", level="error")


def take(
    seen: SequenceTracker,
    *,
    node_id: str = "#0",
    incarnation: int = 1,
    sequence: int = 1,
    connection: int = 1,
    lane: int = 2,
) -> bool:
    return seen.take(
        source=SRC, lane=lane, node_id=SRC + node_id, incarnation=incarnation, sequence=sequence, connection=connection
    )[0]


def test_frames_of_an_earlier_life_on_a_connection_that_a_cut_held_up_are_dropped() -> None:
    seen = SequenceTracker()
    assert take(seen, node_id="#a", sequence=5, connection=1)
    assert take(seen, node_id="#b", sequence=1, connection=2)
    assert not take(seen, node_id="#a", sequence=6, connection=1)
    assert not take(seen, node_id="#a", sequence=1, connection=1, lane=1)
    assert take(seen, node_id="#b", sequence=2, connection=2)


def test_a_retired_life_does_not_count_again_whatever_its_connection() -> None:
    seen = SequenceTracker()
    assert take(seen, node_id="#a", connection=1)
    assert take(seen, node_id="#b", connection=2)
    assert not take(seen, node_id="#a", sequence=9, connection=3)
    for life in range(3, 3 * MAX_RETIRED):  # the set is bounded; the numbers of connections hold beyond it
        assert take(seen, node_id=f"#{life}", connection=life)
    assert not take(seen, node_id="#a", sequence=9, connection=1)
    sender = seen._senders[SRC]
    assert len(sender.retired) == MAX_RETIRED


def test_a_life_goes_on_over_new_connections_and_whatever_their_order() -> None:
    seen = SequenceTracker()
    assert take(seen, sequence=1, connection=4)
    assert take(seen, sequence=2, connection=9)  # a reconnect
    assert take(seen, sequence=3, connection=4)  # what the old connection still held
    assert not take(seen, sequence=2, connection=9)
    assert take(seen, sequence=1, connection=3, lane=1)  # another lane's older connection is read later


def test_of_one_uid_the_higher_incarnation_wins() -> None:
    seen = SequenceTracker()
    assert take(seen, incarnation=4, sequence=70, connection=1)
    assert take(seen, incarnation=5, sequence=1, connection=2)
    assert not take(seen, incarnation=4, sequence=71, connection=1)
    assert not take(
        seen, incarnation=4, sequence=71, connection=3
    )  # its disk went back: what it promised since is forgotten
    assert take(seen, incarnation=5, sequence=2, connection=2)


def test_a_core_that_lost_its_disk_begins_at_one_and_is_heard() -> None:
    seen = SequenceTracker()
    assert take(seen, incarnation=40, sequence=9, connection=1)
    assert take(seen, node_id="#77", incarnation=1, sequence=1, connection=2)
    assert not take(seen, incarnation=40, sequence=10, connection=1)


def test_a_receiver_that_stood_still_reads_two_lives_in_any_order() -> None:
    """Both lives' connections were accepted and numbered; their tasks then run in any order."""
    for order in ([1, 2], [2, 1]):
        seen = SequenceTracker()
        took = [take(seen, node_id=f"#{life}", sequence=1, connection=life) for life in order]
        assert took == ([True, True] if order == [1, 2] else [True, False])
        assert take(seen, node_id="#2", sequence=2, connection=2)
        assert not take(seen, node_id="#1", sequence=2, connection=1)


@pytest.mark.parametrize("seed", range(60))
def test_no_frame_of_an_earlier_life_follows_one_of_a_later_life(seed: int) -> None:
    """Connections are accepted in the order of lives; their frames come in any order that each connection allows."""
    rng = random.Random(seed)
    lives = [(f"#{rng.randint(0, 2)}x{i if rng.random() < 0.5 else ''}", i + 1) for i in range(5)]
    queues: list[list[tuple[int, int, int, int]]] = []  # by connection: (life, connection, lane, seq)
    for life in range(len(lives)):
        seqs = {1: 0, 2: 0}
        for _ in range(rng.randint(1, 3)):
            rows = []
            lane = rng.choice([1, 2])
            for _ in range(rng.randint(1, 5)):
                seqs[lane] += rng.choice([1, 1, 2])
                rows.append((life, len(queues) + 1, lane, seqs[lane]))
            queues.append(rows)
    seen, last, heads = SequenceTracker(), 0, dict[tuple[int, int], int]()
    while any(queues):
        life, connection, lane, sequence = rng.choice([rows for rows in queues if rows]).pop(0)
        node_id, incarnation = lives[life]
        if take(seen, node_id=node_id, incarnation=incarnation, sequence=sequence, connection=connection, lane=lane):
            assert life >= last
            assert sequence > heads.get((life, lane), 0)
            last, heads[life, lane] = life, sequence
        else:
            assert life < last or sequence <= heads.get((life, lane), 0)


class Receiver:
    """A node's sockets with in-memory streams in place of TCP."""

    def __init__(self, nursery: trio.Nursery) -> None:
        self.got: list[tuple[str, Any]] = []
        self.peers = PeerConnections(
            address="10.0.0.9:7000", node_id="10.0.0.9:7000#0", incarnation=1, sink=self.sink, log=LOG
        )
        self.nursery = nursery

    def sink(self, node_id: str, lane: Lane, rows: list[tuple[Kind, Any]], lost: bool) -> None:
        self.got += [(node_id, m) for _, m in rows]

    async def connect(self) -> trio.StapledStream[Any, Any]:
        ours, theirs = trio.testing.memory_stream_pair()
        self.nursery.start_soon(self.peers._receive_connection, theirs)
        await trio.testing.wait_all_tasks_blocked()
        return ours


def frame(*, node_id: str, sequence: int, m: int, incarnation: int = 1) -> bytes:
    body = join_messages(rows=[(int(Kind.TASK_ORDERS), b"%d" % m)])
    return pack_frame(
        frame=Frame(lane=2, source=SRC, node_id=SRC + node_id, incarnation=incarnation, sequence=sequence, body=body)
    )


def test_a_dead_life_s_frames_come_late_on_the_connection_it_had() -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            to = Receiver(nursery)
            old = await to.connect()
            await old.send_all(await PeerConnections._read_challenge(stream=old) + frame(node_id="#a", sequence=1, m=1))
            new = await to.connect()
            await new.send_all(await PeerConnections._read_challenge(stream=new) + frame(node_id="#b", sequence=1, m=2))
            await trio.testing.wait_all_tasks_blocked()
            await old.send_all(frame(node_id="#a", sequence=2, m=3))
            await trio.testing.wait_all_tasks_blocked()
            await new.send_all(frame(node_id="#b", sequence=2, m=4))
            await trio.testing.wait_all_tasks_blocked()
            assert to.got == [(SRC + "#a", 1), (SRC + "#b", 2), (SRC + "#b", 4)]
            nursery.cancel_scope.cancel()

    trio.run(main)


@pytest.mark.parametrize("opening", [b"", b"YLPEER02", b"\xff" * 40, b"YLPEER02" + bytes(8)])
def test_nothing_counts_on_a_connection_whose_challenge_was_not_sent_back(opening: bytes) -> None:
    """A connection that a dead process opened and that the receiver came to accept only afterwards."""

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            to = Receiver(nursery)
            ghost = await to.connect()
            await ghost.send_all(opening + frame(node_id="#a", sequence=1, m=1))
            await trio.testing.wait_all_tasks_blocked()
            assert to.got == []
            assert await ghost.receive_some(CHALLENGE_BYTES)
            assert await ghost.receive_some(1) == b""
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_the_challenge_may_come_back_in_pieces() -> None:
    async def main() -> None:
        async with trio.open_nursery() as nursery:
            to = Receiver(nursery)
            ours = await to.connect()
            encoded = await PeerConnections._read_challenge(stream=ours) + frame(node_id="#a", sequence=1, m=1)
            for at in range(0, len(encoded), 3):
                await ours.send_all(encoded[at : at + 3])
                await trio.testing.wait_all_tasks_blocked()
            assert to.got == [(SRC + "#a", 1)]
            nursery.cancel_scope.cancel()

    trio.run(main)


def test_a_core_s_incarnation_rises_with_each_start_and_is_on_disk_before_the_first_frame(
    tmp_path: pathlib.Path,
) -> None:
    document = settings(binds={"control": f"{HOST}:1"}, inner=7000, seed=f"{HOST}:1", data=str(tmp_path / "d"))
    for life in range(1, 5):
        runtime = open_core(settings=check(document=document), log=LOG)
        assert runtime.node.incarnation == life
        assert runtime.peers.incarnation == life
        known = last_identity(records=RingJournal(folder=str(tmp_path / "d"), file_bytes=2 << 20).load())
        assert known is not None
        assert (known.node_id, known.incarnation) == (runtime.node.node_id, life)
        assert runtime.disk_writer is not None
        runtime.disk_writer.ring.close()


def test_a_journal_from_before_lives_were_counted_goes_on_with_the_first(tmp_path: pathlib.Path) -> None:
    known = last_identity(records=[orjson.dumps({"k": "id", "uid": "a:1#0"}), b'{"k":"none","end":true}'])
    assert known is not None
    assert (known.node_id, known.next_incarnation) == ("a:1#0", 1)


def test_no_two_lives_of_an_edge_share_a_uid() -> None:
    document = settings(binds={"front": f"{HOST}:1"}, inner=7000, seed=f"{HOST}:2", data=None)
    runtimes = [open_edge(settings=check(document={**document, "role": "edge"}), log=LOG) for _ in range(20)]
    assert len({runtime.node.node_id for runtime in runtimes}) == 20
    assert {runtime.node.incarnation for runtime in runtimes} == {1}


def test_two_lives_at_one_address_over_real_sockets() -> None:
    """Each life listens at the address of the one before as soon as that has ended, and is heard at once."""
    arrived, arrivals = trio.open_memory_channel[tuple[str, Any]](math.inf)

    def sink(node_id: str, lane: Lane, rows: list[tuple[Kind, Any]], lost: bool) -> None:
        for _, message in rows:
            arrived.send_nowait((node_id, message))

    async def live(*, peers: PeerConnections, to: str, messages: range) -> list[tuple[str, Any]]:
        """Send all and wait until they have arrived; the nursery is left once all tasks of this life have ended."""
        async with trio.open_nursery() as life:
            await life.start(peers.run)
            for message in messages:
                peers.send(address=to, kind=Kind.TASK_ORDERS, body=b"%d" % message)
            got = [await arrivals.receive() for _ in messages]
            life.cancel_scope.cancel()
        return got

    async def main() -> None:
        with reserved_ports(2) as ports, trio.fail_after(20):
            here, there = (f"{HOST}:{port}" for port in ports)
            receiver = PeerConnections(address=there, node_id=f"{there}#0", incarnation=1, sink=sink, log=LOG)
            async with trio.open_nursery() as receiving:
                await receiving.start(receiver.run)
                for number, node_id in enumerate((f"{here}#a", f"{here}#b", f"{here}#c")):
                    messages = range(100 * number, 100 * number + 20)
                    peers = PeerConnections(address=here, node_id=node_id, incarnation=1, sink=lambda *_: None, log=LOG)
                    assert await live(peers=peers, to=there, messages=messages) == [(node_id, m) for m in messages]
                receiving.cancel_scope.cancel()

    trio.run(main)
    assert arrivals.statistics().current_buffer_used == 0
