"""A journal in a ring of preallocated files.

Each file begins with a header naming its position in the journal; records follow, each with length and checksum.
The ring moves on to the next file when the current one is full; before it reuses a file, the owner writes a
snapshot of all live state into the fresh file, so that older files hold nothing needed.
"""

import errno
import os
import secrets
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from typing import NamedTuple

from ..common.errors import Finding, StorageError
from .filesystem import FileSystem, OsFileSystem
from .record_format import HEADER_BYTES, RECORD_BYTES, Header, RingFile, encode_records
from .ring_recovery import JournalState, assess, replay

_MIN_FILE_COUNT = 3  # the durable file, the one being written, the one that calls it durable
_SALT_BITS = 32
_MIB = 1 << 20
_MAX_INITIAL_FILE_BYTES = 8 * _MIB
_SNAPSHOTS_PER_FILE = 3  # files grow until a snapshot takes at most a third of one


class FileSizes(NamedTuple):
    """Bytes of a ring file: at first, and at most."""

    initial_bytes: int
    max_bytes: int


def file_sizes(*, disk_mb: int) -> FileSizes:
    """Sizes of ring files on a disk of `disk_mb` MiB.

    >>> file_sizes(disk_mb=48)
    FileSizes(initial_bytes=6291456, max_bytes=8388608)
    """
    initial_bytes = min(_MAX_INITIAL_FILE_BYTES, max(_MIB, disk_mb * _MIB // 8))
    return FileSizes(initial_bytes, max(initial_bytes, disk_mb * _MIB // 6))


class RingJournal:
    """The journal of one process. `load` it first, then `begin_file`, then `append`.

    Invariants:
    - File numbers rise along the journal, record numbers rise by one. A record counts only if its checksum fits its
      file and it follows the one before; what no sync covers may be torn.
    - All file names are durable before the first record.
    - A file counts only with its whole first batch. Before that batch is acknowledged, the file after it says that it
      is durable; until then nothing but the file itself is written, however often that is tried.
    - What `load` gives is synced first, whoever wrote it: a killed process may have left records that no sync covers,
      and numbers go on from them.
    - Where a file doesn't follow the one before all the same, it counts alone if its snapshot is complete, else not at
      all.

    Attributes:
        folder: Where the files are.
        file_count: How many files the ring has.
        file_bytes: The size of a file from the next one on.
        max_file_bytes: To which files may grow where snapshots need it.
        state: What the last `load` found.
    """

    def __init__(
        self,
        *,
        folder: str,
        file_count: int = 4,
        file_bytes: int = 4 << 20,
        max_file_bytes: int = 0,
        file_system: FileSystem | None = None,
        salt: Callable[[], int] | None = None,
    ) -> None:
        """Create a journal that has not been loaded.

        Args:
            folder: Where the files are; made if it is missing.
            file_count: How many files the ring has; at least three.
            file_bytes: The size of a file at first.
            max_file_bytes: To which files may grow; 0: they don't.
            file_system: The disk, the operating system's if None.
            salt: Gives a number of 32 bits for each file, a random one if None.

        Raises:
            ValueError: The ring would have too few files.
        """
        if file_count < _MIN_FILE_COUNT:
            raise ValueError(f"a ring has {_MIN_FILE_COUNT} files or more, not {file_count}")
        self.folder = folder
        self.file_count = file_count
        self.file_bytes = file_bytes
        self.max_file_bytes = max(file_bytes, max_file_bytes)
        self.state = JournalState.EMPTY
        self._file_system: FileSystem = file_system or OsFileSystem()
        self._salt = salt or (lambda: secrets.randbits(_SALT_BITS))
        self._handle: int | None = None
        self._highest_file = 0  # highest file number seen or tried
        self._durable_file = 0  # newest file number that is durable; the next file follows it
        self._claimed_file = 0  # highest file number that a header calls durable
        self._is_first_batch_durable = False  # of the current file
        self._checksum_seed = 0  # of the current file
        self._position = 0  # in the current file, of the next record
        self._next_record = 1

    def _path(self, *, index: int) -> str:
        return os.path.join(self.folder, f"ring-{index}")

    # -- reading

    def load(self) -> list[bytes]:
        """Read all records in order and set `state`; leaves the journal ready for `begin_file`.

        Raises:
            StorageError: The disk refused a call, which is its cause.
        """
        self.close()
        try:
            self._file_system.make_folder(path=self.folder)
            files = [self._read_file(index=index) for index in range(self.file_count)]
            assessment = assess(files=files)
            self.state = assessment.state
            self._highest_file = assessment.highest_file
            self._durable_file = assessment.durable_file
            self._claimed_file = assessment.claimed_file
            self._make_files(files=files)
        except OSError as err:
            raise StorageError(text=str(err), findings=[Finding(place=self.folder, text=str(err))]) from err
        replayed = replay(files=files)
        self._next_record = replayed.next_record
        return replayed.bodies

    @contextmanager
    def _closing(self, *, handle: int) -> Iterator[None]:
        """Close a handle at the end, whatever happens."""
        try:
            yield
        finally:
            self._file_system.close(handle=handle)

    def _read_file(self, *, index: int) -> RingFile:
        try:
            handle = self._file_system.open(path=self._path(index=index), create=False)
        except FileNotFoundError:
            return RingFile.decode(index=index, file_count=self.file_count, raw=None)
        with self._closing(handle=handle):
            self._file_system.sync(handle=handle)
            raw = self._file_system.read(handle=handle)
        return RingFile.decode(index=index, file_count=self.file_count, raw=raw)

    def _make_files(self, *, files: list[RingFile]) -> None:
        """Make all files and their names durable.

        On an empty disk all are written, as a sync that failed may have left those of an earlier try in doubt; on one
        that lost a journal new files say that there was one.
        """
        content = Header(file_number=0, durable_file=self._claimed_file).encode()
        for file in files:
            if self.state is JournalState.EMPTY or not file.is_present:
                self._write_header(index=file.index, content=content, create=True)
        self._file_system.sync_folder(path=self.folder)

    def _write_header(self, *, index: int, content: bytes, create: bool) -> None:
        file_system = self._file_system
        handle = file_system.open(path=self._path(index=index), create=create)
        with self._closing(handle=handle):
            file_system.write(handle=handle, position=0, data=content)
            if create:
                file_system.sync(handle=handle)
            else:
                file_system.sync_data(handle=handle)

    # -- writing

    def is_full(self, *, extra_bytes: int) -> bool:
        """Whether the current file has no room for `extra_bytes` more, or there is none."""
        return self._handle is None or self._position + extra_bytes > self.file_bytes

    def rotate(self, *, snapshot_bytes: int = 0) -> None:
        """Move on to the next file, preallocated; nothing of it counts until its first batch is synced.

        Args:
            snapshot_bytes: What the snapshot at its beginning takes. Where that is over a third of a file, files are
                larger from now on, else every few records would bring another snapshot.

        Raises:
            OSError: The disk refused a call.
        """
        while self.file_bytes < _SNAPSHOTS_PER_FILE * snapshot_bytes and self.file_bytes < self.max_file_bytes:
            self.file_bytes = min(2 * self.file_bytes, self.max_file_bytes)
        self.close()
        self._highest_file = self._next_file()
        file_system = self._file_system
        self._handle = file_system.open(path=self._path(index=self._highest_file % self.file_count), create=False)
        length = file_system.size(handle=self._handle)
        if length < self.file_bytes:
            try:
                file_system.write(handle=self._handle, position=length, data=bytes(self.file_bytes - length))
            except OSError:
                self.close()
                raise
        self._is_first_batch_durable = False
        self._position = HEADER_BYTES

    def _next_file(self) -> int:
        """The number after the durable file's; after a failure a higher one that belongs into the same file.

        So no try, in this process or a later one, overwrites the durable file.
        """
        number = self._durable_file + 1
        while number <= self._highest_file:
            number += self.file_count
        return number

    def begin_file(self, *, snapshot: list[bytes], bodies: list[bytes] | None = None) -> None:
        """Move on to the next file and write its first batch: a snapshot with its end, and records after it.

        Raises:
            OSError: The disk refused a call.
        """
        self.rotate(snapshot_bytes=self.encoded_bytes(bodies=snapshot))
        self.append(bodies=snapshot + (bodies or []))

    def append(self, *, bodies: list[bytes]) -> None:
        """Write records and sync them. A zeroed head follows the last one.

        Raises:
            OSError: The disk refused a call. The state of the file isn't known then, and the records have to be
                written to another one, after `rotate`.
        """
        if self._handle is None:
            raise OSError(errno.EBADF, "no ring file is open")
        try:
            if self._is_first_batch_durable:
                size = self._write_batch(handle=self._handle, header=b"", bodies=bodies)
            else:
                size = self._write_first_batch(handle=self._handle, bodies=bodies)
        except OSError:
            self.close()
            raise
        self._position += size
        self._next_record += len(bodies)  # a number is used up only by what the disk took

    def _write_batch(self, *, handle: int, header: bytes, bodies: list[bytes]) -> int:
        """Write records, after the header if there is one; returns the bytes of the records."""
        encoded = encode_records(seed=self._checksum_seed, first_number=self._next_record, bodies=bodies)
        size = len(encoded) - RECORD_BYTES
        if self._position + len(encoded) > self.file_bytes:
            encoded = encoded[:size]  # there is no room for the zeroed head; the end of the file ends the records
        self._file_system.write(handle=handle, position=self._position - len(header), data=header + encoded)
        self._file_system.sync_data(handle=handle)
        return size

    def _write_first_batch(self, *, handle: int, bodies: list[bytes]) -> int:
        """Write a file's header and first batch, then say in the next file, which isn't needed, that it is durable."""
        header = Header(
            file_number=self._highest_file,
            durable_file=self._claimed_file,
            first_batch_records=len(bodies),
            salt=self._salt(),
        )
        self._checksum_seed = header.checksum_seed
        size = self._write_batch(handle=handle, header=header.encode(), bodies=bodies)
        self._durable_file = self._claimed_file = self._highest_file
        self._declare_durable()
        self._is_first_batch_durable = True
        return size

    def _declare_durable(self) -> None:
        content = Header(file_number=0, durable_file=self._claimed_file).encode()
        self._write_header(index=(self._durable_file + 1) % self.file_count, content=content, create=False)

    def encoded_bytes(self, *, bodies: list[bytes]) -> int:
        """Bytes that these records take in a file."""
        return sum(len(body) + RECORD_BYTES for body in bodies)

    def close(self) -> None:
        """Close the current file, if there is one; the next write needs `rotate` first."""
        if self._handle is not None:
            handle, self._handle = self._handle, None
            self._file_system.close(handle=handle)
