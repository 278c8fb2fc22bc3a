"""The store's verdict on damaged, cut off and empty disks; what its calls cost; how much room it takes."""

import errno
import logging
import pathlib

import pytest

from tests.support.storage_proof import FILE_BYTES, FOLDER, Life, Oracle, Process, make_journal, play, replay, snapshot
from yarrowloom.common.errors import StorageError
from yarrowloom.common.log import Log
from yarrowloom.common.settings import NodeSettings
from yarrowloom.node.runtime import Runtime
from yarrowloom.node.startup import open_core
from yarrowloom.simulator.machines.disk import Operation, Outcome, PowerCutError, SimDisk, Trouble
from yarrowloom.storage import SNAPSHOT_END, JournalState, RingJournal, file_sizes, retry_disk_call
from yarrowloom.storage.record_format import HEADER_BYTES

MIB = 1 << 20
LOG = Log(name="test", level="error")
logging.getLogger("yarrowloom.test").setLevel(logging.CRITICAL)


def after(*, batches: tuple[int, ...]) -> tuple[SimDisk, Oracle]:
    """A disk on which some batches were acknowledged, after the loss of power."""
    disk, oracle = SimDisk(), Oracle()
    assert play(disk=disk, oracle=oracle, life=Life(batches=batches), make=make_journal, cut=None)
    lose_all(disk=disk)
    return disk, oracle


def lose_all(*, disk: SimDisk) -> None:
    """Power goes, and all that was not synced with it."""
    disk.lose_power(
        outcome=Outcome(names=(False,) * len(disk.unsynced_names()), writes=(0,) * len(disk.unsynced_writes()))
    )


def verdict(*, disk: SimDisk) -> JournalState:
    ring = make_journal(disk.copy(), 99)
    ring.load()
    return ring.state


def path(slot: int) -> str:
    return f"{FOLDER}/ring-{slot}"


DAMAGES = ["removed", "emptied", "header", "foreign", "zeros"]


def damage(*, disk: SimDisk, slot: int, how: str) -> None:
    old = disk.content(path=path(slot))
    assert old is not None
    new = {
        "removed": None,
        "emptied": b"",
        "header": b"?" * HEADER_BYTES + old[HEADER_BYTES:],
        "foreign": b"something else" * 30,
        "zeros": bytes(len(old)),
    }[how]
    disk.damage(path=path(slot), content=new)


@pytest.mark.parametrize("how", DAMAGES)
@pytest.mark.parametrize("slot", range(4))
@pytest.mark.parametrize("turns", range(9))
def test_a_damaged_file_holds_nothing_needed_or_the_journal_is_called_lost(turns: int, slot: int, how: str) -> None:
    """Also the newest file gone while older ones are there. Damage to any one file, after each number of batches."""
    disk, oracle = after(batches=(3,) * turns)
    damage(disk=disk, slot=slot, how=how)
    ring = make_journal(disk, 99)
    records = ring.load()
    assert ring.state in (JournalState.COMPLETE, JournalState.LOST)
    if ring.state is JournalState.COMPLETE:
        assert replay(records=records) == oracle.acknowledged


@pytest.mark.parametrize("how", DAMAGES)
@pytest.mark.parametrize("turns", [0, 1, 2, 4, 6, 8])
def test_the_newest_file_gone_is_called_lost_until_a_new_journal_stands(turns: int, how: str) -> None:
    """Whatever cuts off the first start after it, the old journal is never taken up again."""
    disk, _ = after(batches=(3,) * turns)
    ring = make_journal(disk.copy(), 99)
    ring.load()
    damage(disk=disk, slot=ring._durable_file % 4, how=how)
    assert verdict(disk=disk) is JournalState.LOST
    new = [b'{"list": [7]}', SNAPSHOT_END]
    for cut in range(1, 40):
        again, ended = disk.copy(), False
        again.cut_at = again.calls + cut
        ring = make_journal(again, 100)
        try:
            ring.load()
            ring.begin_file(snapshot=new)
            ended = True
        except PowerCutError:
            pass
        for names, writes in (((False,), (0,)), ((True,), (HEADER_BYTES,)), ((True,), (10,)), ((True,), (1 << 20,))):
            last = again.copy()
            kept = tuple(min(writes[0], size) for size in last.unsynced_writes())
            last.lose_power(outcome=Outcome(names=names * len(last.unsynced_names()), writes=kept))
            ring = make_journal(last, 101)
            records = ring.load()
            assert ring.state is JournalState.LOST or (ring.state, records) == (JournalState.COMPLETE, new)
            assert ring.state is JournalState.COMPLETE or not ended
        if ended:
            return
    raise AssertionError("the start never came to its end")


