"""Agents: each alone grants the capacity of the minions that it owns, as leases to the schedulers of job groups."""

from .agent import Agent
from .environment import AgentEnvironment
from .minion import Minion
from .timing import AgentTiming

__all__ = ["Agent", "AgentEnvironment", "AgentTiming", "Minion"]
