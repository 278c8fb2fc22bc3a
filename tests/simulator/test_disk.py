"""The simulated disk keeps the page's promises, and no more."""

import errno
import random

import pytest

from yarrowloom.simulator.machines.disk import Operation, Outcome, PowerCutError, SimDisk, Trouble

PATH = "/data/a"


def all_outcomes(disk: SimDisk) -> list[Outcome]:
    return list(disk.outcomes(rng=random.Random(1), most=1000, cuts=lambda length: [1] if length > 1 else []))


def left(disk: SimDisk, *, path: str = PATH) -> set[bytes | None]:
    """What a loss of power may leave of a file."""
    found: set[bytes | None] = set()
    for outcome in all_outcomes(disk):
        after = disk.copy()
        after.lose_power(outcome=outcome)
        found.add(after.content(path=path))
    return found


def made(*, folder_synced: bool) -> tuple[SimDisk, int]:
    disk = SimDisk()
    handle = disk.open(path=PATH, create=True)
    disk.write(handle=handle, position=0, data=b"abc")
    disk.sync(handle=handle)
    if folder_synced:
        disk.sync_folder(path="/data")
    return disk, handle


def test_a_name_lasts_by_a_sync_of_its_folder_alone() -> None:
    disk, _ = made(folder_synced=False)
    assert left(disk) == {b"abc", None}
    disk.sync_folder(path="/other")
    assert left(disk) == {b"abc", None}
    disk.sync_folder(path="/data")
    assert left(disk) == {b"abc"}


def test_each_unsynced_write_is_kept_torn_or_lost_by_itself() -> None:
    disk, handle = made(folder_synced=True)
    disk.write(handle=handle, position=0, data=b"XY")
    disk.write(handle=handle, position=3, data=b"Z")
    assert left(disk) == {b + end for b in (b"abc", b"Xbc", b"XYc") for end in (b"", b"Z")}
    disk.sync_data(handle=handle)
    assert left(disk) == {b"XYcZ"}


def test_a_kill_leaves_files_as_they_are_and_unsynced() -> None:
    disk, handle = made(folder_synced=True)
    disk.write(handle=handle, position=0, data=b"X")
    disk.kill()
    assert disk.content(path=PATH) == b"Xbc"
    assert left(disk) == {b"abc", b"Xbc"}
    with pytest.raises(OSError, match="Bad file"):
        disk.write(handle=handle, position=0, data=b"Y")
    again = disk.open(path=PATH, create=False)
    disk.sync(handle=again)
    assert left(disk) == {b"Xbc"}


def test_after_a_failed_sync_a_second_one_covers_later_writes_only() -> None:
    disk, handle = made(folder_synced=True)
    disk.write(handle=handle, position=0, data=b"X")
    disk.troubles = [Trouble(operation=Operation.SYNC_DATA, error=errno.EIO)]
    with pytest.raises(OSError, match="Input"):
        disk.sync_data(handle=handle)
    disk.write(handle=handle, position=1, data=b"Y")
    disk.sync_data(handle=handle)
    assert left(disk) == {b"aYc", b"XYc"}
    disk.write(handle=handle, position=0, data=b"W")
    disk.sync_data(handle=handle)
    assert left(disk) == {b"WYc"}


def test_names_renamed_and_removed() -> None:
    disk, _ = made(folder_synced=True)
    disk.rename(old=PATH, new="/data/b")
    assert left(disk) == {b"abc", None}
    assert left(disk, path="/data/b") == {b"abc", None}
    disk.sync_folder(path="/data")
    disk.remove(path="/data/b")
    assert disk.content(path="/data/b") is None
    assert left(disk, path="/data/b") == {b"abc", None}
    with pytest.raises(FileNotFoundError):
        disk.open(path=PATH, create=False)


def test_refused_and_slow_calls_and_a_full_disk() -> None:
    waits: list[float] = []
    disk = SimDisk(room_bytes=5, wait=waits.append)
    handle = disk.open(path=PATH, create=True)
    disk.troubles = [
        Trouble(operation=Operation.WRITE, error=errno.EIO, after=1, taken_bytes=2),
        Trouble(operation=Operation.SYNC, stall_s=2.5),
    ]
    disk.write(handle=handle, position=0, data=b"a")
    with pytest.raises(OSError, match="Input"):
        disk.write(handle=handle, position=1, data=b"bcd")
    disk.sync(handle=handle)
    assert disk.content(path=PATH) == b"abc"
    assert waits == [2.5]
    assert disk.stalled_s == 2.5
    with pytest.raises(OSError, match="No space"):
        disk.write(handle=handle, position=2, data=b"CDEF")
    assert disk.content(path=PATH) == b"abCDE"
    disk.write(handle=handle, position=0, data=b"ABCDE")


def test_power_cut_at_a_call_and_a_bound_on_outcomes() -> None:
    disk, handle = made(folder_synced=True)
    disk.cut_at = disk.calls + 12
    for i in range(11):
        disk.write(handle=handle, position=i, data=b"??")
    with pytest.raises(PowerCutError):
        disk.write(handle=handle, position=0, data=b"?")
    rows = list(disk.outcomes(rng=random.Random(2), most=50, cuts=lambda _: [1]))
    assert len(rows) == 50
    assert rows[0].writes == (0,) * 11
    assert rows[1].writes == (2,) * 11
    assert rows == list(disk.outcomes(rng=random.Random(2), most=50, cuts=lambda _: [1]))
