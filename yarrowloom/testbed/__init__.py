"""The testbed: simulated minions, clients and a small cluster of real processes on loopback.

Nothing that a node runs imports this package; plots, samples and histograms need requirements-rig.txt.
"""
