"""Tests of the serialised form of job records."""

import dataclasses
import datetime

import msgpack

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal.scheduling import jobs

RECORD = jobs.JobRecord(
    spec=site.Job(
        job=ids.JobId("j"),
        team=ids.TeamId("t"),
        tasks=2,
        resources=resources.Resources(millicores=1),
        run_time=datetime.timedelta(seconds=1),
        start_by=datetime.timedelta(seconds=5),
        deadline=datetime.timedelta(minutes=1),
    ),
    home=ids.ZoneId("a"),
    state=jobs.JobState.ACCEPTED,
    operation=ids.OperationId("o"),
    accepted="2026-01-01T00:00:00+00:00",
)


class TestStoredForm:
    """A job record is unchanged after it was stored and read."""

    def test_round_trip(self):
        # Guards against a field that is missing in the serialised form, so
        # that its value is lost when an owner reads the record back.
        assert jobs.unpack(jobs.pack(RECORD)) == RECORD

    def test_record_of_an_earlier_version(self):
        # Guards against an upgrade after which jobs that an earlier version
        # accepted cannot be read, as their records lack newer fields.
        fields = msgpack.unpackb(jobs.pack(RECORD))
        del fields["start_by"], fields["deadline"]
        unpacked = jobs.unpack(msgpack.packb(fields))
        spec = dataclasses.replace(RECORD.spec, start_by=None, deadline=None)
        assert unpacked.spec == spec
