"""The scheduler: the primary of a job group holds its waiting work and places it on the agents' minions."""

from .effects import OrderRuns, StopRuns
from .environment import SchedulerEnvironment
from .scheduler import Scheduler

__all__ = ["OrderRuns", "Scheduler", "SchedulerEnvironment", "StopRuns"]
