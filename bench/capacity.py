"""Write ``docs/CAPACITY.md`` from the benchmark results: ``make capacity``."""

import json
import pathlib
import sys
import typing as t

import attrs
import defopt

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from snipedeal import defaults  # noqa: E402

_TOKEN_INTERVAL_S = 0.038
_NON_IDEMPOTENT_SHARE = 0.05
_BACKLOGGED_REQUEST_SHARE = 0.5
_ACK_BYTES = 75
_HTTP_POLL_BYTES = 350
_VM_ENTRY_BYTES = 150
_DAY_S = 86_400


@attrs.frozen
class Size:
    """Fleet size to design for, as required by the users.

    Fields that end in ``_s`` and ``_day`` are rates per second and per day.
    """

    routers: int = 330
    targets: int = 860
    accelerators: int = 3_400
    requests_s: int = 5_900
    tokens_s: int = 1_800_000
    customers: int = 30_000
    backlogged: int = 3_000
    services: int = 15
    regions: int = 2
    zones: int = 6
    changes_day: int = 2_800
    failures_day: int = 8
    replacements_day: int = 110
    control_cores: float = 0.038
    control_mb: int = 32
    control_bytes_s: int = 3_000

    @property
    def nodes(self) -> int:
        """Number of routers and agents."""
        return self.routers + self.targets

    @property
    def targets_of_service(self) -> int:
        """Number of targets per service."""
        return self.targets // self.services

    @property
    def streams(self) -> float:
        """Number of answers that are streamed concurrently."""
        return self.tokens_s * _TOKEN_INTERVAL_S


def run() -> int:
    """Write the page from ``bench/results/latest.json``."""
    path = ROOT / "bench" / "results" / "latest.json"
    results = json.loads(path.read_text(encoding="utf-8"))
    size = Size()
    lines = [
        *_size_section(size, results),
        *_router_section(size, results),
        *_agent_section(size, results),
        *_log_section(size),
        *_events_section(size),
        *_points_section(results),
    ]
    page = ROOT / "docs" / "CAPACITY.md"
    page.write_text("\n".join(lines) + "\n", encoding="utf-8")
    print(f"wrote {page.relative_to(ROOT)}")
    return 0


def _size_section(size: Size, results: dict[str, t.Any]) -> list[str]:
    machine = results["machine"]
    return [
        "# Capacity",
        "",
        "Written by `make capacity` from `bench/results/latest.json`; do not edit. "
        f"Slopes were measured with revision {machine['revision']} on "
        f"{machine['cores']} cores, Python {machine['python']}, {machine['date']}. "
        "What is worked out from sizes of messages and not measured says so.",
        "",
        "## The size",
        "",
        *_table(
            ("quantity", "value"),
            [
                ("nodes (routers)", size.routers),
                ("targets, accelerators", f"{size.targets}, {size.accelerators}"),
                (
                    "requests/s, tokens/s at the peak",
                    f"{size.requests_s}, {size.tokens_s}",
                ),
                ("first token, between tokens, 95 in 100", "0.35 s, 38 ms"),
                ("customers, backlogged", f"{size.customers}, {size.backlogged}"),
                ("services (models)", size.services),
                ("regions, availability zones", f"{size.regions}, {size.zones}"),
                (
                    "configuration changes a day, in force within",
                    f"{size.changes_day}, 14 s",
                ),
                ("control of a node: core, memory, traffic", "3.8%, 32 MB, 3 KB/s"),
                (
                    "VM failures, replacements a day",
                    f"{size.failures_day}, {size.replacements_day}",
                ),
                ("answers streaming at once (tokens/s x 38 ms)", f"{size.streams:.0f}"),
            ],
        ),
        "",
    ]


