"""Reads of the newest configuration, as one call to the primary for all that wait.

A configuration takes many times its text as a document, so callers' reads don't each have one on its way. A read is
never answered by a call that began before it: what was acknowledged meanwhile would be missing.
"""

from typing import Protocol

from ..transport.http_messages import Response
from .call_messages import CallOperation, NoArguments
from .group_calls import GIVEN_UP, CallResult, GroupCalls

OPERATOR_CALL_TTL_S = 3.5


class ConfigReadEnvironment(Protocol):
    """What reads need of their node."""

    calls: GroupCalls

    def respond(self, *, call: int, response: Response) -> None:
        """Respond to an HTTP call."""


def registry_response(result: CallResult) -> Response:
    """The response to an operator's call that group 0 has answered, or has not."""
    if result.status == GIVEN_UP:
        return Response.of(503, {"error": "no primary in reach"})
    return Response.of(result.status, result.document)


class ConfigReads:
    """The open reads of a node. Invariant: at most one call is under way."""

    def __init__(self, *, environment: ConfigReadEnvironment) -> None:
        self._environment = environment
        self._asked: list[int] = []  # HTTP calls that the call under way answers
        self._waiting: list[int] = []  # those that came after it began

    def read(self, *, call: int) -> None:
        """An HTTP call asks for the newest configuration."""
        self._waiting.append(call)
        if not self._asked:
            self._start()

    def _start(self) -> None:
        self._asked, self._waiting = self._waiting, []
        self._environment.calls.start(
            group_id=0,
            operation=CallOperation.READ_CONFIG,
            body=NoArguments(),
            on_end=self._on_result,
            ttl_s=OPERATOR_CALL_TTL_S,
        )

    def _on_result(self, result: CallResult) -> None:
        asked, self._asked = self._asked, []
        response = registry_response(result)
        for call in asked:
            self._environment.respond(call=call, response=response)
        if self._waiting:
            self._start()
