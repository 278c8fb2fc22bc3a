"""What the system learns from the events of jobs: when kinds of jobs are called, and how long their tasks run.

Pure: no sockets, no clocks. `History` is state that the reducer of jobs feeds; `WarmPlanner` and the functions of
backfill are for nodes that schedule.
"""

from .history import History
from .job_kind import Basis, Prediction, TaskShape, kind_key, queue_key
from .run_times import RunTimeQuantiles
from .warm_plan import WarmLimits, WarmPlanner, WarmRequest

__all__ = [
    "Basis",
    "History",
    "Prediction",
    "RunTimeQuantiles",
    "TaskShape",
    "WarmLimits",
    "WarmPlanner",
    "WarmRequest",
    "kind_key",
    "queue_key",
]
