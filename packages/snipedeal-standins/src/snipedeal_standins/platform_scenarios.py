"""Scenarios of idempotency, configuration, crashing requests and fenced orders."""

import asyncio
import json
import pathlib
import random
import signal
import time
import typing as t

import attrs

from snipedeal_standins import checker
from snipedeal_standins.checker import ConfigObservation
from snipedeal_standins.checker import ConfigPublication
from snipedeal_standins.checker import Violation
from snipedeal_standins.history import REFUSED
from snipedeal_standins.history import WHOLE
from snipedeal_standins.load import run_closed_loop
from snipedeal_standins.plans import customer_record
from snipedeal_standins.scenarios import CONFIG_PROPAGATION_LIMIT_MS
from snipedeal_standins.scenarios import MODEL
from snipedeal_standins.scenarios import PLAIN
from snipedeal_standins.scenarios import PLAIN_PREFIX
from snipedeal_standins.scenarios import Environment
from snipedeal_standins.scenarios import ReportRow
from snipedeal_standins.scenarios import invariants_row
from snipedeal_standins.scenarios import outcome_summary
from snipedeal_standins.scenarios import register_scenario
from snipedeal_standins.scenarios import run_environment
from snipedeal_standins.scenarios import small_plan

_RETENTION_MS = 6_000
_MAX_CRASHED_TARGETS = 2
#: Five until requests with the message must be contained, three after that.
_MAX_CRASHED_BY_PART = 8


@register_scenario("at-most-once")
async def prove_at_most_once(directory: pathlib.Path, seed: int) -> list[ReportRow]:
    """Repeat idempotency keys, at once and later, under log and process faults."""
    plan = small_plan({"clerk": 1.0}, routers=3, plains=2)
    async with run_environment(plan, directory) as env:
        fleet = env.fleet
        await _submit_to_all_routers(env, "plain-run", 10)
        await fleet.control_log(lose_answers=8)
        await _submit_to_all_routers(env, "lost-answers", 10)
        await fleet.control_log(lose_answers=0, slow_ms=600)
        await _submit_to_all_routers(env, "slow-log", 4)
        await fleet.control_log(slow_ms=0, is_out=True)
        await _submit_to_all_routers(env, "log-out", 2)
        await fleet.control_log(is_out=False)
        await _submit_to_all_routers(env, "log-out", 2)
        await _submit_with_router_killed(env)
        await _submit_with_agents_restarted(env)
        await _submit_with_router_frozen(env)
        await _submit_to_all_routers(env, "plain-run", 10)
        violations = checker.check_at_most_once(env.caller.history, env.runs())
        return [
            ReportRow(
                "at_most_once",
                "keys sent to all routers at once and again",
                "lost answers, slow, out, router killed, frozen, agent restarted",
                len(env.caller.history),
                violations,
                "1 start a key",
                f"{len(violations)} keys over ({outcome_summary(env)})",
            ),
            invariants_row(env, "at-most-once"),
        ]


