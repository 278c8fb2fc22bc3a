"""Links of a bandwidth, under the name that tests know."""

from yarrowloom.sim.links import LinkSim, large, patched, put

__all__ = ["LinkSim", "large", "patched", "put"]
