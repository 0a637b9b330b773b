"""Decodes what operators and workers write into the platform's store."""

import datetime
import typing

from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.platform import fields
from turmerichook import exceptions

# Everything that operators write stands below this prefix.
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
# "servers" are the workers that run tasks.
WORKER_PREFIX = "servers/"
# Labels name the host's kind and its rack; racks are written like "r1-3".
RACK_MARK = "r"


def configuration(value: bytes) -> deployment.Configuration:
    """Return the operators' configuration.

    :raises MessageError: if a field is missing or of another type.
    """
    document = fields.parse(value)
    limits = fields.table(document, "limits")
    return deployment.Configuration(
        version=fields.integer(document, "version"),
        queues=tuple(
            _queue(row) for row in fields.listing(document, "routes")
        ),
        services=tuple(
            _service(row) for row in fields.listing(document, "services")
        ),
        body_bytes=fields.integer(limits, "max-body-bytes"),
    )


def worker(key: str, value: bytes) -> deployment.WorkerEntry:
    """Return a worker's entry.

    :raises MessageError: if the entry is not one of a worker.
    """
    document = fields.parse(value)
    labels = fields.listing(document, "labels")
    state = fields.text(document, "state")
    if not all(isinstance(label, str) for label in labels):
        raise exceptions.MessageError(message="labels must be texts")
    try:
        decoded = deployment.WorkerState(state)
    except ValueError as error:
        raise exceptions.MessageError(
            message=f"unknown state {state[:50]!r}"
        ) from error
    remaining = None
    if "remaining-ms" in document:
        remaining = fields.milliseconds(document, "remaining-ms")
    return deployment.WorkerEntry(
        worker=ids.WorkerId(key.removeprefix(WORKER_PREFIX)),
        incarnation=fields.integer(document, "born", 0),
        address=fields.text(document, "address"),
        zone=ids.ZoneId(fields.text(document, "zone")),
        service=ids.ServiceId(fields.text(document, "service")),
        state=decoded,
        # Despite its name, "free-capacity" is what all tasks together may
        # take, and "capacity" is a number of request slots.
        capacity=amounts(fields.table(document, "free-capacity")),
        labels=frozenset(labels),
        rack=ids.RackId(
            next((x for x in labels if x[:1] == RACK_MARK and "-" in x), "")
        ),
        cold=fields.milliseconds(document, "cold-remaining-ms", 0),
        remaining=remaining,
    )


def amounts(document: dict[str, typing.Any]) -> resources.Resources:
    """Return amounts of resources; missing ones are zero.

    :raises MessageError: if an amount is no whole number from 0.
    """
    return resources.Resources(
        millicores=fields.integer(document, "cpu", 0),
        memory_mib=fields.integer(document, "mem-mb", 0),
        accelerators=fields.integer(document, "gpu", 0),
    )


def _queue(row: typing.Any) -> deployment.Queue:
    # A "route" of the platform is a queue of jobs.
    return deployment.Queue(
        queue=ids.QueueId(fields.text(row, "name")),
        host=fields.text(row, "host"),
        prefix=fields.text(row, "prefix"),
        service=ids.ServiceId(fields.text(row, "service", "")),
        priority=fields.integer(row, "priority", 0),
        max_attempts=fields.integer(row, "max-attempts", 1),
        slack_factor=fields.number(row, "slack-factor", 1.0),
        latency_objective=fields.milliseconds(row, "slo-ms", 0),
        timeout=datetime.timedelta(
            milliseconds=fields.number(row, "timeout-ms", 0)
        ),
        advisor=_advisor(row),
    )


def _advisor(row: dict[str, typing.Any]) -> deployment.AdvisorTerms | None:
    if not row.get("advisor"):
        return None
    terms = fields.table(row, "advisor")
    return deployment.AdvisorTerms(
        decision=fields.milliseconds(terms, "decision-ms", 0),
        # The "period" is the time that each worker in a question adds.
        each_worker=fields.milliseconds(terms, "period-ms", 0),
        # An answer of the advisor names it too.
        validity=fields.milliseconds(terms, "validity-ms", 0),
    )


def _service(row: typing.Any) -> deployment.Service:
    return deployment.Service(
        service=ids.ServiceId(fields.text(row, "name")),
        guarded=fields.boolean(row, "enforce-limits"),
        standby=fields.boolean(row, "standby"),
    )
