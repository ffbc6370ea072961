"""Faults of a soak; each registers itself, brings a failure about and heals it."""

import asyncio
import signal
import time
import typing as t

from snipedeal_standins.relay import RelayMode
from snipedeal_standins.soak_stage import Stage
from snipedeal_standins.soak_stage import StagedReplica
from snipedeal_standins.soak_stage import StagedRouter
from snipedeal_standins.soak_stage import Stop

#: Longest time that a router may take to end after SIGTERM, s: its grace.
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
_STORE_MODES = ("busy", "many", "reset", "silent")

Fault = t.Callable[[Stage, float], t.Awaitable[list[str]]]

#: Faults by name; each takes the time to hold, s, and returns what went wrong.
FAULTS: dict[str, Fault] = {}


def register_fault(function: Fault) -> Fault:
    """Register a fault under the name of its function."""
    FAULTS[function.__name__] = function
    return function


# -- routers -------------------------------------------------------------------------


def _draw_router(stage: Stage) -> StagedRouter | None:
    """Return a router that no fault has ended, unless it is the last one."""
    up = [router for router in stage.routers if not router.is_expected_down]
    return stage.chance.choice(up) if len(up) > 1 else None


async def _start_again(router: StagedRouter) -> None:
    router.start_number += 1
    await router.process.start()
    router.is_expected_down = False


@register_fault
async def kill_router(stage: Stage, hold_s: float) -> list[str]:
    """Kill a router and start it with empty state."""
    router = _draw_router(stage)
    if router is None:
        return []
    trouble = stage.begin_trouble("kill_router", router.name)
    router.is_expected_down = True
    router.process.signal(signal.SIGKILL)
    await router.process.wait()
    await asyncio.sleep(hold_s)
    await _start_again(router)
    trouble.end()
    return []


@register_fault
async def stop_router(stage: Stage, hold_s: float) -> list[str]:
    """Stop a router as planned work does; callers keep their connections."""
    router = _draw_router(stage)
    if router is None:
        return []
    # no trouble before the process has ended: until then it answers its calls.
    router.is_expected_down = True
    from_s = time.monotonic()
    router.process.signal(signal.SIGTERM)
    wrong = []
    try:
        async with asyncio.timeout(STOP_LIMIT_S):
            status = await router.process.wait()
        if status != 0:
            wrong.append(f"{router.name} ended with {status} after SIGTERM")
    except TimeoutError:
        if not any(
            trouble.name == "pause_router" and router.name in trouble.subjects
            for trouble in stage.troubles
        ):
            wrong.append(f"{router.name} runs {STOP_LIMIT_S} s after SIGTERM")
        router.process.signal(signal.SIGKILL)
        await router.process.wait()
    stage.stops.append(Stop(router.name, from_s, time.monotonic()))
    trouble = stage.begin_trouble("down_router", router.name)
    await asyncio.sleep(hold_s / 2)
    await _start_again(router)
    trouble.end()
    return wrong


@register_fault
async def pause_router(stage: Stage, hold_s: float) -> list[str]:
    """Freeze a router; peers and callers may give it up meanwhile."""
    router = _draw_router(stage)
    if router is None:
        return []
    trouble = stage.begin_trouble("pause_router", router.name)
    router.process.signal(signal.SIGSTOP)
    await asyncio.sleep(hold_s)
    router.process.signal(signal.SIGCONT)
    trouble.end()
    return []


@register_fault
async def reload_router(stage: Stage, hold_s: float) -> list[str]:
    """Tell a router to read its settings again; nothing may be cut off."""
    router = _draw_router(stage)
    if router is not None:
        router.process.signal(signal.SIGHUP)
    return []


@register_fault
async def reset_callers(stage: Stage, hold_s: float) -> list[str]:
    """Reset the connections of a router's callers."""
    router = stage.chance.choice(stage.routers)
    trouble = stage.begin_trouble("reset_callers", router.name)
    router.front.reset()
    trouble.end()
    return []


# -- store ---------------------------------------------------------------------------


@register_fault
async def cut_router_from_store(stage: Stage, hold_s: float) -> list[str]:
    """Let a router's connections to the store go silent, one way or both."""
    router = stage.chance.choice(stage.routers)
    mode = stage.chance.choice((RelayMode.SILENT, RelayMode.MUTE, RelayMode.CUT))
    await _hold(stage, router.store, mode, hold_s, ())
    return []


@register_fault
async def silence_store_connections(stage: Stage, hold_s: float) -> list[str]:
    """Let all open connections to the store go silent; new ones work."""
    for router in stage.routers:
        router.store.silence_open()
    return []


