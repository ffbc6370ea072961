"""Run the fault-injection scenarios and print a row for each invariant.

The exit status is 0 if every invariant holds or its violation is recorded in
``KNOWN-RED.txt``, 1 otherwise.
"""

import asyncio
import pathlib
import shutil
import sys
import tempfile

import defopt

from snipedeal_standins import fairness_scenarios
from snipedeal_standins import load_scenarios
from snipedeal_standins import platform_scenarios
from snipedeal_standins import scenarios
from snipedeal_standins.scenarios import SCENARIOS
from snipedeal_standins.scenarios import ReportRow
from snipedeal_standins.scenarios import run_two_faults

#: Modules that register scenarios on import.
SCENARIO_MODULES = (
    scenarios,
    fairness_scenarios,
    load_scenarios,
    platform_scenarios,
)
_KNOWN_RED_PATH = pathlib.Path("KNOWN-RED.txt")


def run(*, only: str = "", seeds: int = 20, first_seed: int = 1) -> int:
    """Run the scenarios and the random pairs of faults.

    :param only: run just this scenario, or ``two-faults``.
    :param seeds: number of random pairs of faults, one per seed.
    :param first_seed: seed of the first pair.
    """
    names = [name for name in SCENARIOS if only in ("", name)]
    pairs = seeds if only in ("", "two-faults") else 0
    rows = asyncio.run(_run_all(names, range(first_seed, first_seed + pairs)))
    known_red = (
        _KNOWN_RED_PATH.read_text(encoding="utf-8") if _KNOWN_RED_PATH.exists() else ""
    )
    failed = [row for row in rows if row.violations]
    unrecorded = [
        row for row in failed if f"proof {row.rule} / {row.scenario}" not in known_red
    ]
    print(
        f"\n{len(rows)} rows, {len(failed)} red, {len(unrecorded)} of them not recorded"
    )
    return 1 if unrecorded else 0


async def _run_all(names: list[str], seeds: range) -> list[ReportRow]:
    directory = pathlib.Path(tempfile.mkdtemp(prefix="snipedeal-proof-"))
    rows: list[ReportRow] = []
    print(f"{'property':<13} {'scenario':<46} {'calls':>6}  bound / figure / faults")
    try:
        for name in names:
            rows += _print_rows(await SCENARIOS[name](directory / name, 1))
        for seed in seeds:
            rows += _print_rows(await run_two_faults(directory / f"seed-{seed}", seed))
    finally:
        if not any(row.violations for row in rows):
            shutil.rmtree(directory, ignore_errors=True)
        else:
            print(f"files of the run are in {directory}")
    return rows


def _print_rows(rows: list[ReportRow]) -> list[ReportRow]:
    for row in rows:
        verdict = "RED" if row.violations else "holds"
        print(
            f"{row.rule:<13} {row.scenario:<46} {row.calls:>6}  {verdict}: "
            f"{row.bound} / {row.figure} / {row.faults}",
            flush=True,
        )
        for violation in row.violations[:8]:
            print(f"    {violation.subject}: {violation.detail}", flush=True)
    return rows


if __name__ == "__main__":
    sys.exit(defopt.run(run))
