"""Job submission: a job is accepted once its record is in the store."""

import json
import typing
import uuid

from turmerichook._internal import clock as clocks
from turmerichook._internal.configuration import schema
from turmerichook._internal.models import ids
from turmerichook._internal.models import site
from turmerichook._internal import outcomes
from turmerichook._internal.providers import store as stores
from turmerichook._internal.scheduling import homes
from turmerichook._internal.scheduling import jobs
from turmerichook import exceptions

# Maximum number of job ids in one cancellation. With ids of at most 63 bytes
# the record stays below the store's limit of 1 MB for a value.
MAX_CANCELLATION_JOBS = 10_000


class Submissions:
    """Creates and reads job records and cancellations in the store."""

    def __init__(self, *, store: stores.Store, clock: clocks.Clock):
        self.store = store
        self.clock = clock

    async def submit(
        self, body: bytes, configuration: site.Configuration
    ) -> jobs.JobRecord:
        """Store a job durably and return its record.

        The job id is the idempotency key: submitting the same job again
        returns the record of the first submission.

        :raises JobInvalidError: if the document is malformed.
        :raises ConfigurationError: if the job does not match the schema.
        :raises JobConflictError: if another job has the id already.
        :raises StoreError: if the store does not confirm the write.
        """
        name, table = _parse(body)
        spec = schema.job(name, table, configuration)
        record = jobs.JobRecord(
            spec=spec,
            home=home_zone(spec, configuration),
            state=jobs.JobState.ACCEPTED,
            operation=ids.OperationId(uuid.uuid4().hex),
            accepted=self.clock.now().isoformat(),
        )
        key = jobs.key_of(spec.job)
        try:
            await self.store.put(
                key, jobs.pack(record), expect=stores.ABSENT_VERSION
            )
        except exceptions.VersionConflictError:
            return await self._existing_record(spec)
        return record

    async def find(self, job: ids.JobId) -> jobs.JobRecord:
        """Return the record of a job.

        :raises JobNotFoundError: if no job has the id.
        """
        stored = await self.store.get(jobs.key_of(job))
        if isinstance(stored, outcomes.Absent):
            raise exceptions.JobNotFoundError(
                message=f"no job has the id {job}"
            )
        return jobs.unpack(stored.value)

    async def cancel(self, body: bytes) -> jobs.Cancellation:
        """Store the cancellation of a batch of jobs durably.

        The whole batch takes one store write; the owners of the jobs' home
        zones then carry out the cancellation.

        :raises JobInvalidError: if the document is malformed.
        :raises StoreError: if the store does not confirm the write.
        """
        cancellation = jobs.Cancellation(
            jobs=_parse_cancellation(body),
            created=self.clock.now().isoformat(),
        )
        key = jobs.CANCEL_PREFIX + uuid.uuid4().hex
        value = jobs.pack_cancellation(cancellation)
        try:
            await self.store.put(key, value, expect=stores.ABSENT_VERSION)
        except exceptions.StoreOutcomeUnknownError:
            await self._retry_put(key, value)
        return cancellation

    async def _retry_put(self, key: str, value: bytes) -> None:
        try:
            await self.store.put(key, value, expect=stores.ABSENT_VERSION)
        except exceptions.VersionConflictError:
            # No other call uses the key, so its presence shows that the first
            # write has taken effect.
            pass

    async def _existing_record(self, spec: site.Job) -> jobs.JobRecord:
        record = await self.find(spec.job)
        if record.spec != spec:
            raise exceptions.JobConflictError(
                message=(
                    f"the id {spec.job} is already used by a job with"
                    " another specification"
                ),
                hint="choose another id, or submit the same specification",
            )
        return record


def home_zone(spec: site.Job, configuration: site.Configuration) -> ids.ZoneId:
    """Return the home zone of a job, whose owner schedules it.

    :raises JobInvalidError: if no allowed zone is open.
    """
    home = homes.home_zone(spec, configuration)
    if home is None:
        raise exceptions.JobInvalidError(
            message="none of the job's zones is open",
            context=", ".join(spec.zones),
            hint="wait until a zone is brought back, or allow other zones",
        )
    return home


def _parse_cancellation(body: bytes) -> tuple[ids.JobId, ...]:
    match _load(body):
        case {"jobs": [*names]} if _are_ids(names):
            return tuple(ids.JobId(name) for name in names)
        case _:
            raise exceptions.JobInvalidError(
                message=(
                    "the body is not a JSON object with a list 'jobs' of ids"
                ),
                context=f"1 to {MAX_CANCELLATION_JOBS} ids",
            )


def _are_ids(names: list[typing.Any]) -> bool:
    return 0 < len(names) <= MAX_CANCELLATION_JOBS and all(
        isinstance(name, str) and schema.NAME.fullmatch(name) for name in names
    )


def _parse(body: bytes) -> tuple[str, dict[str, typing.Any]]:
    match _load(body):
        case {"id": str(name), **table}:
            return name, table
        case _:
            raise exceptions.JobInvalidError(
                message="the body is not a JSON object with a string 'id'",
            )


def _load(body: bytes) -> typing.Any:
    try:
        return json.loads(body)
    except ValueError as error:
        raise exceptions.JobInvalidError(
            message=f"the body is not JSON: {error}",
        ) from error
