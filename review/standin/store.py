"""The platform's metadata store, as PROTOCOL.md describes it.

Each entry host has a port of its own, so that the store knows its caller.
"""

import asyncio
import base64
import time

from standin import http

PAGE_ITEMS = 500
VALUE_BYTES = 1048576


class Store:
    """Keys with revisions, leases and watches.

    :ivar last_renewal: the caller that last renewed a lease.
    """

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.events = []
        self.leases = {}
        self.last_lease = 1000
        self.changed = asyncio.Event()
        self.servers = []
        self.last_renewal = None
        self.expiry = None

    async def start(self):
        """Begin to end leases."""
        self.expiry = asyncio.create_task(self._expire())

    def close(self):
        """Stop."""
        if self.expiry is not None:
            self.expiry.cancel()
        for server in self.servers:
            server.close()

    async def listen(self, caller):
        """Return a port for one caller."""

        async def handle(request):
            return await self._handle(caller, request)

        server = http.Server(handle)
        self.servers.append(server)
        return await server.start()

    def put(self, key, value, lease=0):
        """Write a key, as the operator and the runners do."""
        self.revision += 1
        self._put(key, value, lease)

    def _put(self, key, value, lease):
        created = self.items[key]["created"] if key in self.items else None
        item = {
            "key": key,
            "value": base64.b64encode(value).decode(),
            "revision": self.revision,
            "created": created or self.revision,
            "lease": lease,
        }
        self.items[key] = item
        self._note(item)

    def remove(self, key):
        """Remove a key, if it exists."""
        if key in self.items:
            self.revision += 1
            self._remove(key)

    def _remove(self, key):
        if self.items.pop(key, None) is not None:
            row = {"key": key, "revision": self.revision, "removed": True}
            self._note(row)

    def _note(self, event):
        self.events.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (until, _) in list(self.leases.items()):
                if until < now:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        del self.leases[lease]
        for key in [k for k, i in self.items.items() if i["lease"] == lease]:
            self.remove(key)

    async def _handle(self, caller, request):
        query = request.query
        match request.path:
            case "/v1/kv-key":
                item = self.items.get(query["key"])
                if item is None:
                    return 404, {"current-rev": self.revision}
                return 200, {**item, "current-rev": self.revision}
            case "/v1/kv-range":
                after = query.get("after", "")
                keys = sorted(
                    k
                    for k in self.items
                    if k.startswith(query["prefix"]) and k > after
                )
                return 200, {
                    "items": [self.items[k] for k in keys[:PAGE_ITEMS]],
                    "has-more": len(keys) > PAGE_ITEMS,
                    "current-rev": self.revision,
                }
            case "/v1/kv-watch":
                return await self._watch(query)
            case "/v1/kv-txn":
                return self._transaction(request.json())
            case "/v1/kv-lease":
                ttl = request.json()["ttl-ms"]
                self.last_lease += 1
                until = time.monotonic() + ttl / 1000
                self.leases[self.last_lease] = (until, ttl)
                return 200, {"lease": self.last_lease, "ttl-ms": ttl}
        lease = int(request.path.rpartition("/")[2])
        if lease not in self.leases:
            return 404, {}
        if request.path.startswith("/v1/kv-keep/"):
            self.last_renewal = caller
            ttl = self.leases[lease][1]
            self.leases[lease] = (time.monotonic() + ttl / 1000, ttl)
            return 200, {"ttl-ms": ttl}
        self._end_lease(lease)
        return 200, {}

    async def _watch(self, query):
        after, prefix = int(query["after"]), query["prefix"]
        deadline = time.monotonic() + int(query.get("wait-ms", 0)) / 1000
        while True:
            found = [
                e
                for e in self.events
                if e["revision"] > after and e["key"].startswith(prefix)
            ]
            left = deadline - time.monotonic()
            if found or left <= 0:
                return 200, {"events": found, "current-rev": self.revision}
            try:
                async with asyncio.timeout(left):
                    await self.changed.wait()
            except TimeoutError:
                pass

    def _transaction(self, document):
        conditions = document.get("precondition", [])
        writes = document.get("set-keys", [])
        removals = document.get("remove", [])
        if len(conditions) + len(writes) + len(removals) > 32:
            return 400, {"error": "too many entries"}
        for row in writes:
            if len(base64.b64decode(row["value"])) > VALUE_BYTES:
                return 400, {"error": "value too large"}
            if row["key"].startswith(("op/", "servers/")):
                return 403, {}
            if row.get("lease", 0) and row["lease"] not in self.leases:
                return 404, {}
        current = [self.items.get(row["key"]) for row in conditions]
        revisions = [item["revision"] if item else 0 for item in current]
        if revisions != [row["revision"] for row in conditions]:
            return 412, {
                "items": [
                    item or {"key": row["key"], "revision": 0}
                    for row, item in zip(conditions, current, strict=True)
                ]
            }
        # All changes of one call have one revision.
        self.revision += 1
        for row in writes:
            self._put(
                row["key"],
                base64.b64decode(row["value"]),
                row.get("lease", 0),
            )
        for key in removals:
            self._remove(key)
        return 200, {"revision": self.revision}
