"""Fault-injection scenarios that run real processes and check the invariants.

Scenarios register in :data:`SCENARIOS`. Each returns the rows that
``make proof`` prints: the injected faults, the number of calls, the bound, the
measured figure and the violations.
"""

import asyncio
import collections
import contextlib
import pathlib
import random
import signal
import time
import typing as t

import attrs

from snipedeal_standins import checker
from snipedeal_standins.checker import Violation
from snipedeal_standins.faults import FaultInjector
from snipedeal_standins.faults import draw_fault
from snipedeal_standins.fleet import Fleet
from snipedeal_standins.history import CallRecord
from snipedeal_standins.history import RunRecord
from snipedeal_standins.history import read_runs
from snipedeal_standins.load import Caller
from snipedeal_standins.load import run_closed_loop
from snipedeal_standins.plans import FleetPlan
from snipedeal_standins.plans import RouterPlan
from snipedeal_standins.plans import TargetPlan
from snipedeal_standins.plans import customer_record
from snipedeal_standins.plans import service_record

MODEL = "model"
PLAIN = "plain"
PLAIN_PREFIX = "/plain"
#: Time for which a target marked as leaving may still start new work.
LEAVE_GRACE_MS = 4_000
#: Time within which every process must use a published configuration record.
CONFIG_PROPAGATION_LIMIT_MS = 14_000
#: Slots of an engine in :func:`small_plan`.
SLOTS = 4


@attrs.define
class ReportRow:
    """A line of the report.

    :param rule: name of the invariant.
    :param faults: the faults that were injected.
    :param calls: number of calls, or of other checked events.
    :param bound: the bound with its unit.
    :param figure: the measured value, in the same unit.
    """

    rule: str
    scenario: str
    faults: str
    calls: int
    violations: list[Violation]
    bound: str = ""
    figure: str = ""


ScenarioFunction = t.Callable[[pathlib.Path, int], t.Awaitable[list[ReportRow]]]

#: Scenarios by name; each takes a directory for its files and a seed.
SCENARIOS: dict[str, ScenarioFunction] = {}


def register_scenario(name: str) -> t.Callable[[ScenarioFunction], ScenarioFunction]:
    """Register a scenario under a name."""

    def decorate(function: ScenarioFunction) -> ScenarioFunction:
        SCENARIOS[name] = function
        return function

    return decorate


def small_plan(
    customers: t.Mapping[str, float],
    routers: int = 2,
    engines: int = 3,
    plains: int = 1,
    engine_options: dict | None = None,
    **settings: t.Any,
) -> FleetPlan:
    """Return a plan with one model service and one plain service.

    :param customers: share by customer.
    :param engines: number of targets of the model service.
    :param plains: number of targets of the plain service.
    :param settings: further fields of the plan.
    """
    options = {"max_batch": SLOTS, "step_ms": 5.0, **(engine_options or {})}
    records = [
        service_record(MODEL, "openai", idempotent="always", deadline_ms=60_000),
        service_record(PLAIN, "plain", prefix=PLAIN_PREFIX, deadline_ms=30_000),
        *(customer_record(name, share) for name, share in customers.items()),
    ]
    return FleetPlan(
        "here",
        [RouterPlan(f"router-{n}", f"zone-{n % 3}") for n in range(routers)],
        [
            TargetPlan(f"engine-{n}", MODEL, f"zone-{n % 3}", "engine", options)
            for n in range(engines)
        ]
        + [
            TargetPlan(f"plain-{n}", PLAIN, f"zone-{n % 3}", "plain")
            for n in range(plains)
        ],
        records,
        **settings,
    )


@attrs.define(eq=False)
class Environment:
    """A running fleet with its HTTP client and its fault injector."""

    fleet: Fleet
    caller: Caller
    faults: FaultInjector

    @property
    def urls(self) -> list[str]:
        """Base URLs of the routers."""
        return self.fleet.router_urls

    def runs(self) -> list[RunRecord]:
        """Return the events that the targets recorded."""
        names = [target.name for target in self.fleet.plan.targets]
        return read_runs({name: self.fleet.record_path(name) for name in names})

    def dead_routers(self) -> list[str]:
        """Return the URLs of routers that were killed or shut down."""
        return [self.fleet.url(name) for name in self.faults.dead_routers]

    def check_invariants(self) -> list[Violation]:
        """Return the violations of the invariants that hold in every scenario."""
        calls = self.caller.history
        runs = self.runs()
        return [
            *checker.check_answers(calls, self.dead_routers()),
            *checker.check_not_run(calls, runs),
            *checker.check_at_most_once(calls, runs),
            *checker.check_leaving(self.faults.leaving_intervals, runs, LEAVE_GRACE_MS),
        ]


