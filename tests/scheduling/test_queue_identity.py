"""A job stays what its URL says, whatever the route there is called: names of routes change, clients know only URLs."""

from typing import Any

import pytest

from yarrowloom.cluster_state.routing_table import Route
from yarrowloom.common.queue_identity import QueueAddress, QueueIdentity
from yarrowloom.scheduling.scheduler import Scheduler
from yarrowloom.simulator.workload import Day, task

HOST = "h.example"
UNKNOWN_JOB = "00000000000000aa"


def scheduler_of(day: Day) -> Scheduler:
    return day.sim.core(day.sim.serving(group_id=1)[0]).schedulers[1]


def ask(day: Day, *, method: str, path: str, document: object = None) -> tuple[int, Any]:
    return day.sim.ask(
        ip=day.sim.edge_ips[0],
        method=method,
        path=path,
        document=document,
        headers={"host": HOST, "x-deadline-ms": "3000"},
    )


def put_routes(day: Day, *, version: int, names_by_prefix: dict[str, str], **more: object) -> None:
    """A configuration whose only routes are these; it is in force on all nodes afterwards."""
    base = version - 1
    status, current = day.sim.ask(ip=day.sim.core_ips[0], method="GET", path="/config")
    assert status == 200
    pattern = current["route-table"][0]
    rows = [{**pattern, **more, "name": name, "path-prefix": prefix} for prefix, name in names_by_prefix.items()]
    document = {**current, "config-version": version, "route-table": rows}
    status, answer = day.sim.ask(
        ip=day.sim.core_ips[0], method="PUT", path="/config", document=document, headers={"if-match": str(base)}
    )
    assert status == 200, answer
    day.sim.run(seconds=3.0)


@pytest.fixture
def day() -> Day:
    return Day(seed=7301, minions=3, work=60.0)


# Guards against 410 for an accepted job, and 409 for its repeat, once its route has another name (review case 5, LOST).
def test_a_job_is_found_at_its_url_when_the_route_there_gets_another_name(day: Day) -> None:
    job_id = day.job(task(n=2))
    assert day.sim.until(cond=lambda: job_id in day.judge.accepted, limit=3.0)
    put_routes(day, version=4, names_by_prefix={"/fast/": "renamed"})
    assert ask(day, method="GET", path=f"/fast/{job_id}") == (200, {"state": "active"})
    document = {"task-spec": f"spec-{job_id}", "stages": [task(n=2)]}
    assert ask(day, method="POST", path=f"/fast/{job_id}", document=document)[0] == 200
    assert ask(day, method="GET", path=f"/fast/{UNKNOWN_JOB}")[0] == 410
    assert ask(day, method="DELETE", path=f"/fast/{job_id}")[0] == 200
    assert ask(day, method="GET", path=f"/fast/{job_id}") == (200, {"state": "cancelled"})


# Guards against waiting jobs that the count of their own queue leaves out after the route was renamed (MIXED).
def test_waiting_jobs_are_counted_under_the_new_name(day: Day) -> None:
    waiting = [day.job(task(n=1, cpus=1_000_000)) for _ in range(3)]
    assert day.sim.until(cond=lambda: all(job_id in day.judge.accepted for job_id in waiting), limit=3.0)
    assert ask(day, method="GET", path="/fast/") == (200, {"pending": 3})
    put_routes(day, version=4, names_by_prefix={"/fast/": "renamed"})
    assert ask(day, method="GET", path="/fast/") == (200, {"pending": 3})


# Guards against jobs that change queues when two routes swap their names: each stays at the URL it was submitted to.
def test_jobs_stay_at_their_urls_when_two_routes_swap_names(day: Day) -> None:
    put_routes(day, version=4, names_by_prefix={"/fast/": "fast", "/slow/": "slow"})
    job_id = day.job(task(n=1))
    assert day.sim.until(cond=lambda: job_id in day.judge.accepted, limit=3.0)
    put_routes(day, version=5, names_by_prefix={"/fast/": "slow", "/slow/": "fast"})
    assert ask(day, method="GET", path=f"/fast/{job_id}")[0] == 200
    assert ask(day, method="GET", path=f"/slow/{job_id}")[0] == 410


