"""Simulated minions and callers, under the name that tests know."""

from yarrowloom.sim.minions import HOST, SLOW, Oracle, SimCaller, SimMinion, cluster, config

__all__ = ["HOST", "SLOW", "Oracle", "SimCaller", "SimMinion", "cluster", "config"]
