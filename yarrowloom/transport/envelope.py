"""What nodes say to each other: one protobuf envelope, length-prefixed, with a JSON body of many messages."""

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import betterproto
import orjson

from ..common.records import Record
from .message_kinds import LANE_NUMBERS
from .message_kinds import LANES as LANES
from .message_kinds import Kind as Kind
from .message_kinds import Lane as Lane

MAX_FRAME = 32 * 1024 * 1024
_LEN = struct.Struct(">I")


@dataclass
class Frame(betterproto.Message):  # type: ignore[misc]
    """Invariant: `seq` rises per sender life (`uid` and `incarnation`), receiver and lane; a receiver drops
    what does not rise. `body` is a JSON array of [kind, message]; an empty one only carries the sequence.
    """

    lane: int = betterproto.uint32_field(1)
    src: str = betterproto.string_field(2)
    node_id: str = betterproto.string_field(3)
    incarnation: int = betterproto.uint64_field(4)
    seq: int = betterproto.uint64_field(5)
    body: bytes = betterproto.bytes_field(6)

    def typed(self) -> bool:
        """Whether each field is of its type: the parser takes what the wire says, as a list of numbers for one."""
        return (
            all(type(num) is int for num in (self.lane, self.incarnation, self.seq))
            and isinstance(self.src, str)
            and isinstance(self.node_id, str)
            and isinstance(self.body, bytes)
        )


def envelope_fault(*, lane: int, src: str, node_id: str, incarnation: int, seq: int) -> str:
    """What is wrong with a frame's envelope; empty: nothing.

    >>> envelope_fault(lane=1, src="a:1", node_id="a:1#0", incarnation=1, seq=1)
    ''
    >>> envelope_fault(lane=9, src="a:1", node_id="a:1#0", incarnation=1, seq=1)
    'lane 9 is unknown'
    """
    if lane not in LANE_NUMBERS:
        return f"lane {lane} is unknown"
    if not src or not node_id.startswith(src + "#"):
        return f"uid {node_id!r} is not one of address {src!r}"
    if incarnation < 1:
        return "incarnation 0"
    return "" if seq > 0 else "sequence 0"


def pack(*, frame: Frame) -> bytes:
    """Length-prefixed bytes."""
    raw = bytes(frame)
    return _LEN.pack(len(raw)) + raw


def _varint(num: int) -> bytes:
    out = bytearray()
    while num > 0x7F:
        out.append(num & 0x7F | 0x80)
        num >>= 7
    out.append(num)
    return bytes(out)


def _read_varint(raw: bytes, pos: int) -> tuple[int, int]:
    num = shift = 0
    while True:
        byte = raw[pos]
        pos += 1
        num |= (byte & 0x7F) << shift
        if byte < 0x80:
            return num, pos
        shift += 7


class Sealer:
    """Writes the frames of one lane to one peer. All but the last two fields stay, so they are encoded once.

    >>> one = Frame(lane=2, src="a", node_id="a#0", incarnation=7, seq=300, body=b"[]")
    >>> Sealer(lane=Lane.WORK, src="a", node_id="a#0", incarnation=7).seal(seq=300, body=b"[]") == pack(frame=one)
    True
    """

    def __init__(self, *, lane: Lane, src: str, node_id: str, incarnation: int) -> None:
        self._head = bytes(Frame(lane=int(lane), src=src, node_id=node_id, incarnation=incarnation))

    def seal(self, *, seq: int, body: bytes) -> bytes:
        """Length-prefixed bytes; `seq` is above 0, `body` not empty."""
        raw = b"%b\x28%b\x32%b%b" % (self._head, _varint(seq), _varint(len(body)), body)
        return _LEN.pack(len(raw)) + raw


def dump(*, body: Any) -> bytes:
    """Encode a message; it may hold typed records."""
    return orjson.dumps(body, default=_plain_data, option=orjson.OPT_NON_STR_KEYS)


def _plain_data(value: Any) -> Any:
    """What stands for a value that the encoder does not know."""
    if isinstance(value, Record):
        return value.document()
    raise TypeError(f"not to be encoded: {type(value).__name__}")


def bundle(*, rows: Iterable[tuple[int, bytes]]) -> bytes:
    """Encoded messages as the body of one frame.

    >>> bundle(rows=[(20, b'{"g":1}'), (21, b'{}')])
    b'[[20,{"g":1}],[21,{}]]'
    """
    return b"[" + b",".join([b"[%d,%b]" % row for row in rows]) + b"]"


def unbundle(*, body: bytes, unknown: set[int] | None = None) -> list[tuple[Kind, Any]]:
    """Messages of a frame, parsed at once; kinds that are not known are left out and noted in `unknown`. Raises
    ValueError or TypeError.

    >>> unbundle(body=b'[[20,{"g":1}],[9999,{}]]')
    [(<Kind.LEADER_LEASE_REQUEST: 20>, {'g': 1})]
    """
    out: list[tuple[Kind, Any]] = []
    known = Kind._value2member_map_
    for row in orjson.loads(body):
        if not isinstance(row, list) or len(row) != 2:
            raise ValueError("not a message")
        kind = known.get(row[0]) if type(row[0]) is int else None
        if isinstance(kind, Kind):
            out.append((kind, row[1]))
        elif type(row[0]) is not int:
            raise ValueError("not a kind")
        elif unknown is not None:
            unknown.add(row[0])
    return out


class MalformedFrameError(ValueError):
    """What cannot be read on a connection, which ends there; `frames` came whole before it."""

    def __init__(self, text: str, *, frames: list[Frame]) -> None:
        super().__init__(text)
        self.frames = frames


class Splitter:
    """Cuts a byte stream into frames; raises MalformedFrameError on anything malformed."""

    def __init__(self) -> None:
        self._buf = bytearray()
        self._head = b""  # what the last frame began with, up to `seq`
        self._last = Frame()

    def _read(self, raw: bytes) -> Frame:
        """One frame; the short way if only `seq` and `body` differ from the last one."""
        pos, last = len(self._head), self._last
        if pos and raw.startswith(self._head) and raw[pos : pos + 1] == b"\x28":
            seq, pos = _read_varint(raw, pos + 1)
            if raw[pos : pos + 1] == b"\x32":
                size, pos = _read_varint(raw, pos + 1)
                if pos + size == len(raw) and 0 < seq < 1 << 64:
                    return Frame(
                        lane=last.lane,
                        src=last.src,
                        node_id=last.node_id,
                        incarnation=last.incarnation,
                        seq=seq,
                        body=raw[pos:],
                    )
        frm: Frame = Frame().parse(raw)
        if not frm.typed():
            raise ValueError("a field is of the wrong type")
        head = bytes(Frame(lane=frm.lane, src=frm.src, node_id=frm.node_id, incarnation=frm.incarnation))
        self._head, self._last = (head, frm) if raw.startswith(head) else (b"", frm)
        return frm

    def feed(self, data: bytes) -> list[Frame]:
        """Take bytes, return whole frames.

        >>> one = pack(frame=Frame(lane=1, src="a", body=b"[]"))
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
                raise MalformedFrameError(f"frame of {size} bytes is too large", frames=out)
            if len(self._buf) - pos - 4 < size:
                break
            try:
                out.append(self._read(bytes(self._buf[pos + 4 : pos + 4 + size])))
            except Exception as err:
                raise MalformedFrameError(f"frame not readable: {err!r}", frames=out) from err
            pos += 4 + size
        del self._buf[:pos]
        return out
