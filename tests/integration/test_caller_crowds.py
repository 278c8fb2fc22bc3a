"""Callers that do not behave end no process, and leave room for those that do (issue 37).

Each test has processes and limits of its own, and is run by itself, apart from other load.
"""

import itertools
from functools import partial

import orjson
import pytest

from tests.support.caller_crowd import Crowd, Deployment, Limits, Pieces, chunked, endure, head, plain, whole

pytestmark = pytest.mark.crowd

LIMITS = Limits(memory_mb=96, descriptors=1000)
FEW_DESCRIPTORS = Limits(memory_mb=96, descriptors=320)
BODY_BYTES = 262_144  # the largest that the configuration lets clients send
CONTROL_BODY_BYTES = 16 << 20  # the largest that operators and minions may send
CROWD = 400
CONTROL_CROWD = 8
SMALL_CROWD = 50
ROUNDS = 20
MINION_CROWD = 20
MINION_ROUNDS = 10
LABEL_BYTES = 1 << 20
IDLE_CROWD = 600
READ_NOTHING_CROWD = 120
MANY_ROUTES = 4000
PIPELINED = 6
SMALL_PIECE = 1024
LARGE_CHUNK, SMALL_CHUNK, SMALLEST_CHUNK = 65_536, 64, 1
SMALLEST_CHUNKS = 8192
SHORT_FIELDS = 4000  # of four bytes: just below the limit on heads
JOB = {"task-spec": "x", "stages": [{"task-count": 1, "cpus": 1}]}

CONTROL = head(method="PUT", path="/minions/i-1")
FRONT = head()


def largest_job() -> bytes:
    """A job whose submission has the largest size that is allowed."""
    stage = {"task-count": 1, "cpus": 1, "affinity": ""}
    rest = len(orjson.dumps({**JOB, "stages": [stage]}))
    return orjson.dumps({**JOB, "stages": [{**stage, "affinity": "x" * (BODY_BYTES - rest)}]})


async def calm_requests(at: Deployment) -> None:
    """Single requests inside the limits are served: a small one and the largest."""
    await at.answered(address=at.front, method="POST", path="/fast/00000000000000b0", document=JOB)
    largest = orjson.loads(largest_job())
    await at.answered(address=at.front, method="POST", path="/fast/00000000000000b1", document=largest)


