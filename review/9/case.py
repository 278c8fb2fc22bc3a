"""Case 9: a frozen core goes on with a withdrawal of an evacuation that is older than the evacuation in force."""

import json
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as rig  # noqa: E402

ZONE = "poa"
FREEZE_S = 4.0
WATCH_S = 8.0
MINIONS = 51


def submit_jobs(*, record: rig.Record, cluster: rig.Cluster, over: threading.Event) -> None:
    """Hand in a job of small tasks a second, enough for minions of all zones."""
    job = {"task-spec": "x", "stages": [{"task-count": 48, "cpus": 8000, "mem-mb": 64, "estimate-ms": 500}]}
    body = json.dumps(job).encode()
    number = 0
    while not over.wait(1.0):
        number += 1
        edge = cluster.edges[number % len(cluster.edges)]
        rig.client_call(record=record, edge=edge, method="POST", job_id=rig.new_job_id(), body=body)


def case(record: rig.Record) -> int:
    """Evacuate, withdraw, evacuate again; the second and third order while one core stands still."""
    starts: list[float] = []

    def on_start(minion: rig.Minion, _task: str, _run: int) -> None:
        if minion.zone == ZONE:
            starts.append(record.now())

    path = f"/evacuation/{ZONE}"
    with rig.Cluster(record=record) as cluster:
        if not (cluster.configure(document=rig.configuration(version=1)) and cluster.wait_ready()):
            return rig.CANNOT_RUN
        for i in range(MINIONS):
            zone = rig.ZONES[i % 3]
            rig.Minion(
                minion_id=f"i-{i}", zone=zone, cores=cluster.cores, record=record, task_s=0.5, on_start=on_start
            ).start()
        over = threading.Event()
        jobs = threading.Thread(target=submit_jobs, kwargs={"record": record, "cluster": cluster, "over": over})
        jobs.start()
        time.sleep(5.0)
        if not starts:
            return rig.CANNOT_RUN
        frozen, *others = reversed(cluster.cores)
        orders = [cluster.order(method="POST", path=path, nodes=others)]
        time.sleep(2.0)
        if rig.trouble():
            cluster.freeze(machine=frozen)
        frozen_at = record.now()
        orders.append(cluster.order(method="DELETE", path=path, nodes=[frozen, *others]))
        time.sleep(0.3)
        orders.append(cluster.order(method="POST", path=path, nodes=others))
        evacuated_at = record.now()
        time.sleep(max(0.0, frozen_at + FREEZE_S - record.now()))
        if rig.trouble():
            cluster.thaw(machine=frozen)
        settled_at = record.now() + rig.BOUNDS["contact-ms"] / 1000
        from_s = max(evacuated_at + rig.BOUNDS["evacuate-ms"] / 1000, settled_at)
        time.sleep(max(0.0, from_s + WATCH_S - record.now()))
        over.set()
        jobs.join()
        if any(status != 200 for status in orders) or any(m.has_ended() for m in cluster.machines):
            return rig.CANNOT_RUN
        late = [at for at in starts if at > from_s]
        record.write(f"orders {orders}; {len(late)} starts in {ZONE} later than {from_s:.3f}")
        return rig.BROKEN if late else rig.HELD


if __name__ == "__main__":
    rig.main(case, folder=FOLDER)
