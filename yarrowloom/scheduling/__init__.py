"""Placing nodes: the primary of a job group holds its backlog and feeds agents."""

from .environment import PlacerHub
from .scheduler import Placer

__all__ = ["Placer", "PlacerHub"]
