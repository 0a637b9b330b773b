"""Simulated store and host list of the platform, served over HTTP.

``python -m standins.store --listen 127.0.0.1:7000 --hosts hosts.json``

``PUT /faults`` with a JSON object sets the injected faults: ``down`` (reject
all requests with status 503), ``delay_s`` (delay of each request in seconds),
``lose_answers`` (number of writes that take effect but whose connection is
closed without a response). ``GET /counts`` returns the number of requests by
method and kind.
"""

import argparse
import asyncio
import base64
import collections
import datetime
import json
import pathlib
import urllib.parse

from standins import holds
from standins import process
from turmerichook._internal import clock as clocks
from turmerichook._internal.http import addresses
from turmerichook._internal.http import server
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store as stores
from turmerichook._internal.providers import store_memory
from turmerichook import exceptions

EXPIRY_INTERVAL = datetime.timedelta(milliseconds=100)


class StoreServer:
    """Serves a ``MemoryStore`` and the host list over HTTP."""

    def __init__(self, *, hosts: dict):
        self.clock = clocks.SystemClock()
        self.store = store_memory.MemoryStore(clock=self.clock)
        self.hosts = hosts
        self.breakpoints = holds.Breakpoints()
        self.down = False
        self.delay = 0.0
        self.lose_answers = 0
        self.counts: collections.Counter[str] = collections.Counter()

    async def expire(self) -> None:
        """Expire leases periodically, so that watchers are notified."""
        while True:
            await self.clock.sleep(EXPIRY_INTERVAL)
            self.store.expire()

    async def handle(self, exchange: server.Exchange) -> None:
        """Handle one HTTP request."""
        path = exchange.head.path
        if path == holds.PATH:
            await self.breakpoints.control(exchange)
            return
        body = await exchange.read_all()
        document = json.loads(body) if body else {}
        if path == "/faults":
            self.down = document.get("down", self.down)
            self.delay = document.get("delay_s", self.delay)
            self.lose_answers = document.get("lose_answers", self.lose_answers)
            await exchange.respond_json(document={})
            return
        if path == "/counts":
            await exchange.respond_json(document=dict(self.counts))
            return
        if path == "/hosts" and exchange.head.method == "PUT":
            self.hosts = document
            await exchange.respond_json(document={})
            return
        await self._call(exchange, document)

    async def _call(self, exchange: server.Exchange, document: dict) -> None:
        if self.down:
            await exchange.respond_json(document={}, status=503)
            return
        if self.delay:
            await asyncio.sleep(self.delay)
        method = exchange.head.method
        kind = exchange.head.path.split("/")[2]
        self.counts[f"{method} {kind}"] += 1
        label = f"store {method} {path_of(exchange)}"
        try:
            await self.breakpoints.wait_at(f"{label} before")
            if self.down:
                await exchange.respond_json(document={}, status=503)
                return
            status, answer = await self._answer(exchange, document)
            await self.breakpoints.wait_at(f"{label} after")
        except holds.DroppedError:
            exchange.connection.close()
            return
        if self.down:
            # The outage began while a breakpoint suspended the request.
            await exchange.respond_json(document={}, status=503)
            return
        if self.lose_answers and method != "GET" and status == 200:
            self.lose_answers -= 1
            exchange.connection.close()
            return
        await exchange.respond_json(document=answer, status=status)

    async def _answer(
        self, exchange: server.Exchange, document: dict
    ) -> tuple[int, dict]:
        path = urllib.parse.unquote(exchange.head.path)
        query = urllib.parse.parse_qs(exchange.head.query)
        try:
            match exchange.head.method, path.split("/")[2]:
                case "GET", "kv":
                    return await self._get(path)
                case "PUT", "kv":
                    return await self._put(path, document)
                case "DELETE", "kv":
                    return await self._delete(path, query)
                case "GET", "range":
                    return await self._range(query)
                case "GET", "watch":
                    return await self._watch(query)
                case "POST", "leases":
                    ttl = datetime.timedelta(seconds=document["ttl"])
                    lease = await self.store.grant_lease(ttl)
                    return 200, {"lease": lease}
                case "PUT", "leases":
                    lease = ids.LeaseId(path.split("/")[3])
                    await self.store.renew_lease(lease)
                    return 200, {}
                case "DELETE", "leases":
                    lease = ids.LeaseId(path.split("/")[3])
                    await self.store.revoke_lease(lease)
                    return 200, {}
                case "GET", "hosts":
                    return 200, self._hosts(query)
                case _:
                    return 404, {}
        except exceptions.VersionConflictError as error:
            return 409, {"current": error.current}
        except exceptions.LeaseLapsedError:
            return 404 if "leases" in path else 410, {}

    async def _get(self, path: str) -> tuple[int, dict]:
        entry = await self.store.get(_key(path))
        if isinstance(entry, outcomes.Absent):
            return 404, {}
        return 200, _encode(entry)

    async def _put(self, path: str, document: dict) -> tuple[int, dict]:
        version = await self.store.put(
            _key(path),
            base64.b64decode(document["value"]),
            expect=ids.Version(document["expect"]),
            lease=document["lease"],
        )
        return 200, {"version": version}

    async def _delete(self, path: str, query: dict) -> tuple[int, dict]:
        expect = ids.Version(int(query["expect"][0]))
        await self.store.delete(_key(path), expect=expect)
        return 200, {}

    async def _range(self, query: dict) -> tuple[int, dict]:
        listing = await self.store.list(
            query["prefix"][0],
            start=query.get("start", [""])[0],
            limit=int(query.get("limit", ["0"])[0]),
        )
        return 200, {
            "revision": listing.revision,
            "entries": [_encode(entry) for entry in listing.entries],
        }

    async def _watch(self, query: dict) -> tuple[int, dict]:
        changes = await self.store.watch(
            query["prefix"][0],
            after=ids.Revision(int(query["after"][0])),
            wait=datetime.timedelta(seconds=float(query["wait"][0])),
        )
        return 200, {
            "revision": changes.revision,
            "complete": changes.complete,
            "changes": [_encode(change) for change in changes.changes],
        }

    def _hosts(self, query: dict) -> dict:
        zone = query["zone"][0]
        return {
            "age": self.hosts.get("age", 0.0),
            "hosts": [h for h in self.hosts["hosts"] if h["zone"] == zone],
        }


def path_of(exchange: server.Exchange) -> str:
    """Return the store key of a request, or its path if it has no key."""
    return _key(urllib.parse.unquote(exchange.head.path))


def _key(path: str) -> str:
    return path.removeprefix("/v1/kv/")


def _encode(change: stores.Entry | stores.Removed) -> dict:
    match change:
        case stores.Removed():
            return {"key": change.key, "removed": True}
        case stores.Entry():
            return {
                "key": change.key,
                "value": base64.b64encode(change.value).decode("ascii"),
                "version": change.version,
            }


async def serve(listen: str, hosts: dict) -> None:
    """Serve until cancelled."""
    store = StoreServer(hosts=hosts)
    host, port = addresses.split(listen)
    listener = server.Server(handler=store.handle)
    await listener.start(host=host, port=port)
    await store.expire()


def main() -> None:
    """Run the stand-in."""
    parser = argparse.ArgumentParser(description="Stand-in store.")
    parser.add_argument("--listen", required=True)
    parser.add_argument("--hosts", type=pathlib.Path, required=True)
    options = parser.parse_args()
    hosts = json.loads(options.hosts.read_text())
    process.run(serve(options.listen, hosts))


if __name__ == "__main__":
    main()
