"""A simulated disk: files and names with what a sync has covered, loss of power with every outcome, errors to order.

After a loss of power a file holds what its last sync covered; each later write is there, torn or missing by itself, and
each name that was made, renamed or removed without a sync of its folder is kept or lost by itself. After a failed sync
the writes that it should have covered are in doubt for good: a later sync that succeeds covers later writes only.
"""

import copy
import errno
import itertools
import math
import os
import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum


class PowerCutError(Exception):
    """The machine lost power at a call. No `OSError`: no program can go on after it."""


class Operation(Enum):
    """Calls that change the disk, or what of it is durable."""

    CREATE = "create"
    WRITE = "write"
    SYNC = "sync"
    SYNC_DATA = "sync-data"
    SYNC_FOLDER = "sync-folder"
    RENAME = "rename"
    REMOVE = "remove"


@dataclass(slots=True, kw_only=True)
class Trouble:
    """Calls of one kind that fail or take long: the first `after` pass, the next `times` are hit."""

    operation: Operation
    error: int | None = None  # errno, e.g. `errno.ENOSPC`
    after: int = 0
    times: int = 1
    taken_bytes: int = 0  # of a refused write: what the file took before the error
    stall_s: float = 0.0


@dataclass(frozen=True, slots=True, kw_only=True)
class Outcome:
    """What a power failure leaves of unsynced changes.

    Attributes:
        names: For each entry of `SimDisk.unsynced_names`, in its order, whether the latest change is kept.
        writes: For each entry of `SimDisk.unsynced_writes`, in its order, how many bytes are kept.
    """

    names: tuple[bool, ...]
    writes: tuple[int, ...]


@dataclass(slots=True, kw_only=True)
class _Write:
    position: int
    data: bytes
    synced: bool = False
    in_doubt: bool = False  # a sync of it failed

    def apply(self, *, content: bytearray, kept: int) -> None:
        if kept == 0:
            return
        if len(content) < self.position:
            content.extend(bytes(self.position - len(content)))
        content[self.position : self.position + kept] = self.data[:kept]


@dataclass(slots=True, kw_only=True)
class _File:
    durable: bytearray = field(default_factory=bytearray)
    content: bytearray = field(default_factory=bytearray)
    writes: list[_Write] = field(default_factory=list)  # since `durable`, in order

    def copy(self) -> "_File":
        """A file of its own with the same past."""
        return _File(durable=self.durable[:], content=self.content[:], writes=[copy.copy(w) for w in self.writes])

    def cover(self) -> None:
        """A sync has succeeded."""
        for write in self.writes:
            write.synced = write.synced or not write.in_doubt
        while self.writes and self.writes[0].synced:
            write = self.writes.pop(0)
            write.apply(content=self.durable, kept=len(write.data))

    def doubt(self) -> None:
        """A sync has failed."""
        for write in self.writes:
            write.in_doubt = not write.synced

    def settle(self, *, kept: Iterator[int]) -> None:
        """Power was lost; `kept` gives the bytes left of each unsynced write."""
        content = bytearray(self.durable)
        for write in self.writes:
            write.apply(content=content, kept=len(write.data) if write.synced else next(kept))
        self.content, self.durable, self.writes = content, bytearray(content), []