@register_scenario("aged-out")
async def prove_aged_out(directory: pathlib.Path, seed: int) -> list[ReportRow]:
    """Repeat idempotency keys after the log has dropped their records.

    Running routers carry claims forward; after a total outage longer than the
    retention, repeats must be refused or replayed.
    """
    plan = small_plan(
        {"clerk": 1.0},
        platform_settings={"log_retention_ms": _RETENTION_MS},
    )
    async with run_environment(plan, directory) as env:
        await env.fleet.control_log(retention_ms=_RETENTION_MS)
        await _submit_to_all_routers(env, "old", 4)
        await asyncio.sleep(2.5 * _RETENTION_MS / 1000)
        await _submit_to_all_routers(env, "old", 4)
        carry_violations = checker.check_at_most_once(env.caller.history, env.runs())
        row = ReportRow(
            "at_most_once",
            "repeats after retention, claims carried forward",
            "records aged out",
            len(env.caller.history),
            carry_violations,
            "1 start a key",
            f"{len(carry_violations)} keys over ({outcome_summary(env)})",
        )
        # No process carries claims forward while all routers are down.
        before = len(env.caller.history)
        for router in plan.routers:
            await env.fleet.kill(router.name)
        await asyncio.sleep(1.5 * _RETENTION_MS / 1000)
        for router in plan.routers:
            await env.fleet.restart(router.name)
        await _restore(env)
        await env.fleet.wait_ready([router.name for router in plan.routers])
        await _submit_to_all_routers(env, "old", 4)
        after = env.caller.history[before:]
        violations = checker.check_at_most_once(env.caller.history, env.runs())
        violations += [
            Violation("at_most_once", call.mark, "a repeat over a gap was accepted")
            for call in after
            if call.outcome == WHOLE and not call.is_replayed
        ]
        violations += [
            Violation("at_most_once", call.mark, f"refused for {call.code}")
            for call in after
            if call.outcome == REFUSED and call.code != "claims_incomplete"
        ]
        return [
            row,
            ReportRow(
                "at_most_once",
                "repeats after a gap in the record",
                "all routers down for longer than the retention",
                len(after),
                violations,
                "refused or replayed",
                ", ".join(sorted({f"{c.outcome} {c.code}" for c in after})),
            ),
        ]


async def _restore(env: Environment) -> None:
    """Publish the configuration with ``restore``, as operators do after a total loss.

    :raises RuntimeError: if the command fails.
    """
    path = env.fleet.directory / "restore.json"
    path.write_text(json.dumps(env.fleet.plan.records), encoding="utf-8")
    status, output = await env.fleet.command(
        "restore", str(path), "--log-url", env.fleet.log_url
    )
    if status:
        raise RuntimeError(output)


async def _submit_to_all_routers(env: Environment, name: str, count: int) -> None:
    """Send each key to all routers concurrently, then once more to one of them."""
    for number in range(count):
        key = f"{name}-{number}"
        await asyncio.gather(*(_submit(env, url, key) for url in env.urls))
        await _submit(env, env.urls[number % len(env.urls)], key)


async def _submit(env: Environment, url: str, key: str, delay_ms: int = 20) -> None:
    await env.caller.plain(
        url,
        "clerk",
        PLAIN,
        "POST",
        f"{PLAIN_PREFIX}/notices",
        key.encode(),
        "notice",
        key=key,
        headers={"X-Delay-Ms": str(delay_ms)},
    )


async def _submit_with_router_killed(env: Environment) -> None:
    """Kill the router that handles a key and send the key to the others."""
    name = "router-0"
    env.faults.dead_routers.add(name)
    first = asyncio.create_task(_submit(env, env.urls[0], "killed", 1_500))
    await asyncio.sleep(0.7)
    await env.fleet.kill(name)
    await asyncio.gather(first, *(_submit(env, url, "killed") for url in env.urls[1:]))
    await env.fleet.restart(name)
    await env.fleet.wait_ready([name])
    await _submit(env, env.urls[0], "killed")


async def _submit_with_agents_restarted(env: Environment) -> None:
    """Restart the agents with empty state while one of them runs a key."""
    first = asyncio.create_task(_submit(env, env.urls[1], "restarted", 2_500))
    await asyncio.sleep(0.7)
    for name in ("plain-0", "plain-1"):
        await env.fleet.kill(name)
        await env.fleet.restart(name)
    await asyncio.gather(first, _submit(env, env.urls[2], "restarted"))


async def _submit_with_router_frozen(env: Environment) -> None:
    """Suspend the router that handles a key beyond the timeout of its peers."""
    first = asyncio.create_task(_submit(env, env.urls[1], "frozen", 200))
    await asyncio.sleep(0.03)
    env.fleet.signal("router-1", signal.SIGSTOP)
    others = [
        asyncio.create_task(_submit(env, url, "frozen"))
        for url in (env.urls[0], env.urls[2])
    ]
    await asyncio.sleep(6)
    env.fleet.signal("router-1", signal.SIGCONT)
    await asyncio.gather(first, *others)
    await _submit(env, env.urls[2], "frozen")


