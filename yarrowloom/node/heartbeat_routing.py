"""Heartbeats and departures of minions: to the agent that owns the minion, on this node or on another."""

import math
from functools import partial
from typing import Any, Protocol

import msgspec

from ..agent import Agent
from ..agent.heartbeat import MinionHeartbeat, parse_heartbeat
from ..common.log import Log
from ..common.records import MalformedRecordError, Record, decode
from ..transport.http_messages import Response
from .call_messages import AGENT_CALL_GROUP, CallOperation
from .group_calls import GIVEN_UP, CallResult, GroupCalls
from .registry_requests import MinionDeparture, OwnerQuery
from .roster import Roster

OWNER_KNOWN_S = 3.0  # an owner found is asked directly this long, then group 0 is asked again
OWNERS_KEPT = 20000
HEARTBEAT_TTL_S = 0.75  # a minion's heartbeat is answered within this time, or 503

OK = 200
BAD_REQUEST = 400
UNAVAILABLE = 503


class ForwardedCall(msgspec.Struct, frozen=True, kw_only=True):
    """Where the answer to a forwarded heartbeat goes, in place of an HTTP call's key.

    Attributes:
        node_id: The node that took the heartbeat from the minion.
        request_id: Its call to this node.
    """

    node_id: str
    request_id: int


class ForwardedHeartbeat(Record, frozen=True, kw_only=True, rename={"minion_id": "m", "content": "d"}):
    """A minion's heartbeat on its way to the minion's agent.

    Attributes:
        minion_id: The minion.
        content: The heartbeat as the minion sent it.
    """

    minion_id: str
    content: dict[str, Any]


class RoutingEnvironment(Protocol):
    """What the routing needs of its node."""

    now: float
    node_id: str
    log: Log
    agent: Agent
    calls: GroupCalls
    roster: Roster

    def trusted(self) -> bool:
        """Whether the agent of this node may act."""

    def respond(self, *, call: object, response: Response) -> None:
        """Answer an HTTP call, or one that was forwarded here."""

    def reply(self, *, node_id: str, request_id: int, status: int, document: object) -> None:
        """Answer a call of another node."""


