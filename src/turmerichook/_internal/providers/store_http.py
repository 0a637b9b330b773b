"""HTTP adapter of the store interface.

The platform's protocol is not published. The JSON format is therefore defined
only by this module and the stand-in server in ``standins/store.py``.
"""

import base64
import binascii
import datetime
import typing

from turmerichook._internal.http import calls
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store
from turmerichook._internal.storage import exchange
from turmerichook import exceptions

# Connections for all calls but watches.
CALL_CONNECTIONS = 8
# Watches use separate connections: a scheduler keeps a watch open on each zone
# of the site. If watches took all connections, lease renewals would have to
# wait for one and the scheduler's lease would expire.
WATCH_CONNECTIONS = 64


class HttpStore:
    """A ``store.Store`` over HTTP with JSON bodies."""

    def __init__(
        self,
        *,
        host: str,
        port: int,
        timeout: datetime.timedelta = datetime.timedelta(seconds=2),
    ):
        self.exchange = exchange.StoreExchange(
            host=host,
            port=port,
            connections=CALL_CONNECTIONS,
            watch_connections=WATCH_CONNECTIONS,
            timeout=timeout.total_seconds(),
        )

    async def get(self, key: str) -> store.Entry | outcomes.Absent:
        answer = await self.exchange.read("/v1/kv/" + exchange.quote(key))
        if answer.status == 404:
            return outcomes.Absent(
                reason=outcomes.Reason.NO_SUCH_KEY, detail=key
            )
        return _decode_entry(_expect_ok(answer))

    async def put(
        self,
        key: str,
        value: bytes,
        *,
        expect: ids.Version,
        lease: ids.LeaseId | None = None,
    ) -> ids.Version:
        if len(value) > store.VALUE_BYTES:
            raise exceptions.ValueTooLargeError(
                message=f"the value of {key} has {len(value)} bytes",
                context=f"limit {store.VALUE_BYTES} bytes",
            )
        document = {
            "value": base64.b64encode(value).decode("ascii"),
            "expect": expect,
            "lease": lease,
        }
        answer = await self.exchange.write(
            "PUT", "/v1/kv/" + exchange.quote(key), document
        )
        _check_conflict(answer, key, expect)
        return ids.Version(int(_expect_ok(answer)["version"]))

    async def delete(self, key: str, *, expect: ids.Version) -> None:
        target = f"/v1/kv/{exchange.quote(key)}?expect={expect}"
        answer = await self.exchange.write("DELETE", target, None)
        _check_conflict(answer, key, expect)
        _expect_ok(answer)

    async def list(
        self, prefix: str, *, start: str = "", limit: int = 0
    ) -> store.Listing:
        target = "/v1/range?prefix=" + exchange.quote(prefix)
        if start:
            target += "&start=" + exchange.quote(start)
        if limit:
            target += f"&limit={limit}"
        answer = await self.exchange.read(target)
        document = _expect_ok(answer)
        return store.Listing(
            revision=ids.Revision(document["revision"]),
            entries=tuple(_decode_entry(item) for item in document["entries"]),
        )

    async def watch(
        self,
        prefix: str,
        *,
        after: ids.Revision,
        wait: datetime.timedelta,
    ) -> store.Changes:
        seconds = wait.total_seconds()
        target = (
            f"/v1/watch?prefix={exchange.quote(prefix)}&after={after}"
            f"&wait={seconds}"
        )
        answer = await self.exchange.watch(
            target, timeout=self.exchange.timeout + seconds
        )
        document = _expect_ok(answer)
        return store.Changes(
            revision=ids.Revision(document["revision"]),
            changes=tuple(
                _decode_change(item) for item in document["changes"]
            ),
            complete=document["complete"],
        )

    async def grant_lease(self, ttl: datetime.timedelta) -> ids.LeaseId:
        document = {"ttl": ttl.total_seconds()}
        answer = await self.exchange.write("POST", "/v1/leases", document)
        return ids.LeaseId(_expect_ok(answer)["lease"])

    async def renew_lease(self, lease: ids.LeaseId) -> None:
        answer = await self.exchange.write("PUT", f"/v1/leases/{lease}", None)
        if answer.status == 404:
            raise exceptions.LeaseLapsedError(
                message="the lease has expired or was never granted",
                context=lease,
            )
        _expect_ok(answer)

    async def revoke_lease(self, lease: ids.LeaseId) -> None:
        answer = await self.exchange.write(
            "DELETE", f"/v1/leases/{lease}", None
        )
        if answer.status != 404:
            _expect_ok(answer)

    def close(self) -> None:
        """Close idle connections."""
        self.exchange.close()


def _expect_ok(answer: calls.Answer) -> typing.Any:
    if answer.status == 200:
        return answer.json()
    if answer.status == 410:
        raise exceptions.LeaseLapsedError(
            message="the lease given with the write has expired"
        )
    if answer.status in (429, 503):
        # The store sends these statuses before it applies an operation.
        raise exceptions.StoreUnavailableError(
            message=f"the store refused the call with status {answer.status}",
        )
    raise exceptions.StoreOutcomeUnknownError(
        message=f"the store sent unexpected status {answer.status}",
    )


def _check_conflict(
    answer: calls.Answer, key: str, expect: ids.Version
) -> None:
    if answer.status == 409:
        raise exceptions.VersionConflictError(
            key=key,
            expected=expect,
            current=int(answer.json()["current"]),
        )


def _decode_entry(document: typing.Any) -> store.Entry:
    try:
        return store.Entry(
            key=document["key"],
            value=base64.b64decode(document["value"], validate=True),
            version=ids.Version(int(document["version"])),
        )
    except (KeyError, TypeError, binascii.Error) as error:
        raise exceptions.MessageError(
            message=(
                "the store sent a malformed entry: "
                f"{type(error).__name__}: {error}"
            ),
        ) from error


def _decode_change(document: typing.Any) -> store.Entry | store.Removed:
    if document.get("removed"):
        return store.Removed(key=document["key"])
    return _decode_entry(document)
