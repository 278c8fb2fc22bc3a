"""Frames between nodes: one length-prefixed protobuf envelope, with a JSON body of many messages."""

import struct
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import betterproto
import orjson

from ..common.records import Record
from .message_kinds import LANE_NUMBERS, Kind, Lane

MAX_FRAME_BYTES = 32 * 1024 * 1024
_LEN = struct.Struct(">I")


@dataclass
class Frame(betterproto.Message):  # type: ignore[misc]
    """One frame.

    Attributes:
        lane: The number of the lane.
        source: The sender's address.
        node_id: The sender's node id.
        incarnation: The sender's number among those with its node id.
        sequence: Rises for each incarnation, receiver and lane; a receiver drops what does not rise.
        body: A JSON array of [kind, message]; an empty one only carries the sequence (a probe).
    """

    lane: int = betterproto.uint32_field(1)
    source: str = betterproto.string_field(2)
    node_id: str = betterproto.string_field(3)
    incarnation: int = betterproto.uint64_field(4)
    sequence: int = betterproto.uint64_field(5)
    body: bytes = betterproto.bytes_field(6)

    def typed(self) -> bool:
        """Whether each field has its type; the parser takes what the wire says, for example a list of numbers."""
        return (
            all(type(number) is int for number in (self.lane, self.incarnation, self.sequence))
            and isinstance(self.source, str)
            and isinstance(self.node_id, str)
            and isinstance(self.body, bytes)
        )


def envelope_fault(*, lane: int, source: str, node_id: str, incarnation: int, sequence: int) -> str:
    """What is wrong with a frame's envelope; empty: nothing.

    >>> envelope_fault(lane=1, source="a:1", node_id="a:1#0", incarnation=1, sequence=1)
    ''
    >>> envelope_fault(lane=9, source="a:1", node_id="a:1#0", incarnation=1, sequence=1)
    'lane 9 is unknown'
    """
    if lane not in LANE_NUMBERS:
        return f"lane {lane} is unknown"
    if not source or not node_id.startswith(source + "#"):
        return f"uid {node_id!r} is not one of address {source!r}"
    if incarnation < 1:
        return "incarnation 0"
    return "" if sequence > 0 else "sequence 0"


def pack_frame(*, frame: Frame) -> bytes:
    """Length-prefixed bytes."""
    encoded = bytes(frame)
    return _LEN.pack(len(encoded)) + encoded


def _varint(number: int) -> bytes:
    out = bytearray()
    while number > 0x7F:
        out.append(number & 0x7F | 0x80)
        number >>= 7
    out.append(number)
    return bytes(out)


def _read_varint(encoded: bytes, position: int) -> tuple[int, int]:
    number = shift = 0
    while True:
        byte = encoded[position]
        position += 1
        number |= (byte & 0x7F) << shift
        if byte < 0x80:
            return number, position
        shift += 7


class FrameEncoder:
    """Encodes the frames of one lane to one peer; all fields but the last two stay, so they are encoded once.

    >>> one = Frame(lane=2, source="a", node_id="a#0", incarnation=7, sequence=300, body=b"[]")
    >>> encoder = FrameEncoder(lane=Lane.WORK, source="a", node_id="a#0", incarnation=7)
    >>> encoder.encode(sequence=300, body=b"[]") == pack_frame(frame=one)
    True
    """

    def __init__(self, *, lane: Lane, source: str, node_id: str, incarnation: int) -> None:
        self._head = bytes(Frame(lane=int(lane), source=source, node_id=node_id, incarnation=incarnation))

    def encode(self, *, sequence: int, body: bytes) -> bytes:
        """The frame's length-prefixed bytes; `sequence` is above 0, `body` not empty."""
        encoded = b"%b\x28%b\x32%b%b" % (self._head, _varint(sequence), _varint(len(body)), body)
        return _LEN.pack(len(encoded)) + encoded


def dump(*, body: object) -> bytes:
    """Encode a message; it may hold typed records."""
    return orjson.dumps(body, default=_plain_data, option=orjson.OPT_NON_STR_KEYS)


