"""What a replica wants done once a record is on its disk."""

from ..common.effects import Effect


class BatchSynced(Effect, frozen=True, kw_only=True):
    """A primary's own disk has a batch; the node tells `Replica.batch_synced`.

    Attributes:
        group_id: The group.
        epoch_number: The epoch in which the batch was written.
        last_event: Number of the last event of the batch.
    """

    group_id: int
    epoch_number: int
    last_event: int


class SnapshotSynced(Effect, frozen=True, kw_only=True):
    """A candidate's own disk has the snapshot that it proposes; the node tells `Replica.snapshot_synced`.

    Attributes:
        group_id: The group.
        snapshot_id: Names the snapshot.
    """

    group_id: int
    snapshot_id: str
