"""Jobs: how they are handed in, and the record that keeps them."""

from .state_machine import ENDED, Jobs, State
from .submission import Step, group_of, is_job_id, parse

__all__ = ["ENDED", "Jobs", "State", "Step", "group_of", "is_job_id", "parse"]