def _router_section(size: Size, results: dict[str, t.Any]) -> list[str]:
    fit = results["load"]["fit"]["router"]
    requests_s = size.requests_s / size.routers
    tokens_s = size.tokens_s / size.routers
    streams = size.streams / size.routers
    request_cores = fit["ms_per_request"] * requests_s / 1000
    token_cores = fit["us_per_token"] * tokens_s / 1e6
    frame_cores = results["routers"]["cores"]["slope"]
    offers_s = requests_s * _BACKLOGGED_REQUEST_SHARE * defaults.OFFER_FANOUT_LIMIT
    idle = results["load"]["idle"]["router"]
    control_cores = idle + frame_cores * (streams + offers_s / 2)
    customers_mb = results["customers"]["router_mb"]["slope"] * size.customers
    bytes_per_customer = 1e6 * results["customers"]["router_mb"]["slope"]
    offers_b_s = _offer_bytes(size, results) / size.routers
    acks_b_s = streams * _ACK_BYTES
    polls_b_s = _HTTP_POLL_BYTES + _vm_list_bytes(size)
    return [
        "## Router",
        "",
        *_table(
            ("what", "at the size", "budget", "from", "carried by"),
            [
                (
                    "state",
                    f"{size.customers} customers, {streams:.0f} streams, "
                    f"{size.targets} gate views",
                    "",
                    "sizes",
                    "`configuration.py`, `dispatcher.py`, `gates.py`",
                ),
                (
                    "processor, requests",
                    f"{request_cores:.3f} core",
                    "",
                    f"{fit['ms_per_request']:.2f} ms x {requests_s:.1f}/s",
                    "`app.py`, `admission.py`",
                ),
                (
                    "processor, tokens",
                    f"{token_cores:.3f} core",
                    "",
                    f"{fit['us_per_token']:.1f} us x {tokens_s:.0f}/s",
                    "`transport.py`, `answers.py`",
                ),
                (
                    "processor, control",
                    f"{100 * control_cores:.1f}%{_overrun(control_cores, 0.038)}",
                    "3.8%",
                    "rest, offers and acknowledgements by the cost of a frame",
                    "`transport.py`, `backlog.py`",
                ),
                (
                    "memory, import floor",
                    f"{results['imports']['router']:.0f} MB",
                    "",
                    "measured",
                    "libraries",
                ),
                (
                    "memory, control above it",
                    f"{customers_mb:.1f} MB{_overrun(customers_mb, 32)}",
                    "32 MB",
                    f"{bytes_per_customer:.0f} B a customer",
                    "`configuration.py`",
                ),
                (
                    "control sent, offers",
                    f"{offers_b_s:.0f} B/s",
                    "",
                    "bytes a backlogged request (comparison), 8 gates instead of 3",
                    "`backlog.py`",
                ),
                (
                    "control sent, acknowledgements",
                    f"{acks_b_s:.0f} B/s",
                    "",
                    f"{streams:.0f} links x 1/s x {_ACK_BYTES} B, worked out",
                    "`link.py`",
                ),
                (
                    "control sent, platform",
                    f"{polls_b_s:.0f} B/s",
                    "",
                    "VM list polls and changes, worked out",
                    "`node.py`",
                ),
                (
                    "control sent, sum",
                    f"{offers_b_s + acks_b_s + polls_b_s:.0f} B/s"
                    f"{_overrun(offers_b_s + acks_b_s + polls_b_s, 3_000)}",
                    "3000 B/s",
                    "",
                    "",
                ),
            ],
        ),
        "",
        "Acknowledgements of answers are the largest entry: at this size nearly every "
        "stream of a router comes over a link of its own, and each link "
        "acknowledges once a second. They travel with the answers "
        f"({tokens_s * 200 / 1e6:.1f} MB/s at 200 B a token), but count as "
        "control here. What closes it: longer acknowledgement times on links that "
        "carry a steady stream, or keeping a router's streams on fewer gates.",
        "",
    ]


