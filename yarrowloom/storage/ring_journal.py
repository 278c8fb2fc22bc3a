"""A journal in a ring of preallocated files.

Each file begins with a header naming its place in the journal; records follow, each with length and checksum.
The ring moves to the next file when the current one is full; before it reuses a file, the owner writes a
checkpoint of all live state into the fresh file, so that older files hold nothing needed.
"""

import errno
import os
import secrets
from collections.abc import Callable
from enum import Enum

from ..common.errors import Finding, StorageError
from .filesystem import FileSystem, OsFileSystem
from .record_format import HEADER_BYTES, RECORD_BYTES, Header, Slot, pack_records

END = b'{"k":"none","end":true}'  # follows a checkpoint: what begins a file is whole
_FEWEST = 3  # the durable file, the one being written, the one that vouches for it
_FIRST_SLOT = 1  # file number 1 is the first to be used
_SALT_BITS = 32
_MIB = 1 << 20


class Verdict(Enum):
    """What a disk shows about its journal."""

    EMPTY = "empty"  # nothing was ever acknowledged from this disk
    WHOLE = "whole"  # all that was acknowledged is there
    LOST = "lost"  # something was acknowledged, or may have been, that is not there


def file_sizes(*, disk_mb: int) -> tuple[int, int]:
    """Bytes of a ring file at first and at most, on a disk of `disk_mb`.

    >>> file_sizes(disk_mb=48)
    (6291456, 8388608)
    """
    size = min(8 * _MIB, max(_MIB, disk_mb * _MIB // 8))
    return size, max(size, disk_mb * _MIB // 6)


class Ring:
    """Invariants: file numbers rise along the journal; record numbers rise by one within it; a record counts only if
    its checksum fits its file and it follows the one before; what a sync has not covered may be torn. All names are
    durable before the first record. A file counts only with its whole first batch, and before that batch is
    acknowledged the file after it says that it is durable. Until then nothing but its own slot is written, however
    often that is tried. What `load` gives out is synced first, whoever wrote it: a killed process may have left
    records that no sync covers, and numbers go on from them. Where a file does not follow the one before all the same,
    it counts alone if its checkpoint is whole, else not at all.
    """

    def __init__(
        self,
        *,
        folder: str,
        files: int = 4,
        size: int = 4 << 20,
        most: int = 0,
        file_system: FileSystem | None = None,
        salt: Callable[[], int] | None = None,
    ) -> None:
        if files < _FEWEST:
            raise ValueError(f"a ring has {_FEWEST} files or more, not {files}")
        self.folder = folder
        self.files = files
        self.size = size
        self.most = max(size, most)  # files may grow to this where checkpoints need it
        self.verdict = Verdict.EMPTY  # of the last `load`
        self._file_system: FileSystem = file_system or OsFileSystem()
        self._salt = salt or (lambda: secrets.randbits(_SALT_BITS))
        self._handle: int | None = None
        self._file = 0  # highest file number seen or tried
        self._durable = 0  # newest file number that is durable; the next file follows it
        self._claimed = 0  # highest file number that a header calls durable
        self._opened = False  # whether the file's first batch is durable
        self._seed = 0
        self._pos = 0
        self._next = 1

    def _path(self, slot: int) -> str:
        return os.path.join(self.folder, f"ring-{slot}")

    # -- reading

    def load(self) -> list[bytes]:
        """Read all records in order and set `verdict`; leaves the ring ready for `rotate`."""
        self.close()
        try:
            self._file_system.make_folder(path=self.folder)
            slots = [self._read(slot=slot) for slot in range(self.files)]
            self._judge(slots=slots)
            self._make_files(slots=slots)
        except OSError as err:
            raise StorageError(text=str(err), findings=[Finding(place=self.folder, text=str(err))]) from err
        return self._replay(slots=slots)

    def _read(self, *, slot: int) -> Slot:
        files = self._file_system
        try:
            handle = files.open(path=self._path(slot), create=False)
        except FileNotFoundError:
            return Slot.parse(index=slot, files=self.files, raw=None)
        try:
            files.sync(handle=handle)
            raw = files.read(handle=handle)
        finally:
            files.close(handle=handle)
        return Slot.parse(index=slot, files=self.files, raw=raw)

    def _judge(self, *, slots: list[Slot]) -> None:
        """Compare the newest whole file with the newest that any header calls durable."""
        headers = [slot.header for slot in slots if slot.header is not None]
        newest = max((slot.header.number for slot in slots if slot.header is not None and slot.whole), default=0)
        claimed = max((header.durable for header in headers), default=0)
        self._file = max((header.number for header in headers), default=0)
        if newest and newest >= claimed:
            self.verdict = Verdict.WHOLE
            self._durable, self._claimed = newest, claimed
        elif not claimed and self._never_used(slots=slots):
            self.verdict = Verdict.EMPTY
            self._durable, self._claimed = 0, 0
        else:
            # The next file is not the one that holds the claim: that is needed until a new journal stands.
            self.verdict = Verdict.LOST
            self._claimed = max(claimed, 1)
            self._durable = self._claimed + 1

    @staticmethod
    def _never_used(*, slots: list[Slot]) -> bool:
        """Whether the disk shows that nothing was acknowledged: the files were not all made yet, or the first batch
        was cut off, in the first file, before the second one called it durable.
        """
        others = [slot for slot in slots if slot.index != _FIRST_SLOT]
        if all(slot.unused for slot in others):
            return True
        return all(slot.blank or slot.unused for slot in slots)

    def _make_files(self, *, slots: list[Slot]) -> None:
        """Make all files and their names durable. On an empty disk all are written, as a sync that failed may have left
        those of an earlier try in doubt; on one that lost a journal new files say that there was one.
        """
        content = Header(number=0, durable=self._claimed).pack()
        for slot in slots:
            if self.verdict is Verdict.EMPTY or not slot.present:
                self._write_header(slot=slot.index, content=content, create=True)
        self._file_system.sync_folder(path=self.folder)

    def _write_header(self, *, slot: int, content: bytes, create: bool) -> None:
        files = self._file_system
        handle = files.open(path=self._path(slot), create=create)
        try:
            files.write(handle=handle, position=0, data=content)
            if create:
                files.sync(handle=handle)
            else:
                files.sync_data(handle=handle)
        finally:
            files.close(handle=handle)

    def _replay(self, *, slots: list[Slot]) -> list[bytes]:
        found = [(slot.header.number, slot.records) for slot in slots if slot.header is not None and slot.whole]
        found.sort(key=lambda it: it[0])
        out: list[bytes] = []
        previous = last = 0
        for number, records in found:
            bodies = [body for _, body in records]
            if previous and not self._follows(number=number, previous=previous, record=records[0][0], last=last):
                if END not in bodies:
                    continue
                out.clear()
            out += bodies
            previous, last = number, records[-1][0]
        self._next = last + 1
        return out

    @staticmethod
    def _follows(*, number: int, previous: int, record: int, last: int) -> bool:
        return number == previous + 1 and record == last + 1

    # -- writing

    def full(self, *, extra: int) -> bool:
        """Whether the current file has no room for `extra` bytes more."""
        return self._handle is None or self._pos + extra > self.size

    def rotate(self, *, need: int = 0) -> None:
        """Move on to the next file, preallocated; nothing of it counts until its first batch and its length are synced.
        `need`: bytes that the checkpoint at its beginning takes; where that is over a third of a file, files are
        larger from now on, else each few records would bring another checkpoint.
        """
        while self.size < 3 * need and self.size < self.most:
            self.size = min(2 * self.size, self.most)
        self.close()
        self._file = self._next_file()
        files = self._file_system
        self._handle = files.open(path=self._path(self._file % self.files), create=False)
        length = files.size(handle=self._handle)
        if length < self.size:
            try:
                files.write(handle=self._handle, position=length, data=bytes(self.size - length))
            except OSError:
                self.close()
                raise
        self._opened = False
        self._pos = HEADER_BYTES

    def _next_file(self) -> int:
        """The number after the durable file's; after a failure a higher one that has the same slot. So no try, in
        this process or a later one, overwrites the durable file.
        """
        number = self._durable + 1
        while number <= self._file:
            number += self.files
        return number

    def begin(self, *, checkpoint: list[bytes], bodies: list[bytes] | None = None) -> None:
        """Move on to the next file and write its first batch: a checkpoint with its `END`, and records after it."""
        self.rotate(need=self.room(bodies=checkpoint))
        self.append(bodies=checkpoint + (bodies or []))

    def append(self, *, bodies: list[bytes]) -> None:
        """Write records and sync them. A zeroed head follows the last one. After a failure the state of the file is
        not known, and the records have to be written to another one, after `rotate`.
        """
        if self._handle is None:
            raise OSError(errno.EBADF, "no ring file is open")
        try:
            if self._opened:
                size = self._write_batch(header=b"", bodies=bodies)
            else:
                size = self._open_file(bodies=bodies)
        except OSError:
            self.close()
            raise
        self._pos += size
        self._next += len(bodies)  # a number is used up only by what the disk took

    def _write_batch(self, *, header: bytes, bodies: list[bytes]) -> int:
        handle = self._handle
        assert handle is not None
        records = pack_records(seed=self._seed, first=self._next, bodies=bodies)
        size = len(records) - RECORD_BYTES
        if self._pos + len(records) > self.size:
            records = records[:size]
        self._file_system.write(handle=handle, position=self._pos - len(header), data=header + records)
        self._file_system.sync_data(handle=handle)
        return size

    def _open_file(self, *, bodies: list[bytes]) -> int:
        """Write a file's header and first batch; then say in the next file, which is not needed, that it is durable."""
        header = Header(number=self._file, durable=self._claimed, opening=len(bodies), salt=self._salt())
        self._seed = header.seed
        size = self._write_batch(header=header.pack(), bodies=bodies)
        self._durable = self._claimed = self._file
        self._declare()
        self._opened = True
        return size

    def _declare(self) -> None:
        content = Header(number=0, durable=self._claimed).pack()
        self._write_header(slot=(self._durable + 1) % self.files, content=content, create=False)

    def room(self, *, bodies: list[bytes]) -> int:
        """Bytes these records take."""
        return sum(len(b) + RECORD_BYTES for b in bodies)

    def close(self) -> None:
        """Let go of the file."""
        if self._handle is not None:
            handle, self._handle = self._handle, None
            self._file_system.close(handle=handle)
