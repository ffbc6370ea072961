"""Demo of the users' two deployments at a small scale, under a mixed load.

The exit status is 0 if every call got its own complete response or a refusal, no
call refused as not run was executed, and no call with an idempotency key was
executed twice; otherwise it is 1.
"""

import asyncio
import pathlib
import random
import shutil
import sys
import tempfile
import time

import attrs

from snipedeal_standins import checker
from snipedeal_standins.fleet import Fleet
from snipedeal_standins.history import WHOLE
from snipedeal_standins.history import CallRecord
from snipedeal_standins.history import read_runs
from snipedeal_standins.load import Caller
from snipedeal_standins.load import run_closed_loop
from snipedeal_standins.measures import fairness_gap
from snipedeal_standins.measures import percentile
from snipedeal_standins.measures import service_samples
from snipedeal_standins.plans import FleetPlan
from snipedeal_standins.plans import midlands
from snipedeal_standins.plans import shares_by_customer
from snipedeal_standins.plans import uwazi

_LOAD_S = 12.0
_WARM_UP_S = 2.0
_SEED = 11


@attrs.define(eq=False)
class Deployment:
    """A fleet of the demo with its caller and the time span of the load."""

    title: str
    model: str
    plain: str
    prefix: str
    fleet: Fleet
    caller: Caller | None = None
    started_ms: int = 0
    ended_ms: int = 0


async def run_demo() -> int:
    """Run the demo and return its exit status."""
    directory = pathlib.Path(tempfile.mkdtemp(prefix="snipedeal-demo-"))
    deployments = [
        _make_deployment(
            "Uwazi Council Data Portal", uwazi(), "/daftari", directory / "uwazi"
        ),
        _make_deployment(
            "Association Relay", midlands(), "/sched", directory / "midlands"
        ),
    ]
    try:
        print("starting stand-ins, routers and agents of both deployments")
        await asyncio.gather(*(d.fleet.start() for d in deployments))
        print("configuration is in force; sending load")
        await asyncio.gather(*(_send_load(d) for d in deployments))
        violations = [v for d in deployments for v in await _report(d)]
    finally:
        await asyncio.gather(*(d.fleet.close() for d in deployments))
        shutil.rmtree(directory, ignore_errors=True)
    for violation in violations:
        print(f"VIOLATION {violation.rule} {violation.subject}: {violation.detail}")
    print(
        "all processes are stopped;", "FAILED" if violations else "all calls answered"
    )
    return 1 if violations else 0


def _make_deployment(
    title: str, plan: FleetPlan, prefix: str, directory: pathlib.Path
) -> Deployment:
    services = [r["name"] for r in plan.records if r["kind"] == "service"]
    return Deployment(title, *services, prefix, Fleet(plan, directory))


async def _send_load(deployment: Deployment) -> None:
    """Send a mixed load: three large customers with 14 workers, others with 3."""
    fleet = deployment.fleet
    caller = Caller(fleet.session)
    deployment.caller = caller
    customers = list(shares_by_customer(fleet.plan))
    rng = random.Random(_SEED)
    deadline = time.monotonic() + _LOAD_S
    deployment.started_ms = int(time.time() * 1000)
    loops = []
    for number, customer in enumerate(customers):
        url = fleet.router_urls[number % len(fleet.router_urls)]
        workers = 14 if number < 3 else 3
        loops.append(
            run_closed_loop(
                _mixed_call(deployment, customer, url, number, rng), workers, deadline
            )
        )
    progress = asyncio.create_task(_print_progress(deployment, deadline))
    await asyncio.gather(*loops, _publish_datasets(deployment, customers[0]))
    deployment.ended_ms = int(time.time() * 1000)
    await progress


