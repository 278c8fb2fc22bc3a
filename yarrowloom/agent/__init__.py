"""Agents: each alone grants the room of the minions whose beats it holds."""

from .agent import Agent, AgentHub
from .minion import Minion

__all__ = ["Agent", "AgentHub", "Minion"]
