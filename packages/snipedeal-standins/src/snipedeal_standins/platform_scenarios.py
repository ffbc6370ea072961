"""Scenarios around the platform: claims, configuration, crashes, orders, load."""

import asyncio
import json
import pathlib
import random
import signal
import time

import attrs

from snipedeal_standins import checker
from snipedeal_standins.checker import ConfigObservation
from snipedeal_standins.checker import ConfigPublication
from snipedeal_standins.checker import Violation
from snipedeal_standins.history import REFUSED
from snipedeal_standins.history import WHOLE
from snipedeal_standins.load import run_closed_loop
from snipedeal_standins.plans import customer_record
from snipedeal_standins.scenarios import CONFIG_LIMIT_MS
from snipedeal_standins.scenarios import MODEL
from snipedeal_standins.scenarios import PLAIN
from snipedeal_standins.scenarios import PLAIN_PREFIX
from snipedeal_standins.scenarios import Row
from snipedeal_standins.scenarios import Stage
from snipedeal_standins.scenarios import answers_row
from snipedeal_standins.scenarios import outcomes
from snipedeal_standins.scenarios import register_scenario
from snipedeal_standins.scenarios import small_plan
from snipedeal_standins.scenarios import staged

_RETENTION_MS = 6_000
_POISON_TARGETS = 2


@register_scenario("at-most-once")
async def prove_at_most_once(directory: pathlib.Path, seed: int) -> list[Row]:
    """Resubmit keys at once and later, with the log and nodes failing."""
    plan = small_plan({"clerk": 1.0}, routers=3, plains=2)
    async with staged(plan, directory) as stage:
        fleet = stage.fleet
        await _submit_everywhere(stage, "plain-run", 10)
        await fleet.control_log(lose_answers=8)
        await _submit_everywhere(stage, "lost-answers", 10)
        await fleet.control_log(lose_answers=0, slow_ms=600)
        await _submit_everywhere(stage, "slow-log", 4)
        await fleet.control_log(slow_ms=0, is_out=True)
        await _submit_everywhere(stage, "log-out", 2)
        await fleet.control_log(is_out=False)
        await _submit_everywhere(stage, "log-out", 2)
        await _with_router_killed(stage)
        await _with_agent_restarted(stage)
        await _with_router_frozen(stage)
        await _submit_everywhere(stage, "plain-run", 10)
        mine = checker.check_at_most_once(stage.caller.history, stage.runs())
        return [
            Row(
                "at_most_once",
                "keys sent to all routers at once and again",
                "lost answers, slow, out, router killed, frozen, agent restarted",
                len(stage.caller.history),
                mine,
                "1 start a key",
                f"{len(mine)} keys over ({outcomes(stage)})",
            ),
            answers_row(stage, "at-most-once"),
        ]


@register_scenario("aged-out")
async def prove_aged_out(directory: pathlib.Path, seed: int) -> list[Row]:
    """Send keys again after the log has dropped their records."""
    plan = small_plan(
        {"clerk": 1.0},
        platform_settings={"log_retention_ms": _RETENTION_MS},
    )
    async with staged(plan, directory) as stage:
        await stage.fleet.control_log(retention_ms=_RETENTION_MS)
        await _submit_everywhere(stage, "old", 4)
        await asyncio.sleep(2.5 * _RETENTION_MS / 1000)
        await _submit_everywhere(stage, "old", 4)
        carried = checker.check_at_most_once(stage.caller.history, stage.runs())
        row = Row(
            "at_most_once",
            "repeats after retention, claims carried forward",
            "records aged out",
            len(stage.caller.history),
            carried,
            "1 start a key",
            f"{len(carried)} keys over ({outcomes(stage)})",
        )
        # no claims are compacted while all routers are down.
        before = len(stage.caller.history)
        for router in plan.routers:
            await stage.fleet.kill(router.name)
        await asyncio.sleep(1.5 * _RETENTION_MS / 1000)
        for router in plan.routers:
            await stage.fleet.restart(router.name)
        await _restore(stage)
        await stage.fleet.wait_ready([router.name for router in plan.routers])
        await _submit_everywhere(stage, "old", 4)
        after = stage.caller.history[before:]
        broken = checker.check_at_most_once(stage.caller.history, stage.runs())
        broken += [
            Violation("at_most_once", call.mark, "a repeat over a gap was accepted")
            for call in after
            if call.outcome == WHOLE and not call.is_replayed
        ]
        broken += [
            Violation("at_most_once", call.mark, f"refused for {call.code}")
            for call in after
            if call.outcome == REFUSED and call.code != "claims_incomplete"
        ]
        return [
            row,
            Row(
                "at_most_once",
                "repeats after a gap in the record",
                "all routers down for longer than the retention",
                len(after),
                broken,
                "refused or replayed",
                ", ".join(sorted({f"{c.outcome} {c.code}" for c in after})),
            ),
        ]


