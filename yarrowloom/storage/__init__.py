"""The disk: a ring of preallocated files holding one journal for all that a node keeps."""

from .filesystem import FileSystem, OsFileSystem
from .ring_journal import FileSizes, RingJournal, file_sizes
from .ring_recovery import SNAPSHOT_END, JournalState
from .startup_retry import retry_disk_call

__all__ = [
    "SNAPSHOT_END",
    "FileSizes",
    "FileSystem",
    "JournalState",
    "OsFileSystem",
    "RingJournal",
    "file_sizes",
    "retry_disk_call",
]
