"""Queued jobs whose first order met a lost minion are no longer counted as pending."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from rig import BOUNDS, ZONES, Rig, UnableError, configuration, job, main, route  # noqa: E402

MINIONS = 7  # one of them is 0.143 of the service
JOBS = 6
CORES = 32000


async def case(rig: Rig, has_trouble: bool) -> str:
    """Six of seven minions are full; the seventh is lost for good, and six jobs are handed in."""
    await rig.begin(config=configuration(version=1, routes=[route("alloc")]))
    minions = [
        rig.add_minion(name=f"i-{number:04d}", zone=ZONES[number % len(ZONES)], cpus=CORES) for number in range(MINIONS)
    ]
    await rig.until_known(names=[minion.name for minion in minions])
    _, is_accepted = await rig.submit(
        prefix="/alloc/", document=job(milliseconds=60_000, cpus=CORES, tasks=MINIONS - 1)
    )
    await asyncio.sleep(3.0)
    if not is_accepted or len(rig.starts) != MINIONS - 1:
        raise UnableError("the service was not filled")
    lost = next(minion for minion in minions if not minion.runs)
    if has_trouble:
        lost.crash()
    accepted = []
    for _ in range(JOBS):
        job_id, is_accepted = await rig.submit(prefix="/alloc/", document=job(milliseconds=1000, cpus=4000))
        if is_accepted:
            accepted.append(job_id)
    await asyncio.sleep(BOUNDS["visible_ms"] / 1000 + 2 + 2.5)  # by the rule, and the count may be 2 s old
    wrong = []
    for edge in range(6):
        begun = {start.task.split(".")[0] for start in rig.starts}
        waiting = [job_id for job_id in accepted if job_id not in begun]
        answer = await rig.client(method="GET", path="/alloc/", edge=edge)
        if answer.status == 200 and 2 * answer.document["pending"] < len(waiting):
            wrong.append(answer.document["pending"])
        rig.record.write("seen", accepted=len(accepted), not_begun=len(waiting))
        await asyncio.sleep(1.0)
    for job_id in accepted:
        await rig.client(method="GET", path=f"/alloc/{job_id}")
    if wrong:
        return f"MIXED: {len(accepted)} accepted jobs of which no task has begun; the queue's count says {wrong}"
    return ""


main(case, folder=FOLDER)
