"""Calls of group 0, as its primary answers them: configuration, evacuations, owners of minions."""

from collections.abc import Callable, Mapping
from typing import Any, Protocol

from ..cluster_state.registry import Registry
from ..cluster_state.registry_events import MinionRemoved, RegistryEvent
from ..common.effects import Effect
from ..common.errors import YarrowError
from ..common.records import MalformedRecordError, decode
from ..replication import Replica
from ..transport.effects import Reply
from .call_messages import CallOperation
from .controller import Controller
from .effects import ApplyUpdate
from .http_errors import error_answer
from .messages import ClusterUpdate
from .registry_requests import ConfigChange, EvacuationChange, MinionDeparture, MinionRemoval, OwnerQuery

OK = 200
NOT_FOUND = 404


class RegistryEnvironment(Protocol):
    """What calls of group 0 need of their node."""

    registry: Registry
    replicas: dict[int, Replica]
    controller: Controller | None

    def commit_registry(self, *, event: RegistryEvent, then: Effect | None = None, publish: bool = False) -> None:
        """Commit an event to group 0."""

    def note(self, *, event: str, **fields: object) -> None:
        """Log an event."""


class RegistryCalls:
    """Answers calls of group 0 on its primary.

    Invariant: an answer leaves once all is durable that it rests on.
    """

    def __init__(self, *, environment: RegistryEnvironment) -> None:
        self.environment = environment
        self._operations: Mapping[CallOperation, Callable[[str, int, Any], None]] = {
            CallOperation.CHANGE_CONFIG: self._change_config,
            CallOperation.READ_CONFIG: self._read_config,
            CallOperation.CHANGE_EVACUATION: self._change_evacuation,
            CallOperation.FIND_OWNER: self._find_owner,
            CallOperation.REMOVE_MINION: self._remove_minion,
            CallOperation.MINION_LEAVES: self._find_owner_of_departing,
        }

    def serve(self, *, node_id: str, request_id: int, operation: CallOperation, body: object) -> None:
        """Answer a call of a node.

        Raises:
            MalformedRecordError: There is no such operation, or the body is not one of it.
        """
        if operation not in self._operations:
            raise MalformedRecordError(text=f"op: {operation.value!r} is no operation of group 0")
        self._operations[operation](node_id, request_id, body)

    def _reply_when_durable(self, *, node_id: str, request_id: int, status: int, document: object) -> None:
        self.environment.replicas[0].barrier(
            then=Reply(node_id=node_id, request_id=request_id, status=status, document=document)
        )

    def _refuse(self, *, node_id: str, request_id: int, error: YarrowError) -> None:
        status, document = error_answer(error=error)
        self._reply_when_durable(node_id=node_id, request_id=request_id, status=status, document=document)

    def _change_config(self, node_id: str, request_id: int, body: object) -> None:
        change = decode(body, into=ConfigChange)
        node, registry = self.environment, self.environment.registry
        try:
            event = registry.evaluate_config_request(
                method=change.method, if_match=change.expected_version, body=change.body.encode()
            )
        except YarrowError as error:
            self._refuse(node_id=node_id, request_id=request_id, error=error)
            return
        if event is not None:
            node.commit_registry(event=event)
            assert registry.config is not None
            node.replicas[0].barrier(then=ApplyUpdate(update=ClusterUpdate(config=registry.config)))
            node.note(event="config-accepted", config_version=registry.config_version)
        self._reply_when_durable(node_id=node_id, request_id=request_id, status=OK, document={})

    def _read_config(self, node_id: str, request_id: int, _body: object) -> None:
        config = self.environment.registry.config
        status = OK if config else NOT_FOUND
        self._reply_when_durable(node_id=node_id, request_id=request_id, status=status, document=config or {})

    def _change_evacuation(self, node_id: str, request_id: int, body: object) -> None:
        change = decode(body, into=EvacuationChange)
        node = self.environment
        try:
            event = node.registry.evaluate_evacuation(
                zone=change.zone, is_evacuated=change.is_on, known_version=change.known_version
            )
        except YarrowError as error:
            node.note(event="evacuation-order-unclear", zone=change.zone, known_version=change.known_version)
            self._refuse(node_id=node_id, request_id=request_id, error=error)
            return
        node.commit_registry(event=event, publish=True)
        self._reply_when_durable(node_id=node_id, request_id=request_id, status=OK, document={})

    def _find_owner(self, node_id: str, request_id: int, body: object) -> None:
        query = decode(body, into=OwnerQuery)
        assert self.environment.controller is not None
        self.environment.controller.find_owner(node_id=node_id, request_id=request_id, query=query)

    def _remove_minion(self, node_id: str, request_id: int, body: object) -> None:
        removal = decode(body, into=MinionRemoval)
        self.environment.commit_registry(
            event=MinionRemoved(minion_id=removal.minion_id, fence=removal.fence),
            then=Reply(node_id=node_id, request_id=request_id, status=OK, document={}),
        )

    def _find_owner_of_departing(self, node_id: str, request_id: int, body: object) -> None:
        departure = decode(body, into=MinionDeparture)
        row = self.environment.registry.minions.get(departure.minion_id)
        document = {} if row is None else {"o": row.owner}
        self._reply_when_durable(node_id=node_id, request_id=request_id, status=OK, document=document)
