"""HTTP as hollow minions and callers need it: one connection, one call at a time."""

import trio

_BROKEN = (trio.BrokenResourceError, trio.ClosedResourceError, OSError, ValueError)
_MOST = 4 << 20


class Line:
    """A connection of a minion or caller, kept open from call to call.

    It reads only what the system writes (a status, a length, a body): with an HTTP library one process could not
    carry the heartbeats of a thousand minions.
    """

    def __init__(self) -> None:
        self._addr = ""
        self._stream: trio.SocketStream | None = None

    async def call(
        self, *, method: str, address: str, path: str, body: bytes, host: str = "", ttl: float = 1.0, key: str = ""
    ) -> tuple[int, bytes]:
        """One call, with a tenant's key if there is one; status 0: no whole answer within `ttl` seconds."""
        authorization = f"Authorization: Token {key}\r\n" if key else ""
        with trio.move_on_after(ttl):
            try:
                if self._stream is None or address != self._addr:
                    await self.close()
                    self._stream, self._addr = await self._dial(address=address), address
                await self._stream.send_all(
                    f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\nContent-Type: application/json\r\n"
                    f"{authorization}X-Deadline-Ms: {ttl * 1000:.0f}\r\nContent-Length: {len(body)}\r\n\r\n".encode()
                    + body
                )
                return await self._read(stream=self._stream)
            except _BROKEN:
                pass
        await self.close()
        return 0, b""

    @staticmethod
    async def _dial(*, address: str) -> trio.SocketStream:
        host, port = address.rsplit(":", 1)
        sock = trio.socket.socket()
        try:
            await sock.connect((host, int(port)))
        except BaseException:
            sock.close()
            raise
        return trio.SocketStream(sock)

    async def _read(self, *, stream: trio.SocketStream) -> tuple[int, bytes]:
        raw = b""
        while (end := raw.find(b"\r\n\r\n")) < 0:
            raw += await self._more(stream=stream)
        head = raw[:end].lower().split(b"\r\n")
        rows = dict(row.split(b":", 1) for row in head[1:])
        size = int(rows[b"content-length"]) if b"content-length" in rows else 0
        if size > _MOST:
            raise ValueError("answer too large")
        while len(raw) < end + 4 + size:
            raw += await self._more(stream=stream)
        if rows.get(b"connection", b"").strip() == b"close":
            await self.close()
        return int(head[0].split(b" ")[1]), raw[end + 4 :]

    @staticmethod
    async def _more(*, stream: trio.SocketStream) -> bytes:
        data = await stream.receive_some(65536)
        if not data:
            raise OSError("closed")
        return bytes(data)

    async def close(self) -> None:
        """Let go."""
        stream, self._stream = self._stream, None
        if stream is not None:
            await trio.aclose_forcefully(stream)
