"""What the model checker found: each the shortest way to it, as the choices that are not the calm ones."""

from tests.scheduling.test_binding_model import GANG
from tests.support.binding_explorer import attached, choices, do, left
from tests.support.binding_model import TWO, Choice


def test_a_placing_node_forgets_the_lease_of_a_gang_member_whose_order_was_lost() -> None:
    """The order of one member is lost; the other member is done before the gap makes the agent ask for a new
    attachment. The whole gang is done in the record, so the attachment lists no run, the agent has none and never
    tells of an end, and nothing else takes the member out of `HeldLeases.by_task`: its entry stays as long
    as the node."""
    trail: dict[int, Choice] = {10: ("lose", "p2.1", "a2"), 17: ("end", "i1", f"{TWO}.0.0.0", "done")}
    world = attached([(TWO, [GANG])])
    for step in range(200):
        c = trail.get(step, choices(world)[0])
        assert c in choices(world)
        do(world, c)
    assert world.schedulers[2].context.jobs.jobs[TWO].state == "complete"
    assert not any(m.leases for a in world.agents.values() for m in a.minions.values())
    assert left(world) == []
