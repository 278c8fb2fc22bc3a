"""Effects of a core node itself; those of replicas, schedulers and calls are defined with them."""

from dataclasses import dataclass

from ..common.effects import Effect
from .messages import ClusterUpdate, HeartbeatAck


@dataclass(frozen=True, slots=True, kw_only=True)
class ApplyUpdate(Effect):
    """Take a cluster update, and pass it on to other nodes."""

    update: ClusterUpdate


@dataclass(frozen=True, slots=True, kw_only=True)
class NotifyOwners(Effect):
    """The controller tells agents of minions that they own from now on.

    Attributes:
        minion_ids: These minions.
    """

    minion_ids: list[str]


@dataclass(frozen=True, slots=True, kw_only=True)
class AcknowledgeOwnAgent(Effect):
    """The controller's acknowledgement to the agent of its own node.

    Attributes:
        ack: What it says.
    """

    ack: HeartbeatAck
