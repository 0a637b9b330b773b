"""Encodes typed messages as msgpack frames, and decodes them.

A frame is the array ``[type name, fields]``. ``fields`` is a map that omits
the fields which have their default values: heartbeats are most of the traffic
between processes, and most of their fields have the default values. Frames
need no length prefix, as msgpack values are self-delimiting.
"""

import collections.abc
import dataclasses
import typing

import msgpack

from turmerichook import exceptions

FRAME_MAX_BYTES = 1024 * 1024
# Initial size of a connection's read buffer, which grows for large frames. By
# default msgpack allocates the maximum at once, 1 MiB for each connection.
INITIAL_BUFFER_BYTES = 4096


class Codec:
    """Encodes and decodes messages of the given data classes.

    Fields may hold the types that msgpack supports: numbers, strings, bytes,
    and lists and maps of these.

    :param types: data classes of the messages.
    """

    def __init__(self, *, types: collections.abc.Iterable[type]):
        self.types = {
            message_type.__name__: message_type for message_type in types
        }
        self.field_names = {
            name: frozenset(f.name for f in dataclasses.fields(message_type))
            for name, message_type in self.types.items()
        }
        self.defaults = {
            name: _defaults(message_type)
            for name, message_type in self.types.items()
        }

    def encode(self, message: typing.Any) -> bytes:
        """Encode a message as a frame.

        :raises FrameTooLargeError: if the frame exceeds 1 MiB.
        """
        name = type(message).__name__
        defaults = self.defaults[name]
        fields = {}
        for field in dataclasses.fields(message):
            value = getattr(message, field.name)
            if field.name not in defaults or value != defaults[field.name]:
                fields[field.name] = value
        frame = msgpack.packb([name, fields])
        if len(frame) > FRAME_MAX_BYTES:
            raise exceptions.FrameTooLargeError(
                message=f"frame of message {name} has {len(frame)} bytes",
                context=f"limit {FRAME_MAX_BYTES} bytes",
            )
        return frame

    def decode(self, frame: typing.Any) -> typing.Any:
        """Return the message in a frame that msgpack has unpacked.

        :raises MessageError: if the type or a field is unknown, or a required
            field is missing.
        """
        match frame:
            case [str(name), dict(fields)] if name in self.types:
                return self._build(name, fields)
            case _:
                raise exceptions.MessageError(
                    message="not a frame of a known message type",
                    context=repr(frame)[:80],
                )

    def _build(self, name: str, fields: dict) -> typing.Any:
        unknown = set(fields) - self.field_names[name]
        if unknown:
            raise exceptions.MessageError(
                message=f"message {name} has unknown fields",
                context=", ".join(sorted(map(str, unknown))),
            )
        try:
            return self.types[name](**fields)
        except (TypeError, ValueError) as error:
            raise exceptions.MessageError(
                message=f"message {name} is malformed: {error}",
            ) from error


def _defaults(message_type: type) -> dict[str, typing.Any]:
    defaults = {}
    for field in dataclasses.fields(message_type):
        if field.default is not dataclasses.MISSING:
            defaults[field.name] = field.default
        elif field.default_factory is not dataclasses.MISSING:
            defaults[field.name] = field.default_factory()
    return defaults


class FrameReader:
    """Splits received bytes into decoded messages."""

    def __init__(self, *, codec: Codec):
        self.codec = codec
        self.unpacker = msgpack.Unpacker(
            read_size=INITIAL_BUFFER_BYTES, max_buffer_size=FRAME_MAX_BYTES
        )

    def feed(self, data: bytes) -> list[typing.Any]:
        """Add received bytes and return the messages that they complete.

        :raises FrameTooLargeError: if a frame exceeds 1 MiB.
        :raises MessageError: if a frame cannot be decoded.
        """
        try:
            self.unpacker.feed(data)
            frames = list(self.unpacker)
        except msgpack.BufferFull as error:
            raise exceptions.FrameTooLargeError(
                message="a received frame is too large",
                context=f"limit {FRAME_MAX_BYTES} bytes",
            ) from error
        except (msgpack.UnpackException, ValueError) as error:
            raise exceptions.MessageError(
                message=f"received data is not valid msgpack: {error}",
            ) from error
        return [self.codec.decode(frame) for frame in frames]