@contextlib.asynccontextmanager
async def run_environment(
    plan: FleetPlan, directory: pathlib.Path, relayed: t.Collection[str] = ()
) -> t.AsyncIterator[Environment]:
    """Run a fleet while the context is open.

    :param plan: routers, targets and configuration to run.
    :param directory: directory for the files of the fleet.
    :param relayed: names of processes behind TCP proxies.
    """
    fleet = Fleet(plan, directory, relayed)
    try:
        await fleet.start()
        yield Environment(fleet, Caller(fleet.session), FaultInjector(fleet))
    finally:
        await fleet.close()


# -- invariants under pairs of faults -----------------------------------------


async def run_two_faults(directory: pathlib.Path, seed: int) -> list[ReportRow]:
    """Run a mixed load under two random faults.

    :param seed: selects the faults, their subjects, start times and durations.
    :return: a row for each invariant.
    """
    rng = random.Random(seed)
    customers = {"large": 3.0, "small": 1.0, "clerk": 1.0}
    plan = small_plan(customers)
    names = [r.name for r in plan.routers]
    names += [t.name for t in plan.targets if t.kind == "engine"]
    async with run_environment(plan, directory, names) as env:
        chosen_faults = [draw_fault(rng, env.fleet) for _ in range(2)]
        delays_s = sorted(rng.uniform(0.5, 3.0) for _ in chosen_faults)
        durations_s = [rng.choice([0.5, 2.0, 5.0]) for _ in chosen_faults]
        until = time.monotonic() + 9.0
        await asyncio.gather(
            *_mixed_load(env, until),
            *(
                inject_fault_after(env, delay_s, name, subject, duration_s)
                for delay_s, (name, subject), duration_s in zip(
                    delays_s, chosen_faults, durations_s, strict=True
                )
            ),
        )
        violations = env.check_invariants()
        faults = ", ".join(env.faults.injected)
        rows = []
        for rule in ("whole", "not_run", "at_most_once", "leaving"):
            rule_violations = [v for v in violations if v.rule == rule]
            row = ReportRow(
                rule,
                f"two faults, seed {seed}",
                faults,
                len(env.caller.history),
                rule_violations,
            )
            row.bound, row.figure = (
                "0",
                f"{len(rule_violations)} ({outcome_summary(env)})",
            )
            rows.append(row)
        return rows


def _mixed_load(env: Environment, until: float) -> list[t.Awaitable[None]]:
    numbers = iter(range(1_000_000))

    def chat(customer: str, router: int, tokens: int, is_streamed: bool):
        return lambda: env.caller.chat(
            env.urls[router], customer, MODEL, tokens, is_streamed=is_streamed
        )

    async def publish() -> CallRecord:
        key = f"key-{next(numbers)}"
        first = _send_publication(env, 0, key)
        again = _send_publication(env, 1, key)
        records = await asyncio.gather(first, again)
        return records[0]

    return [
        run_closed_loop(chat("large", 0, 120, True), 10, until),
        run_closed_loop(chat("small", 1, 10, False), 3, until),
        run_closed_loop(publish, 1, until),
    ]


def _send_publication(
    env: Environment, router: int, key: str
) -> t.Awaitable[CallRecord]:
    return env.caller.plain(
        env.urls[router],
        "clerk",
        PLAIN,
        "POST",
        f"{PLAIN_PREFIX}/publications",
        key.encode(),
        "publication",
        key=key,
    )


async def inject_fault_after(
    env: Environment, delay_s: float, name: str, subject: str, duration_s: float
) -> None:
    """Inject a fault after ``delay_s`` seconds."""
    await asyncio.sleep(delay_s)
    await env.faults.inject(name, subject, duration_s)


# -- leaving and shutdown --------------------------------------------------------