async def _restore(stage: Stage) -> None:
    """Start the configuration anew after a total loss, as operators would."""
    path = stage.fleet.directory / "restore.json"
    path.write_text(json.dumps(stage.fleet.plan.records), encoding="utf-8")
    status, output = await stage.fleet.command(
        "restore", str(path), "--log-url", stage.fleet.log_url
    )
    if status:
        raise RuntimeError(output)


async def _submit_everywhere(stage: Stage, name: str, count: int) -> None:
    """Send each key to all routers at once, then again to one."""
    for number in range(count):
        key = f"{name}-{number}"
        await asyncio.gather(*(_submit(stage, url, key) for url in stage.urls))
        await _submit(stage, stage.urls[number % len(stage.urls)], key)


async def _submit(stage: Stage, url: str, key: str, delay_ms: int = 20) -> None:
    await stage.caller.plain(
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


async def _with_router_killed(stage: Stage) -> None:
    """Kill the router that runs a key, and send the key to the others."""
    name = "router-0"
    stage.faults.dead_routers.add(name)
    first = asyncio.create_task(_submit(stage, stage.urls[0], "killed", 1_500))
    await asyncio.sleep(0.7)
    await stage.fleet.kill(name)
    await asyncio.gather(
        first, *(_submit(stage, url, "killed") for url in stage.urls[1:])
    )
    await stage.fleet.restart(name)
    await stage.fleet.wait_ready([name])
    await _submit(stage, stage.urls[0], "killed")


async def _with_agent_restarted(stage: Stage) -> None:
    """Restart the agents empty while a key runs at one of them."""
    first = asyncio.create_task(_submit(stage, stage.urls[1], "restarted", 2_500))
    await asyncio.sleep(0.7)
    for name in ("plain-0", "plain-1"):
        await stage.fleet.kill(name)
        await stage.fleet.restart(name)
    await asyncio.gather(first, _submit(stage, stage.urls[2], "restarted"))


async def _with_router_frozen(stage: Stage) -> None:
    """Freeze the router that holds a key for longer than peers wait."""
    first = asyncio.create_task(_submit(stage, stage.urls[1], "frozen", 200))
    await asyncio.sleep(0.03)
    stage.fleet.signal("router-1", signal.SIGSTOP)
    others = [
        asyncio.create_task(_submit(stage, url, "frozen"))
        for url in (stage.urls[0], stage.urls[2])
    ]
    await asyncio.sleep(6)
    stage.fleet.signal("router-1", signal.SIGCONT)
    await asyncio.gather(first, *others)
    await _submit(stage, stage.urls[2], "frozen")


# -- configuration ----------------------------------------------------------------


@attrs.define(eq=False)
class _ConfigWatch:
    """Observe the offset in force in every process."""

    stage: Stage
    seen: list[ConfigObservation] = attrs.Factory(list)
    published: list[ConfigPublication] = attrs.Factory(list)

    async def run(self) -> None:
        while True:
            names = [r.name for r in self.stage.fleet.plan.routers]
            names += [t.name for t in self.stage.fleet.plan.targets]
            await asyncio.gather(*(self._observe(name) for name in names))
            await asyncio.sleep(0.2)

    async def _observe(self, name: str) -> None:
        child = self.stage.fleet.children.get(name)
        if child is None or not child.is_running:
            return
        incarnation = child.incarnation
        status = await self.stage.fleet.status(name)
        if status and status["config_complete"]:
            self.seen.append(
                ConfigObservation(
                    f"{name}#{incarnation}", _now_ms(), status["config_offset"]
                )
            )


@register_scenario("config")
async def prove_config(directory: pathlib.Path, seed: int) -> list[Row]:
    """Race operators, put the log out, start empty, mix schema versions."""
    plan = small_plan({"one": 1.0}, routers=2)
    problems: list[Violation] = []
    async with staged(plan, directory) as stage:
        watch = _ConfigWatch(stage)
        watcher = asyncio.create_task(watch.run())
        problems += await _race_operators(stage, watch)
        await _publish(stage, watch, customer_record("v1", 2.0))
        await _publish(stage, watch, _customer_v2("v2"))
        problems += await _publish_unknown(stage, watch)
        problems += await _start_empty_in_outage(stage, watch)
        await asyncio.sleep(3)
        watcher.cancel()
        problems += checker.check_config(watch.seen, watch.published, CONFIG_LIMIT_MS)
        slowest = _slowest(watch)
        return [
            Row(
                "config",
                "races, two schemas, bad record, outage, empty start",
                f"{len(watch.published)} accepted records",
                len(watch.seen),
                problems,
                f"{CONFIG_LIMIT_MS} ms, never back",
                f"{slowest} ms",
            )
        ]


async def _race_operators(stage: Stage, watch: _ConfigWatch) -> list[Violation]:
    """Let operators publish to one object at once; one a round may win."""
    problems = []
    for round_number in range(3):
        records = [
            customer_record("raced", 1.0 + number, services=["*"])
            for number in range(4)
        ]
        results = await asyncio.gather(
            *(stage.fleet.try_publish([record], "--replace") for record in records)
        )
        for status, output in results:
            if status == 0:
                offset = int(output.strip().rpartition(" ")[2])
                watch.published.append(ConfigPublication(offset, _now_ms()))
            elif "rejected" not in output:
                problems.append(Violation("config", "operator", output))
        if not any(status == 0 for status, _ in results):
            problems.append(Violation("config", f"round {round_number}", "no winner"))
    return problems


async def _publish(stage: Stage, watch: _ConfigWatch, record: dict) -> None:
    output = await stage.fleet.publish([record], "--replace")
    offset = int(output.strip().rpartition(" ")[2])
    watch.published.append(ConfigPublication(offset, _now_ms()))


async def _publish_unknown(stage: Stage, watch: _ConfigWatch) -> list[Violation]:
    """Append records that this version can't use, past the command's check."""
    before = (await stage.fleet.status("router-0"))["config_offset"]
    bad = [
        '{"schema_version": 9, "id": "a", "kind": "customer", "name": "one", '
        '"base_revision": 2, "spec": {"novel": true}}',
        "this is no record",
    ]
    for text in bad:
        url = f"{stage.fleet.log_url}/streams/config/records"
        async with stage.fleet.session.post(url, data=text.encode()) as answer:
            answer.raise_for_status()

    async def is_reported() -> bool:
        status = await stage.fleet.status("router-0")
        offsets = [item["offset"] for item in status["refused_records"]]
        return before + 1 in offsets and before + 2 in offsets

    await stage.fleet.wait_until(is_reported)
    record = await stage.caller.chat(stage.urls[0], "one", MODEL, 5)
    if record.outcome == WHOLE:
        return []
    return [Violation("config", "one", "the last good record is not in force")]


async def _start_empty_in_outage(stage: Stage, watch: _ConfigWatch) -> list[Violation]:
    """Start a router with empty state while the log service is out."""
    await stage.fleet.control_log(is_out=True)
    await stage.fleet.kill("router-1")
    await stage.fleet.restart("router-1")
    await stage.fleet.wait_ready(["router-1"])
    expected = (await stage.fleet.status("router-0"))["config_offset"]
    got = (await stage.fleet.status("router-1"))["config_offset"]
    await stage.fleet.control_log(is_out=False)
    await _publish(stage, watch, customer_record("after-outage", 1.0))
    if got != expected:
        detail = f"started with offset {got}, its peer has {expected}"
        return [Violation("config", "router-1", detail)]
    return []


def _customer_v2(name: str) -> dict:
    record = customer_record(name)
    keys = record["spec"]["keys"]
    spec = {"shares": {"*": 1.0, MODEL: 3.0}, "keys": keys, "max_queued": 50}
    return {**record, "schema_version": 2, "spec": spec}


def _slowest(watch: _ConfigWatch) -> int:
    """Return the longest time from a publication until in force, in ms."""
    slowest = 0
    for process in {item.process for item in watch.seen}:
        mine = [item for item in watch.seen if item.process == process]
        for publication in watch.published:
            behind = [
                item.time_ms
                for item in mine
                if item.offset < publication.offset
                and item.time_ms > publication.time_ms
            ]
            if behind:
                slowest = max(slowest, max(behind) - publication.time_ms)
    return slowest


# -- requests that crash targets ---------------------------------------------------


@register_scenario("crasher")
async def prove_crasher(directory: pathlib.Path, seed: int) -> list[Row]:
    """Send a request that crashes each target that runs it, again and again."""
    plan = small_plan({"one": 1.0, "bad": 1.0}, routers=3, engines=4)
    async with staged(plan, directory) as stage:
        until = time.monotonic() + 12.0

        def innocent(router: int):
            return lambda: stage.caller.chat(stage.urls[router], "one", MODEL, 60)

        async def crash_again() -> None:
            while time.monotonic() < until:
                for url in stage.urls:
                    await _send_crasher(stage, url)
                    await asyncio.sleep(0.2)

        load = [run_closed_loop(innocent(n), 4, until) for n in range(3)]
        await asyncio.gather(*load, crash_again())
        crashes = [run for run in stage.runs() if run.event == "crash"]
        innocents = [c for c in stage.caller.history if c.customer == "one"]
        violations = [
            Violation("crasher", call.mark, f"{call.outcome} {call.code} {call.detail}")
            for call in innocents
            if call.outcome != WHOLE
        ]
        if len(crashes) > _POISON_TARGETS:
            detail = f"{len(crashes)} crashes, the bound is {_POISON_TARGETS}"
            violations.append(Violation("crasher", "fleet", detail))
        return [
            Row(
                "crasher",
                "one content sent again through 3 routers",
                "the request crashes its target",
                len(stage.caller.history),
                violations,
                f"{_POISON_TARGETS} targets, innocents whole",
                f"{len(crashes)} targets ({outcomes(stage)})",
            ),
            answers_row(stage, "crasher"),
        ]


async def _send_crasher(stage: Stage, url: str) -> None:
    """Send the same content under a history record of its own."""
    body = {
        "model": MODEL,
        "messages": [{"role": "user", "content": "[id=bad.crash] [crash]"}],
    }
    headers = {"Authorization": "Bearer bad-key"}
    async with stage.fleet.session.post(
        f"{url}/v1/chat/completions", json=body, headers=headers
    ) as answer:
        await answer.read()


# -- orders --------------------------------------------------------------------------


@register_scenario("orders")
async def prove_orders(directory: pathlib.Path, seed: int) -> list[Row]:
    """Freeze the holder of the right to give orders, supersede it, wake it."""
    plan = small_plan({"one": 1.0}, routers=3, engines=4)
    chance = random.Random(seed)
    async with staged(plan, directory) as stage:
        for number in range(4):
            version = f"v{number}"
            await stage.fleet.publish([_pool_record(version)], "--replace")
            await asyncio.sleep(chance.uniform(0.0, 0.8))
            frozen = f"router-{chance.randrange(3)}"
            stage.fleet.signal(frozen, signal.SIGSTOP)
            await stage.fleet.publish([_pool_record(f"{version}b")], "--replace")
            await asyncio.sleep(7.0 if number % 2 else 1.0)
            stage.fleet.signal(frozen, signal.SIGCONT)

        async def is_as_wanted() -> bool:
            loads = [await stage.fleet.engine_load(f"engine-{n}") for n in range(4)]
            return all(load["loaded"].get("load_model") == "m@v3b" for load in loads)

        violations = []
        try:
            await stage.fleet.wait_until(is_as_wanted, 30.0)
        except TimeoutError:
            violations.append(Violation("orders", "fleet", "targets are not as wanted"))
        orders = [run for run in stage.runs() if run.event == "order"]
        highest: dict[str, int] = {}
        for run in orders:
            fence = run.fields["fence"]
            if fence < highest.get(run.target, -1):
                detail = f"fence {fence} acted after {highest[run.target]}"
                violations.append(Violation("orders", run.target, detail))
            highest[run.target] = max(fence, highest.get(run.target, -1))
        return [
            Row(
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
