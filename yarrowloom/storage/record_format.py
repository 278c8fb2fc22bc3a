"""Bytes of a ring file: one header, then records, each with length, checksum and number.

The header's checksum seeds the checksums of its records, and each header has a salt of its own; so bytes that an
earlier use of the file left behind never count as records of a later one.
"""

import struct
import zlib
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple, Self

_HEADER = struct.Struct("<8sQQII")  # magic, file number, newest durable file, records of the first batch, salt
_CHECKSUM = struct.Struct("<I")
_RECORD = struct.Struct("<IIQ")  # length, checksum, record number
_MAGIC = b"YLRING02"
_MAX_UINT32 = 0xFFFFFFFF
HEADER_BYTES = _HEADER.size + _CHECKSUM.size
RECORD_BYTES = _RECORD.size  # that a record takes besides its body


class NumberedRecord(NamedTuple):
    """A record of a ring file."""

    number: int
    body: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Header:
    """The first bytes of a ring file.

    Attributes:
        file_number: The file's position in the journal; 0 while it holds no records.
        durable_file: The highest file number that was durable when this was written.
        first_batch_records: How many records the file's first batch has.
        salt: Makes the checksums of the file's records differ from those of its other uses.
    """

    file_number: int
    durable_file: int
    first_batch_records: int = 0
    salt: int = 0

    def encode(self) -> bytes:
        """Bytes of the header, its checksum last."""
        content = _HEADER.pack(_MAGIC, self.file_number, self.durable_file, self.first_batch_records, self.salt)
        return content + _CHECKSUM.pack(zlib.crc32(content))

    @property
    def checksum_seed(self) -> int:
        """Where the checksums of the records begin: the header's own checksum.

        It doesn't cover the stored checksum: the CRC of data with its own CRC behind is the same for all headers.
        """
        return zlib.crc32(self.encode()[: _HEADER.size])

    @classmethod
    def decode(cls, *, raw: bytes) -> Self | None:
        """The header of a file's content; None where it isn't complete."""
        if len(raw) < HEADER_BYTES:
            return None
        magic, file_number, durable_file, first_batch_records, salt = _HEADER.unpack_from(raw)
        if magic != _MAGIC or not cls.has_valid_checksum(raw=raw):
            return None
        return cls(
            file_number=file_number, durable_file=durable_file, first_batch_records=first_batch_records, salt=salt
        )

    @staticmethod
    def has_valid_checksum(*, raw: bytes) -> bool:
        """Whether the stored checksum is that of the header's content."""
        (checksum,) = _CHECKSUM.unpack_from(raw, _HEADER.size)
        return bool(checksum == zlib.crc32(raw[: _HEADER.size]))


_UNUSED_HEADER = Header(file_number=0, durable_file=0).encode()  # content of a file that was made and never used


def _record_checksum(*, seed: int, number: int, body: bytes) -> int:
    return zlib.crc32(body, (seed + number) & _MAX_UINT32)


def encode_records(*, seed: int, first_number: int, bodies: list[bytes]) -> bytes:
    """Records numbered from `first_number` on, and the zeroed head of a record, which ends them."""
    encoded = bytearray()
    for number, body in enumerate(bodies, start=first_number):
        encoded += _RECORD.pack(len(body), _record_checksum(seed=seed, number=number, body=body), number)
        encoded += body
    encoded += bytes(RECORD_BYTES)
    return bytes(encoded)


def decode_records(*, raw: bytes, seed: int) -> Iterator[NumberedRecord]:
    """The records of a file's content, up to the first that isn't complete."""
    position = HEADER_BYTES
    while position + RECORD_BYTES <= len(raw):
        length, checksum, number = _RECORD.unpack_from(raw, position)
        body = raw[position + RECORD_BYTES : position + RECORD_BYTES + length]
        if number == 0 or len(body) != length:
            return
        if checksum != _record_checksum(seed=seed, number=number, body=body):
            return
        yield NumberedRecord(number, body)
        position += RECORD_BYTES + length


@dataclass(frozen=True, slots=True, kw_only=True)
class RingFile:
    """What one file of the ring holds.

    Attributes:
        index: Which of the ring's files it is, from 0.
        is_present: Whether the file exists.
        header: None if there is none that is complete and belongs into this file.
        records: Its complete records. Invariant: the numbers rise by one.
        is_blank: Whether it is missing, empty, zeroed, or a part of an unused header.
    """

    index: int
    is_present: bool
    header: Header | None
    records: list[NumberedRecord]
    is_blank: bool

    @classmethod
    def decode(cls, *, index: int, file_count: int, raw: bytes | None) -> Self:
        """Read a file's content; None stands for a missing file."""
        if raw is None:
            return cls(index=index, is_present=False, header=None, records=[], is_blank=True)
        header = Header.decode(raw=raw)
        if header is not None and header.file_number and header.file_number % file_count != index:
            header = None
        records: list[NumberedRecord] = []
        if header is not None and header.file_number:
            records = _consecutive(records=decode_records(raw=raw, seed=header.checksum_seed))
        is_blank = header is None and _is_blank(raw=raw)
        return cls(index=index, is_present=True, header=header, records=records, is_blank=is_blank)

    @property
    def has_complete_first_batch(self) -> bool:
        """Whether the file's first batch is there to its end."""
        return (
            self.header is not None
            and self.header.file_number > 0
            and self.header.first_batch_records > 0
            and len(self.records) >= self.header.first_batch_records
        )

    @property
    def is_unused(self) -> bool:
        """Whether the file was made and never used, on a disk that was never used."""
        return self.header is not None and self.header.file_number == 0 and self.header.durable_file == 0


def _consecutive(*, records: Iterator[NumberedRecord]) -> list[NumberedRecord]:
    """The records up to the first whose number doesn't follow the one before."""
    consecutive: list[NumberedRecord] = []
    for record in records:
        if consecutive and record.number != consecutive[-1].number + 1:
            break
        consecutive.append(record)
    return consecutive


def _is_blank(*, raw: bytes) -> bool:
    header = raw[:HEADER_BYTES].rstrip(b"\0")
    return _UNUSED_HEADER.startswith(header) and not raw[HEADER_BYTES:].strip(b"\0")
