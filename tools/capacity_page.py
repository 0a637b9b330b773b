"""Write the tables of ``docs/CAPACITY.md`` from ``docs/capacity.json``.

``python -m tools.capacity_page`` rewrites the part of the page between the
two marks. ``make bench`` measures the slopes into ``build/capacity.json``; a
copy is committed as ``docs/capacity.json``, and a test holds the two together.
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
CPU_LIMIT = 2.9
STORE_WRITES = "several hundred"
STORE_READS = 2000

ZONES = 7
WORKERS = 1300
ENDPOINTS = 8100
TASKS = 8100 + 7500
STARTS_PER_S = 1100
WORKERS_PER_ZONE = -(-WORKERS // ZONES)
TASKS_PER_ZONE = -(-TASKS // ZONES)
STARTS_PER_ZONE = -(-STARTS_PER_S // ZONES)
GROUP_COMMITS_PER_S = 5

Slopes = dict[str, dict[str, typing.Any]]


def render(measured: dict[str, typing.Any]) -> str:
    """Return the tables for measured slopes."""
    slopes = {item["name"]: item for item in measured["slopes"]}
    parts = (
        _verdicts(slopes),
        _roles(slopes, measured["command_line"]),
        _slopes(slopes),
        _store(measured["idle_calls_per_s"]),
    )
    return "\n".join(parts)


def page(text: str, measured: dict[str, typing.Any]) -> str:
    """Return the page's text with its tables made anew."""
    before, _, rest = text.partition(BEGIN)
    after = rest.partition(END)[2]
    return f"{before}{BEGIN}\n\n{render(measured)}\n{END}{after}"


def owner_memory(slopes: Slopes) -> float:
    """Return an owner's memory at the target in MiB."""
    by_workers = slopes["owner_memory_by_workers"]
    by_tasks = slopes["owner_memory_by_tasks"]
    return (
        by_workers["base"]
        + by_workers["slope"] * WORKERS_PER_ZONE
        + by_tasks["slope"] * TASKS_PER_ZONE
    )


def owner_cpu(slopes: Slopes) -> float:
    """Return an owner's processor share between starts in percent."""
    by_workers = slopes["owner_cpu_by_workers"]
    by_tasks = slopes["owner_cpu_by_tasks"]
    return (
        by_workers["base"]
        + by_workers["slope"] * WORKERS_PER_ZONE
        + max(0.0, by_tasks["slope"]) * TASKS_PER_ZONE
    )


def owner_cpu_of_starts(slopes: Slopes) -> float:
    """Return the share that a zone's peak of starts adds, in percent."""
    return slopes["owner_cpu_by_starts"]["slope"] * STARTS_PER_ZONE * 100


def gateway_memory(slopes: Slopes) -> float:
    """Return a gateway's memory at the target in MiB."""
    item = slopes["gateway_memory_by_endpoints"]
    return item["base"] + item["slope"] * ENDPOINTS


def gateway_cpu(slopes: Slopes) -> float:
    """Return a gateway's processor share without requests in percent."""
    item = slopes["gateway_cpu_by_endpoints"]
    return item["base"] + max(0.0, item["slope"]) * ENDPOINTS


def _verdicts(slopes: Slopes) -> str:
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
        limit = MEMORY_LIMIT_MIB if unit == "MiB" else CPU_LIMIT
        reached = "yes" if value <= limit else "**no**"
        lines.append(
            f"| {name} | {value:.1f} {unit} | {limit:.1f} {unit} | {reached} |"
        )
    return "\n".join(lines) + "\n"


def _roles(slopes: Slopes, command: dict[str, float]) -> str:
    peak = owner_cpu_of_starts(slopes)
    request = slopes["gateway_cpu_by_requests"]["slope"] * 1000
    standby = slopes["owner_memory_by_workers"]["base"]
    return "\n".join(
        (
            "## Roles at the target",
            "",
            "| role | size | memory | control | work |",
            "|---|---|---|---|---|",
            f"| scheduler, owner of a zone | {WORKERS_PER_ZONE} workers, "
            f"{TASKS_PER_ZONE} tasks, {STARTS_PER_ZONE} starts/s at the peak "
            f"| {owner_memory(slopes):.1f} MiB | {owner_cpu(slopes):.2f}% "
            f"| {peak:.1f}% at the peak of starts |",
            f"| scheduler, standing by | no zone | {standby:.1f} MiB "
            f"| {slopes['owner_cpu_by_workers']['base']:.2f}% | none |",
            f"| gateway | {ENDPOINTS} endpoints "
            f"| {gateway_memory(slopes):.1f} MiB "
            f"| {gateway_cpu(slopes):.2f}% | {request:.2f} ms a request |",
            f"| command line | one `config show` "
            f"| {command['resident_mib']:.1f} MiB while it runs | none "
            f"| {command['cpu_s']:.2f} s a command |",
            "",
        )
    )


def _slopes(slopes: Slopes) -> str:
    lines = [
        "## Measured slopes",
        "",
        "| figure | points | base | slope | error of the fit |",
        "|---|---|---|---|---|",
    ]
    for item in slopes.values():
        points = ", ".join(f"{x:g}: {y:.4g}" for x, y in item["points"])
        lines.append(
            f"| {item['name']} | {points} | {item['base']:.4g} "
            f"{item['unit']} | {item['slope']:.3g} {item['unit']} per "
            f"{item['per']} | {item['error']:.1%} |"
        )
    return "\n".join(lines) + "\n"


def _store(idle: dict[str, float]) -> str:
    lines = [
        "## Store calls, one zone without work, one scheduler, one gateway",
        "",
        "| kind | calls a second | Dzwonnica, 3 zones | Batbayar, 4 zones "
        "| target, 7 zones |",
        "|---|---|---|---|---|",
    ]
    for kind, rate in idle.items():
        sums = (f"{rate * zones:.1f}" for zones in (3, 4, ZONES))
        lines.append(f"| {kind} | {rate:.2f} | {' | '.join(sums)} |")
    writes = GROUP_COMMITS_PER_S * ZONES
    lines += [
        "",
        f"At the peak of starts the journals add at most {writes} writes a "
        f"second. The store takes {STORE_WRITES} writes and {STORE_READS} "
        "reads a second.",
    ]
    return "\n".join(lines) + "\n"


if __name__ == "__main__":
    document = json.loads(MEASURED.read_text())
    PAGE.write_text(page(PAGE.read_text(), document))
