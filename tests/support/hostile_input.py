"""Strategies and a harness for input that is not what the pages say: requests, control calls, messages between nodes.

The runtimes of a simulated cluster's nodes take the input, without sockets: connections are in-memory streams.
"""

from functools import cache
from typing import Any, cast

import orjson
import trio
import trio.testing
from hypothesis import strategies as st

from tests.agent.test_messages import ENCODED
from tests.support.recorded_log import RecordedLog
from yarrowloom.node.input_scheduler import Input
from yarrowloom.node.runtime import Node, Runtime
from yarrowloom.simulator.caller import SimCaller
from yarrowloom.simulator.configured_cluster import cluster
from yarrowloom.simulator.sample_config import HOST, config
from yarrowloom.simulator.workload import task
from yarrowloom.transport.http_messages import Limits
from yarrowloom.transport.http_server import Server
from yarrowloom.transport.message_kinds import Kind, Lane

MUCH_CREDIT_S = 1e9
LIMIT_S = 120.0  # of simulated time, for one connection
CORE_PORT, EDGE_PORT = 7000, 7001
HEARTBEAT: dict[str, Any] = {
    "backend": "svc",
    "address": "127.0.0.9:8080",
    "zone": "z0",
    "state": "ready",
    "call-seq": 9,
    "labels": ["a", "r0"],
    "capacity": {"cpus": 4000, "mem-mb": 8000, "gpus": 0},
    "clock-ms": 1,
    "running": [["00000000000000aa.0.0.0", 1, "", 50]],
    "finished": [[1, "00000000000000aa.0.0.1", 1, "done", ""]],
}
JOB: dict[str, Any] = {"task-spec": "x", "stages": [task(n=2), {**task(n=1), "depends-on": [0]}]}


class SimulatedRuntime(Runtime):
    """Runs a node of the simulator by the simulator's clock; what it sends to others is lost."""

    def __init__(self, *, node: Node, port: int) -> None:
        super().__init__(node=node, log=RecordedLog(), ring=None, port=port)
        self.credit_s = MUCH_CREDIT_S
        self.server = Server(handler=self.handle_request, on_error=self.error_response, limits=Limits())
        send_to_self = self.peers.send

        def send(*, address: str, kind: Kind, body: bytes) -> None:
            if address == self.peers.address:
                send_to_self(address=address, kind=kind, body=body)

        self.peers.send = send  # type: ignore[method-assign]

    @property
    def warnings(self) -> list[tuple[str, dict[str, object]]]:
        return cast(RecordedLog, self.log).rows

    def step(self, run: Input) -> None:
        run()
        self._carry_out()
        self.credit_s = MUCH_CREDIT_S


@cache
def runtimes() -> tuple[SimulatedRuntime, SimulatedRuntime]:
    """A core that leads the job group, with work of all kinds in hand, and an edge."""
    sim, _, caller, _ = cluster(seed=7501, minions=3, work=1e6)
    submit_work(caller)
    sim.run(seconds=2.0)
    core = SimulatedRuntime(node=sim.core(sim.serving(group_id=1)[0]), port=CORE_PORT)
    edge = SimulatedRuntime(node=sim.procs[sim.edge_ips[0]].node, port=EDGE_PORT)
    return core, edge


def submit_work(caller: SimCaller) -> None:
    caller.submit(stages=[task(n=2), task(n=3, gang=True)])
    caller.submit(stages=[task(n=1, cpus=1_000_000)])


def exchange(*, runtime: SimulatedRuntime, data: bytes) -> bytes:
    """What a process answers on a connection that brings these bytes and then ends."""
    answer = bytearray()

    async def client(ours: trio.testing.MemorySendStream, theirs: Any) -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(runtime.server.serve, theirs)
            nursery.start_soon(expire_calls, nursery.cancel_scope)
            await ours.send_all(data)
            await cast(Any, ours).send_eof()
            async for part in cast(Any, ours):
                answer.extend(part)
            nursery.cancel_scope.cancel()

    async def expire_calls(_scope: trio.CancelScope) -> None:
        """Calls to other nodes get no answer here."""
        while True:
            await trio.testing.wait_all_tasks_blocked()
            runtime.exchanges.expire(now=float("inf"))
            await trio.sleep(1.0)

    async def main() -> None:
        with trio.fail_after(LIMIT_S):
            ours, theirs = trio.testing.memory_stream_pair()
            await client(cast(Any, ours), theirs)

    trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
    return bytes(answer)


