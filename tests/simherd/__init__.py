"""Many minions, under the name that tests know."""

from yarrowloom.sim.herd import attached, back, herd, loads, serves

__all__ = ["attached", "back", "herd", "loads", "serves"]
