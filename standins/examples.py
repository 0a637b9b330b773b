"""Loads the example sites of the repository.

Each folder below ``examples`` has the operators' ``configuration`` and a
``platform.toml``, which describes the zones, hosts and network delays that the
platform provides for that site.
"""

import dataclasses
import pathlib
import tomllib

from standins import launcher

ROOT = pathlib.Path(__file__).resolve().parent.parent / "examples"
NAMES = ("batbayar", "dzwonnica")


@dataclasses.dataclass(frozen=True, kw_only=True)
class Example:
    """One example site.

    :param zone_delay_s: one-way network delay between zones, in seconds.
    :param caller_delay_s: one-way network delay to callers, in seconds.
    """

    name: str
    zones: tuple[str, ...]
    zone_delay_s: float
    caller_delay_s: float
    entry_hosts: int
    workers_per_zone: int
    shape: launcher.WorkerShape

    @property
    def configuration(self) -> pathlib.Path:
        """Path of the operators' configuration folder."""
        return ROOT / self.name / "configuration"


def load(name: str) -> Example:
    """Return an example site."""
    text = (ROOT / name / "platform.toml").read_text()
    document = tomllib.loads(text)
    return Example(
        name=name,
        zones=tuple(document["zones"]),
        zone_delay_s=document["zone_delay_s"],
        caller_delay_s=document["caller_delay_s"],
        entry_hosts=document["entry_hosts"],
        workers_per_zone=document["workers_per_zone"],
        shape=launcher.WorkerShape(**document["worker"]),
    )
