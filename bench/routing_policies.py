"""The product's decisions and the baselines for ``measure_routing``."""

from bench import routing_world
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.routing import endpoints as endpoint_module
from turmerichook._internal.routing import queues
from turmerichook._internal.routing import results as outcomes_of
from turmerichook._internal.routing import retries
from turmerichook._internal.routing import selection
from turmerichook._internal.routing import service_pools
from turmerichook._internal.routing import sharing


class Plain:
    """Baselines: send at once, no queue, no limits, no retries."""

    def __init__(self, *, world: routing_world.World, kind: str):
        self.world = world
        self.kind = kind
        self.turn = [0] * world.gateways
        self.in_flight = [
            [0] * routing_world.ENDPOINTS for _ in range(world.gateways)
        ]
        self.members = list(range(routing_world.ENDPOINTS))

    def send(self, request: routing_world.Request) -> None:
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

    def __init__(self, *, world: routing_world.World):
        self.world = world
        self.links = [{} for _ in range(world.gateways)]
        self.budgets = [retries.Budget() for _ in range(world.gateways)]
        self.services = [
            service_pools.ServicePool(
                zone=ids.ZoneId(routing_world.ZONES[gateway % 3]),
                now=lambda: world.now,
                source=world.source,
                link_rtts=self.links[gateway],
            )
            for gateway in range(world.gateways)
        ]
        for gateway, service_pool in enumerate(self.services):
            for zone in routing_world.ZONES:
                near = zone == routing_world.ZONES[gateway % 3]
                self.links[gateway][zone] = (
                    0.0004 if near else 2 * routing_world.LINK_S
                )
            self.update(service_pool, range(routing_world.ENDPOINTS))
        self.world.at(1.0, self._tick)

    def update(self, service_pool: service_pools.ServicePool, members) -> None:
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
        node = f"gateway-{self.services.index(service_pool)}"
        service_pool.update(
            sharing.subset(
                endpoints=known, node=node, gateways=world.gateways
            ),
            world.gateways,
        )

    def _tick(self) -> None:
        for service_pool in self.services:
            service_pool.grant_waiting()
        self.world.at(1.0, self._tick)

    def send(self, request: routing_world.Request) -> None:
        """Send, queue or shed."""
        self.budgets[request.gateway].deposit()
        self._attempt(request)

    def _attempt(self, request: routing_world.Request) -> None:
        service_pool = self.services[request.gateway]
        wanted = selection.SelectionCriteria(
            probe=True, failed_tasks=request.tried
        )
        if not len(service_pool.queue):
            chosen = service_pool.choose(wanted)
            if isinstance(chosen, selection.Selection):
                self._use(
                    request,
                    service_pools.Lease(
                        service_pool=service_pool, chosen=chosen
                    ),
                )
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
            resume_data=(future, wanted),
        )
        shed, displaced = service_pool.queue.offer(
            entry,
            now=self.world.now,
            exchange_time=service_pool.expected_exchange_time(urgency),
        )
        if displaced is not None:
            displaced.resume_data[0].set_result(queues.Shed.DISPLACED)
        if shed is not None:
            self.world.finish(request, shed.value)
            return
        left = request.deadline - self.world.now
        self.world.at(left, self._expire, service_pool, entry)

    def _expire(self, service_pool, entry) -> None:
        if entry.waiting:
            service_pool.queue.remove(entry)
            entry.resume_data[0].set_result(queues.Shed.DEADLINE_PASSED)

    def _resolved(self, request: routing_world.Request, result) -> None:
        match result:
            case service_pools.Lease():
                self._use(request, result)
            case queues.Shed():
                self.world.finish(request, result.value)
            case outcomes.Absent():
                self.world.finish(request, result.reason.value)

    def _use(
        self, request: routing_world.Request, lease: service_pools.Lease
    ) -> None:
        request.attempts += 1
        began = self.world.now
        number = int(lease.target.endpoint.task)

        def answer(status, load):
            latency = self.world.now - began
            text = f"{load:.2f}" if self.world.reports else ""
            effect = retries.Effect.UNKNOWN
            if status == "ok":
                outcomes_of.record_response(lease, latency=latency, load=text)
            elif status == "refused":
                pause = outcomes_of.record_rejection(lease, load=text)
                self.world.at(pause, lease.service_pool.grant_waiting)
                effect = retries.Effect.NOT_RUN
            else:
                outcomes_of.record_failure(lease)
            lease.release()
            if status != "ok" and self._again(request, effect):
                request.tried |= {lease.target.endpoint.task}
                self._attempt(request)
            else:
                self.world.finish(request, status)

        self.world.serve(number, request, answer)

    def _again(
        self, request: routing_world.Request, effect: retries.Effect
    ) -> bool:
        failure = retries.Failure(
            effect=effect,
            attempts=request.attempts,
            idempotent=True,
            replayable=True,
            marked_as_retry=False,
            remaining_s=request.deadline - self.world.now,
        )
        verdict = retries.decide(failure, self.budgets[request.gateway])
        return verdict is retries.RetryDecision.RETRY


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
