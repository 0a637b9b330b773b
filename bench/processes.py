"""Processor time and resident memory of running processes."""

import dataclasses
import os
import pathlib

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
KIB_PER_MIB = 1024


@dataclasses.dataclass(frozen=True, kw_only=True)
class Usage:
    """What a process has used so far.

    :param cpu_s: processor time in seconds.
    :param resident_mib: resident memory in MiB.
    """

    cpu_s: float
    resident_mib: float


def usage(pid: int) -> Usage:
    """Return the usage of a process, from ``/proc``."""
    folder = pathlib.Path("/proc") / str(pid)
    fields = (folder / "stat").read_text().rpartition(")")[2].split()
    # Fields 14 and 15 of proc(5), user and system time, counted after the
    # command's name.
    ticks = int(fields[11]) + int(fields[12])
    for row in (folder / "status").read_text().splitlines():
        if row.startswith("VmRSS:"):
            resident = int(row.split()[1]) / KIB_PER_MIB
            return Usage(cpu_s=ticks / TICKS_PER_S, resident_mib=resident)
    raise ProcessLookupError(f"process {pid} has ended")
