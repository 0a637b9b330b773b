"""Services next to batch work, against other policies and an oracle.

Each site is run with several seeds. Figures are means over the seeds; the
service latency is relative to that of the same services alone, in the same
run and with the same noise.
"""

import dataclasses

from bench import results
from bench import shared_hosts
from bench import sharing_policies
from turmerichook._internal.models import site

SEEDS = (11, 12, 13, 14, 15)
SCENARIOS = (
    # One zone of Dzwonnica: two racks of eight, a third of 30 runners.
    shared_hosts.Scenario(
        name="dzwonnica",
        hosts=16,
        service_hosts=10,
        services=2,
        weights=site.Weights(spread=1.0, pack=0.0, interference=2.0),
        arrivals=1.2,
    ),
    # One zone of Batbayar: two racks of six, a quarter of 25 runners.
    shared_hosts.Scenario(
        name="batbayar",
        hosts=12,
        service_hosts=6,
        services=2,
        weights=site.Weights(spread=0.3, pack=0.7, interference=1.0),
        arrivals=0.95,
    ),
)
# The same sites while one of six families of jobs becomes much noisier.
WAVES = tuple(
    dataclasses.replace(scenario, name=f"{scenario.name}-wave", noisy=8.0)
    for scenario in SCENARIOS
)
POLICIES = {
    "oracle": sharing_policies.Oracle,
    "oracle-exact-sizes": sharing_policies.ExactOracle,
    "policy": sharing_policies.Learned,
    "first-fit": sharing_policies.FirstFit,
    "least-committed": sharing_policies.LeastCommitted,
    "random-of-two": sharing_policies.RandomTwo,
}


@dataclasses.dataclass(frozen=True, kw_only=True)
class Outcome:
    """What one run gave.

    :param work: core-seconds of batch work.
    :param late: share of samples above the target.
    """

    p99: float
    p99_alone: float
    work: float
    evictions: float
    late: float


def run() -> list[results.Result]:
    """Measure all policies at both sites."""
    found = []
    for scenario in SCENARIOS + WAVES:
        outcomes = {
            name: _mean([_run(scenario, policy, seed) for seed in SEEDS])
            for name, policy in POLICIES.items()
        }
        oracle = outcomes["oracle"]
        for name, outcome in outcomes.items():
            prefix = f"colocation.{scenario.name}.{name}"
            found += _results(prefix, outcome, oracle)
    return found


def _run(scenario: shared_hosts.Scenario, policy: type, seed: int) -> Outcome:
    world = shared_hosts.World(scenario=scenario, seed=seed)
    decider = policy(world)
    for _ in range(scenario.steps):
        world.arrive()
        decider.act()
        decider.ended(world.step())
    return Outcome(
        p99=_p99(world.samples),
        p99_alone=_p99(world.alone),
        work=world.work_done,
        evictions=world.evictions,
        late=world.late / len(world.samples),
    )


def _p99(samples: list[float]) -> float:
    return sorted(samples)[int(0.99 * len(samples))]


def _mean(outcomes: list[Outcome]) -> Outcome:
    return Outcome(
        **{
            field.name: sum(getattr(o, field.name) for o in outcomes)
            / len(outcomes)
            for field in dataclasses.fields(Outcome)
        }
    )


def _results(
    prefix: str, outcome: Outcome, oracle: Outcome
) -> list[results.Result]:
    return [
        results.Result(
            name=f"{prefix}.service-p99",
            value=outcome.p99 * 1000,
            unit="ms",
            baseline=outcome.p99_alone * 1000,
        ),
        results.Result(
            name=f"{prefix}.batch-work",
            value=outcome.work,
            unit="core-s",
            baseline=oracle.work,
        ),
        results.Result(
            name=f"{prefix}.evictions",
            value=outcome.evictions,
            unit="count",
            baseline=oracle.evictions,
        ),
        results.Result(
            name=f"{prefix}.late-samples",
            value=outcome.late,
            unit="share",
        ),
    ]
