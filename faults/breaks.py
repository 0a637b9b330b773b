"""Deliberate breaks of the product, one for each promise.

Each break replaces a part of the product in the memory of a daemon that
``faults.broken`` starts. ``python -m faults.proof`` runs each break in its
cell and shows that the checker reports the promise.
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
class Break:
    """A break, the promise that it breaks, and the cell that shows it."""

    promise: history.Promise
    cell: str
    apply: collections.abc.Callable[[], None]


def _ignore_capacity() -> None:
    # Twice the capacity is taken for granted wherever room is compared.
    honest = resources.Resources.minus

    def minus(self, other):
        return honest(self, resources.Resources())

    resources.Resources.minus = minus


def _move_at_once() -> None:
    # A worker that gives no answer is taken for dead without waiting for
    # the leases of its tasks to lapse.
    def ended(self, host, now):
        link = self.links.by_host.get(host)
        return link is not None and link.failing_since is not None

    owner.Owner._surely_ended = ended


def _drop_checkpoints() -> None:
    honest = worker_format.encode_operation

    def encode(operation):
        document = honest(operation)
        if document["op"] == "start":
            document["checkpoint"] = None
        return document

    worker_format.encode_operation = encode


def _ignore_zone_state() -> None:
    honest = schema._zone

    def zone(checker, name, table, where):
        return honest(checker, name, {**table, "state": "in"}, where)

    schema._zone = zone


def _cross_answers() -> None:
    # Each response carries the body of the response before it.
    honest = client.ClientConnection.body
    kept: list[bytes] = []

    async def body(self):
        pieces = [piece async for piece in honest(self)]
        whole = b"".join(pieces)
        former = kept.pop() if kept else whole
        kept.append(whole)
        yield former if len(former) == len(whole) else whole

    client.ClientConnection.body = body
    client.ClientConnection.buffered = lambda self: (b"", False)


def _claim_not_run() -> None:
    refusals.Outcome.UNKNOWN._value_ = refusals.Outcome.NOT_RUN.value


def _retry_everything() -> None:
    honest = retries.decide

    def decide(failure, budget):
        repeated = dataclasses.replace(failure, idempotent=True)
        return honest(repeated, budget)

    retries.decide = decide


def _cut_at_stop() -> None:
    async def stop(self, *, grace, **others):
        for connection in list(self.connections):
            connection.close()

    async def leave(self):
        await stop(self.server, grace=0)
        self.hub.stop()

    server.Server.stop = stop
    gateway.GatewayDaemon._stop = leave


def _stay_behind() -> None:
    honest = distribution.Subscription.offer

    def offer(self, message, *arguments, **others):
        if message.generation > 1:
            return False
        return honest(self, message, *arguments, **others)

    distribution.Subscription.offer = offer


BREAKS: dict[str, Break] = {
    "ignore-capacity": Break(
        promise=history.Promise.CAPACITY,
        cell="job-large/none",
        apply=_ignore_capacity,
    ),
    "move-at-once": Break(
        promise=history.Promise.ONE_PLACE,
        cell="task-run/host-unreachable",
        apply=_move_at_once,
    ),
    "drop-checkpoints": Break(
        promise=history.Promise.RESUMES_ONCE,
        cell="zone-leave/none",
        apply=_drop_checkpoints,
    ),
    "ignore-zone-state": Break(
        promise=history.Promise.CLOSED_ZONE,
        cell="zone-out-submit/none",
        apply=_ignore_zone_state,
    ),
    "cross-answers": Break(
        promise=history.Promise.WHOLE_ANSWER,
        cell="request-run-before/none",
        apply=_cross_answers,
    ),
    "claim-not-run": Break(
        promise=history.Promise.TRUE_REFUSAL,
        cell="request-run-after/answer-lost",
        apply=_claim_not_run,
    ),
    "retry-everything": Break(
        promise=history.Promise.AT_MOST_ONCE,
        cell="request-run-after/answer-lost",
        apply=_retry_everything,
    ),
    "keep-leaving-endpoints": Break(
        promise=history.Promise.LEAVING_ENDPOINT,
        cell="zone-out-submit/none",
        apply=_ignore_zone_state,
    ),
    "cut-at-stop": Break(
        promise=history.Promise.GRACEFUL_STOP,
        cell="stop-gateway/none",
        apply=_cut_at_stop,
    ),
    "stay-behind": Break(
        promise=history.Promise.CONFIGURATION,
        cell="config-spread/none",
        apply=_stay_behind,
    ),
}
