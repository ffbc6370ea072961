"""Write the tables and plots of the benchmark results."""

import pathlib
import typing as t

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402


def write_all(results: dict[str, t.Any], docs: pathlib.Path) -> None:
    """Write ``measurements.md`` and the plots of the measured sections.

    :param results: benchmark results by section.
    :param docs: documentation directory.
    """
    plots = docs / "plots"
    plots.mkdir(parents=True, exist_ok=True)
    sections = {
        "comparison": (_comparison_table, _plot_comparison),
        "added_time": (_added_time_table, None),
        "goodput": (_goodput_table, _plot_goodput),
        "configuration": (_configuration_table, None),
        "recovery": (_recovery_table, None),
        "placement": (_placement_table, None),
        "load": (_load_table, _plot_load),
    }
    machine = results["machine"]
    lines = [
        "# Measurements",
        "",
        "Written by `make bench` from `bench/results/latest.json`; do not edit.",
        "",
        f"Python {machine['python']}, {machine['processor']}, {machine['cores']} "
        f"cores, revision {machine['revision']}, {machine['date']}. The machine is "
        "shared and noisy: read ratios rather than single figures.",
        "",
    ]
    for name, (table, plot) in sections.items():
        if name not in results:
            continue
        lines += table(results[name])
        if plot is not None:
            plot(results[name], plots / f"{name}.png")
            lines += ["", f"![{name}](plots/{name}.png)"]
        lines.append("")
    (docs / "measurements.md").write_text("\n".join(lines), encoding="utf-8")


def _table(header: t.Sequence[str], rows: t.Iterable[t.Sequence[t.Any]]) -> list[str]:
    lines = ["| " + " | ".join(header) + " |", "|" + " --- |" * len(header)]
    lines += ["| " + " | ".join(str(cell) for cell in row) + " |" for row in rows]
    return lines


def _comparison_table(result: dict[str, t.Any]) -> list[str]:
    fleet, naive = result["fleet"], result["naive"]
    return [
        "## The three measures, against the naive version",
        "",
        "Four backlogged customers, unevenly on 3 routers, 3 engines of 4 slots, "
        "costs from 10 to 300 tokens. Naive: one queue a router, round robin, no "
        "exchange.",
        "",
        *_table(
            ("measure", "fleet", "naive", "ratio"),
            [
                (
                    "fairness gap, tokens by share",
                    f"{fleet['gap']:.0f} (bound {result['bound']:.0f})",
                    f"{naive['gap']:.0f}",
                    f"{result['gap_ratio']:.2f}",
                ),
                (
                    "utilisation while work waits",
                    f"{100 * fleet['utilisation']:.1f}%",
                    f"{100 * naive['utilisation']:.1f}%",
                    f"{fleet['utilisation'] / naive['utilisation']:.2f}",
                ),
                (
                    "control traffic sent by a node",
                    f"{fleet['control_bytes_s']:.0f} B/s",
                    "0 B/s",
                    "",
                ),
            ],
        ),
    ]


def _added_time_table(result: dict[str, t.Any]) -> list[str]:
    rows = []
    for name in ("first_token_ms", "between_tokens_ms"):
        for percent in ("p50", "p95", "p99"):
            direct = result["direct"][name][percent]
            routed = result["routed"][name][percent]
            rows.append(
                (
                    f"{name.replace('_', ' ')} {percent}",
                    f"{direct:.1f}",
                    f"{routed:.1f}",
                    f"{routed - direct:+.1f}",
                )
            )
    return [
        "## What the fleet adds for a caller",
        "",
        f"One router at {result['requests_s']:.0f} requests/s and "
        f"{result['tokens_s']:.0f} tokens/s, against the same engines asked "
        "directly. Targets: under 35 ms and 3.8 ms added at p95.",
        "",
        *_table(("time", "direct", "routed", "added"), rows),
        "",
        f"Router {result['router_cores']:.2f} of a core and "
        f"{result['router_resident_mb']:.0f} MB resident; agent "
        f"{result['agent_cores']:.2f} of a core and "
        f"{result['agent_resident_mb']:.0f} MB.",
    ]


def _goodput_table(rows: list[dict[str, t.Any]]) -> list[str]:
    return [
        "## Goodput from half to triple capacity",
        "",
        "Deadline 2 s, 60 tokens a call.",
        "",
        *_table(
            (
                "offered / capacity",
                "offered tokens/s",
                "goodput tokens/s",
                "refused as not run",
                "refused late",
                "calls",
            ),
            [
                (
                    row["factor"],
                    f"{row['offered_tokens_s']:.0f}",
                    f"{row['goodput_tokens_s']:.0f}",
                    row["refused_not_run"],
                    row["refused_late"],
                    row["calls"],
                )
                for row in rows
            ],
        ),
    ]


