"""The judge, under the name that tests know."""

from yarrowloom.sim.judge import ENDS, Judge, owner

__all__ = ["ENDS", "Judge", "owner"]
