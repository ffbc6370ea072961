"""Run the scenarios and print a row for each property.

Exit status 0 if all hold or are recorded in ``KNOWN-RED.txt``, 1 otherwise.
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
from snipedeal_standins.scenarios import Row
from snipedeal_standins.scenarios import run_two_faults

#: Modules whose import registers scenarios.
REGISTERED = (
    scenarios,
    fairness_scenarios,
    load_scenarios,
    platform_scenarios,
)
_KNOWN_RED = pathlib.Path("KNOWN-RED.txt")


def run(*, only: str = "", seeds: int = 20, first_seed: int = 1) -> int:
    """Run the proof.

    :param only: name of one scenario, or ``two-faults``.
    :param seeds: pairs of faults to draw.
    :param first_seed: seed of the first pair.
    """
    names = [name for name in SCENARIOS if only in ("", name)]
    pairs = seeds if only in ("", "two-faults") else 0
    rows = asyncio.run(_run_all(names, range(first_seed, first_seed + pairs)))
    known = _KNOWN_RED.read_text(encoding="utf-8") if _KNOWN_RED.exists() else ""
    bad = [row for row in rows if row.violations]
    unknown = [row for row in bad if f"proof {row.rule} / {row.scenario}" not in known]
    print(f"\n{len(rows)} rows, {len(bad)} red, {len(unknown)} of them not recorded")
    return 1 if unknown else 0


async def _run_all(names: list[str], seeds: range) -> list[Row]:
    directory = pathlib.Path(tempfile.mkdtemp(prefix="snipedeal-proof-"))
    rows: list[Row] = []
    print(f"{'property':<13} {'scenario':<46} {'calls':>6}  bound / figure / faults")
    try:
        for name in names:
            rows += _print(await SCENARIOS[name](directory / name, 1))
        for seed in seeds:
            rows += _print(await run_two_faults(directory / f"seed-{seed}", seed))
    finally:
        if not any(row.violations for row in rows):
            shutil.rmtree(directory, ignore_errors=True)
        else:
            print(f"files of the run are in {directory}")
    return rows


def _print(rows: list[Row]) -> list[Row]:
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
