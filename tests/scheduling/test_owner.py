"""Tests of the decisions inside the real owner, on a manual clock."""

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
    """Write the record of a job."""
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
    """A job that has failed for good gets a final record."""

    def test_fails_everywhere(self):
        # Guards against a broken job that is tried for ever, and against
        # one whose journal entries are kept for ever.
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
            begun = len(world.events("start"))
            await world.advance(30)
            assert len(world.events("start")) == begun
            assert "j" not in world.owner().journal.facts.jobs

        worlds.run(scenario)

    def test_record_and_withdrawal(self):
        # Guards against a failed job that stays accepted, or that is
        # submitted again by the next plan.
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

    def test_deadline(self):
        # Guards against work that goes on after it is of no use.
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

    def test_successor_counts_anew(self):
        # Guards against a takeover that loses the failure of a job.
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
    """A worker gets work once it has told what it runs."""

    def test_answer_without_inventory(self):
        # Guards against a start beside attempts that the journal does not
        # hold, beyond what the host has.
        async def scenario(world):
            await world.until(lambda: world.owner() is not None)
            await world.until(lambda: world.owner().state.usable)
            owner = world.owner()
            owner.reports.mark_unreachable("a0")
            for inventory in (False, True):
                answer = workers.SyncAnswer(
                    boot=owner.reports.seen["a0"][0],
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
    """Urgent work gets room at once, and the victims lose little."""

    def test_victim_resumes_from_its_checkpoint(self):
        # Guards against urgent work that waits for batch, and against a
        # victim that starts from its beginning, twice or never.
        async def scenario(world):
            await submit(world, "j", tasks=8, run_time=worlds.seconds(20))
            await world.until(lambda: len(world.running("job/j/")) == 8)
            await world.advance(3)
            asked = world.clock.monotonic()
            await submit(world, "u", urgency=site.Urgency.URGENT)
            await world.until(lambda: world.running("job/u/") != [], limit=4)
            assert world.clock.monotonic() - asked < worlds.seconds(4.3)
            await world.until_completed("j", limit=90)
            await world.until_completed("u")

        world = worlds.run(scenario)
        resumed = [
            e for e in world.events("start", "job/j/") if e["checkpoint"]
        ]
        assert len(world.events("start", "job/j/")) == 9
        assert len(resumed) == 1


class TestJournalBounds:
    """The journal's base stays below the store's value limit."""

    def test_tasks_wait_for_room_in_the_journal(self, monkeypatch):
        # Guards against a base that the store refuses, and against tasks
        # that are never looked at again once there is room.
        monkeypatch.setattr(journal, "LIVE_TASKS", 3)

        async def scenario(world):
            await submit(world, "j", tasks=7, run_time=worlds.seconds(2))
            most = 0
            while (await world.record("j")).state is jobs.JobState.ACCEPTED:
                await world.advance(0.5)
                facts = world.owner().journal.facts
                most = max(most, facts.live)
                found = operator_calls.explain_document(
                    world.owner().state, "job/j/6", world.clock.monotonic()
                )
                if found and found["phase"] == "waiting" and facts.live == 3:
                    assert found["reason"] == "journal-is-full"
            assert most == 3

        assert len(worlds.run(scenario).events("start")) == 7


class TestServices:
    """Replicas keep their attempts apart, whatever their number was."""

    def test_more_replicas_after_fewer(self):
        # Guards against an attempt number that is used twice, so that a
        # late report about the former replica fits the present one.
        async def scenario(world):
            for replicas in (3, 0, 1, 4):
                world.set_service("s", replicas)
                await world.until(
                    lambda: len(world.running("service/s/")) == replicas
                )
                await world.advance(15)

        worlds.run(scenario)

    def test_size_changes_while_room_is_freed(self):
        # Guards against an owner that fails since a start commits another
        # amount than the one that was reserved.
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
