"""Typed messages as msgpack frames.

A frame is the array ``[type name, fields]``, where the fields are a map.
msgpack delimits the frames itself.
"""

import collections.abc
import dataclasses
import typing

import msgpack

from turmerichook import exceptions

FRAME_BYTES = 1024 * 1024
# First size of a connection's buffer, which grows with large frames. By
# default msgpack takes the largest size at once, 1 MiB for each connection.
BUFFER_BYTES = 4096


class Codec:
    """Encodes and decodes the data classes that it is given.

    Fields hold what msgpack can carry: numbers, text, bytes, and lists and
    maps of these.
    """

    def __init__(self, *, types: collections.abc.Iterable[type]):
        self.types = {kind.__name__: kind for kind in types}
        self.names = {
            name: frozenset(f.name for f in dataclasses.fields(kind))
            for name, kind in self.types.items()
        }

    def encode(self, message: typing.Any) -> bytes:
        """Return the frame of a message.

        :raises FrameTooLargeError: if it exceeds 1 MiB.
        """
        name = type(message).__name__
        fields = {n: getattr(message, n) for n in self.names[name]}
        frame = msgpack.packb([name, fields])
        if len(frame) > FRAME_BYTES:
            raise exceptions.FrameTooLargeError(
                message=f"{name} has {len(frame)} bytes",
                context=f"limit {FRAME_BYTES} bytes",
            )
        return frame

    def decode(self, frame: typing.Any) -> typing.Any:
        """Return the message of an unpacked frame.

        :raises MessageError: if type or fields are unknown or missing.
        """
        match frame:
            case [str(name), dict(fields)] if name in self.types:
                return self._build(name, fields)
            case _:
                raise exceptions.MessageError(
                    message="not a known frame",
                    context=repr(frame)[:80],
                )

    def _build(self, name: str, fields: dict) -> typing.Any:
        unknown = set(fields) - self.names[name]
        if unknown:
            raise exceptions.MessageError(
                message=f"{name} has unknown fields",
                context=", ".join(sorted(map(str, unknown))),
            )
        try:
            return self.types[name](**fields)
        except (TypeError, ValueError) as error:
            raise exceptions.MessageError(
                message=f"{name} is malformed: {error}",
            ) from error


class FrameReader:
    """Splits received bytes into decoded messages."""

    def __init__(self, *, codec: Codec):
        self.codec = codec
        self.unpacker = msgpack.Unpacker(
            read_size=BUFFER_BYTES, max_buffer_size=FRAME_BYTES
        )

    def feed(self, data: bytes) -> list[typing.Any]:
        """Return the messages that are complete after ``data``.

        :raises FrameTooLargeError: if a frame exceeds 1 MiB.
        :raises MessageError: if a frame cannot be decoded.
        """
        try:
            self.unpacker.feed(data)
            frames = list(self.unpacker)
        except msgpack.BufferFull as error:
            raise exceptions.FrameTooLargeError(
                message="a frame exceeds the limit",
                context=f"limit {FRAME_BYTES} bytes",
            ) from error
        except (msgpack.UnpackException, ValueError) as error:
            raise exceptions.MessageError(
                message=f"not msgpack: {error}",
            ) from error
        return [self.codec.decode(frame) for frame in frames]