def test_a_start_that_was_cut_off_before_anything_was_acknowledged_is_shown_as_empty() -> None:
    found: list[JournalState] = []
    ended = False
    while not ended:
        disk = SimDisk()
        ended = play(disk=disk, oracle=Oracle(), life=Life(), make=make_journal, cut=len(found) + 1)
        lose_all(disk=disk)
        found.append(verdict(disk=disk))
    first = found.index(JournalState.COMPLETE)  # from the sync of the first batch on
    assert first > 10
    assert set(found[:first]) == {JournalState.EMPTY}
    assert set(found[first:]) == {JournalState.COMPLETE}
    assert verdict(disk=SimDisk()) is JournalState.EMPTY


# -- what a batch costs


def test_a_batch_costs_one_write_and_one_sync_and_a_rotation_one_of_each_more() -> None:
    """One write and one sync for a batch; for a rotation one write and one sync more, to a file of the full length."""
    disk = SimDisk()
    process = Process(
        disk=disk, oracle=Oracle(), make=lambda disk, _: RingJournal(folder=FOLDER, file_bytes=2000, file_system=disk)
    )
    process.start()
    costs: dict[bool, set[int]] = {False: set(), True: set()}
    for _ in range(200):
        calls, file = disk.calls, process.ring._highest_file
        process.put(count=2)
        if process.ring._highest_file > 5:
            costs[process.ring._highest_file != file].add(disk.calls - calls)
    assert costs == {False: {2}, True: {4}}


# -- refused and slow disks


def test_a_sync_that_failed_is_not_called_again_on_the_same_file() -> None:
    disk = SimDisk()
    process = Process(disk=disk, oracle=Oracle(), make=make_journal)
    process.start()
    process.put(count=1)
    disk.troubles = [Trouble(operation=Operation.SYNC_DATA, error=errno.EIO)]
    with pytest.raises(OSError, match=r"Input/output"):
        process.ring.append(bodies=[b'{"entry": 1}'])
    assert process.ring.is_full(extra_bytes=0)
    with pytest.raises(OSError, match="no ring file"):
        process.ring.append(bodies=[b'{"entry": 1}'])
    process.ring.begin_file(snapshot=snapshot(state=[0]), bodies=[b'{"entry": 1}'])
    lose_all(disk=disk)
    assert replay(records=make_journal(disk, 2).load()) == [0, 1]


def test_repeated_attempts_leave_the_durable_file_alone() -> None:
    """The disk refuses each sync; every fourth try wrote over the only durable file."""
    disk, oracle = after(batches=(3, 3))
    disk.troubles = [Trouble(operation=Operation.SYNC_DATA, error=errno.EIO, times=100)]
    ring = make_journal(disk, 5)
    ring.load()
    for _ in range(20):
        with pytest.raises(OSError, match=r"Input/output"):
            ring.begin_file(snapshot=snapshot(state=[1]))
    lose_all(disk=disk)
    assert replay(records=make_journal(disk, 6).load()) == oracle.acknowledged


def test_repeated_starts_leave_the_durable_file_alone() -> None:
    """Each life is killed before its first sync."""
    disk, oracle = after(batches=(3, 3))
    for life in range(12):
        ring = make_journal(disk, 10 + life)
        ring.load()
        disk.troubles = [Trouble(operation=Operation.SYNC_DATA, error=errno.EIO)]
        with pytest.raises(OSError, match=r"Input/output"):
            ring.begin_file(snapshot=snapshot(state=[1])[:2])
        disk.kill()

    lose_all(disk=disk)
    assert replay(records=make_journal(disk, 31).load()) == oracle.acknowledged


