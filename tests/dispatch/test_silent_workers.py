"""Tests of the stored list of workers that did not answer the leader."""

import datetime

import pytest

from turmerichook._internal.dispatch import silent_workers
from turmerichook._internal.models import ids
from turmerichook import exceptions

SILENT = {
    ids.WorkerId("i-1"): silent_workers.SilentWorker(
        remaining=datetime.timedelta(seconds=4.2),
        address="10.0.0.1:80",
        draining=True,
    ),
    ids.WorkerId("i-2"): silent_workers.SilentWorker(
        remaining=datetime.timedelta()
    ),
    ids.WorkerId("i-3"): silent_workers.SilentWorker(
        remaining=None, address="10.0.0.3:80"
    ),
}


class TestStoredForm:
    """The next leader reads what a commit has written."""

    def test_is_read_as_written(self):
        """Guards against a wait that is too short, or a wrong address."""
        value = silent_workers.encode("12:7", SILENT)
        assert silent_workers.decode("12:7", value) == SILENT

    def test_list_of_another_commit(self):
        """Guards against an outdated list.

        A leader of an earlier version does not replace it.
        """
        value = silent_workers.encode("12:7", SILENT)
        with pytest.raises(exceptions.StoredValueError):
            silent_workers.decode("12:8", value)

    @pytest.mark.parametrize(
        "value",
        (
            b"",
            b"[]",
            b"{}",
            b"\xff",
            b"[" * 100_000,
            b'{"commit":"12:7","workers":[1]}',
            b'{"commit":"12:7","workers":{"i-1":[1]}}',
            b'{"commit":"12:7","workers":{"i-1":["x","",false]}}',
            b'{"commit":"12:7","workers":{"i-1":[1e400,"",false]}}',
        ),
        ids=lambda value: repr(value[:40]),
    )
    def test_malformed_value(self, value):
        """Guards against a term that ends for a malformed list."""
        with pytest.raises(exceptions.StoredValueError):
            silent_workers.decode("12:7", value)
