"""Minions are lost only once they cannot hold on to their runs any more."""

from tests.support.agent_harness import FENCE, MINION, AgentHarness
from yarrowloom.agent.messages import MinionLostAcknowledged
from yarrowloom.agent.minion import Phase
from yarrowloom.transport.message_kinds import Kind


def test_silent_minion_is_lost_only_after_its_longest_hold(harness: AgentHarness) -> None:
    sent_at = harness.environment.now  # a hold counts from when its heartbeat was sent
    harness.heartbeat()
    while harness.minion.phase is not Phase.LOST:
        harness.tick()
    assert harness.environment.now - sent_at >= 4.0 * 1.02
    assert harness.environment.last(Kind.MINION_LOST)["m"] == MINION
    assert harness.environment.removed_minions == []
    for group_id in (1, 2):
        harness.deliver(MinionLostAcknowledged, {"g": group_id, "m": MINION, "f": FENCE})
    harness.agent.tick()
    assert harness.environment.removed_minions == [MINION]


def test_silence_while_the_process_stood_still_is_excused(harness: AgentHarness) -> None:
    harness.heartbeat()
    harness.tick()
    harness.environment.now += 30.0
    harness.agent.tick()
    assert harness.minion.phase is Phase.KNOWN


def test_silence_while_the_agent_was_not_trusted_is_excused(harness: AgentHarness) -> None:
    harness.heartbeat()
    harness.environment.is_trusted = False
    for _ in range(200):
        harness.tick()
    harness.environment.is_trusted = True
    harness.tick()
    assert harness.minion.phase is Phase.KNOWN


def test_lost_minion_that_calls_again_is_sent_to_another_node(harness: AgentHarness) -> None:
    harness.heartbeat()
    while harness.minion.phase is not Phase.LOST:
        harness.tick()
    assert harness.heartbeat() == {"status": 503}
