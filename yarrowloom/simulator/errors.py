"""Errors of the simulator itself; a rule that the simulated system breaks is no error but a result."""

from ..common.errors import YarrowError


class SimulationError(YarrowError):
    """The simulation cannot go on, or was asked for what it does not hold."""

    code = "simulation"


class FaultsError(YarrowError):
    """A file of faults cannot be used."""

    code = "faults-invalid"
    exit_code = 78
