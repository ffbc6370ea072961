"""Scenarios of load: capacity that must not idle, and overload."""

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
from snipedeal_standins.scenarios import Row
from snipedeal_standins.scenarios import Stage
from snipedeal_standins.scenarios import answers_row
from snipedeal_standins.scenarios import register_scenario
from snipedeal_standins.scenarios import small_plan
from snipedeal_standins.scenarios import staged


@register_scenario("idle")
async def prove_no_idling(directory: pathlib.Path, seed: int) -> list[Row]:
    """Queue all work at one router, with targets and routers coming and going."""
    plan = small_plan({"one": 1.0, "two": 1.0}, routers=2, engines=4)
    async with staged(plan, directory) as stage:
        until = time.monotonic() + 12.0

        def call(customer: str):
            return lambda: stage.caller.chat(stage.urls[0], customer, MODEL, 60)

        load = asyncio.gather(
            run_closed_loop(call("one"), 30, until),
            run_closed_loop(call("two"), 30, until),
        )
        await asyncio.sleep(2.0)
        before = [await stage.fleet.engine_load(f"engine-{n}") for n in range(4)]
        started = time.monotonic()
        await asyncio.sleep(4.0)
        after = [await stage.fleet.engine_load(f"engine-{n}") for n in range(4)]
        seconds = time.monotonic() - started
        await stage.fleet.start_router(RouterPlan("router-late", "zone-1"))
        await stage.faults.bring_about("agent-kill", "engine-1", 0.5)
        await load
        busy_ms = sum(
            a["busy_ms"] - b["busy_ms"] for a, b in zip(after, before, strict=True)
        )
        share = busy_ms / (seconds * 1000 * 4 * SLOTS)
        violations = []
        if share < 0.9:
            detail = f"slots were busy for {100 * share:.1f}% of the time"
            violations.append(Violation("idle", "fleet", detail))
        return [
            Row(
                "idle",
                "60 calls waiting at one of two routers",
                "router joins, agent killed",
                len(stage.caller.history),
                violations,
                "90% of slot time busy while work waits",
                f"{100 * share:.1f}%",
            ),
            answers_row(stage, "idle"),
        ]


@register_scenario("overload")
async def prove_goodput(directory: pathlib.Path, seed: int) -> list[Row]:
    """Offer three times the capacity with short deadlines."""
    shares = {f"c{n}": 1.0 for n in range(8)}
    plan = small_plan(shares, engines=3)
    async with staged(plan, directory) as stage:
        full = await _goodput(stage, list(shares), 16, 6.0)
        over = await _goodput(stage, list(shares), 48, 8.0)
        early = [
            c
            for c in stage.caller.history
            if c.outcome == REFUSED and c.ran == "not_run"
        ]
        late = [
            c
            for c in stage.caller.history
            if c.outcome == REFUSED and c.ran != "not_run"
        ]
        violations = []
        if over < 0.8 * full:
            detail = f"goodput fell from {full:.0f} to {over:.0f} tokens/s"
            violations.append(Violation("overload", "fleet", detail))
        return [
            Row(
                "overload",
                "3 times the capacity, 2 s deadlines",
                f"{len(early)} refused early, {len(late)} late",
                len(stage.caller.history),
                violations,
                f"{0.8 * full:.0f} tokens/s (80% of full load)",
                f"{over:.0f}",
            ),
            answers_row(stage, "overload"),
        ]


async def _goodput(
    stage: Stage, customers: list[str], per_s: float, seconds: float
) -> float:
    """Send an open load of calls; return whole tokens a second."""
    before = len(stage.caller.history)
    started = time.monotonic()
    tasks = []
    number = 0
    while time.monotonic() - started < seconds:
        customer = customers[number % len(customers)]
        url = stage.urls[number % len(stage.urls)]
        headers = {"X-Deadline-Ms": "2000"}
        call = stage.caller.chat(url, customer, MODEL, 100, headers=headers)
        tasks.append(asyncio.create_task(call))
        number += 1
        next_at = started + number / per_s
        await asyncio.sleep(max(0.0, next_at - time.monotonic()))
    await asyncio.gather(*tasks)
    elapsed = time.monotonic() - started
    whole = [c for c in stage.caller.history[before:] if c.outcome == WHOLE]
    return sum(c.tokens for c in whole) / elapsed
