"""Calls to the platform's metadata store."""

import base64
import collections.abc
import contextlib
import datetime
import typing

from turmerichook._internal.http import addresses
from turmerichook._internal.http import calls
from turmerichook._internal.logs import setup as logs
from turmerichook._internal.models import ids
from turmerichook._internal.platform import fields
from turmerichook._internal.storage import events as storage_events
from turmerichook._internal.storage import exchange
from turmerichook._internal.storage import interface
from turmerichook import exceptions

# Watches wait on the store for changes. They have connections of their own, so
# that they do not delay other calls.
CONNECTIONS = 16
WATCH_CONNECTIONS = 8
# The store usually answers within milliseconds, and within some hundreds of
# milliseconds when it is slow.
CALL_TIMEOUT_S = 1.0
# Added to the wait of a watch to give the time-out of its HTTP call.
WATCH_TIMEOUT_MARGIN_S = 0.8


class PlatformStorage:
    """Implements ``interface.Storage`` with the platform's HTTP calls."""

    def __init__(self, *, address: str):
        host, port = addresses.split(address)
        self.exchange = exchange.StoreExchange(
            host=host,
            port=port,
            connections=CONNECTIONS,
            watch_connections=WATCH_CONNECTIONS,
            timeout=CALL_TIMEOUT_S,
            headers=[(b"content-type", b"application/json")],
        )

    async def get(self, key: str) -> interface.Item | None:
        answer = await self.exchange.read(
            f"/v1/kv-key?key={exchange.quote(key)}"
        )
        if answer.status == 404:
            return None
        document = _decode_read_answer(answer)
        with _unreadable_as_unavailable():
            return _decode_item(document)

    async def page(self, prefix: str, *, after: str = "") -> interface.Page:
        target = f"/v1/kv-range?prefix={exchange.quote(prefix)}"
        if after:
            target += f"&after={exchange.quote(after)}"
        return _decode_page(await self.exchange.read(target))

    async def watch(
        self,
        prefix: str,
        *,
        after: ids.Revision,
        wait: datetime.timedelta,
    ) -> interface.Changes:
        answer = await self.exchange.watch(
            f"/v1/kv-watch?prefix={exchange.quote(prefix)}&after={after}"
            f"&wait-ms={fields.whole_milliseconds(wait)}",
            timeout=wait.total_seconds() + WATCH_TIMEOUT_MARGIN_S,
        )
        if answer.status == 410:
            raise exceptions.HistoryLostError(
                message="the store no longer has the changes to watch",
                context=prefix,
            )
        return _decode_changes(answer)

    async def commit(
        self, commit: interface.Commit
    ) -> interface.Committed | interface.Conflict:
        answer = await self.exchange.write(
            "POST", "/v1/kv-txn", _encode_commit(commit)
        )
        if answer.status == 404:
            raise exceptions.LeaseLapsedError(
                message="a lease of the commit has ended"
            )
        try:
            return _commit_outcome(answer)
        except exceptions.MessageError as error:
            raise exceptions.StoreOutcomeUnknownError(
                message="the store's answer to a commit is unreadable:"
                f" {error.message}"
            ) from error

    async def grant_lease(self, ttl: datetime.timedelta) -> ids.LeaseId:
        answer = await self.exchange.write(
            "POST",
            "/v1/kv-lease",
            {"ttl-ms": fields.whole_milliseconds(ttl)},
        )
        return ids.LeaseId(
            str(fields.integer(_decode_write_answer(answer), "lease"))
        )

    async def renew_lease(self, lease: ids.LeaseId) -> None:
        answer = await self.exchange.write(
            "POST", f"/v1/kv-keep/{lease}", None
        )
        if answer.status == 404:
            raise exceptions.LeaseLapsedError(
                message="the lease has ended", context=lease
            )
        _decode_write_answer(answer)

    async def end_lease(self, lease: ids.LeaseId) -> None:
        answer = await self.exchange.write(
            "DELETE", f"/v1/kv-lease-end/{lease}", None
        )
        if answer.status != 404:
            _decode_write_answer(answer)

    def close(self) -> None:
        """Close idle connections."""
        self.exchange.close()


def _encode_commit(commit: interface.Commit) -> dict[str, typing.Any]:
    writes = []
    for write in commit.writes:
        row: dict[str, typing.Any] = {
            "key": write.key,
            "value": base64.b64encode(write.value).decode("ascii"),
        }
        if write.lease is not None:
            row["lease"] = int(write.lease)
        writes.append(row)
    return {
        "precondition": [
            {"key": key, "revision": revision}
            for key, revision in commit.expect.items()
        ],
        "set-keys": writes,
        "remove": list(commit.removals),
    }


