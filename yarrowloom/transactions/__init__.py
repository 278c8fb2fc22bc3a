"""Transactions over the key-value tier, coordinated by their clients; docs/transactions.md says why and how."""

from .clock import HybridClock, wall_ms
from .commit_batch import Change, CommitBatch, Write, apply_commit_batch, batch_of
from .transaction import Transaction, TransactionConflictError

__all__ = [
    "Change",
    "CommitBatch",
    "HybridClock",
    "Transaction",
    "TransactionConflictError",
    "Write",
    "apply_commit_batch",
    "batch_of",
    "wall_ms",
]