def request(*, method: str, path: str, body: bytes = b"", close: bool = True) -> bytes:
    """A sound request as it is sent."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", f"Content-Length: {len(body)}", "If-Match: 3"]
    lines += ["Connection: close"] if close else []
    return "\r\n".join([*lines, "", ""]).encode("latin-1", "replace") + body


def statuses(answer: bytes) -> list[int]:
    """The statuses of the responses on a connection."""
    return [int(part[:3]) for part in answer.split(b"HTTP/1.1 ")[1:]]


def answers_soundly(runtime: SimulatedRuntime) -> bool:
    """Whether a process answers a sound request after all that it got."""
    is_core = runtime is runtimes()[0]
    answer = exchange(runtime=runtime, data=request(method="GET", path="/state" if is_core else "/none/"))
    return statuses(answer) == [200] if is_core else statuses(answer)[0] in (404, 503)


# -- strategies

odd_texts = st.one_of(st.text(max_size=12), st.sampled_from(["", "//[x", "i-0", "00000000000000aa", "10.0.0.1:7000#0"]))
odd_numbers = st.one_of(
    st.integers(min_value=-(2**70), max_value=2**70), st.floats(), st.sampled_from([0, -1, 2**31, 2**53, 2**63, 1e308])
)
scalars = st.one_of(st.none(), st.booleans(), odd_numbers, odd_texts)
values = st.recursive(
    scalars,
    lambda inner: st.one_of(st.lists(inner, max_size=4), st.dictionaries(odd_texts, inner, max_size=4)),
    max_leaves=12,
)


@st.composite
def damaged(draw: st.DrawFn, document: Any) -> Any:
    """A sound document of which a few parts are replaced, removed or nested too deeply."""
    result = orjson.loads(orjson.dumps(document))
    for _ in range(draw(st.integers(min_value=0, max_value=3))):
        result = _damage(draw, result)
    return result


def _damage(draw: st.DrawFn, document: Any) -> Any:
    if isinstance(document, dict) and document and draw(st.booleans()):
        key = draw(st.sampled_from(sorted(document)))
        changed = dict(document)
        if draw(st.integers(min_value=0, max_value=4)) == 0:
            del changed[key]
        else:
            changed[key] = _damage(draw, document[key])
        return changed
    if isinstance(document, list) and document and draw(st.booleans()):
        index = draw(st.integers(min_value=0, max_value=len(document) - 1))
        return [*document[:index], _damage(draw, document[index]), *document[index + 1 :]]
    if draw(st.integers(min_value=0, max_value=9)) == 0:
        return _nested(draw(st.integers(min_value=60, max_value=900)))
    return draw(values)


def _nested(depth: int) -> Any:
    value: Any = 0
    for _ in range(depth):
        value = [value]
    return value


def encoded(document: Any) -> bytes:
    """JSON as a careless client writes it: also of numbers and depths that `orjson` would not write."""
    try:
        return orjson.dumps(document, option=orjson.OPT_NON_STR_KEYS)
    except TypeError:
        return str(document).replace("'", '"').encode(errors="replace")


targets = st.one_of(
    st.sampled_from(
        ["//[x", "*", "http://[::1", "http://h.example//fast/", "/fast/\x7f", "/fast/%zz", "?", "/" * 4000]
    ),
    st.text(st.characters(min_codepoint=33, max_codepoint=255), min_size=1, max_size=30).map(lambda text: "/" + text),
    st.sampled_from(
        ["/fast/", "/fast/00000000000000aa", "/state", "/config", "/minions/i-0", "/jobs/x", "/evacuation/z"]
    ),
)
methods = st.sampled_from(["GET", "PUT", "POST", "DELETE", "PATCH", "HEAD", "OPTIONS", "get", "BREW", "", "G\x00T"])
header_lines = st.one_of(
    st.sampled_from(
        [
            "Host: h.example",
            "Host: [",
            "Content-Length: -1",
            "Content-Length: 99999999999999999999",
            "Content-Length: 5, 5",
            "Transfer-Encoding: chunked",
            "Transfer-Encoding: gzip",
            "Expect: 100-continue",
            "Connection: upgrade",
            "X-Deadline-Ms: 1e999",
            "X-Deadline-Ms: nan",
            "Authorization: Token \u00e9",
            "If-Match: x",
            " folded",
        ]
    ),
    st.text(st.characters(min_codepoint=1, max_codepoint=255), max_size=30),
)
raw_requests = st.one_of(
    st.binary(max_size=200),
    st.builds(
        lambda method, target, lines, body: (
            "\r\n".join([f"{method} {target} HTTP/1.1", *lines, "", ""]).encode("latin-1", "replace") + body
        ),
        methods,
        targets,
        st.lists(header_lines, max_size=4),
        st.binary(max_size=60),
    ),
    st.builds(
        lambda method, target, document: request(method=method, path=target, body=encoded(document)),
        st.sampled_from(["GET", "PUT", "POST", "DELETE", "PATCH"]),
        targets,
        values,
    ),
)
control_calls = st.one_of(
    st.builds(
        lambda minion, beat: request(method="PUT", path=f"/minions/{minion}", body=encoded(beat)),
        st.sampled_from(["i-0", "i-1", "i-new", "\u00e9", "%00"]),
        damaged(HEARTBEAT),
    ),
    st.builds(
        lambda method, change: request(method=method, path="/config", body=encoded(change)),
        st.sampled_from(["PUT", "PATCH"]),
        st.one_of(
            damaged(config(version=4)),
            damaged({"config-version": 4, "upserts": {"route-table": [{"name": "fast"}]}, "removals": {}}),
        ),
    ),
)
job_calls = st.builds(
    lambda number, job: request(method="POST", path=f"/fast/{number:016x}", body=encoded(job)),
    st.integers(min_value=0, max_value=2**64 - 1),
    damaged(JOB),
)
peer_messages = st.one_of(
    st.sampled_from(ENCODED).flatmap(lambda row: st.tuples(st.just(row[1]), damaged(row[2]))),
    st.tuples(
        st.sampled_from(list(Kind)),
        st.dictionaries(st.sampled_from(["g", "n", "x", "m", "b", "op", "rid", "e", "d", "v", "u", "ttl"]), values),
    ),
    st.tuples(st.sampled_from(list(Kind)), values),
)
lanes = st.sampled_from(list(Lane))
