"""Relays one request to one endpoint, bodies streamed both ways."""

import asyncio

from turmerichook._internal.http import client
from turmerichook._internal.http import heads
from turmerichook._internal.http import server
from turmerichook import exceptions

# Headers that concern one connection only (RFC 9110, section 7.6.1).
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"upgrade",
    }
)


def end_to_end(headers: heads.Headers) -> heads.Headers:
    """Return the headers that a relay passes on."""
    named = {
        name.strip().lower()
        for key, value in headers
        if key == b"connection"
        for name in value.split(b",")
    }
    return [
        (key, value)
        for key, value in headers
        if key not in HOP_BY_HOP and key not in named
    ]


async def relay(
    *,
    exchange: server.Exchange,
    connection: client.ClientConnection,
    head: heads.RequestHead,
) -> heads.ResponseHead:
    """Send a request to an endpoint and its answer to the caller.

    :raises ExchangeError: with the progress of the exchange with the
        endpoint; once the response has started the caller's connection must
        be closed without ending the response.
    """
    upload = asyncio.create_task(_send_request(exchange, connection, head))
    try:
        response = await connection.receive_head()
        await exchange.start(
            status=response.status, headers=end_to_end(response.headers)
        )
        async for piece in connection.body():
            await exchange.send(piece)
        await exchange.end()
        return response
    finally:
        if upload.done():
            upload.exception()
        else:
            upload.cancel()


async def _send_request(
    exchange: server.Exchange,
    connection: client.ClientConnection,
    head: heads.RequestHead,
) -> None:
    try:
        await connection.send_head(head)
        async for piece in exchange.body():
            await connection.send_body(piece)
        await connection.end_request()
    except exceptions.TurmerichookError:
        # Without the whole request the endpoint's answer is of no use.
        connection.close()
        raise
