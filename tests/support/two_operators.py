"""Two operators in the simulated cluster, with faults; what they saw is judged at the end."""

import random
from collections.abc import Callable

from yarrowloom.simulator.cluster import Sim
from yarrowloom.simulator.judges.history import Breach
from yarrowloom.simulator.judges.history_checks import check_evacuations
from yarrowloom.simulator.judges.linearizability import check_configuration
from yarrowloom.simulator.operators import Answer, Habits, Operator, Recorder
from yarrowloom.simulator.sample_config import config
from yarrowloom.transport.http_messages import Response


class SimNetwork:
    """Requests to the simulated cluster, some of whose answers are lost."""

    def __init__(self, *, sim: Sim, rng: random.Random, lost: float) -> None:
        self.sim = sim
        self.rng = rng
        self.lost = lost
        self.on_answer: list[Callable[[str, Answer], None]] = []

    @property
    def now(self) -> float:
        return self.sim.now

    def at(self, *, delay: float, fn: Callable[[], None]) -> None:
        self.sim.at(delay=delay, fn=fn)

    def request(
        self,
        *,
        source: str,
        node: str,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes,
        answer: Callable[[Answer], None],
    ) -> None:
        def back(response: Response) -> None:
            for watch in self.on_answer:
                watch(method, Answer(status=response.status, body=response.body))
            if self.rng.random() >= self.lost:
                answer(Answer(status=response.status, body=response.body))

        self.sim.http(ip=node, src=source, method=method, path=path, headers=headers, body=body, back=back)


class OrdersRun:
    """A cluster with two operators at work."""

    def __init__(self, *, seed: int, cores: int = 3, lost: float = 0.1, habits: Habits | None = None) -> None:
        self.sim = Sim(seed=seed, cores=cores, edges=0, losses=cores // 2)
        self.rng = random.Random(seed)
        self.network = SimNetwork(sim=self.sim, rng=self.rng, lost=lost)
        self.recorder = Recorder()
        self.operators = [
            Operator(
                name=name,
                network=self.network,
                nodes=self.sim.core_ips,
                zones=self.sim.zones,
                template=config(version=1),
                recorder=self.recorder,
                rng=random.Random(f"{seed}/{name}"),
                habits=habits,
            )
            for name in ("ann", "ben")
        ]
        self.sim.until(cond=lambda: bool(self.sim.serving(group_id=0)), limit=10.0)
        for operator in self.operators:
            operator.start()

    def primary(self) -> str | None:
        return next(iter(self.sim.serving(group_id=0)), None)

    def finish(self) -> Breach | None:
        """All is well again: let the work end, read everywhere, judge."""
        sim = self.sim
        sim.heal()
        self.network.lost = 0.0
        for ip in sim.core_ips:
            if not sim.procs[ip].up:
                sim.boot(ip=ip)
        sim.run(seconds=8.0)
        for operator in self.operators:
            operator.stop()
        sim.run(seconds=6.0)
        for operator in self.operators:
            for node in sim.core_ips:
                operator.read(node=node)
        sim.run(seconds=3.0)
        for operator in self.operators:
            operator.close()
        lead = self.primary()
        assert lead is not None
        final = {zone: zone in sim.core(lead).registry.evacuated_zones for zone in sim.zones}
        return check_configuration(history=self.recorder.history) or check_evacuations(
            history=self.recorder.history, final=final, at_s=sim.now
        )
