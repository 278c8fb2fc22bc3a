"""What callers may hold: who is closed first, what is refused, and that the sums are right."""

import random
import tracemalloc
from collections.abc import Callable

import orjson
import pytest
import trio
import trio.testing

from yarrowloom.transport.caller_budget import (
    CONNECTION_BYTES,
    SMALL_REQUEST_BYTES,
    Admission,
    CallerAccount,
    CallerBudget,
    CallerClosedError,
)
from yarrowloom.transport.document_size import document_bytes
from yarrowloom.transport.http_messages import Request, Response
from yarrowloom.transport.http_server import Server

MB = 1 << 20


def budget_of(*, connections: int, more_bytes: int) -> CallerBudget:
    return CallerBudget(limit_bytes=connections * CONNECTION_BYTES + more_bytes)


def opened(budget: CallerBudget, *, names: str) -> tuple[dict[str, CallerAccount], list[str]]:
    """Accounts by name, and the names of those that were closed to make room."""
    closed: list[str] = []

    def noting(name: str) -> Callable[[], None]:
        return lambda: closed.append(name)

    return {name: budget.open(on_evicted=noting(name)) for name in names}, closed


def test_who_holds_most_without_an_end_is_closed_first() -> None:
    budget = budget_of(connections=4, more_bytes=100)
    accounts, closed = opened(budget, names="abcd")
    accounts["a"].hold(30)
    accounts["b"].hold(60)
    accounts["c"].hold(11)
    assert closed == ["b"]
    with pytest.raises(CallerClosedError):
        accounts["b"].hold(61)


def test_of_equals_the_one_that_has_held_for_longest_is_closed_first() -> None:
    budget = budget_of(connections=3, more_bytes=100)
    accounts, closed = opened(budget, names="abc")
    for name in "bca":
        accounts[name].hold(40)
    assert closed == ["b"]


def test_a_caller_that_holds_most_is_told_so_at_once() -> None:
    budget = budget_of(connections=2, more_bytes=100)
    accounts, closed = opened(budget, names="ab")
    with pytest.raises(CallerClosedError):
        accounts["b"].hold(101)
    assert closed == ["b"]


def test_a_whole_request_is_answered_whatever_the_others_hold() -> None:
    budget = budget_of(connections=2, more_bytes=100)
    accounts, closed = opened(budget, names="ab")
    accounts["a"].hold(90)
    assert accounts["a"].admit(request_bytes=100) is Admission.ADMITTED
    with pytest.raises(CallerClosedError):
        accounts["b"].hold(1)
    accounts["a"].send(response_bytes=5)
    accounts["a"].read(received_bytes=0)
    assert closed == ["b"]
    assert budget.held_bytes == CONNECTION_BYTES
    assert budget.answering_bytes == 0


def test_a_response_that_is_not_read_is_closed_as_a_request_that_does_not_end() -> None:
    budget = budget_of(connections=2, more_bytes=100)
    accounts, closed = opened(budget, names="ab")
    assert accounts["a"].admit(request_bytes=0) is Admission.ADMITTED
    accounts["a"].send(response_bytes=80)
    accounts["b"].hold(30)
    assert closed == ["a"]


def test_large_requests_leave_a_share_to_small_ones() -> None:
    budget = CallerBudget(limit_bytes=8 * MB)
    accounts, closed = opened(budget, names="abcd")
    assert accounts["a"].admit(request_bytes=5 * MB) is Admission.ADMITTED
    assert accounts["b"].admit(request_bytes=2 * MB) is Admission.FULL
    assert accounts["c"].admit(request_bytes=SMALL_REQUEST_BYTES) is Admission.ADMITTED
    assert accounts["d"].admit(request_bytes=9 * MB) is Admission.TOO_LARGE
    assert (closed, budget.take_counts(), budget.take_counts()) == ([], (0, 2), (0, 0))


def test_a_single_large_request_may_take_all() -> None:
    budget = CallerBudget(limit_bytes=8 * MB)
    accounts, _ = opened(budget, names="a")
    assert accounts["a"].admit(request_bytes=8 * MB - CONNECTION_BYTES) is Admission.ADMITTED


