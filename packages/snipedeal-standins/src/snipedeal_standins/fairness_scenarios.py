"""Scenarios of fair service: the gap between customers and the longest wait."""

import asyncio
import pathlib
import random
import time
import typing as t

from snipedeal_standins import checker
from snipedeal_standins.checker import Violation
from snipedeal_standins.history import CallRecord
from snipedeal_standins.load import run_closed_loop
from snipedeal_standins.measures import fairness_gap
from snipedeal_standins.measures import service_samples
from snipedeal_standins.scenarios import MODEL
from snipedeal_standins.scenarios import SLOTS
from snipedeal_standins.scenarios import ReportRow
from snipedeal_standins.scenarios import inject_fault_after
from snipedeal_standins.scenarios import invariants_row
from snipedeal_standins.scenarios import register_scenario
from snipedeal_standins.scenarios import run_environment
from snipedeal_standins.scenarios import small_plan


def gap_bound(
    engines: int, slots: int, largest: float, rate: float, interval_s: float
) -> float:
    """Return the bound of the gap, derived in ``docs/design/fair-service.md``.

    :param slots: concurrent requests of one engine.
    :param largest: tokens of the largest request, divided by the smallest share.
    :param rate: tokens per second of one engine.
    :param interval_s: time between two exchanges of per-customer service totals.
    :return: tokens divided by share.
    """
    in_flight = 2 * slots * engines * largest
    not_yet_exchanged = 2 * (engines - 1) * rate * interval_s
    return in_flight + not_yet_exchanged


@register_scenario("gap")
async def prove_gap(directory: pathlib.Path, seed: int) -> list[ReportRow]:
    """Check the gap under uneven load, with one flooding customer, and under faults."""
    shares = {"flood": 1.0, "steady": 1.0, "uneven": 1.0, "double": 2.0}
    plan = small_plan(shares, routers=3)
    engines = [target.name for target in plan.targets if target.kind == "engine"]
    rng = random.Random(seed)
    async with run_environment(plan, directory, engines) as env:
        started = time.monotonic()
        until = started + 20.0
        started_ms = int(time.time() * 1000)
        costs = [10, 20, 40, 80, 160, 300]

        def call(customer: str, routers: list[int]):
            return lambda: env.caller.chat(
                env.urls[rng.choice(routers)],
                customer,
                MODEL,
                rng.choice(costs),
                headers={"X-Hint": "wrong"},
            )

        await asyncio.gather(
            run_closed_loop(call("flood", [0, 1]), 100, until),
            run_closed_loop(call("steady", [0]), 16, until),
            run_closed_loop(call("uneven", [2]), 16, until),
            run_closed_loop(call("double", [0, 1, 2]), 24, until),
            inject_fault_after(env, 6.0, "agent-cut", engines[0], 5.0),
            inject_fault_after(env, 12.0, "agent-kill", engines[1], 0.5),
        )
        samples = service_samples(env.runs(), 200, set(engines))
        window = (started_ms + 2_000, started_ms + 19_500)
        rate = SLOTS * 1000 / (5.0 + 0.25 * (SLOTS - 1))
        # The totals are stale during the cut of 5 s and for up to 4 s after it, until
        # the gate exchanges them again.
        bound = gap_bound(len(engines), SLOTS, 300.0, rate, 5.0 + 4.0)
        gap = fairness_gap(samples, shares, *window)
        gap_before_cut = fairness_gap(samples, shares, window[0], started_ms + 6_000)
        bound_before_cut = gap_bound(len(engines), SLOTS, 300.0, rate, 0.5)
        return [
            ReportRow(
                "gap",
                "before the cut",
                "flood, uneven routers, costs 10 to 300",
                len(env.caller.history),
                checker.check_gap(
                    samples, shares, (window[0], started_ms + 6_000), bound_before_cut
                ),
                f"{bound_before_cut:.0f} tokens by share",
                f"{gap_before_cut:.0f}",
            ),
            ReportRow(
                "gap",
                "with a gate cut off for 5 s",
                ", ".join(env.faults.injected),
                len(env.caller.history),
                checker.check_gap(samples, shares, window, bound),
                f"{bound:.0f} tokens by share",
                f"{gap:.0f}",
            ),
            invariants_row(env, "gap"),
        ]


def starvation_bound_ms(shares: t.Mapping[str, float], tokens: int, rate: float) -> int:
    """Return the longest wait, derived in ``docs/design/fair-service.md``.

    :param shares: share by backlogged customer.
    :param tokens: cost of every request.
    :param rate: tokens per second of all engines together.
    """
    smallest = min(shares.values())
    round_requests = sum(share / smallest for share in shares.values()) + len(shares)
    return int(round_requests * tokens / rate * 1000)


@register_scenario("starvation")
async def prove_no_starvation(directory: pathlib.Path, seed: int) -> list[ReportRow]:
    """Check the longest wait of 2,000 backlogged customers with shares of 1 or 100."""
    shares = {f"c{n:04d}": 100.0 if n < 2 else 1.0 for n in range(2_000)}
    engines, slots, step_ms, tokens = 4, 8, 20.0, 10
    options = {"max_batch": slots, "step_ms": step_ms, "step_per_stream_ms": 0.0}
    plan = small_plan(shares, engines=engines, engine_options=options)
    rate = engines * slots * 1000 / step_ms
    bound_ms = starvation_bound_ms(shares, tokens, rate)
    async with run_environment(plan, directory) as env:
        until = time.monotonic() + bound_ms / 1000 + 6.0

        def call(customer: str, number: int):
            url = env.urls[0 if number % 5 else 1]
            return lambda: env.caller.chat(url, customer, MODEL, tokens)

        load = asyncio.gather(
            *(
                run_closed_loop(call(name, n), 30 if n < 2 else 1, until)
                for n, name in enumerate(shares)
            )
        )
        await asyncio.sleep(until - time.monotonic())
        # Calls that are still waiting count with their waiting time so far.
        end_ms = int(time.time() * 1000)
        waits = oldest_waits(env.caller.history, end_ms)
        violations = [
            Violation("starvation", customer, f"its oldest call waited {waited_ms} ms")
            for customer, waited_ms in waits.items()
            if waited_ms > bound_ms
        ]
        await load
        return [
            ReportRow(
                "starvation",
                f"{len(shares)} customers, shares 1:100",
                "all backlogged all the time",
                len(env.caller.history),
                violations,
                f"{bound_ms} ms",
                f"{max(waits.values())}",
            ),
            invariants_row(env, "starvation"),
        ]


def oldest_waits(calls: list[CallRecord], end_ms: int) -> dict[str, int]:
    """Return for each customer the longest wait of its oldest waiting call.

    A call becomes the oldest when it is sent or when the call before it received
    its first chunk, whichever is later.

    :param end_ms: wall-clock time up to which unanswered calls are counted.
    :return: wait in ms by customer.
    """
    by_customer: dict[str, list[CallRecord]] = {}
    for call in calls:
        if call.sent_ms < end_ms:
            by_customer.setdefault(call.customer, []).append(call)
    waits: dict[str, int] = {}
    for customer, customer_calls in by_customer.items():
        oldest_since_ms = 0
        for call in sorted(customer_calls, key=lambda c: c.first_ms or end_ms):
            served_ms = call.first_ms if 0 < call.first_ms < end_ms else end_ms
            waited_ms = served_ms - max(oldest_since_ms, call.sent_ms)
            waits[customer] = max(waits.get(customer, 0), waited_ms)
            oldest_since_ms = served_ms
    return waits
