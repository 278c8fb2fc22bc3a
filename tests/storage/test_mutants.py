"""Guards of the store, each taken out: the proof finds every one."""

import errno
import random

import pytest

from tests.storage.test_crash_proof import FIRST, SECOND, troubles
from tests.storage.test_storage import DAMAGES, damage, path
from tests.support.storage_proof import Bounds, Life, Oracle, ProofError, explore, make_journal, play, replay, walk
from yarrowloom.simulator.machines.disk import Operation, SimDisk, Trouble
from yarrowloom.storage import JournalState, RingJournal
from yarrowloom.storage.record_format import HEADER_BYTES, Header, RingFile
from yarrowloom.storage.ring_recovery import Assessment


def ends() -> None:
    """Power cut at each call of a life, and once more in the life after."""
    explore(lives=[FIRST], bounds=[Bounds(outcomes=300, followed=0)])
    explore(
        lives=[Life(batches=(3, 4)), Life(batches=(3,))],
        bounds=[Bounds(outcomes=60, followed=1), Bounds(outcomes=60, followed=0)],
    )


def refusals() -> None:
    """Refused calls, then power cuts and kills in a row."""
    rng = random.Random(5)
    for after in range(0, 24, 3):
        trouble = Trouble(operation=Operation.SYNC_DATA, error=errno.EIO, after=after, times=5)
        explore(lives=[Life(batches=(3, 4, 3, 2), troubles=(trouble,))], bounds=[Bounds(outcomes=20, followed=0)])
    for seed in range(150):
        walk(seed=seed, lives=[Life(batches=FIRST.batches, troubles=troubles(rng=rng)), Life(), SECOND], longest=90)


def damages() -> None:
    """One file damaged after each number of batches."""
    for turns in range(9):
        disk, oracle = SimDisk(), Oracle()
        play(disk=disk, oracle=oracle, life=Life(batches=(3,) * turns), make=make_journal, cut=None)
        for slot in range(4):
            for how in DAMAGES:
                hurt = disk.copy()
                hurt.kill()
                damage(disk=hurt, slot=slot, how=how)
                ring = make_journal(hurt, 99)
                records = ring.load()
                if ring.state is not JournalState.LOST and replay(records=records) != oracle.acknowledged:
                    raise ProofError(f"damage not seen: {how} {slot}")
        newest = max(range(4), key=lambda slot: header_number(disk=disk, slot=slot))
        for slot in range(4):
            if slot != newest:
                flips(disk=disk, slot=slot, wanted=oracle.acknowledged)


def header_number(*, disk: SimDisk, slot: int) -> int:
    header = Header.decode(raw=disk.content(path=path(slot)) or b"")
    return header.file_number if header is not None else 0


def flips(*, disk: SimDisk, slot: int, wanted: list[int]) -> None:
    """A bit changed in the header of a file that is not needed: the journal is whole all the same."""
    old = disk.content(path=path(slot))
    assert old is not None
    for position in range(HEADER_BYTES):
        hurt = disk.copy()
        hurt.kill()
        hurt.damage(path=path(slot), content=old[:position] + bytes([old[position] ^ 64]) + old[position + 1 :])
        ring = make_journal(hurt, 99)
        records = ring.load()
        if ring.state is not JournalState.COMPLETE or replay(records=records) != wanted:
            raise ProofError(f"a header that is not needed: {slot} {position}")


def proof() -> None:
    ends()
    refusals()
    damages()


def test_the_proof_passes_on_the_journal_as_it_is() -> None:
    proof()


def no_folder_sync(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SimDisk, "sync_folder", lambda self, *, path: None)


def no_file_sync(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SimDisk, "sync", lambda self, *, handle: None)


def no_data_sync(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(SimDisk, "sync_data", lambda self, *, handle: None)


def no_header_checksum(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Header, "has_valid_checksum", staticmethod(lambda *, raw: True))


def records_not_bound_to_their_file(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Header, "checksum_seed", 1)


def no_check_of_the_number_that_follows(patch: pytest.MonkeyPatch) -> None:
    patch.setattr("yarrowloom.storage.ring_recovery._follows", lambda **_: True)


def no_check_of_the_first_batch(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(
        RingFile, "has_complete_first_batch", property(lambda self: self.header is not None and bool(self.records))
    )


def no_word_of_the_durable_file(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RingJournal, "_declare_durable", lambda self: None)


def tries_in_the_next_file(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(RingJournal, "_next_file", lambda self: self._highest_file + 1)


def empty_where_no_file_is_whole(patch: pytest.MonkeyPatch) -> None:
    def assess(*, files: list[RingFile]) -> Assessment:
        complete = [file.header for file in files if file.header is not None and file.has_complete_first_batch]
        newest = max((header.file_number for header in complete), default=0)
        state = JournalState.COMPLETE if newest else JournalState.EMPTY
        return Assessment(state=state, highest_file=newest, durable_file=newest, claimed_file=0)

    patch.setattr("yarrowloom.storage.ring_journal.assess", assess)


@pytest.mark.parametrize(
    "mutant",
    [
        no_folder_sync,
        no_file_sync,
        no_data_sync,
        no_header_checksum,
        records_not_bound_to_their_file,
        no_check_of_the_number_that_follows,
        no_check_of_the_first_batch,
        no_word_of_the_durable_file,
        tries_in_the_next_file,
        empty_where_no_file_is_whole,
    ],
)
def test_a_guard_taken_out_is_found(mutant: object, monkeypatch: pytest.MonkeyPatch) -> None:
    assert callable(mutant)
    mutant(monkeypatch)
    with pytest.raises(ProofError):
        proof()
