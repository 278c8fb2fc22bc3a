"""What nodes say to each other: one protobuf envelope, length-prefixed, with a JSON body of plain data."""

import enum
import struct
from dataclasses import dataclass
from typing import Any

import betterproto
import orjson

MAX_FRAME = 32 * 1024 * 1024
_LEN = struct.Struct(">I")


class Kind(enum.IntEnum):
    """Kinds of frames."""

    HEART = 1
    HEARTOK = 2
    NEWS = 3
    PREP = 10
    PROMISE = 11
    ACCEPT = 12
    ACCEPTED = 13
    INSTALL = 14
    INSTALLED = 15
    CKPT = 16
    CKPTOK = 17
    LOG = 18
    LOGOK = 19
    PING = 20
    PONG = 21
    YIELD = 22
    CALL = 30
    REPLY = 31
    CLAIM = 40
    ATTACH = 41
    VERDICT = 42
    LEASE = 43
    GRANT = 44
    RETURN = 45
    ORDER = 46
    STOP = 47
    ENDS = 48
    ENDSOK = 49
    LOST = 50
    LOSTOK = 51
    ROOM = 52
    NAK = 53
    ROOMGET = 54


@dataclass
class Frame(betterproto.Message):  # type: ignore[misc]
    """Invariant: `seq` rises per sender life (`boot`) and receiver; a receiver drops what does not rise."""

    kind: int = betterproto.uint32_field(1)
    src: str = betterproto.string_field(2)
    uid: str = betterproto.string_field(3)
    boot: int = betterproto.uint64_field(4)
    seq: int = betterproto.uint64_field(5)
    body: bytes = betterproto.bytes_field(6)


def pack(*, frame: Frame) -> bytes:
    """Length-prefixed bytes."""
    raw = bytes(frame)
    return _LEN.pack(len(raw)) + raw


def dump(*, body: Any) -> bytes:
    """Encode a body."""
    return orjson.dumps(body, option=orjson.OPT_NON_STR_KEYS)


class Splitter:
    """Cuts a byte stream into frames; raises ValueError on anything malformed."""

    def __init__(self) -> None:
        self._buf = bytearray()

    def feed(self, data: bytes) -> list[Frame]:
        """Take bytes, return whole frames.

        >>> one = pack(frame=Frame(kind=1, src="a", body=b"{}"))
        >>> cut = Splitter()
        >>> [f.src for f in cut.feed(one[:5]) + cut.feed(one[5:] + one)]
        ['a', 'a']
        """
        self._buf += data
        out: list[Frame] = []
        pos = 0
        while len(self._buf) - pos >= 4:
            (size,) = _LEN.unpack_from(self._buf, pos)
            if size > MAX_FRAME:
                raise ValueError("frame too large")
            if len(self._buf) - pos - 4 < size:
                break
            try:
                out.append(Frame().parse(bytes(self._buf[pos + 4:pos + 4 + size])))
            except Exception as err:
                raise ValueError(f"frame not readable: {err}") from err
            pos += 4 + size
        del self._buf[:pos]
        return out
