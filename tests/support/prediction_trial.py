"""A trial by hand, no test: seeded streams of calls against `History` and `WarmPlanner`, without a cluster.

It gives the figures of docs/warm.md: python -m tests.support.prediction_trial
"""

import random
from collections.abc import Callable, Iterator

import orjson

from yarrowloom.jobs.submission import Step, parse_submission
from yarrowloom.prediction import History, WarmLimits, WarmPlanner, kind_key

START_MS = 1_700_000_000_000
DURATION_S = 600.0
Stream = tuple[str, Callable[[], list[Step]], Iterator[float]]


def job(*, n: int, cpu: int, gpu: int) -> list[Step]:
    out: list[Step] = parse_submission(
        body=orjson.dumps({"task-spec": "x", "stages": [{"task-count": n, "cpus": cpu, "gpus": gpu}]})
    ).steps
    return out


def poisson(*, rng: random.Random, rate: float) -> Iterator[float]:
    t = 0.0
    while t < DURATION_S:
        t += rng.expovariate(rate)
        yield t


def sizes(*, rng: random.Random, n: int, cpu: int, gpu: tuple[int, int]) -> Callable[[], list[Step]]:
    return lambda: job(
        n=max(1, round(n * rng.uniform(0.5, 1.5))), cpu=round(cpu * rng.uniform(0.6, 1.5)), gpu=rng.randint(*gpu)
    )


def run(*, name: str, streams: list[Stream], weight: dict[str, float] | None = None) -> None:
    """Print calls that found warm capacity of their kind or queue, of all calls, and what it cost."""
    calls = sorted((t, q, i) for i, (q, _, ts) in enumerate(streams) for t in ts if t < DURATION_S)
    history, planner = History(), WarmPlanner(limits=WarmLimits(is_on=True, max_core_s_per_minute=3000.0, max_tasks=64))
    hits: dict[str, list[int]] = {}
    k, t = 0, 0.0
    while t < DURATION_S:
        t += 0.1
        while k < len(calls) and calls[k][0] <= t:
            at, q, i = calls[k]
            k += 1
            steps = streams[i][1]()
            request = planner.request_for(queue=q, kind=kind_key(queue=q, steps=steps))
            row = hits.setdefault(q, [0, 0])
            row[0] += request is not None
            row[1] += 1
            if request is not None:
                planner.hit(kind=request.kind, steady_ms=at * 1000, wait_ms=0)
            else:
                planner.started_cold(kind=kind_key(queue=q, steps=steps), wait_ms=0)
            history.note_job(at_ms=START_MS + int(at * 1000), job_id=f"{k:016x}", queue=q, service="s", steps=steps)
        now = START_MS + int(t * 1000)
        predictions = history.predict(now_ms=now, horizon_ms=4000)
        planner.plan(wall_now_ms=now, steady_ms=t * 1000, predictions=predictions, weights=weight)
    print(
        name,
        {q: f"{a}/{b}" for q, (a, b) in sorted(hits.items())},
        "unused",
        planner.figures.misses,
        "core-s a minute",
        round(planner.figures.held_core_s / DURATION_S * 60),
    )


def main() -> None:
    """Both sites' rates and a pair of periodic kinds, three seeds."""
    for seed in range(3):
        rng = random.Random(seed)
        run(
            name="tsr",
            weight={"rebuild": 100.0},
            streams=[
                ("rebuild", sizes(rng=rng, n=4, cpu=10_000, gpu=(1, 8)), poisson(rng=rng, rate=0.87)),
                ("fare", sizes(rng=rng, n=3, cpu=3700, gpu=(1, 2)), poisson(rng=rng, rate=6.5)),
                ("alloc", sizes(rng=rng, n=12, cpu=2800, gpu=(1, 1)), poisson(rng=rng, rate=0.835)),
            ],
        )
        run(
            name="akat",
            weight={"photo": 100.0},
            streams=[
                ("price", sizes(rng=rng, n=6, cpu=2000, gpu=(0, 0)), poisson(rng=rng, rate=3.83)),
                ("xref", sizes(rng=rng, n=14, cpu=4300, gpu=(0, 0)), poisson(rng=rng, rate=0.299)),
                ("photo", sizes(rng=rng, n=2, cpu=13_000, gpu=(2, 8)), poisson(rng=rng, rate=0.535)),
                ("thumb", sizes(rng=rng, n=8, cpu=2800, gpu=(1, 1)), poisson(rng=rng, rate=0.479)),
            ],
        )
        run(
            name="periodic",
            streams=[
                ("feed", lambda: job(n=4, cpu=10_000, gpu=4), (5.0 + 20 * i for i in range(30))),
                ("match", lambda: job(n=3, cpu=3700, gpu=1), (8.0 + 20 * i + rng.random() for i in range(30))),
            ],
        )


if __name__ == "__main__":
    main()
