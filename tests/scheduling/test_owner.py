"""Tests of the real owner's decisions, with simulated workers and store."""

import datetime

from tests.scheduling import world as worlds
from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.providers import workers
from turmerichook._internal.scheduling import jobs
from turmerichook._internal.scheduling import journal
from turmerichook._internal.scheduling import links
from turmerichook._internal.scheduling import operator_calls


async def submit(world, name: str, **fields) -> None:
    """Write the record of an accepted job to the store."""
    fields.setdefault("tasks", 1)
    fields.setdefault("resources", worlds.SMALL)
    fields.setdefault("run_time", worlds.seconds(5))
    spec = site.Job(job=ids.JobId(name), team=ids.TeamId("t"), **fields)
    record = jobs.JobRecord(
        spec=spec,
        home=ids.ZoneId("a"),
        state=jobs.JobState.ACCEPTED,
        operation=ids.OperationId("submit"),
        accepted=world.clock.now().isoformat(),
    )
    await world.store.put(
        jobs.key_of(spec.job), jobs.pack(record), expect=ids.Version(0)
    )


class TestFailedJobs:
    """A job that is not tried again gets a final record."""

    def test_job_failing_on_every_host(self):
        # Guards against a job that fails on every host and is started again
        # and again, and against journal entries that stay after it failed.
        async def scenario(world):
            for worker in world.network.values():
                worker.fails = True
            await submit(world, "j", tasks=4)
            await world.until_completed("j", limit=20)
            record = await world.record("j")
            assert record.state is jobs.JobState.FAILED
            assert record.detail.startswith("fails-everywhere")
            assert record.ended
            await world.advance(3)
            start_count = len(world.events("start"))
            await world.advance(30)
            assert len(world.events("start")) == start_count
            assert "j" not in world.owner().journal.state.jobs

        worlds.run(scenario)

    def test_failed_job_gets_record_and_is_withdrawn(self):
        # Guards against a failed job whose record stays in the state
        # accepted, and against the next plan adding its tasks again.
        async def scenario(world):
            await submit(world, "j")
            await world.until(lambda: world.running("job/j/") != [])
            fault = outcomes.Absent(
                reason=outcomes.Reason.FAILS_EVERYWHERE, detail="10 failures"
            )
            state = world.owner().state
            state.fail(state.groups["job/j"], fault)
            await world.until_completed("j")
            record = await world.record("j")
            assert record.state is jobs.JobState.FAILED
            assert record.detail == "fails-everywhere: 10 failures"
            await world.advance(2)
            assert not world.owner().state.groups

        worlds.run(scenario)

    def test_job_fails_at_its_deadline(self):
        # Guards against a job whose tasks still run after its deadline.
        async def scenario(world):
            deadline = datetime.timedelta(seconds=6)
            await submit(
                world, "j", run_time=worlds.seconds(60), deadline=deadline
            )
            await world.until_completed("j", limit=10)
            record = await world.record("j")
            assert record.state is jobs.JobState.FAILED
            assert record.detail.startswith("deadline-passed")
            await world.until(lambda: world.running() == [], limit=5)

        worlds.run(scenario)

    def test_new_owner_counts_failures_again(self):
        # Guards against a job that never fails because the count of its
        # failures is lost when another scheduler takes the zone over.
        async def scenario(world):
            for worker in world.network.values():
                worker.fails = True
            await submit(world, "j", tasks=4)
            await world.advance(1.5)
            first = next(s for s in world.schedulers if s.owner("a"))
            await first.stop()
            await world.until_completed("j", limit=40)
            assert (await world.record("j")).state is jobs.JobState.FAILED

        worlds.run(scenario, schedulers=2)