def _agent_section(size: Size, results: dict[str, t.Any]) -> list[str]:
    fit = results["load"]["fit"]["agents"]
    requests_s = size.requests_s / size.targets
    tokens_s = size.tokens_s / size.targets
    streams = size.streams / size.targets
    exchange = max(
        results["decisions"]["exchange"]["points"], key=lambda point: point["targets"]
    )
    routers = results["routers"]
    memory = routers["agent_mb"]["slope"] * size.routers
    memory += results["customers"]["agent_mb"]["slope"] * size.customers
    idle = results["load"]["idle"]["agents"] / 2
    control_cores = idle + exchange["cores"] + routers["cores"]["slope"] * streams
    bytes_per_customer = 1e6 * results["customers"]["agent_mb"]["slope"]
    offers_b_s = _offer_bytes(size, results) / size.targets
    polls_b_s = _HTTP_POLL_BYTES + _vm_list_bytes(size)
    total_b_s = exchange["bytes_s"] + offers_b_s + polls_b_s
    request_cores = fit["ms_per_request"] * requests_s / 1000
    token_cores = fit["us_per_token"] * tokens_s / 1e6
    decision_us = results["decisions"]["gate"]["points"][1]["decision_us"]
    return [
        "## Agent",
        "",
        *_table(
            ("what", "at the size", "budget", "from", "carried by"),
            [
                (
                    "state",
                    f"{size.backlogged // size.services} backlogged customers, "
                    f"{streams:.0f} streams, {size.routers} routers",
                    "",
                    "sizes",
                    "`gate.py`, `fairness.py`, `attempts.py`",
                ),
                (
                    "a decision",
                    f"{decision_us:.0f} us",
                    "",
                    "200 backlogged customers, measured",
                    "`gate.py`",
                ),
                (
                    "processor, requests and tokens",
                    f"{request_cores + token_cores:.3f} core",
                    "",
                    f"{fit['ms_per_request']:.2f} ms x {requests_s:.1f}/s, "
                    f"{fit['us_per_token']:.1f} us x {tokens_s:.0f}/s",
                    "`openai.py`, `attempts.py`",
                ),
                (
                    "processor, control",
                    f"{100 * control_cores:.1f}%{_overrun(control_cores, 0.038)}",
                    "3.8%",
                    "rest, exchange of 60 gates, frames",
                    "`exchange.py`, `health.py`, `transport.py`",
                ),
                (
                    "memory, import floor",
                    f"{results['imports']['agent']:.0f} MB",
                    "",
                    "measured",
                    "libraries",
                ),
                (
                    "memory, control above it",
                    f"{memory:.1f} MB{_overrun(memory, 32)}",
                    "32 MB",
                    f"{1e3 * routers['agent_mb']['slope']:.0f} KB a router, "
                    f"{bytes_per_customer:.0f} B a customer",
                    "`transport.py`",
                ),
                (
                    "control sent, sums",
                    f"{exchange['bytes_s']:.0f} B/s",
                    "",
                    f"{exchange['targets']} gates, each {exchange['interval_s']:.1f} s",
                    "`exchange.py`",
                ),
                (
                    "control sent, takes",
                    f"{offers_b_s:.0f} B/s",
                    "",
                    "bytes a backlogged request (comparison)",
                    "`gate.py`",
                ),
                (
                    "control sent, platform",
                    f"{polls_b_s:.0f} B/s",
                    "",
                    "worked out",
                    "`node.py`",
                ),
                (
                    "control sent, sum",
                    f"{total_b_s:.0f} B/s{_overrun(total_b_s, 3_000)}",
                    "3000 B/s",
                    "",
                    "",
                ),
            ],
        ),
        "",
        "The exchange is at its longest interval at this size: most of its bytes are "
        "frames to each of the other gates of the service. Two levels of gates would "
        "halve them (`docs/design/fair-service.md`).",
        "",
    ]


def _log_section(size: Size) -> list[str]:
    claims_s = size.requests_s * _NON_IDEMPOTENT_SHARE
    window_s = defaults.CLAIM_BATCH_WINDOW_MS / 1000
    max_appends_s = defaults.CLAIM_PARTITIONS / window_s
    appends_s = min(2 * claims_s, max_appends_s)
    polls_s = (size.nodes + size.routers) / (defaults.LOG_POLL_WAIT_MS / 1000)
    changes_s = size.changes_day / _DAY_S * size.nodes
    load_rounds = size.targets_of_service // defaults.MAX_CONCURRENT_ORDERS
    return [
        "## Log service, weight store",
        "",
        *_table(
            ("what", "a second", "from"),
            [
                (
                    "appends, claims and their ends",
                    f"{appends_s:.0f}",
                    f"{100 * _NON_IDEMPOTENT_SHARE:.0f}% of requests are not "
                    f"idempotent (assumed); batches of "
                    f"{defaults.CLAIM_BATCH_WINDOW_MS} ms in "
                    f"{defaults.CLAIM_PARTITIONS} streams",
                ),
                (
                    "appends, configuration",
                    f"{size.changes_day / _DAY_S:.3f}",
                    "changes a day; a snapshot of 31 records every 500 of them",
                ),
                (
                    "reads, waiting",
                    f"{polls_s:.0f}",
                    f"config by all, incidents by routers, each waits "
                    f"{defaults.LOG_POLL_WAIT_MS // 1000} s",
                ),
                ("reads, woken by changes", f"{changes_s:.0f}", "changes x nodes"),
            ],
        ),
        "",
        "All worked out. Claims are kept without an end, 0.36 KB each in the "
        f"home's memory: {claims_s * _DAY_S * 0.00036:.0f} MB a day at the peak rate "
        "in the whole fleet, which does not fit for long; keys that carry "
        "their own time would let them age out (`docs/design/at-most-once.md`). Weight "
        "store: at most "
        f"{defaults.MAX_CONCURRENT_ORDERS} targets of a service load at a time; all "
        f"{size.targets_of_service} of one service in "
        f"{load_rounds} loads one after another.",
        "",
    ]


