"""Case 10: an edge that stood still hands in a job whose cancelling was acknowledged while it stood still."""

import json
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import stand_ins_2 as rig  # noqa: E402

FREEZE_S = 4.0
CLIENT_PATIENCE_S = 1.5
TASK_S = 2.0
WATCH_S = 10.0


def case(record: rig.Record) -> int:
    """Hand a job in at an edge that stands still; without an answer, cancel it at the other edge."""
    starts: list[tuple[float, str]] = []

    def on_start(_minion: rig.Minion, task: str, _run: int) -> None:
        starts.append((record.now(), task))

    with rig.Cluster(record=record) as cluster:
        if not (cluster.configure(document=rig.configuration(version=1)) and cluster.wait_ready()):
            return rig.CANNOT_RUN
        for i in range(6):
            zone = rig.ZONES[i % 3]
            rig.Minion(
                minion_id=f"i-{i}", zone=zone, cores=cluster.cores, record=record, task_s=TASK_S, on_start=on_start
            ).start()
        time.sleep(5.0)
        job_id = rig.new_job_id()
        stage = {"task-count": 4, "cpus": 1000, "mem-mb": 64, "estimate-ms": int(TASK_S * 1000)}
        body = json.dumps({"task-spec": "x", "stages": [stage, {**stage, "depends-on": [0]}]}).encode()
        edge, other = cluster.edges
        if rig.trouble():
            cluster.freeze(machine=edge)
        frozen_at = record.now()
        posted, _ = rig.client_call(
            record=record, edge=edge, method="POST", job_id=job_id, body=body, timeout_s=CLIENT_PATIENCE_S
        )
        cancelled, _ = rig.client_call(record=record, edge=other, method="DELETE", job_id=job_id)
        cancelled_at = record.now()
        time.sleep(max(0.0, frozen_at + FREEZE_S - record.now()))
        if rig.trouble():
            cluster.thaw(machine=edge)
        from_s = cancelled_at + rig.BOUNDS["cancel_ms"] / 1000
        time.sleep(max(0.0, from_s + WATCH_S - record.now()))
        shown, state = rig.client_call(record=record, edge=other, method="GET", job_id=job_id)
        if (cancelled != 410 and not 200 <= cancelled < 300) or any(m.has_ended() for m in cluster.machines):
            return rig.CANNOT_RUN
        late = [task for at, task in starts if task.startswith(job_id) and at > from_s]
        record.write(f"handed in: {posted or 'no answer'}; cancelled: {cancelled} at {cancelled_at:.3f}")
        record.write(f"{len(late)} tasks of it started later than {from_s:.3f}; shown: {shown} {state.decode()}")
        return rig.BROKEN if late else rig.HELD


if __name__ == "__main__":
    rig.main(case, folder=FOLDER)