# Guards against losing jobs whose route is away for a while, and against those of a route that moved.
def test_jobs_outlast_a_removed_route_and_follow_one_that_moves(day: Day) -> None:
    job_id = day.job(task(n=1))
    assert day.sim.until(cond=lambda: job_id in day.judge.accepted, limit=3.0)
    put_routes(day, version=4, names_by_prefix={"/other/": "other"})
    assert ask(day, method="GET", path=f"/fast/{job_id}")[0] == 404
    put_routes(day, version=5, names_by_prefix={"/fast": "again"})  # the same URLs, as the id follows a slash
    assert ask(day, method="GET", path=f"/fast/{job_id}")[0] == 200
    put_routes(day, version=6, names_by_prefix={"/moved/": "fast"})
    assert ask(day, method="GET", path=f"/moved/{job_id}")[0] == 200


# Guards against a job that keeps rank and service of a route that is gone, though its URLs have a route.
def test_a_renamed_route_rules_the_jobs_at_its_urls(day: Day) -> None:
    job_id = day.job(task(n=1, cpus=1_000_000))
    assert day.sim.until(cond=lambda: job_id in day.judge.accepted, limit=3.0)
    put_routes(day, version=4, names_by_prefix={"/fast/": "renamed"}, rank=7)
    scheduler = scheduler_of(day)
    job = scheduler.context.jobs.jobs[job_id]
    assert scheduler.context.policy.rank(job=job) == 7
    assert [group.priority.rank for group in scheduler.context.queue.groups.values()] == [7]


def status_of(
    day: Day, monkeypatch: pytest.MonkeyPatch, *, operation: str, config_version: int, **arguments: Any
) -> int:
    """The status of a call that the scheduler answers at once or after the next sync."""
    scheduler = scheduler_of(day)
    got: list[int] = []
    monkeypatch.setattr(scheduler.context.environment, "reply", lambda **reply: got.append(reply["status"]))
    scheduler.call(node_id="edge", request_id=1, operation=operation, arguments={"cv": config_version, **arguments})
    day.sim.until(cond=lambda: bool(got), limit=2.0)
    return got[0]


# Guards against refusals while the nodes have different configurations: the scheduler may be behind the edge.
def test_an_edge_with_a_newer_configuration_finds_a_job_that_has_moved(
    day: Day, monkeypatch: pytest.MonkeyPatch
) -> None:
    job_id = day.job(task(n=1))
    assert day.sim.until(cond=lambda: job_id in day.judge.accepted, limit=3.0)
    moved = {"id": job_id, "q": "fast", "ad": [HOST, "/moved/"]}
    assert status_of(day, monkeypatch, operation="get", config_version=3, **moved) == 410  # nothing has moved here
    for operation in ("get", "put", "del"):  # the repeat of a submission is no conflict either
        assert status_of(day, monkeypatch, operation=operation, config_version=9, **moved) == 200
    renamed = {"id": job_id, "q": "renamed", "ad": [HOST, "/fast/"]}
    assert status_of(day, monkeypatch, operation="get", config_version=9, **renamed) == 200


# Guards against losing jobs to an edge of a release that named queues only: it runs beside new cores for a while.
def test_a_call_without_an_address_finds_the_jobs_of_the_name(day: Day, monkeypatch: pytest.MonkeyPatch) -> None:
    job_id = day.job(task(n=1))
    assert day.sim.until(cond=lambda: job_id in day.judge.accepted, limit=3.0)
    assert status_of(day, monkeypatch, operation="get", config_version=3, id=job_id, q="fast") == 200
    assert status_of(day, monkeypatch, operation="get", config_version=3, id=job_id, q="slow") == 410


def test_a_record_without_an_address_has_the_route_of_its_name(day: Day) -> None:
    table = day.sim.core(day.sim.core_ips[0]).table
    assert table is not None
    found = table.route_of(queue=QueueIdentity("fast"))
    assert isinstance(found, Route)
    assert found.address == QueueAddress(host=HOST, path_prefix="/fast/")
    assert table.route_of(queue=QueueIdentity("none", QueueAddress(host=HOST, path_prefix="/none/"))) is None
