"""Wrote the case `cancelled` under `data/`, once, with the release that remembers cancellations of unknown jobs.

As with `write_data.py`, it is not to be run again to make a test pass. `python -m tests.storage.write_cancelled FOLDER`
writes the case into an empty folder.
"""

import pathlib
import sys
from collections.abc import Iterator
from typing import Any

from tests.storage.write_data import PLAIN
from tests.storage.write_transactions import Writer, write_case

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


if __name__ == "__main__":
    write_case(
        out=pathlib.Path(sys.argv[1]), name="cancelled", batches=events(), snapshot_after=(LAST_BATCH_BEFORE_SNAPSHOT,)
    )
