"""A journal in a ring of preallocated files.

Each file begins with a header naming its place in the journal; records follow, each with length and checksum.
The ring moves to the next file when the current one is full; before it reuses a file, the owner writes a
checkpoint of all live state into the fresh file, so that older files hold nothing needed.
"""

import os
import struct
import zlib
from collections.abc import Iterator

from ..base.errs import Finding, StoreError

_HEAD = struct.Struct("<8sQI")   # magic, file number, checksum of the two
_REC = struct.Struct("<IIQ")     # length, checksum, record number
_MAGIC = b"YLRING01"
END = b'{"k":"none","end":true}'     # follows a checkpoint: what begins a file is whole


def _crc(*, num: int, body: bytes) -> int:
    return zlib.crc32(body, num & 0xFFFFFFFF)


class Ring:
    """Invariants: file numbers rise by one along the journal; record numbers rise by one within it; a record
    counts only if its checksum fits and it follows the one before; what a sync has not covered may be torn. What
    `load` gives out is synced first, whoever wrote it: a killed process may have left records that no sync covers,
    and numbers go on from them. Where a file does not follow the one before all the same, it counts alone if its
    checkpoint is whole, else not at all."""

    def __init__(self, *, folder: str, files: int = 4, size: int = 4 << 20, most: int = 0) -> None:
        self.folder = folder
        self.files = files
        self.size = size
        self.most = max(size, most)       # files may grow to this where checkpoints need it
        self._fd = -1
        self._file = 0
        self._pos = 0
        self._next = 1

    def _path(self, slot: int) -> str:
        return os.path.join(self.folder, f"ring-{slot}")

    def load(self) -> list[bytes]:
        """Read all records in order; leaves the ring ready for `rotate`."""
        os.makedirs(self.folder, exist_ok=True)
        found: list[tuple[int, bytes]] = []
        for slot in range(self.files):
            try:
                with open(self._path(slot), "rb+") as fh:
                    os.fsync(fh.fileno())
                    raw = fh.read()
            except FileNotFoundError:
                continue
            except OSError as err:
                raise StoreError(text=str(err), findings=[Finding(place=self._path(slot), text=str(err))]) from err
            if len(raw) < _HEAD.size:
                continue
            magic, num, crc = _HEAD.unpack_from(raw)
            if magic == _MAGIC and crc == zlib.crc32(raw[:16]) and num % self.files == slot:
                found.append((num, raw))
        found.sort(key=lambda it: it[0])
        out: list[bytes] = []
        last: int | None = None
        for num, raw in found:
            recs: list[tuple[int, bytes]] = []
            for idx, body in self._records(raw=raw):
                if recs and idx != recs[-1][0] + 1:
                    break
                recs.append((idx, body))
            follows = num == self._file + 1 and (not recs or last is None or recs[0][0] == last + 1)
            if self._file and not follows:
                if END not in (body for _, body in recs):
                    recs = []
                else:
                    out.clear()
            self._file = num
            if recs:
                out += [body for _, body in recs]
                last = recs[-1][0]
        self._next = (last or 0) + 1
        return out

    @staticmethod
    def _records(*, raw: bytes) -> Iterator[tuple[int, bytes]]:
        pos = _HEAD.size
        while pos + _REC.size <= len(raw):
            size, crc, idx = _REC.unpack_from(raw, pos)
            body = raw[pos + _REC.size:pos + _REC.size + size]
            if idx == 0 or len(body) != size or crc != _crc(num=idx, body=body):
                return
            yield idx, body
            pos += _REC.size + size

    def full(self, *, extra: int) -> bool:
        """Whether the current file has no room for `extra` bytes more."""
        return self._fd < 0 or self._pos + extra > self.size

    def rotate(self, *, need: int = 0) -> None:
        """Move on to the next file, preallocated; nothing of it counts until records are synced. `need`: bytes that
        the checkpoint at its beginning takes; where that is over a third of a file, files are larger from now on, else
        each few records would bring another checkpoint."""
        while self.size < 3 * need and self.size < self.most:
            self.size = min(2 * self.size, self.most)
        if self._fd >= 0:
            os.close(self._fd)
        self._file += 1
        path = self._path(self._file % self.files)
        self._fd = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        if os.fstat(self._fd).st_size < self.size:
            os.ftruncate(self._fd, 0)
            self._write(pos=0, data=bytes(self.size))
        head = _HEAD.pack(_MAGIC, self._file, 0)[:16]
        # The zeroed first record slot cuts off what the file held before.
        self._write(pos=0, data=head + struct.pack("<I", zlib.crc32(head)) + bytes(_REC.size))
        self._pos = _HEAD.size

    def _write(self, *, pos: int, data: bytes) -> None:
        os.lseek(self._fd, pos, os.SEEK_SET)
        view = memoryview(data)
        while view:
            view = view[os.write(self._fd, view):]

    def append(self, *, bodies: list[bytes]) -> None:
        """Write records and sync them. A zeroed head follows the last one."""
        buf, num = bytearray(), self._next
        for body in bodies:
            buf += _REC.pack(len(body), _crc(num=num, body=body), num)
            buf += body
            num += 1
        end = bytes(_REC.size) if self._pos + len(buf) + _REC.size <= self.size else b""
        self._write(pos=self._pos, data=bytes(buf) + end)
        self._pos += len(buf)
        os.fdatasync(self._fd)
        self._next = num          # a number is used up only by what the disk took

    def room(self, *, bodies: list[bytes]) -> int:
        """Bytes these records take."""
        return sum(len(b) + _REC.size for b in bodies)

    def close(self) -> None:
        """Let go of the file."""
        if self._fd >= 0:
            os.close(self._fd)
            self._fd = -1
