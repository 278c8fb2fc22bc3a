"""The rules on quiet and on odd work; the proofs that the judge sees each guard's absence are in `test_mutants`."""

from tests.support.simulated_work import Day, task


def test_steps_gangs_and_checkpoints_on_a_quiet_day() -> None:
    day = Day(seed=1001, work=2.0)
    for i in range(6):
        day.job(task(), task(n=2, depends_on=[0]))
        day.job(task(n=4, cpus=2000, gang=True, same_rack=i % 2 == 0), queue="slow")
        day.job(task(n=4, checkpoints=True), queue="slow")
        day.sim.run(seconds=0.5)
    day.finish()
    assert set(day.judge.shows.values()) == {"complete"}
    assert set(day.judge.ends) <= {"done", "stopped"}


def test_tasks_go_by_service_label_and_anti_affinity() -> None:
    day = Day(seed=1002, minions=9, aux=3)
    for _ in range(5):
        day.job(task(n=6, cpus=500, anti_affinity=1))
        day.job(task(n=4, cpus=500, requires="r1"))
        day.job(task(n=5), queue="side")
        day.job(task(n=4, cpus=500, gang=True, anti_affinity=2))
        day.sim.run(seconds=0.3)
    day.finish()


def test_a_late_rank_is_pushed_out_and_goes_on_from_its_checkpoint() -> None:
    day = Day(seed=1003, minions=3, work=6.0)
    for _ in range(4):
        day.job(task(n=3, cpus=2000, checkpoints=True), queue="slow")
    day.sim.run(seconds=3.0)
    day.world.work = 0.5
    day.job(task(n=6, cpus=2000))
    day.finish()
    assert day.judge.ends.get("stopped", 0) > 0
    assert sum(m.restored for m in day.fleet) > 0


def test_guards_turn_nothing_away_on_a_calm_day() -> None:
    day = Day(seed=1004, minions=4, guards=True)
    for _ in range(12):
        day.job(task(n=5, cpus=1500))
        day.sim.run(seconds=0.2)
    day.finish()
    assert "refused" not in day.judge.ends


def test_repeated_jobs_start_no_sooner_than_due() -> None:
    day = Day(seed=1005)
    for _ in range(3):
        day.timed(task(n=2), task(n=1, depends_on=[0]), first=2.0, period=0.7, count=4)
    day.finish()


def test_a_cancelled_job_runs_no_more() -> None:
    day = Day(seed=1006, work=20.0)
    job_ids = [day.job(task(n=3, long_running=i == 0), task(n=2, depends_on=[0])) for i in range(4)]
    day.sim.run(seconds=2.0)
    for job_id in job_ids:
        day.client.drop(job_id=job_id)
    day.sim.run(seconds=6.0)
    day.finish()
    assert set(day.judge.shows.values()) == {"cancelled"}


def test_a_doomed_job_ends_failed_after_its_tries_and_a_gang_as_one() -> None:
    day = Day(seed=1007)
    job_ids = [day.job(task(n=3)), day.job(task(n=3, gang=True))]
    day.world.doomed |= set(job_ids)
    day.finish()
    assert set(day.judge.shows.values()) == {"failed"}
    assert all(len(runs) <= 3 for runs in day.judge.fell.values())


def test_draining_minions_start_nothing_and_their_work_goes_on() -> None:
    day = Day(seed=1008, minions=9, work=2.0)
    for i in range(20):
        day.job(task(n=4, checkpoints=i % 2 == 0))
        if i in (5, 10, 12):
            day.fleet[i % 9].drain()
            day.judge.trouble()
        day.sim.run(seconds=0.3)
    day.finish()
    assert sum(m.acked > 0 and not m.up for m in day.fleet) == 3


def test_nothing_starts_in_an_evacuated_zone_under_load() -> None:
    day = Day(seed=1009, minions=9, work=1.0)
    for i in range(30):
        day.job(task(n=4))
        if i == 6:
            day.evacuate(zone="z1", on=True)
        if i == 26:
            assert "z1" in day.judge.evacuated_zones
            day.evacuate(zone="z1", on=False)
        day.sim.run(seconds=0.3)
    day.finish()


def test_a_gang_goes_on_from_one_checkpoint_of_any_member() -> None:
    day = Day(seed=1010, minions=9, work=12.0)
    for _ in range(2):
        day.job(task(n=4, cpus=3000, gang=True, checkpoints=True))
    day.sim.run(seconds=5.0)
    day.judge.trouble(seconds=3.0)
    busy = [m for m in day.fleet if m.running]
    busy[0].drain()
    busy[-1].crash()
    day.finish()
    assert sum(bool(saved) for saved in day.judge.brought.values()) >= 1
    assert day.judge.ends["broken"] >= 3