@register_fault
async def fail_store(stage: Stage, hold_s: float) -> list[str]:
    """Put the store down, or make it slow."""
    mode = stage.chance.choice((*_STORE_MODES, "slow"))
    if mode == "slow":
        stage.store.faults.slow_ms = 400
    else:
        stage.store.faults.mode = mode
    await asyncio.sleep(hold_s)
    stage.store.faults.mode = ""
    stage.store.faults.slow_ms = 0
    return []


@register_fault
async def compact_store(stage: Stage, hold_s: float) -> list[str]:
    """Delete the records of the store; the newest of each key stay."""
    for topic in ("keyed.op", "keyed.servers"):
        stage.store.compact(topic)
    return []


# -- configuration ---------------------------------------------------------------------


@register_fault
async def change_configuration(stage: Stage, hold_s: float) -> list[str]:
    """Publish some versions in quick succession."""
    for _ in range(stage.chance.randrange(1, 6)):
        stage.configure()
        await asyncio.sleep(stage.chance.uniform(0.01, 0.3))
    return []


@register_fault
async def write_unreadable_records(stage: Stage, hold_s: float) -> list[str]:
    """Leave records that no router can read; the last good ones hold."""
    stage.store.put("keyed.op", "config", b"{not json")
    stage.store.put("keyed.servers", "stranger", b'{"service": 7}')
    stage.configure()
    return []


# -- replicas --------------------------------------------------------------------------


def _draw_replica(stage: Stage) -> StagedReplica:
    return stage.chance.choice(stage.replicas)


@register_fault
async def spoil_answers(stage: Stage, hold_s: float) -> list[str]:
    """Let a replica handle some requests wrongly."""
    staged = _draw_replica(stage)
    trouble = stage.begin_trouble("spoil_answers", staged.id)
    faults = staged.replica.faults
    faults.mode = stage.chance.choice(_REPLICA_MODES)
    faults.count = stage.chance.randrange(1, 12)
    faults.after_events = stage.chance.randrange(0, 4)
    await asyncio.sleep(hold_s)
    faults.count = 0
    trouble.end()
    return []


@register_fault
async def cut_replica(stage: Stage, hold_s: float) -> list[str]:
    """Cut a replica off, one way or both, with or without a sign."""
    staged = _draw_replica(stage)
    mode = stage.chance.choice((RelayMode.SILENT, RelayMode.MUTE, RelayMode.CUT))
    await _hold(stage, staged.relay, mode, hold_s, (staged.id,))
    return []


@register_fault
async def delay_replica(stage: Stage, hold_s: float) -> list[str]:
    """Delay what passes to and from a replica."""
    staged = _draw_replica(stage)
    trouble = stage.begin_trouble("delay_replica", staged.id)
    staged.relay.delay_ms = stage.chance.uniform(5, 200)
    await asyncio.sleep(hold_s)
    staged.relay.delay_ms = 0.0
    trouble.end()
    return []


@register_fault
async def drop_idle_connections(stage: Stage, hold_s: float) -> list[str]:
    """Reset a replica's connections, or let them go silent; new ones work."""
    staged = _draw_replica(stage)
    trouble = stage.begin_trouble("drop_idle_connections", staged.id)
    if stage.chance.random() < 0.5:
        staged.relay.reset()
    else:
        staged.relay.silence_open()
    trouble.end()
    return []


@register_fault
async def restart_replica(stage: Stage, hold_s: float) -> list[str]:
    """Crash a replica; another start has its address, at times its id too."""
    staged = _draw_replica(stage)
    before = staged.id
    after = before
    if stage.chance.random() < 0.7:
        after = f"{before.partition('+')[0]}+{len(stage.retired)}"
    trouble = stage.begin_trouble("restart_replica", before, after)
    await stage.restart_replica(staged, after)
    trouble.end()
    return []


@register_fault
async def drain_replica(stage: Stage, hold_s: float) -> list[str]:
    """Let a replica say that it leaves, and come back."""
    staged = _draw_replica(stage)
    stage.register(staged, state="draining")
    await asyncio.sleep(hold_s)
    stage.register(staged)
    return []


@register_fault
async def unlist_replica(stage: Stage, hold_s: float) -> list[str]:
    """Let a replica's entry lapse; it goes on serving and comes back."""
    staged = _draw_replica(stage)
    stage.unregister(staged)
    await asyncio.sleep(hold_s)
    stage.register(staged)
    return []


async def _hold(
    stage: Stage, relay: t.Any, mode: RelayMode, hold_s: float, subjects: tuple
) -> None:
    trouble = stage.begin_trouble(mode.value, *subjects)
    relay.set_mode(mode)
    await asyncio.sleep(hold_s)
    relay.set_mode(RelayMode.PASS)
    trouble.end()
