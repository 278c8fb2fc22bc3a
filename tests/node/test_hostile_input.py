"""No input ends a process: whatever comes, it answers the next sound request.

Few examples in CI, always the same; by hand `HOSTILE_EXAMPLES=50000 pytest tests/node/test_hostile_input.py
--hypothesis-seed=1` plays as many of each property, drawn from the seed.
"""

import json
import os
import pathlib
from collections.abc import Callable
from typing import Any

import pytest
import trio
from hypothesis import HealthCheck, given, settings

from tests.support import loopback
from tests.support.hostile_input import (
    HEARTBEAT,
    JOB,
    SimulatedRuntime,
    answers_soundly,
    control_calls,
    encoded,
    exchange,
    job_calls,
    lanes,
    peer_messages,
    raw_requests,
    request,
    runtimes,
    statuses,
)
from yarrowloom.common.errors import InvalidInputError, StateInDoubtError
from yarrowloom.common.settings import SETTINGS_FILE_VARIABLE
from yarrowloom.node.input_scheduler import InputClass
from yarrowloom.transport.http_messages import Request
from yarrowloom.transport.message_kinds import Kind, Lane

CI_EXAMPLES = 40
EXAMPLES = int(os.environ.get("HOSTILE_EXAMPLES", CI_EXAMPLES))
PEER = "10.1.0.2:7000#0"
SOUND = Request(method="GET", path="/state", headers={})
hostile = settings(
    max_examples=EXAMPLES,
    derandomize=EXAMPLES == CI_EXAMPLES,
    deadline=None,
    database=None,
    suppress_health_check=[HealthCheck.too_slow, HealthCheck.data_too_large, HealthCheck.large_base_example],
)


def took(runtime: SimulatedRuntime, data: bytes) -> None:
    """A process gets these bytes on a connection, answers in whole responses if at all, and serves on."""
    runtime.warnings.clear()
    exchange(runtime=runtime, data=data)
    failures = [fields for event, fields in runtime.warnings if event == "request-failed"]
    assert failures == []
    assert answers_soundly(runtime)


@hostile
@given(data=raw_requests)
def test_no_bytes_of_a_client_end_an_edge(data: bytes) -> None:
    took(runtimes()[1], data)


@hostile
@given(data=job_calls)
def test_no_submission_ends_an_edge(data: bytes) -> None:
    took(runtimes()[1], data)


@hostile
@given(data=raw_requests)
def test_no_bytes_of_a_caller_end_a_core(data: bytes) -> None:
    took(runtimes()[0], data)


@hostile
@given(data=control_calls)
def test_no_heartbeat_and_no_configuration_ends_a_core(data: bytes) -> None:
    took(runtimes()[0], data)


@hostile
@given(message=peer_messages, lane=lanes)
def test_no_message_of_a_peer_ends_a_core(message: tuple[Kind, Any], lane: Lane) -> None:
    core = runtimes()[0]
    core.warnings.clear()
    core.receive_frames(PEER, lane, [message], False)
    failures = [fields for event, fields in core.warnings if event == "message-failed"]
    assert failures == []
    assert answers_soundly(core)


@pytest.mark.parametrize("index", [0, 1], ids=["core", "edge"])
def test_a_sound_message_that_is_cut_at_any_byte_ends_nothing(index: int) -> None:
    runtime = runtimes()[index]
    path, document = (("/minions/i-9", HEARTBEAT), ("/fast/00000000000000bb", JOB))[index]
    whole = request(method="PUT" if index == 0 else "POST", path=path, body=encoded(document))
    for end in range(len(whole)):
        exchange(runtime=runtime, data=whole[:end])
    assert answers_soundly(runtime)


# Guards against the line that ended an edge: the standard library takes `//[x` for an address of IPv6 without an end.
def test_a_path_that_looks_like_an_unfinished_address_gets_404() -> None:
    edge = runtimes()[1]
    answer = exchange(runtime=edge, data=request(method="GET", path="//[x"))
    assert statuses(answer)[0] in (404, 503)
    assert answers_soundly(edge)


