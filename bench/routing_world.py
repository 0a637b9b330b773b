"""Fakes of endpoints, links, callers and time for ``measure_routing``."""

import dataclasses
import heapq
import itertools
import math
import random

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