def _events_section(size: Size) -> list[str]:
    per_zone = size.targets // size.zones
    zone_streams = size.streams / size.zones
    rack = 20
    return [
        "## An ordinary day, and others",
        "",
        *_table(
            ("event", "what it costs", "mechanism"),
            [
                (
                    f"{size.failures_day} failures, "
                    f"{size.replacements_day} replacements",
                    f"each failed target: {size.streams / size.targets:.0f} streams "
                    "run again elsewhere or resumed; each change of the list is "
                    f"{_VM_ENTRY_BYTES * size.nodes / 1000:.0f} KB to every node, "
                    f"{_vm_list_bytes(size):.0f} B/s on average",
                    "`dispatcher.py`, `membership.py`",
                ),
                (
                    f"a rack of {rack} targets",
                    f"{rack * size.streams / size.targets:.0f} streams, "
                    f"{100 * rack / size.targets:.1f}% of capacity",
                    "retries within budget, offers to the rest",
                ),
                (
                    "a zone",
                    f"{per_zone} targets and {size.routers // size.zones} routers; "
                    f"{zone_streams:.0f} streams, {100 / size.zones:.0f}% of capacity",
                    "as above; the retry budget of a router is 100 at once, its part "
                    f"of the loss {zone_streams / size.routers:.0f}",
                ),
                (
                    "regions apart for minutes",
                    "each side serves with its own targets; sums of service drift by "
                    "what the other side gives and are settled after; the side "
                    "without the log refuses requests that are not idempotent and "
                    "keeps its configuration",
                    "`exchange.py`, `claims.py`, `configuration.py`",
                ),
            ],
        ),
        "",
        "Worked out; recovery from a router, agent, target, zone and log outage at "
        "today's size is measured in `docs/measurements.md`.",
        "",
    ]


def _points_section(results: dict[str, t.Any]) -> list[str]:
    lines = ["## Points measured", ""]
    tables = {
        "router and agents by load": results["load"]["points"],
        "memory by customers": results["customers"]["points"],
        "agent by linked routers": results["routers"]["points"],
        "exchange by targets of a service": results["decisions"]["exchange"]["points"],
        "gate by backlogged customers": results["decisions"]["gate"]["points"],
        "claims by keys": results["decisions"]["claims"]["points"],
    }
    for title, points in tables.items():
        names = list(points[0])
        rows = [[_format_number(point[name]) for name in names] for point in points]
        header = [name.replace("_", " ") for name in names]
        lines += [f"### {title}", "", *_table(header, rows), ""]
    return lines


def _offer_bytes(size: Size, results: dict[str, t.Any]) -> float:
    """Return half the control bytes per second for the fleet's backlogged requests.

    Routers and agents each send about half.
    """
    comparison = results["comparison"]
    fleet = comparison["fleet"]
    seconds = fleet["gap_curve"][-1][0]
    # The comparison runs 3 routers and 3 agents, and its offers reach 3 gates.
    nodes = 6
    bytes_per_call = fleet["control_bytes_s"] * nodes * seconds / fleet["calls"]
    fanout_ratio = defaults.OFFER_FANOUT_LIMIT / 3
    return (
        bytes_per_call * fanout_ratio * size.requests_s * _BACKLOGGED_REQUEST_SHARE / 2
    )


def _vm_list_bytes(size: Size) -> float:
    """Return the bytes per second that changes of the VM list cost a node."""
    changes = 2 * (size.failures_day + size.replacements_day)
    return changes * _VM_ENTRY_BYTES * size.nodes / _DAY_S


def _overrun(value: float, budget: float) -> str:
    """Return a note on the ratio of a value over its budget, else an empty string."""
    return f" (**over, {value / budget:.1f} times**)" if value > budget else ""


def _format_number(value: float) -> str:
    return f"{value:.4g}"


def _table(header: t.Sequence[str], rows: t.Iterable[t.Sequence[t.Any]]) -> list[str]:
    lines = ["| " + " | ".join(header) + " |", "|" + " --- |" * len(header)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return lines


if __name__ == "__main__":
    sys.exit(defopt.run(run))
