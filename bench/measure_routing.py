"""Load on Dzwonnica's sizes, driven through the real decision modules.

Real: selection, adaptive limits, queues, health and retries of the product,
through ``ServiceRoom``. Fake: endpoints, links, callers and time, in a
discrete-event loop with one seed. 30 endpoints of 8 slots in 3 zones, 6
gateways, 5 ms one way between zones, service times of 100 ms on average
(log-normal). Callers give urgent requests 1 s and deferrable ones 4 s.
"""

import dataclasses
import heapq
import itertools
import math
import random

import loguru

from bench import results
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.routing import endpoints as endpoint_module
from turmerichook._internal.routing import queues
from turmerichook._internal.routing import results as outcomes_of
from turmerichook._internal.routing import retries
from turmerichook._internal.routing import rooms
from turmerichook._internal.routing import selection
from turmerichook._internal.routing import sharing

ZONES = ("krakow", "tarnow", "nowy-sacz")
ENDPOINTS = 30
SLOTS = 8
GATEWAYS = 6
LINK_S = 0.005
MEAN_S = 0.100
SIGMA = 0.6
SECONDS = 12.0
WARM_UP_S = 3.0
URGENT_SHARE = 0.4
URGENT_S = 1.0
DEFERRABLE_S = 4.0
CAPACITY = ENDPOINTS * SLOTS / MEAN_S
# Requests that an endpoint keeps waiting beyond its slots before it refuses.
BACKLOG = 8


@dataclasses.dataclass(kw_only=True, eq=False)
class FakeEndpoint:
    """Slots and a first-come queue.

    :param slowness: factor on service times.
    :param failing: share of requests that fail.
    """

    zone: str
    slowness: float = 1.0
    failing: float = 0.0
    busy: int = 0
    waiting: list = dataclasses.field(default_factory=list)
    runs: int = 0


@dataclasses.dataclass(kw_only=True, eq=False)
class Request:
    """One caller's request."""

    urgent: bool
    began: float
    deadline: float
    gateway: int
    attempts: int = 0
    tried: frozenset = frozenset()


class World:
    """The discrete-event loop; policies differ in how they send."""

    def __init__(
        self,
        *,
        load: float,
        seed: int = 1,
        gateways: int = GATEWAYS,
        reports: bool = True,
    ):
        self.gateways = gateways
        # Whether endpoints report their load.
        self.reports = reports
        self.source = random.Random(seed)
        self.now = 0.0
        self.events: list = []
        self.order = itertools.count()
        self.mean = MEAN_S
        self.rate = load * CAPACITY
        self.slots = SLOTS
        self.endpoints = [
            FakeEndpoint(zone=ZONES[n % 3]) for n in range(ENDPOINTS)
        ]
        self.done: list[tuple[Request, float]] = []
        self.lost: list[tuple[Request, str]] = []
        self.sent = 0
        self.offered = 0

    def at(self, delay: float, action, *arguments) -> None:
        """Do something later."""
        entry = (self.now + delay, next(self.order), action, arguments)
        heapq.heappush(self.events, entry)

    def run(self, policy) -> None:
        """Offer load to a policy until the end."""
        self.at(0.0, self._arrive, policy)
        while self.events:
            self.now, _, action, arguments = heapq.heappop(self.events)
            if self.now > SECONDS + 5.0:
                return
            action(*arguments)

    def _arrive(self, policy) -> None:
        if self.now > SECONDS:
            return
        self.at(self.source.expovariate(self.rate), self._arrive, policy)
        urgent = self.source.random() < URGENT_SHARE
        allowed = URGENT_S if urgent else DEFERRABLE_S
        self.offered += 1
        policy.send(
            Request(
                urgent=urgent,
                began=self.now,
                deadline=self.now + allowed,
                gateway=self.source.randrange(self.gateways),
            )
        )

    def link(self, gateway: int, number: int) -> float:
        """Return the one-way delay from a gateway to an endpoint."""
        same = self.endpoints[number].zone == ZONES[gateway % 3]
        return 0.0002 if same else LINK_S

    def serve(self, number: int, request: Request, answer) -> None:
        """Put a request on an endpoint; ``answer(status, load)`` comes back.

        Statuses are ``ok``, ``failed`` and ``refused``.
        """
        self.sent += 1
        delay = self.link(request.gateway, number)
        self.at(delay, self._reach, number, request, answer, delay)

    def _reach(self, number, request, answer, delay) -> None:
        endpoint = self.endpoints[number]
        if len(endpoint.waiting) >= BACKLOG:
            self.at(delay, answer, "refused", self._load(endpoint))
        elif endpoint.busy >= self.slots:
            endpoint.waiting.append((request, answer, delay))
        else:
            self._begin(number, answer, delay)

    def _begin(self, number, answer, delay) -> None:
        endpoint = self.endpoints[number]
        endpoint.busy += 1
        endpoint.runs += 1
        mu = math.log(self.mean) - SIGMA * SIGMA / 2
        work = self.source.lognormvariate(mu, SIGMA) * endpoint.slowness
        status = "ok"
        if self.source.random() < endpoint.failing:
            status, work = "failed", 0.001
        self.at(work, self._finish, number, answer, delay, status)

    def _finish(self, number, answer, delay, status) -> None:
        endpoint = self.endpoints[number]
        endpoint.busy -= 1
        if endpoint.waiting:
            _, following, its_delay = endpoint.waiting.pop(0)
            self._begin(number, following, its_delay)
        self.at(delay, answer, status, self._load(endpoint))

    def _load(self, endpoint: FakeEndpoint) -> float:
        return (endpoint.busy + len(endpoint.waiting)) / self.slots

    def finish(self, request: Request, status: str) -> None:
        """Account for the end of a request."""
        if status == "ok" and self.now <= request.deadline:
            self.done.append((request, self.now - request.began))
        else:
            self.lost.append((request, status))


