"""The simulator: the real nodes under simulated time, network, disks, clocks, minions, callers and operators.

One seed is one run. `cluster` holds the machines and what connects them, `minions` and `workload` those who work and
ask, `judge` the rules on jobs.
"""
