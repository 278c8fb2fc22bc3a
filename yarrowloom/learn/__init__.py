"""What the system learns from its own record: when kinds of job are called, how long their tasks run.

Pure: no sockets, no clocks. `History` is state of the jobs' reducer; the rest is asked by placing nodes."""

from .history import History
from .kind import Form, Prediction, Why
from .runs import Times

__all__ = ["Form", "History", "Prediction", "Times", "Why"]
