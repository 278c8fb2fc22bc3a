"""Replicated records: a primary, a backup, and witnesses that keep only the epoch."""

from .environment import Reducer, ReplicaEnvironment, Role
from .epoch import Acceptor, Epoch
from .replica import Replica

__all__ = ["Acceptor", "Epoch", "Reducer", "Replica", "ReplicaEnvironment", "Role"]
