"""Write the tables of ``docs/CAPACITY.md`` from ``docs/capacity.json``.

``python -m tools.capacity_page`` rewrites the part of the page between the
markers ``BEGIN`` and ``END``. ``make bench`` measures how memory and processor
time grow with the load and writes the fitted slopes to
``build/capacity.json``. A copy of that file is committed as
``docs/capacity.json``, and a test checks that the committed page agrees with
the committed copy.
"""

import json
import pathlib
import typing

DOCS = pathlib.Path(__file__).resolve().parent.parent / "docs"
PAGE = DOCS / "CAPACITY.md"
MEASURED = DOCS / "capacity.json"
BEGIN = "<!-- tables: begin -->"
END = "<!-- tables: end -->"

MEMORY_LIMIT_MIB = 32e6 / 2**20
CPU_LIMIT_PERCENT = 2.9
STORE_WRITES_PER_S = "several hundred"
STORE_READS_PER_S = 2000

# The size of the target system, all zones together.
ZONES = 7
WORKERS = 1300
ENDPOINTS = 8100
TASKS = 8100 + 7500
STARTS_PER_S = 1100
# Shares of one zone at the target, rounded up.
WORKERS_PER_ZONE = -(-WORKERS // ZONES)
TASKS_PER_ZONE = -(-TASKS // ZONES)
STARTS_PER_ZONE = -(-STARTS_PER_S // ZONES)
# The most journal writes of one zone.
GROUP_COMMITS_PER_S = 5

Slopes = dict[str, dict[str, typing.Any]]


def render(measured: dict[str, typing.Any]) -> str:
    """Return the tables, in Markdown, for the contents of the slopes file."""
    slopes = {fit["name"]: fit for fit in measured["slopes"]}
    parts = (
        _limits(slopes),
        _roles(slopes, measured["command_line"]),
        _fits(slopes),
        _store_calls(measured["idle_calls_per_s"]),
    )
    return "\n".join(parts)


def page(text: str, measured: dict[str, typing.Any]) -> str:
    """Return the text of the page with its tables generated again."""
    before, _, rest = text.partition(BEGIN)
    after = rest.partition(END)[2]
    return f"{before}{BEGIN}\n\n{render(measured)}\n{END}{after}"


def owner_memory(slopes: Slopes) -> float:
    """Return the memory of a zone's owner at the target size in MiB.

    The base of the fit by tasks is left out, as the base of the fit by
    workers already covers the idle process.
    """
    by_workers = slopes["owner_memory_by_workers"]
    by_tasks = slopes["owner_memory_by_tasks"]
    return (
        by_workers["base"]
        + by_workers["slope"] * WORKERS_PER_ZONE
        + by_tasks["slope"] * TASKS_PER_ZONE
    )


def owner_cpu(slopes: Slopes) -> float:
    """Return the share of a core that a zone's owner uses, in percent.

    The share is that at the target size while no task starts. A negative
    slope by tasks counts as zero.
    """
    by_workers = slopes["owner_cpu_by_workers"]
    by_tasks = slopes["owner_cpu_by_tasks"]
    return (
        by_workers["base"]
        + by_workers["slope"] * WORKERS_PER_ZONE
        + max(0.0, by_tasks["slope"]) * TASKS_PER_ZONE
    )


def owner_cpu_at_peak_starts(slopes: Slopes) -> float:
    """Return the share of a core that starting tasks adds, in percent.

    The share is that of a zone's owner at the peak rate of starts.
    """
    return slopes["owner_cpu_by_starts"]["slope"] * STARTS_PER_ZONE * 100


def gateway_memory(slopes: Slopes) -> float:
    """Return the memory of a gateway at the target size in MiB."""
    by_endpoints = slopes["gateway_memory_by_endpoints"]
    return by_endpoints["base"] + by_endpoints["slope"] * ENDPOINTS


def gateway_cpu(slopes: Slopes) -> float:
    """Return the share of a core that an idle gateway uses, in percent.

    An idle gateway forwards no requests. A negative slope by endpoints
    counts as zero.
    """
    by_endpoints = slopes["gateway_cpu_by_endpoints"]
    return by_endpoints["base"] + max(0.0, by_endpoints["slope"]) * ENDPOINTS


def _limits(slopes: Slopes) -> str:
    figures = (
        ("scheduler, owner: memory", owner_memory(slopes), "MiB"),
        ("scheduler, owner: control", owner_cpu(slopes), "%"),
        ("gateway: memory", gateway_memory(slopes), "MiB"),
        ("gateway: control", gateway_cpu(slopes), "%"),
    )
    lines = [
        "## Against the limits",
        "",
        "| figure | at the target | limit | reached |",
        "|---|---|---|---|",
    ]
    for name, value, unit in figures:
        limit = MEMORY_LIMIT_MIB if unit == "MiB" else CPU_LIMIT_PERCENT
        within_limit = "yes" if value <= limit else "**no**"
        lines.append(
            f"| {name} | {value:.1f} {unit} | {limit:.1f} {unit} "
            f"| {within_limit} |"
        )
    return "\n".join(lines) + "\n"


def _roles(slopes: Slopes, command_line: dict[str, float]) -> str:
    peak_share = owner_cpu_at_peak_starts(slopes)
    request_cpu_ms = slopes["gateway_cpu_by_requests"]["slope"] * 1000
    standby_mib = slopes["owner_memory_by_workers"]["base"]
    return "\n".join(
        (
            "## Roles at the target",
            "",
            "| role | size | memory | control | work |",
            "|---|---|---|---|---|",
            f"| scheduler, owner of a zone | {WORKERS_PER_ZONE} workers, "
            f"{TASKS_PER_ZONE} tasks, {STARTS_PER_ZONE} starts/s at the peak "
            f"| {owner_memory(slopes):.1f} MiB | {owner_cpu(slopes):.2f}% "
            f"| {peak_share:.1f}% at the peak of starts |",
            f"| scheduler, standing by | no zone | {standby_mib:.1f} MiB "
            f"| {slopes['owner_cpu_by_workers']['base']:.2f}% | none |",
            f"| gateway | {ENDPOINTS} endpoints "
            f"| {gateway_memory(slopes):.1f} MiB "
            f"| {gateway_cpu(slopes):.2f}% "
            f"| {request_cpu_ms:.2f} ms a request |",
            f"| command line | one `config show` "
            f"| {command_line['resident_mib']:.1f} MiB while it runs | none "
            f"| {command_line['cpu_s']:.2f} s a command |",
            "",
        )
    )


def _fits(slopes: Slopes) -> str:
    lines = [
        "## Measured slopes",
        "",
        "| figure | points | base | slope | error of the fit |",
        "|---|---|---|---|---|",
    ]
    for fit in slopes.values():
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in fit["points"])
        lines.append(
            f"| {fit['name']} | {points} | {fit['base']:.4g} "
            f"{fit['unit']} | {fit['slope']:.3g} {fit['unit']} per "
            f"{fit['per']} | {fit['error']:.1%} |"
        )
    return "\n".join(lines) + "\n"


def _store_calls(idle_rates: dict[str, float]) -> str:
    lines = [
        "## Store calls, one zone without work, one scheduler, one gateway",
        "",
        "| kind | calls a second | Dzwonnica, 3 zones | Batbayar, 4 zones "
        "| target, 7 zones |",
        "|---|---|---|---|---|",
    ]
    for kind, rate in idle_rates.items():
        totals = (f"{rate * zones:.1f}" for zones in (3, 4, ZONES))
        lines.append(f"| {kind} | {rate:.2f} | {' | '.join(totals)} |")
    writes = GROUP_COMMITS_PER_S * ZONES
    lines += [
        "",
        f"At the peak of starts the journals add at most {writes} writes a "
        f"second. The store takes {STORE_WRITES_PER_S} writes and "
        f"{STORE_READS_PER_S} reads a second.",
    ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    document = json.loads(MEASURED.read_text())
    PAGE.write_text(page(PAGE.read_text(), document))
