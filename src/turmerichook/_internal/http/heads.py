"""HTTP message heads, and the limits that clients and servers apply."""

import collections.abc
import dataclasses
import datetime

# A head keeps the sequence that h11 returned where possible, since h11 does
# not check headers again that it parsed itself.
Headers = collections.abc.Sequence[tuple[bytes, bytes]]


@dataclasses.dataclass(frozen=True, kw_only=True)
class Limits:
    """Limits on the memory, connections and time that a peer can use.

    :param head_bytes: maximum size of the request or status line together
        with the headers.
    :param body_bytes: maximum size of a body that is read whole into memory.
    :param connections: maximum number of open connections of one server.
    :param head_timeout: maximum time for a peer to send a complete head.
    :param idle_timeout: maximum time that a connection is kept alive between
        two requests.
    :param body_timeout: maximum time for one read or write of body data.
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
        """Target without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> str:
        """Query of the target, without the question mark."""
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
