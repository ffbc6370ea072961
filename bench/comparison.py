"""Compare the fleet with naive routers by the users' three measures, in one run."""

import asyncio
import pathlib
import random
import sys
import time
import typing as t

import attrs

from snipedeal_standins.fairness_scenarios import gap_bound
from snipedeal_standins.fleet import Fleet
from snipedeal_standins.fleet import free_port
from snipedeal_standins.history import read_runs
from snipedeal_standins.load import Caller
from snipedeal_standins.load import run_closed_loop
from snipedeal_standins.measures import fairness_gap
from snipedeal_standins.measures import service_samples
from snipedeal_standins.scenarios import MODEL
from snipedeal_standins.scenarios import SLOTS
from snipedeal_standins.scenarios import small_plan

SHARES = {"flood": 1.0, "steady": 1.0, "uneven": 1.0, "double": 2.0}
#: Tokens of the answers, drawn at random.
COSTS = (10, 20, 40, 80, 160, 300)
ENGINES = 3
ROUTERS = 3


@attrs.frozen
class Measures:
    """The three measures of one run: fairness gap, utilisation, control traffic.

    :param gap: fairness gap, in tokens divided by share.
    :param utilisation: fraction of the slot time that is busy while work is queued.
    :param control_bytes_s: control bytes per second that a node sends; 0 for the
        naive version, which sends none.
    :param calls: number of calls sent.
    :param gap_curve: points of time in seconds, and tokens divided by share for
        each customer.
    """

    gap: float
    utilisation: float
    control_bytes_s: float
    calls: int
    gap_curve: list[t.Any]


async def compare(directory: pathlib.Path, seconds: float) -> dict[str, t.Any]:
    """Return the measures of both versions and the derived bound of the gap."""
    engine_rate = SLOTS * 1000 / (5.0 + 0.25 * (SLOTS - 1))
    bound = gap_bound(ENGINES, SLOTS, float(max(COSTS)), engine_rate, 0.5)
    fleet = await _measure_fleet(directory / "fleet", seconds)
    naive = await _measure_naive(directory / "naive", seconds)
    return {
        "bound": bound,
        "fleet": attrs.asdict(fleet),
        "naive": attrs.asdict(naive),
        "gap_ratio": fleet.gap / naive.gap if naive.gap else 0.0,
    }


async def _measure_fleet(directory: pathlib.Path, seconds: float) -> Measures:
    fleet = Fleet(small_plan(SHARES, routers=ROUTERS, engines=ENGINES), directory)
    try:
        await fleet.start()
        before = await _control_bytes(fleet)
        result = await _run_load(fleet, fleet.router_urls, seconds)
        after = await _control_bytes(fleet)
        return attrs.evolve(result, control_bytes_s=(after - before) / seconds)
    finally:
        await fleet.close()


async def _measure_naive(directory: pathlib.Path, seconds: float) -> Measures:
    fleet = Fleet(small_plan(SHARES, routers=0, engines=ENGINES), directory)
    try:
        await fleet.start()
        targets = ",".join(fleet.target_url(f"engine-{n}") for n in range(ENGINES))
        urls = []
        processes = []
        for _ in range(ROUTERS):
            port = free_port()
            slots = str(max(1, SLOTS // ROUTERS + 1))
            processes.append(
                await asyncio.create_subprocess_exec(
                    sys.executable,
                    str(pathlib.Path(__file__).with_name("naive.py")),
                    "--http",
                    f"127.0.0.1:{port}",
                    "--targets",
                    targets,
                    "--slots",
                    slots,
                )
            )
            urls.append(f"http://127.0.0.1:{port}")
        try:
            await asyncio.sleep(2.0)
            return await _run_load(fleet, urls, seconds)
        finally:
            for process in processes:
                process.kill()
                await process.wait()
    finally:
        await fleet.close()


async def _run_load(fleet: Fleet, urls: list[str], seconds: float) -> Measures:
    """Keep all customers backlogged, unevenly across the routers, and measure."""
    rng = random.Random(5)
    caller = Caller(fleet.session)
    end_s = time.monotonic() + seconds
    started_ms = int(time.time() * 1000)

    def call(customer: str, routers: list[int]) -> t.Any:
        return lambda: caller.chat(
            urls[rng.choice(routers)], customer, MODEL, rng.choice(COSTS)
        )

    load = asyncio.gather(
        run_closed_loop(call("flood", [0, 1]), 60, end_s),
        run_closed_loop(call("steady", [0]), 16, end_s),
        run_closed_loop(call("uneven", [2]), 16, end_s),
        run_closed_loop(call("double", [0, 1, 2]), 24, end_s),
    )
    await asyncio.sleep(2.0)
    before = await _busy_ms(fleet)
    measured_from_s = time.monotonic()
    await asyncio.sleep(seconds - 3.0)
    busy_ms = await _busy_ms(fleet) - before
    elapsed_ms = (time.monotonic() - measured_from_s) * 1000
    await load
    names = [f"engine-{n}" for n in range(ENGINES)]
    runs = read_runs({name: fleet.record_path(name) for name in names})
    samples = service_samples(runs, 250, set(names))
    window = (started_ms + 2_000, started_ms + int(seconds * 1000) - 500)
    curve = [
        [
            (sample.time_ms - started_ms) / 1000,
            {name: sample.units.get(name, 0) / share for name, share in SHARES.items()},
        ]
        for sample in samples
        if window[0] <= sample.time_ms <= window[1]
    ]
    return Measures(
        fairness_gap(samples, SHARES, *window),
        busy_ms / (elapsed_ms * ENGINES * SLOTS),
        0.0,
        len(caller.history),
        curve,
    )


async def _busy_ms(fleet: Fleet) -> float:
    loads = [await fleet.engine_load(f"engine-{n}") for n in range(ENGINES)]
    return sum(load["busy_ms"] for load in loads)


async def _control_bytes(fleet: Fleet) -> float:
    """Return the mean number of control bytes sent per node."""
    names = [router.name for router in fleet.plan.routers]
    names += [target.name for target in fleet.plan.targets if target.kind == "engine"]
    statuses = [await fleet.status(name) for name in names]
    return sum(status["control_bytes_sent"] for status in statuses) / len(statuses)
