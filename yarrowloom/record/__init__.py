"""Replicated records: a primary, a backup, and witnesses that keep only the epoch."""

from .epoch import Epoch, Witness
from .replica import Hub, Reducer, Replica, Role

__all__ = ["Epoch", "Hub", "Reducer", "Replica", "Role", "Witness"]