def _commit_outcome(
    answer: calls.Answer,
) -> interface.Committed | interface.Conflict:
    """Return the outcome of a commit that the store's answer states.

    :raises MessageError: if the answer is malformed.
    """
    if answer.status == 412:
        rows = fields.objects(fields.parse(answer.body), "items", [])
        items = [_decode_item(row) for row in rows if row.get("revision")]
        return interface.Conflict(items={item.key: item for item in items})
    return interface.Committed(
        revision=_revision(_decode_write_answer(answer), "revision")
    )


def _decode_write_answer(answer: calls.Answer) -> dict[str, typing.Any]:
    """Return the JSON document in the answer to a write.

    :raises StoreUnavailableError: if the store refused the write, which then
        did not take effect.
    :raises StoreOutcomeUnknownError: if the write may have taken effect.
    """
    if answer.status == 200:
        try:
            return fields.parse(answer.body or b"{}")
        except exceptions.MessageError as error:
            raise exceptions.StoreOutcomeUnknownError(
                message=f"the store's answer is unreadable: {error.message}"
            ) from error
    if 400 <= answer.status < 500 or answer.status == 503:
        # With these statuses the store refuses a call before it changes
        # anything, so the write certainly did not take effect.
        raise exceptions.StoreUnavailableError(
            message=f"the store refused a write with status {answer.status}",
            context=answer.body[:200].decode("utf-8", "replace"),
        )
    raise exceptions.StoreOutcomeUnknownError(
        message=f"the store answered a write with status {answer.status}",
    )


def _decode_read_answer(answer: calls.Answer) -> dict[str, typing.Any]:
    """Return the JSON document in the answer to a read.

    :raises StoreUnavailableError: if the answer holds no document.
    """
    if answer.status != 200:
        raise exceptions.StoreUnavailableError(
            message=f"the store answered a read with status {answer.status}",
        )
    with _unreadable_as_unavailable():
        return fields.parse(answer.body)


@contextlib.contextmanager
def _unreadable_as_unavailable() -> collections.abc.Iterator[None]:
    """Treat an unreadable answer to a read like no answer.

    :raises StoreUnavailableError: instead of a ``MessageError``.
    """
    try:
        yield
    except exceptions.MessageError as error:
        raise exceptions.StoreUnavailableError(
            message=f"the store's answer is unreadable: {error.message}"
        ) from error


def _decode_page(answer: calls.Answer) -> interface.Page:
    document = _decode_read_answer(answer)
    with _unreadable_as_unavailable():
        return interface.Page(
            items=tuple(
                item
                for item in _decode_rows(document, "items")
                if isinstance(item, interface.Item)
            ),
            revision=_revision(document, "current-rev"),
            more=_has_more(document),
        )


def _has_more(document: dict[str, typing.Any]) -> bool:
    """Return whether more pages follow.

    :raises MessageError: if the page does not say so; it may not be the last.
    """
    if "has-more" not in document:
        raise exceptions.MessageError(message="field 'has-more' is missing")
    return fields.boolean(document, "has-more")


def _decode_changes(answer: calls.Answer) -> interface.Changes:
    document = _decode_read_answer(answer)
    with _unreadable_as_unavailable():
        return interface.Changes(
            changes=tuple(_decode_rows(document, "events")),
            revision=_revision(document, "current-rev"),
        )


def _revision(document: dict[str, typing.Any], key: str) -> ids.Revision:
    return ids.Revision(fields.integer(document, key))


def _decode_rows(
    document: dict[str, typing.Any], key: str
) -> collections.abc.Iterator[interface.Item | interface.Removed]:
    """Decode rows one by one, as other writers may cause odd ones.

    A row without a readable key cannot be one of ours and is left out. Any
    other unreadable row becomes an item without a value, so that its reader
    sees that the key exists and that its value cannot be decoded.
    """
    for row in fields.array(document, key):
        try:
            yield _decode_change(row)
        except exceptions.MessageError as error:
            members = row if isinstance(row, dict) else {}
            logs.emit(
                storage_events.StorageEvent.ROW_UNREADABLE,
                key=ascii(members.get("key"))[:100],
                error=error.message,
            )
            try:
                readable_key = fields.string(members, "key")
            except exceptions.MessageError:
                continue
            yield interface.Item(
                key=readable_key, value=b"", revision=ids.Revision(0)
            )


def _decode_item(row: dict[str, typing.Any]) -> interface.Item:
    try:
        value = base64.b64decode(fields.string(row, "value", ""))
    except ValueError as error:
        raise exceptions.MessageError(
            message="the value of a stored item is not base64"
        ) from error
    return interface.Item(
        key=fields.string(row, "key"),
        value=value,
        revision=_revision(row, "revision"),
    )


def _decode_change(
    row: typing.Any,
) -> interface.Item | interface.Removed:
    if not isinstance(row, dict):
        raise exceptions.MessageError(message="a row must be an object")
    if row.get("removed"):
        return interface.Removed(
            key=fields.string(row, "key"), revision=_revision(row, "revision")
        )
    return _decode_item(row)
