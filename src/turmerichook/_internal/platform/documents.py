"""Decodes documents of operators and workers in the platform's store."""

import datetime
import typing

from turmerichook._internal.http import addresses
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.platform import fields
from turmerichook import exceptions

# Prefix of all keys that operators write.
OPERATOR_PREFIX = "op/"
CONFIGURATION_KEY = "op/config"
EVACUATION_PREFIX = "op/evacuate/"
# The platform calls workers "servers".
WORKER_PREFIX = "servers/"
# A worker's labels name the kind and the rack of its host. A rack's label is
# like "r1-3".
RACK_LABEL_PREFIX = "r"
# Largest amounts of a host or a task, in millicores, MiB and devices. They
# keep the processor time of all tasks of a job in the range of a duration.
MILLICORES_MAX = 10**6
AMOUNT_MAX = 10**9
SLACK_FACTOR_MAX = 1000.0


def decode_configuration(value: bytes) -> deployment.Configuration:
    """Return the operators' configuration.

    :raises MessageError: if a field is missing or has the wrong type.
    """
    document = fields.parse(value)
    limits = fields.json_object(document, "limits")
    return deployment.Configuration(
        version=fields.integer(document, "version"),
        queues=tuple(
            _decode_queue(row) for row in fields.objects(document, "routes")
        ),
        services=tuple(
            _decode_service(row)
            for row in fields.objects(document, "services")
        ),
        body_bytes=fields.integer(limits, "max-body-bytes"),
        customers=_decode_customers(document),
    )


def decode_worker_entry(key: str, value: bytes) -> deployment.WorkerEntry:
    """Return a worker's registry entry.

    :raises MessageError: if a field is missing or invalid.
    """
    worker = key.removeprefix(WORKER_PREFIX)
    if not worker:
        raise exceptions.MessageError(message="the key names no worker")
    document = fields.parse(value)
    labels = fields.array(document, "labels")
    state = fields.string(document, "state")
    if not all(isinstance(label, str) for label in labels):
        raise exceptions.MessageError(
            message="each entry of 'labels' must be a string"
        )
    try:
        worker_state = deployment.WorkerState(state)
    except ValueError as error:
        raise exceptions.MessageError(
            message=f"unknown worker state {state[:50]!r}"
        ) from error
    remaining = None
    if "remaining-ms" in document:
        remaining = fields.milliseconds(document, "remaining-ms")
    return deployment.WorkerEntry(
        worker=ids.WorkerId(worker),
        incarnation=fields.integer(document, "born", 0),
        address=_address(document),
        zone=ids.ZoneId(fields.string(document, "zone")),
        service=ids.ServiceId(fields.string(document, "service")),
        state=worker_state,
        # Despite its name, "free-capacity" is the total that all tasks on
        # the worker may use together, and not what is left of it. The
        # field "capacity" is a number of request slots.
        capacity=amounts(fields.json_object(document, "free-capacity")),
        labels=frozenset(labels),
        rack=ids.RackId(
            next(
                (
                    label
                    for label in labels
                    if label[:1] == RACK_LABEL_PREFIX and "-" in label
                ),
                "",
            )
        ),
        cold=fields.milliseconds(document, "cold-remaining-ms", 0),
        remaining=remaining,
    )


def _address(document: dict[str, typing.Any]) -> str:
    address = fields.string(document, "address")
    try:
        host, port = addresses.split(address)
    except exceptions.SettingsError as error:
        raise exceptions.MessageError(
            message=f"field 'address': {error.message}", context="address"
        ) from error
    if not port:
        raise exceptions.MessageError(
            message="field 'address' has port 0", context="address"
        )
    if "%" in host:
        # A scope names an interface of the host that wrote the entry.
        raise exceptions.MessageError(
            message="field 'address' has a scope", context="address"
        )
    return address


def amounts(
    document: dict[str, typing.Any], millicores_max: int = MILLICORES_MAX
) -> resources.Resources:
    """Return the amounts of resources; missing ones are zero.

    :param millicores_max: largest number of millicores that is accepted.
    :raises MessageError: if an amount is not a whole number of at least 0.
    """
    return resources.Resources(
        millicores=fields.integer(document, "cpu", 0, millicores_max),
        memory_mib=fields.integer(document, "mem-mb", 0, AMOUNT_MAX),
        accelerators=fields.integer(document, "gpu", 0, AMOUNT_MAX),
    )


