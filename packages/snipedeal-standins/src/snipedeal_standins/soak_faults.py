"""Faults of the soak test; each injects a failure and reverts it if it lasts."""

import asyncio
import signal
import time
import typing as t

from snipedeal_standins.relay import RelayMode
from snipedeal_standins.soak_stage import FAR_ZONE
from snipedeal_standins.soak_stage import Cold
from snipedeal_standins.soak_stage import Evacuated
from snipedeal_standins.soak_stage import Leaving
from snipedeal_standins.soak_stage import NamedLimit
from snipedeal_standins.soak_stage import RelayedReplica
from snipedeal_standins.soak_stage import RelayedRouter
from snipedeal_standins.soak_stage import SoakEnvironment
from snipedeal_standins.soak_stage import Stop

#: Time within which a router must exit after SIGTERM, s: its grace period.
STOP_LIMIT_S = 8.0
_REPLICA_MODES = (
    "error",
    "reset",
    "cut",
    "extra",
    "other",
    "silent",
    "unframed",
    "declined",
)
#: Load faults last this many times as long as others, so that checks apply to them.
_LOAD_FAULT_FACTOR = 4
_STORE_MODES = ("busy", "many", "reset", "silent")

#: Entries as another writer may leave them.
ODD_ENTRIES = (
    b'{"x": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    b'{"service": "desk", "zone": "z", "state": "ready", "address": "127.0.0.1:80", '
    b'"slots": %s}' % (b"9" * 400),
    b'{"service": "desk", "zone": "z", "state": "ready", "slots": 6, '
    b'"address": "127.0.0.1:99999"}',
    b"\xff\xfe",
)

Fault = t.Callable[[SoakEnvironment, float], t.Awaitable[list[str]]]

#: Faults by name; each takes its duration in s and returns violations.
FAULTS: dict[str, Fault] = {}
#: Names of the faults that are drawn only in runs with load faults.
LOAD_FAULTS: set[str] = set()
#: Names of the faults that are drawn only in runs with state faults.
STATE_FAULTS: set[str] = set()
#: Names of the faults that are drawn only in runs with restores of the store.
RESTORE_FAULTS: set[str] = set()
#: Names of the faults that are drawn only in runs with cold replicas and evacuations.
COLD_FAULTS: set[str] = set()


def register_fault(function: Fault) -> Fault:
    """Register a fault under the name of its function."""
    FAULTS[function.__name__] = function
    return function


def register_load_fault(function: Fault) -> Fault:
    """Register a fault that is drawn only in runs with load faults."""
    LOAD_FAULTS.add(function.__name__)
    return register_fault(function)


def register_state_fault(function: Fault) -> Fault:
    """Register a fault that is drawn only in runs with state faults."""
    STATE_FAULTS.add(function.__name__)
    return register_fault(function)


def register_restore_fault(function: Fault) -> Fault:
    """Register a fault that is drawn only in runs with restores of the store."""
    RESTORE_FAULTS.add(function.__name__)
    return register_fault(function)


def register_cold_fault(function: Fault) -> Fault:
    """Register a fault that is drawn only in runs with cold replicas."""
    COLD_FAULTS.add(function.__name__)
    return register_fault(function)


# -- routers -------------------------------------------------------------------------


def _choose_router(env: SoakEnvironment) -> RelayedRouter | None:
    """Return a random running router, or ``None`` if fewer than two are up."""
    up = [router for router in env.routers if not router.is_expected_down]
    return env.rng.choice(up) if len(up) > 1 else None


async def _restart_router(router: RelayedRouter) -> None:
    router.start_number += 1
    await router.process.start()
    router.is_expected_down = False


@register_fault
async def kill_router(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Kill a router and restart it with empty state."""
    router = _choose_router(env)
    if router is None:
        return []
    period = env.begin_fault("kill_router", router.name)
    router.is_expected_down = True
    router.process.signal(signal.SIGKILL)
    await router.process.wait()
    await asyncio.sleep(duration_s)
    await _restart_router(router)
    period.end()
    return []


@register_fault
async def stop_router(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Stop a router with SIGTERM, as in planned maintenance, and restart it.

    Callers do not close their connections beforehand.
    """
    router = _choose_router(env)
    if router is None:
        return []
    # The fault period begins only after the process has exited: until then the
    # router must answer the requests that it has accepted.
    router.is_expected_down = True
    from_s = time.monotonic()
    router.process.signal(signal.SIGTERM)
    violations = []
    try:
        async with asyncio.timeout(STOP_LIMIT_S):
            status = await router.process.wait()
        if status != 0:
            violations.append(f"{router.name} ended with {status} after SIGTERM")
    except TimeoutError:
        # A router that has been paused may exceed the limit.
        if not any(
            period.name == "pause_router" and router.name in period.subjects
            for period in env.fault_periods
        ):
            violations.append(f"{router.name} runs {STOP_LIMIT_S} s after SIGTERM")
        router.process.signal(signal.SIGKILL)
        await router.process.wait()
    env.stops.append(Stop(router.name, from_s, time.monotonic()))
    period = env.begin_fault("down_router", router.name)
    await asyncio.sleep(duration_s / 2)
    await _restart_router(router)
    period.end()
    return violations


@register_fault
async def pause_router(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Suspend a router; peers and callers may time out meanwhile."""
    router = _choose_router(env)
    if router is None:
        return []
    period = env.begin_fault("pause_router", router.name)
    router.process.signal(signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    router.process.signal(signal.SIGCONT)
    period.end()
    return []


@register_fault
async def reload_router(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Make a router reload its settings; it must not abort any request."""
    router = _choose_router(env)
    if router is not None:
        router.process.signal(signal.SIGHUP)
    return []


@register_fault
async def reset_callers(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Reset the connections between callers and a router."""
    router = env.rng.choice(env.routers)
    period = env.begin_fault("reset_callers", router.name)
    router.caller_relay.reset()
    period.end()
    return []


# -- store ---------------------------------------------------------------------------


@register_fault
async def cut_router_from_store(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Close a router's store connections, or drop data in one or both directions."""
    router = env.rng.choice(env.routers)
    mode = env.rng.choice((RelayMode.SILENT, RelayMode.MUTE, RelayMode.CUT))
    await _apply_relay_mode(env, router.store_relay, mode, duration_s, ())
    return []


@register_fault
async def silence_store_connections(
    env: SoakEnvironment, duration_s: float
) -> list[str]:
    """Silence all open connections to the store; new connections work."""
    for router in env.routers:
        router.store_relay.silence_open()
    return []


@register_fault
async def fail_store(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Make the store fail, or delay its responses by 400 ms."""
    mode = env.rng.choice((*_STORE_MODES, "slow"))
    if mode == "slow":
        env.store.faults.slow_ms = 400
    else:
        env.store.faults.mode = mode
    await asyncio.sleep(duration_s)
    env.store.faults.mode = ""
    env.store.faults.slow_ms = 0
    return []


@register_fault
async def compact_store(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Delete the store's log records, but keep the latest value of each key."""
    for topic in ("keyed.op", "keyed.servers"):
        env.store.compact(topic)
    return []


@register_restore_fault
async def restore_store(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Return the store to a copy; operator and replicas write again what it lost."""
    copy = env.store.copy()
    await asyncio.sleep(duration_s)
    env.store.faults.mode = "reset"
    env.store.reset_connections()
    await asyncio.sleep(env.rng.uniform(0.0, 1.0))
    env.store.restore(copy)
    env.store.faults.mode = ""
    await asyncio.sleep(env.rng.uniform(0.0, 0.3))
    env.store.write_again(("keyed.op", "keyed.servers"))
    return []


# -- configuration ---------------------------------------------------------------------


@register_fault
async def change_configuration(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Publish up to five configuration versions in quick succession."""
    for _ in range(env.rng.randrange(1, 6)):
        env.publish_version()
        await asyncio.sleep(env.rng.uniform(0.01, 0.3))
    return []


@register_fault
async def write_unreadable_records(
    env: SoakEnvironment, duration_s: float
) -> list[str]:
    """Write unreadable records; the last readable ones must stay in effect."""
    env.store.put("keyed.op", "config", b"{not json")
    env.store.put("keyed.servers", "stranger", b'{"service": 7}')
    env.publish_version()
    return []


# -- replicas --------------------------------------------------------------------------


def _choose_replica(env: SoakEnvironment) -> RelayedReplica:
    return env.rng.choice(env.replicas)


@register_fault
async def spoil_answers(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Make a replica handle some requests incorrectly."""
    relayed = _choose_replica(env)
    period = env.begin_fault("spoil_answers", relayed.id)
    faults = relayed.replica.faults
    faults.mode = env.rng.choice(_REPLICA_MODES)
    faults.count = env.rng.randrange(1, 12)
    faults.after_events = env.rng.randrange(0, 4)
    await asyncio.sleep(duration_s)
    faults.count = 0
    period.end()
    return []


@register_fault
async def cut_replica(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Close a replica's connections, or drop data in one or both directions."""
    relayed = _choose_replica(env)
    mode = env.rng.choice((RelayMode.SILENT, RelayMode.MUTE, RelayMode.CUT))
    await _apply_relay_mode(env, relayed.relay, mode, duration_s, (relayed.id,))
    return []


@register_fault
async def delay_replica(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Delay the traffic to and from a replica."""
    relayed = _choose_replica(env)
    period = env.begin_fault("delay_replica", relayed.id)
    relayed.relay.delay_ms = env.rng.uniform(5, 200)
    await asyncio.sleep(duration_s)
    relayed.relay.delay_ms = 0.0
    period.end()
    return []


@register_fault
async def drop_idle_connections(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Reset or silence a replica's open connections; new connections work."""
    relayed = _choose_replica(env)
    period = env.begin_fault("drop_idle_connections", relayed.id)
    if env.rng.random() < 0.5:
        relayed.relay.reset()
    else:
        relayed.relay.silence_open()
    period.end()
    return []


@register_fault
async def restart_replica(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Crash a replica; start a new one at its address, sometimes with the same id."""
    relayed = _choose_replica(env)
    before = relayed.id
    after = before
    if env.rng.random() < 0.7:
        after = f"{before.partition('+')[0]}+{len(env.replaced_replicas)}"
    period = env.begin_fault("restart_replica", before, after)
    await env.restart_replica(relayed, after)
    period.end()
    return []


@register_fault
async def drain_replica(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Mark a replica as draining, then as available again."""
    relayed = _choose_replica(env)
    env.register(relayed, state="draining")
    await asyncio.sleep(duration_s)
    env.register(relayed)
    return []


@register_fault
async def unlist_replica(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Remove the registration of a replica that continues to serve, then restore it."""
    relayed = _choose_replica(env)
    env.unregister(relayed)
    await asyncio.sleep(duration_s)
    env.register(relayed)
    return []


# -- load --------------------------------------------------------------------------


@register_load_fault
async def crash_by_part(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Make a part of prompts crash the engines that begin to answer it."""
    if env.crashing_part:
        return []
    env.crashing_part = part = f"bad{len(env.crashes_s)}"
    env.crashes_s[part] = []
    for relayed in env.replicas:
        relayed.replica.faults.crashing_parts.add(part)
    await asyncio.sleep(duration_s * _LOAD_FAULT_FACTOR)
    env.crashing_part = ""
    for relayed in env.replicas:
        relayed.replica.faults.crashing_parts.discard(part)
    await env.wait_for_restarts()
    return []


@register_load_fault
async def limit_rate(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Make a replica name a rate limit, which it does not enforce."""
    relayed = _choose_replica(env)
    replica = relayed.replica
    if replica.faults.rate_limit:
        return []
    limit = env.rng.choice((0.5, 2.0, 5.0, 20.0))
    replica.faults.rate_limit = str(limit)
    named = NamedLimit(replica.spec.id, limit, time.monotonic())
    env.limits.append(named)
    await asyncio.sleep(duration_s * _LOAD_FAULT_FACTOR)
    replica.faults.rate_limit = ""
    named.to_s = time.monotonic()
    return []


# -- what replicas say of themselves, and odd entries ------------------------------


@register_state_fault
async def leave_replica(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Make a replica say in its answers that it leaves; then start its successor.

    Its registration still says ready, and the store may be silent meanwhile.
    """
    relayed = _choose_replica(env)
    replica = relayed.replica
    if replica.faults.leaving or replica.is_crashed:
        return []
    replica.faults.leaving = "1"
    env.leavings.append(Leaving(replica, time.monotonic()))
    is_store_silent = env.rng.random() < 0.5
    if is_store_silent:
        env.store.faults.mode = "silent"
    await asyncio.sleep(duration_s * 2)
    if is_store_silent:
        env.store.faults.mode = ""
    if relayed.replica is not replica:
        # It crashed meanwhile; its successor shares the faults.
        replica.faults.leaving = ""
        return []
    period = env.begin_fault("leave_replica", relayed.id)
    await env.restart_replica(relayed, relayed.id)
    period.end()
    return []


@register_state_fault
async def shed_load(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Make a replica decline some requests and ask for a time without them."""
    relayed = _choose_replica(env)
    faults = relayed.replica.faults
    period = env.begin_fault("shed_load", relayed.id)
    faults.mode, faults.count = "declined", env.rng.randrange(1, 6)
    faults.retry_after = (f"{env.rng.uniform(0.6, 3.0):.2f}",)
    await asyncio.sleep(duration_s)
    faults.count = 0
    faults.retry_after = ()
    period.end()
    return []


@register_state_fault
async def write_odd_entries(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Write entries that no decoder holds; the others must stay in effect."""
    for number, value in enumerate(ODD_ENTRIES):
        env.store.put("keyed.servers", f"stranger-{number}", value)
    env.publish_version()
    return []


# -- cold replicas and evacuated zones ---------------------------------------------


@register_cold_fault
async def cool_replicas(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Make half of the engines cold at once; they keep running."""
    engines = [r for r in env.replicas if r.replica.spec.service == "model"]
    from_s = time.monotonic()
    for relayed in engines[: len(engines) // 2 + 1]:
        env.register(relayed, coldRemainingMs=int(duration_s * 1000))
        env.colds.append(Cold(relayed.replica, from_s, from_s + duration_s))
    await asyncio.sleep(duration_s)
    return []


@register_cold_fault
async def evacuate_zone(env: SoakEnvironment, duration_s: float) -> list[str]:
    """Evacuate the zone of some replicas, and take that back."""
    if any(evacuated.to_s == float("inf") for evacuated in env.evacuations):
        return []
    key = f"evacuate/{FAR_ZONE}"
    evacuated = Evacuated(FAR_ZONE, time.monotonic())
    env.evacuations.append(evacuated)
    env.store.put("keyed.op", key, b"{}")
    await asyncio.sleep(duration_s * _LOAD_FAULT_FACTOR)
    evacuated.to_s = time.monotonic()
    env.store.put("keyed.op", key, b"")
    return []


async def _apply_relay_mode(
    env: SoakEnvironment,
    relay: t.Any,
    mode: RelayMode,
    duration_s: float,
    subjects: tuple,
) -> None:
    period = env.begin_fault(mode.value, *subjects)
    relay.set_mode(mode)
    await asyncio.sleep(duration_s)
    relay.set_mode(RelayMode.PASS)
    period.end()
