"""Replicated state of a group: a primary, its backups, and witnesses that agree on who they are."""

from .acceptor import Acceptor
from .environment import Reducer, ReplicaEnvironment
from .epoch import Epoch
from .replica import Replica
from .roles import Role

__all__ = ["Acceptor", "Epoch", "Reducer", "Replica", "ReplicaEnvironment", "Role"]