def _mixed_call(
    deployment: Deployment, customer: str, url: str, number: int, rng: random.Random
):
    """Return a coroutine function that sends the next call of a customer."""
    caller = deployment.caller

    async def call() -> CallRecord:
        draw = rng.random()
        if number < 3 or draw < 0.2:
            tokens = rng.randint(80, 200)
            return await caller.chat(url, customer, deployment.model, tokens, "summary")
        if draw < 0.85:
            tokens = rng.randint(4, 16)
            return await caller.chat(
                url, customer, deployment.model, tokens, "label", is_streamed=False
            )
        path = f"{deployment.prefix}/records/{number}"
        return await caller.plain(url, customer, deployment.plain, "GET", path)

    return call


async def _publish_datasets(deployment: Deployment, customer: str) -> None:
    """Publish five datasets, one of them through every router with the same key."""
    caller = deployment.caller
    urls = deployment.fleet.router_urls
    path = f"{deployment.prefix}/publications"
    for number in range(5):
        body = f"dataset {number}".encode()
        for url in urls if number == 2 else urls[:1]:
            await caller.plain(
                url,
                customer,
                deployment.plain,
                "POST",
                path,
                body,
                "publication",
                key=f"publication-{number}",
            )


async def _print_progress(deployment: Deployment, deadline: float) -> None:
    while time.monotonic() < deadline:
        await asyncio.sleep(3)
        done = [call for call in deployment.caller.history if call.done_ms]
        print(f"{deployment.title}: {len(done)} calls answered")


async def _report(deployment: Deployment) -> list[checker.Violation]:
    fleet = deployment.fleet
    history = deployment.caller.history
    runs = read_runs({t.name: fleet.record_path(t.name) for t in fleet.plan.targets})
    _print_table(deployment, history)
    await _print_measures(deployment, runs)
    return [
        *checker.check_answers(history),
        *checker.check_not_run(history, runs),
        *checker.check_at_most_once(history, runs),
    ]


def _print_table(deployment: Deployment, history: list[CallRecord]) -> None:
    print(f"\n{deployment.title}")
    print(
        f"{'customer':<16}{'requests':>9}{'whole':>7}{'refused':>8}{'tokens':>8}"
        f"{'share':>7}{'p50 ms':>8}{'p95 ms':>8}"
    )
    for customer, share in shares_by_customer(deployment.fleet.plan).items():
        calls = [call for call in history if call.customer == customer]
        whole = [call for call in calls if call.outcome == WHOLE]
        ttft_ms = [call.first_ms - call.sent_ms for call in whole if call.first_ms]
        print(
            f"{customer:<16}{len(calls):>9}{len(whole):>7}{len(calls) - len(whole):>8}"
            f"{sum(call.tokens for call in whole):>8}{share:>7.1f}"
            f"{percentile(ttft_ms, 50):>8.0f}{percentile(ttft_ms, 95):>8.0f}"
        )


async def _print_measures(deployment: Deployment, runs: list) -> None:
    fleet = deployment.fleet
    engines = [t.name for t in fleet.plan.targets if t.kind == "engine"]
    samples = service_samples(runs, 250, set(engines))
    large = dict(list(shares_by_customer(fleet.plan).items())[:3])
    window = (deployment.started_ms + int(_WARM_UP_S * 1000), deployment.ended_ms)
    gap = fairness_gap(samples, large, *window)
    loads = [await fleet.engine_load(name) for name in engines]
    used = sum(load["busy_ms"] for load in loads)
    offered = sum(load["slot_ms"] for load in loads)
    seconds = (deployment.ended_ms - deployment.started_ms) / 1000
    control = []
    for name in [*engines, *(router.name for router in fleet.plan.routers)]:
        status = await fleet.status(name)
        control.append(status["control_bytes_sent"] / seconds)
    print(
        f"fairness gap of the large customers {gap:.0f} tokens by share, "
        f"utilisation {100 * used / max(1.0, offered):.1f}% of busy engines' slots, "
        f"control {sum(control) / len(control):.0f} B/s a node"
    )


def main() -> None:
    """Run the demo."""
    sys.exit(asyncio.run(run_demo()))


if __name__ == "__main__":
    main()
