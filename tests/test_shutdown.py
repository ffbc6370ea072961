"""Test that a second SIGTERM stops a router that still has open requests.

The first signal starts a graceful shutdown, which waits for them.
"""

import asyncio
import signal

from snipedeal_standins.scenarios import MODEL
from snipedeal_standins.scenarios import run_environment
from snipedeal_standins.scenarios import small_plan

ROUTER = "router-0"
OUTPUT_TOKENS = 4_000


async def signal_twice(directory):
    async with run_environment(small_plan({"one": 1.0}), directory) as env:
        fleet = env.fleet

        async def is_open():
            return (await fleet.status(ROUTER)).get("requests", {}).get("open") == 1

        async def is_closing():
            return (await fleet.status(ROUTER)).get("closing", False)

        call = asyncio.ensure_future(
            env.caller.chat(env.urls[0], "one", MODEL, OUTPUT_TOKENS)
        )
        await fleet.wait_until(is_open)
        fleet.signal(ROUTER, signal.SIGTERM)
        await fleet.wait_until(is_closing)
        is_running = fleet.children[ROUTER].is_running
        fleet.signal(ROUTER, signal.SIGTERM)
        status = await fleet.wait_exit(ROUTER)
        return is_running, status, await call


def test_second_sigterm_ends_the_router_and_callers_get_an_outcome(tmp_path):
    is_running, status, record = asyncio.run(signal_twice(tmp_path))
    assert is_running
    assert status == 1
    assert record.outcome == "refused"
    assert record.ran == "may_have_run"
