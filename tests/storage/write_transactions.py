"""Wrote the case `transactions` under `data/`, once, with the release that brought records and transactions.

As with `write_data.py`, it is not to be run again to make a test pass. `python -m tests.storage.write_transactions
FOLDER` writes the case into an empty folder.
"""

import pathlib
import sys
import tempfile
from collections.abc import Collection, Iterable, Iterator
from typing import Any

from tests.storage.stored_data import SEEDS
from tests.storage.write_data import CHAIN, GANG, PLAIN, START_MS, UIDS, DiskWriter, job, keep
from yarrowloom.jobs.events import JobsBegun, PlacementsChanged, TaskEnded, TaskStart
from yarrowloom.jobs.placements import PlacementClient
from yarrowloom.jobs.state_machine import Jobs

UNIT = "0.0"


class Writer:
    """Makes the events of a job group as its scheduler does, on a state of its own."""

    def __init__(self, *, is_begin_reported: bool = False) -> None:
        self.is_begin_reported = is_begin_reported  # as releases write it since the case `begun`
        self.jobs = Jobs()
        self.client = PlacementClient(name="1.4", state=self.jobs)
        self.now_ms = START_MS

    def submit(self, *, number: int, stages: list[dict[str, Any]], tenant: str, **more: Any) -> dict[str, Any]:
        event = job(number=number, stages=stages, at=self.now_ms)
        event["j"].update({"tn": tenant, **more})
        self.jobs.apply(event)
        return event

    def bind(self, *, number: int, rows: list[tuple[int, int, str]]) -> dict[str, Any]:
        self.now_ms += 40
        starts = [TaskStart(index=index, run_id=run, minion_id=minion_id) for index, run, minion_id in rows]
        bound = self.client.bind(
            job_id=f"{number:016x}",
            unit_key=UNIT,
            starts=starts,
            wall_ms=self.now_ms,
            is_begin_reported=self.is_begin_reported,
        )
        return self._apply(bound)

    def release(self, *, rows: list[tuple[int, int, int, str]], saved: str = "", at: bool = True) -> dict[str, Any]:
        """`rows`: job, index, run and outcome of each end."""
        self.now_ms += 700
        ends = [
            TaskEnded(
                job_id=f"{number:016x}",
                unit_key=UNIT,
                index=index,
                run_id=run,
                outcome=outcome,
                saved_progress=saved,
                max_attempts=3,
                ended_at_ms=self.now_ms if at else 0,
            )
            for number, index, run, outcome in rows
        ]
        event = self.client.release(ends=ends, wall_ms=self.now_ms)
        assert event is not None
        return self._apply(event)

    def begin(self, *, number: int) -> dict[str, Any]:
        return self._apply(JobsBegun(job_ids=[f"{number:016x}"]))

    def _apply(self, event: PlacementsChanged | JobsBegun) -> dict[str, Any]:
        document: dict[str, Any] = event.document()
        self.jobs.apply_event(event)
        return document


def events() -> Iterator[list[dict[str, Any]]]:
    """Batches with transactions in all forms: of tenants and of none, of several jobs, of gangs, without a time."""
    writer = Writer()
    yield [writer.submit(number=1, stages=PLAIN, tenant="a"), writer.submit(number=2, stages=CHAIN, tenant="")]
    yield [
        writer.submit(number=3, stages=GANG, tenant="b", over=True),
        writer.submit(number=4, stages=PLAIN, tenant="a"),
    ]
    yield [writer.bind(number=1, rows=[(0, 1, "i-1"), (1, 1, "i-2")])]
    yield [writer.bind(number=2, rows=[(0, 1, "i-1"), (1, 1, "i-2")]), writer.bind(number=4, rows=[(0, 1, "i-1")])]
    yield [writer.release(rows=[(1, 0, 1, "done"), (2, 0, 1, "stopped"), (4, 0, 1, "failed")], saved="half")]
    yield [writer.bind(number=3, rows=[(0, 1, "i-1"), (1, 1, "i-2"), (2, 1, "i-2")])]
    yield [writer.release(rows=[(3, 1, 1, "done")])]
    yield [writer.bind(number=4, rows=[(0, 2, "i-2"), (1, 1, "i-2")]), writer.bind(number=2, rows=[(0, 2, "i-2")])]
    yield [writer.release(rows=[(4, 1, 1, "void")], at=False), {"t": "forget", "ids": [f"{3:016x}"]}]


def write_case(
    *, out: pathlib.Path, name: str, batches: Iterable[list[dict[str, Any]]], snapshot_after: Collection[int]
) -> None:
    """Write a case of that name into a folder: batches of the job group's events, snapshots after some of them."""
    with tempfile.TemporaryDirectory() as temporary:
        folder = pathlib.Path(temporary) / name
        disk = DiskWriter(folder=folder, ip=SEEDS[2])
        for number, batch in enumerate(batches):
            disk.log(source=UIDS[1], group=1, events=batch)
            if number in snapshot_after:
                disk.move_on()
        keep(files=folder, out=out / name, ip=SEEDS[2], live=disk)


if __name__ == "__main__":
    write_case(out=pathlib.Path(sys.argv[1]), name="transactions", batches=events(), snapshot_after=(4, 7))
