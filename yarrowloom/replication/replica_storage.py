"""What a member has of one group on its disk: its vote, a copy of the state, and copies for epochs yet undecided."""

from typing import Any

from .environment import Reducer, decode
from .epoch import Acceptor, Epoch
from .log_replay import ReplayError, unapplied, witness_rank
from .timing import SPARES


class ReplicaStorage:
    """Invariants: `state` holds exactly the events up to number `applied` of epoch `base`, each once; a journal that
    is replayed from its last whole snapshot on gives a beginning of these that has all that was synced.
    """

    def __init__(self, *, group_id: int, node_id: str, state: Reducer, epoch: Epoch | None) -> None:
        self.group_id = group_id
        self.node_id = node_id
        self.state = state
        self.acceptor = Acceptor(node_id=node_id, decided=epoch)
        self.state_epoch = -1
        self.last_applied = 0
        self.pending_snapshots: dict[str, dict[str, Any]] = {}  # by tag: checkpoints for epochs not yet decided

    def restore(self, record: dict[str, Any]) -> None:
        """Replay one record; `settle` follows the last."""
        kind = record["k"]
        if kind == "w":
            self._restore_witness(record=record)
        elif kind == "ck":
            if self.acceptor.decided is None or record["inst"] > self.acceptor.decided.number:
                self.store_snapshot(record=record)
        elif kind == "st":
            self._load(epoch=record["n"], record=record)
        elif kind == "lg":
            self._restore_batch(record=record)
        else:
            raise ReplayError(text=f"unknown kind of record: {kind!r}")

    def _restore_witness(self, *, record: dict[str, Any]) -> None:
        """Records that waited while a snapshot was taken come after it and are older."""
        if witness_rank(document=record) < witness_rank(document=self.acceptor.dump()):
            return
        self.acceptor.load(record)
        epoch = self.acceptor.decided
        if epoch is not None:
            if self.state_epoch < epoch.number:
                self._install_snapshot(epoch=epoch)
            self._prune(n=epoch.number)

    def _restore_batch(self, *, record: dict[str, Any]) -> None:
        first, events, epoch = record["first"], record["evs"], record["n"]
        if epoch == self.state_epoch:
            for event in unapplied(first=first, events=events, applied=self.last_applied):
                self.state.apply(event)
                self.last_applied += 1
        elif self.acceptor.decided is None or epoch > self.acceptor.decided.number:
            raise ReplayError(text=f"events of epoch {epoch}, which was never installed")

    def records(self, *, whole: bool) -> list[dict[str, Any]]:
        """What a snapshot consists of; `whole`: with the state itself."""
        out: list[dict[str, Any]] = []
        if whole and self.state_epoch >= 0:
            out.append(
                {
                    "k": "st",
                    "g": self.group_id,
                    "n": self.state_epoch,
                    "applied": self.last_applied,
                    "st": self.state.dump(),
                }
            )
        out.append({"k": "w", "g": self.group_id, **self.acceptor.dump()})
        return out + list(self.pending_snapshots.values())

    def store_snapshot(self, *, record: dict[str, Any]) -> None:
        """Hold on to a checkpoint until its epoch is decided. Those for one number are no more than an epoch has
        holders; of others, the lowest number makes room, as an epoch after it is under way.
        """
        self.pending_snapshots[record["tag"]] = record
        while len(self.pending_snapshots) > SPARES:
            del self.pending_snapshots[
                min(
                    (tag for tag in self.pending_snapshots if not self._own(tag=tag)),
                    key=lambda tag: self.pending_snapshots[tag]["inst"],
                )
            ]

    def _own(self, *, tag: str) -> bool:
        return tag.startswith(f"{self.node_id}/")

    def proposed_snapshot(self, *, epoch_number: int) -> dict[str, Any] | None:
        """The copy that this member proposed for an epoch number, in this life or an earlier one. Witnesses may have
        voted for it, or will: the member proposes no other for that number, so that those who hold copies need not
        keep more of them than an epoch has holders; and it confirms nothing more to the primary of the epoch before.
        """
        for tag, record in self.pending_snapshots.items():
            if self._own(tag=tag) and record["inst"] == epoch_number:
                return record
        return None

    def _install_snapshot(self, *, epoch: Epoch) -> bool:
        record = self.pending_snapshots.get(epoch.snapshot_id)
        if record is None or record["inst"] != epoch.number or self.node_id not in (epoch.primary, *epoch.backups):
            return False
        self._load(epoch=epoch.number, record=record)
        return True

    def _load(self, *, epoch: int, record: dict[str, Any]) -> None:
        applied = int(record["applied"])
        self.state.load(decode(text=record["st"]))
        self.state_epoch, self.last_applied = epoch, applied

    def _prune(self, *, n: int) -> None:
        self.pending_snapshots = {t: r for t, r in self.pending_snapshots.items() if r["inst"] > n}
