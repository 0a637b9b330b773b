"""Quarantine of workers that fail what they start.

A host is at fault after quick failures of several different jobs without a
sign of good work in between. A job is at fault after failing on several hosts
without a sign of good work anywhere; its failures then say nothing about the
hosts. Both are computed from the same records, so a job that later runs well
makes its earlier failures count again.
"""

import collections
import dataclasses
import datetime

from turmerichook._internal.models import ids

QUICK = datetime.timedelta(seconds=30)
JOBS_TO_QUARANTINE = 5
HOSTS_TO_BLAME_JOB = 3
SUCCESSES_TO_RETURN = 3
# Failures older than this say nothing about the present.
MEMORY = datetime.timedelta(minutes=10)
QUARANTINED_SHARE = 0.1
QUARANTINED_LEAST = 1
PROBE_PAUSE = datetime.timedelta(seconds=10)
PROBE_PAUSE_MOST = datetime.timedelta(minutes=5)
MAX_JOBS = 2048
MAX_FAILED_JOBS = 16
MAX_FAILED_HOSTS = 8


@dataclasses.dataclass(kw_only=True, slots=True)
class HostRecord:
    """What a host has done lately.

    :param failed: jobs with a quick failure since the last good work, with
        the time of the newest one.
    :param suspected: whether it was told that the cap keeps it in use.
    :param probe: task that probes a quarantined host.
    :param probe_after: earliest time of the next probe.
    """

    failed: dict[ids.JobId, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    quarantined: bool = False
    suspected: bool = False
    successes: int = 0
    probe: ids.TaskId | None = None
    probe_after: datetime.timedelta = datetime.timedelta()
    pause: datetime.timedelta = PROBE_PAUSE


@dataclasses.dataclass(kw_only=True, slots=True)
class JobHistory:
    """Where a job has failed quickly, and whether it ever did good work."""

    failed_on: dict[ids.HostId, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    worked: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Quarantined:
    """A host gets no more than one probe task at a time."""

    host: ids.HostId
    jobs: tuple[ids.JobId, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Suspected:
    """A host would be quarantined if the cap allowed it."""

    host: ids.HostId
    jobs: tuple[ids.JobId, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Returned:
    """A host has left quarantine."""

    host: ids.HostId


Change = Quarantined | Suspected | Returned


class Health:
    """Records of the zone's hosts and of jobs with failures."""

    def __init__(self):
        self.hosts: dict[ids.HostId, HostRecord] = {}
        self.jobs: collections.OrderedDict[ids.JobId, JobHistory]
        self.jobs = collections.OrderedDict()

    def set_hosts(self, names: set[ids.HostId]) -> None:
        """Take over the host list; records of other hosts are dropped."""
        for name in self.hosts.keys() - names:
            del self.hosts[name]
        for name in names - self.hosts.keys():
            self.hosts[name] = HostRecord()

    def started(self, host: ids.HostId, task: ids.TaskId) -> None:
        """Note a start; on a quarantined host it is the probe."""
        record = self.hosts.get(host)
        if record is not None and record.quarantined:
            record.probe = task

    def failed(
        self,
        host: ids.HostId,
        task: ids.TaskId,
        job: ids.JobId,
        *,
        ran: datetime.timedelta,
        now: datetime.timedelta,
    ) -> Change | None:
        """Note a failure.

        :param ran: how long the attempt ran.
        """
        record = self.hosts.get(host)
        if record is None:
            return None
        probed = record.probe == task
        self._end_probe(record, task)
        if ran >= QUICK:
            return None
        self._note_failure(record, host, job, now)
        if record.quarantined:
            # Tasks that started before the quarantine tell nothing new.
            if probed and not self.job_at_fault(job):
                record.successes = 0
                record.pause = min(2 * record.pause, PROBE_PAUSE_MOST)
                record.probe_after = now + record.pause
            return None
        return self._judge(host, record, now)

    def worked(
        self, host: ids.HostId, task: ids.TaskId, job: ids.JobId
    ) -> Change | None:
        """Note a success, or an attempt that ran longer than ``QUICK``."""
        history = self.jobs.get(job)
        if history is not None:
            history.worked = True
        record = self.hosts.get(host)
        if record is None:
            return None
        if not record.quarantined:
            record.failed.clear()
            record.suspected = False
            return None
        if record.probe != task:
            # It started before the quarantine and shows nothing new.
            return None
        record.probe = None
        record.successes += 1
        record.pause = PROBE_PAUSE
        if record.successes < SUCCESSES_TO_RETURN:
            return None
        self.hosts[host] = HostRecord()
        return Returned(host=host)

    def stopped(self, host: ids.HostId, task: ids.TaskId) -> None:
        """Note an attempt that ended without saying anything of its host."""
        record = self.hosts.get(host)
        if record is not None:
            self._end_probe(record, task)

    def may_start(
        self, host: ids.HostId, now: datetime.timedelta, *, probe: bool
    ) -> bool:
        """Tell whether a host may get a task.

        :param probe: whether the task may serve as a probe. Services may
            not, since a caller would feel the failure.
        """
        record = self.hosts.get(host)
        if record is None or not record.quarantined:
            return True
        return probe and record.probe is None and now >= record.probe_after

    def failed_before(self, host: ids.HostId, job: ids.JobId) -> bool:
        """Tell whether a job failed on a host, so that others come first."""
        history = self.jobs.get(job)
        return history is not None and host in history.failed_on

    def suspicion(self, host: ids.HostId) -> float:
        """Return how close a host is to quarantine, from 0 to 1."""
        record = self.hosts.get(host)
        if record is None:
            return 0.0
        jobs = len(self._counted(record))
        return min(1.0, jobs / JOBS_TO_QUARANTINE)

    def job_at_fault(self, job: ids.JobId) -> bool:
        """Tell whether a job fails wherever it runs."""
        history = self.jobs.get(job)
        if history is None or history.worked:
            return False
        return len(history.failed_on) >= HOSTS_TO_BLAME_JOB

    def quarantine_limit(self) -> int:
        """Return how many hosts may be in quarantine at once.

        One host always stays in use, since services may not probe.
        """
        share = int(len(self.hosts) * QUARANTINED_SHARE)
        return min(max(QUARANTINED_LEAST, share), len(self.hosts) - 1)

    def in_quarantine(self) -> int:
        """Return how many hosts are in quarantine."""
        return sum(record.quarantined for record in self.hosts.values())

    def _note_failure(
        self,
        record: HostRecord,
        host: ids.HostId,
        job: ids.JobId,
        now: datetime.timedelta,
    ) -> None:
        history = self.jobs.get(job)
        if history is None:
            history = self.jobs[job] = JobHistory()
            if len(self.jobs) > MAX_JOBS:
                self.jobs.popitem(last=False)
        self.jobs.move_to_end(job)
        _keep_newest(history.failed_on, host, now, MAX_FAILED_HOSTS)
        _keep_newest(record.failed, job, now, MAX_FAILED_JOBS)

    def _judge(
        self, host: ids.HostId, record: HostRecord, now: datetime.timedelta
    ) -> Change | None:
        for job, time in list(record.failed.items()):
            if now - time > MEMORY:
                del record.failed[job]
        counted = tuple(self._counted(record))
        if len(counted) < JOBS_TO_QUARANTINE:
            return None
        if self.in_quarantine() >= self.quarantine_limit():
            if record.suspected:
                return None
            record.suspected = True
            return Suspected(host=host, jobs=counted)
        record.quarantined = True
        record.successes = 0
        record.probe = None
        record.probe_after = now + record.pause
        return Quarantined(host=host, jobs=counted)

    def _counted(self, record: HostRecord) -> list[ids.JobId]:
        return [job for job in record.failed if not self.job_at_fault(job)]

    def _end_probe(self, record: HostRecord, task: ids.TaskId) -> None:
        if record.probe == task:
            record.probe = None


def _keep_newest(
    table: dict, key: object, time: datetime.timedelta, most: int
) -> None:
    table.pop(key, None)
    table[key] = time
    if len(table) > most:
        del table[next(iter(table))]