class SimDisk:
    """A `FileSystem` in memory. A copy of it is another disk with the same past."""

    def __init__(self, *, room_bytes: int | None = None, wait: Callable[[float], None] | None = None) -> None:
        self.calls = 0  # calls so far that change the disk
        self.cut_at: int | None = None  # power is lost when this call begins
        self.room_bytes = room_bytes
        self.troubles: list[Trouble] = []
        self.stalled_s = 0.0
        self._wait = wait
        self._names: dict[str, _File] = {}
        self._durable_names: dict[str, _File] = {}
        self._handles: dict[int, _File] = {}
        self._next_handle = 3

    def copy(self) -> "SimDisk":
        """A disk of its own in the same state."""
        other = copy.copy(self)
        files = {id(file): file.copy() for file in (*self._files(), *self._handles.values())}
        other.troubles = [copy.copy(trouble) for trouble in self.troubles]
        other._names = {name: files[id(file)] for name, file in self._names.items()}
        other._durable_names = {name: files[id(file)] for name, file in self._durable_names.items()}
        other._handles = {handle: files[id(file)] for handle, file in self._handles.items()}
        return other

    # -- the operations of a FileSystem

    def make_folder(self, *, path: str) -> None:
        """Folders are always there."""

    def open(self, *, path: str, create: bool) -> int:
        """Open a file for reading and writing."""
        if path not in self._names:
            if not create:
                raise FileNotFoundError(errno.ENOENT, os.strerror(errno.ENOENT), path)
            self._begin(operation=Operation.CREATE)
            self._names[path] = _File()
        self._next_handle += 1
        self._handles[self._next_handle] = self._names[path]
        return self._next_handle

    def size(self, *, handle: int) -> int:
        """Length of the file."""
        return len(self._file(handle=handle).content)

    def read(self, *, handle: int) -> bytes:
        """Read the whole file, synced or not."""
        return bytes(self._file(handle=handle).content)

    def write(self, *, handle: int, position: int, data: bytes) -> None:
        """Write; a refused write leaves what the trouble says, one without room what there was room for."""
        file = self._file(handle=handle)
        trouble = self._trouble(operation=Operation.WRITE)
        taken = len(data)
        error = trouble.error if trouble is not None else None
        if error is not None and trouble is not None:
            taken = min(trouble.taken_bytes, taken)
        if self.room_bytes is not None:
            left = max(0, self.room_bytes - self.used_bytes() + len(file.content) - position)
            if left < taken:
                taken, error = left, errno.ENOSPC
        if taken:
            write = _Write(position=position, data=bytes(data[:taken]))
            write.apply(content=file.content, kept=taken)
            file.writes.append(write)
        self._raise(error=error)

    def sync(self, *, handle: int) -> None:
        """Cover all writes of a file."""
        self._sync(handle=handle, operation=Operation.SYNC)

    def sync_data(self, *, handle: int) -> None:
        """Cover all writes of a file."""
        self._sync(handle=handle, operation=Operation.SYNC_DATA)

    def sync_folder(self, *, path: str) -> None:
        """Make the names in a folder durable as they are."""
        self._begin(operation=Operation.SYNC_FOLDER)
        for name in set(self._names) | set(self._durable_names):
            if os.path.dirname(name) == path:
                self._settle_name(name=name, kept=True)

    def close(self, *, handle: int) -> None:
        """Release the handle; nothing is synced by it."""
        self._file(handle=handle)
        del self._handles[handle]

    def rename(self, *, old: str, new: str) -> None:
        """Rename a file; both names are unsynced afterwards."""
        self._begin(operation=Operation.RENAME)
        self._names[new] = self._names.pop(old)

    def remove(self, *, path: str) -> None:
        """Remove a name."""
        self._begin(operation=Operation.REMOVE)
        del self._names[path]

    # -- the world's side

    def used_bytes(self) -> int:
        """What all files take."""
        return sum(len(file.content) for file in self._names.values())

    def content(self, *, path: str) -> bytes | None:
        """What a file holds now, `None` if there is none."""
        file = self._names.get(path)
        return None if file is None else bytes(file.content)

    def damage(self, *, path: str, content: bytes | None) -> None:
        """Put other bytes in a file's place, durably, or remove it: what no working disk does."""
        self._names.pop(path, None)
        self._durable_names.pop(path, None)
        if content is not None:
            file = _File(durable=bytearray(content), content=bytearray(content))
            self._names[path] = self._durable_names[path] = file

    def kill(self) -> None:
        """The process ends: files stay as they are, synced or not."""
        self._handles.clear()
        self.cut_at = None

    def unsynced_names(self) -> list[str]:
        """Names that a loss of power may bring back to their last durable state."""
        names = sorted(set(self._names) | set(self._durable_names))
        return [name for name in names if self._names.get(name) is not self._durable_names.get(name)]

    def unsynced_writes(self) -> list[int]:
        """Lengths of the writes that a loss of power may take or tear."""
        return [len(write.data) for file in self._files() for write in file.writes if not write.synced]

    def outcomes(self, *, rng: random.Random, most: int, cuts: Callable[[int], list[int]]) -> Iterator[Outcome]:
        """Yield the possible outcomes of a power failure.

        Args:
            rng: Selects among the outcomes if there are more than `most`.
            most: The number of outcomes at most; the two extremes are always among them.
            cuts: Returns the positions in bytes at which a write of a given length may be torn.
        """
        names = [(False, True)] * len(self.unsynced_names())
        writes = [sorted({0, length, *cuts(length)}) for length in self.unsynced_writes()]
        if 2 ** len(names) * math.prod(map(len, writes)) <= most:
            for kept_names in itertools.product(*names):
                for kept_writes in itertools.product(*writes):
                    yield Outcome(names=kept_names, writes=kept_writes)
            return
        yield Outcome(names=(False,) * len(names), writes=(0,) * len(writes))
        yield Outcome(names=(True,) * len(names), writes=tuple(row[-1] for row in writes))
        for _ in range(most - 2):
            yield Outcome(
                names=tuple(rng.random() < 0.5 for _ in names), writes=tuple(rng.choice(row) for row in writes)
            )

    def lose_power(self, *, outcome: Outcome) -> None:
        """The power goes; afterwards all that is left is durable."""
        self.kill()
        kept = iter(outcome.writes)
        for file in self._files():
            file.settle(kept=kept)
        for name, keep in zip(self.unsynced_names(), outcome.names, strict=True):
            self._settle_name(name=name, kept=keep)

    # -- details

    def _files(self) -> list[_File]:
        """Files that have a name, or may have one after a loss of power, in a fixed order."""
        files: dict[int, _File] = {}
        for name in sorted(set(self._names) | set(self._durable_names)):
            for names in (self._names, self._durable_names):
                if name in names:
                    files.setdefault(id(names[name]), names[name])
        return list(files.values())

    def _settle_name(self, *, name: str, kept: bool) -> None:
        source, target = (self._names, self._durable_names) if kept else (self._durable_names, self._names)
        if name in source:
            target[name] = source[name]
        else:
            target.pop(name, None)

    def _file(self, *, handle: int) -> _File:
        if handle not in self._handles:
            raise OSError(errno.EBADF, os.strerror(errno.EBADF))
        return self._handles[handle]

    def _sync(self, *, handle: int, operation: Operation) -> None:
        file = self._file(handle=handle)
        trouble = self._trouble(operation=operation)
        if trouble is not None and trouble.error is not None:
            file.doubt()
            self._raise(error=trouble.error)
        file.cover()

    def _begin(self, *, operation: Operation) -> None:
        trouble = self._trouble(operation=operation)
        self._raise(error=trouble.error if trouble is not None else None)

    def _trouble(self, *, operation: Operation) -> Trouble | None:
        """Count a call; the trouble that hits it, if any."""
        self.calls += 1
        if self.calls == self.cut_at:
            raise PowerCutError
        for trouble in self.troubles:
            if trouble.operation is not operation or trouble.times == 0:
                continue
            if trouble.after:
                trouble.after -= 1
                continue
            trouble.times -= 1
            self.stalled_s += trouble.stall_s
            if trouble.stall_s and self._wait is not None:
                self._wait(trouble.stall_s)
            return trouble
        return None

    @staticmethod
    def _raise(*, error: int | None) -> None:
        if error is not None:
            raise OSError(error, os.strerror(error))
