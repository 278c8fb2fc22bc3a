"""Wrote the case `begun` under `data/`, once, with the release in which a job is pending until a task has begun.

Its jobs also carry the addresses of their queues. As with `write_data.py`, it is not to be run again to make a test
pass. `python -m tests.storage.write_begun FOLDER` writes the case into an empty folder.
"""

import pathlib
import sys
from collections.abc import Iterator
from typing import Any

from tests.storage.write_data import LONG, PLAIN
from tests.storage.write_transactions import Writer, write_case

ADDRESS = ["h.example", "/fast/"]
LAST_BATCH_BEFORE_SNAPSHOT = 3


def events() -> Iterator[list[dict[str, Any]]]:
    """Batches in which jobs begin by a report and by an end, and one whose order never reached its minion."""
    writer = Writer(is_begin_reported=True)
    yield [
        writer.submit(number=1, stages=LONG, tenant="a", ad=ADDRESS),
        writer.submit(number=2, stages=PLAIN, tenant="", ad=ADDRESS),
        writer.submit(number=3, stages=PLAIN, tenant="", ad=ADDRESS),
        writer.submit(number=4, stages=PLAIN, tenant=""),
    ]
    yield [writer.bind(number=number, rows=[(0, 1, "i-1")]) for number in (1, 2, 3)]
    yield [writer.begin(number=1), writer.release(rows=[(2, 0, 1, "done")])]
    yield [writer.release(rows=[(3, 0, 1, "void")], at=False)]
    yield [writer.bind(number=3, rows=[(0, 2, "i-2")]), writer.bind(number=4, rows=[(1, 1, "i-2")])]
    yield [writer.begin(number=4), writer.begin(number=4), {"t": "begun", "ids": ["00000000000000ff"]}]


if __name__ == "__main__":
    write_case(
        out=pathlib.Path(sys.argv[1]), name="begun", batches=events(), snapshot_after=(LAST_BATCH_BEFORE_SNAPSHOT,)
    )
