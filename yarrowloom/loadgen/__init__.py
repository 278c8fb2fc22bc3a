"""The load generator: a seeded mix of jobs against a cluster, with what became of them."""

from .generator import Load, read_key, report

__all__ = ["Load", "read_key", "report"]