# -- configuration ----------------------------------------------------------------


@attrs.define(eq=False)
class _ConfigMonitor:
    """Poll the configuration offset in force in every process.

    :param seen: offsets that processes reported.
    :param published: records that were accepted.
    """

    env: Environment
    seen: list[ConfigObservation] = attrs.Factory(list)
    published: list[ConfigPublication] = attrs.Factory(list)

    async def run(self) -> None:
        while True:
            names = [r.name for r in self.env.fleet.plan.routers]
            names += [t.name for t in self.env.fleet.plan.targets]
            await asyncio.gather(*(self._observe(name) for name in names))
            await asyncio.sleep(0.2)

    async def _observe(self, name: str) -> None:
        child = self.env.fleet.children.get(name)
        if child is None or not child.is_running:
            return
        incarnation = child.incarnation
        status = await self.env.fleet.status(name)
        if status and status["config_complete"]:
            self.seen.append(
                ConfigObservation(
                    f"{name}#{incarnation}", _now_ms(), status["config_offset"]
                )
            )


@register_scenario("config")
async def prove_config(directory: pathlib.Path, seed: int) -> list[ReportRow]:
    """Check configuration under races, unusable records, an outage and two schemas."""
    plan = small_plan({"one": 1.0}, routers=2)
    violations: list[Violation] = []
    async with run_environment(plan, directory) as env:
        monitor = _ConfigMonitor(env)
        monitor_task = asyncio.create_task(monitor.run())
        violations += await _race_operators(env, monitor)
        await _publish(env, monitor, customer_record("v1", 2.0))
        await _publish(env, monitor, _customer_v2("v2"))
        violations += await _publish_unusable(env, monitor)
        violations += await _start_empty_in_outage(env, monitor)
        await asyncio.sleep(3)
        monitor_task.cancel()
        violations += checker.check_config(
            monitor.seen, monitor.published, CONFIG_PROPAGATION_LIMIT_MS
        )
        longest_ms = _longest_propagation_ms(monitor)
        return [
            ReportRow(
                "config",
                "races, two schemas, bad record, outage, empty start",
                f"{len(monitor.published)} accepted records",
                len(monitor.seen),
                violations,
                f"{CONFIG_PROPAGATION_LIMIT_MS} ms, never back",
                f"{longest_ms} ms",
            )
        ]


async def _race_operators(env: Environment, monitor: _ConfigMonitor) -> list[Violation]:
    """Publish four concurrent changes to one object, in three rounds.

    At least one publication must succeed in each round, and every failure must be
    a rejection.
    """
    violations = []
    for round_number in range(3):
        records = [
            customer_record("raced", 1.0 + number, services=["*"])
            for number in range(4)
        ]
        results = await asyncio.gather(
            *(env.fleet.try_publish([record], "--replace") for record in records)
        )
        for status, output in results:
            if status == 0:
                offset = int(output.strip().rpartition(" ")[2])
                monitor.published.append(ConfigPublication(offset, _now_ms()))
            elif "rejected" not in output:
                violations.append(Violation("config", "operator", output))
        if not any(status == 0 for status, _ in results):
            violations.append(Violation("config", f"round {round_number}", "no winner"))
    return violations


async def _publish(env: Environment, monitor: _ConfigMonitor, record: dict) -> None:
    output = await env.fleet.publish([record], "--replace")
    offset = int(output.strip().rpartition(" ")[2])
    monitor.published.append(ConfigPublication(offset, _now_ms()))


async def _publish_unusable(
    env: Environment, monitor: _ConfigMonitor
) -> list[Violation]:
    """Append unusable records directly, bypassing the validation of the command."""
    before = (await env.fleet.status("router-0"))["config_offset"]
    unusable_records = [
        '{"schema_version": 9, "id": "a", "kind": "customer", "name": "one", '
        '"base_revision": 2, "spec": {"novel": true}}',
        "this is no record",
    ]
    for text in unusable_records:
        url = f"{env.fleet.log_url}/streams/config/records"
        async with env.fleet.session.post(url, data=text.encode()) as answer:
            answer.raise_for_status()

    async def is_reported() -> bool:
        status = await env.fleet.status("router-0")
        offsets = [item["offset"] for item in status["refused_records"]]
        return before + 1 in offsets and before + 2 in offsets

    await env.fleet.wait_until(is_reported)
    record = await env.caller.chat(env.urls[0], "one", MODEL, 5)
    if record.outcome == WHOLE:
        return []
    return [Violation("config", "one", "the last good record is not in force")]


