"""Each guard of operator requests taken out: the checkers find it in what two operators saw."""

from collections.abc import Callable
from dataclasses import replace
from typing import Any, cast

import orjson
import pytest

from tests.simulator.test_operators import (
    BUSY,
    EVACUATING,
    Fault,
    closing,
    closing_cut,
    cut,
    doomed,
    lost_answers,
    quiet,
)
from tests.support.two_operators import OrdersRun
from yarrowloom.cluster_state.operator_requests import AcceptedChanges
from yarrowloom.cluster_state.registry import Registry
from yarrowloom.cluster_state.registry_events import ZoneEvacuationChanged
from yarrowloom.common.effects import Effect
from yarrowloom.common.errors import StaleVersionError, YarrowError
from yarrowloom.node import http_routes
from yarrowloom.node.call_messages import CallOperation
from yarrowloom.node.core import CoreNode
from yarrowloom.node.registry_calls import RegistryCalls
from yarrowloom.replication import Replica
from yarrowloom.transport.http_messages import Response

SEEDS = 20  # at most; the first that shows it ends the search


def no_deduplication(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(AcceptedChanges, "was_accepted", lambda self, version, digest: False)


def forgets_at_once(patch: pytest.MonkeyPatch) -> None:
    """As it was: only the last requests are known, and what isn't known is refused."""
    patch.setattr("yarrowloom.cluster_state.operator_requests.MAX_ACCEPTED_CHANGES", 8)
    patch.setattr(AcceptedChanges, "may_be_forgotten", lambda self, version: False)


def refused_before_it_is_durable(patch: pytest.MonkeyPatch) -> None:
    """A 412 that rests on what is only applied leaves at once."""
    whole = RegistryCalls.serve

    def serve(self: RegistryCalls, *, node_id: str, request_id: int, operation: CallOperation, body: Any) -> None:
        node = cast(CoreNode, self.environment)
        try:
            if operation is CallOperation.CHANGE_CONFIG:
                node.registry.evaluate_config_request(
                    method=body["m"], if_match=body["base"], body=body["body"].encode()
                )
        except YarrowError as err:
            node.reply(node_id=node_id, request_id=request_id, status=err.status, document={})
            return
        whole(self, node_id=node_id, request_id=request_id, operation=operation, body=body)

    patch.setattr(RegistryCalls, "serve", serve)


def confirmed_before_it_is_durable(patch: pytest.MonkeyPatch) -> None:
    def barrier(self: Replica, *, then: Effect) -> None:
        self.environment.effect(effect=then)

    patch.setattr(Replica, "barrier", barrier)


def read_from_the_own_copy(patch: pytest.MonkeyPatch) -> None:
    def read(node: Any, call: http_routes.HttpCall) -> None:
        node.respond(call=call.call, response=Response.of(200 if node.config else 404, node.config or {}))

    patch.setattr(
        http_routes,
        "ROUTES",
        [
            replace(route, handler=read) if route.handler is http_routes.read_config else route
            for route in http_routes.ROUTES
        ],
    )


def any_base_is_current(patch: pytest.MonkeyPatch) -> None:
    """Both of a race are taken, if their numbers rise."""
    whole = Registry.evaluate_config_request

    def evaluate(self: Registry, *, method: str, if_match: str | None, body: bytes) -> Any:
        current = str(self.config_version) if (if_match or "").strip('"').isdigit() else if_match
        return whole(self, method=method, if_match=current, body=body)

    patch.setattr(Registry, "evaluate_config_request", evaluate)


def losers_are_confirmed(patch: pytest.MonkeyPatch) -> None:
    """Both of a race are confirmed under one number, only one is taken."""
    whole = Registry.evaluate_config_request

    def evaluate(self: Registry, *, method: str, if_match: str | None, body: bytes) -> Any:
        try:
            return whole(self, method=method, if_match=if_match, body=body)
        except StaleVersionError:
            if orjson.loads(body)["config-version"] == self.config_version:
                return None
            raise

    patch.setattr(Registry, "evaluate_config_request", evaluate)


def any_body_is_good(patch: pytest.MonkeyPatch) -> None:
    patch.setattr("yarrowloom.cluster_state.config._route_findings", lambda **_: [])


def no_fence_for_evacuations(patch: pytest.MonkeyPatch) -> None:
    def evaluate(self: Registry, *, zone: str, is_evacuated: bool, known_version: int) -> ZoneEvacuationChanged:
        return ZoneEvacuationChanged(zone=zone, is_evacuated=is_evacuated)

    patch.setattr(Registry, "evaluate_evacuation", evaluate)


def evacuations_forgotten(patch: pytest.MonkeyPatch) -> None:
    """Evacuations are confirmed but not in a snapshot."""
    whole = Registry.dump
    patch.setattr(Registry, "dump", lambda self: {**whole(self), "evac": []})


Mutant = Callable[[pytest.MonkeyPatch], None]
MUTANTS: list[tuple[Mutant, Fault, set[str]]] = [
    (no_deduplication, lost_answers, {"repeat-refused"}),
    (forgets_at_once, quiet, {"repeat-refused"}),
    (refused_before_it_is_durable, doomed, {"refused-without-cause", "read-contradicted", "repeat-refused"}),
    (
        confirmed_before_it_is_durable,
        doomed,
        {
            "read-contradicted",
            "base-confirmed-twice",
            "number-confirmed-twice",
            "refused-without-cause",
            "repeat-refused",
        },
    ),
    (read_from_the_own_copy, cut, {"read-contradicted"}),
    (any_base_is_current, quiet, {"base-confirmed-twice", "not-linearizable", "number-confirmed-twice"}),
    (losers_are_confirmed, quiet, {"base-confirmed-twice", "number-confirmed-twice", "invalid-confirmed"}),
    (any_body_is_good, quiet, {"invalid-confirmed"}),
    (evacuations_forgotten, closing, {"evacuation-undone"}),
    (no_fence_for_evacuations, closing_cut, {"evacuation-undone"}),
]


@pytest.mark.parametrize(("mutant", "fault", "rules"), MUTANTS, ids=lambda x: getattr(x, "__name__", ""))
def test_the_checkers_find_it(mutant: Mutant, fault: Fault, rules: set[str], monkeypatch: pytest.MonkeyPatch) -> None:
    mutant(monkeypatch)
    for seed in range(SEEDS):
        run = OrdersRun(seed=seed, habits=EVACUATING if rules == {"evacuation-undone"} else BUSY)
        fault(run)
        breach = run.finish()
        if breach is not None:
            assert breach.rule in rules, str(breach)
            assert 1 <= len(breach.operations) <= 6, str(breach)
            return
    raise AssertionError(f"not found in {SEEDS} runs")
