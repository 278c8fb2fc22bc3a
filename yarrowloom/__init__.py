"""yarrowloom: a cluster scheduler for jobs."""

__version__ = "0.1.0"
