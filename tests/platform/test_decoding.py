"""Tests of decoding the platform's documents."""

import datetime
import json

import pytest

from turmerichook._internal.http import heads
from turmerichook._internal.models import deployment
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.platform import caller_calls
from turmerichook._internal.platform import documents
from turmerichook._internal.platform import settings_file
from turmerichook._internal.platform import worker_calls
from turmerichook._internal.workflow import model
from turmerichook import exceptions

MS = datetime.timedelta(milliseconds=1)

SETTINGS = {
    "node-name": "edge-1",
    "zone": "krakow",
    "zones": {"krakow": "malopolska", "tarnow": "malopolska"},
    "bind-addresses": {
        "http": "10.1.0.1:80",
        "readiness": "10.1.0.1:81",
    },
    "policy-params": {
        "contact-ms": 3000,
        "drain-timeout-ms": 2000,
        "grace-s": 6,
        "hold-max-ms": 10000,
        "stop-timeout-ms": 400,
        "gang-timeout-ms": 3000,
        "status_s": 120,
        "unknown-figure": True,
    },
    "platform": {"address": "10.200.1.7:8169", "ttl-min-ms": 1000},
}

ROUTE = {
    "name": "r-1",
    "host": "nony.example",
    "prefix": "/lohu/",
    "timeout-ms": 3000,
    "slo-ms": 300,
    "priority": 2,
    "service": "desk",
    "max-attempts": 3,
    "slack-factor": 1.5,
}

ENTRY = {
    "service": "desk",
    "address": "10.128.0.9:8080",
    "zone": "krakow",
    "version": "v1",
    "capacity": 8,
    "state": "ready",
    "cold-remaining-ms": 250,
    "free-capacity": {"cpu": 16000, "mem-mb": 32768, "gpu": 1},
    "labels": ["a", "r1-3"],
    "clock-ms": 482113,
    "sequence": 4,
    "born": 1_700_000_000_123,
}


TENANT = {
    "name": "parish",
    "api-keys": ["k1", "k2"],
    "priority": 1,
    "weight": 11,
    "max-count": {"cpu": 8000, "mem-mb": 9000, "gpu": 0},
}


def decode_tenants(*tenants):
    """Return the configuration that lists these tenants."""
    document = {
        "version": 7,
        "routes": [ROUTE],
        "services": [],
        "limits": {"max-body-bytes": 262144},
        "tenants": list(tenants),
    }
    return documents.decode_configuration(encode(document))


def encode(document):
    """Return a document as a stored value."""
    return json.dumps(document).encode()


class TestSettings:
    """The settings file."""

    def test_known_fields(self):
        """Guards against a field that is read with a wrong unit or meaning."""
        settings = settings_file.parse(SETTINGS)
        assert settings.zones == ("krakow", "tarnow")
        assert settings.timing.lease_max == 10_000 * MS
        assert settings.timing.grace == 6000 * MS
        assert settings.admin_listen == ""

    def test_strict_revocation(self):
        """Guards against a limit that is not asked for, or is ignored."""
        assert settings_file.parse(SETTINGS).revocation_timeout is None
        for strict, expected in ((True, 5000 * MS), (False, None)):
            figures = {
                **SETTINGS["policy-params"],
                "strict-revoke": strict,
                "revoke-timeout-ms": 5000,
            }
            settings = settings_file.parse(
                {**SETTINGS, "policy-params": figures}
            )
            assert settings.revocation_timeout == expected

    @pytest.mark.parametrize(
        "figures",
        [{"strict-revoke": 1}, {"strict-revoke": True}],
    )
    def test_wrong_revocation(self, figures):
        """Guards against strict revocation without its limit."""
        figures = {**SETTINGS["policy-params"], **figures}
        with pytest.raises(exceptions.SettingsError):
            settings_file.parse({**SETTINGS, "policy-params": figures})

    @pytest.mark.parametrize(
        "key, value",
        [
            ("node-name", 7),
            ("platform", {"address": "nowhere", "ttl-min-ms": 1000}),
            ("policy-params", {**SETTINGS["policy-params"], "grace-s": "6"}),
            ("zones", []),
        ],
    )
    def test_wrong_fields(self, key, value):
        """Guards against a process that starts with invalid settings."""
        with pytest.raises(exceptions.SettingsError):
            settings_file.parse({**SETTINGS, key: value})

    def test_processor_limit(self):
        """Guards against a leader that counts on processor time it lacks.

        The limit is the quota of each core times the number of cores, and one
        processor where the file sets no limits.
        """
        limits = {"cpu-quota": 0.5, "cpu-cores": 3}
        settings = settings_file.parse({**SETTINGS, "limits": limits})
        assert settings.processors == 1.5
        assert settings_file.parse(SETTINGS).processors == 1.0

    def test_missing_file(self, tmp_path):
        """Guards against an untyped error if the settings file is missing."""
        with pytest.raises(exceptions.SettingsError):
            settings_file.load(tmp_path / "none.toml")


