"""Simulation: a whole cluster in virtual time, its clients, and the checkers of what they saw."""
