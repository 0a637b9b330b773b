"""Tests of the HTTP adapter of the store against the stand-in server."""

import asyncio
import datetime

from standins import store as store_standin
from turmerichook._internal.http import server
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store_http

WATCHES = 20


class TestWatchConnections:
    """Watches use no connection of the calls that must not wait."""

    def test_lease_renewal_does_not_wait_for_watches(self):
        # Guards against an owner that loses its lease because its watches, at
        # least one for each zone, occupy all connections, so that the renewal
        # waits until a watch ends.
        async def scenario():
            standin = store_standin.StoreServer(hosts={"hosts": []})
            listener = server.Server(handler=standin.handle)
            port = await listener.start(host="127.0.0.1", port=0)
            store = store_http.HttpStore(host="127.0.0.1", port=port)
            watches = [
                asyncio.create_task(
                    store.watch(
                        f"zones/{number}/",
                        after=ids.Revision(0),
                        wait=datetime.timedelta(seconds=30),
                    )
                )
                for number in range(WATCHES)
            ]
            await asyncio.sleep(0.2)
            lease = await store.grant_lease(datetime.timedelta(seconds=4))
            await store.renew_lease(lease)
            entry = await store.get("zones/0/owner")
            for watch in watches:
                watch.cancel()
            await asyncio.gather(*watches, return_exceptions=True)
            store.close()
            await listener.stop(grace=0.0)
            return entry

        assert isinstance(asyncio.run(scenario()), outcomes.Absent)
