"""One generation of the operators' files, as kept in the store."""

import dataclasses
import datetime
import hashlib
import typing

import msgpack

from turmerichook._internal.configuration import folder
from turmerichook._internal.configuration import reading
from turmerichook._internal.configuration import schema
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook import exceptions

HEAD_KEY = "config/head"
BUNDLE_PREFIX = "config/bundles/"
HISTORY_PREFIX = "config/history/"
# Enough for an operator whose answer was lost to find the own operation
# after a burst of 20 changes by others. Zone owners read the head every
# second, so it stays below 1 KB.
PREVIOUS_KEPT = 20
BUNDLE_BYTES = reading.TOTAL_BYTES


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Head:
    """Which generation is in force.

    :param digest: SHA-256 of the bundle, in hexadecimal.
    :param operation: id of the apply that wrote it, to recognise a write
        whose answer was lost.
    :param previous: ids of the operations before it, the latest first.
    """

    generation: ids.Generation
    digest: str
    operation: ids.OperationId
    author: str
    applied: str
    bundle_key: str
    previous: tuple[ids.OperationId, ...] = ()


@dataclasses.dataclass(frozen=True, kw_only=True)
class Accepted:
    """A generation with its files and what they mean."""

    generation: ids.Generation
    digest: str
    files: folder.Files
    configuration: site.Configuration


def pack_files(files: folder.Files) -> bytes:
    """Return the bundle of files.

    :raises ConfigurationError: if it exceeds 768 KiB.
    """
    packed = msgpack.packb(dict(sorted(files.items())))
    if len(packed) > BUNDLE_BYTES:
        problem = exceptions.ConfigurationProblem(
            code="too-large",
            file="",
            where="",
            expected=f"at most {BUNDLE_BYTES} bytes in all files",
            hint="move job submissions out of the folder",
        )
        raise exceptions.ConfigurationError(problems=(problem,))
    return packed


def unpack_files(packed: bytes) -> folder.Files:
    """Return the files of a bundle.

    :raises MessageError: if the bundle is malformed.
    """
    try:
        files = msgpack.unpackb(packed)
    except (ValueError, msgpack.UnpackException) as error:
        raise exceptions.MessageError(
            message=f"malformed configuration bundle: {error}",
        ) from error
    match files:
        case dict() if files and all(map(_is_file, files.items())):
            return files
        case _:
            raise exceptions.MessageError(
                message="malformed configuration bundle",
            )


def _is_file(item: tuple[typing.Any, typing.Any]) -> bool:
    name, content = item
    # ``config pull`` writes files of these names, so a name with a path in
    # it could write outside the folder.
    return (
        isinstance(name, str)
        and isinstance(content, bytes)
        and name.endswith(folder.SUFFIX)
        and not name.startswith(".")
        and "/" not in name
        and "\0" not in name
    )


def digest_of(packed: bytes) -> str:
    """Return the SHA-256 of a bundle in hexadecimal."""
    return hashlib.sha256(packed).hexdigest()


def make_head(
    *,
    generation: ids.Generation,
    packed: bytes,
    operation: ids.OperationId,
    author: str,
    now: datetime.datetime,
    previous: tuple[ids.OperationId, ...] = (),
) -> Head:
    """Return the head for a bundle that is about to be applied."""
    return Head(
        generation=generation,
        digest=digest_of(packed),
        operation=operation,
        author=author,
        applied=now.isoformat(),
        bundle_key=bundle_prefix(generation) + operation,
        previous=previous,
    )


def bundle_prefix(generation: ids.Generation) -> str:
    """Return the common prefix of all bundles of a generation."""
    return f"{BUNDLE_PREFIX}{generation:08d}-"


def history_key(generation: ids.Generation) -> str:
    """Return the key that keeps the head of a replaced generation."""
    return f"{HISTORY_PREFIX}{generation:08d}"


def pack_head(head: Head) -> bytes:
    """Return the stored form of a head."""
    return msgpack.packb(
        [
            head.generation,
            head.digest,
            head.operation,
            head.author,
            head.applied,
            head.bundle_key,
            [bytes.fromhex(operation) for operation in head.previous],
        ]
    )


def unpack_head(packed: bytes) -> Head:
    """Return a stored head.

    :raises MessageError: if it is malformed.
    """
    try:
        values = msgpack.unpackb(packed)
    except (ValueError, msgpack.UnpackException) as error:
        raise _malformed_head(str(error)) from error
    match values:
        case [
            int(generation),
            str(digest),
            str(operation),
            str(author),
            str(applied),
            str(key),
            list(previous),
        ] if generation > 0 and all(isinstance(p, bytes) for p in previous):
            return Head(
                generation=ids.Generation(generation),
                digest=digest,
                operation=ids.OperationId(operation),
                author=author,
                applied=applied,
                bundle_key=key,
                previous=tuple(ids.OperationId(p.hex()) for p in previous),
            )
        case _:
            raise _malformed_head("unexpected fields")


def _malformed_head(why: str) -> exceptions.MessageError:
    return exceptions.MessageError(
        message=f"malformed configuration head: {why}",
    )


def accept(generation: ids.Generation, packed: bytes) -> Accepted:
    """Return a generation, checked as a whole.

    :raises ConfigurationError: if this version does not understand it.
    :raises MessageError: if the bundle is malformed.
    """
    files = unpack_files(packed)
    configuration = schema.parse(folder.merge(files))
    return Accepted(
        generation=generation,
        digest=digest_of(packed),
        files=files,
        configuration=configuration,
    )
