"""Placing nodes: the primary of a job group holds its backlog and feeds agents."""

from .environment import SchedulerEnvironment
from .scheduler import Placer

__all__ = ["Placer", "SchedulerEnvironment"]
