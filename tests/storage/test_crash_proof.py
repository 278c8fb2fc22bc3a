"""The journal on a simulated disk: power cut or process killed before each call that changes the disk."""

import errno
import random

import pytest

from tests.support.storage_proof import Bounds, Life, explore, walk
from yarrowloom.simulator.machines.disk import Operation, Trouble

FIRST = Life(batches=(1, 3, 2, 1, 4, 2, 3, 1, 2, 4, 1, 2))
SECOND = Life(batches=(2, 3, 1))
REFUSABLE = (Operation.WRITE, Operation.SYNC_DATA, Operation.SYNC, Operation.SYNC_FOLDER)


def test_acknowledged_records_survive_a_power_cut_at_each_call() -> None:
    tally = explore(lives=[FIRST], bounds=[Bounds(outcomes=2000, followed=0)])
    assert tally.ends > 50
    assert tally.outcomes > 500
    assert tally.sampled == 0


def test_acknowledged_records_survive_a_power_cut_with_writes_torn_at_every_byte() -> None:
    """Where a file grows two writes are unsynced: there a random choice of the outcomes."""
    tally = explore(lives=[FIRST], bounds=[Bounds(outcomes=2000, followed=0, every_byte=True)])
    print(tally)
    assert tally.outcomes > 5000
    assert tally.sampled <= 8


def test_acknowledged_records_survive_a_second_end_in_the_process_after() -> None:
    lives = [Life(batches=(3, 4, 3, 2)), Life(batches=(3,))]
    tally = explore(lives=lives, bounds=[Bounds(outcomes=500, followed=2), Bounds(outcomes=500, followed=0)])
    print(tally)
    assert tally.outcomes > 5000
    assert tally.sampled == 0


@pytest.mark.parametrize("seed", range(4))
def test_acknowledged_records_survive_many_ends_in_a_row(seed: int) -> None:
    """Also lives that end while they read the journal or begin their first file, one after the other."""
    for i in range(300):
        walk(
            seed=1000 * seed + i,
            lives=[FIRST, Life(), Life(), SECOND, Life(), Life(), Life(), Life(), SECOND],
            longest=12 + 10 * (i % 6),
        )


def troubles(*, rng: random.Random) -> tuple[Trouble, ...]:
    """Refused calls: one or several in a row, of one kind or two."""
    return tuple(
        Trouble(
            operation=rng.choice(REFUSABLE),
            error=rng.choice((errno.ENOSPC, errno.EIO)),
            after=rng.randint(0, 12),
            times=rng.randint(1, 6),
            taken_bytes=rng.randint(0, 300),
        )
        for _ in range(rng.randint(1, 2))
    )


@pytest.mark.parametrize("operation", [Operation.WRITE, Operation.SYNC_DATA])
@pytest.mark.parametrize("times", [1, 2, 5])
def test_acknowledged_records_survive_a_power_cut_after_refused_calls(operation: Operation, times: int) -> None:
    """Each call of the kind is refused in turn, with some of its bytes taken."""
    for after in range(0, 24, 2):
        trouble = Trouble(operation=operation, error=errno.ENOSPC, after=after, times=times, taken_bytes=60)
        life = Life(batches=(3, 4, 3, 2), troubles=(trouble,))
        explore(lives=[life], bounds=[Bounds(outcomes=60, followed=0)], seed=after)


@pytest.mark.parametrize("seed", range(4))
def test_acknowledged_records_survive_refused_calls_and_many_ends(seed: int) -> None:
    rng = random.Random(seed)
    for i in range(300):
        lives = [
            Life(batches=FIRST.batches, troubles=troubles(rng=rng)),
            SECOND,
            Life(batches=SECOND.batches, troubles=troubles(rng=rng)),
            Life(),
            SECOND,
        ]
        walk(seed=10_000 * seed + i, lives=lives, longest=90)
