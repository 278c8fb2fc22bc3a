"""What the system learns from its own record: when kinds of job are called, how long their tasks run.

Pure: no sockets, no clocks. `History` is state of the jobs' reducer; `Warm`, `Filler`, `reserve`, `may_fill` and
`in_the_way` are for placing nodes.
"""

from .backfill import Filler, Minion, Reservation, Run, in_the_way, may_fill, reserve
from .history import History
from .job_kind import Form, Prediction, Why, kind_key, queue_key
from .run_times import Times
from .warm_plan import Bounds, Room, Warm

__all__ = [
    "Bounds",
    "Filler",
    "Form",
    "History",
    "Minion",
    "Prediction",
    "Reservation",
    "Room",
    "Run",
    "Times",
    "Warm",
    "Why",
    "in_the_way",
    "kind_key",
    "may_fill",
    "queue_key",
    "reserve",
]
