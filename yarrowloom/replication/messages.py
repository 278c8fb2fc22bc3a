"""The kinds of messages that members of a group exchange about its record."""

from ..transport.envelope import Kind

RECORD_KINDS = frozenset(
    {
        Kind.PREPARE,
        Kind.PROMISE,
        Kind.ACCEPT,
        Kind.ACCEPTED,
        Kind.INSTALL_EPOCH,
        Kind.EPOCH_INSTALLED,
        Kind.SNAPSHOT,
        Kind.SNAPSHOT_STORED,
        Kind.APPEND_BATCH,
        Kind.BATCH_APPENDED,
        Kind.LEADER_LEASE_REQUEST,
        Kind.LEADER_LEASE_GRANTED,
        Kind.YIELD,
    }
)
