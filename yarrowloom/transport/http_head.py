"""The plain case of HTTP/1.1, sans IO: a head without anything that needs judgement. All else is left to h11."""

import re
from dataclasses import dataclass

import h11

from .header_rules import Rule, screen

_LINE = re.compile(rb"(GET|PUT|POST|DELETE|PATCH) ([!-~]+) HTTP/1\.1")
_FIELD = re.compile(rb"([-!#$%&'*+.^_`|~0-9A-Za-z]+):[ \t]*([!-~](?:[ -~]*[!-~])?)?[ \t]*")
_LENGTH = re.compile(r"[0-9]{1,9}")
# Fields that change how a message is framed or how its connection goes on.
_JUDGED = frozenset({"transfer-encoding", "expect", "upgrade", "connection", "te", "trailer", "proxy-connection"})
_HEADS: dict[tuple[int, tuple[tuple[str, str], ...], bool], bytes] = {}


@dataclass(kw_only=True, slots=True)
class Head:
    """A request's head. `start` and `end` bound its body in the buffer it was read from."""

    method: str
    path: str
    headers: dict[str, str]
    start: int
    end: int


def read_head(*, buffer: bytearray, most: int) -> Head | None | bool:
    """A plain head of at most `most` bytes; None: not whole yet; False: h11 is to judge.

    >>> read_head(buffer=bytearray(b"PUT /a HTTP/1.1\\r\\nHost: h\\r\\nContent-Length: 3\\r\\n\\r\\nabcd"), most=999)
    Head(method='PUT', path='/a', headers={'host': 'h', 'content-length': '3'}, start=47, end=50)
    >>> read_head(buffer=bytearray(b"PUT /a HTTP/1.1\\r\\nHo"), most=999) is None
    True
    >>> read_head(buffer=bytearray(b"GET /a HTTP/1.1\\r\\nHost: h\\r\\nConnection: close\\r\\n\\r\\n"), most=999)
    False
    """
    at = buffer.find(b"\r\n\r\n", 0, most)
    if at < 0:
        odd = len(buffer) >= most or buffer[0] < 0x21 or b"\n\n" in buffer or b"\n\r\n" in buffer
        return False if odd else None
    lines = bytes(buffer[:at]).split(b"\r\n")
    hit = _LINE.fullmatch(lines[0])
    if hit is None:
        return False
    headers: dict[str, str] = {}
    for line in lines[1:]:
        field = _FIELD.fullmatch(line)
        if field is None:
            return False
        key = field[1].decode().lower()
        if key in headers or (key in _JUDGED and (key != "connection" or field[2] != b"keep-alive")):
            return False
        headers[key] = (field[2] or b"").decode()
    size = headers.get("content-length", "0")
    if "host" not in headers or _LENGTH.fullmatch(size) is None:
        return False
    return Head(method=hit[1].decode(), path=hit[2].decode(), headers=headers, start=at + 4, end=at + 4 + int(size))


def write_head(*, status: int, headers: tuple[tuple[str, str], ...], closing: bool, size: int) -> bytes:
    """A response's head, as h11 writes it; raises h11.LocalProtocolError on headers that cannot be written.

    >>> write_head(status=200, headers=(("a", "b"), ("content-length", "9")), closing=False, size=2)
    b'HTTP/1.1 200 \\r\\na: b\\r\\ncontent-length: 2\\r\\n\\r\\n'
    """
    key = (status, headers, closing)
    head = _HEADS.get(key)
    if head is None:
        rows = screen(headers=headers, rule=Rule.RESPONSE)
        if closing and not any(k == "connection" for k, _ in rows):
            rows.append(("connection", "close"))
        text = "".join(f"{k}: {v}\r\n" for k, v in rows)
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
