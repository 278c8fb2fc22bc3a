"""Placing nodes: the primary of a job group holds its backlog and feeds agents."""

from .environment import PlacerHub
from .placer import Placer

__all__ = ["Placer", "PlacerHub"]
