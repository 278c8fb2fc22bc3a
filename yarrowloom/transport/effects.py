"""Effects that any replicated group may have: a message to a node, and the response to a node's call."""

from msgspec import UNSET, UnsetType

from ..common.effects import Effect
from .message import Message


class SendMessage(Effect, frozen=True, kw_only=True):
    """Send a message to a node."""

    node_id: str
    message: Message


class Reply(Effect, frozen=True, kw_only=True):
    """Respond to the call of a node.

    Attributes:
        node_id: The caller.
        request_id: The caller's number of the call.
        status: As an HTTP status.
        document: The response's body, as plain data.
        newest_cancellation: As in `GroupReply`.
    """

    node_id: str
    request_id: int
    status: int
    document: object
    newest_cancellation: int | UnsetType = UNSET
