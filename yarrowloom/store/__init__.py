"""The disk: a ring of preallocated files holding one journal for all that a node keeps."""

from .ring import Ring

__all__ = ["Ring"]