def _configuration_table(result: dict[str, t.Any]) -> list[str]:
    singles = sorted(result["single_ms"])
    return [
        "## Configuration in force everywhere",
        "",
        *_table(
            ("what", "ms", "limit"),
            [
                ("one record, median", f"{singles[len(singles) // 2]:.0f}", "14000"),
                ("one record, longest", f"{singles[-1]:.0f}", "14000"),
                (
                    f"burst of {result['burst_records']}, appending included",
                    f"{result['burst_ms']:.0f}",
                    "14000",
                ),
            ],
        ),
    ]


def _recovery_table(rows: list[dict[str, t.Any]]) -> list[str]:
    return [
        "## Recovery",
        "",
        "Goodput in half seconds after the fault; back means that two of them in a "
        "row reach 90% of the usual.",
        "",
        *_table(
            ("fault", "usual tokens/s", "lowest share", "back after ms", "not whole"),
            [
                (
                    row["fault"],
                    f"{row['usual_tokens_s']:.0f}",
                    f"{row['lowest_share']:.2f}",
                    row["back_after_ms"],
                    f"{row['not_whole']} of {row['calls']}",
                )
                for row in rows
            ],
        ),
    ]


def _placement_table(result: dict[str, t.Any]) -> list[str]:
    return [
        "## Placement",
        "",
        *_table(
            ("placement", "hit rate", "first token p50", "p95", "gap", "calls"),
            [
                (
                    name,
                    f"{row['hit_rate']:.2f}",
                    f"{row['first_token_p50_ms']:.0f} ms",
                    f"{row['first_token_p95_ms']:.0f} ms",
                    f"{row['gap']:.0f}",
                    row["calls"],
                )
                for name, row in result.items()
            ],
        ),
    ]


def _load_table(result: dict[str, t.Any]) -> list[str]:
    fits = result["fit"]
    return [
        "## Processor time",
        "",
        *_table(
            ("process", "ms a request", "us a token", "core at rest"),
            [
                (
                    "router",
                    f"{fits['router']['ms_per_request']:.2f}",
                    f"{fits['router']['us_per_token']:.1f}",
                    f"{result['idle']['router']:.3f}",
                ),
                (
                    "both agents",
                    f"{fits['agents']['ms_per_request']:.2f}",
                    f"{fits['agents']['us_per_token']:.1f}",
                    f"{result['idle']['agents']:.3f}",
                ),
            ],
        ),
    ]


def _plot_comparison(result: dict[str, t.Any], path: pathlib.Path) -> None:
    """Plot the largest difference in service between customers, with its bound."""
    figure, axes = plt.subplots(figsize=(8, 4.5))
    for name, style in (("fleet", "-"), ("naive", "--")):
        curve = result[name]["gap_curve"]
        times = [point[0] for point in curve]
        spread = [_largest_difference(point[1], curve[0][1]) for point in curve]
        axes.plot(times, spread, style, label=name)
    axes.axhline(result["bound"], color="grey", linewidth=1, label="derived bound")
    axes.set_xlabel("time (s)")
    axes.set_ylabel("largest difference (tokens by share)")
    axes.set_title("Service received by backlogged customers")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)


def _largest_difference(now: dict[str, float], start: dict[str, float]) -> float:
    received = [now[name] - start[name] for name in now]
    return max(received) - min(received)


def _plot_goodput(rows: list[dict[str, t.Any]], path: pathlib.Path) -> None:
    figure, axes = plt.subplots(figsize=(8, 4.5))
    factors = [row["factor"] for row in rows]
    axes.plot(factors, [r["goodput_tokens_s"] for r in rows], "o-", label="goodput")
    axes.plot(factors, [r["offered_tokens_s"] for r in rows], "--", label="offered")
    capacity = rows[0]["offered_tokens_s"] / rows[0]["factor"]
    axes.axhline(capacity, color="grey", linewidth=1, label="capacity")
    axes.set_xlabel("offered load / capacity")
    axes.set_ylabel("tokens/s")
    axes.set_title("Goodput under overload, 2 s deadlines")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)


def _plot_load(result: dict[str, t.Any], path: pathlib.Path) -> None:
    figure, axes = plt.subplots(figsize=(8, 4.5))
    points = sorted(result["points"], key=lambda point: point["tokens_s"])
    tokens = [point["tokens_s"] for point in points]
    axes.plot(tokens, [p["router_cores"] for p in points], "o", label="router")
    axes.plot(tokens, [p["agents_cores"] for p in points], "s", label="two agents")
    axes.set_xlabel("tokens/s through the router")
    axes.set_ylabel("cores")
    axes.set_title("Processor time by load")
    axes.legend()
    figure.tight_layout()
    figure.savefig(path, dpi=110)
    plt.close(figure)
