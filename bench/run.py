"""Run the benchmarks: ``make bench``, with ``ARGS=--quick`` or ``ARGS=--profile``.

Results are written to ``bench/results/``, plots to ``docs/plots/`` and the tables to
``docs/measurements.md``.
"""

import asyncio
import json
import os
import pathlib
import platform
import shutil
import subprocess
import sys
import tempfile
import time
import typing as t

import defopt

ROOT = pathlib.Path(__file__).parent.parent
sys.path.insert(0, str(ROOT))

from bench import comparison  # noqa: E402
from bench import latency  # noqa: E402
from bench import placement  # noqa: E402
from bench import profiling  # noqa: E402
from bench import recovery  # noqa: E402
from bench import report  # noqa: E402
from bench import slopes  # noqa: E402

RESULTS = ROOT / "bench" / "results"
_LOAD_FACTORS = (0.5, 0.9, 1.0, 1.5, 3.0)
_FAULTS = ("router-kill", "agent-kill", "engine-kill", "zone", "log-out")


def run(*, quick: bool = False, profile: bool = False, only: str = "") -> int:
    """Run the benchmarks and write the results.

    :param quick: use shorter runs and fewer points; takes less than two minutes.
    :param profile: print the CPU profile of a router instead.
    :param only: name of the only section to run; results of others are kept.
    """
    directory = pathlib.Path(tempfile.mkdtemp(prefix="snipedeal-bench-"))
    try:
        if profile:
            print(asyncio.run(profiling.profile_router(directory)))
            return 0
        name = "quick" if quick else "latest"
        path = RESULTS / f"{name}.json"
        earlier = json.loads(path.read_text()) if only and path.exists() else {}
        results = asyncio.run(_measure(directory, quick, only))
    finally:
        shutil.rmtree(directory, ignore_errors=True)
    results["seconds"] = {**earlier.get("seconds", {}), **results["seconds"]}
    results = {**earlier, **results}
    RESULTS.mkdir(parents=True, exist_ok=True)
    path.write_text(json.dumps(results, indent=1) + "\n", encoding="utf-8")
    if not quick:
        report.write_all(results, ROOT / "docs")
    print(f"results in {path.relative_to(ROOT)}")
    return 0


async def _measure(directory: pathlib.Path, quick: bool, only: str) -> dict[str, t.Any]:
    seconds = 4.0 if quick else 10.0
    factors = _LOAD_FACTORS[::2] if quick else _LOAD_FACTORS
    sections: dict[str, t.Callable[[], t.Awaitable[t.Any]]] = {
        "comparison": lambda: comparison.compare(
            directory / "comparison", 6.0 if quick else 20.0
        ),
        "added_time": lambda: latency.measure_added_time(directory / "added", seconds),
        "goodput": lambda: latency.measure_goodput(
            directory / "goodput", 3.0 if quick else 8.0, factors
        ),
        "configuration": lambda: recovery.measure_configuration(
            directory / "configuration", 3 if quick else 10, 100
        ),
        "recovery": lambda: recovery.measure_recovery(
            directory / "recovery", _FAULTS[1:2] if quick else _FAULTS
        ),
        "placement": lambda: placement.compare_placements(
            directory / "placement", 3.0 if quick else 10.0
        ),
        "imports": slopes.measure_imports,
    }
    if not quick:
        sections |= _slope_sections(directory)
    results: dict[str, t.Any] = {"machine": _machine(), "seconds": {}}
    for name, measure in sections.items():
        if only not in ("", name):
            continue
        started = time.monotonic()
        results[name] = await measure()
        results["seconds"][name] = round(time.monotonic() - started, 1)
        print(f"{name}: {results['seconds'][name]} s", flush=True)
    return results


def _slope_sections(directory: pathlib.Path) -> dict[str, t.Any]:
    async def decisions() -> t.Any:
        return {
            "exchange": slopes.measure_exchange(200),
            "gate": slopes.measure_decisions(),
            "claims": slopes.measure_claims(),
        }

    return {
        "load": lambda: slopes.measure_load(directory / "load", 5.0),
        "customers": lambda: slopes.measure_customers(directory / "customers"),
        "routers": lambda: slopes.measure_routers(directory / "routers", 4.0),
        "decisions": decisions,
    }


def _machine() -> dict[str, t.Any]:
    """Return the machine and revision that the measurements were taken on."""
    revision = subprocess.run(
        ["git", "rev-parse", "--short", "HEAD"],
        cwd=ROOT,
        capture_output=True,
        text=True,
        check=False,
    )
    cpu = platform.processor() or platform.machine()
    return {
        "python": platform.python_version(),
        "processor": cpu,
        "cores": len(os.sched_getaffinity(0)),
        "revision": revision.stdout.strip(),
        "date": time.strftime("%Y-%m-%d"),
    }


if __name__ == "__main__":
    sys.exit(defopt.run(run))