async def _start_empty_in_outage(
    env: Environment, monitor: _ConfigMonitor
) -> list[Violation]:
    """Restart a router with empty state while the log service is unavailable.

    It must take the configuration from its peer.
    """
    await env.fleet.control_log(is_out=True)
    await env.fleet.kill("router-1")
    await env.fleet.restart("router-1")
    await env.fleet.wait_ready(["router-1"])
    expected = (await env.fleet.status("router-0"))["config_offset"]
    got = (await env.fleet.status("router-1"))["config_offset"]
    await env.fleet.control_log(is_out=False)
    await _publish(env, monitor, customer_record("after-outage", 1.0))
    if got != expected:
        detail = f"started with offset {got}, its peer has {expected}"
        return [Violation("config", "router-1", detail)]
    return []


def _customer_v2(name: str) -> dict:
    record = customer_record(name)
    keys = record["spec"]["keys"]
    spec = {"shares": {"*": 1.0, MODEL: 3.0}, "keys": keys, "max_queued": 50}
    return {**record, "schema_version": 2, "spec": spec}


def _longest_propagation_ms(monitor: _ConfigMonitor) -> int:
    """Return the longest time for which an older offset was still seen, in ms."""
    longest_ms = 0
    for process in {item.process for item in monitor.seen}:
        observations = [item for item in monitor.seen if item.process == process]
        for publication in monitor.published:
            stale_times_ms = [
                item.time_ms
                for item in observations
                if item.offset < publication.offset
                and item.time_ms > publication.time_ms
            ]
            if stale_times_ms:
                longest_ms = max(longest_ms, max(stale_times_ms) - publication.time_ms)
    return longest_ms


# -- requests that crash targets ---------------------------------------------------


@register_scenario("crasher")
async def prove_crasher(directory: pathlib.Path, seed: int) -> list[ReportRow]:
    """Repeat a request that crashes every target that runs it.

    At most ``_MAX_CRASHED_TARGETS`` may crash, and all other calls must succeed.
    """
    messages = [{"role": "user", "content": "[id=bad.crash] [crash]"}]
    return await _prove_contained(
        directory,
        "crasher",
        "one content sent again through 3 routers",
        lambda number: messages,
        _MAX_CRASHED_TARGETS,
    )


@register_scenario("crasher-part")
async def prove_crasher_part(directory: pathlib.Path, seed: int) -> list[ReportRow]:
    """Send requests that crash every target and have only one message in common.

    At most ``_MAX_CRASHED_BY_PART`` may crash, and all other calls must succeed.
    """

    def messages(number: int) -> list[dict[str, str]]:
        return [
            {"role": "system", "content": "answer in one word [crash]"},
            {"role": "user", "content": f"[id=bad.{number}] question {number}"},
        ]

    return await _prove_contained(
        directory,
        "crasher-part",
        "contents with one message in common through 3 routers",
        messages,
        _MAX_CRASHED_BY_PART,
    )