class Plain:
    """Baselines: send at once, no queue, no limits, no retries."""

    def __init__(self, *, world: World, kind: str):
        self.world = world
        self.kind = kind
        self.turn = [0] * world.gateways
        self.in_flight = [[0] * ENDPOINTS for _ in range(world.gateways)]
        self.members = list(range(ENDPOINTS))

    def send(self, request: Request) -> None:
        """Choose and send."""
        number = self._choose(request.gateway)
        self.in_flight[request.gateway][number] += 1

        def answer(status, _load):
            self.in_flight[request.gateway][number] -= 1
            self.world.finish(request, status)

        self.world.serve(number, request, answer)

    def _choose(self, gateway: int) -> int:
        match self.kind:
            case "round-robin":
                self.turn[gateway] += 1
                return self.members[self.turn[gateway] % len(self.members)]
            case "random":
                return self.world.source.choice(self.members)
            case _:
                counts = self.in_flight[gateway]
                least = min(counts[n] for n in self.members)
                return self.world.source.choice(
                    [n for n in self.members if counts[n] == least]
                )


class Product:
    """The product's decisions for each gateway."""

    def __init__(self, *, world: World):
        self.world = world
        self.links = [{} for _ in range(world.gateways)]
        self.budgets = [retries.Budget() for _ in range(world.gateways)]
        self.rooms = [
            rooms.ServiceRoom(
                zone=ids.ZoneId(ZONES[gateway % 3]),
                now=lambda: world.now,
                source=world.source,
                links=self.links[gateway],
            )
            for gateway in range(world.gateways)
        ]
        for gateway, room in enumerate(self.rooms):
            for zone in ZONES:
                near = zone == ZONES[gateway % 3]
                self.links[gateway][zone] = 0.0004 if near else 2 * LINK_S
            self.update(room, range(ENDPOINTS))
        self.world.at(1.0, self._tick)

    def update(self, room: rooms.ServiceRoom, members) -> None:
        """Announce the endpoints to a gateway."""
        world = self.world
        known = [
            endpoint_module.Endpoint(
                service=ids.ServiceId("booking"),
                task=ids.TaskId(str(number)),
                zone=ids.ZoneId(world.endpoints[number].zone),
                address="127.0.0.1:1",
                slots=world.slots,
                connections=64,
                leaving=False,
            )
            for number in members
        ]
        node = f"gateway-{self.rooms.index(room)}"
        room.update(
            sharing.subset(
                endpoints=known, node=node, gateways=world.gateways
            ),
            world.gateways,
        )

    def _tick(self) -> None:
        for room in self.rooms:
            room.freed()
        self.world.at(1.0, self._tick)

    def send(self, request: Request) -> None:
        """Send, queue or shed."""
        self.budgets[request.gateway].deposit()
        self._attempt(request)

    def _attempt(self, request: Request) -> None:
        room = self.rooms[request.gateway]
        wanted = selection.Wanted(probe=True, tried=request.tried)
        if not len(room.queue):
            chosen = room.choose(wanted)
            if isinstance(chosen, selection.Chosen):
                self._use(request, rooms.Lease(room=room, chosen=chosen))
                return
        urgency = site.Urgency.DEFERRABLE
        if request.urgent:
            urgency = site.Urgency.URGENT
        future = _Now(lambda result: self._resolved(request, result))
        entry = queues.Entry(
            urgency=urgency,
            team="desks",
            weight=1.0,
            deadline=request.deadline,
            ticket=(future, wanted),
        )
        shed, displaced = room.queue.offer(
            entry, now=self.world.now, needed=room.needed(urgency)
        )
        if displaced is not None:
            displaced.ticket[0].set_result(queues.Shed.DISPLACED)
        if shed is not None:
            self.world.finish(request, shed.value)
            return
        left = request.deadline - self.world.now
        self.world.at(left, self._expire, room, entry)

    def _expire(self, room, entry) -> None:
        if entry.waiting:
            room.queue.remove(entry)
            entry.ticket[0].set_result(queues.Shed.DEADLINE_PASSED)

    def _resolved(self, request: Request, result) -> None:
        match result:
            case rooms.Lease():
                self._use(request, result)
            case queues.Shed():
                self.world.finish(request, result.value)
            case outcomes.Absent():
                self.world.finish(request, result.reason.value)

    def _use(self, request: Request, lease: rooms.Lease) -> None:
        request.attempts += 1
        began = self.world.now
        number = int(lease.target.endpoint.task)

        def answer(status, load):
            latency = self.world.now - began
            text = f"{load:.2f}" if self.world.reports else ""
            effect = retries.Effect.UNKNOWN
            if status == "ok":
                outcomes_of.answered(lease, latency=latency, load=text)
            elif status == "refused":
                pause = outcomes_of.refused(lease, load=text)
                self.world.at(pause, lease.room.freed)
                effect = retries.Effect.NOT_RUN
            else:
                outcomes_of.failed(lease)
            lease.release()
            if status != "ok" and self._again(request, effect):
                request.tried |= {lease.target.endpoint.task}
                self._attempt(request)
            else:
                self.world.finish(request, status)

        self.world.serve(number, request, answer)

    def _again(self, request: Request, effect: retries.Effect) -> bool:
        failure = retries.Failure(
            effect=effect,
            attempts=request.attempts,
            idempotent=True,
            replayable=True,
            repeated=False,
            left=request.deadline - self.world.now,
        )
        verdict = retries.decide(failure, self.budgets[request.gateway])
        return verdict is retries.Verdict.RETRY


