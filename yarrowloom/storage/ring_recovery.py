"""What the files of a ring show about its journal when a process starts: pure functions of their content."""

from dataclasses import dataclass
from enum import Enum

from .record_format import RingFile

SNAPSHOT_END = b'{"k":"none","end":true}'  # the record that ends a snapshot at the beginning of a file
_FIRST_USED_INDEX = 1  # the file with number 1 is the first to be used


class JournalState(Enum):
    """What a disk shows about its journal."""

    EMPTY = "empty"  # nothing was ever acknowledged from this disk
    COMPLETE = "whole"  # all that was acknowledged is there
    LOST = "lost"  # something was acknowledged, or may have been, that is not there


@dataclass(frozen=True, slots=True, kw_only=True)
class Assessment:
    """What a journal's files show together.

    Attributes:
        state: Whether the journal is there.
        highest_file: The highest file number that any header has, 0 if there is none.
        durable_file: The file number after which the next is to come.
        claimed_file: The highest file number that a header calls durable.
    """

    state: JournalState
    highest_file: int
    durable_file: int
    claimed_file: int


def assess(*, files: list[RingFile]) -> Assessment:
    """Compare the newest complete file with the newest that any header calls durable."""
    headers = [file.header for file in files if file.header is not None]
    complete = [file.header for file in files if file.header is not None and file.has_complete_first_batch]
    highest_file = max((header.file_number for header in headers), default=0)
    newest_file = max((header.file_number for header in complete), default=0)
    claimed_file = max((header.durable_file for header in headers), default=0)
    if newest_file and newest_file >= claimed_file:
        state, durable_file = JournalState.COMPLETE, newest_file
    elif not claimed_file and _was_never_used(files=files):
        state, durable_file = JournalState.EMPTY, 0
    else:
        # The next file must not be the one that holds the claim: that is needed until a new journal is durable.
        state, claimed_file = JournalState.LOST, max(claimed_file, 1)
        durable_file = claimed_file + 1
    return Assessment(state=state, highest_file=highest_file, durable_file=durable_file, claimed_file=claimed_file)


def _was_never_used(*, files: list[RingFile]) -> bool:
    """Whether the files show that nothing was acknowledged.

    Either they were not all made yet, or the first batch was cut off, in the first file, before the second one called
    it durable.
    """
    if all(file.is_unused for file in files if file.index != _FIRST_USED_INDEX):
        return True
    return all(file.is_blank or file.is_unused for file in files)


@dataclass(frozen=True, slots=True, kw_only=True)
class Replay:
    """A journal's records in order, and the number that its next record gets."""

    bodies: list[bytes]
    next_record: int


def replay(*, files: list[RingFile]) -> Replay:
    """The records of all complete files, in the order of the journal.

    A file that doesn't follow the one before counts, in place of those before, if its snapshot is complete; else it
    doesn't count.
    """
    complete = [
        (file.header.file_number, file.records)
        for file in files
        if file.header is not None and file.has_complete_first_batch
    ]
    complete.sort(key=lambda numbered_file: numbered_file[0])
    bodies: list[bytes] = []
    previous_file = last_record = 0
    for file_number, records in complete:
        file_bodies = [record.body for record in records]
        if previous_file and not _follows(
            file_number=file_number,
            previous_file=previous_file,
            first_record=records[0].number,
            last_record=last_record,
        ):
            if SNAPSHOT_END not in file_bodies:
                continue
            bodies.clear()
        bodies += file_bodies
        previous_file, last_record = file_number, records[-1].number
    return Replay(bodies=bodies, next_record=last_record + 1)


def _follows(*, file_number: int, previous_file: int, first_record: int, last_record: int) -> bool:
    return file_number == previous_file + 1 and first_record == last_record + 1
