"""Defects to inject into the product, one for each guarantee.

Each defect replaces a function or value of the product at run time, in a
daemon process started by ``faults.broken``. ``python -m faults.proof`` runs
each defect in its cell of the fault matrix, and shows that the history checker
reports the violated guarantee.
"""

import collections.abc
import dataclasses

from standins import history
from turmerichook._internal.configuration import distribution
from turmerichook._internal.configuration import schema
from turmerichook._internal.http import client
from turmerichook._internal.http import server
from turmerichook._internal.models import resources
from turmerichook._internal.providers import worker_format
from turmerichook._internal.routing import daemon as gateway
from turmerichook._internal.routing import refusals
from turmerichook._internal.routing import retries
from turmerichook._internal.scheduling import owner


@dataclasses.dataclass(frozen=True, kw_only=True)
class Defect:
    """A defect to inject into the product.

    :param promise: guarantee that the defect violates.
    :param cell: cell of the fault matrix in which the violation occurs.
    :param apply: replaces the affected part of the product.
    """

    promise: history.Promise
    cell: str
    apply: collections.abc.Callable[[], None]


def _ignore_capacity() -> None:
    # Nothing is subtracted from an amount of resources, so that every
    # comparison with the free capacity of a host assumes twice the capacity.
    original = resources.Resources.minus

    def minus(self, other):
        return original(self, resources.Resources())

    resources.Resources.minus = minus


def _ignore_leases() -> None:
    # Tasks on a worker that fails to respond are treated as ended before
    # their leases have lapsed.
    def ended(self, host, now):
        link = self.links.by_host.get(host)
        return link is not None and link.failing_since is not None

    owner.Owner._surely_ended = ended


def _drop_checkpoints() -> None:
    original = worker_format.encode_operation

    def encode(operation):
        document = original(operation)
        if document["op"] == "start":
            document["checkpoint"] = None
        return document

    worker_format.encode_operation = encode


def _ignore_zone_state() -> None:
    original = schema._zone

    def zone(checker, name, table, where):
        return original(checker, name, {**table, "state": "in"}, where)

    schema._zone = zone


def _cross_answers() -> None:
    # Each response carries the body of the previous response if both have
    # the same length.
    original = client.ClientConnection.body
    previous_bodies: list[bytes] = []

    async def body(self):
        chunks = [chunk async for chunk in original(self)]
        full_body = b"".join(chunks)
        previous = previous_bodies.pop() if previous_bodies else full_body
        previous_bodies.append(full_body)
        yield previous if len(previous) == len(full_body) else full_body

    client.ClientConnection.body = body
    client.ClientConnection.buffered = lambda self: (b"", False)


def _claim_not_run() -> None:
    refusals.Outcome.UNKNOWN._value_ = refusals.Outcome.NOT_RUN.value


def _retry_everything() -> None:
    original = retries.decide

    def decide(failure, budget):
        retryable = dataclasses.replace(failure, idempotent=True)
        return original(retryable, budget)

    retries.decide = decide


def _cut_at_stop() -> None:
    async def stop(self, *, grace, **options):
        for connection in list(self.connections):
            connection.close()

    async def stop_daemon(self):
        await stop(self.server, grace=0)
        self.hub.stop()

    server.Server.stop = stop
    gateway.GatewayDaemon._stop = stop_daemon


def _ignore_new_generations() -> None:
    original = distribution.Subscription.offer

    def offer(self, message, *arguments, **options):
        if message.generation > 1:
            return False
        return original(self, message, *arguments, **options)

    distribution.Subscription.offer = offer


DEFECTS: dict[str, Defect] = {
    "ignore-capacity": Defect(
        promise=history.Promise.CAPACITY,
        cell="job-large/none",
        apply=_ignore_capacity,
    ),
    "move-at-once": Defect(
        promise=history.Promise.ONE_PLACE,
        cell="task-run/host-unreachable",
        apply=_ignore_leases,
    ),
    "drop-checkpoints": Defect(
        promise=history.Promise.RESUMES_ONCE,
        cell="zone-leave/none",
        apply=_drop_checkpoints,
    ),
    "ignore-zone-state": Defect(
        promise=history.Promise.CLOSED_ZONE,
        cell="zone-out-submit/none",
        apply=_ignore_zone_state,
    ),
    "cross-answers": Defect(
        promise=history.Promise.WHOLE_ANSWER,
        cell="request-run-before/none",
        apply=_cross_answers,
    ),
    "claim-not-run": Defect(
        promise=history.Promise.TRUE_REFUSAL,
        cell="request-run-after/answer-lost",
        apply=_claim_not_run,
    ),
    "retry-everything": Defect(
        promise=history.Promise.AT_MOST_ONCE,
        cell="request-run-after/answer-lost",
        apply=_retry_everything,
    ),
    "keep-leaving-endpoints": Defect(
        promise=history.Promise.LEAVING_ENDPOINT,
        cell="zone-out-submit/none",
        apply=_ignore_zone_state,
    ),
    "cut-at-stop": Defect(
        promise=history.Promise.GRACEFUL_STOP,
        cell="stop-gateway/none",
        apply=_cut_at_stop,
    ),
    "stay-behind": Defect(
        promise=history.Promise.CONFIGURATION,
        cell="config-spread/none",
        apply=_ignore_new_generations,
    ),
}
