"""Jobs: how they are handed in, and the record that keeps them."""

from .spec import Step, group_of, job_id, parse
from .state import ENDED, Jobs, State

__all__ = ["ENDED", "Jobs", "State", "Step", "group_of", "job_id", "parse"]