@register_scenario("leaving")
async def prove_leaving(directory: pathlib.Path, seed: int) -> list[ReportRow]:
    """Mark targets as leaving, then live, with the VM list delayed or cut off."""
    plan = small_plan({"one": 1.0, "two": 1.0})
    names = [r.name for r in plan.routers] + [t.name for t in plan.targets]
    async with run_environment(plan, directory, names) as env:
        fleet = env.fleet
        until = time.monotonic() + 22.0
        load = asyncio.gather(*_two_customer_load(env, until))
        await fleet.control_vms(lag_ms=1_000)
        await env.faults.inject("target-leave", "engine-0", 6.0)
        await env.faults.inject("agent-list-cut", "engine-1", 6.0)
        await fleet.control_relay("router-0", "vms", "cut")
        await env.faults.inject("agent-list-cut", "engine-2", 6.0)
        await fleet.control_relay("router-0", "vms", "pass")
        await load
        violations = env.check_invariants()
        latest_ms = _latest_start_ms(env)
        leaving_violations = [v for v in violations if v.rule == "leaving"]
        other_violations = [v for v in violations if v.rule != "leaving"]
        return [
            ReportRow(
                "leaving",
                "list lags 1 s; agent, then agent and router cut from it",
                ", ".join(env.faults.injected),
                len(env.caller.history),
                leaving_violations,
                f"{LEAVE_GRACE_MS} ms",
                f"{latest_ms}",
            ),
            ReportRow(
                "whole",
                "leaving",
                "as above",
                len(env.caller.history),
                other_violations,
            ),
        ]


def _latest_start_ms(env: Environment) -> int:
    """Return the longest time from leaving to a start of new work, in ms."""
    latest_ms = 0
    runs = env.runs()
    for interval in env.faults.leaving_intervals:
        for run in runs:
            is_inside = interval.from_ms < run.time_ms < interval.to_ms
            if run.event == "start" and run.target == interval.target and is_inside:
                latest_ms = max(latest_ms, run.time_ms - interval.from_ms)
    return latest_ms


def _two_customer_load(env: Environment, until: float) -> list[t.Awaitable[None]]:
    def call(customer: str, router: int, tokens: int):
        return lambda: env.caller.chat(env.urls[router], customer, MODEL, tokens)

    return [
        run_closed_loop(call("one", 0, 60), 8, until),
        run_closed_loop(call("two", 1, 30), 8, until),
    ]


@register_scenario("shutdown")
async def prove_shutdown(directory: pathlib.Path, seed: int) -> list[ReportRow]:
    """Send SIGTERM to an agent, a router, and one of each at once, under load."""
    plan = small_plan({"one": 1.0, "two": 1.0}, routers=3)
    rows = []
    async with run_environment(plan, directory) as env:
        for names in (["engine-0"], ["router-0"], ["router-1", "engine-1"]):
            before = len(env.caller.history)
            until = time.monotonic() + 3.0
            load = asyncio.gather(*_long_stream_load(env, until))
            await asyncio.sleep(1.0)
            for name in names:
                env.fleet.signal(name, signal.SIGTERM)
            await load
            statuses = [await env.fleet.wait_exit(name) for name in names]
            calls = env.caller.history[before:]
            violations = checker.check_shutdown(calls, env.runs())
            for name in names:
                env.faults.dead_routers.add(name)
                lines = env.fleet.children[name].log_path.read_text().splitlines()
                violations += checker.check_accepted_requests_ended(name, lines)
            violations += [
                Violation("shutdown", name, f"exit status {status}")
                for name, status in zip(names, statuses, strict=True)
                if status
            ]
            rows.append(
                ReportRow(
                    "shutdown",
                    f"SIGTERM to {' and '.join(names)}",
                    "long streams open",
                    len(calls),
                    violations,
                    "0 cut off",
                    str(len(violations)),
                )
            )
            for name in names:
                await env.fleet.restart(name)
            await env.fleet.wait_ready(names)
        rows.append(invariants_row(env, "shutdown"))
    return rows


def _long_stream_load(env: Environment, until: float) -> list[t.Awaitable[None]]:
    def call(customer: str, router: int):
        return lambda: env.caller.chat(
            env.urls[router], customer, MODEL, 250, is_streamed=router != 2
        )

    return [
        run_closed_loop(call("one", 0), 6, until),
        run_closed_loop(call("two", 1), 6, until),
        run_closed_loop(call("two", 2), 2, until),
    ]


def invariants_row(env: Environment, scenario: str) -> ReportRow:
    """Return the row for the invariants that hold in every scenario."""
    violations = env.check_invariants()
    return ReportRow(
        "whole",
        scenario,
        ", ".join(env.faults.injected),
        len(env.caller.history),
        violations,
        "0 violations",
        f"{len(violations)} ({outcome_summary(env)})",
    )


def outcome_summary(env: Environment) -> str:
    """Return the number of calls by outcome and error code, most frequent first."""
    counts = collections.Counter(
        f"{call.outcome} {call.code}".strip() for call in env.caller.history
    )
    return ", ".join(f"{count} {name}" for name, count in counts.most_common())
