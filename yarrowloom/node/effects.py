"""Effects of a core node itself; those of replicas, schedulers and calls are defined with them."""

from ..common.effects import Effect
from .messages import ClusterUpdate, HeartbeatAck


class ApplyUpdate(Effect, frozen=True, kw_only=True):
    """Take a cluster update, and pass it on to other nodes."""

    update: ClusterUpdate


class NotifyOwners(Effect, frozen=True, kw_only=True):
    """The controller tells agents of minions that they own from now on.

    Attributes:
        minion_ids: These minions.
    """

    minion_ids: list[str]


class AcknowledgeOwnAgent(Effect, frozen=True, kw_only=True):
    """The controller's acknowledgement to the agent of its own node.

    Attributes:
        ack: What it says.
    """

    ack: HeartbeatAck
