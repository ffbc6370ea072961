"""Measure how long configuration takes to apply and goodput to recover from faults."""

import asyncio
import pathlib
import time
import typing as t

from snipedeal_standins.faults import FaultInjector
from snipedeal_standins.fleet import Fleet
from snipedeal_standins.history import WHOLE
from snipedeal_standins.load import Caller
from snipedeal_standins.load import run_closed_loop
from snipedeal_standins.plans import customer_record
from snipedeal_standins.scenarios import MODEL
from snipedeal_standins.scenarios import small_plan

_BUCKET_MS = 500
_RECOVERED_FRACTION = 0.9
_POLL_S = 0.02


async def measure_configuration(
    directory: pathlib.Path, singles: int, burst: int
) -> dict[str, t.Any]:
    """Return the time in ms until records are in force in every process.

    :param singles: number of records that are appended and timed one by one.
    :param burst: number of records that are appended and timed together.
    """
    plan = small_plan({"one": 1.0}, routers=2, engines=3)
    fleet = Fleet(plan, directory)
    try:
        await fleet.start()
        offset = (await fleet.status("router-0"))["config_offset"]
        times_ms = []
        for number in range(singles):
            times_ms.append(await _time_records(fleet, [f"single-{number}"], offset))
            offset += 1
        names = [f"burst-{number}" for number in range(burst)]
        burst_ms = await _time_records(fleet, names, offset)
        return {"single_ms": times_ms, "burst_records": burst, "burst_ms": burst_ms}
    finally:
        await fleet.close()


async def _time_records(fleet: Fleet, names: list[str], offset: int) -> float:
    """Append records; return the time in ms until all processes applied the last."""
    url = f"{fleet.log_url}/streams/config/records"
    started = time.monotonic()
    for name in names:
        record = {"id": name, "base_revision": None, **customer_record(name)}
        async with fleet.session.post(url, json=record) as answer:
            answer.raise_for_status()
    wanted = offset + len(names)
    nodes = [router.name for router in fleet.plan.routers]
    nodes += [target.name for target in fleet.plan.targets]
    while True:
        statuses = await asyncio.gather(*(fleet.status(name) for name in nodes))
        if all(s.get("config_offset", -1) >= wanted for s in statuses):
            return (time.monotonic() - started) * 1000
        await asyncio.sleep(_POLL_S)


async def measure_recovery(
    directory: pathlib.Path, names: t.Sequence[str]
) -> list[dict[str, t.Any]]:
    """Return for each fault how far and how long goodput fell below its baseline."""
    rows = []
    for name in names:
        plan = small_plan({"one": 1.0, "two": 1.0}, routers=3, engines=6)
        fleet = Fleet(plan, directory / name, [f"engine-{n}" for n in range(6)])
        try:
            await fleet.start()
            rows.append(await _measure_fault(fleet, name))
        finally:
            await fleet.close()
    return rows


async def _measure_fault(fleet: Fleet, name: str) -> dict[str, t.Any]:
    caller = Caller(fleet.session)
    end_s = time.monotonic() + 14.0

    def call(customer: str, router: int) -> t.Any:
        return lambda: caller.chat(fleet.router_urls[router], customer, MODEL, 30)

    load = asyncio.gather(
        run_closed_loop(call("one", 0), 20, end_s),
        run_closed_loop(call("two", 1), 20, end_s),
    )
    await asyncio.sleep(4.0)
    fault_ms = int(time.time() * 1000)
    await _inject_fault(fleet, name)
    await load
    return {"fault": name, **_summarize_recovery(caller, fault_ms)}


async def _inject_fault(fleet: Fleet, name: str) -> None:
    faults = FaultInjector(fleet)
    if name == "zone":
        # Kills at once the engines of zone-0, their agents and a router that receives
        # no load, and restarts them 1 s later.
        members = ["router-2", "engine-0", "engine-3"]
        members += [f"{engine}/target" for engine in members[1:]]
        await asyncio.gather(*(fleet.kill(member) for member in members))
        await asyncio.sleep(1.0)
        await asyncio.gather(*(fleet.restart(member) for member in members))
        return
    subject = {"router-kill": "router-2", "log-out": "platform"}.get(name, "engine-0")
    await faults.inject(name, subject, 1.0)


def _summarize_recovery(caller: Caller, fault_ms: int) -> dict[str, t.Any]:
    """Return the lowest goodput after the fault and the time until it recovers.

    The baseline is the mean of the 2 s before the fault. Goodput has recovered when
    two consecutive buckets together reach 90% of it.
    """
    tokens: dict[int, int] = {}
    for call in caller.history:
        if call.outcome == WHOLE:
            bucket = (call.done_ms - fault_ms) // _BUCKET_MS
            tokens[bucket] = tokens.get(bucket, 0) + call.tokens
    baseline_buckets = [tokens.get(bucket, 0) for bucket in range(-4, 0)]
    baseline = sum(baseline_buckets) / len(baseline_buckets)
    after = [tokens.get(bucket, 0) for bucket in range(18)]
    low_buckets = [
        n
        for n, count in enumerate(after[:16])
        if count < _RECOVERED_FRACTION * baseline
    ]
    recovered_buckets = [
        n
        for n in range(16)
        if sum(after[n : n + 2]) >= _RECOVERED_FRACTION * 2 * baseline
    ]
    return {
        "usual_tokens_s": baseline * 1000 / _BUCKET_MS,
        "lowest_share": min(after[:16]) / baseline if baseline else 0.0,
        "low_buckets": len(low_buckets),
        "back_after_ms": recovered_buckets[0] * _BUCKET_MS if recovered_buckets else -1,
        "calls": len(caller.history),
        "not_whole": sum(call.outcome != WHOLE for call in caller.history),
    }
