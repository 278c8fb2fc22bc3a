"""Heads of plain HTTP/1.1 requests and of responses, without input or output.

A request is plain if nothing in its head changes how it is framed or how its connection goes on. All others are left to
h11.
"""

import enum
import re

import h11
import msgspec

from .header_rules import Rule, screen

_LINE = re.compile(rb"(GET|PUT|POST|DELETE|PATCH) ([!-~]+) HTTP/1\.1")
_FIELD = re.compile(rb"([-!#$%&'*+.^_`|~0-9A-Za-z]+):[ \t]*([!-~](?:[ -~]*[!-~])?)?[ \t]*")
_LENGTH = re.compile(r"[0-9]{1,9}")
# Fields that change how a message is framed or how its connection goes on.
_JUDGED = frozenset({"transfer-encoding", "expect", "upgrade", "connection", "te", "trailer", "proxy-connection"})
_HEADS: dict[tuple[int, tuple[tuple[str, str], ...], bool], bytes] = {}


class Unread(enum.Enum):
    """Why a buffer gave no head."""

    INCOMPLETE = "incomplete"
    NOT_PLAIN = "not-plain"  # h11 is to judge it


class Head(msgspec.Struct, kw_only=True):
    """A request's head.

    Attributes:
        start: Where the request's body begins in the buffer that the head was read from.
        end: Where the body ends there.
    """

    method: str
    path: str
    headers: dict[str, str]
    start: int
    end: int

    @property
    def body_bytes(self) -> int:
        """The declared size of the body."""
        return self.end - self.start


def read_head(*, buffer: bytearray, most: int) -> Head | Unread:
    r"""Read a plain head of at most `most` bytes.

    >>> read_head(buffer=bytearray(b"PUT /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n\r\nabcd"), most=999)
    Head(method='PUT', path='/a', headers={'host': 'h', 'content-length': '3'}, start=47, end=50)
    >>> read_head(buffer=bytearray(b"PUT /a HTTP/1.1\r\nHo"), most=999)
    <Unread.INCOMPLETE: 'incomplete'>
    >>> read_head(buffer=bytearray(b"GET /a HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n"), most=999)
    <Unread.NOT_PLAIN: 'not-plain'>
    """
    end = buffer.find(b"\r\n\r\n", 0, most)
    if end < 0:
        hopeless = len(buffer) >= most or buffer[0] < 0x21 or b"\n\n" in buffer or b"\n\r\n" in buffer
        return Unread.NOT_PLAIN if hopeless else Unread.INCOMPLETE
    request_line, *header_lines = bytes(buffer[:end]).split(b"\r\n")
    request = _LINE.fullmatch(request_line)
    headers = _read_headers(header_lines)
    if request is None or headers is None or "host" not in headers:
        return Unread.NOT_PLAIN
    size = headers.get("content-length", "0")
    if _LENGTH.fullmatch(size) is None:
        return Unread.NOT_PLAIN
    start = end + len(b"\r\n\r\n")
    method, path = request[1].decode(), request[2].decode()
    return Head(method=method, path=path, headers=headers, start=start, end=start + int(size))


def _read_headers(lines: list[bytes]) -> dict[str, str] | None:
    """Header fields by their name in lower case; None: one of them is not plain, or stands twice."""
    headers: dict[str, str] = {}
    for line in lines:
        field = _FIELD.fullmatch(line)
        if field is None:
            return None
        name = field[1].decode().lower()
        is_judged = name in _JUDGED and (name != "connection" or field[2] != b"keep-alive")
        if is_judged or name in headers:
            return None
        headers[name] = (field[2] or b"").decode()
    return headers


def write_head(*, status: int, headers: tuple[tuple[str, str], ...], closing: bool, size: int) -> bytes:
    r"""A response's head, as h11 writes it.

    Raises:
        h11.LocalProtocolError: A header cannot be written.

    >>> write_head(status=200, headers=(("a", "b"), ("content-length", "9")), closing=False, size=2)
    b'HTTP/1.1 200 \r\na: b\r\ncontent-length: 2\r\n\r\n'
    """
    key = (status, headers, closing)
    head = _HEADS.get(key)
    if head is None:
        rows = screen(headers=headers, rule=Rule.RESPONSE)
        if closing and not any(name == "connection" for name, _ in rows):
            rows.append(("connection", "close"))
        text = "".join(f"{name}: {value}\r\n" for name, value in rows)
        if text.count("\n") != len(rows) or text.count("\r") != len(rows):
            raise h11.LocalProtocolError("line break in a header")
        try:
            head = f"HTTP/1.1 {status} \r\n{text}content-length: ".encode("ascii")
        except UnicodeEncodeError as err:
            raise h11.LocalProtocolError("header not ASCII") from err
        if len(_HEADS) > 256:
            _HEADS.clear()
        _HEADS[key] = head
    return b"%b%d\r\n\r\n" % (head, size)