async def _prove_contained(
    directory: pathlib.Path,
    name: str,
    load_text: str,
    messages: t.Callable[[int], list[dict[str, str]]],
    limit: int,
) -> list[ReportRow]:
    """Send crashing requests beside a harmless load.

    :param messages: returns the content of a crashing request by its number.
    :param limit: crashes that are allowed.
    """
    plan = small_plan({"one": 1.0, "bad": 1.0}, routers=3, engines=4)
    async with run_environment(plan, directory) as env:
        until = time.monotonic() + 12.0

        def harmless_call(router: int):
            return lambda: env.caller.chat(env.urls[router], "one", MODEL, 60)

        async def send_crashers() -> None:
            number = 0
            while time.monotonic() < until:
                for url in env.urls:
                    number += 1
                    await _send_crasher(env, url, messages(number))
                    await asyncio.sleep(0.2)

        load = [run_closed_loop(harmless_call(n), 4, until) for n in range(3)]
        await asyncio.gather(*load, send_crashers())
        crashes = [run for run in env.runs() if run.event == "crash"]
        harmless_calls = [c for c in env.caller.history if c.customer == "one"]
        violations = [
            Violation(name, call.mark, f"{call.outcome} {call.code} {call.detail}")
            for call in harmless_calls
            if call.outcome != WHOLE
        ]
        if len(crashes) > limit:
            detail = f"{len(crashes)} crashes, the bound is {limit}"
            violations.append(Violation(name, "fleet", detail))
        return [
            ReportRow(
                name,
                load_text,
                "the request crashes its target",
                len(env.caller.history),
                violations,
                f"{limit} targets, innocents whole",
                f"{len(crashes)} targets ({outcome_summary(env)})",
            ),
            invariants_row(env, name),
        ]


async def _send_crasher(
    env: Environment, url: str, messages: list[dict[str, str]]
) -> None:
    """Send a crashing request; it is not added to the history."""
    body = {"model": MODEL, "messages": messages}
    headers = {"Authorization": "Bearer bad-key"}
    async with env.fleet.session.post(
        f"{url}/v1/chat/completions", json=body, headers=headers
    ) as answer:
        await answer.read()


# -- orders --------------------------------------------------------------------------


@register_scenario("orders")
async def prove_orders(directory: pathlib.Path, seed: int) -> list[ReportRow]:
    """Suspend and resume random routers while the desired state changes.

    A router that held the order lease may be superseded while it is suspended.
    Simulated targets do not check fencing tokens, so nothing but the fleet keeps
    its old orders from being executed after newer ones.
    """
    plan = small_plan({"one": 1.0}, routers=3, engines=4)
    rng = random.Random(seed)
    async with run_environment(plan, directory) as env:
        for number in range(4):
            version = f"v{number}"
            await env.fleet.publish([_pool_record(version)], "--replace")
            await asyncio.sleep(rng.uniform(0.0, 0.8))
            frozen = f"router-{rng.randrange(3)}"
            env.fleet.signal(frozen, signal.SIGSTOP)
            await env.fleet.publish([_pool_record(f"{version}b")], "--replace")
            await asyncio.sleep(7.0 if number % 2 else 1.0)
            env.fleet.signal(frozen, signal.SIGCONT)

        async def has_desired_state() -> bool:
            loads = [await env.fleet.engine_load(f"engine-{n}") for n in range(4)]
            return all(load["loaded"].get("load_model") == "m@v3b" for load in loads)

        violations = []
        try:
            await env.fleet.wait_until(has_desired_state, 30.0)
        except TimeoutError:
            violations.append(Violation("orders", "fleet", "targets are not as wanted"))
        orders = [run for run in env.runs() if run.event == "order"]
        highest_fence: dict[str, int] = {}
        for run in orders:
            fence = run.fields["fence"]
            if fence < highest_fence.get(run.target, -1):
                detail = f"fence {fence} acted after {highest_fence[run.target]}"
                violations.append(Violation("orders", run.target, detail))
            highest_fence[run.target] = max(fence, highest_fence.get(run.target, -1))
        return [
            ReportRow(
                "orders",
                "targets ignore the fencing number",
                "4 holders frozen and woken",
                len(orders),
                violations,
                "0 superseded orders acted on",
                f"{len(violations)} of {len(orders)} orders",
            )
        ]


def _pool_record(version: str) -> dict:
    desired = {"action": "load_model", "name": "m", "version": version}
    spec = {"service": MODEL, "targets": ["engine-*"], "desired": desired}
    return {"schema_version": 1, "kind": "pool", "name": "engines", "spec": spec}


def _now_ms() -> int:
    return int(time.time() * 1000)
