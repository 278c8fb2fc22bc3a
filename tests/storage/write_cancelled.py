"""Wrote the case `cancelled` under `data/`, once, with the release that remembers cancellations of unknown jobs.

As with `write_data.py`, it is not to be run again to make a test pass. `python -m tests.storage.write_cancelled FOLDER`
writes the case into an empty folder.
"""

import pathlib
import sys
import tempfile
from collections.abc import Iterator
from typing import Any

from tests.storage.stored_data import SEEDS
from tests.storage.write_data import PLAIN, UIDS, DiskWriter, keep
from tests.storage.write_transactions import Writer

LAST_BATCH_BEFORE_SNAPSHOT = 1


def cancellation(*, number: int) -> dict[str, Any]:
    """A job that isn't known is cancelled."""
    return {"t": "cancel", "id": f"{number:016x}", "at": 1_700_000_000_000, "early": True}


def events() -> Iterator[list[dict[str, Any]]]:
    """Batches in which jobs are cancelled before they are known, one of them twice, and one is submitted after it."""
    writer = Writer(is_begin_reported=True)
    yield [cancellation(number=1), writer.submit(number=2, stages=PLAIN, tenant="")]
    yield [cancellation(number=3), cancellation(number=1)]
    yield [writer.submit(number=3, stages=PLAIN, tenant=""), cancellation(number=4)]


def write(*, folder: pathlib.Path) -> DiskWriter:
    """A snapshot between the events."""
    disk = DiskWriter(folder=folder, ip=SEEDS[2])
    for number, batch in enumerate(events()):
        disk.log(source=UIDS[1], group=1, events=batch)
        if number == LAST_BATCH_BEFORE_SNAPSHOT:
            disk.move_on()
    return disk


def main() -> None:
    """Write the case into the folder named."""
    out = pathlib.Path(sys.argv[1])
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name) / "cancelled"
        keep(files=folder, out=out / "cancelled", ip=SEEDS[2], live=write(folder=folder))


if __name__ == "__main__":
    main()
