"""The simulator: the real nodes under simulated time, network, disks, clocks, minions, clients and operators.

One seed is one run. `cluster` and `machines` hold the machines and what connects them, `minions` and `workload` those
who work and ask, `faults` what goes wrong, `judges` the rules that a run is checked by.
"""
