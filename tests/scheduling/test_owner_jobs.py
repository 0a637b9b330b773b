"""Tests of how the owner records that a job has failed for good."""

import asyncio
import datetime

from turmerichook._internal import clock as clocks
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.platform import store as stores
from turmerichook._internal.platform import store_memory
from turmerichook._internal.scheduling import authority
from turmerichook._internal.scheduling import jobs
from turmerichook._internal.scheduling import owner as owners
from turmerichook._internal.scheduling import ownership

ZONE = ids.ZoneId("a")
CONFIGURATION = site.Configuration(
    zones={ZONE: site.Zone(zone=ZONE, region=ids.RegionId("r"))}
)


def make_owner(store, clock) -> owners.Owner:
    """Return an owner that talks to no worker."""
    tenure = ownership.Tenure(
        zone=ZONE,
        epoch=ids.Epoch(1),
        lease=ids.LeaseId("l"),
        authority=authority.Authority(),
    )
    return owners.Owner(
        tenure=tenure,
        node=ids.NodeId("n"),
        store=store,
        pool=None,
        host_list=None,
        clock=clock,
        configuration=lambda: CONFIGURATION,
        publish=lambda message: None,
    )


class TestFailedJob:
    """A job that fails for good ends in its record and in the zone."""

    def test_record_and_withdrawal(self):
        # Guards against a failed job that stays accepted, or that is
        # submitted again by the next plan.
        asyncio.run(self.fail_one())

    async def fail_one(self) -> None:
        clock = clocks.ManualClock()
        store = store_memory.MemoryStore(clock=clock)
        owner = make_owner(store, clock)
        spec = site.Job(
            job=ids.JobId("j"),
            team=ids.TeamId("t"),
            tasks=1,
            resources=resources.Resources(millicores=1),
            run_time=datetime.timedelta(seconds=1),
        )
        record = jobs.JobRecord(
            spec=spec,
            home=ZONE,
            state=jobs.JobState.ACCEPTED,
            operation=ids.OperationId("o"),
            accepted=clock.now().isoformat(),
        )
        key = jobs.key_of(spec.job)
        version = await store.put(
            key, jobs.pack(record), expect=stores.ABSENT_VERSION
        )
        owner._on_jobs(owners.JobsChanged(records=((record, version),)))
        owner._plan()
        [group] = owner.state.groups.values()
        fault = outcomes.Absent(
            reason=outcomes.Reason.FAILS_EVERYWHERE, detail="10 failures"
        )
        owner.state.fail(group, fault)
        await owner._complete_jobs()
        found = jobs.unpack((await store.get(key)).value)
        assert found.state is jobs.JobState.FAILED
        assert found.detail == "fails-everywhere: 10 failures"
        owner._plan()
        assert not owner.state.groups
