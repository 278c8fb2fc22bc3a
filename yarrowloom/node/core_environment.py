"""What a core node is made of, and what it gives its state machines."""

from collections.abc import Sequence
from typing import Any

from msgspec import UNSET, UnsetType

from ..agent import Agent, AgentTiming
from ..cluster_state.registry import Registry
from ..cluster_state.registry_events import RegistryEvent
from ..common.defaults import SHIPPED, Defaults
from ..common.effects import Effect
from ..common.log import Log
from ..common.records import Record
from ..common.settings import NodeSettings
from ..jobs.state_machine import Jobs
from ..prediction import History
from ..replication import Epoch, Replica
from ..scheduling import Scheduler
from ..transport.effects import Reply
from ..transport.http_messages import Response
from .call_messages import CallOperation, GroupReply
from .call_server import CallServer
from .config_reads import ConfigReads
from .controller import Controller
from .core_heartbeats import CoreHeartbeats
from .effects import ApplyUpdate
from .group_calls import first_number, ignore_result
from .heartbeat_routing import ForwardedCall, HeartbeatRouting
from .membership import Membership
from .messages import ClusterUpdate, ContactProof, Heartbeat, RegistryUpdate
from .node_base import JOB_GROUPS, NodeBase
from .registry_calls import RegistryCalls
from .registry_requests import MinionRemoval

MINION_LOST_TTL_S = 30.0  # group 0 is told of a lost minion for this long
HEARTBEAT_HOLD_LEAST_MS = 4000.0
HEARTBEATS_HELD = 3.0  # a heartbeat is held for this many periods of a minion's heartbeats


