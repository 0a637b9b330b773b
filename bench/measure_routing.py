"""Load on Dzwonnica's sizes, driven through the real decision modules.

Real: selection, adaptive limits, queues, health and retries of the product,
through ``ServicePool``. Fake: endpoints, links, callers and time, in a
discrete-event loop with one seed. 30 endpoints of 8 slots in 3 zones, 6
gateways, 5 ms one way between zones, service times of 100 ms on average
(log-normal). Callers give urgent requests 1 s and deferrable ones 4 s.
"""

import math

import loguru

from bench import results
from bench import routing_policies
from bench import routing_world


def figures(
    world: routing_world.World, urgent: bool
) -> tuple[float, float, float]:
    """Return goodput share, p99 and p99.9 after the warm-up."""
    times = sorted(
        took
        for request, took in world.done
        if request.urgent == urgent and request.began > routing_world.WARM_UP_S
    )
    lost = sum(
        request.urgent == urgent and request.began > routing_world.WARM_UP_S
        for request, _ in world.lost
    )
    if not times:
        return 0.0, math.inf, math.inf
    share = len(times) / (len(times) + lost)
    return (
        share,
        times[int(len(times) * 0.99)],
        times[int(len(times) * 0.999)],
    )


def build(kind: str, world: routing_world.World):
    """Return a policy by name."""
    if kind == "product":
        return routing_policies.Product(world=world)
    return routing_policies.Plain(world=world, kind=kind)


KINDS = ("product", "round-robin", "random", "least-in-flight")


def loads() -> list[results.Result]:
    """Compare the policies at three loads."""
    lines = []
    product = {}
    for load in (0.7, 0.9, 1.5):
        for kind in KINDS:
            world = routing_world.World(load=load)
            world.run(build(kind, world))
            share, p99, p999 = figures(world, urgent=True)
            name = f"routing.load{load * 100:.0f}.{kind}.urgent"
            baseline = None
            if kind == "product":
                product[load] = share
                if load > 1:
                    baseline = product[0.7]
            lines += [
                results.Result(
                    name=f"{name}.goodput",
                    value=share,
                    unit="share",
                    baseline=baseline,
                ),
                results.Result(name=f"{name}.p99", value=p99, unit="s"),
                results.Result(name=f"{name}.p999", value=p999, unit="s"),
            ]
    return lines


def faults() -> list[results.Result]:
    """Compare the policies with one slow and with one failing endpoint."""
    lines = []
    for fault in ("slow", "failing"):
        for kind in KINDS:
            world = routing_world.World(load=0.7)
            if fault == "slow":
                world.endpoints[0].slowness = 10.0
            else:
                world.endpoints[0].failing = 1.0
            world.run(build(kind, world))
            share, p99, _ = figures(world, urgent=True)
            name = f"routing.{fault}.{kind}.urgent"
            lines += [
                results.Result(
                    name=f"{name}.goodput", value=share, unit="share"
                ),
                results.Result(name=f"{name}.p99", value=p99, unit="s"),
            ]
    return lines


def zone_leaves() -> list[results.Result]:
    """Take a zone out at 5 s and bring it back at 8 s, at 50% load."""
    world = routing_world.World(load=0.5)
    policy = routing_policies.Product(world=world)
    rest = [n for n in range(routing_world.ENDPOINTS) if n % 3]

    def announce(members):
        for service_pool in policy.services:
            policy.update(service_pool, members)

    world.at(5.0, announce, rest)
    world.at(8.0, announce, range(routing_world.ENDPOINTS))
    world.run(policy)
    share, p99, _ = figures(world, urgent=True)
    cut = sum(status == "failed" for _, status in world.lost)
    return [
        results.Result(
            name="routing.zone_leaves.urgent.goodput",
            value=share,
            unit="share",
        ),
        results.Result(
            name="routing.zone_leaves.urgent.p99", value=p99, unit="s"
        ),
        results.Result(
            name="routing.zone_leaves.cut", value=cut, unit="requests"
        ),
    ]


def amplification() -> list[results.Result]:
    """Let every endpoint fail half of its requests."""
    world = routing_world.World(load=0.5)
    for endpoint in world.endpoints:
        endpoint.failing = 0.5
    world.run(routing_policies.Product(world=world))
    return [
        results.Result(
            name="routing.retry_amplification",
            value=world.sent,
            unit="requests",
            baseline=world.offered,
        )
    ]


def variants() -> list[results.Result]:
    """Overload with 7 and 60 gateways, and without reports of load."""
    lines = []
    for name, options in (
        ("7_gateways", {"gateways": 7}),
        ("60_gateways", {"gateways": 60}),
        ("no_load_reports", {"reports": False}),
    ):
        for load in (0.7, 1.5):
            world = routing_world.World(load=load, **options)
            world.run(routing_policies.Product(world=world))
            share, p99, _ = figures(world, urgent=True)
            start = f"routing.load{load * 100:.0f}.{name}.urgent"
            lines += [
                results.Result(
                    name=f"{start}.goodput", value=share, unit="share"
                ),
                results.Result(name=f"{start}.p99", value=p99, unit="s"),
            ]
    return lines


def run() -> list[results.Result]:
    """Return the figures."""
    # Log lines of the decision modules would outnumber the figures.
    loguru.logger.remove()
    return loads() + variants() + faults() + zone_leaves() + amplification()
