"""Tests of jobs with as many steps as the body of a submission may have."""

import dataclasses
import datetime
import random
import time

import pytest

from bench import measure_large_jobs
from tests.dispatch import fakes
from turmerichook._internal.dispatch import jobs
from turmerichook._internal.dispatch import waiting
from turmerichook._internal.models import ids
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses
from turmerichook._internal.workflow import step_graph
from turmerichook._internal.workflow import stored

ZERO = datetime.timedelta()
SECOND = datetime.timedelta(seconds=1)
STEPS_MAX = 3200
# Factor by which the steps of two jobs differ. The processor time may differ
# by ``SLACK`` times as much, which is half of the square of the factor.
GROWTH = 8
SLACK = 4
# Times below this, a fortieth of the time of the leader's lease, are not
# compared.
SHORT_S = 0.05
# Repetitions of a measurement that other load may have disturbed.
ATTEMPTS = 3


def random_steps(generator, count):
    """Return steps that each depend on up to three earlier ones."""
    return tuple(
        fakes.step(
            generator.randint(1, 3),
            estimate=generator.randint(1, 9) * SECOND,
            after=tuple(
                generator.randrange(number)
                for _ in range(generator.randint(0, min(3, number)))
            ),
        )
        for number in range(count)
    )


def downstream(steps, first):
    """Return the steps that depend on a step, by following each chain."""
    found = {first}
    for number, step in enumerate(steps):
        if found.intersection(step.after):
            found.add(number)
    return found - {first}


def critical_path(steps, first):
    """Return the longest chain from a step, by comparing all chains."""
    later = [n for n, step in enumerate(steps) if first in step.after]
    return steps[first].estimate + max(
        (critical_path(steps, n) for n in later), default=ZERO
    )


class TestStepGraph:
    """What follows from the dependencies between steps."""

    @pytest.mark.parametrize("seed", range(20))
    def test_estimates(self, seed):
        """Guards against an order of jobs by other estimates than meant."""
        steps = random_steps(random.Random(seed), 14)
        graph = step_graph.StepGraph(steps)
        assert graph.critical_paths == tuple(
            critical_path(steps, n) for n in range(len(steps))
        )
        assert graph.downstream_work == tuple(
            sum(
                (
                    steps[later].count * steps[later].processor_time
                    for later in downstream(steps, n)
                ),
                ZERO,
            )
            for n in range(len(steps))
        )

    @pytest.mark.parametrize("seed", range(20))
    def test_steps_become_ready_once(self, seed):
        """Guards against a step that starts early, twice or never.

        The job is restored in the middle, as by the next leader.
        """
        generator = random.Random(seed)
        spec = fakes.job("0" * 16, *random_steps(generator, 12))
        progress = progresses.Progress(spec=spec)
        ready = progress.open_occurrence()
        started = set()
        while ready:
            task = ready.pop(generator.randrange(len(ready)))
            assert task not in started
            started.add(task)
            step = spec.steps[task.step]
            assert not any(
                progress.unfinished_tasks[0, earlier] for earlier in step.after
            )
            progress.assign(task, ids.WorkerId("w"), ids.Attempt(1))
            ready += progress.finish(task)
            if len(started) == 6:
                progress = progresses.restore(
                    spec,
                    progress.tasks,
                    opened_occurrences=1,
                    canceled=False,
                    failed=None,
                )
                assert sorted(ready) == sorted(progress.waiting())
        assert progress.state is model.JobState.COMPLETED


