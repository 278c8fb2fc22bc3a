"""The disk: a ring of preallocated files holding one journal for all that a node keeps."""

from .files import FileSystem, OsFileSystem
from .retry import until_taken
from .ring import END, Ring, Verdict, file_sizes

__all__ = ["END", "FileSystem", "OsFileSystem", "Ring", "Verdict", "file_sizes", "until_taken"]
