"""Tenants of a simulated cluster: their keys and bounds, and the judge of what they have running."""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from typing import Any

Amounts = tuple[int, int, int]  # millicores, memory in MB, GPUs
SIZE_KEYS = ("cpus", "mem-mb", "gpus")


@dataclass(frozen=True, slots=True, kw_only=True)
class SimTenant:
    """A tenant.

    Attributes:
        name: Its name.
        key: The key that its calls carry.
        upper_bound: What its tasks may hold together; 0: no limit.
        share: Jobs a second that it is entitled to; 0: not said.
    """

    name: str
    key: str
    upper_bound: Amounts = (0, 0, 0)
    share: float = 0.0

    def row(self) -> dict[str, Any]:
        """Its row of the published tenant table."""
        return {
            "name": self.name,
            "api-keys": [self.key],
            "rank": 1,
            "share": self.share,
            "upper-bound": dict(zip(SIZE_KEYS, self.upper_bound, strict=True)),
        }


def headers_of(tenant: SimTenant | None) -> dict[str, str]:
    """The header that carries a tenant's key; none for callers of no tenant.

    >>> headers_of(SimTenant(name="a", key="k"))
    {'authorization': 'Token k'}
    """
    return {"authorization": f"Token {tenant.key}"} if tenant is not None else {}


StepOf = Callable[[str], Mapping[str, Any]]  # the step of a task


def used_by(*, tenant: SimTenant, running: Iterable[str], step_of: StepOf) -> list[int]:
    """What a tenant's running tasks hold together, in the order of its bound."""
    steps = [step_of(name) for name in running]
    return [sum(int(step.get(key, 0)) for step in steps) for key in SIZE_KEYS]


def breach_of_bound(*, tenant: SimTenant, running: list[str], started: str, step_of: StepOf) -> str:
    """How a start breaks its tenant's bound; empty if it doesn't. A task that is wider than the bound may run alone.

    Args:
        tenant: The tenant.
        running: The tasks of the tenant that run, with the one that starts.
        started: The task that starts.
        step_of: The step of a task.
    """
    used = used_by(tenant=tenant, running=running, step_of=step_of)
    within = (not limit or total <= limit for total, limit in zip(used, tenant.upper_bound, strict=True))
    if len(running) <= 1 or all(within):
        return ""
    return f"QUOTA {started}: tenant {tenant.name} has {used} running of {list(tenant.upper_bound)}"