class TestInventories:
    """A worker gets new tasks only after it has sent its inventory."""

    def test_no_new_tasks_before_inventory(self):
        # Guards against a host being overcommitted: an unlisted attempt that
        # the journal does not hold may use its resources.
        async def scenario(world):
            await world.until(lambda: world.owner() is not None)
            await world.until(lambda: world.owner().state.usable)
            owner = world.owner()
            owner.reports.mark_unreachable("a0")
            for inventory in (False, True):
                answer = workers.SyncAnswer(
                    boot=owner.reports.last_events["a0"][0],
                    clock=worlds.seconds(0),
                    events=(),
                )
                owner.reports.apply_answer(
                    links.SyncAnswered(
                        host=ids.HostId("a0"),
                        answer=answer,
                        inventory=inventory,
                        sent=world.clock.monotonic(),
                    )
                )
                assert ("a0" in owner.state.usable) is inventory

        worlds.run(scenario)


class TestPreemption:
    """Urgent tasks start at once, and stopped batch tasks resume."""

    def test_victim_resumes_from_its_checkpoint(self):
        # Guards against an urgent task that waits for batch tasks to end,
        # and against a batch task stopped for it that starts without its
        # checkpoint, starts twice or does not start again.
        async def scenario(world):
            await submit(world, "j", tasks=8, run_time=worlds.seconds(20))
            await world.until(lambda: len(world.running("job/j/")) == 8)
            await world.advance(3)
            submitted = world.clock.monotonic()
            await submit(world, "u", urgency=site.Urgency.URGENT)
            await world.until(lambda: world.running("job/u/") != [], limit=4)
            assert world.clock.monotonic() - submitted < worlds.seconds(4.3)
            await world.until_completed("j", limit=90)
            await world.until_completed("u")

        world = worlds.run(scenario)
        resumed = [
            e for e in world.events("start", "job/j/") if e["checkpoint"]
        ]
        assert len(world.events("start", "job/j/")) == 9
        assert len(resumed) == 1


class TestJournalBounds:
    """The journal's base stays below the store's limit on value sizes."""

    def test_tasks_wait_for_room_in_the_journal(self, monkeypatch):
        # Guards against a journal base that the store refuses because it is
        # too large, and against tasks that wait for room in the journal and
        # are not placed when there is room again.
        monkeypatch.setattr(journal, "MAX_LIVE_TASKS", 3)

        async def scenario(world):
            await submit(world, "j", tasks=7, run_time=worlds.seconds(2))
            highest = 0
            while (await world.record("j")).state is jobs.JobState.ACCEPTED:
                await world.advance(0.5)
                facts = world.owner().journal.state
                highest = max(highest, facts.live_rows)
                document = operator_calls.explain_document(
                    world.owner().state, "job/j/6", world.clock.monotonic()
                )
                if (
                    document
                    and document["phase"] == "waiting"
                    and facts.live_rows == 3
                ):
                    assert document["reason"] == "journal-is-full"
            assert highest == 3

        assert len(worlds.run(scenario).events("start")) == 7


class TestServices:
    """Changes of a service's replicas and sizes."""

    def test_more_replicas_after_fewer(self):
        # Guards against an attempt number that is used twice when a replica
        # is removed and added again. A late report about the old replica
        # would then be taken for one about the new replica.
        async def scenario(world):
            for replicas in (3, 0, 1, 4):
                world.set_service("s", replicas)
                await world.until(
                    lambda: len(world.running("service/s/")) == replicas
                )
                await world.advance(15)

        worlds.run(scenario)

    def test_size_changes_while_room_is_reserved(self):
        # Guards against an owner that fails when the size of a task changes
        # while room is reserved for it, so that the start commits another
        # amount than the reserved one.
        async def scenario(world):
            await submit(world, "j", tasks=8, run_time=worlds.seconds(90))
            await world.until(lambda: len(world.running("job/j/")) == 8)
            world.set_service("s", 1)
            await world.until(lambda: world.owner().state.reserved)
            group = world.owner().state.groups["service/s/a"]
            group.amount = resources.Resources(
                millicores=3000, memory_mib=1024
            )
            epoch = world.owner().epoch
            await world.until(lambda: world.running("service/s/") != [])
            assert world.owner().epoch == epoch

        worlds.run(scenario)
