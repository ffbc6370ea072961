"""Compare placement by prompt prefix with placement by spread, in one run."""

import asyncio
import pathlib
import random
import time
import typing as t

from bench.processes import run_open_loop
from snipedeal_standins.fleet import Fleet
from snipedeal_standins.history import WHOLE
from snipedeal_standins.history import read_runs
from snipedeal_standins.load import Caller
from snipedeal_standins.load import run_closed_loop
from snipedeal_standins.measures import fairness_gap
from snipedeal_standins.measures import percentile
from snipedeal_standins.measures import service_samples
from snipedeal_standins.scenarios import MODEL
from snipedeal_standins.scenarios import small_plan

_ENGINES = 4
_PREFIX_COUNT = 24
_PREFIX_CHARS = 4_000
_CALLS_PER_S = 20.0
_TOKENS = 20
_SHARES = {f"c{number}": 1.0 for number in range(8)}


async def compare_placements(
    directory: pathlib.Path, seconds: float
) -> dict[str, t.Any]:
    """Return hit rate, time to first token and fairness gap of both placements."""
    return {
        name: await _measure(directory / name, name, seconds)
        for name in ("spread", "prefix")
    }


async def _measure(
    directory: pathlib.Path, placement: str, seconds: float
) -> dict[str, t.Any]:
    options = {
        # The cache of an engine holds a third of the prefixes, in 64-character blocks.
        "cache_blocks": _PREFIX_COUNT * (_PREFIX_CHARS // 64) // 3,
        "prefill_per_token_ms": 0.2,
    }
    plan = small_plan(
        _SHARES,
        engines=_ENGINES,
        plains=0,
        engine_options=options,
        router_settings={"placement": placement},
    )
    fleet = Fleet(plan, directory)
    rng = random.Random(7)
    try:
        await fleet.start()
        caller = Caller(fleet.session)

        async def call(number: int) -> t.Any:
            prefix = rng.randrange(_PREFIX_COUNT)
            prompt = f"shared document {prefix:02d} " + "x" * _PREFIX_CHARS
            return await caller.chat(
                fleet.router_urls[number % 2],
                f"c{prefix % len(_SHARES)}",
                MODEL,
                _TOKENS,
                prompt=prompt,
            )

        calls = await run_open_loop(call, _CALLS_PER_S, seconds)
        runs = read_runs(_record_paths(fleet))
        starts = [run for run in runs if run.event == "start"]
        cached_tokens = sum(run.fields["cached_tokens"] for run in starts)
        prompt_tokens = sum(run.fields["prompt_tokens"] for run in starts)
        first_token_times_ms = [
            c.first_ms - c.sent_ms for c in calls if c.outcome == WHOLE
        ]
        gap = await _measure_gap(fleet, seconds)
        return {
            "hit_rate": cached_tokens / max(1, prompt_tokens),
            "first_token_p50_ms": percentile(first_token_times_ms, 50),
            "first_token_p95_ms": percentile(first_token_times_ms, 95),
            "gap": gap,
            "calls": len(calls),
        }
    finally:
        await fleet.close()


async def _measure_gap(fleet: Fleet, seconds: float) -> float:
    """Return the fairness gap of two backlogged customers with a prefix each."""
    caller = Caller(fleet.session)
    end_s = time.monotonic() + seconds
    started_ms = int(time.time() * 1000)

    def call(customer: str) -> t.Any:
        prompt = f"document of {customer} " + "x" * _PREFIX_CHARS
        return lambda: caller.chat(
            fleet.router_urls[0], customer, MODEL, _TOKENS, prompt=prompt
        )

    await asyncio.gather(
        run_closed_loop(call("c0"), 40, end_s), run_closed_loop(call("c1"), 20, end_s)
    )
    paths = _record_paths(fleet)
    samples = service_samples(read_runs(paths), 250, set(paths))
    window = (started_ms + 1_500, started_ms + int(seconds * 1000) - 500)
    return fairness_gap(samples, {"c0": 1.0, "c1": 1.0}, *window)


def _record_paths(fleet: Fleet) -> dict[str, pathlib.Path]:
    names = [target.name for target in fleet.plan.targets]
    return {name: fleet.record_path(name) for name in names}
