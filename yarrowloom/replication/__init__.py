"""Replicated records: a primary, a backup, and witnesses that keep only the epoch."""

from .environment import Hub, Reducer, Role
from .epoch import Epoch, Witness
from .replica import Replica

__all__ = ["Epoch", "Hub", "Reducer", "Replica", "Role", "Witness"]
