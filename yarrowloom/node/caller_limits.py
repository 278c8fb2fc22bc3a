"""How much of a process its callers may hold, from the limits in its settings."""

from ..common.settings import NodeSettings
from ..transport.caller_budget import CallerBudget

CALLERS_MEMORY_SHARE = 0.375  # the rest is for the program, its state and other nodes' messages
MEMORY_MINIMUM_BYTES = 16 << 20  # one request of the largest size that clients may send has room in it
FILE_DESCRIPTORS = 200  # kept for files
CALLERS_DESCRIPTOR_SHARE = 0.5  # of the others; the rest is for connections to and from other nodes
CONNECTIONS_MINIMUM = 16


def apply_limits(*, budget: CallerBudget, settings: NodeSettings) -> None:
    """Size a budget by the settings, at the start and when they have changed."""
    descriptors = int(CALLERS_DESCRIPTOR_SHARE * (settings.descriptors - FILE_DESCRIPTORS))
    budget.resize(
        limit_bytes=max(int(CALLERS_MEMORY_SHARE * (settings.memory_mb << 20)), MEMORY_MINIMUM_BYTES),
        descriptors=max(descriptors, CONNECTIONS_MINIMUM),
    )
