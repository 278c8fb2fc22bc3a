"""What an agent does as time goes on: looks after its minions, claims them of groups, calls the silent ones lost."""

from typing import TYPE_CHECKING, Any

from ..transport.envelope import Kind
from .heartbeat_response import answer
from .minion import Minion, Phase

if TYPE_CHECKING:
    from .agent import Agent

CLOCK = 1.02  # a minion's clock may be this much slow
SLACK_S = 0.3
CLAIM_S = 0.3
THAW_S = 0.5
SCAN_S = 0.2  # how often every minion is looked at; what is due sooner is looked at each tick


def care(*, agent: "Agent") -> None:
    """Called several times a second."""
    now, environment = agent.environment.now, agent.environment
    gap, agent.ticked = now - agent.ticked, now
    if gap > THAW_S or not agent.trust:  # beats may lie unread, or were turned away: no silence of theirs
        for m in agent.minions.values():
            m.heard = max(m.heard, min(now, m.heard + gap))
    agent.trust = environment.trusted()
    if not agent.trust:
        return
    claims: dict[int, list[Any]] = {}
    primaries = {
        group_id: primary
        for group_id in agent.groups
        if (primary := environment.primary(group_id=group_id)) is not None
    }
    whole = now - agent.scanned > SCAN_S
    if whole:
        agent.scanned = now
        look, agent.watch = list(agent.minions.values()), set()
        agent.share.refresh()
    else:
        look = [agent.minions[minion_id] for minion_id in sorted(agent.watch) if minion_id in agent.minions]
    for m in look:
        if not whole and m.phase is Phase.KNOWN and len(m.att) == len(agent.groups):
            if m.ends:
                agent.tell(m=m)
            if m.call is not None and now >= m.call.horizon:
                answer(agent=agent, m=m)
            if not m.ends and m.call is None:
                agent.watch.discard(m.minion_id)
            continue
        if m.phase is not Phase.LOST and (
            now - m.heard > agent.hold_ms / 1000 * CLOCK + SLACK_S or (m.losing and now > m.losing)
        ):
            m.move(Phase.LOST)
            m.asked = 0
            agent.share.stale.add(m.minion_id)
            environment.note(event="minion-lost", minion=m.minion_id, runs=len(m.runs), left=bool(m.losing))
        if m.phase is Phase.LOST:
            _lose(agent=agent, m=m)
        elif m.phase is Phase.KNOWN:
            _keep(agent=agent, m=m, claims=claims, primaries=primaries)
    for group_id, rows in claims.items():
        environment.send(node_id=primaries[group_id][0], kind=Kind.CLAIM_MINIONS, body={"g": group_id, "x": rows})
    agent.share.tell()


def _keep(*, agent: "Agent", m: Minion, claims: dict[int, list[Any]], primaries: dict[int, tuple[str, int]]) -> None:
    """Look after a minion that answers. `primaries`: uid and epoch of each group's primary, as far as known."""
    now = agent.environment.now
    for group_id, (_, epoch) in primaries.items():
        if group_id in m.att and m.att[group_id][0] < epoch:
            del m.att[group_id]
        if group_id not in m.att and now - m.claimed.get(group_id, -9.0) > CLAIM_S * (1 + m.asked):
            m.claimed[group_id] = now
            m.asked = min(m.asked + 1, 4)
            claims.setdefault(group_id, []).append([m.minion_id, m.fence, m.service, m.zone, m.labels, list(m.cap)])
    for lease_id, les in list(m.leases.items()):
        if les.until and not les.task and now > les.until:
            m.reclaim(lease_id=lease_id)
            agent.share.stale.add(m.minion_id)
    if (m.minion_id in agent.share.shown) != agent.open(m=m):
        agent.share.stale.add(m.minion_id)
    if m.runs and agent.overdue(m=m):  # what was never sent goes elsewhere, long before the minion counts as lost
        for r in [r for r in m.runs.values() if not r.sent and not r.live]:
            agent.refuse(m=m, r=r)
    if m.ends:
        agent.tell(m=m)
    if m.call is not None and now >= m.call.horizon:
        answer(agent=agent, m=m)
    if m.ends or m.call is not None or len(m.att) < len(agent.groups):
        agent.watch.add(m.minion_id)


def _lose(*, agent: "Agent", m: Minion) -> None:
    now = agent.environment.now
    left = [group_id for group_id in agent.groups if group_id not in m.lostok]
    agent.watch.add(m.minion_id)
    if not left:
        agent.environment.gone(minion_id=m.minion_id, fence=m.fence)
    elif now - m.claimed.get(-1, -9.0) > CLAIM_S * (1 + m.asked):
        m.claimed[-1] = now
        m.asked = min(m.asked + 1, 4)
        saved = {t: v for t, (_, v, _) in m.running.items() if v}
        for group_id in left:
            prim = agent.environment.primary(group_id=group_id)
            if prim is not None:
                agent.environment.send(
                    node_id=prim[0],
                    kind=Kind.MINION_LOST,
                    body={"g": group_id, "m": m.minion_id, "f": m.fence, "v": saved},
                )
