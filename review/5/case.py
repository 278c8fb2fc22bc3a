"""A queue that gets another name in the configuration answers 410 for the jobs that it has accepted."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import BOUNDS, Rig, UnableError, configuration, job, main, route  # noqa: E402

PREFIX = "/alloc/"


async def case(rig: Rig, has_trouble: bool) -> str:
    """A job is accepted; a new version removes its route and adds one with the same host and prefix."""
    await rig.begin(config=configuration(version=5, routes=[route("r-old", prefix=PREFIX), route("other")]))
    minions = [rig.add_minion(name=f"i-{number:04d}", zone="poa", cpus=32000) for number in range(2)]
    await rig.until_known(names=[minion.name for minion in minions])
    job_id, is_accepted = await rig.submit(prefix=PREFIX, document=job(milliseconds=60_000, cpus=4000))
    if not is_accepted:
        raise UnableError("the job was not accepted")
    await asyncio.sleep(BOUNDS["visible_ms"] / 1000 + 0.5)
    before = await rig.client(method="GET", path=PREFIX + job_id)
    if before.status != 200:
        raise UnableError("the job was not shown before the change either")
    name = "r-new" if has_trouble else "r-old"
    routes = [route(name, prefix=PREFIX, **{"deadline-ms": 2900}), route("other")]
    if await rig.operate(method="PUT", path="/config", document=configuration(version=7, routes=routes), base=5) != 200:
        raise UnableError("the new version was not accepted")
    await asyncio.sleep(BOUNDS["config-apply-ms"] / 1000 + BOUNDS["contact-ms"] / 1000)
    gone = [
        edge for edge in range(4) if (await rig.client(method="GET", path=PREFIX + job_id, edge=edge)).status == 410
    ]
    running = [minion.name for minion in minions if minion.runs]
    rig.record.write("seen", job=job_id, runs_on=running, answered_410=len(gone))
    if gone:
        return f"LOST: {len(gone)} of 4 GETs of an accepted job that nobody cancelled got 410; it runs on {running}"
    return ""


main(case, folder=FOLDER)
