"""An endpoint that answers at once, cheap enough not to be the bottleneck.

``python -m bench.quick_endpoint LISTEN``

It looks for the end of a head and takes requests without bodies only.
"""

import asyncio
import sys

from turmerichook._internal.http import addresses

BODY = b"x" * 256
ANSWER = b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(BODY), BODY)


class Quick(asyncio.Protocol):
    """One connection."""

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport
        self.rest = b""

    def data_received(self, data):
        """Answer each whole head."""
        *whole, self.rest = (self.rest + data).split(b"\r\n\r\n")
        if whole:
            self.transport.write(ANSWER * len(whole))


async def main(listen):
    """Listen until killed."""
    loop = asyncio.get_running_loop()
    host, port = addresses.split(listen)
    server = await loop.create_server(Quick, host, port, backlog=1024)
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1]))