def _plain_data(value: object) -> object:
    """What stands for a value that the encoder does not know."""
    if isinstance(value, Record):
        return value.document()
    raise TypeError(f"not to be encoded: {type(value).__name__}")


def join_messages(*, rows: Iterable[tuple[int, bytes]]) -> bytes:
    """Encoded messages as the body of one frame.

    >>> join_messages(rows=[(20, b'{"g":1}'), (21, b'{}')])
    b'[[20,{"g":1}],[21,{}]]'
    """
    return b"[" + b",".join([b"[%d,%b]" % row for row in rows]) + b"]"


def split_messages(*, body: bytes, unknown: set[int] | None = None) -> list[tuple[Kind, Any]]:
    """The messages of a frame's body.

    Args:
        body: The frame's body.
        unknown: Takes the numbers of kinds that are not known; their messages are left out.

    Raises:
        ValueError: The body is no list of messages.
        TypeError: The same.

    >>> split_messages(body=b'[[20,{"g":1}],[9999,{}]]')
    [(<Kind.LEADER_LEASE_REQUEST: 20>, {'g': 1})]
    """
    messages: list[tuple[Kind, Any]] = []
    known = Kind._value2member_map_
    for row in orjson.loads(body):
        if not isinstance(row, list) or len(row) != 2:
            raise ValueError("not a message")
        number, message = row
        if type(number) is not int:
            raise ValueError("not a kind")
        kind = known.get(number)
        if isinstance(kind, Kind):
            messages.append((kind, message))
        elif unknown is not None:
            unknown.add(number)
    return messages


class MalformedFrameError(ValueError):
    """A connection brought what is no frame, and ends there.

    Attributes:
        frames: The whole frames that came before it.
    """

    def __init__(self, text: str, *, frames: list[Frame]) -> None:
        super().__init__(text)
        self.frames = frames


class FrameDecoder:
    """Cuts a stream of bytes into frames."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._head = b""  # what the last frame began with, up to `seq`
        self._last = Frame()

    def _read(self, encoded: bytes) -> Frame:
        """Parse one frame, on a short way if only `sequence` and `body` differ from the last one."""
        position, last = len(self._head), self._last
        if position and encoded.startswith(self._head) and encoded[position : position + 1] == b"\x28":
            sequence, position = _read_varint(encoded, position + 1)
            if encoded[position : position + 1] == b"\x32":
                size, position = _read_varint(encoded, position + 1)
                if position + size == len(encoded) and 0 < sequence < 1 << 64:
                    return Frame(
                        lane=last.lane,
                        source=last.source,
                        node_id=last.node_id,
                        incarnation=last.incarnation,
                        sequence=sequence,
                        body=encoded[position:],
                    )
        frame: Frame = Frame().parse(encoded)
        if not frame.typed():
            raise ValueError("a field is of the wrong type")
        head = bytes(Frame(lane=frame.lane, source=frame.source, node_id=frame.node_id, incarnation=frame.incarnation))
        self._head, self._last = (head, frame) if encoded.startswith(head) else (b"", frame)
        return frame

    def feed(self, data: bytes) -> list[Frame]:
        """Take bytes and return the frames that are whole now.

        Raises:
            MalformedFrameError: The bytes are no frame.

        >>> one = pack_frame(frame=Frame(lane=1, source="a", body=b"[]"))
        >>> decoder = FrameDecoder()
        >>> [frame.source for frame in decoder.feed(one[:5]) + decoder.feed(one[5:] + one)]
        ['a', 'a']
        """
        self._buffer += data
        out: list[Frame] = []
        position = 0
        while len(self._buffer) - position >= 4:
            (size,) = _LEN.unpack_from(self._buffer, position)
            if size > MAX_FRAME_BYTES:
                raise MalformedFrameError(f"frame of {size} bytes is too large", frames=out)
            if len(self._buffer) - position - 4 < size:
                break
            try:
                out.append(self._read(bytes(self._buffer[position + 4 : position + 4 + size])))
            except Exception as err:
                raise MalformedFrameError(f"frame not readable: {err!r}", frames=out) from err
            position += 4 + size
        del self._buffer[:position]
        return out
