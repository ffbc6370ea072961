"""Profile a router with cProfile at its target request rate."""

import io
import pathlib
import pstats
import signal
import sys

from bench import latency
from bench.processes import run_open_loop
from snipedeal_standins.fleet import Child
from snipedeal_standins.fleet import Fleet
from snipedeal_standins.load import Caller
from snipedeal_standins.scenarios import MODEL
from snipedeal_standins.scenarios import small_plan

_ROWS = 25
_SECONDS = 10.0
_TOKENS = int(latency.TARGET_TOKENS_S / latency.TARGET_REQUESTS_S)


class ProfiledFleet(Fleet):
    """A fleet whose router runs under cProfile."""

    @property
    def profile_path(self) -> pathlib.Path:
        """File that the profiler writes when the router exits."""
        return self.directory / "router.profile"

    async def _spawn(self, child: Child) -> None:
        if child.name == "router-0":
            module = ["-m", "snipedeal_router.cli"]
            options = ["-m", "cProfile", "-o", str(self.profile_path)]
            child.command = [sys.executable, *options, *module, *child.command[1:]]
        await super()._spawn(child)


async def profile_router(directory: pathlib.Path) -> str:
    """Return a table of the functions that spend the most time in their own code."""
    options = {"max_batch": 200, "step_ms": 20.0, "step_per_stream_ms": 0.02}
    plan = small_plan({"one": 1.0}, 1, 4, 0, options)
    fleet = ProfiledFleet(plan, directory)
    try:
        await fleet.start()
        caller = Caller(fleet.session)

        async def call(number: int) -> None:
            await caller.chat(fleet.router_urls[0], "one", MODEL, _TOKENS)

        await run_open_loop(call, latency.TARGET_REQUESTS_S, _SECONDS)
        fleet.signal("router-0", signal.SIGTERM)
        await fleet.wait_exit("router-0")
        text = io.StringIO()
        stats = pstats.Stats(str(fleet.profile_path), stream=text)
        stats.strip_dirs().sort_stats("tottime").print_stats(_ROWS)
        return text.getvalue()
    finally:
        await fleet.close()
