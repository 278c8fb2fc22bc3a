"""The task that writes a core node's records to its journal, in batches, off the main thread."""

from collections.abc import Callable

import trio

from ..common.effects import Effect
from ..common.log import Log
from ..storage import SNAPSHOT_END, RingJournal
from ..storage.startup_retry import RETRY_S

Write = tuple[bytes, Effect]  # an encoded record, and the effect that may follow once it is durable


class DiskWriter:
    """Writes and syncs records, and reports the effects that may follow.

    Invariants: effects are reported in the order of their records, each once, after the sync that covers its record;
    records of a batch that the disk refused go first in the next one. Only one batch is being written at a time.
    """

    def __init__(
        self,
        *,
        ring: RingJournal,
        snapshot: Callable[[], list[bytes]],
        on_written: Callable[[list[bytes], list[Write]], None],
        log: Log,
    ) -> None:
        """Create a writer for a ring that has been begun.

        Args:
            ring: The journal.
            snapshot: Gives the records that stand for all of the node's state; called when a file is full.
            on_written: Called with the snapshot (empty: none) and the batch that are now durable.
            log: Takes refusals of the disk.
        """
        self.ring = ring
        self._snapshot = snapshot
        self.on_written = on_written
        self._log = log
        self._pending: list[Write] = []
        self._has_pending = trio.Event()

    def add(self, *, writes: list[Write]) -> None:
        """Queue records."""
        self._pending += writes
        self._has_pending.set()

    async def run(self) -> None:
        """Write whatever is queued, for ever."""
        while True:
            await self._has_pending.wait()
            self._has_pending = trio.Event()
            while self._pending:
                await self._write_batch()

    async def _write_batch(self) -> None:
        """Write all that is queued, or queue it again and wait if the disk refuses it."""
        batch, self._pending = self._pending, []
        records = [record for record, _ in batch]
        snapshot = self._snapshot() if self.ring.is_full(extra_bytes=self.ring.encoded_bytes(bodies=records)) else []
        try:
            await trio.to_thread.run_sync(self.write, snapshot, records)
        except OSError as error:
            self._log.warn("disk-refused", why=str(error))
            self.ring.close()
            self._pending = batch + self._pending
            await trio.sleep(RETRY_S)
            return
        self.on_written(snapshot, batch)

    def write(self, snapshot: list[bytes], records: list[bytes]) -> None:
        """Write and sync records; a snapshot begins a new file. Blocks while the disk does.

        Raises:
            OSError: The disk refused them; how much of them it took isn't known.
        """
        if snapshot:
            self.ring.begin_file(snapshot=[*snapshot, SNAPSHOT_END], bodies=records)
        else:
            self.ring.append(bodies=records)
