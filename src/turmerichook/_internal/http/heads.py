"""Heads of HTTP messages and the limits that both sides apply."""

import collections.abc
import dataclasses
import datetime

# h11 does not check headers again that it has parsed itself, so heads keep its
# sequence where they can.
Headers = collections.abc.Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Bounds on what a peer can make this process hold or wait for.

    :param head_bytes: size of request line or status line with headers.
    :param body_bytes: size of a body that is read whole into memory.
    :param connections: open connections on one listener.
    :param head_timeout: time for a peer to send a whole head.
    :param idle_timeout: time that a kept-alive connection may be idle.
    :param body_timeout: time between two pieces of a body.
    """

    head_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    connections: int = 1024
    head_timeout: datetime.timedelta = datetime.timedelta(seconds=10)
    idle_timeout: datetime.timedelta = datetime.timedelta(seconds=60)
    body_timeout: datetime.timedelta = datetime.timedelta(seconds=30)


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class RequestHead:
    """Method, target and headers of a request; header names in lower case."""

    method: str
    target: str
    headers: Headers

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string."""
        return find_header(self.headers, name)

    @property
    def path(self) -> str:
        """The target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """The query without the question mark."""
        return self.target.partition("?")[2]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class ResponseHead:
    """Status and headers of a response; header names in lower case."""

    status: int
    headers: Headers

    def header(self, name: bytes) -> str:
        """Return the first value of a header, or an empty string."""
        return find_header(self.headers, name)


def find_header(headers: Headers, name: bytes) -> str:
    """Return the first value of ``name`` as text, or an empty string."""
    for key, value in headers:
        if key == name:
            return value.decode("latin-1")
    return ""
