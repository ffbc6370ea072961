"""Test the guarantees to callers while real routers restart under load."""

import asyncio

import pytest

from snipedeal_standins import edge_demo


@pytest.mark.parametrize("seed", [1, 2])
def test_real_routers_uphold_guarantees_while_some_restart(tmp_path, seed):
    load = asyncio.run(edge_demo.run_load_with_restarts(tmp_path, seed))
    assert load.violations == []
    served = sum(n for (_, outcome), n in load.outcomes.items() if outcome == "200")
    assert served > 0
