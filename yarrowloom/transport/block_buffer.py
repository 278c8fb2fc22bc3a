"""Bytes that are collected over time, in blocks of one size.

Many buffers that grow side by side by reallocation leave holes that none of them fits into: the process then has two or
three times the memory that they hold. Blocks of one size take each other's places.
"""

BLOCK_BYTES = 16 * 1024


class BlockBuffer:
    """Collected bytes."""

    __slots__ = ("_blocks", "_size_bytes")

    def __init__(self) -> None:
        self._blocks: list[bytearray] = []
        self._size_bytes = 0

    def __len__(self) -> int:
        return self._size_bytes

    @property
    def capacity_bytes(self) -> int:
        """Memory of its blocks."""
        return len(self._blocks) * BLOCK_BYTES

    def append(self, data: bytes | bytearray | memoryview) -> None:
        """Add bytes at the end."""
        rest = memoryview(data)
        while rest:
            start = self._size_bytes % BLOCK_BYTES
            if start == 0:
                self._blocks.append(bytearray(BLOCK_BYTES))
            taken = rest[: BLOCK_BYTES - start]
            self._blocks[-1][start : start + len(taken)] = taken
            self._size_bytes += len(taken)
            rest = rest[len(taken) :]

    def take(self) -> bytes:
        """All bytes, which are not held any more.

        >>> buffer = BlockBuffer()
        >>> buffer.append(b"a" * 20_000)
        >>> buffer.append(b"bc")
        >>> len(buffer), buffer.capacity_bytes, buffer.take()[-3:], len(buffer)
        (20002, 32768, b'abc', 0)
        """
        used = self._size_bytes % BLOCK_BYTES
        if used:
            del self._blocks[-1][used:]
        data = b"".join(self._blocks)
        self.clear()
        return data

    def clear(self) -> None:
        """Hold nothing any more."""
        self._blocks.clear()
        self._size_bytes = 0