def _decode_queue(row: dict[str, typing.Any]) -> deployment.Queue:
    # The platform calls a queue of jobs a "route".
    return deployment.Queue(
        queue=ids.QueueId(fields.string(row, "name")),
        host=fields.string(row, "host"),
        prefix=fields.string(row, "prefix"),
        service=ids.ServiceId(fields.string(row, "service", "")),
        priority=fields.integer(row, "priority", 0),
        max_attempts=fields.integer(row, "max-attempts", 1),
        slack_factor=fields.number(row, "slack-factor", 1.0, SLACK_FACTOR_MAX),
        latency_objective=fields.milliseconds(row, "slo-ms", 0),
        timeout=datetime.timedelta(
            milliseconds=fields.number(
                row, "timeout-ms", 0, fields.MILLISECONDS_MAX
            )
        ),
        advisor=_decode_advisor_terms(row),
        public=fields.boolean(row, "public"),
    )


def _decode_advisor_terms(
    row: dict[str, typing.Any],
) -> deployment.AdvisorTerms | None:
    if not row.get("advisor"):
        return None
    terms = fields.json_object(row, "advisor")
    return deployment.AdvisorTerms(
        decision=fields.milliseconds(terms, "decision-ms", 0),
        # "period-ms" is the time that each worker listed in a call adds to
        # the decision.
        each_worker=fields.milliseconds(terms, "period-ms", 0),
        # An answer of the advisor may override this validity.
        validity=fields.milliseconds(terms, "validity-ms", 0),
    )


def _decode_customers(
    document: dict[str, typing.Any],
) -> tuple[deployment.Customer, ...] | None:
    # The platform calls customers "tenants".
    if "tenants" not in document:
        return None
    rows = document["tenants"]
    # The errors here and below name no values, as these may be keys.
    if not isinstance(rows, list) or not all(
        isinstance(row, dict) for row in rows
    ):
        raise exceptions.MessageError(
            message="field 'tenants' must be a list of objects",
            context="tenants",
        )
    customers = tuple(_decode_customer(row) for row in rows)
    _check_unique("name", [customer.customer for customer in customers])
    _check_unique("api-keys", [k for c in customers for k in c.keys])
    return customers


def _decode_customer(row: dict[str, typing.Any]) -> deployment.Customer:
    keys = row.get("api-keys", [])
    if not isinstance(keys, list) or not all(_is_key(key) for key in keys):
        raise exceptions.MessageError(
            message="field 'api-keys' must be a list of ASCII strings"
            " that are not empty",
            context="api-keys",
        )
    weight = fields.number(row, "weight", 1)
    if not weight:
        raise exceptions.MessageError(
            message="field 'weight' must be more than 0", context="weight"
        )
    quota = resources.NOTHING
    if "max-count" in row:
        quota = amounts(fields.json_object(row, "max-count"), AMOUNT_MAX)
    return deployment.Customer(
        customer=ids.CustomerId(fields.string(row, "name")),
        keys=tuple(keys),
        weight=weight,
        # An amount of 0 means that the resource is not limited.
        quota=resources.Resources(
            millicores=quota.millicores or deployment.UNLIMITED,
            memory_mib=quota.memory_mib or deployment.UNLIMITED,
            accelerators=quota.accelerators or deployment.UNLIMITED,
        ),
    )


def _is_key(value: typing.Any) -> bool:
    """Return whether a value is text that a header can hold."""
    return isinstance(value, str) and value != "" and value.isascii()


def _check_unique(field: str, values: list[str]) -> None:
    """Raise an error that names the field, but not a value given twice."""
    if len(set(values)) < len(values):
        raise exceptions.MessageError(
            message=f"field {field!r} of 'tenants' has a value given twice",
            context=field,
        )


def _decode_service(row: dict[str, typing.Any]) -> deployment.Service:
    return deployment.Service(
        service=ids.ServiceId(fields.string(row, "name")),
        guarded=fields.boolean(row, "enforce-limits"),
        standby=fields.boolean(row, "standby"),
    )
