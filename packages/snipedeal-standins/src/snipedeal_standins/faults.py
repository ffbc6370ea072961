"""Faults that can be injected into a running fleet.

Each fault registers itself under a name in :data:`FAULTS`. It injects the
failure, keeps it active for the given time, and then reverts it.
"""

import asyncio
import random
import signal
import time
import typing as t

import attrs

from snipedeal_standins.checker import LeavingInterval
from snipedeal_standins.fleet import Fleet

FaultFunction = t.Callable[["FaultInjector", str, float], t.Awaitable[None]]

#: Faults by name; each takes the affected subject and its duration in seconds.
FAULTS: dict[str, FaultFunction] = {}


@attrs.define(eq=False)
class FaultInjector:
    """Inject faults and record what the checker needs to know about them.

    :param fleet: the fleet into which faults are injected.
    :param leaving_intervals: when targets were marked as leaving.
    :param dead_routers: names of routers that were killed or shut down at any time.
    :param injected: injected faults in order, each as ``NAME(SUBJECT)``.
    """

    fleet: Fleet
    leaving_intervals: list[LeavingInterval] = attrs.Factory(list)
    dead_routers: set[str] = attrs.Factory(set)
    injected: list[str] = attrs.Factory(list)

    async def inject(self, name: str, subject: str, duration_s: float) -> None:
        """Inject a fault and revert it after ``duration_s`` seconds."""
        self.injected.append(f"{name}({subject})")
        await FAULTS[name](self, subject, duration_s)


def register_fault(name: str) -> t.Callable[[FaultFunction], FaultFunction]:
    """Register a fault under a name."""

    def decorate(function: FaultFunction) -> FaultFunction:
        FAULTS[name] = function
        return function

    return decorate


def fault_subjects(name: str, fleet: Fleet) -> list[str]:
    """Return the processes of a fleet that a fault can affect."""
    if name.startswith("router"):
        return [router.name for router in fleet.plan.routers]
    if name.startswith(("log", "list")):
        return ["platform"]
    return [target.name for target in fleet.plan.targets if target.kind == "engine"]


def draw_fault(rng: random.Random, fleet: Fleet) -> tuple[str, str]:
    """Return the name and the subject of a randomly chosen fault."""
    name = rng.choice(sorted(FAULTS))
    return name, rng.choice(fault_subjects(name, fleet))


@register_fault("engine-kill")
async def kill_engine(faults: FaultInjector, subject: str, duration_s: float) -> None:
    """Kill a target and restart it."""
    await _kill_and_restart(faults, f"{subject}/target", duration_s)


@register_fault("agent-kill")
async def kill_agent(faults: FaultInjector, subject: str, duration_s: float) -> None:
    """Kill an agent and restart it with empty state."""
    await _kill_and_restart(faults, subject, duration_s)


@register_fault("router-kill")
async def kill_router(faults: FaultInjector, subject: str, duration_s: float) -> None:
    """Kill a router and restart it with empty state."""
    faults.dead_routers.add(subject)
    await _kill_and_restart(faults, subject, duration_s)


@register_fault("agent-freeze")
async def freeze_agent(faults: FaultInjector, subject: str, duration_s: float) -> None:
    """Suspend an agent with SIGSTOP for ``duration_s``, then resume it.

    Its peers give up waiting for it if their timeout is shorter.
    """
    await _freeze(faults, subject, duration_s)


@register_fault("router-freeze")
async def freeze_router(faults: FaultInjector, subject: str, duration_s: float) -> None:
    """Suspend a router with SIGSTOP for ``duration_s``, then resume it.

    Its peers give up waiting for it if their timeout is shorter.
    """
    await _freeze(faults, subject, duration_s)


@register_fault("agent-cut")
async def cut_agent(faults: FaultInjector, subject: str, duration_s: float) -> None:
    """Partition an agent from its peers without closing its connections."""
    await _set_relay_mode(faults, subject, "peer", "silent", duration_s)


@register_fault("agent-silence")
async def silence_agent(faults: FaultInjector, subject: str, duration_s: float) -> None:
    """Stall the open connections to an agent; new connections work."""
    await _set_relay_mode(faults, subject, "peer", "silence_open", duration_s)


@register_fault("router-silence")
async def silence_router(
    faults: FaultInjector, subject: str, duration_s: float
) -> None:
    """Stall the open connections to a router; new connections work."""
    await _set_relay_mode(faults, subject, "peer", "silence_open", duration_s)


@register_fault("agent-list-cut")
async def cut_agent_from_list(
    faults: FaultInjector, subject: str, duration_s: float
) -> None:
    """Cut an agent off from the VM list while its VM is marked as leaving."""
    await faults.fleet.control_relay(subject, "vms", "cut")
    await _mark_leaving(faults, subject, duration_s)
    await faults.fleet.control_relay(subject, "vms", "pass")


@register_fault("target-leave")
async def mark_target_leaving(
    faults: FaultInjector, subject: str, duration_s: float
) -> None:
    """Mark a target as leaving, then as live again at the same address."""
    await _mark_leaving(faults, subject, duration_s)


@register_fault("log-out")
async def make_log_unavailable(
    faults: FaultInjector, subject: str, duration_s: float
) -> None:
    """Make the log service unavailable."""
    await faults.fleet.control_log(is_out=True)
    await asyncio.sleep(duration_s)
    await faults.fleet.control_log(is_out=False)


@register_fault("log-loses-answers")
async def lose_log_answers(
    faults: FaultInjector, subject: str, duration_s: float
) -> None:
    """Let the log apply the next six appends but answer them with errors."""
    await faults.fleet.control_log(lose_answers=6)
    await asyncio.sleep(duration_s)
    await faults.fleet.control_log(lose_answers=0)


@register_fault("log-slow")
async def slow_log(faults: FaultInjector, subject: str, duration_s: float) -> None:
    """Delay each answer of the log service by 700 ms."""
    await faults.fleet.control_log(slow_ms=700)
    await asyncio.sleep(duration_s)
    await faults.fleet.control_log(slow_ms=0)


@register_fault("list-lag")
async def lag_list(faults: FaultInjector, subject: str, duration_s: float) -> None:
    """Serve the VM list as it was 1,500 ms earlier."""
    await faults.fleet.control_vms(lag_ms=1_500)
    await asyncio.sleep(duration_s)
    await faults.fleet.control_vms(lag_ms=0)


async def _kill_and_restart(
    faults: FaultInjector, name: str, duration_s: float
) -> None:
    await faults.fleet.kill(name)
    await asyncio.sleep(duration_s)
    await faults.fleet.restart(name)


async def _freeze(faults: FaultInjector, name: str, duration_s: float) -> None:
    faults.fleet.signal(name, signal.SIGSTOP)
    await asyncio.sleep(duration_s)
    faults.fleet.signal(name, signal.SIGCONT)


async def _set_relay_mode(
    faults: FaultInjector, name: str, link: str, mode: str, duration_s: float
) -> None:
    await faults.fleet.control_relay(name, link, mode)
    await asyncio.sleep(duration_s)
    await faults.fleet.control_relay(name, link, "pass")


async def _mark_leaving(faults: FaultInjector, subject: str, duration_s: float) -> None:
    await faults.fleet.set_vm_state(subject, "leaving")
    from_ms = int(time.time() * 1000)
    await asyncio.sleep(duration_s)
    await faults.fleet.set_vm_state(subject, "live")
    faults.leaving_intervals.append(
        LeavingInterval(subject, from_ms, int(time.time() * 1000))
    )
