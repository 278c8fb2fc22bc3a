"""The disk: a ring of preallocated files holding one journal for all that a node keeps."""

from .ring import END, Ring

__all__ = ["END", "Ring"]
