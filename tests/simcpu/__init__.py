"""Processor time, under the name that tests know."""

from yarrowloom.sim.processor import Meter, cost

__all__ = ["Meter", "cost"]
