"""Reads of the configuration share calls, but never one that began before them."""

from typing import Any, cast

from yarrowloom.node.config_reads import ConfigReads
from yarrowloom.node.group_calls import GIVEN_UP, CallResult, Continuation
from yarrowloom.transport.http_messages import Response


class Environment:
    """Takes calls and responses; the test ends the calls."""

    def __init__(self) -> None:
        self.calls = self
        self.under_way: list[Continuation] = []
        self.responses: dict[int, int] = {}

    def start(self, *, on_end: Continuation, **_: Any) -> None:
        self.under_way.append(on_end)

    def respond(self, *, call: int, response: Response) -> None:
        assert call not in self.responses
        self.responses[call] = response.status

    def end_call(self, *, status: int) -> None:
        self.under_way.pop(0)(CallResult(status=status, document={}, was_sent=True))


def test_reads_that_come_during_a_call_share_the_next_one() -> None:
    environment = Environment()
    reads = ConfigReads(environment=cast(Any, environment))
    for call in (1, 2, 3):
        reads.read(call=call)
    assert len(environment.under_way) == 1
    environment.end_call(status=200)
    assert environment.responses == {1: 200}
    assert len(environment.under_way) == 1
    environment.end_call(status=GIVEN_UP)
    assert environment.responses == {1: 200, 2: 503, 3: 503}
    assert environment.under_way == []
    reads.read(call=4)
    environment.end_call(status=200)
    assert environment.responses[4] == 200