UNFINISHED: dict[str, Pieces] = {
    "short-of-its-end": plain(opening=FRONT, size=BODY_BYTES, sent=BODY_BYTES - 1),
    "piece-by-piece": plain(opening=FRONT, size=BODY_BYTES, sent=BODY_BYTES - 1, piece=SMALL_PIECE),
    "large-chunks": chunked(opening=FRONT, chunk=LARGE_CHUNK, chunks=BODY_BYTES // LARGE_CHUNK),
    "small-chunks": chunked(opening=FRONT, chunk=SMALL_CHUNK, chunks=BODY_BYTES // SMALL_CHUNK),
    "smallest-chunks": chunked(opening=FRONT, chunk=SMALLEST_CHUNK, chunks=SMALLEST_CHUNKS),
    "short-fields": chunked(opening=FRONT + b"a:\r\n" * SHORT_FIELDS, chunk=SMALLEST_CHUNK, chunks=1),
}


@pytest.mark.parametrize("case", UNFINISHED)
def test_requests_of_clients_that_do_not_end(case: str) -> None:
    endure(
        limits=LIMITS,
        crowd=lambda at: Crowd(address=at.front, size=CROWD, pieces=UNFINISHED[case]),
        after=calm_requests,
    )


def test_probes_that_do_not_end() -> None:
    pieces = plain(opening=FRONT, size=BODY_BYTES, sent=BODY_BYTES - 1)
    endure(limits=LIMITS, crowd=lambda at: Crowd(address=at.ready, size=CROWD, pieces=pieces), after=calm_requests)


@pytest.mark.parametrize("is_chunked", [False, True], ids=["plain", "chunked"])
def test_control_calls_that_do_not_end(is_chunked: bool) -> None:
    pieces = (
        chunked(opening=CONTROL, chunk=LARGE_CHUNK, chunks=CONTROL_BODY_BYTES // LARGE_CHUNK)
        if is_chunked
        else plain(opening=CONTROL, size=CONTROL_BODY_BYTES, sent=CONTROL_BODY_BYTES - 1)
    )
    endure(limits=LIMITS, crowd=lambda at: Crowd(address=at.control, size=CONTROL_CROWD, pieces=pieces))


# Guards against documents that take many times the memory of the text that they were read from.
@pytest.mark.parametrize("port", ["front", "control"])
def test_whole_documents_of_many_small_parts(port: str) -> None:
    size, opening = (BODY_BYTES, FRONT) if port == "front" else (CONTROL_BODY_BYTES, CONTROL)
    body = b"[" + b"{}," * (size // 3 - 1) + b"0]"
    crowd = CROWD if port == "front" else CONTROL_CROWD
    pieces = whole(opening=opening, body=body)
    endure(limits=LIMITS, crowd=lambda at: Crowd(address=getattr(at, port), size=crowd, pieces=pieces, reads=True))


# Guards against texts that grow as they are passed on: as a part of a message, each of these bytes takes six.
def test_whole_configurations_that_cannot_be_read() -> None:
    pieces = whole(opening=head("If-Match: 2", method="PUT", path="/config"), body=b"\x01" * (CONTROL_BODY_BYTES // 2))
    endure(limits=LIMITS, crowd=lambda at: Crowd(address=at.control, size=CONTROL_CROWD, pieces=pieces, reads=True))


# Guards against texts that are copied on their way from the caller to group 0's primary.
def test_whole_configurations_that_are_one_text() -> None:
    body = b'"' + b"x" * (CONTROL_BODY_BYTES // 2) + b'"'
    pieces = whole(opening=head("If-Match: 2", method="PUT", path="/config"), body=body)
    endure(limits=LIMITS, crowd=lambda at: Crowd(address=at.control, size=CONTROL_CROWD, pieces=pieces, reads=True))


def largest_jobs() -> Pieces:
    """A job of the largest size, under another ID each time."""
    job = largest_job()
    numbers = itertools.count()

    def one_job() -> tuple[bytes]:
        opening = head(path=f"/fast/{next(numbers):016x}")
        return (opening + b"Content-Length: %d\r\n\r\n" % len(job) + job,)

    return one_job


def test_whole_jobs_of_the_largest_size() -> None:
    endure(limits=LIMITS, crowd=lambda at: Crowd(address=at.front, size=CROWD, pieces=largest_jobs(), reads=True))


# Guards against jobs that are accepted one after the other until the core that keeps them has no memory left.
def test_whole_jobs_of_the_largest_size_again_and_again() -> None:
    crowd = partial(Crowd, size=SMALL_CROWD, pieces=largest_jobs(), reads=True, rounds=ROUNDS)
    endure(limits=LIMITS, crowd=lambda at: crowd(address=at.front))


def made_up_minions() -> Pieces:
    """A heartbeat of a minion that nobody knows, with a label of a megabyte; another one each time."""
    numbers = itertools.count()
    heartbeat = {
        "backend": "svc",
        "zone": "hall-0",
        "state": "ready",
        "call-seq": 1,
        "labels": ["x" * LABEL_BYTES, "r0"],
        "capacity": {"cpus": 8000, "mem-mb": 8000},
    }
    body = orjson.dumps(heartbeat)

    def one_heartbeat() -> tuple[bytes]:
        opening = head(method="PUT", path=f"/minions/i-{next(numbers)}")
        return (opening + b"Content-Length: %d\r\n\r\n" % len(body) + body,)

    return one_heartbeat


# Guards against state that is kept of minions after their requests have ended (see KNOWN-RED.txt).
def test_heartbeats_of_made_up_minions() -> None:
    crowd = partial(Crowd, size=MINION_CROWD, pieces=made_up_minions(), reads=True, rounds=MINION_ROUNDS)
    endure(limits=LIMITS, crowd=lambda at: crowd(address=at.control))


def test_responses_that_nobody_reads() -> None:
    request = head(method="GET", path="/config") + b"\r\n"
    endure(
        limits=LIMITS,
        crowd=lambda at: Crowd(address=at.control, size=READ_NOTHING_CROWD, pieces=lambda: (request * PIPELINED,)),
        routes=MANY_ROUTES,
    )


def test_requests_behind_one_whose_response_nobody_reads() -> None:
    first = head(method="GET", path="/config") + b"\r\n"
    behind = plain(opening=CONTROL, size=BODY_BYTES, sent=BODY_BYTES)
    endure(
        limits=LIMITS,
        crowd=lambda at: Crowd(
            address=at.control, size=READ_NOTHING_CROWD, pieces=lambda: (first * PIPELINED, *behind())
        ),
        routes=MANY_ROUTES,
    )


@pytest.mark.parametrize("port", ["front", "ready", "control"])
def test_more_connections_than_descriptors(port: str) -> None:
    endure(
        limits=FEW_DESCRIPTORS,
        crowd=lambda at: Crowd(address=getattr(at, port), size=IDLE_CROWD, pieces=lambda: (b"GET",)),
    )


# Guards against connections to the port between nodes on which nobody ever answers as a node.
def test_more_silent_connections_to_the_internal_port_than_descriptors() -> None:
    endure(limits=FEW_DESCRIPTORS, crowd=lambda at: Crowd(address=at.internal, size=IDLE_CROWD, pieces=lambda: ()))


def test_a_single_request_of_the_largest_size_is_served_in_calm() -> None:
    endure(
        limits=LIMITS,
        crowd=lambda at: Crowd(address=at.front, size=1, pieces=lambda: (b"GET",)),
        after=calm_requests,
    )
