"""The file operations that the journal needs: a protocol, and the operating system behind it."""

import os
from typing import Protocol


class FileSystem(Protocol):
    """Blocking file operations on numbered handles.

    Each raises `OSError` where the disk refuses. Folders and new names last only once their folder is synced.
    """

    def make_folder(self, *, path: str) -> None:
        """Create a folder and its parents, and make their names durable; one that exists is left alone."""

    def open(self, *, path: str, create: bool) -> int:
        """Open a file for reading and writing.

        Args:
            path: The file's name with its folder.
            create: Whether a missing file is made.

        Returns:
            A handle for the other operations, until `close`.

        Raises:
            FileNotFoundError: The file is missing and `create` is false.
        """

    def size(self, *, handle: int) -> int:
        """Length of the file in bytes."""

    def read(self, *, handle: int) -> bytes:
        """Read the whole file."""

    def write(self, *, handle: int, position: int, data: bytes) -> None:
        """Write all of `data` at `position`; after an error any part of it may have been written."""

    def sync(self, *, handle: int) -> None:
        """Make content and metadata of the file durable."""

    def sync_data(self, *, handle: int) -> None:
        """Make the content durable, and the length that is needed to read it."""

    def sync_folder(self, *, path: str) -> None:
        """Make the names in a folder durable."""

    def close(self, *, handle: int) -> None:
        """Release the handle."""


class OsFileSystem:
    """The operating system's files."""

    def make_folder(self, *, path: str) -> None:
        """Create a folder and sync its parent; one that is there is left alone."""
        if os.path.isdir(path):
            return
        parent = os.path.dirname(os.path.abspath(path))
        self.make_folder(path=parent)
        os.mkdir(path)
        self.sync_folder(path=parent)

    def open(self, *, path: str, create: bool) -> int:
        """Open for reading and writing."""
        return os.open(path, os.O_RDWR | (os.O_CREAT if create else 0), 0o600)

    def size(self, *, handle: int) -> int:
        """Length of the file in bytes."""
        return os.fstat(handle).st_size

    def read(self, *, handle: int) -> bytes:
        """Read the whole file."""
        os.lseek(handle, 0, os.SEEK_SET)
        parts: list[bytes] = []
        remaining_bytes = os.fstat(handle).st_size
        while remaining_bytes > 0:
            part = os.read(handle, remaining_bytes)
            if not part:
                break
            parts.append(part)
            remaining_bytes -= len(part)
        return b"".join(parts)

    def write(self, *, handle: int, position: int, data: bytes) -> None:
        """Write all of `data` at `position`."""
        os.lseek(handle, position, os.SEEK_SET)
        view = memoryview(data)
        while view:
            view = view[os.write(handle, view) :]

    def sync(self, *, handle: int) -> None:
        """Call fsync."""
        os.fsync(handle)

    def sync_data(self, *, handle: int) -> None:
        """Call fdatasync."""
        os.fdatasync(handle)

    def sync_folder(self, *, path: str) -> None:
        """Call fsync on the folder."""
        handle = os.open(path, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)

    def close(self, *, handle: int) -> None:
        """Close the descriptor."""
        os.close(handle)
