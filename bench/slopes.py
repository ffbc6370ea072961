"""Measure the slopes from which ``docs/CAPACITY.md`` is calculated.

Each linear fit has four points, the one by load has seven.
"""

import asyncio
import json
import pathlib
import sys
import time
import tracemalloc
import typing as t

import numpy as np

from bench.processes import Usage
from bench.processes import cores_between
from bench.processes import read_usage
from bench.processes import run_open_loop
from snipedeal.claims import Claim
from snipedeal.claims import Ledger
from snipedeal.claims import encode_items
from snipedeal.clock import Clock
from snipedeal.codec import encode_message
from snipedeal.configuration import Configuration
from snipedeal.exchange import DeltaExchange
from snipedeal.exchange import exchange_interval_ms
from snipedeal.fairness import VirtualTimes
from snipedeal.gate import Gate
from snipedeal.messages import Heartbeat
from snipedeal.messages import Offer
from snipedeal.transport import Handlers
from snipedeal.transport import Transport
from snipedeal_standins.fleet import Fleet
from snipedeal_standins.fleet import free_port
from snipedeal_standins.load import Caller
from snipedeal_standins.plans import RouterPlan
from snipedeal_standins.plans import TargetPlan
from snipedeal_standins.plans import customer_record
from snipedeal_standins.scenarios import MODEL
from snipedeal_standins.scenarios import small_plan

CUSTOMERS = (16, 1_000, 10_000, 30_000)
TARGETS = (2, 10, 30, 60)
ROUTERS = (1, 8, 30, 60)
BACKLOGGED = (16, 200, 1_000, 3_000)
CLAIM_KEYS = (1_000, 5_000, 10_000, 20_000)
#: Requests per second and tokens per request of each point.
LOADS = ((5, 1), (20, 1), (40, 1), (10, 50), (18, 100), (18, 200), (18, 300))
_IMPORTS = {
    "python": "asyncio",
    "agent": "snipedeal_agent.cli",
    "router": "snipedeal_router.cli",
}


def fit_line(points: t.Sequence[tuple[float, float]]) -> dict[str, float]:
    """Return slope and intercept of the least-squares line through points."""
    xs, ys = zip(*points, strict=True)
    slope, intercept = np.polyfit(xs, ys, 1)
    return {"slope": float(slope), "intercept": float(intercept)}


async def measure_imports() -> dict[str, float]:
    """Return the resident memory in MB after importing the modules of each process."""
    found = {}
    for name, module in _IMPORTS.items():
        code = (
            f"import {module}\n"
            "line = [l for l in open('/proc/self/status') if l[:5] == 'VmRSS'][0]\n"
            "print(int(line.split()[1]) * 1024 / 1e6)"
        )
        process = await asyncio.create_subprocess_exec(
            sys.executable, "-c", code, stdout=asyncio.subprocess.PIPE
        )
        output, _ = await process.communicate()
        found[name] = float(output)
    return found


async def measure_load(directory: pathlib.Path, seconds: float) -> dict[str, t.Any]:
    """Return the CPU time of router and agents at loads that cause no queueing."""
    options = {"max_batch": 200, "step_ms": 20.0, "step_per_stream_ms": 0.02}
    plan = small_plan({"one": 1.0}, 1, 2, 0, options)
    fleet = Fleet(plan, directory)
    points = []
    try:
        await fleet.start()
        idle = await _measure_cores(fleet, asyncio.sleep(seconds))
        for per_s, tokens in LOADS:
            caller = Caller(fleet.session)

            async def call(number: int, caller: Caller = caller, n: int = tokens):
                return await caller.chat(fleet.router_urls[0], "one", MODEL, n)

            before = await _read_control_bytes(fleet)
            cores = await _measure_cores(fleet, run_open_loop(call, per_s, seconds))
            after = await _read_control_bytes(fleet)
            points.append(
                {
                    "requests_s": per_s,
                    "tokens_s": per_s * tokens,
                    **{f"{name}_cores": value for name, value in cores.items()},
                    **{
                        f"{name}_control_b_s": (after[name] - before[name]) / seconds
                        for name in after
                    },
                }
            )
    finally:
        await fleet.close()
    return {"idle": idle, "points": points, **_fit_load(points)}


def _fit_load(points: list[dict[str, float]]) -> dict[str, t.Any]:
    """Return the CPU time per request and per token by least squares."""
    matrix = np.array([[p["requests_s"], p["tokens_s"], 1.0] for p in points])
    fits = {}
    for name in ("router", "agents"):
        cores = np.array([p[f"{name}_cores"] for p in points])
        (request, token, base), *_ = np.linalg.lstsq(matrix, cores, rcond=None)
        fits[name] = {
            "ms_per_request": float(request) * 1000,
            "us_per_token": float(token) * 1e6,
            "base_cores": float(base),
        }
    return {"fit": fits}


