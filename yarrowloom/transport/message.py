"""The base of typed messages between nodes."""

from typing import ClassVar

from ..common.records import Record
from .message_kinds import Kind


class Message(Record, frozen=True, kw_only=True):
    """The body of one message between nodes; its class fixes the kind. Encoded keys are those on the wire."""

    KIND: ClassVar[Kind]
