import asyncio

import hypothesis
import pytest

from snipedeal_standins.fleet import Fleet
from snipedeal_standins.load import Caller
from snipedeal_standins.scenarios import small_plan

hypothesis.settings.register_profile(
    "fixed", derandomize=True, deadline=None, max_examples=100, database=None
)
hypothesis.settings.load_profile("fixed")


class RunningFleet:
    """A fleet of processes with its own event loop, for synchronous tests."""

    def __init__(self, plan, directory):
        self.loop = asyncio.new_event_loop()
        self.fleet = Fleet(plan, directory)

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    def caller(self):
        return Caller(self.fleet.session)

    def close(self):
        self.run(self.fleet.close())
        self.loop.close()


@pytest.fixture(scope="session")
def small_fleet(tmp_path_factory):
    """Run one fleet for all tests; customer ``shut-out`` may use only ``plain``."""
    plan = small_plan({"one": 1.0, "two": 1.0, "shut-out": 1.0}, engines=2)
    for record in plan.records:
        if record["name"] == "shut-out":
            record["spec"]["services"] = ["plain"]
        if record["name"] == "plain":
            record["spec"]["max_body_bytes"] = 1_000
    running = RunningFleet(plan, tmp_path_factory.mktemp("fleet"))
    try:
        running.run(running.fleet.start())
        yield running
    finally:
        running.close()
