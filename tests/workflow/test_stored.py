"""Tests of encoding and decoding jobs and their progress for the store."""

import datetime

import hypothesis
from hypothesis import strategies
import msgpack
import pytest

from turmerichook._internal.models import ids
from turmerichook._internal.models import resources
from turmerichook._internal.workflow import model
from turmerichook._internal.workflow import progress as progresses
from turmerichook._internal.workflow import stored
from turmerichook import exceptions

JOB = ids.JobId("00000000000000aa")
SMALL_INTEGERS = strategies.integers(0, 5)
DURATIONS = strategies.integers(0, 10_000).map(
    lambda ms: datetime.timedelta(milliseconds=ms)
)

STEPS = strategies.builds(
    model.Step,
    count=strategies.integers(1, 4),
    demand=strategies.builds(
        resources.Resources,
        millicores=SMALL_INTEGERS,
        memory_mib=SMALL_INTEGERS,
        accelerators=SMALL_INTEGERS,
    ),
    estimate=DURATIONS,
    checkpointing=strategies.booleans(),
    gang=strategies.booleans(),
    same_rack=strategies.booleans(),
    label=strategies.text(max_size=3),
    rack=strategies.text(max_size=3),
    max_per_worker=SMALL_INTEGERS,
    speculative=strategies.booleans(),
    long_running=strategies.booleans(),
    image=strategies.text(max_size=3),
    latency_target=DURATIONS,
    filler=strategies.booleans(),
    max_unavailable=SMALL_INTEGERS,
)

SPECS = strategies.builds(
    model.JobSpec,
    job=strategies.just(JOB),
    queue=strategies.just(ids.QueueId("q")),
    service=strategies.just(ids.ServiceId("s")),
    payload=strategies.text(max_size=20),
    steps=strategies.lists(STEPS, min_size=1, max_size=3).map(tuple),
    accepted=DURATIONS,
    customer=strategies.sampled_from(["", "parish"]).map(ids.CustomerId),
    repetition=strategies.none()
    | strategies.builds(
        model.Repetition,
        count=strategies.integers(1, 3),
        first=DURATIONS,
        interval=DURATIONS,
    ),
)


class TestRoundTrip:
    """Decoding returns what was encoded."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(spec=SPECS)
    def test_spec(self, spec):
        """Guards against a field of a job that is lost in the stored form."""
        assert stored.decode_spec(JOB, stored.encode_spec(spec)) == spec

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(spec=SPECS, data=strategies.data())
    def test_progress(self, spec, data):
        """Guards against progress that a new leader does not restore.

        A leader that takes over reads each job's stored progress. If a record
        is lost, the job falls back to an earlier state.
        """
        progress = progresses.Progress(spec=spec)
        waiting = list(progress.open_occurrence())
        for _ in range(data.draw(strategies.integers(0, 8))):
            if not waiting:
                break
            task = waiting.pop()
            progress.assign(task, ids.WorkerId("w"), ids.Attempt(1))
            match data.draw(strategies.sampled_from("rdf")):
                case "d":
                    waiting += progress.finish(task)
                case "f":
                    progress.return_to_queue(task, checkpoint="c", failed=True)
        value = stored.encode_progress(progress)
        assert stored.decode_state(JOB, value) is progress.state
        if progress.state.final:
            return
        decoded = stored.decode_progress(spec, value)
        assert decoded.tasks == progress.tasks
        assert decoded.unfinished_tasks == progress.unfinished_tasks
        assert decoded.state is progress.state
        assert sorted(decoded.waiting()) == sorted(progress.waiting())


class TestUnfinishedRuns:
    """Runs of a final job that its workers may still be running."""

    def test_what_they_count(self):
        """Guards against a quota that runs of a cancelled job do not use."""
        demand = resources.Resources(millicores=500, memory_mib=70)
        spec = model.JobSpec(
            job=JOB,
            queue=ids.QueueId("q"),
            service=ids.ServiceId("s"),
            customer=ids.CustomerId("parish"),
            payload="",
            steps=(model.Step(count=1, demand=demand, filler=True),),
            accepted=datetime.timedelta(),
        )
        progress = progresses.Progress(spec=spec)
        (task,) = progress.open_occurrence()
        progress.assign(task, ids.WorkerId("w"), ids.Attempt(2))
        progress.canceled = True
        value = stored.encode_progress(progress)
        assert stored.decode_unfinished_runs(JOB, value) == {
            task: stored.UnfinishedRun(
                ids.Attempt(2),
                ids.WorkerId("w"),
                customer=spec.customer,
                committed=resources.Resources(memory_mib=70),
                charge=demand,
            )
        }
        assert stored.decode_progress(spec, value).canceled


class TestOtherVersions:
    """Values that are malformed or have another format version."""

    @pytest.mark.parametrize(
        "value",
        [b"", b"\xc1", msgpack.packb({}), msgpack.packb([2, "q"])],
    )
    def test_raises_stored_value_error(self, value):
        """Guards against an untyped error or a wrong result.

        A damaged value, or one that another version of the software wrote,
        must raise the error that callers of the decoder handle.
        """
        with pytest.raises(exceptions.StoredValueError):
            stored.decode_spec(JOB, value)
        with pytest.raises(exceptions.StoredValueError):
            stored.decode_state(JOB, value)
        with pytest.raises(exceptions.StoredValueError):
            stored.decode_unfinished_runs(JOB, value)
