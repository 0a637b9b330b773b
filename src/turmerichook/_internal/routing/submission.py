"""Accepting jobs: a job is accepted once its record is in the store."""

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

# Ids of 63 bytes each stay far below the store's limit of 1 MB.
CANCEL_BATCH = 10_000


class Submissions:
    """Creates and reads job records."""

    def __init__(self, *, store: stores.Store, clock: clocks.Clock):
        self.store = store
        self.clock = clock

    async def submit(
        self, body: bytes, configuration: site.Configuration
    ) -> jobs.JobRecord:
        """Make a job durable and return its record.

        The job id is the idempotency key: submitting the same job again
        returns the record of the first time.

        :raises JobInvalidError: if the document is malformed.
        :raises ConfigurationError: if the job breaks the schema.
        :raises JobConflictError: if the id belongs to another job.
        :raises StoreError: if the store does not confirm.
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
            return await self._existing(spec)
        return record

    async def find(self, job: ids.JobId) -> jobs.JobRecord:
        """Return a job's record.

        :raises JobNotFoundError: if no job has the id.
        """
        found = await self.store.get(jobs.key_of(job))
        if isinstance(found, outcomes.Absent):
            raise exceptions.JobNotFoundError(
                message=f"no job has the id {job}"
            )
        return jobs.unpack(found.value)

    async def cancel(self, body: bytes) -> jobs.Cancellation:
        """Make the cancellation of a batch of jobs durable.

        One store write serves the whole batch; the owners of the jobs' home
        zones act on it.

        :raises JobInvalidError: if the document is malformed.
        :raises StoreError: if the store does not confirm.
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
            await self._put_again(key, value)
        return cancellation

    async def _put_again(self, key: str, value: bytes) -> None:
        try:
            await self.store.put(key, value, expect=stores.ABSENT_VERSION)
        except exceptions.VersionConflictError:
            # The key is unique to this call, so the first write took effect.
            pass

    async def _existing(self, spec: site.Job) -> jobs.JobRecord:
        record = await self.find(spec.job)
        if record.spec != spec:
            raise exceptions.JobConflictError(
                message=f"the id {spec.job} belongs to another job",
                hint="choose another id, or submit the same specification",
            )
        return record


def home_zone(spec: site.Job, configuration: site.Configuration) -> ids.ZoneId:
    """Return the zone whose owner is to run a job.

    :raises JobInvalidError: if no allowed zone is open.
    """
    home = homes.home_zone(spec, configuration)
    if home is None:
        raise exceptions.JobInvalidError(
            message="none of the job's zones is open",
            context=", ".join(spec.zones),
            hint="wait until a zone is back in, or allow other zones",
        )
    return home


def _parse_cancellation(body: bytes) -> tuple[ids.JobId, ...]:
    match _load(body):
        case {"jobs": [*names]} if _are_ids(names):
            return tuple(ids.JobId(name) for name in names)
        case _:
            raise exceptions.JobInvalidError(
                message="the body is not an object with a list 'jobs' of ids",
                context=f"1 to {CANCEL_BATCH} ids",
            )


def _are_ids(names: list[typing.Any]) -> bool:
    return 0 < len(names) <= CANCEL_BATCH and all(
        isinstance(name, str) and schema.NAME.fullmatch(name) for name in names
    )


def _parse(body: bytes) -> tuple[str, dict[str, typing.Any]]:
    match _load(body):
        case {"id": str(name), **table}:
            return name, table
        case _:
            raise exceptions.JobInvalidError(
                message="the body is not an object with an 'id'",
            )


def _load(body: bytes) -> typing.Any:
    try:
        return json.loads(body)
    except ValueError as error:
        raise exceptions.JobInvalidError(
            message=f"the body is not JSON: {error}",
        ) from error
