"""Tests of the account of the time of jobs that is drawn from logs."""

import datetime
import json

from tools import job_account

BEGIN = datetime.datetime(2026, 8, 21, 18, 0, tzinfo=datetime.UTC)


def line(seconds, event, job="a", **fields):
    """Return a log line of an entry process, as the bench prints it."""
    moment = BEGIN + datetime.timedelta(seconds=seconds)
    members = {"time": moment.isoformat(), "event": event, "job": job}
    return f" 1.5 host-1 {json.dumps(members | fields)}\n"


def taken(seconds, job="a", work_ms=1000, **fields):
    """Return the line on a job that was accepted 0.5 s before."""
    return line(
        seconds,
        "job-taken",
        job,
        queue="q",
        work_ms=work_ms,
        objective_ms=2000,
        age_ms=500,
        **fields,
    )


def placed(seconds, task, job="a"):
    return line(seconds, "task-placed", job, task=task)


def ended(seconds, task, kind="done", job="a"):
    return line(
        seconds,
        "run-ended",
        job,
        task=task,
        kind=kind,
        known=True,
        release_ms=250,
    )


def completed(seconds, job="a"):
    return line(seconds, "job-ended", job, state="completed")


class TestStages:
    """The time of a job is that of the slowest task of each step."""

    def test_each_second_has_one_stage(self):
        """Guards against time that is counted twice or not at all."""
        jobs, last = job_account.read(
            [
                taken(0),
                placed(1, "0.0.0"),
                placed(0.25, "0.0.1"),
                ended(2, "0.0.0", kind="failed"),
                placed(3, "0.0.0"),
                ended(0.75, "0.0.1"),
                ended(5, "0.0.0"),
                placed(5.5, "0.1.0"),
                ended(6.5, "0.1.0"),
                completed(7),
            ]
        )
        assert job_account.stages(jobs[0], last) == job_account.Stages(
            intake=0.5,
            waiting=1.5,
            release=0.5,
            repeats=2.0,
            running=2.5,
            saving=0.5,
        )
        assert jobs[0].verdict is job_account.Verdict.TOO_LATE

    def test_waiting_job_waits_until_the_last_line(self):
        """Guards against jobs that never start and cost no time."""
        jobs, last = job_account.read([taken(0), taken(9, "b")])
        assert job_account.stages(jobs[0], last).waiting == 9
        assert jobs[0].verdict is job_account.Verdict.NOT_ENDED

    def test_task_that_goes_on_runs_until_the_last_line(self):
        """Guards against the time of tasks that never end being dropped."""
        jobs, last = job_account.read(
            [taken(0), placed(1, "0.0.0"), taken(4, "b")]
        )
        account = job_account.stages(jobs[0], last)
        assert (account.waiting, account.running) == (1, 3)


class TestReading:
    """Logs hold other lines, and lines of several leaders."""

    def test_second_leader_does_not_begin_a_job_anew(self):
        """Guards against time before a change of the leader that is lost."""
        jobs, _ = job_account.read(
            ["not JSON\n", "{broken\n", taken(0), taken(3), completed(4)]
        )
        assert [job.taken - jobs[0].accepted for job in jobs] == [0.5]

    def test_jobs_that_do_not_end_by_themselves_are_left_out(self):
        """Guards against services and cancelled jobs that count as late."""
        jobs, _ = job_account.read(
            [
                taken(0, "service", long_running=True),
                taken(0, "cancelled"),
                line(1, "job-ended", "cancelled", state="canceled"),
                taken(0),
            ]
        )
        assert len(jobs) == 1


class TestSizes:
    """The largest tenth and the next fifth have rows of their own."""

    def test_groups_are_by_work(self):
        """Guards against groups in the order of arrival."""
        jobs, last = job_account.read(
            [
                taken(number, f"job{number}", work_ms=1000 * (number + 1))
                for number in range(10)
            ]
        )
        groups = job_account.by_size(jobs)
        assert [len(group) for _, group in groups] == [1, 2, 7]
        assert groups[0][1][0].work == 10
        assert "largest tenth | 1 | 10 |" in job_account.render(jobs, last)
