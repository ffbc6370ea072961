"""Measure the latency added by the fleet, and goodput at half to triple capacity."""

import asyncio
import pathlib
import time
import typing as t

import aiohttp
from hdrh.histogram import HdrHistogram

from bench.processes import cores_between
from bench.processes import read_usage
from bench.processes import run_open_loop
from snipedeal_standins.fleet import Fleet
from snipedeal_standins.history import REFUSED
from snipedeal_standins.history import WHOLE
from snipedeal_standins.load import Caller
from snipedeal_standins.scenarios import MODEL
from snipedeal_standins.scenarios import small_plan

#: Requests and tokens per second of one router at the target fleet size.
TARGET_REQUESTS_S = 18.0
TARGET_TOKENS_S = 5_500.0
_TOKENS = int(TARGET_TOKENS_S / TARGET_REQUESTS_S)
_ENGINES = 4
_STEP_MS = 20.0
_PERCENTILES = (50, 95, 99)
_MAX_RECORDABLE_US = 60_000_000


class TokenTimings:
    """Histograms of time to first token and time between tokens, in microseconds."""

    def __init__(self) -> None:
        self.first = HdrHistogram(1, _MAX_RECORDABLE_US, 3)
        self.between = HdrHistogram(1, _MAX_RECORDABLE_US, 3)

    def summary(self) -> dict[str, t.Any]:
        """Return the percentiles in milliseconds."""
        return {
            name: {
                f"p{percent}": histogram.get_value_at_percentile(percent) / 1000
                for percent in _PERCENTILES
            }
            for name, histogram in (
                ("first_token_ms", self.first),
                ("between_tokens_ms", self.between),
            )
        }


async def measure_added_time(
    directory: pathlib.Path, seconds: float
) -> dict[str, t.Any]:
    """Return latencies of engines called directly, then through one router.

    Both runs use the target request rate of one router.
    """
    options = {"max_batch": 200, "step_ms": _STEP_MS, "step_per_stream_ms": 0.02}
    plan = small_plan(
        {f"c{n}": 1.0 for n in range(16)},
        routers=1,
        engines=_ENGINES,
        plains=0,
        engine_options=options,
    )
    fleet = Fleet(plan, directory)
    try:
        await fleet.start()
        direct_urls = [fleet.target_url(f"engine-{n}") for n in range(_ENGINES)]
        direct = await _time_calls(fleet, direct_urls, seconds)
        pids = {
            name: fleet.children[name].process.pid for name in ("router-0", "engine-0")
        }
        before = {name: read_usage(pid) for name, pid in pids.items()}
        routed = await _time_calls(fleet, fleet.router_urls, seconds)
        after = {name: read_usage(pid) for name, pid in pids.items()}
        return {
            "requests_s": TARGET_REQUESTS_S,
            "tokens_s": TARGET_REQUESTS_S * _TOKENS,
            "direct": direct.summary(),
            "routed": routed.summary(),
            "router_cores": cores_between(before["router-0"], after["router-0"]),
            "agent_cores": cores_between(before["engine-0"], after["engine-0"]),
            "router_resident_mb": after["router-0"].resident_mb,
            "agent_resident_mb": after["engine-0"].resident_mb,
        }
    finally:
        await fleet.close()


async def _time_calls(fleet: Fleet, urls: list[str], seconds: float) -> TokenTimings:
    timings = TokenTimings()

    async def call(number: int) -> None:
        url = urls[number % len(urls)]
        await _time_stream(fleet.session, url, f"c{number % 16}", timings)

    await run_open_loop(call, TARGET_REQUESTS_S, seconds)
    return timings


async def _time_stream(
    session: aiohttp.ClientSession, url: str, customer: str, timings: TokenTimings
) -> None:
    """Record the times of one streamed answer as seen by its caller."""
    prompt = f"{time.monotonic_ns()} [tokens={_TOKENS}]"
    body = {
        "model": MODEL,
        "stream": True,
        "messages": [{"role": "user", "content": prompt}],
    }
    headers = {"Authorization": f"Bearer {customer}-key"}
    last = time.perf_counter()
    is_first = True
    async with session.post(
        f"{url}/v1/chat/completions", json=body, headers=headers
    ) as answer:
        async for line in answer.content:
            if not line.startswith(b'data: {"id"'):
                continue
            now = time.perf_counter()
            histogram = timings.first if is_first else timings.between
            histogram.record_value(max(1, int((now - last) * 1e6)))
            is_first = False
            last = now


async def measure_goodput(
    directory: pathlib.Path, seconds: float, factors: t.Sequence[float]
) -> list[dict[str, t.Any]]:
    """Return goodput and refusals at each multiple of the capacity."""
    shares = {f"c{n}": 1.0 for n in range(8)}
    # A step of the full batch takes 5 ms, and 0.25 ms for each further stream.
    tokens, slots, engines, step_ms = 60, 4, 3, 5.75
    capacity_calls_s = engines * slots * 1000 / (tokens * step_ms)
    rows = []
    fleet = Fleet(small_plan(shares, engines=engines), directory)
    try:
        await fleet.start()
        for factor in factors:
            caller = Caller(fleet.session)

            async def call(number: int, caller: Caller = caller) -> t.Any:
                return await caller.chat(
                    fleet.router_urls[number % 2],
                    f"c{number % 8}",
                    MODEL,
                    tokens,
                    headers={"X-Deadline-Ms": "2000"},
                )

            started = time.monotonic()
            calls = await run_open_loop(call, capacity_calls_s * factor, seconds)
            elapsed = time.monotonic() - started
            whole = [c for c in calls if c.outcome == WHOLE]
            refused = [c for c in calls if c.outcome == REFUSED]
            rows.append(
                {
                    "factor": factor,
                    "offered_tokens_s": capacity_calls_s * factor * tokens,
                    "goodput_tokens_s": sum(c.tokens for c in whole) / elapsed,
                    "refused_not_run": sum(c.ran == "not_run" for c in refused),
                    "refused_late": sum(c.ran != "not_run" for c in refused),
                    "calls": len(calls),
                }
            )
            await asyncio.sleep(1.0)
    finally:
        await fleet.close()
    return rows
