"""Quarantine of hosts on which tasks fail soon after their start.

A host is at fault after quick failures of several different jobs with no
success in between. An attempt succeeds if it finishes or runs for at least
``QUICK_FAILURE_TIME``. A job is at fault after quick failures on several hosts
with no success on any host; its failures then do not count against the hosts.
Both are computed from the same records, so the failures of a job count again
once the job has a success.
"""

import collections
import dataclasses
import datetime

from turmerichook._internal.models import ids

# A failure within this time of the start is quick; a longer run is a success.
QUICK_FAILURE_TIME = datetime.timedelta(seconds=30)
FAILED_JOBS_FOR_QUARANTINE = 5
FAILED_HOSTS_FOR_JOB_FAULT = 3
PROBE_SUCCESSES_TO_RETURN = 3
# Older failures do not count towards a quarantine.
FAILURE_MAX_AGE = datetime.timedelta(minutes=10)
# Share of the zone's hosts that may be in quarantine at once.
MAX_QUARANTINED_SHARE = 0.1
MIN_QUARANTINE_LIMIT = 1
# The interval doubles with each probe that fails, up to the maximum.
PROBE_INTERVAL = datetime.timedelta(seconds=10)
MAX_PROBE_INTERVAL = datetime.timedelta(minutes=5)
MAX_JOBS = 2048
MAX_FAILED_JOBS = 16
MAX_FAILED_HOSTS = 8


