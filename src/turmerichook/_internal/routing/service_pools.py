"""Endpoints of one service, their connections and the queue for them."""

import asyncio
import collections.abc
import random

from turmerichook._internal.http import addresses
from turmerichook._internal.http import pool as pools
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.routing import concurrency
from turmerichook._internal.routing import endpoints as endpoint_module
from turmerichook._internal.routing import health as healths
from turmerichook._internal.routing import queues
from turmerichook._internal.routing import selection
from turmerichook._internal.routing import sharing

CONNECT_TIMEOUT_S = 1.0

MonotonicClock = collections.abc.Callable[[], float]


class Lease:
    """The right to one exchange with an endpoint; counts as in flight."""

    __slots__ = ("service_pool", "target", "pool", "why", "released")

    def __init__(
        self, *, service_pool: "ServicePool", chosen: selection.Selection
    ) -> None:
        self.service_pool = service_pool
        self.target = chosen.target
        self.pool = service_pool.pools[chosen.target.endpoint.task]
        self.why = chosen.why
        self.released = False
        self.target.in_flight += 1

    def release(self) -> None:
        """End the lease; further calls have no effect."""
        if not self.released:
            self.released = True
            self.target.in_flight -= 1
            self.service_pool.grant_waiting()


class ServicePool:
    """Endpoints, connection pools and the request queue of one service.

    :param zone: the gateway's own zone.
    :param now: returns the monotonic time in seconds.
    :param source: random number generator.
    :param link_rtts: round-trip times to zones in seconds, shared by all
        services.
    """

    def __init__(
        self,
        *,
        zone: ids.ZoneId,
        now: MonotonicClock,
        source: random.Random,
        link_rtts: dict[ids.ZoneId, float],
    ):
        self.zone = zone
        self.now = now
        self.source = source
        self.link_rtts = link_rtts
        self.targets: dict[ids.TaskId, selection.Target] = {}
        self.pools: dict[ids.TaskId, pools.ConnectionPool] = {}
        self.queue = queues.Queue()
        # Smoothed time in seconds until the head of a response arrives.
        self.latency = selection.INITIAL_LATENCY_S

    # Endpoints

    def update(
        self,
        endpoints: collections.abc.Iterable[endpoint_module.Endpoint],
        gateways: int,
    ) -> None:
        """Replace the endpoints of the service.

        Exchanges in progress with removed endpoints continue, but no new ones
        are started.

        :param gateways: number of gateways that share the endpoints.
        """
        now = self.now()
        present = {endpoint.task: endpoint for endpoint in endpoints}
        for task in list(self.targets):
            current = self.targets[task].endpoint
            if task not in present or present[task].address != current.address:
                del self.targets[task]
                self.pools.pop(task).close()
        # The first endpoints that a gateway gets after its start are not new
        # to the callers, who have used them through other gateways, so they
        # have no slow start.
        slow_start_at = now if self.targets else now - healths.SLOW_START_S
        for task, endpoint in present.items():
            self._put(endpoint, slow_start_at, gateways)
        self.grant_waiting()

    def _put(
        self,
        endpoint: endpoint_module.Endpoint,
        slow_start_at: float,
        gateways: int,
    ) -> None:
        connections = sharing.connection_share(
            connections=endpoint.connections, gateways=gateways
        )
        ceiling = min(endpoint.slots, connections)
        target = self.targets.get(endpoint.task)
        if target is not None:
            target.endpoint = endpoint
            target.limit.ceiling = float(ceiling)
            target.limit.value = min(target.limit.value, float(ceiling))
            self.pools[endpoint.task].limit = connections
            return
        share = sharing.slot_share(slots=endpoint.slots, gateways=gateways)
        self.targets[endpoint.task] = selection.Target(
            endpoint=endpoint,
            limit=concurrency.initial_limit(share=share, ceiling=ceiling),
            health=healths.Health(slow_start_at=slow_start_at),
        )
        host, port = addresses.split(endpoint.address)
        self.pools[endpoint.task] = pools.ConnectionPool(
            host=host,
            port=port,
            limit=connections,
            connect_timeout=CONNECT_TIMEOUT_S,
        )

    def close(self) -> None:
        """Close idle connections."""
        for pool in self.pools.values():
            pool.close()

    def tick(self) -> None:
        """Do the periodic work; to be called every second.

        Closes stale connections and serves waiting requests for which an
        endpoint has become available, for example after its ejection.
        """
        for pool in self.pools.values():
            pool.expire()
        self.grant_waiting()

    # Leases

    def choose(
        self, criteria: selection.SelectionCriteria
    ) -> selection.Selection | outcomes.Absent:
        """Choose an endpoint.

        Endpoints at which the request has failed are used only if no other
        one is available.
        """
        chosen = self._choose(criteria)
        if isinstance(chosen, outcomes.Absent) and criteria.failed_tasks:
            return self._choose(
                selection.SelectionCriteria(probe=criteria.probe)
            )
        return chosen

    def _choose(
        self, criteria: selection.SelectionCriteria
    ) -> selection.Selection | outcomes.Absent:
        return selection.choose(
            targets=tuple(self.targets.values()),
            criteria=criteria,
            zone=self.zone,
            link_rtts=self.link_rtts,
            now=self.now(),
            source=self.source,
        )

    async def acquire(
        self,
        *,
        criteria: selection.SelectionCriteria,
        urgency: site.Urgency,
        team: str,
        weight: float,
        deadline: float,
    ) -> Lease | queues.Shed | outcomes.Absent:
        """Wait until an endpoint can accept the request.

        :returns: a lease, or the reason why there is none: the request was
            shed, or the service has no endpoint.
        """
        if not len(self.queue):
            chosen = self.choose(criteria)
            if isinstance(chosen, selection.Selection):
                return Lease(service_pool=self, chosen=chosen)
            if chosen.reason is outcomes.Reason.NO_ENDPOINT:
                return chosen
        future = asyncio.get_running_loop().create_future()
        entry = queues.Entry(
            urgency=urgency,
            team=team,
            weight=weight,
            deadline=deadline,
            resume_data=(future, criteria),
        )
        shed, displaced = self.queue.offer(
            entry,
            now=self.now(),
            exchange_time=self.expected_exchange_time(urgency),
        )
        if displaced is not None:
            _resolve(displaced, queues.Shed.DISPLACED)
        if shed is not None:
            return shed
        return await self._wait(entry, future)

    async def _wait(
        self, entry: queues.Entry, future: asyncio.Future
    ) -> Lease | queues.Shed | outcomes.Absent:
        loop = asyncio.get_running_loop()
        handle = loop.call_later(
            max(0.0, entry.deadline - self.now()),
            _resolve,
            entry,
            queues.Shed.DEADLINE_PASSED,
        )
        try:
            return await future
        except asyncio.CancelledError:
            # The request was cancelled, for example because its caller has
            # disconnected. A lease that was granted at the same time must be
            # released.
            if future.done() and not future.cancelled():
                result = future.result()
                if isinstance(result, Lease):
                    result.release()
            raise
        finally:
            handle.cancel()
            self.queue.remove(entry)

    def expected_exchange_time(self, urgency: site.Urgency) -> float:
        """Return the time in seconds that an exchange is expected to take.

        For an urgent request this is the minimum of the recent latencies, so
        that it is shed only if even the fastest endpoint would be too slow.
        With the average latency, urgent requests would be shed while
        deferrable ones with later deadlines were served.
        """
        if urgency is not site.Urgency.URGENT:
            return self.latency
        return min(
            (target.limit.min_latency for target in self.targets.values()),
            default=0.0,
        )

    def grant_waiting(self) -> None:
        """Grant leases to waiting requests while endpoints are available."""
        while len(self.queue):
            entry = self.queue.pop()
            if entry is None:
                return
            now = self.now()
            if (
                now + self.expected_exchange_time(entry.urgency)
                > entry.deadline
            ):
                _resolve(entry, queues.Shed.CANNOT_MEET_DEADLINE)
                continue
            chosen = self.choose(entry.resume_data[1])
            if isinstance(chosen, selection.Selection):
                _resolve(entry, Lease(service_pool=self, chosen=chosen))
                continue
            if chosen.reason is outcomes.Reason.NO_ENDPOINT:
                _resolve(entry, chosen)
                continue
            self.queue.requeue(entry)
            return


def _resolve(entry: queues.Entry, result: object) -> None:
    future = entry.resume_data[0]
    if not future.done():
        future.set_result(result)
    elif isinstance(result, Lease):
        result.release()
