"""Failures that a running fleet can be put through.

Each fault registers itself under a name in :data:`FAULTS`. It brings the
failure about, holds it for a while, and heals it.
"""

import asyncio
import random
import signal
import time
import typing as t

import attrs

from snipedeal_standins.checker import Leaving
from snipedeal_standins.fleet import Fleet

FaultFunction = t.Callable[["Faults", str, float], t.Awaitable[None]]

#: Faults by name; each takes a subject and a time in seconds to hold.
FAULTS: dict[str, FaultFunction] = {}


@attrs.define(eq=False)
class Faults:
    """Bring faults about, and remember what a checker has to know.

    :param fleet: the fleet that suffers.
    :param leavings: targets that were marked as leaving.
    :param dead_routers: routers that were killed or shut down at some time.
    """

    fleet: Fleet
    leavings: list[Leaving] = attrs.Factory(list)
    dead_routers: set[str] = attrs.Factory(set)
    brought_about: list[str] = attrs.Factory(list)

    async def bring_about(self, name: str, subject: str, hold_s: float) -> None:
        """Bring a fault about and heal it."""
        self.brought_about.append(f"{name}({subject})")
        await FAULTS[name](self, subject, hold_s)


def register_fault(name: str) -> t.Callable[[FaultFunction], FaultFunction]:
    """Register a fault under a name."""

    def decorate(function: FaultFunction) -> FaultFunction:
        FAULTS[name] = function
        return function

    return decorate


def subjects_of(name: str, fleet: Fleet) -> list[str]:
    """Return what a fault may befall in a fleet."""
    if name.startswith("router"):
        return [router.name for router in fleet.plan.routers]
    if name.startswith(("log", "list")):
        return ["platform"]
    return [target.name for target in fleet.plan.targets if target.kind == "engine"]


def draw_fault(chance: random.Random, fleet: Fleet) -> tuple[str, str]:
    """Return the name and the subject of a random fault."""
    name = chance.choice(sorted(FAULTS))
    return name, chance.choice(subjects_of(name, fleet))


@register_fault("engine-kill")
async def kill_engine(faults: Faults, subject: str, hold_s: float) -> None:
    """Kill a target and start it again."""
    await _kill_and_restart(faults, f"{subject}/target", hold_s)


@register_fault("agent-kill")
async def kill_agent(faults: Faults, subject: str, hold_s: float) -> None:
    """Kill an agent and start it again with empty state."""
    await _kill_and_restart(faults, subject, hold_s)


@register_fault("router-kill")
async def kill_router(faults: Faults, subject: str, hold_s: float) -> None:
    """Kill a router and start it again with empty state."""
    faults.dead_routers.add(subject)
    await _kill_and_restart(faults, subject, hold_s)


@register_fault("agent-freeze")
async def freeze_agent(faults: Faults, subject: str, hold_s: float) -> None:
    """Freeze an agent for longer than its peers wait for it."""
    await _freeze(faults, subject, hold_s)


@register_fault("router-freeze")
async def freeze_router(faults: Faults, subject: str, hold_s: float) -> None:
    """Freeze a router for longer than its peers wait for it."""
    await _freeze(faults, subject, hold_s)


@register_fault("agent-cut")
async def cut_agent(faults: Faults, subject: str, hold_s: float) -> None:
    """Cut an agent off from its peers, without a sign on its connections."""
    await _relay(faults, subject, "peer", "silent", hold_s)


@register_fault("agent-silence")
async def silence_agent(faults: Faults, subject: str, hold_s: float) -> None:
    """Let the open connections to an agent go silent; new ones work."""
    await _relay(faults, subject, "peer", "silence_open", hold_s)


@register_fault("router-silence")
async def silence_router(faults: Faults, subject: str, hold_s: float) -> None:
    """Let the open connections to a router go silent; new ones work."""
    await _relay(faults, subject, "peer", "silence_open", hold_s)


@register_fault("agent-list-cut")
async def cut_agent_from_list(faults: Faults, subject: str, hold_s: float) -> None:
    """Cut an agent off from the VM list while its VM is leaving."""
    await faults.fleet.control_relay(subject, "vms", "cut")
    await _leave(faults, subject, hold_s)
    await faults.fleet.control_relay(subject, "vms", "pass")


@register_fault("target-leave")
async def leave_target(faults: Faults, subject: str, hold_s: float) -> None:
    """Mark a target as leaving, and let it come back under its address."""
    await _leave(faults, subject, hold_s)


@register_fault("log-out")
async def put_log_out(faults: Faults, subject: str, hold_s: float) -> None:
    """Put the log service out."""
    await faults.fleet.control_log(is_out=True)
    await asyncio.sleep(hold_s)
    await faults.fleet.control_log(is_out=False)


@register_fault("log-loses-answers")
async def lose_log_answers(faults: Faults, subject: str, hold_s: float) -> None:
    """Let the next appends take effect without an answer."""
    await faults.fleet.control_log(lose_answers=6)
    await asyncio.sleep(hold_s)
    await faults.fleet.control_log(lose_answers=0)


@register_fault("log-slow")
async def slow_log(faults: Faults, subject: str, hold_s: float) -> None:
    """Slow the log service down."""
    await faults.fleet.control_log(slow_ms=700)
    await asyncio.sleep(hold_s)
    await faults.fleet.control_log(slow_ms=0)


@register_fault("list-lag")
async def lag_list(faults: Faults, subject: str, hold_s: float) -> None:
    """Let the VM list lag by more."""
    await faults.fleet.control_vms(lag_ms=1_500)
    await asyncio.sleep(hold_s)
    await faults.fleet.control_vms(lag_ms=0)


async def _kill_and_restart(faults: Faults, name: str, hold_s: float) -> None:
    await faults.fleet.kill(name)
    await asyncio.sleep(hold_s)
    await faults.fleet.restart(name)


async def _freeze(faults: Faults, name: str, hold_s: float) -> None:
    faults.fleet.signal(name, signal.SIGSTOP)
    await asyncio.sleep(hold_s)
    faults.fleet.signal(name, signal.SIGCONT)


async def _relay(faults: Faults, name: str, way: str, mode: str, hold_s: float) -> None:
    await faults.fleet.control_relay(name, way, mode)
    await asyncio.sleep(hold_s)
    await faults.fleet.control_relay(name, way, "pass")


async def _leave(faults: Faults, subject: str, hold_s: float) -> None:
    await faults.fleet.list_vm(subject, "leaving")
    from_ms = int(time.time() * 1000)
    await asyncio.sleep(hold_s)
    await faults.fleet.list_vm(subject, "live")
    faults.leavings.append(Leaving(subject, from_ms, int(time.time() * 1000)))
