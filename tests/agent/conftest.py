"""The agent under test."""

import pytest

from tests.support.agent_harness import AgentHarness


@pytest.fixture
def harness() -> AgentHarness:
    return AgentHarness()
