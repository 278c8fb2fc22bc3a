"""A node's disk writer on a disk that refuses or hangs: each batch takes effect once, and the journal holds it once."""

import errno
import threading

import pytest
import trio

from tests.storage.test_storage import lose_all, start_node
from yarrowloom.common.effects import Effect
from yarrowloom.node.disk_writer import DiskWriter, Write
from yarrowloom.simulator.machines.disk import Operation, Outcome, SimDisk, Trouble
from yarrowloom.storage import JournalState, RingJournal

BATCHES = 5
HANG_MOST_S = 20.0


class EntryWritten(Effect, frozen=True, kw_only=True):
    """The effect of an entry."""

    number: int


def numbers(batch: list[Write]) -> list[int]:
    return [effect.number for _, effect in batch if isinstance(effect, EntryWritten)]


def entry(number: int) -> bytes:
    return b'{"k":"none","entry":%d}' % number


def write(number: int) -> Write:
    return entry(number), EntryWritten(number=number)


def written(*, disk: SimDisk) -> list[int]:
    """Entries in the journal, which has to be whole, in order."""
    ring = RingJournal(folder="/data", file_system=disk)
    records = ring.load()
    assert ring.state is JournalState.COMPLETE
    return [int(record.split(b":")[2][:-1]) for record in records if b"entry" in record]


def start_writer(*, disk: SimDisk) -> DiskWriter:
    """The writer of a node that has just started."""
    writer = start_node(disk=disk).disk_writer
    assert writer is not None
    return writer


def run_writer(*, writer: DiskWriter, batches: int) -> list[int]:
    """Hand in batches of two entries; the numbers whose effects came, in order."""
    done: list[int] = []
    writer.on_written = lambda _, batch: done.extend(numbers(batch))

    async def main() -> None:
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            with trio.fail_after(20):
                for batch in range(batches):
                    writer.add(writes=[write(number) for number in (2 * batch, 2 * batch + 1)])
                    while len(done) < 2 * batch + 2:
                        await trio.sleep(0.005)
            nursery.cancel_scope.cancel()

    trio.run(main)
    return done


@pytest.mark.parametrize("error", [errno.ENOSPC, errno.EIO])
@pytest.mark.parametrize("operation", [Operation.WRITE, Operation.SYNC_DATA])
@pytest.mark.parametrize("times", [1, 3])
def test_a_refused_batch_is_written_once_and_takes_effect_once(operation: Operation, error: int, times: int) -> None:
    disk = SimDisk()
    writer = start_writer(disk=disk)
    disk.troubles = [Trouble(operation=operation, error=error, after=2, times=times, taken_bytes=25)]
    assert run_writer(writer=writer, batches=BATCHES) == list(range(2 * BATCHES))
    killed = disk.copy()
    killed.kill()
    lose_all(disk=disk)
    # The snapshot that begins the next file stands for the entries before it.
    for left in (disk, killed):
        found = written(disk=left)
        assert found == sorted(set(found))
        assert found[-1] == 2 * BATCHES - 1


def test_a_disk_that_hangs_holds_up_effects_and_nothing_else() -> None:
    """The disk hangs until other tasks have run; were they held up, it would come back first."""
    hangs, may_return = threading.Event(), threading.Event()

    def hang(_: float) -> None:
        hangs.set()
        may_return.wait(HANG_MOST_S)

    disk = SimDisk(wait=hang)
    writer = start_writer(disk=disk)
    disk.troubles = [Trouble(operation=Operation.SYNC_DATA, stall_s=HANG_MOST_S)]
    writer.on_written = lambda *_: None
    turns = 0

    async def main() -> None:
        nonlocal turns
        async with trio.open_nursery() as nursery:
            nursery.start_soon(writer.run)
            writer.add(writes=[write(0)])
            assert await trio.to_thread.run_sync(hangs.wait, HANG_MOST_S)
            for _ in range(10):
                await trio.sleep(0.01)
                turns += 1
            assert disk.unsynced_writes()
            may_return.set()
            nursery.cancel_scope.cancel()

    trio.run(main)
    assert turns == 10
    assert written(disk=disk) == [0]


def test_a_batch_that_is_cut_off_comes_back_as_its_beginning_or_whole() -> None:
    disk = SimDisk()
    writer = start_writer(disk=disk)
    writer.ring.append(bodies=[entry(0), entry(1)])
    disk.troubles = [Trouble(operation=Operation.SYNC_DATA, error=errno.EIO)]
    with pytest.raises(OSError, match="Input"):
        writer.write([], [entry(2), entry(3)])
    (size,) = disk.unsynced_writes()
    found: set[tuple[int, ...]] = set()
    for kept in range(size + 1):
        after = disk.copy()
        after.lose_power(outcome=Outcome(names=(), writes=(kept,)))
        found.add(tuple(written(disk=after)))
    assert found == {(0, 1), (0, 1, 2), (0, 1, 2, 3)}
