"""A user of the ring on a simulated disk, and all ends that power and kills can bring it to.

The user keeps a list of numbers. It writes them as a node does: in batches, each batch acknowledged once it is synced,
with a snapshot of the list at the beginning of each file. After each end the disk has to show what was acknowledged.
"""

import copy
import json
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from yarrowloom.common.errors import StorageError
from yarrowloom.simulator.machines.disk import PowerCutError, SimDisk, Trouble
from yarrowloom.storage import SNAPSHOT_END, JournalState, RingJournal
from yarrowloom.storage.record_format import HEADER_BYTES, RECORD_BYTES

FOLDER = "/data"
FILE_BYTES = 360
MAX_ATTEMPTS = 14
MakeJournal = Callable[[SimDisk, int], RingJournal]


class ProofError(AssertionError):
    """The disk does not show what it has to."""


def make_journal(disk: SimDisk, life: int) -> RingJournal:
    rng = random.Random(life)
    return RingJournal(
        folder=FOLDER, file_count=4, file_bytes=FILE_BYTES, file_system=disk, salt=lambda: rng.getrandbits(32)
    )


@dataclass(frozen=True, slots=True, kw_only=True)
class Life:
    """One run of a process: sizes of the batches that it writes, and what the disk does meanwhile."""

    batches: tuple[int, ...] = ()
    troubles: tuple[Trouble, ...] = ()


@dataclass(slots=True, kw_only=True)
class Oracle:
    """What may and must be on the disk."""

    acknowledged: list[int] = field(default_factory=list)
    in_flight: list[int] = field(default_factory=list)
    started: bool = False  # a first batch was acknowledged
    next_value: int = 0
    life: int = 0

    def copy(self) -> "Oracle":
        return replace(self, acknowledged=list(self.acknowledged), in_flight=list(self.in_flight))

    def check(self, *, verdict: JournalState, records: list[bytes]) -> list[int]:
        """The list that the records stand for, if it is one of those allowed."""
        if verdict is JournalState.EMPTY:
            if self.started or records:
                raise ProofError(f"called empty, acknowledged {self.acknowledged}")
            return []
        if verdict is JournalState.LOST:
            raise ProofError(f"called lost without damage, acknowledged {self.acknowledged}")
        state = replay(records=records)
        extra = state[len(self.acknowledged) :]
        if state[: len(self.acknowledged)] != self.acknowledged:
            raise ProofError(f"acknowledged {self.acknowledged}, found {state}")
        if extra != self.in_flight[: len(extra)]:
            raise ProofError(f"found {extra}, written last {self.in_flight}")
        return state


def replay(*, records: list[bytes]) -> list[int]:
    """The list that records stand for. No entry may be there twice, nor out of order."""
    state: list[int] | None = None
    entries: list[int] = []
    for raw in records:
        if raw == SNAPSHOT_END:
            continue
        record = json.loads(raw)
        if "list" in record:
            state = record["list"]
        elif state is None:
            raise ProofError("a journal that begins without a snapshot")
        else:
            state = [*state, record["entry"]]
            entries.append(record["entry"])
    if entries != sorted(set(entries)):
        raise ProofError(f"entries twice or out of order: {entries}")
    if state is None:
        raise ProofError("a whole journal without a snapshot")
    return state


def snapshot(*, state: list[int]) -> list[bytes]:
    """Two records and their end."""
    return [json.dumps({"part": 1, "list": []}).encode(), json.dumps({"list": state}).encode(), SNAPSHOT_END]


class Process:
    """One life on a disk."""

    def __init__(self, *, disk: SimDisk, oracle: Oracle, make: MakeJournal) -> None:
        self.oracle = oracle
        self.ring = make(disk, oracle.life)
        oracle.life += 1

    def start(self) -> None:
        """Read the journal and begin a new file."""
        oracle = self.oracle
        self._retry(write=self._read)
        self._retry(write=lambda: self._open(bodies=[]))
        oracle.acknowledged, oracle.in_flight, oracle.started = list(self.state), [], True

    def _read(self) -> None:
        records = self.ring.load()
        self.state = self.oracle.check(verdict=self.ring.state, records=records)

    def put(self, *, count: int) -> None:
        """Write a batch, again where it is refused."""
        oracle = self.oracle
        values = list(range(oracle.next_value, oracle.next_value + count))
        oracle.next_value += count
        oracle.in_flight = values
        bodies = [json.dumps({"entry": value, "pad": "x" * (value % 7)}).encode() for value in values]
        self._retry(write=lambda: self._write(bodies=bodies))
        self.state += values
        oracle.acknowledged, oracle.in_flight = list(self.state), []

    def _write(self, *, bodies: list[bytes]) -> None:
        if self.ring.is_full(extra_bytes=self.ring.encoded_bytes(bodies=bodies)):
            self._open(bodies=bodies)
        else:
            self.ring.append(bodies=bodies)

    def _open(self, *, bodies: list[bytes]) -> None:
        head = snapshot(state=self.state)
        self.ring.rotate(snapshot_bytes=0)
        self.ring.append(bodies=head + bodies)

    def _retry(self, *, write: Callable[[], None]) -> None:
        for _ in range(MAX_ATTEMPTS):
            try:
                write()
            except (OSError, StorageError):
                self.ring.close()
            else:
                return
        raise ProofError("refused too often")


