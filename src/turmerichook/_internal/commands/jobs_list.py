"""``turmerichook jobs list``: list batch jobs."""

from turmerichook._internal.commands import context as contexts
from turmerichook._internal.providers import store as stores
from turmerichook._internal.scheduling import jobs


# Job records per read. A page of this size stays far below the limit of
# 4 MiB for an answer of the store.
PAGE_SIZE = 500


async def run(
    context: contexts.Context, state: str | None, team: str | None
) -> list[dict]:
    """Return the job records in the store, the newest first.

    :param state: only jobs in this state; None for all.
    :param team: only jobs of this team; None for all.
    """
    records = await _read_all(context.open_store())
    documents = [
        {
            "id": record.spec.job,
            "team": record.spec.team,
            "state": record.state.value,
            "home": record.home,
            "tasks": record.spec.tasks,
            "accepted": record.accepted,
            "detail": record.detail,
        }
        for record in records
        if state in (None, record.state.value)
        and team in (None, record.spec.team)
    ]
    return sorted(documents, key=lambda job: job["accepted"], reverse=True)


async def _read_all(store: stores.Store) -> list[jobs.JobRecord]:
    records: list[jobs.JobRecord] = []
    start = ""
    while True:
        page = await store.list(jobs.PREFIX, start=start, limit=PAGE_SIZE)
        records += [jobs.unpack(entry.value) for entry in page.entries]
        if len(page.entries) < PAGE_SIZE:
            return records
        start = page.entries[-1].key
