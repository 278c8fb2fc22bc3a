"""Replicated records: a primary, a backup, and witnesses that keep only the epoch."""

from .epoch import Epoch, Witness
from .parts import Hub, Reducer, Role
from .replica import Replica

__all__ = ["Epoch", "Hub", "Reducer", "Replica", "Role", "Witness"]