async def _measure_cores(fleet: Fleet, work: t.Awaitable[t.Any]) -> dict[str, float]:
    """Return the cores used by the router and by both agents while ``work`` runs."""
    names = ["router-0", "engine-0", "engine-1"]
    pids = [fleet.children[name].process.pid for name in names]
    before = [read_usage(pid) for pid in pids]
    await work
    after = [read_usage(pid) for pid in pids]
    used = [cores_between(b, a) for b, a in zip(before, after, strict=True)]
    return {"router": used[0], "agents": used[1] + used[2]}


async def _read_control_bytes(fleet: Fleet) -> dict[str, float]:
    router = await fleet.status("router-0")
    agents = [await fleet.status(name) for name in ("engine-0", "engine-1")]
    return {
        "router": router["control_bytes_sent"] + router["control_bytes_received"],
        "agent": sum(
            a["control_bytes_sent"] + a["control_bytes_received"] for a in agents
        )
        / 2,
    }


async def measure_customers(directory: pathlib.Path) -> dict[str, t.Any]:
    """Return memory and start-up time of a router and an agent by customer count."""
    points = []
    for count in CUSTOMERS:
        fleet = Fleet(small_plan({"one": 1.0}, 0, 0, 0), directory / str(count))
        fleet.plan.routers.append(RouterPlan("router-0", "zone-0"))
        fleet.plan.targets.append(TargetPlan("engine-0", MODEL, "zone-0"))
        try:
            await fleet.start_platform()
            await _append_customers(fleet, count)
            started = time.monotonic()
            await fleet.start_router(fleet.plan.routers[0])
            await fleet.start_target(fleet.plan.targets[0])
            await fleet.wait_ready(["router-0"])
            ready_s = time.monotonic() - started
            await asyncio.sleep(1.0)
            router = _read_process_usage(fleet, "router-0")
            agent = _read_process_usage(fleet, "engine-0")
            points.append(
                {
                    "customers": count,
                    "router_mb": router.resident_mb,
                    "agent_mb": agent.resident_mb,
                    "ready_s": ready_s,
                }
            )
        finally:
            await fleet.close()
    return {
        "points": points,
        "router_mb": fit_line([(p["customers"], p["router_mb"]) for p in points]),
        "agent_mb": fit_line([(p["customers"], p["agent_mb"]) for p in points]),
    }


async def _append_customers(fleet: Fleet, count: int) -> None:
    """Append customers as a snapshot that replaces the records of the config stream."""
    configuration = Configuration()
    configuration.set_log_start(0)
    for offset in range(count):
        record = customer_record(f"customer-{offset:05d}")
        text = json.dumps({"id": f"r{offset}", "base_revision": None, **record})
        configuration.apply(offset, text)
    await fleet.control_log(appends_per_s=1_000_000)
    url = f"{fleet.log_url}/streams/config/records"
    for text in ("first", *configuration.snapshot("bench")):
        if text != "first":
            # The snapshot covers the one record before it, which retention drops.
            text = json.dumps({**json.loads(text), "covers": 0})
        async with fleet.session.post(url, data=text.encode()) as answer:
            answer.raise_for_status()
        if text == "first":
            await asyncio.sleep(0.05)
            await fleet.control_log(retention_ms=1)
            await fleet.control_log(retention_ms=3_600_000)
    async with fleet.session.get(url) as answer:
        answer.raise_for_status()


def _read_process_usage(fleet: Fleet, name: str) -> Usage:
    return read_usage(fleet.children[name].process.pid)


def measure_exchange(customers: int) -> dict[str, t.Any]:
    """Return traffic and CPU time of the exchange by gate count of a service.

    :param customers: number of backlogged customers of the service.
    """
    points = []
    for count in TARGETS:
        names = [f"target-{number:03d}" for number in range(count)]
        gates = {name: DeltaExchange(name, "service", VirtualTimes()) for name in names}
        customer_names = [f"customer-{number:05d}" for number in range(customers)]
        for exchange in gates.values():
            exchange.set_gates(names)
            for customer in customer_names:
                exchange.times.join(customer)
        for _ in range(2):
            sent, spent_s = _exchange_once(gates, customer_names)
        interval_s = exchange_interval_ms(count - 1, customers) / 1000
        points.append(
            {
                "targets": count,
                "interval_s": interval_s,
                "bytes_s": sent / count / interval_s,
                "cores": spent_s / count / interval_s,
            }
        )
    return {"customers": customers, "points": points}