class _Now:
    """Stands for a future; its callback runs at once."""

    def __init__(self, callback):
        self.callback = callback
        self.finished = False

    def done(self) -> bool:
        """Whether there is a result."""
        return self.finished

    def set_result(self, result) -> None:
        """Hand the result on."""
        self.finished = True
        self.callback(result)


def figures(world: World, urgent: bool) -> tuple[float, float, float]:
    """Return goodput share, p99 and p99.9 after the warm-up."""
    times = sorted(
        took
        for request, took in world.done
        if request.urgent == urgent and request.began > WARM_UP_S
    )
    lost = sum(
        request.urgent == urgent and request.began > WARM_UP_S
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


def build(kind: str, world: World):
    """Return a policy by name."""
    if kind == "product":
        return Product(world=world)
    return Plain(world=world, kind=kind)


KINDS = ("product", "round-robin", "random", "least-in-flight")


def loads() -> list[results.Result]:
    """Compare the policies at three loads."""
    lines = []
    product = {}
    for load in (0.7, 0.9, 1.5):
        for kind in KINDS:
            world = World(load=load)
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
            world = World(load=0.7)
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
    world = World(load=0.5)
    policy = Product(world=world)
    rest = [n for n in range(ENDPOINTS) if n % 3]

    def announce(members):
        for room in policy.rooms:
            policy.update(room, members)

    world.at(5.0, announce, rest)
    world.at(8.0, announce, range(ENDPOINTS))
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
    world = World(load=0.5)
    for endpoint in world.endpoints:
        endpoint.failing = 0.5
    world.run(Product(world=world))
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
            world = World(load=load, **options)
            world.run(Product(world=world))
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