class TestConfiguration:
    """The operators' configuration."""

    def test_longest_prefix_matches(self):
        """Guards against a job that gets the limits of another queue.

        The prefix of one queue starts with the prefix of another; the longer
        one must match.
        """
        decoded = documents.decode_configuration(
            encode(
                {
                    "version": 7,
                    "routes": [ROUTE, {**ROUTE, "prefix": "/lohu/deep/"}],
                    "services": [{"name": "desk", "enforce-limits": True}],
                    "limits": {"max-body-bytes": 262144},
                }
            )
        )
        queue = decoded.find("nony.example", "/lohu/deep/0123")
        assert queue.prefix == "/lohu/deep/"
        assert queue.max_attempts == 3
        assert decoded.find("other.example", "/lohu/1") is None
        assert decoded.services[0].guarded

    def test_queue_with_an_advisor(self):
        """Guards against advisor settings of a queue that are ignored."""
        terms = {"decision-ms": 30, "period-ms": 2, "validity-ms": 3000}
        decoded = documents.decode_configuration(
            encode(
                {
                    "version": 7,
                    "routes": [ROUTE, {**ROUTE, "advisor": terms}],
                    "services": [],
                    "limits": {"max-body-bytes": 262144},
                }
            )
        )
        plain, advised = decoded.queues
        assert plain.advisor is None
        assert advised.advisor == deployment.AdvisorTerms(
            decision=30 * MS, each_worker=2 * MS, validity=3000 * MS
        )

    def test_customers(self):
        """Guards against a quota of nothing where there is no limit."""
        tenant = {**TENANT, "max-count": {"cpu": 4_012_261, "gpu": 0}}
        decoded = decode_tenants(tenant)
        assert decoded.customers == (
            deployment.Customer(
                customer=ids.CustomerId("parish"),
                keys=("k1", "k2"),
                weight=11,
                quota=resources.Resources(
                    millicores=4_012_261,
                    memory_mib=deployment.UNLIMITED,
                    accelerators=deployment.UNLIMITED,
                ),
            ),
        )
        assert decoded.queues[0].public is False

    @pytest.mark.parametrize(
        "field, change",
        [
            ("api-keys", {"api-keys": "secret"}),
            ("api-keys", {"api-keys": ["secret", ""]}),
            ("api-keys", {"api-keys": ["secret", 7]}),
            ("api-keys", {"api-keys": ["secret", "secret"]}),
            ("api-keys", {"api-keys": ["secr\u00e9t"]}),
            ("weight", {"weight": 0}),
            ("weight", {"weight": -1}),
            ("weight", {"weight": "11"}),
            ("max-count", {"max-count": 7}),
            ("cpu", {"max-count": {"cpu": "many"}}),
            ("mem-mb", {"max-count": {"mem-mb": -1}}),
            ("name", {"name": None}),
        ],
    )
    def test_malformed_customers(self, field, change):
        """Guards against errors without the field, or with a key."""
        with pytest.raises(exceptions.MessageError) as caught:
            decode_tenants({**TENANT, **change})
        assert caught.value.context == field
        assert "secr" not in str(caught.value)

    def test_key_of_two_customers(self):
        """Guards against a request that counts for another customer."""
        other = {**TENANT, "name": "abbey", "api-keys": ["k3", "k2"]}
        with pytest.raises(exceptions.MessageError) as caught:
            decode_tenants(TENANT, other)
        assert caught.value.context == "api-keys"

    @pytest.mark.parametrize("tenants", [None, {}, "secret", ["secret"], [7]])
    def test_malformed_list_of_customers(self, tenants):
        """Guards against a deployment that is taken for one without keys."""
        document = {"version": 7, "routes": [], "services": []}
        document |= {"limits": {"max-body-bytes": 1}, "tenants": tenants}
        with pytest.raises(exceptions.MessageError) as caught:
            documents.decode_configuration(encode(document))
        assert "secret" not in str(caught.value)

    @pytest.mark.parametrize("value", [b"", b"[]", b'{"version": "7"}'])
    def test_malformed_configuration(self, value):
        """Guards against a crash on a malformed configuration."""
        with pytest.raises(exceptions.MessageError):
            documents.decode_configuration(value)


