"""Bytes of a ring file: one header, then records, each with length, checksum and number.

The header's checksum seeds the checksums of its records, and each header has a salt of its own; so bytes that an
earlier use of the file left behind never count as records of a later one.
"""

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Self

_HEADER = struct.Struct("<8sQQII")  # magic, file number, newest durable file number, opening records, salt
_CHECKSUM = struct.Struct("<I")
_RECORD = struct.Struct("<IIQ")  # length, checksum, record number
_MAGIC = b"YLRING02"
HEADER_BYTES = _HEADER.size + _CHECKSUM.size
RECORD_BYTES = _RECORD.size


@dataclass(frozen=True, slots=True, kw_only=True)
class Header:
    """First bytes of a file. `number` is its place in the journal, 0 while it holds no records; `durable` is the
    highest file number that was durable when this was written; `opening` counts the records of its first batch.
    """

    number: int
    durable: int
    opening: int = 0
    salt: int = 0

    def pack(self) -> bytes:
        """Bytes of the header, its checksum last."""
        head = _HEADER.pack(_MAGIC, self.number, self.durable, self.opening, self.salt)
        return head + _CHECKSUM.pack(zlib.crc32(head))

    @property
    def seed(self) -> int:
        """Where the checksums of the records begin: the header's checksum (a checksum over that too is the same for
        all headers).
        """
        return zlib.crc32(self.pack()[: _HEADER.size])

    @classmethod
    def parse(cls, *, raw: bytes) -> Self | None:
        """The header of a file's content, `None` where it is not whole."""
        if len(raw) < HEADER_BYTES:
            return None
        magic, number, durable, opening, salt = _HEADER.unpack_from(raw)
        if magic != _MAGIC or not cls.checks(raw=raw):
            return None
        return cls(number=number, durable=durable, opening=opening, salt=salt)

    @staticmethod
    def checks(*, raw: bytes) -> bool:
        """Whether the checksum fits."""
        (checksum,) = _CHECKSUM.unpack_from(raw, _HEADER.size)
        return bool(checksum == zlib.crc32(raw[: _HEADER.size]))


UNUSED = Header(number=0, durable=0).pack()  # content of a file that was made and never used


def pack_records(*, seed: int, first: int, bodies: list[bytes]) -> bytes:
    """Records with numbers from `first` on, and a zeroed record head that ends them."""
    out = bytearray()
    for number, body in enumerate(bodies, start=first):
        out += _RECORD.pack(len(body), zlib.crc32(body, (seed + number) & 0xFFFFFFFF), number)
        out += body
    out += bytes(RECORD_BYTES)
    return bytes(out)


def parse_records(*, raw: bytes, seed: int) -> Iterator[tuple[int, bytes]]:
    """Numbers and bodies up to the first record that is not whole."""
    position = HEADER_BYTES
    while position + RECORD_BYTES <= len(raw):
        size, checksum, number = _RECORD.unpack_from(raw, position)
        body = raw[position + RECORD_BYTES : position + RECORD_BYTES + size]
        if number == 0 or len(body) != size or checksum != zlib.crc32(body, (seed + number) & 0xFFFFFFFF):
            return
        yield number, body
        position += RECORD_BYTES + size


@dataclass(slots=True, kw_only=True)
class Slot:
    """What one file of the ring holds."""

    index: int
    present: bool
    header: Header | None
    records: list[tuple[int, bytes]]
    blank: bool  # missing, empty, zeros, or a part of an unused header

    @classmethod
    def parse(cls, *, index: int, files: int, raw: bytes | None) -> Self:
        """Read a file's content; `None` where the file is missing."""
        if raw is None:
            return cls(index=index, present=False, header=None, records=[], blank=True)
        header = Header.parse(raw=raw)
        if header is not None and header.number and header.number % files != index:
            header = None
        records: list[tuple[int, bytes]] = []
        if header is not None and header.number:
            for number, body in parse_records(raw=raw, seed=header.seed):
                if records and number != records[-1][0] + 1:
                    break
                records.append((number, body))
        return cls(index=index, present=True, header=header, records=records, blank=header is None and _blank(raw=raw))

    @property
    def whole(self) -> bool:
        """Whether the file's first batch is there to its end."""
        return (
            self.header is not None
            and self.header.number > 0
            and self.header.opening > 0
            and len(self.records) >= self.header.opening
        )

    @property
    def unused(self) -> bool:
        """Whether the file was made whole and never used, on a disk that was never used."""
        return self.header is not None and self.header.number == 0 and self.header.durable == 0


def _blank(*, raw: bytes) -> bool:
    begun = raw[:HEADER_BYTES].rstrip(b"\0")
    return UNUSED.startswith(begun) and not raw[HEADER_BYTES:].strip(b"\0")
