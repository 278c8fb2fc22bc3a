"""The key-value tier: records with versions under keys, changed one key at a time and only by compare-and-set."""

from .records import (
    AnyValue,
    PlaceEntry,
    RecordState,
    StatusState,
    SubmissionEntry,
    TenantDebit,
    TransactionStatus,
    VersionedRecord,
)
from .store import ABSENT, KeyValueStore, shard_of

__all__ = [
    "ABSENT",
    "AnyValue",
    "KeyValueStore",
    "PlaceEntry",
    "RecordState",
    "StatusState",
    "SubmissionEntry",
    "TenantDebit",
    "TransactionStatus",
    "VersionedRecord",
    "shard_of",
]