@pytest.mark.parametrize(
    ("error", "status", "event"),
    [
        (InvalidInputError(text="odd"), 400, "request-malformed"),
        (RuntimeError("ours"), 500, "request-failed"),
        (AssertionError("ours"), 500, "request-failed"),
    ],
)
def test_an_error_in_a_handler_is_answered_and_told_and_the_connection_goes_on(
    error: Exception, status: int, event: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    core = runtimes()[0]
    is_first = [True]
    handle: Callable[..., None] = core.node.on_http_request

    def fail_once(**arguments: Any) -> None:
        if is_first.pop() if is_first else False:
            raise error
        handle(**arguments)

    core.warnings.clear()
    monkeypatch.setattr(core.node, "on_http_request", fail_once)
    data = request(method="GET", path="/state?x", close=False) + request(method="GET", path="/state")
    assert statuses(exchange(runtime=core, data=data)) == [status, 200]
    ((seen, fields),) = core.warnings
    assert (seen, fields["call"]) == (event, "GET /state?x")


def test_a_malformed_message_ends_its_connection_and_an_error_of_ours_does_not(monkeypatch: pytest.MonkeyPatch) -> None:
    core = runtimes()[0]
    closed: list[tuple[str, Lane]] = []
    monkeypatch.setattr(core.guard, "_close_connection", lambda node_id, lane: closed.append((node_id, lane)))
    core.warnings.clear()
    core.receive_frames(PEER, Lane.WORK, [(Kind.TASK_ORDERS, {"g": "one"})], False)
    assert [event for event, _ in core.warnings] == ["frame-malformed"]
    assert closed == [(PEER, Lane.WORK)]

    def fail(**_: Any) -> None:
        raise RuntimeError("ours")

    monkeypatch.setattr(core.node, "on_message", fail)
    core.receive_frames(PEER, Lane.WORK, [(Kind.TASK_ORDERS, {"g": 1})], False)
    assert [event for event, _ in core.warnings] == ["frame-malformed", "message-failed"]
    assert closed == [(PEER, Lane.WORK)]


def test_a_handler_of_replication_that_fails_ends_the_process_on_purpose(monkeypatch: pytest.MonkeyPatch) -> None:
    core = runtimes()[0]
    replica = core.node.replicas[1]  # type: ignore[union-attr]

    def fail(*_: Any, **__: Any) -> None:
        raise RuntimeError("half way")

    monkeypatch.setattr(replica.acceptor, "prepare", fail)
    message = {"g": 1, "n": 1, "bal": [1, PEER, 1]}
    with pytest.raises(StateInDoubtError, match="half way"):
        core.receive_frames(PEER, Lane.URGENT, [(Kind.PREPARE, message)], False)
    with pytest.raises(StateInDoubtError):
        core.guard.run_request(request=SOUND, run=fail_in_doubt, respond=lambda _: None)
    with pytest.raises(StateInDoubtError):
        core.error_response(SOUND, StateInDoubtError(text="of a commit"))


# Guards against an error of a tick or a sync that is answered with 500 because it happened in a request's task: what
# the process holds is in doubt then, and it must end.
@pytest.mark.parametrize("input_class", [InputClass.URGENT, InputClass.SCHEDULING])
def test_an_error_that_no_input_of_others_caused_ends_the_process_whoever_handles_it(input_class: InputClass) -> None:
    core = runtimes()[0]

    def fail() -> None:
        raise AssertionError("of a sync")

    async def main() -> None:
        core.inputs.put(run=fail, input_class=input_class)
        await core.server.handle(SOUND)

    with pytest.raises(StateInDoubtError, match="of a sync"):
        trio.run(main)
    assert answers_soundly(core)


def fail_in_doubt() -> None:
    raise StateInDoubtError(text="of a commit")


# Guards against a settings file with values of other types that ends the process which reads it again.
@pytest.mark.parametrize("disk_mb", [{"a": 1}, "x", [1, 2]])
def test_a_settings_file_that_cannot_be_used_is_passed_over(
    disk_mb: Any, tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    core = runtimes()[0]
    document = loopback.settings(binds={"control": "127.0.0.1:1"}, inner=7000, seed="127.0.0.1:1", data="/d")
    file = tmp_path / "local.json"
    file.write_text(json.dumps({**document, "limits": {"disk-mb": disk_mb}}))
    monkeypatch.setenv(SETTINGS_FILE_VARIABLE, str(file))
    former = core.node.settings
    core.warnings.clear()
    core.reload_settings()
    assert [event for event, _ in core.warnings] == ["settings-refused"]
    assert core.node.settings is former
