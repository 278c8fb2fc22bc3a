"""Effects of the scheduler: what its node carries out once the events before them are durable."""

import msgspec

from ..agent.messages import StoppedRun
from ..common.effects import Effect
from .lease_cache import HeldLease


class StartedRun(msgspec.Struct, frozen=True, kw_only=True):
    """A run whose start was recorded, to be ordered on a lease."""

    job_id: str
    unit_key: str
    index: int
    run: int
    lease: HeldLease


class OrderRuns(Effect, frozen=True, kw_only=True):
    """Order runs of a job group whose starts are durable."""

    group_id: int
    runs: list[StartedRun]


class StopRuns(Effect, frozen=True, kw_only=True):
    """Tell agents to stop runs of a job group."""

    group_id: int
    runs: list[StoppedRun]
