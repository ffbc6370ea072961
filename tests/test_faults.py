"""Run a few fixed scenarios of ``make proof``: real processes under faults."""

import asyncio

import pytest

from snipedeal_standins import platform_scenarios
from snipedeal_standins.scenarios import SCENARIOS
from snipedeal_standins.scenarios import run_two_faults

#: Modules that register scenarios on import.
SCENARIO_MODULES = (platform_scenarios,)


def violations_of(rows):
    return [violation for row in rows for violation in row.violations]


class TestPairsOfFaults:
    @pytest.mark.parametrize("seed", [13, 16, 18])
    def test_invariants_hold(self, tmp_path, seed):
        rows = asyncio.run(run_two_faults(tmp_path, seed))
        assert violations_of(rows) == []
        assert rows[0].calls > 0


class TestScenarios:
    @pytest.mark.parametrize(
        "name",
        [
            "aged-out",
            "at-most-once",
            "config",
            "crasher",
            "crasher-part",
            "orders",
            "shutdown",
        ],
    )
    def test_invariant_holds(self, tmp_path, name):
        rows = asyncio.run(SCENARIOS[name](tmp_path, 1))
        assert violations_of(rows) == []
