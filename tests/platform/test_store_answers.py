"""Tests of malformed answers of the store."""

import asyncio

import pytest

from turmerichook._internal.http import calls
from turmerichook._internal.platform import store_calls
from turmerichook._internal.storage import interface
from turmerichook import exceptions

COMMIT = interface.Commit(expect={}, removals=("a",))


class TestUnreadableAnswer:
    """The store answers a commit, and the answer is malformed."""

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
        """Guards against a stored job whose caller gets status 400.

        A malformed answer raised ``MessageError``, the error for a malformed
        request of a caller. The caller was refused although the commit may
        have taken effect, and the error ended the leader's term.
        """
        storage = store_calls.PlatformStorage(address="127.0.0.1:1")

        async def write(*_):
            return calls.Answer(status=status, headers=[], body=body)

        monkeypatch.setattr(storage.exchange, "write", write)
        with pytest.raises(exceptions.StoreOutcomeUnknownError):
            asyncio.run(storage.commit(COMMIT))
