"""Tests of answers of the store that cannot be read."""

import asyncio

import pytest

from turmerichook._internal.http import calls
from turmerichook._internal.platform import store_calls
from turmerichook._internal.storage import interface
from turmerichook import exceptions

COMMIT = interface.Commit(expect={}, removals=("a",))


class TestUnreadableAnswer:
    """Pattern: a commit is answered, and nobody can tell how."""

    @pytest.mark.parametrize(
        ("status", "body"),
        [
            (200, b"{}"),
            (200, b'{"revision": "x"}'),
            (412, b"no such thing"),
            (412, b'{"items": 3}'),
        ],
    )
    def test_leaves_the_outcome_unknown(self, status, body, monkeypatch):
        """Guards against a stored job that its caller is refused with 400.

        The error of a caller's own malformed request was raised instead, and
        it ended the leader's term.
        """
        storage = store_calls.PlatformStorage(address="127.0.0.1:1")

        async def write(*_):
            return calls.Answer(status=status, headers=[], body=body)

        monkeypatch.setattr(storage.exchange, "write", write)
        with pytest.raises(exceptions.StoreOutcomeUnknownError):
            asyncio.run(storage.commit(COMMIT))
