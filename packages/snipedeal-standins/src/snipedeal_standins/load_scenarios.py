"""Scenarios of load: slots idling while work is queued, and overload."""

import asyncio
import pathlib
import time

from snipedeal_standins.checker import Violation
from snipedeal_standins.history import REFUSED
from snipedeal_standins.history import WHOLE
from snipedeal_standins.load import run_closed_loop
from snipedeal_standins.plans import RouterPlan
from snipedeal_standins.scenarios import MODEL
from snipedeal_standins.scenarios import SLOTS
from snipedeal_standins.scenarios import Environment
from snipedeal_standins.scenarios import ReportRow
from snipedeal_standins.scenarios import invariants_row
from snipedeal_standins.scenarios import register_scenario
from snipedeal_standins.scenarios import run_environment
from snipedeal_standins.scenarios import small_plan


@register_scenario("idle")
async def prove_no_idling(directory: pathlib.Path, seed: int) -> list[ReportRow]:
    """Check that slots stay busy when all work is queued at one of two routers.

    A router joins and an agent is killed after the measurement.
    """
    plan = small_plan({"one": 1.0, "two": 1.0}, routers=2, engines=4)
    async with run_environment(plan, directory) as env:
        until = time.monotonic() + 12.0

        def call(customer: str):
            return lambda: env.caller.chat(env.urls[0], customer, MODEL, 60)

        load = asyncio.gather(
            run_closed_loop(call("one"), 30, until),
            run_closed_loop(call("two"), 30, until),
        )
        await asyncio.sleep(2.0)
        before = [await env.fleet.engine_load(f"engine-{n}") for n in range(4)]
        started = time.monotonic()
        await asyncio.sleep(4.0)
        after = [await env.fleet.engine_load(f"engine-{n}") for n in range(4)]
        seconds = time.monotonic() - started
        await env.fleet.start_router(RouterPlan("router-late", "zone-1"))
        await env.faults.inject("agent-kill", "engine-1", 0.5)
        await load
        busy_ms = sum(
            a["busy_ms"] - b["busy_ms"] for a, b in zip(after, before, strict=True)
        )
        busy_fraction = busy_ms / (seconds * 1000 * 4 * SLOTS)
        violations = []
        if busy_fraction < 0.9:
            detail = f"slots were busy for {100 * busy_fraction:.1f}% of the time"
            violations.append(Violation("idle", "fleet", detail))
        return [
            ReportRow(
                "idle",
                "60 calls waiting at one of two routers",
                "router joins, agent killed",
                len(env.caller.history),
                violations,
                "90% of slot time busy while work waits",
                f"{100 * busy_fraction:.1f}%",
            ),
            invariants_row(env, "idle"),
        ]


@register_scenario("overload")
async def prove_goodput(directory: pathlib.Path, seed: int) -> list[ReportRow]:
    """Check that goodput stays at 80% or more when the load is tripled.

    Every call has a deadline of 2 s.
    """
    shares = {f"c{n}": 1.0 for n in range(8)}
    plan = small_plan(shares, engines=3)
    async with run_environment(plan, directory) as env:
        full_goodput = await _measure_goodput(env, list(shares), 16, 6.0)
        overload_goodput = await _measure_goodput(env, list(shares), 48, 8.0)
        refused_early = [
            c for c in env.caller.history if c.outcome == REFUSED and c.ran == "not_run"
        ]
        refused_late = [
            c for c in env.caller.history if c.outcome == REFUSED and c.ran != "not_run"
        ]
        violations = []
        if overload_goodput < 0.8 * full_goodput:
            detail = (
                f"goodput fell from {full_goodput:.0f} to "
                f"{overload_goodput:.0f} tokens/s"
            )
            violations.append(Violation("overload", "fleet", detail))
        return [
            ReportRow(
                "overload",
                "3 times the capacity, 2 s deadlines",
                f"{len(refused_early)} refused early, {len(refused_late)} late",
                len(env.caller.history),
                violations,
                f"{0.8 * full_goodput:.0f} tokens/s (80% of full load)",
                f"{overload_goodput:.0f}",
            ),
            invariants_row(env, "overload"),
        ]


async def _measure_goodput(
    env: Environment, customers: list[str], calls_per_s: float, seconds: float
) -> float:
    """Run an open-loop load; return the tokens per second of complete answers."""
    before = len(env.caller.history)
    started = time.monotonic()
    tasks = []
    number = 0
    while time.monotonic() - started < seconds:
        customer = customers[number % len(customers)]
        url = env.urls[number % len(env.urls)]
        headers = {"X-Deadline-Ms": "2000"}
        call = env.caller.chat(url, customer, MODEL, 100, headers=headers)
        tasks.append(asyncio.create_task(call))
        number += 1
        next_at = started + number / calls_per_s
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))
    await asyncio.gather(*tasks)
    elapsed = time.monotonic() - started
    whole = [c for c in env.caller.history[before:] if c.outcome == WHOLE]
    return sum(c.tokens for c in whole) / elapsed
