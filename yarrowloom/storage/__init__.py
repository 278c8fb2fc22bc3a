"""The disk: a ring of preallocated files holding one journal for all that a node keeps."""

from .filesystem import FileSystem, OsFileSystem
from .ring_journal import END, Ring, Verdict, file_sizes
from .startup_retry import until_taken

__all__ = ["END", "FileSystem", "OsFileSystem", "Ring", "Verdict", "file_sizes", "until_taken"]