def _exchange_once(
    gates: dict[str, DeltaExchange], customers: list[str]
) -> tuple[int, float]:
    """Return the bytes sent by all gates in one exchange and the CPU time in s."""
    frame_overhead_bytes = 48 + 60
    total = 0
    served_per_gate = max(1, len(customers) * 4 // max(4, len(gates)))
    for number, exchange in enumerate(gates.values()):
        for step in range(served_per_gate):
            served = customers[(number * 7 + step) % len(customers)]
            exchange.times.deliver(served, 40.0)
    started = time.process_time()
    for name, exchange in gates.items():
        for owner, message in exchange.deltas().items():
            answer = gates[owner].on_delta(name, message)
            exchange.on_total(owner, answer)
            for sent in (message, answer):
                total += len(bytes(encode_message(sent)[1])) + frame_overhead_bytes
    return total, time.process_time() - started


def measure_decisions() -> dict[str, t.Any]:
    """Return the CPU time of a gate decision by count of backlogged customers."""
    points = []
    for count in BACKLOGGED:
        gate = Gate(slots=8)
        for number in range(count):
            gate.set_offer("router", f"customer-{number:05d}", 1.0, 1_000)
        rounds = 50
        started = time.process_time()
        for number in range(rounds):
            (pull, *_) = gate.next_pulls(0)
            gate.admit(f"a{number}", pull.customer, 1.0, 0.0, pull.ticket)
            gate.deliver(f"a{number}", 40.0)
            gate.finish(f"a{number}", True)
        each_us = (time.process_time() - started) / rounds * 1e6
        points.append({"backlogged": count, "decision_us": each_us})
    fit_points = [(p["backlogged"], p["decision_us"]) for p in points]
    return {"points": points, "fit": fit_line(fit_points)}


def measure_claims() -> dict[str, t.Any]:
    """Return the claim ledger's memory by key count, and the log bytes of a key."""
    points = []
    for count in CLAIM_KEYS:
        texts = [
            encode_items([Claim(f"{number:032x}", f"req-{number:016x}", "f" * 32)])
            for number in range(count)
        ]
        tracemalloc.start()
        ledger = Ledger()
        ledger.set_log_start(0)
        for offset, text in enumerate(texts):
            ledger.apply(offset, text)
        used, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        points.append({"keys": count, "mb": used / 1e6})
    fit_points = [(p["keys"], p["mb"]) for p in points]
    return {"points": points, "fit": fit_line(fit_points), "log_bytes": len(texts[-1])}


async def measure_routers(directory: pathlib.Path, seconds: float) -> dict[str, t.Any]:
    """Return memory, CPU time and control traffic of an agent by router count.

    Each router is simulated by a transport that sends heartbeats and an offer per
    second.
    """
    points = []
    for count in ROUTERS:
        plan = small_plan({"one": 1.0}, 1, 1, 0)
        fleet = Fleet(plan, directory / str(count))
        transports: list[Transport] = []
        try:
            await fleet.start()
            address = fleet.peer_address("engine-0")
            transports = [_connect_fake_router(n, address) for n in range(count)]
            await asyncio.sleep(1.0)
            before = _read_process_usage(fleet, "engine-0")
            control = await _read_agent_control_bytes(fleet)
            for _ in range(int(seconds)):
                for transport in transports:
                    transport.send("engine-0", Offer(MODEL, "one", 1.0, 0))
                await asyncio.sleep(1.0)
            after = _read_process_usage(fleet, "engine-0")
            used = await _read_agent_control_bytes(fleet) - control
            elapsed = after.time_s - before.time_s
            points.append(
                {
                    "routers": count,
                    "agent_mb": after.resident_mb,
                    "cores": cores_between(before, after),
                    "control_b_s": used / elapsed,
                }
            )
        finally:
            for transport in transports:
                await transport.close()
            await fleet.close()
    return {
        "points": points,
        "agent_mb": fit_line([(p["routers"], p["agent_mb"]) for p in points]),
        "cores": fit_line([(p["routers"], p["cores"]) for p in points]),
        "control_b_s": fit_line([(p["routers"], p["control_b_s"]) for p in points]),
    }


def _connect_fake_router(number: int, address: str) -> Transport:
    listen = f"tcp://127.0.0.1:{free_port()}"
    handlers = Handlers(_ignore_message, _ignore_message, _ignore_message)
    transport = Transport(f"fake-{number}", listen, listen, Clock(), handlers)
    transport.start()
    transport.connect("engine-0", address)
    transport.send("engine-0", Heartbeat())
    return transport


def _ignore_message(*arguments: t.Any) -> None:
    """Ignore a message."""


async def _read_agent_control_bytes(fleet: Fleet) -> float:
    status = await fleet.status("engine-0")
    return status["control_bytes_sent"] + status["control_bytes_received"]
