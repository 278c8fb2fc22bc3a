"""Placing nodes: the primary of a job group holds its backlog and feeds agents."""

from .placer import Placer, PlacerHub

__all__ = ["Placer", "PlacerHub"]
