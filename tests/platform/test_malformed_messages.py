"""Tests of decoders with malformed messages of workers, stores and callers."""

import copy
import datetime
import json

import hypothesis
from hypothesis import strategies
import pytest

from tests.platform import test_decoding
from turmerichook._internal.http import calls
from turmerichook._internal.http import heads
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.platform import advisor_calls
from turmerichook._internal.platform import caller_calls
from turmerichook._internal.platform import documents
from turmerichook._internal.platform import settings_file
from turmerichook._internal.platform import store_calls
from turmerichook._internal.platform import worker_calls
from turmerichook._internal.workflow import stored
from turmerichook import exceptions

CONFIGURATION = {
    "version": 7,
    "routes": [
        {
            **test_decoding.ROUTE,
            "advisor": {"decision-ms": 30, "period-ms": 2},
        }
    ],
    "services": [{"name": "desk", "enforce-limits": True}],
    "limits": {"max-body-bytes": 65536},
    "tenants": [test_decoding.TENANT],
}
REPORT = {
    "clock-ms": 482113,
    "born": 1_700_000_000_123,
    "running": [["5c0e7a21d94b36f8.0.1.17", 2, "00000bb87a21d94b", 41, 250]],
    "finished": [[58, "5c0e7a21d94b36f8.0.1.9", 1, "done", ""]],
}
JOB = {
    "spec": "text",
    "steps": [
        {"count": 4, "cpu": 500, "estimate-ms": 900, "affinity": "r1-3"},
        {"count": 2, "after": [0], "long-running": True, "target-ms": 20},
    ],
    "repeat-count": 2,
    "start-time-ms": 1_700_000_000_000,
    "interval-ms": 500,
}
ITEM = {"key": "servers/i-1", "value": "e30=", "revision": 7, "lease": 0}
ADVICE = {"good": [["i-1", "ticket"]], "validity-ms": 3000}
QUEUE = documents.decode_configuration(
    test_decoding.encode(CONFIGURATION)
).queues[0]
ENTRY = documents.decode_worker_entry(
    "servers/i-1", test_decoding.encode(test_decoding.ENTRY)
)
JOB_ID = ids.JobId("5c0e7a21d94b36f8")

# Values that another writer may put in place of any other.
ODD_VALUES = (
    None,
    True,
    -1,
    10**30,
    1e308,
    float("nan"),
    float("inf"),
    "",
    "x" * 300,
    "\ud800",
    "1.2.3.4",
    [],
    [[]],
    [None],
    ["", "", "", ""],
    {},
    {"": {}},
    [[1, 2, 3, 4, 5]],
)


def _decode_job(value):
    spec = caller_calls.submission(
        value, job=JOB_ID, queue=QUEUE, accepted=datetime.timedelta(seconds=1)
    )
    # An accepted job is stored, and is read again by each leader.
    return stored.decode_spec(JOB_ID, stored.encode_spec(spec))


DECODERS = {
    "configuration": (CONFIGURATION, documents.decode_configuration),
    "entry": (
        test_decoding.ENTRY,
        lambda value: documents.decode_worker_entry("servers/i-1", value),
    ),
    "report": (
        REPORT,
        lambda value: worker_calls._decode_report(
            ENTRY, calls.Answer(status=200, headers=[], body=value)
        ),
    ),
    "outcome": (
        {"reason": "fence"},
        lambda value: worker_calls._decode_outcome(
            calls.Answer(status=409, headers=[], body=value)
        ),
    ),
    "job": (JOB, _decode_job),
    "advice": (
        ADVICE,
        lambda value: advisor_calls._decode_advice(
            advisor_calls.fields.parse(value), datetime.timedelta()
        ),
    ),
    "page": (
        {"items": [ITEM], "current-rev": 9, "has-more": False},
        lambda value: store_calls._decode_page(
            calls.Answer(status=200, headers=[], body=value)
        ),
    ),
    "changes": (
        {
            "events": [ITEM, {"key": "a", "revision": 8, "removed": True}],
            "current-rev": 9,
        },
        lambda value: store_calls._decode_changes(
            calls.Answer(status=200, headers=[], body=value)
        ),
    ),
    "conflict": (
        {"items": [ITEM]},
        lambda value: store_calls._commit_outcome(
            calls.Answer(status=412, headers=[], body=value)
        ),
    ),
    "settings": (
        test_decoding.SETTINGS,
        lambda value: settings_file.parse(json.loads(value)),
    ),
}


