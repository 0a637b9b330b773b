"""Stored form of one configuration generation: its bundle and its head.

The bundle holds the operators' files as one value. The head names the
generation in force and the key of its bundle.
"""

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
# An operator whose answer from the store was lost can still find the own
# operation id in the head after 20 changes by others. Zone owners read the
# head every second, so its size has to stay below 1 KB.
MAX_PREVIOUS_OPERATIONS = 20
MAX_BUNDLE_BYTES = reading.MAX_TOTAL_BYTES


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Head:
    """Record of the generation in force.

    :param digest: SHA-256 of the bundle, in hexadecimal.
    :param operation: id of the apply that wrote this head; it identifies a
        write whose answer was lost.
    :param applied: time of the apply in ISO 8601.
    :param bundle_key: store key of the generation's bundle.
    :param previous: ids of the operations that preceded ``operation``, the
        latest first.
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
    """A validated generation with its files and the parsed configuration."""

    generation: ids.Generation
    digest: str
    files: folder.Files
    configuration: site.Configuration


def pack_files(files: folder.Files) -> bytes:
    """Return the bundle that holds the files.

    :raises ConfigurationError: if the bundle exceeds 768 KiB.
    """
    packed = msgpack.packb(dict(sorted(files.items())))
    if len(packed) > MAX_BUNDLE_BYTES:
        problem = exceptions.ConfigurationProblem(
            code="too-large",
            file="",
            where="",
            expected=f"at most {MAX_BUNDLE_BYTES} bytes in all files",
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
                message="malformed configuration bundle: expected a map from"
                f" *{folder.SUFFIX} file names to bytes",
            )


def _is_file(file_entry: tuple[typing.Any, typing.Any]) -> bool:
    name, content = file_entry
    # ``config pull`` writes files under these names, so a name that contains
    # a path could make it write outside the folder.
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
    """Return the store key of a replaced generation's head."""
    return f"{HISTORY_PREFIX}{generation:08d}"


def pack_head(head: Head) -> bytes:
    """Return the serialized head, as written to the store."""
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
    """Return the head that a stored value holds.

    :raises MessageError: if the value is malformed.
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
            raise _malformed_head("unexpected number or types of fields")


def _malformed_head(reason: str) -> exceptions.MessageError:
    return exceptions.MessageError(
        message=f"malformed configuration head: {reason}",
    )


def accept(generation: ids.Generation, packed: bytes) -> Accepted:
    """Parse and validate the files of a generation's bundle.

    :raises ConfigurationError: if the files are not valid for this software
        version, for example because a newer version wrote them.
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
