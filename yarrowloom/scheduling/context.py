"""What the parts of one scheduler share."""

from dataclasses import dataclass

from ..jobs.placements import PlacementClient
from ..jobs.state_machine import Jobs
from ..prediction import History
from ..replication.replica import Replica
from .cancellation import Cancellation
from .capacity import ClusterCapacity
from .environment import SchedulerEnvironment
from .held_leases import HeldLeases
from .nomination import Nominator
from .preemption import Preemptor
from .queue_policy import QueuePolicy
from .quotas import TenantQuotas
from .running_tasks import RunningTasks
from .scheduling_queue import SchedulingQueue


@dataclass(frozen=True, slots=True, kw_only=True)
class SchedulerContext:
    """The state of one scheduler; each part of it changes only what its own methods change.

    Attributes:
        group_id: The job group.
        environment: The node that the scheduler is a part of.
        replica: The group's record, which this node is primary of.
        jobs: The group's jobs, as the record has them.
        history: What was learned of earlier jobs.
        capacity: The minions.
        queue: The pod groups that wait.
        policy: What the configuration says of the jobs' queues.
        leases: The leases held.
        cancellation: Stops that are on their way.
        preemptor: Runs that may be preempted.
        nominator: Minions kept for gangs.
        running: Tells the two above of runs.
        placements: The client of the transactions that begin and end runs.
        quotas: What tenants' tasks may hold.
    """

    group_id: int
    environment: SchedulerEnvironment
    replica: Replica
    jobs: Jobs
    history: History
    capacity: ClusterCapacity
    queue: SchedulingQueue
    policy: QueuePolicy
    leases: HeldLeases
    cancellation: Cancellation
    preemptor: Preemptor
    nominator: Nominator
    running: RunningTasks
    placements: PlacementClient
    quotas: TenantQuotas

    @classmethod
    def build(
        cls,
        *,
        group_id: int,
        environment: SchedulerEnvironment,
        replica: Replica,
        jobs: Jobs,
        history: History,
        quota_excess: float = 0.0,
    ) -> "SchedulerContext":
        """A context with nothing known yet but the group's jobs."""
        queue = SchedulingQueue()
        # An epoch has one primary, and so one client of this name.
        placements = PlacementClient(name=f"{group_id}.{replica.state_epoch}", state=jobs)
        capacity = ClusterCapacity()
        policy = QueuePolicy(environment=environment)
        cancellation = Cancellation(group_id=group_id, environment=environment, capacity=capacity)
        preemptor = Preemptor(capacity=capacity)
        return cls(
            group_id=group_id,
            environment=environment,
            replica=replica,
            jobs=jobs,
            history=history,
            capacity=capacity,
            queue=queue,
            policy=policy,
            leases=HeldLeases(group_id=group_id, environment=environment, capacity=capacity),
            cancellation=cancellation,
            preemptor=preemptor,
            nominator=Nominator(capacity=capacity),
            running=RunningTasks(
                environment=environment, jobs=jobs, policy=policy, preemptor=preemptor, cancellation=cancellation
            ),
            placements=placements,
            quotas=TenantQuotas(
                environment=environment, jobs=jobs, queue=queue, placements=placements, excess=quota_excess
            ),
        )

    @property
    def wall_now_ms(self) -> int:
        """Wall milliseconds."""
        return int(self.environment.wall_now * 1000)