@dataclass(frozen=True, slots=True, kw_only=True)
class Bounds:
    """How much of what may follow an end is tried: outcomes of a loss of power at each call, and how many of them,
    beside the kill, are followed into the next life; and whether writes are torn at every byte or at a few."""

    outcomes: int
    followed: int
    every_byte: bool = False


@dataclass(slots=True, kw_only=True)
class Tally:
    """What was tried."""

    ends: int = 0
    outcomes: int = 0
    sampled: int = 0  # ends with more outcomes than the bound


def torn_at(length: int) -> list[int]:
    """Bytes after which a write may be torn: in and after the header, in and after the first record, before the end."""
    marks = (
        1,
        8,
        HEADER_BYTES - 1,
        HEADER_BYTES,
        HEADER_BYTES + RECORD_BYTES + 5,
        length // 2,
        length - RECORD_BYTES,
        length - 1,
    )
    return [mark for mark in marks if 0 < mark < length]


def torn_anywhere(length: int) -> list[int]:
    """Every byte."""
    return list(range(1, length))


def play(*, disk: SimDisk, oracle: Oracle, life: Life, make: MakeJournal, cut: int | None) -> bool:
    """Play a life; true if it came to its end before power was cut at its call number `cut`."""
    disk.troubles = [copy.copy(trouble) for trouble in life.troubles]
    disk.cut_at = disk.calls + cut if cut is not None else None
    process = Process(disk=disk, oracle=oracle, make=make)
    try:
        process.start()
        for count in life.batches:
            process.put(count=count)
    except PowerCutError:
        return False
    finally:
        disk.troubles = []
    return True


def check(*, disk: SimDisk, oracle: Oracle, make: MakeJournal) -> None:
    """Load on a copy."""
    ring = make(disk.copy(), oracle.life)
    records = ring.load()
    oracle.check(verdict=ring.state, records=records)


def explore(
    *,
    lives: list[Life],
    bounds: list[Bounds],
    seed: int = 0,
    make: MakeJournal = make_journal,
    disk: SimDisk | None = None,
    oracle: Oracle | None = None,
    tally: Tally | None = None,
) -> Tally:
    """Play the first life to each of its calls; end it there by a kill and by a loss of power with each outcome, check
    what the disk shows, and follow some of these ends into the next life."""
    tally = tally or Tally()
    rng = random.Random(seed)
    for cut, ended, known in _cuts(life=lives[0], make=make, disk=disk or SimDisk(), oracle=oracle or Oracle()):
        tally.ends += 1
        cuts = torn_anywhere if bounds[0].every_byte else torn_at
        outcomes = list(ended.outcomes(rng=rng, most=bounds[0].outcomes, cuts=cuts))
        tally.sampled += len(outcomes) == bounds[0].outcomes
        tally.outcomes += len(outcomes)
        followed = set(rng.sample(range(len(outcomes)), min(bounds[0].followed, len(outcomes))))
        nexts = [ended.copy()]
        nexts[0].kill()
        for i, outcome in enumerate(outcomes):
            after = ended.copy()
            after.lose_power(outcome=outcome)
            check(disk=after, oracle=known, make=make)
            if i in followed:
                nexts.append(after)
        if len(lives) > 1:
            for after in nexts:
                explore(
                    lives=lives[1:],
                    bounds=bounds[1:],
                    seed=seed * 1000 + cut,
                    make=make,
                    disk=after,
                    oracle=known.copy(),
                    tally=tally,
                )
    return tally


def _cuts(*, life: Life, make: MakeJournal, disk: SimDisk, oracle: Oracle) -> Iterator[tuple[int, SimDisk, Oracle]]:
    """Disk and oracle as they are before each call of a life, and after its last."""
    cut, whole = 0, False
    while not whole:
        cut += 1
        ended, known = disk.copy(), oracle.copy()
        whole = play(disk=ended, oracle=known, life=life, make=make, cut=cut)
        yield cut, ended, known


def walk(*, seed: int, lives: list[Life], longest: int, make: MakeJournal = make_journal) -> Tally:
    """Lives in a row, each ended at a random call by a kill or by a loss of power with a random outcome."""
    rng = random.Random(seed)
    disk, oracle, tally = SimDisk(), Oracle(), Tally()
    for life in lives:
        play(disk=disk, oracle=oracle, life=life, make=make, cut=rng.randint(1, longest))
        tally.ends += 1
        if rng.random() < 0.5:
            disk.kill()
        else:
            outcomes = list(disk.outcomes(rng=rng, most=3, cuts=torn_anywhere))
            disk.lose_power(outcome=rng.choice(outcomes))
        check(disk=disk, oracle=oracle, make=make)
        tally.outcomes += 1
    return tally