def _paths(value, path=()):
    """Return the path of each value in a document."""
    paths = [path]
    items = ()
    if isinstance(value, dict):
        items = value.items()
    elif isinstance(value, list):
        items = enumerate(value)
    for key, item in items:
        paths += _paths(item, (*path, key))
    return paths


def _replaced(document, path, value):
    """Return a copy of a document with the value at a path replaced."""
    if not path:
        return value
    document = copy.deepcopy(document)
    parent = document
    for key in path[:-1]:
        parent = parent[key]
    parent[path[-1]] = value
    return document


def _decode(name, value):
    """Decode a value; a typed error is as good as a result."""
    try:
        return DECODERS[name][1](value)
    except exceptions.TurmerichookError as error:
        return error


class TestMalformedMessages:
    """One malformed message costs that message and not the process."""

    @pytest.mark.parametrize("name", DECODERS)
    def test_any_field_may_hold_anything(self, name):
        """Guards against untyped errors, which end the leader's term.

        The next leader reads the same registry entry and fails as well.
        """
        document = DECODERS[name][0]
        for path in _paths(document):
            for value in ODD_VALUES:
                message = json.dumps(_replaced(document, path, value))
                _decode(name, message.encode())

    @pytest.mark.parametrize(
        "name", [name for name in DECODERS if name != "settings"]
    )
    @hypothesis.given(value=strategies.binary(max_size=40))
    @hypothesis.settings(max_examples=150, derandomize=True, deadline=None)
    def test_any_bytes(self, name, value):
        """Guards against errors at bytes that cannot be read."""
        _decode(name, value)
        _decode(name, json.dumps(DECODERS[name][0]).encode()[:-1] + value)

    @pytest.mark.parametrize(
        "row",
        [
            [["a.0.0.0"], 1, "", 5],
            ["5c0e7a21d94b36f8.0.1.17", [], "", 5],
            ["5c0e7a21d94b36f8.0.1.17", 1, "", "half"],
            ["5c0e7a21d94b36f8.0.1.17", 1, "", 5, "slow"],
        ],
    )
    def test_report_rows_have_the_types_that_are_computed_with(self, row):
        """Guards against a report that fails long after it was decoded.

        A latency that is a text failed in the pacing of fillers, after the
        ends in the same report had been applied.
        """
        report = json.dumps({**REPORT, "running": [row]}).encode()
        result = _decode("report", report)
        assert isinstance(result, exceptions.WorkerUnreachableError)

    @pytest.mark.parametrize("text", ["9" * 5000, "1" * 30, "\xb2", "-1", ""])
    def test_timeout_header_without_a_usable_number(self, text):
        """Guards against a request that ends its connection's handler."""
        head = heads.RequestHead(
            method="GET",
            target="/",
            headers=[(caller_calls.TIMEOUT_HEADER, text.encode("latin-1"))],
        )
        assert caller_calls.timeout(head) == caller_calls.DEFAULT_TIMEOUT

    @pytest.mark.parametrize("address", ["", "nowhere", "10.1.0.1:99999"])
    def test_entry_without_a_usable_address(self, address):
        """Guards against a session that fails at each call to its worker."""
        entry = {**test_decoding.ENTRY, "address": address}
        result = _decode("entry", test_decoding.encode(entry))
        assert isinstance(result, exceptions.MessageError)

    def test_the_unchanged_documents_are_valid(self):
        """Guards against a test that passes because nothing is decoded."""
        for name, (document, _) in DECODERS.items():
            result = _decode(name, test_decoding.encode(document))
            assert not isinstance(result, exceptions.TurmerichookError), name
        assert isinstance(ENTRY.state, deployment.WorkerState)