def test_nothing_is_lost_by_a_disk_that_is_full_for_a_while() -> None:
    disk, oracle = SimDisk(room_bytes=2 * FILE_BYTES), Oracle()
    process = Process(disk=disk, oracle=oracle, make=make_journal)
    process.start()

    def fill() -> None:
        for _ in range(9):
            process.put(count=3)

    with pytest.raises(AssertionError, match="refused too often"):
        fill()
    disk.room_bytes = None
    disk.kill()
    process = Process(disk=disk, oracle=oracle, make=make_journal)
    process.start()
    process.put(count=3)
    lose_all(disk=disk)
    assert replay(records=make_journal(disk, 9).load()) == oracle.acknowledged


def test_a_start_waits_for_a_disk_that_refuses() -> None:
    disk, waits = SimDisk(), list[float]()
    disk.troubles = [
        Trouble(operation=Operation.SYNC_FOLDER, error=errno.EIO, times=3),
        Trouble(operation=Operation.WRITE, error=errno.ENOSPC, times=2),
    ]
    ring = make_journal(disk, 1)
    assert retry_disk_call(call=ring.load, journal=ring, log=LOG, sleep=waits.append) == []
    assert len(waits) == 5
    disk.troubles = [Trouble(operation=Operation.SYNC_FOLDER, error=errno.EACCES)]
    with pytest.raises(StorageError):
        retry_disk_call(call=ring.load, journal=ring, log=LOG, sleep=waits.append)


# -- the node


def settings(*, bootstrap: bool) -> NodeSettings:
    return NodeSettings(
        name="n",
        role="r",
        ip="10.0.0.1",
        zone="z",
        zones={"z": "r"},
        binds={"control": "10.0.0.1:8000"},
        ports=(7000, 7015),
        seeds=("10.0.0.1:8000",),
        bootstrap=bootstrap,
        data_dir=FOLDER,
        disk_mb=8,
        memory_mb=300,
        heartbeat_interval_ms=1000,
    )


def start_node(*, disk: SimDisk, bootstrap: bool = True) -> Runtime:
    return open_core(settings=settings(bootstrap=bootstrap), log=LOG, file_system=disk)


FIRST_UID = "10.0.0.1:7000#0"


def test_a_node_starts_as_first_only_on_a_disk_that_shows_that_nothing_was_acknowledged() -> None:
    assert start_node(disk=SimDisk()).node.node_id == FIRST_UID
    assert start_node(disk=SimDisk(), bootstrap=False).node.node_id != FIRST_UID
    disk = SimDisk()
    disk.cut_at = 12  # in the first batch
    with pytest.raises(PowerCutError):
        start_node(disk=disk)
    lose_all(disk=disk)
    assert start_node(disk=disk).node.node_id == FIRST_UID


@pytest.mark.parametrize("how", DAMAGES)
def test_a_node_whose_journal_is_lost_joins_under_a_new_identity(how: str) -> None:
    disk = SimDisk()
    start_node(disk=disk)
    lose_all(disk=disk)
    assert start_node(disk=disk.copy()).node.node_id == FIRST_UID
    damage(disk=disk, slot=1, how=how)
    node = start_node(disk=disk).node
    assert node.node_id != FIRST_UID
    lose_all(disk=disk)
    assert start_node(disk=disk).node.node_id == node.node_id


# -- room


@pytest.mark.parametrize("disk_mb", [4, 5, 6, 7, 8, 12, 16, 32, 48, 64, 100, 128, 512, 4096])
def test_four_files_stay_within_the_disk(disk_mb: int) -> None:
    size, most = file_sizes(disk_mb=disk_mb)
    assert 0 < size <= most
    assert 4 * most <= disk_mb * MIB
    if disk_mb >= 6:
        assert 4 * most <= disk_mb * MIB * 2 // 3


def test_files_that_grow_stay_within_the_disk(tmp_path: pathlib.Path) -> None:
    size, most = file_sizes(disk_mb=12)
    ring = RingJournal(folder=str(tmp_path), file_bytes=size, max_file_bytes=most)
    ring.load()
    for _ in range(9):
        ring.begin_file(snapshot=[b"c" * MIB, SNAPSHOT_END])
        while not ring.is_full(extra_bytes=70_000):
            ring.append(bodies=[b"e" * 60_000])
    used = sum(file.stat().st_size for file in tmp_path.iterdir())
    assert ring.file_bytes == most
    assert used == 4 * most <= 8 * MIB


def test_a_ring_of_two_files_is_refused() -> None:
    with pytest.raises(ValueError, match="3 files or more"):
        RingJournal(folder=FOLDER, file_count=2)
