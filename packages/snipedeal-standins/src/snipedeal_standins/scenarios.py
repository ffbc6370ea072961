"""Runs of real processes under faults, judged by the checker.

Scenarios register in :data:`SCENARIOS`. Each returns the rows that
``make proof`` prints: what was brought about, how many calls there were, the
bound and the figure that was seen, and the violations.
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
from snipedeal_standins.faults import Faults
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
LEAVE_GRACE_MS = 4_000
CONFIG_LIMIT_MS = 14_000
SLOTS = 4


@attrs.define
class Row:
    """One line of the proof.

    :param rule: the property.
    :param faults: what was brought about.
    :param bound: the bound with its unit.
    :param figure: what was seen, in the same unit.
    """

    rule: str
    scenario: str
    faults: str
    calls: int
    violations: list[Violation]
    bound: str = ""
    figure: str = ""


ScenarioFunction = t.Callable[[pathlib.Path, int], t.Awaitable[list[Row]]]

#: Scenarios by name; each takes a directory and a seed.
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
class Stage:
    """A running fleet, its callers and its faults."""

    fleet: Fleet
    caller: Caller
    faults: Faults

    @property
    def urls(self) -> list[str]:
        """Base URLs of the routers."""
        return self.fleet.router_urls

    def runs(self) -> list[RunRecord]:
        """Return the targets' records."""
        names = [target.name for target in self.fleet.plan.targets]
        return read_runs({name: self.fleet.record_path(name) for name in names})

    def dead_routers(self) -> list[str]:
        """Return the URLs of routers that were killed or shut down."""
        return [self.fleet.url(name) for name in self.faults.dead_routers]

    def judge(self) -> list[Violation]:
        """Return what breaks the properties that every run must keep."""
        calls = self.caller.history
        runs = self.runs()
        return [
            *checker.check_answers(calls, self.dead_routers()),
            *checker.check_not_run(calls, runs),
            *checker.check_at_most_once(calls, runs),
            *checker.check_leaving(self.faults.leavings, runs, LEAVE_GRACE_MS),
        ]


@contextlib.asynccontextmanager
async def staged(
    plan: FleetPlan, directory: pathlib.Path, relayed: t.Collection[str] = ()
) -> t.AsyncIterator[Stage]:
    """Run a fleet for the length of a block.

    :param plan: what to run.
    :param directory: where its files go.
    :param relayed: processes behind relays.
    """
    fleet = Fleet(plan, directory, relayed)
    try:
        await fleet.start()
        yield Stage(fleet, Caller(fleet.session), Faults(fleet))
    finally:
        await fleet.close()


# -- whole answers, not run, at most once, under pairs of faults --------------


async def run_two_faults(directory: pathlib.Path, seed: int) -> list[Row]:
    """Put a mixed load through two faults drawn from a seed.

    :return: a row for each property that was judged.
    """
    chance = random.Random(seed)
    customers = {"large": 3.0, "small": 1.0, "clerk": 1.0}
    plan = small_plan(customers)
    names = [r.name for r in plan.routers]
    names += [t.name for t in plan.targets if t.kind == "engine"]
    async with staged(plan, directory, names) as stage:
        chosen = [draw_fault(chance, stage.fleet) for _ in range(2)]
        moments = sorted(chance.uniform(0.5, 3.0) for _ in chosen)
        holds = [chance.choice([0.5, 2.0, 5.0]) for _ in chosen]
        until = time.monotonic() + 9.0
        await asyncio.gather(
            *_mixed_load(stage, until),
            *(
                fault_later(stage, moment, name, subject, hold)
                for moment, (name, subject), hold in zip(
                    moments, chosen, holds, strict=True
                )
            ),
        )
        violations = stage.judge()
        faults = ", ".join(stage.faults.brought_about)
        rows = []
        for rule in ("whole", "not_run", "at_most_once", "leaving"):
            mine = [v for v in violations if v.rule == rule]
            row = Row(
                rule,
                f"two faults, seed {seed}",
                faults,
                len(stage.caller.history),
                mine,
            )
            row.bound, row.figure = "0", f"{len(mine)} ({outcomes(stage)})"
            rows.append(row)
        return rows


def _mixed_load(stage: Stage, until: float) -> list[t.Awaitable[None]]:
    numbers = iter(range(1_000_000))

    def chat(customer: str, router: int, tokens: int, is_streamed: bool):
        return lambda: stage.caller.chat(
            stage.urls[router], customer, MODEL, tokens, is_streamed=is_streamed
        )

    async def publish() -> CallRecord:
        key = f"key-{next(numbers)}"
        first = _publication(stage, 0, key)
        again = _publication(stage, 1, key)
        records = await asyncio.gather(first, again)
        return records[0]

    return [
        run_closed_loop(chat("large", 0, 120, True), 10, until),
        run_closed_loop(chat("small", 1, 10, False), 3, until),
        run_closed_loop(publish, 1, until),
    ]


def _publication(stage: Stage, router: int, key: str) -> t.Awaitable[CallRecord]:
    return stage.caller.plain(
        stage.urls[router],
        "clerk",
        PLAIN,
        "POST",
        f"{PLAIN_PREFIX}/publications",
        key.encode(),
        "publication",
        key=key,
    )


