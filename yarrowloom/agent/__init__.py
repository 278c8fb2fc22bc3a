"""Agents: each alone grants the room of the minions whose beats it holds."""

from .agent import Agent
from .environment import AgentEnvironment
from .minion import Minion

__all__ = ["Agent", "AgentEnvironment", "Minion"]
