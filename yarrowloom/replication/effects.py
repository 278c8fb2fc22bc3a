"""What a replica wants done once a record is on its disk."""

from dataclasses import dataclass

from ..common.effects import Effect


@dataclass(frozen=True, slots=True, kw_only=True)
class BatchSynced(Effect):
    """A primary's own disk has a batch; the node tells `Replica.batch_synced`.

    Attributes:
        group_id: The group.
        epoch_number: The epoch in which the batch was written.
        last_event: Number of the last event of the batch.
    """

    group_id: int
    epoch_number: int
    last_event: int


@dataclass(frozen=True, slots=True, kw_only=True)
class SnapshotSynced(Effect):
    """A candidate's own disk has the snapshot that it proposes; the node tells `Replica.snapshot_synced`.

    Attributes:
        group_id: The group.
        snapshot_id: Names the snapshot.
    """

    group_id: int
    snapshot_id: str