class HeartbeatRouting:
    """Finds the agent of a minion.

    Attributes:
        owners: By minion: the node whose agent owned it when last asked, and when that was.
    """

    def __init__(self, *, environment: RoutingEnvironment) -> None:
        self.environment = environment
        self.owners: dict[str, tuple[str, float]] = {}

    def is_owned_here(self, *, minion_id: str) -> bool:
        """Whether this node's agent owns a minion and may act."""
        return minion_id in self.environment.agent.minions and self.environment.trusted()

    # -- from minions

    def on_heartbeat(self, *, minion_id: str, document: dict[str, Any], call: object) -> None:
        """A minion's heartbeat came over HTTP: it goes to the minion's agent, here or elsewhere."""
        heartbeat = self._parsed(minion_id=minion_id, document=document, call=call)
        if heartbeat is None:
            return
        if self.is_owned_here(minion_id=minion_id):
            self.environment.agent.on_heartbeat(minion_id=minion_id, heartbeat=heartbeat, call=call)
            return
        owner, found_at = self.owners.get(minion_id, ("", -math.inf))
        if owner and owner != self.environment.node_id and self.environment.now - found_at < OWNER_KNOWN_S:
            self._forward(owner=owner, minion_id=minion_id, document=document, call=call)
            return
        query = OwnerQuery(
            minion_id=minion_id,
            zone=heartbeat.zone or "",
            service=heartbeat.service or "",
            labels=heartbeat.labels or [],
        )
        self.environment.calls.start(
            group_id=0,
            operation=CallOperation.FIND_OWNER,
            body=query,
            on_end=partial(self._on_owner_found, call=call, minion_id=minion_id, heartbeat=document),
            ttl_s=HEARTBEAT_TTL_S,
        )

    def on_departure(self, *, minion_id: str, call: object) -> None:
        """A minion says over HTTP that it ends."""
        node = self.environment
        if self.is_owned_here(minion_id=minion_id):
            node.agent.on_leaving(minion_id=minion_id, call=call)
            return
        node.calls.start(
            group_id=0,
            operation=CallOperation.MINION_LEAVES,
            body=MinionDeparture(minion_id=minion_id),
            on_end=partial(
                self._on_departing_owner_found,
                call=call,
                minion_id=minion_id,
                deadline=node.now + HEARTBEAT_TTL_S,
            ),
            ttl_s=HEARTBEAT_TTL_S,
        )

    def _to_agent(self, *, minion_id: str, document: dict[str, Any], call: object) -> None:
        """A heartbeat of an owned minion, which another node took or which waited for its owner to be found."""
        heartbeat = self._parsed(minion_id=minion_id, document=document, call=call)
        if heartbeat is not None:
            self.environment.agent.on_heartbeat(minion_id=minion_id, heartbeat=heartbeat, call=call)

    def _parsed(self, *, minion_id: str, document: dict[str, Any], call: object) -> MinionHeartbeat | None:
        """The heartbeat; None: it is malformed, which is answered here."""
        node = self.environment
        try:
            return parse_heartbeat(document=document)
        except MalformedRecordError as error:
            node.log.warn("heartbeat-malformed", minion=minion_id, why=error.text)
            node.respond(call=call, response=Response.of(BAD_REQUEST, {"error": "not a beat", "text": error.text}))
            return None

    def _forward(self, *, owner: str, minion_id: str, document: dict[str, Any], call: object) -> None:
        self.environment.calls.start(
            group_id=AGENT_CALL_GROUP,
            node_id=owner,
            operation=CallOperation.FORWARD_HEARTBEAT,
            body=ForwardedHeartbeat(minion_id=minion_id, content=document),
            on_end=partial(self._on_forwarded_response, call=call, minion_id=minion_id, owner=owner),
            ttl_s=HEARTBEAT_TTL_S,
        )

    # -- answers of other nodes

    def _on_owner_found(self, result: CallResult, *, call: object, minion_id: str, heartbeat: dict[str, Any]) -> None:
        """Group 0 told which agent owns a minion whose heartbeat waits here."""
        node = self.environment
        if result.status != OK:
            node.respond(call=call, response=Response(status=UNAVAILABLE))
            return
        owner = result.document["o"]
        if owner == node.node_id:
            if minion_id in node.agent.minions:
                self._to_agent(minion_id=minion_id, document=heartbeat, call=call)
            else:
                node.respond(call=call, response=Response(status=UNAVAILABLE))
            return
        self.owners[minion_id] = (owner, node.now)
        if len(self.owners) > OWNERS_KEPT:
            self.owners.clear()
        self._forward(owner=owner, minion_id=minion_id, document=heartbeat, call=call)

    def _on_forwarded_response(self, result: CallResult, *, call: object, minion_id: str, owner: str) -> None:
        """The agent elsewhere responded to a heartbeat; the minion is told to go there from now on."""
        if result.status != OK:
            self.owners.pop(minion_id, None)
            self.environment.respond(call=call, response=Response(status=UNAVAILABLE))
            return
        address = self.environment.roster.control_address(node_id=owner)
        document = {**result.document, "beat-target": address} if address else result.document
        self.environment.respond(call=call, response=Response.of(OK, document))

    def _on_departing_owner_found(self, result: CallResult, *, call: object, minion_id: str, deadline: float) -> None:
        """Group 0 told which agent owns a minion that ends: none (it has left before), this one or another."""
        node = self.environment
        owner = result.document.get("o") if result.status == OK else ""
        if result.status == OK and owner is None:
            node.respond(call=call, response=Response.of(OK, {}))
        elif owner == node.node_id and self.is_owned_here(minion_id=minion_id):
            node.agent.on_leaving(minion_id=minion_id, call=call)
        elif owner and owner != node.node_id and deadline > node.now:
            node.calls.start(
                group_id=AGENT_CALL_GROUP,
                node_id=owner,
                operation=CallOperation.MINION_LEAVES,
                body=MinionDeparture(minion_id=minion_id),
                on_end=partial(self._on_departed, call=call),
                ttl_s=deadline - node.now,
            )
        else:
            node.respond(call=call, response=Response(status=UNAVAILABLE))

    def _on_departed(self, result: CallResult, *, call: object) -> None:
        """The agent elsewhere responded to a departure."""
        if result.status == GIVEN_UP:
            response = Response.of(UNAVAILABLE, {"error": "no primary in reach"})
        else:
            response = Response.of(result.status, result.document)
        self.environment.respond(call=call, response=response)

    # -- calls of other nodes

    def serve(self, *, node_id: str, request_id: int, operation: CallOperation, body: object) -> None:
        """A node hands over a heartbeat or a departure of a minion that should be owned here.

        Raises:
            MalformedRecordError: There is no such operation, or the body is not one of it.
        """
        call = ForwardedCall(node_id=node_id, request_id=request_id)
        if operation is CallOperation.MINION_LEAVES:
            minion_id = decode(body, into=MinionDeparture).minion_id
            if self._refuse_unowned(minion_id=minion_id, call=call):
                return
            self.environment.agent.on_leaving(minion_id=minion_id, call=call)
        elif operation is CallOperation.FORWARD_HEARTBEAT:
            heartbeat = decode(body, into=ForwardedHeartbeat)
            if self._refuse_unowned(minion_id=heartbeat.minion_id, call=call):
                return
            self._to_agent(minion_id=heartbeat.minion_id, document=heartbeat.content, call=call)
        else:
            raise MalformedRecordError(text=f"op: {operation.value!r} is no operation of an agent")

    def _refuse_unowned(self, *, minion_id: str, call: ForwardedCall) -> bool:
        """Refuse what is not owned here; whether it was refused."""
        if self.is_owned_here(minion_id=minion_id):
            return False
        self.environment.reply(node_id=call.node_id, request_id=call.request_id, status=UNAVAILABLE, document={})
        return True
