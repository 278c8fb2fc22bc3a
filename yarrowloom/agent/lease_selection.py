"""Which minions a request for room gets: pure functions of the agent's own table."""

from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from .agent import Agent
    from .minion import Minion


def fits(*, row: list[Any], b: dict[str, Any]) -> bool:
    """Whether a minion's row of a room view could take one task.

    >>> fits(row=[4000, 100, 0, ["a", "r1"], [4000, 100, 0], "m"], b={"cpu": 500, "mem": 10, "gpu": 0, "req": "a"})
    True
    >>> fits(row=[4000, 100, 0, ["b", "r1"], [4000, 100, 0], "m"], b={"cpu": 500, "mem": 10, "gpu": 0, "req": "a"})
    False
    """
    return bool(
        row[0] >= b["cpu"]
        and row[1] >= b["mem"]
        and row[2] >= b["gpu"]
        and (not b["req"] or b["req"] in row[3])
        and (not b.get("strict") or b["near"] in row[3])
        and row[5] not in b.get("off", ())
        and not any(label in row[3] for label in b.get("shun", ()))
    )


def rack(*, labels: list[str]) -> str:
    """The rack label: by the published order, a minion's kind comes first and its rack second."""
    return labels[1] if len(labels) > 1 else ""


def named(*, agent: "Agent", b: dict[str, Any]) -> list["Minion"]:
    """Of the minions that a cycle chose, those that can take what was planned (one entry a lease); all or none where
    `all` is asked. The agent decides by its own table: the cycle's snapshot may be old.
    """
    out: list[Minion] = []
    for minion_id, n in b["on"]:
        m = agent.minions.get(minion_id)
        if (
            m is None
            or m.service != b["svc"]
            or (b["req"] and b["req"] not in m.labels)
            or b["g"] not in m.att
            or (not agent.open(m=m))
        ):
            continue
        free = m.free()
        for need, have in ((b["cpu"], free[0]), (b["mem"], free[1]), (b["gpu"], free[2])):
            n = min(n, have // need) if need else n if have >= 0 else 0
        if b["apart"]:
            n = min(n, b["apart"] - b["avoid"].get(minion_id, 0))
        out += [m] * n
    return [] if b.get("all") and len(out) < b["n"] else out


def pick(*, agent: "Agent", b: dict[str, Any]) -> list["Minion"]:
    """Minions for up to n leases (one entry a lease), best first; all or none where `all` is asked."""
    free: dict[str, list[int]] = {}
    rows: list[Minion] = []
    for m in agent.minions.values():
        if m.service == b["svc"] and (not b["req"] or b["req"] in m.labels) and b["g"] in m.att and agent.open(m=m):
            cpu, mem, gpu = m.free()
            if cpu >= b["cpu"] and mem >= b["mem"] and gpu >= b["gpu"]:
                free[m.minion_id] = [cpu, mem, gpu]
                rows.append(m)
    if b.get("off"):
        rows = [m for m in rows if m.minion_id not in b["off"]]
    if b.get("shun"):
        rows = [m for m in rows if not any(label in m.labels for label in b["shun"])]
    if b.get("near") and b.get("strict"):
        rows = [m for m in rows if b["near"] in m.labels]
    if b.get("tight"):
        by: dict[str, list[Minion]] = {}
        for m in rows:
            by.setdefault(rack(labels=m.labels), []).append(m)
        best: list[Minion] = []
        for name in sorted(by):
            got = _fill(rows=by[name], free={m.minion_id: list(free[m.minion_id]) for m in by[name]}, b=b)
            if len(got) >= b["n"]:
                return got
            if len(got) > len(best):
                best = got
        return [] if b.get("all") else best
    got = _fill(rows=rows, free=free, b=b)
    return [] if b.get("all") and len(got) < b["n"] else got


def _fill(*, rows: list["Minion"], free: dict[str, list[int]], b: dict[str, Any]) -> list["Minion"]:
    """Spread or pack: near data first, then the minion whose free room is the tightest fit."""
    gpu_job = b["gpu"] > 0
    used: dict[str, int] = {}
    out: list[Minion] = []

    def cost(m: "Minion") -> tuple[Any, ...]:
        cpu, _, gpu = free[m.minion_id]
        far = bool(b.get("near")) and b["near"] not in m.labels
        # Work without GPUs keeps off minions that have them free.
        return (far, 0 if gpu_job else gpu, gpu if gpu_job else 0, cpu, m.minion_id)

    order = sorted(rows, key=cost)
    for m in order:
        room = free[m.minion_id]
        limit = b.get("apart") or 0
        while len(out) < b["n"] and room[0] >= b["cpu"] and room[1] >= b["mem"] and room[2] >= b["gpu"]:
            if limit and b["avoid"].get(m.minion_id, 0) + used.get(m.minion_id, 0) >= limit:
                break
            room[0] -= b["cpu"]
            room[1] -= b["mem"]
            room[2] -= b["gpu"]
            used[m.minion_id] = used.get(m.minion_id, 0) + 1
            out.append(m)
            if b["cpu"] == b["mem"] == b["gpu"] == 0 and used[m.minion_id] >= 64:
                break
    return out