class CoreEnvironment(NodeBase):
    """The parts of a core node, and what they ask of it.

    Invariants: a replica's effects leave in the order of their events; a scheduler lives exactly while its group is
    served here; the agent acts only while `trusted`.

    Attributes:
        registry: The state of group 0.
        defaults: Values that operators may tune by a file.
        jobs: The states of the job groups, by group id.
        replicas: This node's replicas of all groups, by group id.
        schedulers: The schedulers of the job groups that are served here, by group id.
        controller: The controller; None: group 0 is not served here.
        agent: The agent of the minions that are owned here.
        membership: The core members as this node knows them.
        registry_calls: Answers calls of group 0.
        call_server: Takes the calls of other nodes.
        heartbeat_routing: Finds the agents of minions.
        core_heartbeats: The agent's lease, and ownership of minions in heartbeats.
        previous_primary: By group id: the primary of the epoch before the newest one.
        last_pulse: When the last pulse was.
    """

    def __init__(
        self,
        *,
        settings: NodeSettings,
        node_id: str,
        incarnation: int,
        log: Log,
        first: bool,
        now: float,
        rand: float = 0.5,
        defaults: Defaults | None = None,
    ) -> None:
        super().__init__(settings=settings, node_id=node_id, incarnation=incarnation, kind="core", log=log)
        self.now = now
        self._jitter = rand
        self.membership = Membership(environment=self)
        self.registry_calls = RegistryCalls(environment=self)
        self.call_server = CallServer(environment=self)
        self.config_reads = ConfigReads(environment=self)
        self.heartbeat_routing = HeartbeatRouting(environment=self)
        self.registry = Registry()
        self.defaults = defaults or SHIPPED
        self.job_histories = {group_id: History() for group_id in self.groups()}
        keeps_history = self.defaults["learn"]["on"]
        self.jobs = {
            group_id: Jobs(history=history if keeps_history else None)
            for group_id, history in self.job_histories.items()
        }
        self.replicas: dict[int, Replica] = {}
        for group_id in range(JOB_GROUPS + 1):
            state = self.registry if group_id == 0 else self.jobs[group_id]
            epoch = self._initial_epoch(group_id=group_id) if first else None
            if epoch is not None:
                self.epochs.by_group[group_id] = epoch
            self.replicas[group_id] = Replica(group_id=group_id, environment=self, state=state, epoch=epoch)
        self.schedulers: dict[int, Scheduler] = {}
        self.controller: Controller | None = None
        self.agent = self._make_agent()
        self.core_heartbeats = CoreHeartbeats(environment=self)
        self.previous_primary: dict[int, str] = {}
        self.last_pulse = now

    def _make_agent(self) -> Agent:
        settings = self.settings
        hold_ms = min(
            settings.max_hold_ms,
            max(HEARTBEATS_HELD * settings.heartbeat_interval_ms, HEARTBEAT_HOLD_LEAST_MS),
        )
        return Agent(
            environment=self,
            timing=AgentTiming(
                hold_ms=int(hold_ms),
                stop_grace_ms=int(settings.stop_grace_ms),
                heartbeat_ms=settings.heartbeat_interval_ms,
                drain_ms=int(settings.drain_ms),
            ),
            first_lease_id=first_number(incarnation=self.incarnation) + 1,
        )

    def _initial_epoch(self, *, group_id: int) -> Epoch:
        """Epoch 0 as the settings give it: the seeds take turns as primaries of the groups."""
        seeds = [seed.replace("#?", "#0") for seed in self.heartbeats.seeds()]
        count = len(seeds)
        backups = min(self.settings.losses, count - 1)
        return Epoch(
            number=0,
            primary=seeds[group_id % count],
            backups=tuple(seeds[(group_id + i) % count] for i in range(1, backups + 1)),
            witnesses=tuple(seeds),
            snapshot_id="",
        )

    # -- what the state machines ask

    def groups(self) -> range:
        """Job groups."""
        return range(1, JOB_GROUPS + 1)

    def write(self, *, record: Record, done: Effect) -> None:
        """To disk."""
        self.out.writes.append((record.encoded(), done))

    def elected(self, *, group_id: int) -> None:
        """This node now serves the group."""
        epoch = self.replicas[group_id].epoch
        assert epoch is not None
        previous = self.previous_primary.get(group_id, "")
        self.note(event="primary-started", group=group_id, epoch=epoch.number, backups=",".join(epoch.backups))
        self._announce(group_id=group_id, epoch=epoch)
        if group_id == 0:
            self.controller = Controller(node=self, former_primary=previous if previous != self.node_id else "")
            self._publish_registry()
        else:
            self.schedulers[group_id] = Scheduler(
                defaults=self.defaults,
                history=self.job_histories[group_id],
                group_id=group_id,
                environment=self,
                replica=self.replicas[group_id],
                jobs=self.jobs[group_id],
                remote_factor=self.settings.spread_factor,
                retention_s=self.settings.job_status_s,
                quota_excess=self.settings.quota_excess,
                memory_mb=self.settings.memory_mb,
            )

    def deposed(self, *, group_id: int) -> None:
        """It no longer does."""
        self.schedulers.pop(group_id, None)
        if group_id == 0:
            self.controller = None
        self.call_server.abandon_group(group_id=group_id)

    def _announce(self, *, group_id: int, epoch: Epoch) -> None:
        """Tell all core nodes of an epoch that begins."""
        for node_id in self.cores():
            if node_id != self.node_id:
                self.send_message(node_id=node_id, message=ClusterUpdate(epochs=[(group_id, epoch)]))

    def epoch_installed(self, *, group_id: int, epoch: Epoch) -> None:
        """A newer epoch is decided."""
        previous = self.primary(group_id=group_id)
        if previous is not None:
            self.previous_primary[group_id] = previous[0]
        self.epochs.learn(epochs=[(group_id, epoch)])
        self.dissemination.publish()

    def learn(self, *, epochs: Sequence[tuple[int, Epoch]]) -> None:
        """Epochs go to the replicas first, which report those that are newer."""
        for group_id, epoch in epochs:
            self.replicas[group_id].learn(epoch)

    # -- members, as the replicas ask for them

    def jitter(self) -> float:
        """0 to 1, from a small generator of its own."""
        self._jitter = (self._jitter * 997.0 + 0.123456789) % 1.0
        return self._jitter

    def backup_candidates(self, *, preferred: Sequence[str]) -> list[str]:
        """Members that may be a backup, best first; of equals, those in `first`."""
        return self.membership.backup_candidates(first=preferred)

    def is_up(self, *, node_id: str) -> bool:
        """Whether a node sent a heartbeat lately, here or to the controller."""
        return self.membership.is_up(node_id=node_id)

    def other_zones(self, *, holders: Sequence[str]) -> list[str]:
        """If all of `holders` stand in one zone: live members of other zones."""
        return self.membership.other_zones(holders=holders)

    def tolerated_losses(self) -> int:
        """How many disks may be lost at once."""
        return self.settings.losses

    def next_witnesses(self, *, current: Sequence[str]) -> list[str]:
        """The set that should keep epochs, given the one that does."""
        return self.membership.witnesses(current=current)

    def core_members(self) -> list[str]:
        """All core members known."""
        return sorted(self.membership.zones())

    # -- contact with the controller

    def trusted(self) -> bool:
        """Whether the agent may act: its lease from the controller is valid, or the controller is here."""
        if self.now < self.core_heartbeats.lease_expires:
            return True
        return self.controller is not None and self.replicas[0].is_serving()

    def prove_own(self) -> None:
        """While this node serves group 0, it is itself the proof."""
        epoch = self.replicas[0].epoch
        if self.controller is not None and epoch is not None and self.replicas[0].is_serving():
            self.freshness.prove(at=self.now, epoch=epoch.number)

    def proof(self) -> ContactProof:
        """How new the configuration here is."""
        self.prove_own()
        return super().proof()

    def heartbeat(self) -> Heartbeat:
        """A core's heartbeat also tells the minions that its agent owns."""
        return self.core_heartbeats.with_owned_minions(heartbeat=super().heartbeat())

    # -- what schedulers and the agent ask

    def evacuated(self, *, zone: str) -> bool:
        """Whether nothing may start in a zone."""
        return zone in self.roster.registry.evacuated_zones

    def ranks(self) -> dict[str, int]:
        """The queues of the newest configuration, with their ranks."""
        if self.table is None:
            return {}
        return {name: route.rank for name, route in self.table.routes.items()}

    def evacuations(self) -> frozenset[str]:
        """Zones in which nothing may start."""
        return frozenset(self.roster.registry.evacuated_zones)

    def remove_lost_minion(self, *, minion_id: str, fence: int) -> None:
        """A minion is lost: the agent disowns it and group 0 is told."""
        self.agent.remove_minion(minion_id=minion_id)
        removal = MinionRemoval(minion_id=minion_id, fence=fence)
        self.calls.start(
            group_id=0,
            operation=CallOperation.REMOVE_MINION,
            body=removal,
            on_end=ignore_result,
            ttl_s=MINION_LOST_TTL_S,
        )

    def configured(self) -> None:
        """A newer configuration is in force here."""
        for scheduler in self.schedulers.values():
            scheduler.on_config_change()

    # -- group 0

    def commit_registry(self, *, event: RegistryEvent, then: Effect | None = None, publish: bool = False) -> None:
        """Commit an event to group 0.

        Args:
            event: The event.
            then: The effect that is due once it is durable.
            publish: Whether other nodes are to be told of the registry then.
        """
        self.replicas[0].commit(event=event, then=then)
        if publish:
            update = ClusterUpdate(registry=self._registry_update())
            self.replicas[0].barrier(then=ApplyUpdate(update=update))

    def _registry_update(self) -> RegistryUpdate:
        registry = self.registry
        return RegistryUpdate(
            version=registry.registry_version,
            evacuated_zones=list(registry.evacuated_zones),
            members=dict(registry.members),
        )

    def _publish_registry(self) -> None:
        """Tell the nodes whose heartbeats come here of all that group 0 holds."""
        config = self.registry.config
        self.apply_update(
            update=ClusterUpdate(registry=self._registry_update(), config=UNSET if config is None else config)
        )

    # -- calls

    def reply(
        self,
        *,
        node_id: str,
        request_id: int,
        status: int,
        document: object,
        newest_cancellation: int | UnsetType = UNSET,
    ) -> None:
        """Respond to a call of another node."""
        self.call_server.reply(
            reply=Reply(
                node_id=node_id,
                request_id=request_id,
                status=status,
                document=document,
                newest_cancellation=newest_cancellation,
            )
        )

    def send_reply(self, *, reply: Reply) -> None:
        """Send a reply to a node's call, now and then with a proof of how new the configuration here is."""
        proof = self.proof_for_call(node_id=reply.node_id)
        message = GroupReply(
            request_id=reply.request_id,
            to=reply.node_id,
            status=reply.status,
            document=reply.document,
            proof_age_s=proof.age_s,
            proof_epoch=proof.epoch,
            config_version=proof.config_version,
            newest_cancellation=reply.newest_cancellation,
        )
        self.send_message(node_id=reply.node_id, message=message)

    def respond(self, *, call: object, response: Response) -> None:
        """Answer a call: over HTTP, or to the node that forwarded it."""
        if not isinstance(call, ForwardedCall):
            super().respond(call=call, response=response)
            return
        document = self.load(body=response.body) if response.body else {}
        self.reply(node_id=call.node_id, request_id=call.request_id, status=response.status, document=document)

    def effect(self, *, effect: Effect) -> None:
        """Carry out an effect that is now durable."""
        raise NotImplementedError

    def describe(self) -> dict[str, Any]:
        """A summary for the operator."""
        return {
            "uid": self.node_id,
            "site": self.settings.zone,
            "config": self.config_version(),
            "proof-age-ms": self.proof_age_ms(),
            "evacuated": sorted(self.roster.registry.evacuated_zones),
            "members": {node_id: member.document() for node_id, member in self.roster.registry.members.items()},
            "groups": {
                str(group_id): {
                    "role": r.role.value,
                    "epoch": r.epoch and r.epoch.document(),
                    "serving": r.is_serving(),
                }
                for group_id, r in self.replicas.items()
            },
            "minions": {
                m.minion_id: {"phase": m.phase.value, "free": list(m.free()), "runs": len(m.runs)}
                for m in self.agent.minions.values()
            },
            "backlog": {str(group_id): p.waiting_groups() for group_id, p in self.schedulers.items()},
            "placing": {str(group_id): p.figures() for group_id, p in self.schedulers.items()},
        }
