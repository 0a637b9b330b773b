"""A relay without policy: the baseline of the gateway's throughput.

``python -m bench.minimal_relay LISTEN TARGET``

h11 on both sides over asyncio streams, connections kept on both sides, one
endpoint, no limits, no logs.
"""

import asyncio
import sys

import h11

from turmerichook._internal.http import addresses

READ_BYTES = 64 * 1024


async def event_of(protocol, reader):
    """Return the next event, reading as needed."""
    while True:
        event = protocol.next_event()
        if event is not h11.NEED_DATA:
            return event
        protocol.receive_data(await reader.read(READ_BYTES))


async def copy(source, reader, sink, writer):
    """Copy a message up to its end."""
    while True:
        event = await event_of(source, reader)
        if isinstance(event, h11.ConnectionClosed):
            return False
        writer.write(sink.send(event))
        if isinstance(event, h11.EndOfMessage):
            await writer.drain()
            return True


class Relay:
    """Relays to one address."""

    def __init__(self, target):
        self.target = target
        self.idle = []

    async def serve(self, reader, writer):
        """Serve one caller."""
        caller = h11.Connection(our_role=h11.SERVER)
        try:
            while True:
                upstream = self.idle.pop() if self.idle else None
                if upstream is None:
                    pair = await asyncio.open_connection(*self.target)
                    upstream = (h11.Connection(our_role=h11.CLIENT), *pair)
                endpoint, up_reader, up_writer = upstream
                if not await copy(caller, reader, endpoint, up_writer):
                    self.idle.append(upstream)
                    return
                await copy(endpoint, up_reader, caller, writer)
                endpoint.start_next_cycle()
                caller.start_next_cycle()
                self.idle.append(upstream)
        except (OSError, h11.ProtocolError):
            # The baseline knows no faults.
            pass
        finally:
            writer.close()


async def main(listen, target):
    """Listen until killed."""
    relay = Relay(addresses.split(target))
    server = await asyncio.start_server(
        relay.serve, *addresses.split(listen), backlog=1024
    )
    await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main(sys.argv[1], sys.argv[2]))