class TestStepsWithoutTasks:
    """Steps whose number of tasks is 0, which is omitted on the wire."""

    @pytest.mark.parametrize("seed", range(20))
    def test_job_completes(self, seed):
        """Guards against a job that waits for a step without any task.

        Such jobs were accepted and stayed queued or running for ever, also
        for the next leader.
        """
        generator = random.Random(seed)
        steps = tuple(
            dataclasses.replace(step, count=generator.randint(0, 2))
            for step in random_steps(generator, 12)
        )
        spec = fakes.job("0" * 16, *steps, fakes.step(1, after=(11,)))
        progress = progresses.Progress(spec=spec)
        ready = progress.open_occurrence()
        while ready:
            task = ready.pop(generator.randrange(len(ready)))
            progress.assign(task, ids.WorkerId("w"), ids.Attempt(1))
            ready += progress.finish(task)
            if progress.state.final:
                break
            progress = stored.decode_progress(
                spec, stored.encode_progress(progress)
            )
            assert sorted(ready) == sorted(progress.waiting())
        assert not ready
        assert progress.state is model.JobState.COMPLETED

    def test_long_chain(self):
        """Guards against an error over many steps without tasks in a row."""
        chain = [fakes.step(0, after=(n,)) for n in range(5000)]
        spec = fakes.job("0" * 16, fakes.step(1), *chain)
        progress = progresses.Progress(spec=spec)
        (task,) = progress.open_occurrence()
        progress.assign(task, ids.WorkerId("w"), ids.Attempt(1))
        assert not progress.finish(task)
        assert progress.state is model.JobState.COMPLETED


class TestTime:
    """Processor time for which one job holds the event loop."""

    @pytest.mark.parametrize("shape", measure_large_jobs.SHAPES)
    def test_grows_with_the_number_of_steps(self, shape):
        """Guards against a leader that one large job costs its lease.

        Taking a job of 800 steps took 34 s, as the critical path of all steps
        was determined three times for each step (review/6). Each next leader
        took the same job.
        """
        many = min(STEPS_MAX, measure_large_jobs.largest(shape))
        for _ in range(ATTEMPTS):
            few_times = measure_large_jobs.measure(shape, many // GROWTH)
            times = measure_large_jobs.measure(shape, many)
            excessive = {
                kind: times[kind]
                for kind in ("take", "take-over", "end", "round", "commit")
                if times[kind] > max(SLACK * GROWTH * few_times[kind], SHORT_S)
            }
            if not excessive:
                break
        assert not excessive

    def test_rounds_with_a_starving_filler_job(self):
        """Guards against rounds that read all records once for each step.

        The tasks of a filler job that had waited for more than two seconds
        were searched for one that runs.
        """
        count = STEPS_MAX
        spec = fakes.job("0" * 16, *[fakes.step(filler=True)] * count)
        job = jobs.Job(
            progress=progresses.Progress(spec=spec), queue=fakes.QUEUE
        )
        tasks = job.progress.open_occurrence()
        for task in tasks[: count // 2]:
            job.progress.assign(task, ids.WorkerId("w"), ids.Attempt(1))
            job.progress.finish(task)
        waiting_tasks = waiting.WaitingTasks()
        for task in tasks[count // 2 :]:
            waiting_tasks.add(job, task, ids.WorkerId(""), ZERO)
        began = time.process_time()
        assert all(
            step.overdue(3 * SECOND) for step in waiting_tasks.steps.values()
        )
        assert time.process_time() - began < SHORT_S

    def test_rounds_with_a_limit_for_each_worker(self):
        """Guards against rounds that read all records once for each step.

        The tasks of a step on each worker were counted among all tasks.
        """
        spec = fakes.job("0" * 16, *[fakes.step(max_per_worker=1)] * STEPS_MAX)
        job = jobs.Job(
            progress=progresses.Progress(spec=spec), queue=fakes.QUEUE
        )
        waiting_tasks = waiting.WaitingTasks()
        for task in job.progress.open_occurrence():
            waiting_tasks.add(job, task, ids.WorkerId(""), ZERO)
            job.progress.assign(task, ids.WorkerId("w"), ids.Attempt(1))
        began = time.process_time()
        assert all(
            step.tasks_by_worker() == {"w": 1}
            for step in waiting_tasks.steps.values()
        )
        assert time.process_time() - began < SHORT_S
