"""HTTP adapter of the store interface.

The platform's protocol is not published; this module and the stand-in in
``standins/store.py`` are the only places that know this format.
"""

import base64
import binascii
import datetime
import json
import typing
import urllib.parse

from turmerichook._internal.http import calls
from turmerichook._internal.models import ids
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store
from turmerichook._internal.storage import failures
from turmerichook import exceptions

# Connections for calls that do not wait.
CONNECTIONS = 8
# Watches have connections of their own: a scheduler watches each zone of the
# site, and its lease lapses if a renewal waits behind them.
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
        self.timeout = timeout.total_seconds()
        self.pool = calls.CallPool(
            host=host, port=port, connections=CONNECTIONS
        )
        self.watch_pool = calls.CallPool(
            host=host, port=port, connections=WATCH_CONNECTIONS
        )

    async def get(self, key: str) -> store.Entry | outcomes.Absent:
        answer = await self._read("/v1/kv/" + _quote(key))
        if answer.status == 404:
            return outcomes.Absent(
                reason=outcomes.Reason.NO_SUCH_KEY, detail=key
            )
        return _entry(_expect_ok(answer))

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
                message=f"{key} would hold {len(value)} bytes",
                context=f"limit {store.VALUE_BYTES} bytes",
            )
        document = {
            "value": base64.b64encode(value).decode("ascii"),
            "expect": expect,
            "lease": lease,
        }
        answer = await self._write("PUT", "/v1/kv/" + _quote(key), document)
        _check_conflict(answer, key, expect)
        return ids.Version(int(_expect_ok(answer)["version"]))

    async def delete(self, key: str, *, expect: ids.Version) -> None:
        target = f"/v1/kv/{_quote(key)}?expect={expect}"
        answer = await self._write("DELETE", target, None)
        _check_conflict(answer, key, expect)
        _expect_ok(answer)

    async def list(
        self, prefix: str, *, start: str = "", limit: int = 0
    ) -> store.Listing:
        target = "/v1/range?prefix=" + _quote(prefix)
        if start:
            target += "&start=" + _quote(start)
        if limit:
            target += f"&limit={limit}"
        answer = await self._read(target)
        document = _expect_ok(answer)
        return store.Listing(
            revision=ids.Revision(document["revision"]),
            entries=tuple(_entry(item) for item in document["entries"]),
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
            f"/v1/watch?prefix={_quote(prefix)}&after={after}&wait={seconds}"
        )
        answer = await self._read(
            target, pool=self.watch_pool, timeout=self.timeout + seconds
        )
        document = _expect_ok(answer)
        return store.Changes(
            revision=ids.Revision(document["revision"]),
            changes=tuple(_change(item) for item in document["changes"]),
            complete=document["complete"],
        )

    async def grant_lease(self, ttl: datetime.timedelta) -> ids.LeaseId:
        document = {"ttl": ttl.total_seconds()}
        answer = await self._write("POST", "/v1/leases", document)
        return ids.LeaseId(_expect_ok(answer)["lease"])

    async def renew_lease(self, lease: ids.LeaseId) -> None:
        answer = await self._write("PUT", f"/v1/leases/{lease}", None)
        if answer.status == 404:
            raise exceptions.LeaseLapsedError(
                message="the store does not know the lease",
                context=lease,
            )
        _expect_ok(answer)

    async def revoke_lease(self, lease: ids.LeaseId) -> None:
        answer = await self._write("DELETE", f"/v1/leases/{lease}", None)
        if answer.status != 404:
            _expect_ok(answer)

    def close(self) -> None:
        """Close idle connections."""
        self.pool.close()
        self.watch_pool.close()

    async def _read(
        self,
        target: str,
        *,
        pool: calls.CallPool | None = None,
        timeout: float | None = None,
    ) -> calls.Answer:
        try:
            return await (pool or self.pool).call(
                method="GET", target=target, timeout=timeout or self.timeout
            )
        except exceptions.ExchangeError as error:
            raise failures.of_read(error) from error

    async def _write(
        self, method: str, target: str, document: typing.Any
    ) -> calls.Answer:
        body = b"" if document is None else json.dumps(document).encode()
        try:
            return await self.pool.call(
                method=method,
                target=target,
                body=body,
                timeout=self.timeout,
            )
        except exceptions.ExchangeError as error:
            raise failures.of_write(error) from error


def _quote(key: str) -> str:
    return urllib.parse.quote(key, safe="/")


def _expect_ok(answer: calls.Answer) -> typing.Any:
    if answer.status == 200:
        return answer.json()
    if answer.status == 410:
        raise exceptions.LeaseLapsedError(message="the lease has lapsed")
    if answer.status in (429, 503):
        # The store refuses before it acts.
        raise exceptions.StoreUnavailableError(
            message=f"the store refused with status {answer.status}",
        )
    raise exceptions.StoreOutcomeUnknownError(
        message=f"the store answered with status {answer.status}",
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


def _entry(document: typing.Any) -> store.Entry:
    try:
        return store.Entry(
            key=document["key"],
            value=base64.b64decode(document["value"], validate=True),
            version=ids.Version(int(document["version"])),
        )
    except (KeyError, TypeError, binascii.Error) as error:
        raise exceptions.MessageError(
            message="the store sent a malformed entry",
        ) from error


def _change(document: typing.Any) -> store.Entry | store.Removed:
    if document.get("removed"):
        return store.Removed(key=document["key"])
    return _entry(document)
