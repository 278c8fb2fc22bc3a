"""The newest epochs that a node knows, one a group."""

from collections.abc import Iterable, Mapping

from ..replication.epoch import Epoch


class KnownEpochs:
    """The newest epoch known of each group.

    Attributes:
        by_group: Epochs by group id. Invariant: an epoch is only replaced by one with a higher number.
    """

    def __init__(self) -> None:
        self.by_group: dict[int, Epoch] = {}

    def primary(self, *, group_id: int) -> tuple[str, int] | None:
        """Node id of a group's primary and the number of its epoch; None: no epoch is known."""
        epoch = self.by_group.get(group_id)
        return (epoch.primary, epoch.number) if epoch is not None else None

    def number(self, *, group_id: int) -> int:
        """The number of a group's newest epoch; -1: none is known."""
        epoch = self.by_group.get(group_id)
        return epoch.number if epoch is not None else -1

    def numbers(self) -> dict[int, int]:
        """The numbers of all epochs known, by group id."""
        return {group_id: epoch.number for group_id, epoch in self.by_group.items()}

    def rows(self) -> list[tuple[int, Epoch]]:
        """All epochs known, with their groups."""
        return list(self.by_group.items())

    def newer_than(self, *, numbers: Mapping[str, int]) -> dict[int, Epoch]:
        """The epochs that a node lacks which knows those of `numbers`, by group id as text."""
        return {
            group_id: epoch
            for group_id, epoch in self.by_group.items()
            if numbers.get(str(group_id), -1) < epoch.number
        }

    def node_ids(self) -> list[str]:
        """All nodes that the epochs name, in the order of groups; a node may come more than once."""
        return [
            node_id for epoch in self.by_group.values() for node_id in (*epoch.witnesses, *epoch.holders) if node_id
        ]

    def holders(self) -> list[str]:
        """Primaries and backups of all groups: a node comes once for each group of which it holds the state."""
        return [node_id for epoch in self.by_group.values() for node_id in epoch.holders]

    def learn(self, *, epochs: Iterable[tuple[int, Epoch]]) -> None:
        """Take note of epochs with their groups."""
        for group_id, epoch in epochs:
            if self.number(group_id=group_id) < epoch.number:
                self.by_group[group_id] = epoch
