"""Tests of the stored forms of jobs and their progress."""

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
SMALL = strategies.integers(0, 5)
SPANS = strategies.integers(0, 10_000).map(
    lambda ms: datetime.timedelta(milliseconds=ms)
)

STEPS = strategies.builds(
    model.Step,
    count=strategies.integers(1, 4),
    demand=strategies.builds(
        resources.Resources,
        millicores=SMALL,
        memory_mib=SMALL,
        accelerators=SMALL,
    ),
    estimate=SPANS,
    checkpointing=strategies.booleans(),
    gang=strategies.booleans(),
    same_rack=strategies.booleans(),
    label=strategies.text(max_size=3),
    rack=strategies.text(max_size=3),
    max_per_worker=SMALL,
    speculative=strategies.booleans(),
    long_running=strategies.booleans(),
    image=strategies.text(max_size=3),
    latency_target=SPANS,
    filler=strategies.booleans(),
    max_missing=SMALL,
)

SPECS = strategies.builds(
    model.JobSpec,
    job=strategies.just(JOB),
    queue=strategies.just(ids.QueueId("q")),
    service=strategies.just(ids.ServiceId("s")),
    payload=strategies.text(max_size=20),
    steps=strategies.lists(STEPS, min_size=1, max_size=3).map(tuple),
    accepted=SPANS,
    repetition=strategies.none()
    | strategies.builds(
        model.Repetition,
        count=strategies.integers(1, 3),
        first=SPANS,
        interval=SPANS,
    ),
)


class TestRoundTrip:
    """What is read is what was written."""

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(spec=SPECS)
    def test_spec(self, spec):
        """Guards against a field that the store forgets."""
        assert stored.decode_spec(JOB, stored.encode_spec(spec)) == spec

    @hypothesis.settings(derandomize=True, deadline=None)
    @hypothesis.given(spec=SPECS, data=strategies.data())
    def test_progress(self, spec, data):
        """Guards against a job that goes back after a takeover."""
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
        read = stored.decode_progress(spec, value)
        assert read.tasks == progress.tasks
        assert read.left == progress.left
        assert read.state is progress.state
        assert sorted(read.waiting()) == sorted(progress.waiting())


class TestOtherVersions:
    """Values that this version does not understand."""

    @pytest.mark.parametrize(
        "value",
        [b"", b"\xc1", msgpack.packb({}), msgpack.packb([2, "q"])],
    )
    def test_typed_error(self, value):
        """Guards against a crash, or a guess, on a strange value."""
        with pytest.raises(exceptions.StoredValueError):
            stored.decode_spec(JOB, value)
        with pytest.raises(exceptions.StoredValueError):
            stored.decode_state(JOB, value)
        with pytest.raises(exceptions.StoredValueError):
            stored.decode_remainder(JOB, value)
