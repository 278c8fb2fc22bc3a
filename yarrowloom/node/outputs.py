"""What a node wants done, as data."""

from dataclasses import dataclass, field
from typing import Any

from ..common.effects import Effect
from ..transport.http_messages import Response
from ..transport.message_kinds import Kind


@dataclass(kw_only=True)
class Outbox:
    """What a node wants done since whoever runs it last looked.

    Attributes:
        sends: Messages to other nodes: address, kind and encoded body.
        writes: Encoded records, each with the effect that is due once the record is synced.
        answers: Responses to HTTP calls, by the key that the call came with.
    """

    sends: list[tuple[str, Kind, bytes]] = field(default_factory=list)
    writes: list[tuple[bytes, Effect]] = field(default_factory=list)
    answers: list[tuple[Any, Response]] = field(default_factory=list)
