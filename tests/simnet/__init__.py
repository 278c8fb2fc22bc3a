"""The simulated cluster, under the name that tests know."""

from yarrowloom.sim.cluster import BOUNDS, BUSY, PORTS, Sim
from yarrowloom.sim.process import Disk, Proc

__all__ = ["BOUNDS", "BUSY", "PORTS", "Disk", "Proc", "Sim"]
