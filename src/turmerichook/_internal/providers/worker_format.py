"""JSON format of the requests and responses of the workers' sync call.

The HTTP adapter and the stand-in worker share this module, so that the format
is defined in one place.
"""

import datetime
import typing

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.providers import workers
from turmerichook import exceptions


def encode_request(request: workers.SyncRequest) -> dict[str, typing.Any]:
    """Encode a sync request as a JSON document."""
    return {
        "zone": request.zone,
        "epoch": request.epoch,
        "owner": request.owner,
        "lease_until": request.lease_until.total_seconds(),
        "boot": request.boot,
        "acknowledged": request.acknowledged,
        "operations": [encode_operation(o) for o in request.operations],
        "inventory": request.inventory,
        "wait": request.wait.total_seconds(),
    }


def decode_request(document: typing.Any) -> workers.SyncRequest:
    """Decode a sync request from its JSON document.

    :raises MessageError: if the document is malformed.
    """
    try:
        return workers.SyncRequest(
            zone=ids.ZoneId(document["zone"]),
            epoch=ids.Epoch(int(document["epoch"])),
            owner=ids.NodeId(document["owner"]),
            lease_until=_decode_seconds(document["lease_until"]),
            boot=ids.BootId(document["boot"]),
            acknowledged=int(document["acknowledged"]),
            operations=tuple(
                decode_operation(o) for o in document["operations"]
            ),
            inventory=bool(document["inventory"]),
            wait=_decode_seconds(document["wait"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise _malformed_error("sync request", error) from error


def encode_operation(operation: workers.Operation) -> dict[str, typing.Any]:
    """Encode an operation as a JSON document."""
    attempt_fields = {"task": operation.task, "attempt": operation.attempt}
    match operation:
        case workers.Start():
            return {
                "op": "start",
                **attempt_fields,
                "kind": operation.kind.value,
                "resources": operation.resources.to_map(),
                "not_after": operation.not_after.total_seconds(),
                "run_time": operation.run_time.total_seconds(),
                "checkpoint": operation.checkpoint,
                "slots": operation.slots,
                "connections": operation.connections,
            }
        case workers.Stop():
            return {
                "op": "stop",
                **attempt_fields,
                "checkpoint": operation.checkpoint,
            }
        case workers.Throttle():
            return {
                "op": "throttle",
                **attempt_fields,
                "share": operation.share,
            }


def decode_operation(document: typing.Any) -> workers.Operation:
    """Decode an operation from its JSON document.

    :raises KeyError: if a field is missing.
    :raises TypeError: if a field has the wrong type.
    :raises ValueError: if a field or the kind of operation is invalid.
    """
    task = ids.TaskId(document["task"])
    attempt = ids.Attempt(int(document["attempt"]))
    match document["op"]:
        case "start":
            return workers.Start(
                task=task,
                attempt=attempt,
                kind=workers.TaskKind(document["kind"]),
                resources=resources.Resources(**document["resources"]),
                not_after=_decode_seconds(document["not_after"]),
                run_time=_decode_seconds(document["run_time"]),
                checkpoint=document["checkpoint"],
                slots=int(document["slots"]),
                connections=int(document["connections"]),
            )
        case "stop":
            return workers.Stop(
                task=task,
                attempt=attempt,
                checkpoint=bool(document["checkpoint"]),
            )
        case "throttle":
            return workers.Throttle(
                task=task,
                attempt=attempt,
                share=float(document["share"]),
            )
        case other:
            raise ValueError(
                f"unknown operation {other!r}: not start, stop or throttle"
            )


def encode_answer(answer: workers.SyncAnswer) -> dict[str, typing.Any]:
    """Encode the response to a sync request as a JSON document."""
    return {
        "boot": answer.boot,
        "clock": answer.clock.total_seconds(),
        "events": [_encode_event(e) for e in answer.events],
        "usage": [_encode_usage(u) for u in answer.usage],
        "running": [_encode_running(r) for r in answer.running],
    }


def decode_answer(document: typing.Any) -> workers.SyncAnswer:
    """Decode the response to a sync request from its JSON document.

    :raises MessageError: if the document is malformed.
    """
    try:
        return workers.SyncAnswer(
            boot=ids.BootId(document["boot"]),
            clock=_decode_seconds(document["clock"]),
            events=tuple(_decode_event(e) for e in document["events"]),
            usage=tuple(_decode_usage(u) for u in document["usage"]),
            running=tuple(_decode_running(r) for r in document["running"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise _malformed_error("sync response", error) from error


def _encode_event(event: workers.TaskEvent) -> dict[str, typing.Any]:
    return {
        "sequence": event.sequence,
        "task": event.task,
        "attempt": event.attempt,
        "state": event.state.value,
        "detail": event.detail,
        "address": event.address,
        "checkpoint": event.checkpoint,
    }


def _decode_event(document: typing.Any) -> workers.TaskEvent:
    return workers.TaskEvent(
        sequence=int(document["sequence"]),
        task=ids.TaskId(document["task"]),
        attempt=ids.Attempt(int(document["attempt"])),
        state=workers.TaskState(document["state"]),
        detail=document["detail"],
        address=document["address"],
        checkpoint=document["checkpoint"],
    )


def _encode_usage(usage: workers.TaskUsage) -> dict[str, typing.Any]:
    return {
        "task": usage.task,
        "attempt": usage.attempt,
        "used": usage.used.to_map(),
        "age": usage.age.total_seconds(),
        "latency": usage.latency.total_seconds(),
    }


def _decode_usage(document: typing.Any) -> workers.TaskUsage:
    return workers.TaskUsage(
        task=ids.TaskId(document["task"]),
        attempt=ids.Attempt(int(document["attempt"])),
        used=resources.Resources(**document["used"]),
        age=_decode_seconds(document["age"]),
        latency=_decode_seconds(document["latency"]),
    )


def _encode_running(running: workers.RunningTask) -> dict[str, typing.Any]:
    return {
        "task": running.task,
        "attempt": running.attempt,
        "kind": running.kind.value,
        "resources": running.resources.to_map(),
        "address": running.address,
    }


def _decode_running(document: typing.Any) -> workers.RunningTask:
    return workers.RunningTask(
        task=ids.TaskId(document["task"]),
        attempt=ids.Attempt(int(document["attempt"])),
        kind=workers.TaskKind(document["kind"]),
        resources=resources.Resources(**document["resources"]),
        address=document["address"],
    )


def _decode_seconds(value: typing.Any) -> datetime.timedelta:
    return datetime.timedelta(seconds=float(value))


def _malformed_error(
    document_kind: str, error: Exception
) -> exceptions.MessageError:
    return exceptions.MessageError(
        message=f"malformed {document_kind}: {type(error).__name__}: {error}",
    )