async def fault_later(
    stage: Stage, moment: float, name: str, subject: str, hold_s: float
) -> None:
    """Bring a fault about some seconds from now."""
    await asyncio.sleep(moment)
    await stage.faults.bring_about(name, subject, hold_s)


# -- leaving and shutdown --------------------------------------------------------


@register_scenario("leaving")
async def prove_leaving(directory: pathlib.Path, seed: int) -> list[Row]:
    """Let targets leave under a lagging list, cut off, and come back."""
    plan = small_plan({"one": 1.0, "two": 1.0})
    names = [r.name for r in plan.routers] + [t.name for t in plan.targets]
    async with staged(plan, directory, names) as stage:
        fleet = stage.fleet
        until = time.monotonic() + 22.0
        load = asyncio.gather(*_two_customers(stage, until))
        await fleet.control_vms(lag_ms=1_000)
        await stage.faults.bring_about("target-leave", "engine-0", 6.0)
        await stage.faults.bring_about("agent-list-cut", "engine-1", 6.0)
        await fleet.control_relay("router-0", "vms", "cut")
        await stage.faults.bring_about("agent-list-cut", "engine-2", 6.0)
        await fleet.control_relay("router-0", "vms", "pass")
        await load
        violations = stage.judge()
        late = _latest_start(stage)
        mine = [v for v in violations if v.rule == "leaving"]
        others = [v for v in violations if v.rule != "leaving"]
        return [
            Row(
                "leaving",
                "list lags 1 s; agent, then agent and router cut from it",
                ", ".join(stage.faults.brought_about),
                len(stage.caller.history),
                mine,
                f"{LEAVE_GRACE_MS} ms",
                f"{late}",
            ),
            Row("whole", "leaving", "as above", len(stage.caller.history), others),
        ]


def _latest_start(stage: Stage) -> int:
    """Return how long after leaving the last new work started, in ms."""
    late = 0
    runs = stage.runs()
    for leaving in stage.faults.leavings:
        for run in runs:
            is_inside = leaving.from_ms < run.time_ms < leaving.to_ms
            if run.event == "start" and run.target == leaving.target and is_inside:
                late = max(late, run.time_ms - leaving.from_ms)
    return late


def _two_customers(stage: Stage, until: float) -> list[t.Awaitable[None]]:
    def call(customer: str, router: int, tokens: int):
        return lambda: stage.caller.chat(stage.urls[router], customer, MODEL, tokens)

    return [
        run_closed_loop(call("one", 0, 60), 8, until),
        run_closed_loop(call("two", 1, 30), 8, until),
    ]


@register_scenario("shutdown")
async def prove_shutdown(directory: pathlib.Path, seed: int) -> list[Row]:
    """End a router, an agent, and both at once, under load."""
    plan = small_plan({"one": 1.0, "two": 1.0}, routers=3)
    rows = []
    async with staged(plan, directory) as stage:
        for names in (["engine-0"], ["router-0"], ["router-1", "engine-1"]):
            before = len(stage.caller.history)
            until = time.monotonic() + 3.0
            load = asyncio.gather(*_long_streams(stage, until))
            await asyncio.sleep(1.0)
            for name in names:
                stage.fleet.signal(name, signal.SIGTERM)
            await load
            statuses = [await stage.fleet.wait_exit(name) for name in names]
            calls = stage.caller.history[before:]
            violations = checker.check_shutdown(calls, stage.runs())
            for name in names:
                stage.faults.dead_routers.add(name)
                lines = stage.fleet.children[name].log_path.read_text().splitlines()
                violations += checker.check_all_ended(name, lines)
            violations += [
                Violation("shutdown", name, f"exit status {status}")
                for name, status in zip(names, statuses, strict=True)
                if status
            ]
            rows.append(
                Row(
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
                await stage.fleet.restart(name)
            await stage.fleet.wait_ready(names)
        rows.append(answers_row(stage, "shutdown"))
    return rows


def _long_streams(stage: Stage, until: float) -> list[t.Awaitable[None]]:
    def call(customer: str, router: int):
        return lambda: stage.caller.chat(
            stage.urls[router], customer, MODEL, 250, is_streamed=router != 2
        )

    return [
        run_closed_loop(call("one", 0), 6, until),
        run_closed_loop(call("two", 1), 6, until),
        run_closed_loop(call("two", 2), 2, until),
    ]


def answers_row(stage: Stage, scenario: str) -> Row:
    """Return the row of the properties that every run must keep."""
    violations = stage.judge()
    return Row(
        "whole",
        scenario,
        ", ".join(stage.faults.brought_about),
        len(stage.caller.history),
        violations,
        "0 violations",
        f"{len(violations)} ({outcomes(stage)})",
    )


def outcomes(stage: Stage) -> str:
    """Return how many calls had which outcome."""
    outcomes = collections.Counter(
        f"{call.outcome} {call.code}".strip() for call in stage.caller.history
    )
    return ", ".join(f"{count} {name}" for name, count in outcomes.most_common())
