"""The rig: hollow minions, callers and a small cluster on loopback, for anyone without a bench.

Nothing a daemon runs imports this package; plots, samples and histograms need requirements-rig.txt.
"""