class TestWorkerEntry:
    """A worker's registry entry."""

    def test_known_fields(self):
        """Guards against request slots that are read as capacity for tasks.

        The entry's "capacity" is a number of request slots; the capacity for
        tasks is in "free-capacity".
        """
        entry = documents.decode_worker_entry("servers/i-7f", encode(ENTRY))
        assert entry.worker == "i-7f"
        assert entry.capacity.millicores == 16000
        assert entry.capacity.accelerators == 1
        assert entry.rack == "r1-3"
        assert entry.incarnation == ENTRY["born"]
        assert entry.remaining is None

    def test_draining(self):
        """Guards against a draining worker that is treated as ready."""
        document = {**ENTRY, "state": "draining", "remaining-ms": 1500}
        entry = documents.decode_worker_entry("servers/i-7f", encode(document))
        assert entry.state is deployment.WorkerState.DRAINING
        assert entry.remaining == 1500 * MS

    @pytest.mark.parametrize(
        "change",
        [
            {"state": "resting"},
            {"address": 7},
            {"free-capacity": None},
            {"free-capacity": {"cpu": -1}},
            {"labels": [1]},
            {"cold-remaining-ms": True},
        ],
    )
    def test_malformed_entry(self, change):
        """Guards against the use of a worker whose entry is malformed."""
        with pytest.raises(exceptions.MessageError):
            documents.decode_worker_entry(
                "servers/i-7f", encode({**ENTRY, **change})
            )


class TestSubmission:
    """A job that a caller submits."""

    QUEUE = documents.decode_configuration(
        encode(
            {
                "version": 1,
                "routes": [ROUTE],
                "services": [],
                "limits": {"max-body-bytes": 1},
            }
        )
    ).queues[0]

    def decode(self, document):
        return caller_calls.submission(
            encode(document),
            job=ids.JobId("0" * 16),
            queue=self.QUEUE,
            accepted=5 * MS,
        )

    @pytest.mark.parametrize(
        ("steps", "occurrences"), ((20_001, 0), (101, 200))
    )
    def test_too_many_steps(self, steps, occurrences):
        """Guards against steps without tasks that fill a leader's memory."""
        document = {
            "steps": [{}] * (steps - 1) + [{"count": 1}],
            "repeat-count": occurrences,
        }
        with pytest.raises(exceptions.MessageError, match="at most 20000"):
            self.decode(document)

    def test_all_fields_of_a_step(self):
        """Guards against a requirement of a step that is not decoded."""
        spec = self.decode(
            {
                "spec": "text",
                "steps": [
                    {"count": 4, "cpu": 500, "mem-mb": 256},
                    {
                        "count": 2,
                        "cpu": 2000,
                        "mem-mb": 1024,
                        "gpu": 1,
                        "estimate-ms": 7000,
                        "after": [0],
                        "checkpointing": True,
                        "gang": True,
                        "same-rack": True,
                        "requires": "b",
                        "affinity": "r1-3",
                        "max-per-server": 2,
                        "image": "x",
                        "target-ms": 50,
                        "max-missing": 1,
                    },
                ],
                "repeat-count": 3,
                "start-time-ms": 1000,
                "interval-ms": 500,
            }
        )
        step = spec.steps[1]
        assert step.after == (0,) and step.gang and step.same_rack
        assert step.rack == "r1-3" and step.label == "b"
        assert step.latency_target == 50 * MS
        assert step.max_per_worker == 2 and step.max_unavailable == 1
        assert spec.repetition == model.Repetition(
            count=3, first=1000 * MS, interval=500 * MS
        )

    @pytest.mark.parametrize(
        "document",
        [
            {},
            {"steps": []},
            {"steps": [{"count": 0}]},
            {"steps": [{"count": 1, "after": [0]}]},
            {"steps": [{"count": 1, "cpu": -5}]},
            {"steps": [7]},
            {"steps": [{"count": 10**9}]},
            {"spec": "x" * 4001, "steps": [{"count": 1}]},
        ],
    )
    def test_malformed(self, document):
        """Guards against an accepted job that can never be run."""
        with pytest.raises(exceptions.MessageError):
            self.decode(document)

    def test_job_id(self):
        """Guards against a malformed path that is accepted as a job id."""
        queue = self.QUEUE
        assert caller_calls.job_id("/lohu/", queue) == ""
        assert caller_calls.job_id("/lohu/" + "a" * 16, queue) == "a" * 16
        with pytest.raises(exceptions.MessageError):
            caller_calls.job_id("/lohu/xyz", queue)

    @pytest.mark.parametrize("value, expected", [(b"800", 800), (b"x", 3000)])
    def test_timeout(self, value, expected):
        """Guards against an answer after the time-out that the caller set.

        The default applies if the header is not a number.
        """
        head = heads.RequestHead(
            method="GET",
            target="/",
            headers=[(b"turmerichook-request-timeout-ms", value)],
        )
        assert caller_calls.timeout(head) == expected * MS


class TestTaskNames:
    """Names of tasks on the wire."""

    def test_round_trip(self):
        """Guards against a name that decodes to another task."""
        task = model.TaskKey(ids.JobId("5c0e7a21d94b36f8"), 2, 1, 17)
        name = worker_calls.task_name(task)
        assert name == "5c0e7a21d94b36f8.2.1.17"
        assert worker_calls.parse_task_name(name) == task

    @pytest.mark.parametrize("name", ["", "a.b", "a.0.x.1", "a.0.1.2.3"])
    def test_malformed(self, name):
        """Guards against a crash on a malformed task name."""
        with pytest.raises(exceptions.MessageError):
            worker_calls.parse_task_name(name)
