"""HTTP adapter of the host list."""

import datetime
import typing
import urllib.parse

from turmerichook._internal.http import calls
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.providers import hosts
from turmerichook import exceptions

CONNECTIONS = 2


class HttpHostList:
    """A ``hosts.HostList`` over HTTP with JSON bodies."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        timeout: datetime.timedelta = datetime.timedelta(seconds=2),
    ):
        self.timeout = timeout.total_seconds()
        self.pool = calls.CallPool(
            host=host, port=port, connections=CONNECTIONS
        )

    async def hosts(self, zone: ids.ZoneId) -> hosts.HostListing:
        target = "/v1/hosts?zone=" + urllib.parse.quote(zone)
        try:
            answer = await self.pool.call(
                method="GET", target=target, timeout=self.timeout
            )
            if answer.status != 200:
                raise exceptions.MessageError(
                    message=f"expected status 200, got {answer.status}"
                )
            return decode_listing(answer.json())
        except (exceptions.ExchangeError, exceptions.MessageError) as error:
            raise exceptions.HostListUnavailableError(
                message=f"cannot read the host list: {error.message}",
            ) from error


def decode_listing(document: typing.Any) -> hosts.HostListing:
    """Decode a host list from its JSON document.

    :raises MessageError: if the document is malformed.
    """
    try:
        return hosts.HostListing(
            age=datetime.timedelta(seconds=float(document["age"])),
            hosts=tuple(_decode_host(item) for item in document["hosts"]),
        )
    except (KeyError, TypeError, ValueError) as error:
        raise exceptions.MessageError(
            message=(f"malformed host list: {type(error).__name__}: {error}"),
        ) from error


def _decode_host(document: typing.Any) -> hosts.Host:
    return hosts.Host(
        host=ids.HostId(document["host"]),
        address=document["address"],
        zone=ids.ZoneId(document["zone"]),
        rack=ids.RackId(document["rack"]),
        capacity=resources.Resources(**document["capacity"]),
        state=hosts.HostState(document["state"]),
    )
