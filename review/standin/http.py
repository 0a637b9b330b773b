"""A small HTTP/1.1 server and client on asyncio, for the stand-ins."""

import asyncio
import json
import urllib.parse


class Request:
    """A request with its whole body."""

    def __init__(self, method, target, headers, body):
        self.method = method
        self.path, _, query = target.partition("?")
        self.query = dict(urllib.parse.parse_qsl(query))
        self.headers = headers
        self.body = body

    def json(self):
        """Return the body as a document; an empty body is an empty one."""
        return json.loads(self.body) if self.body else {}


class Broken(Exception):
    """Raised by a handler to break the channel off."""


async def read_head(reader):
    """Return the first line and the headers, or None at the end."""
    line = await reader.readline()
    if not line.strip():
        return None
    headers = {}
    while (row := await reader.readline()).strip():
        name, _, value = row.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return line.decode("latin-1").split(), headers


class Server:
    """Answers each request with what ``handler`` returns.

    :param handler: takes a request and returns status and document.
    """

    def __init__(self, handler):
        self.handler = handler
        self.server = None
        self.port = 0
        self.writers = set()

    async def start(self, port=0):
        """Listen on a loopback port."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port
        )
        self.port = self.server.sockets[0].getsockname()[1]
        return self.port

    def close(self):
        """Stop listening, and reset all channels."""
        if self.server is not None:
            self.server.close()
            self.server = None
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                (method, target, _), headers = head
                size = int(headers.get("content-length", 0))
                body = await reader.readexactly(size) if size else b""
                request = Request(method, target, headers, body)
                status, document = await self.handler(request)
                data = json.dumps(document).encode()
                writer.write(
                    b"HTTP/1.1 %d X\r\ncontent-type: application/json\r\n"
                    b"content-length: %d\r\n\r\n%b" % (status, len(data), data)
                )
                await writer.drain()
        except (OSError, EOFError, Broken):
            writer.transport.abort()
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self.writers.discard(writer)
            writer.close()


async def call(port, method, target, document=None, host="", timeout=3.0):
    """Make one call on a new channel; return status and document.

    The status is 0 if there was no whole answer in time.
    """
    body = b"" if document is None else json.dumps(document).encode()
    head = (
        f"{method} {target} HTTP/1.1\r\nhost: {host or '127.0.0.1'}\r\n"
        f"content-type: application/json\r\ncontent-length: {len(body)}\r\n"
        f"turmerichook-request-timeout-ms: {int(timeout * 1000)}\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head.encode() + body)
            await writer.drain()
            answer = await read_head(reader)
            if answer is None:
                return 0, {}
            (_, status, *_), headers = answer
            size = int(headers.get("content-length", 0))
            data = await reader.readexactly(size) if size else b""
            return int(status), json.loads(data) if data[:1] == b"{" else {}
    except (OSError, EOFError, TimeoutError):
        return 0, {}
    finally:
        if writer is not None:
            writer.close()