@dataclasses.dataclass(kw_only=True, slots=True)
class HostRecord:
    """Recent failures of a host, and its quarantine.

    :param failed: jobs with a quick failure since the host's last success,
        with the time of the newest failure.
    :param suspected: whether it was reported that the host stays in use only
        because of the limit on hosts in quarantine.
    :param successes: consecutive probes that succeeded.
    :param probe: task that currently probes the quarantined host.
    :param probe_after: earliest time of the next probe.
    :param probe_interval: time between a failed probe and the next one.
    """

    failed: dict[ids.JobId, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    quarantined: bool = False
    suspected: bool = False
    successes: int = 0
    probe: ids.TaskId | None = None
    probe_after: datetime.timedelta = datetime.timedelta()
    probe_interval: datetime.timedelta = PROBE_INTERVAL


@dataclasses.dataclass(kw_only=True, slots=True)
class JobHistory:
    """Hosts on which a job failed quickly, and whether it ever succeeded."""

    failed_on: dict[ids.HostId, datetime.timedelta] = dataclasses.field(
        default_factory=dict
    )
    ever_succeeded: bool = False


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Quarantined:
    """A host was quarantined and gets at most one probe task at a time."""

    host: ids.HostId
    jobs: tuple[ids.JobId, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Suspected:
    """A host stays in use only because of ``quarantine_limit``."""

    host: ids.HostId
    jobs: tuple[ids.JobId, ...]


@dataclasses.dataclass(frozen=True, kw_only=True, slots=True)
class Returned:
    """A host has left quarantine."""

    host: ids.HostId


Change = Quarantined | Suspected | Returned


class Health:
    """Failure records of the zone's hosts and jobs."""

    def __init__(self):
        self.hosts: dict[ids.HostId, HostRecord] = {}
        self.jobs: collections.OrderedDict[ids.JobId, JobHistory]
        self.jobs = collections.OrderedDict()

    def set_hosts(self, names: set[ids.HostId]) -> None:
        """Set the zone's hosts; records of all other hosts are dropped."""
        for name in self.hosts.keys() - names:
            del self.hosts[name]
        for name in names - self.hosts.keys():
            self.hosts[name] = HostRecord()

    def started(self, host: ids.HostId, task: ids.TaskId) -> None:
        """Record a start; on a quarantined host the task is the probe."""
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
        """Record a failure.

        :param ran: how long the attempt ran.
        :returns: the change of the host's state, if any.
        """
        record = self.hosts.get(host)
        if record is None:
            return None
        was_probe = record.probe == task
        self._end_probe(record, task)
        if ran >= QUICK_FAILURE_TIME:
            return None
        self._note_failure(record, host, job, now)
        if record.quarantined:
            # Only the probe counts: other tasks were started before the
            # quarantine, so their failures were to be expected.
            if was_probe and not self.job_at_fault(job):
                record.successes = 0
                record.probe_interval = min(
                    2 * record.probe_interval, MAX_PROBE_INTERVAL
                )
                record.probe_after = now + record.probe_interval
            return None
        return self._check_quarantine(host, record, now)

    def succeeded(
        self, host: ids.HostId, task: ids.TaskId, job: ids.JobId
    ) -> Change | None:
        """Record a success.

        That is the end of a finished attempt, or an attempt that has run for
        ``QUICK_FAILURE_TIME``.

        :returns: the change of the host's state, if any.
        """
        history = self.jobs.get(job)
        if history is not None:
            history.ever_succeeded = True
        record = self.hosts.get(host)
        if record is None:
            return None
        if not record.quarantined:
            record.failed.clear()
            record.suspected = False
            return None
        if record.probe != task:
            # The task was started before the quarantine, so its success
            # does not show that the host has recovered.
            return None
        record.probe = None
        record.successes += 1
        record.probe_interval = PROBE_INTERVAL
        if record.successes < PROBE_SUCCESSES_TO_RETURN:
            return None
        self.hosts[host] = HostRecord()
        return Returned(host=host)

    def stopped(self, host: ids.HostId, task: ids.TaskId) -> None:
        """Record an end that was neither a success nor a failure."""
        record = self.hosts.get(host)
        if record is not None:
            self._end_probe(record, task)

    def may_start(
        self, host: ids.HostId, now: datetime.timedelta, *, probe: bool
    ) -> bool:
        """Tell whether a host may get a task.

        :param probe: whether the task may serve as a probe. A service may
            not, since its failure would affect callers.
        """
        record = self.hosts.get(host)
        if record is None or not record.quarantined:
            return True
        return probe and record.probe is None and now >= record.probe_after

    def job_failed_on(self, host: ids.HostId, job: ids.JobId) -> bool:
        """Tell whether a job failed quickly on a host."""
        history = self.jobs.get(job)
        return history is not None and host in history.failed_on

    def suspicion(self, host: ids.HostId) -> float:
        """Return how close a host is to quarantine, from 0 to 1.

        Jobs at fault are not counted.
        """
        record = self.hosts.get(host)
        if record is None:
            return 0.0
        jobs = len(self._jobs_not_at_fault(record))
        return min(1.0, jobs / FAILED_JOBS_FOR_QUARANTINE)

    def job_at_fault(self, job: ids.JobId) -> bool:
        """Tell whether a job failed on several hosts and never succeeded."""
        history = self.jobs.get(job)
        if history is None or history.ever_succeeded:
            return False
        return len(history.failed_on) >= FAILED_HOSTS_FOR_JOB_FAULT

    def quarantine_limit(self) -> int:
        """Return how many hosts may be in quarantine at once.

        At least one host stays in use, since services may not run as probes.
        """
        share = int(len(self.hosts) * MAX_QUARANTINED_SHARE)
        return min(max(MIN_QUARANTINE_LIMIT, share), len(self.hosts) - 1)

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

    def _check_quarantine(
        self, host: ids.HostId, record: HostRecord, now: datetime.timedelta
    ) -> Change | None:
        for job, time in list(record.failed.items()):
            if now - time > FAILURE_MAX_AGE:
                del record.failed[job]
        jobs = tuple(self._jobs_not_at_fault(record))
        if len(jobs) < FAILED_JOBS_FOR_QUARANTINE:
            return None
        if self.in_quarantine() >= self.quarantine_limit():
            if record.suspected:
                return None
            record.suspected = True
            return Suspected(host=host, jobs=jobs)
        record.quarantined = True
        record.successes = 0
        record.probe = None
        record.probe_after = now + record.probe_interval
        return Quarantined(host=host, jobs=jobs)

    def _jobs_not_at_fault(self, record: HostRecord) -> list[ids.JobId]:
        return [job for job in record.failed if not self.job_at_fault(job)]

    def _end_probe(self, record: HostRecord, task: ids.TaskId) -> None:
        if record.probe == task:
            record.probe = None


def _keep_newest(
    table: dict, key: object, time: datetime.timedelta, limit: int
) -> None:
    table.pop(key, None)
    table[key] = time
    if len(table) > limit:
        del table[next(iter(table))]
