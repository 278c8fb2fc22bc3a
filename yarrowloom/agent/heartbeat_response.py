"""What a beat is answered, and when: at once, or a little later if orders are about to come."""

from typing import TYPE_CHECKING, Any

from ..transport.http_server import Response
from .minion import Minion, Phase, Run

if TYPE_CHECKING:
    from .agent import Agent

IDLE_WAIT_S = 0.6  # a minion that runs nothing has nothing to tell: its beat may wait for an order
ENDS_WAIT_S = 0.08  # a beat with ends waits this long for their acknowledgement and the next orders
LATE_S = 0.85  # an answer later than a second would be dropped
GONE_BEATS = 4
STILL_S = 1.5  # a run without progress this long, and STILL_X times a percent's time, is moved
STILL_X = 5.0
GREY_S = 3.0  # and its minion gets nothing new for this long
BUSY_MS = 200
FULL_MS = 500


def settle(*, agent: "Agent", m: Minion, beat: bool) -> None:
    """Compare what the beat lists with what is owed. Only a beat that has just come tells of orders sent before it."""
    now = agent.environment.now
    for r in list(m.runs.values()):
        row = m.running.get(r.task)
        if row is not None and row[0] == r.run:
            if not r.live:
                r.live, r.since, r.spec, r.first = True, now, "", row[2]
            if row[2] != r.pct or not r.moved:
                r.moved = now
            r.miss, r.pct = 0, row[2]
            if beat and stands_still(r=r, now=now):
                r.stop = True  # it goes on elsewhere
                m.grey = now + GREY_S
            if row[1]:
                r.saved = row[1]
        elif m.ended(task=r.task, run=r.run):
            r.miss = 0
        elif r.live:
            r.miss += beat
        elif beat and r.stop:
            agent.refuse(m=m, r=r)  # neither carried out nor wanted any more
        elif beat:
            r.sent = False  # the order was not carried out: it goes out once more
        if r.miss >= GONE_BEATS and len(m.ends) < 400:
            agent.refuse(m=m, r=r)  # it ran, and runs no more, and no end of it is listed
    attached = agent.attached(m=m)
    m.strays = {t: row[0] for t, row in m.running.items() if t not in m.runs} if attached else {}
    if m.draining:
        _drain(agent=agent, m=m)


def stands_still(*, r: Run, now: float) -> bool:
    """No progress for several times as long as a percent took so far; the wait grows with each run of the task, so
    that work whose percents take long is not moved for ever.

    >>> stands_still(r=Run(task="t", run=1, group_id=1, lease_id=1, since=1.0, pct=50.0, moved=2.0), now=3.0)
    False
    >>> stands_still(r=Run(task="t", run=1, group_id=1, lease_id=1, since=1.0, pct=50.0, moved=2.0), now=4.0)
    True
    >>> slow = Run(task="t", run=1, group_id=1, lease_id=1, since=1.0, pct=50.0, first=50.0, est=200000)
    >>> stands_still(r=slow, now=4.0)
    False
    """
    if not 0 < r.pct < 100 or r.est < 0:
        return False
    gained = r.pct - r.first
    each = (r.moved - r.since) / gained if gained > 0 else r.est / 100_000 or 1.0
    return now - max(r.moved, r.since) > max(STILL_S, STILL_X * each) * r.run


def _drain(*, agent: "Agent", m: Minion) -> None:
    """Stop what cannot end before the minion leaves, so that it goes on elsewhere."""
    now = agent.environment.now
    left = m.leave - now - agent.stop_ms / 1000 - 0.4
    for r in m.runs.values():
        if r.live and not r.stop:
            ran = max(now - r.since, 0.05)
            rest = ran * (100 - r.pct) / r.pct if r.pct > 0 else 1e9
            if rest > left:
                r.stop = True


def answer(*, agent: "Agent", m: Minion, fresh: bool = False) -> None:
    """Answer the waiting beat if it is time or if there is something to say."""
    environment, call = agent.environment, m.call
    if call is None:
        return
    now = environment.now
    if not environment.trusted() or m.phase is not Phase.KNOWN:
        m.call = None
        environment.respond(call=call.key, response=Response(status=503))
        return
    shut = m.draining or environment.evacuated(zone=m.zone)
    attached = agent.attached(m=m)
    if shut:
        for r in [r for r in m.runs.values() if not r.sent and not r.live]:
            agent.refuse(m=m, r=r)
    todo = [r for r in m.runs.values() if not r.sent and not r.live and not r.stop] if attached else []
    stops = [[r.task, r.run] for r in m.runs.values() if r.stop and r.sent]
    stops += [[t, run] for t, run in m.strays.items()]
    owed = any(n > m.seen and n not in m.acked for n in m.ends)
    if fresh:
        if owed:
            call.horizon = call.at + ENDS_WAIT_S
        elif not m.running and not m.draining:
            call.horizon = call.at + IDLE_WAIT_S
    if now < call.horizon and not todo and not stops and (owed or fresh or not m.ends):
        return
    m.call = None
    if now - call.at > LATE_S:
        environment.respond(call=call.key, response=Response(status=503))
        return
    out: dict[str, Any] = {"hold-ms": agent.hold_ms, "fence-no": m.fence, "last-seen": m.seen}
    if todo:
        out["started"] = [[r.task, r.run, r.spec, r.saved] for r in todo]
        for r in todo:
            r.sent = True
    if stops:
        out["stopped"] = stops
    if not m.running and not todo:
        wait = 1 if attached else 50
    elif m.draining or stops:
        wait = 150
    else:
        cpu, mem, gpu = m.free()
        wait = BUSY_MS if cpu * 8 > m.cap[0] and mem * 16 > m.cap[1] else FULL_MS
    out["retry-after-ms"] = wait
    m.pause = now + wait / 1000 - m.heard
    environment.respond(call=call.key, response=Response.of(200, out))