def test_where_connections_are_short_the_longest_idle_one_goes() -> None:
    budget = CallerBudget()
    budget.resize(limit_bytes=8 * MB, descriptors=2)
    accounts, closed = opened(budget, names="ab")
    accounts["a"].admit(request_bytes=0)
    accounts["a"].send(response_bytes=0)
    accounts["a"].read(received_bytes=0)
    opened(budget, names="c")
    assert closed == ["b"]
    assert len(budget) == 2


def test_where_all_are_being_answered_a_new_connection_is_closed() -> None:
    budget = CallerBudget(most_connections=1)
    accounts, closed = opened(budget, names="a")
    accounts["a"].admit(request_bytes=0)
    with pytest.raises(CallerClosedError):
        opened(budget, names="b")
    assert closed == []


# Guards against a connection that is closed for want of room before it is set up: that ended the process.
def test_a_connection_that_comes_when_answers_take_all_memory_is_closed_and_nothing_else_happens() -> None:
    budget = budget_of(connections=1, more_bytes=100)
    accounts, closed = opened(budget, names="a")
    assert accounts["a"].admit(request_bytes=100) is Admission.ADMITTED
    server = Server(handler=answer_nothing, budget=budget)

    async def connect() -> bytes | bytearray:
        ours, theirs = trio.testing.memory_stream_pair()
        await server.serve(theirs)
        return await ours.receive_some(1)

    assert trio.run(connect) == b""
    assert closed == []
    assert (len(budget), budget.held_bytes) == (1, CONNECTION_BYTES + 100)


async def answer_nothing(_request: Request) -> Response:
    return Response(status=200)


@pytest.mark.parametrize("seed", range(20))
def test_the_sums_are_those_of_the_open_accounts(seed: int) -> None:
    draw = random.Random(seed)
    budget = CallerBudget()
    budget.resize(limit_bytes=20 * CONNECTION_BYTES, descriptors=8)
    accounts: list[CallerAccount] = []

    def step() -> None:
        account = draw.choice(accounts) if accounts else budget.open(on_evicted=lambda: None)
        size_bytes = draw.choice((0, 100, CONNECTION_BYTES, 6 * CONNECTION_BYTES))
        draw.choice(
            (
                lambda: accounts.append(budget.open(on_evicted=lambda: None)),
                lambda: account.hold(size_bytes) if not account.is_answering else None,
                lambda: account.admit(request_bytes=size_bytes) if not account.is_answering else None,
                lambda: account.send(response_bytes=size_bytes),
                lambda: account.read(received_bytes=size_bytes),
                account.close,
            )
        )()

    for _ in range(400):
        try:
            step()
        except CallerClosedError:
            accounts = [account for account in accounts if account.is_open]
        live = list(budget._accounts)
        assert budget.held_bytes == sum(account.held_bytes for account in live)
        assert budget.answering_bytes == sum(account.held_bytes for account in live if account.is_answering)
        assert len(budget) <= 8
        assert budget.held_bytes <= budget.limit_bytes or all(account.is_answering for account in live)


SHAPES = {
    "empty-objects": b"[" + b"{}," * 9999 + b"0]",
    "objects": b"[" + b'{"":0.5},' * 9999 + b"0]",
    "nested": b"[" + b'{"":' * 900 + b"0" + b"}" * 900 + b"]",
    "lists": b"[" + b"[]," * 9999 + b"0]",
    "full-lists": b"[" + b"[1.5]," * 9999 + b"0]",
    "numbers": b"[" + b"1.5," * 9999 + b"0]",
    "texts": b"[" + b'"ab",' * 9999 + b"0]",
    "wide-text": b'["' + "\U0001f40c".encode() + b"x" * 100_000 + b'"]',
    "escaped-text": b'["\\ud83d\\udc0c' + b"x" * 100_000 + b'"]',
    "many-keys": orjson.dumps({f"key-{number}": 1.5 for number in range(9999)}),
}


@pytest.mark.parametrize("shape", SHAPES)
def test_no_document_takes_more_than_was_reckoned_from_its_text(shape: str) -> None:
    text = SHAPES[shape]
    tracemalloc.start()
    try:
        document = orjson.loads(text)
        taken_bytes, _ = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert document
    assert taken_bytes <= document_bytes(text)
