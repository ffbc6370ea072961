"""Define the agent object, which owns the node, the gate and the plug-ins."""

import typing as t

import aiohttp
from absl import logging

from snipedeal import defaults
from snipedeal.exchange import DeltaExchange
from snipedeal.fairness import VirtualTimes
from snipedeal.gate import Gate
from snipedeal.membership import TARGET
from snipedeal.messages import CapacityReport
from snipedeal.node import Node
from snipedeal.plugins import PLUGINS
from snipedeal.settings import AgentSettings
from snipedeal_agent.connections import make_connector
from snipedeal_agent.dialects import DIALECTS
from snipedeal_agent.dialects import Target

CONFIGURATION_KINDS = frozenset({"service", "pool"})


class Agent:
    """Own the node, the gate and the plug-ins of an agent.

    :param settings: validated settings.
    """

    def __init__(self, settings: AgentSettings) -> None:
        self.settings = settings
        self.node = Node(
            settings.node, TARGET, CONFIGURATION_KINDS, defaults.AGENT_FLUSH_INTERVAL_MS
        )
        self.dialect = DIALECTS[settings.dialect]
        self.gate = Gate(slots=settings.slots, times=VirtualTimes(settings.node.name))
        self.exchange = DeltaExchange(self.node.name, settings.service, self.gate.times)
        self.target: Target | None = None
        self.is_target_up = False
        self.is_target_leaving = False
        self._paused_until_ms = 0
        self.routers: set[str] = set()
        self.plugins = {
            name: factory(self) for name, factory in PLUGINS[TARGET].items()
        }
        self._announced_state = ""
        self.node.status_parts["gate"] = self._status
        self.node.ready_checks.append(self._not_ready_reason)
        self.node.metric_refreshers.append(self._refresh_metrics)

    @property
    def state(self) -> str:
        """State reported to routers.

        ``up``, ``down``, ``leaving``, ``stale``, or ``paused`` while the target wants
        no requests.
        """
        node = self.node
        if node.is_closing or node.membership.is_leaving(node.name):
            return "leaving"
        if self.is_target_leaving:
            return "leaving"
        if self.settings.holds_when_list_is_stale and self._is_list_stale():
            return "stale"
        if not self.is_target_up or self.gate.slots <= 0:
            return "down"
        return "paused" if self.pause_left_ms else "up"

    @property
    def pause_left_ms(self) -> int:
        """Time for which the target wants no more requests, ms."""
        return max(0, self._paused_until_ms - self.node.clock.now_ms())

    def pause(self, wait_ms: int) -> None:
        """Close the gate for a time; a shorter time does not end a longer one."""
        until_ms = self.node.clock.now_ms() + wait_ms
        if until_ms > self._paused_until_ms:
            self._paused_until_ms = until_ms
            self.node.events.add("target.paused", wait_ms=wait_ms)
            self.refresh_state()

    def note_target_leaving(self) -> None:
        """Close the gate until another instance of the target answers."""
        if not self.is_target_leaving:
            self.is_target_leaving = True
            self.node.events.add("target.leaving")
            self.refresh_state()

    def note_target_replaced(self) -> None:
        """Forget what the instance that no longer answers has said of itself."""
        self.is_target_leaving = False
        self._paused_until_ms = 0

    async def start(self) -> None:
        """Start the node, then the plug-ins."""
        await self.node.start()
        session = aiohttp.ClientSession(
            connector=make_connector(), auto_decompress=False
        )
        self.target = Target(self.settings.target_url, session)
        for plugin in self.plugins.values():
            plugin.start()

    async def close(self) -> None:
        """Close the plug-ins, then the node."""
        for plugin in reversed(list(self.plugins.values())):
            await plugin.close()
        await self.node.close()
        if self.target is not None:
            await self.target.session.close()

    def refresh_state(self) -> None:
        """Open or close the gate and report a changed state to the routers."""
        state = self.state
        self.gate.is_open = state == "up"
        if state == self._announced_state:
            return
        logging.info("gate state changed to %s", state)
        self.node.events.add("gate.state", state=state, before=self._announced_state)
        self._announced_state = state
        for router in self.routers:
            self.send_capacity_report(router)

    def send_capacity_report(self, router: str) -> None:
        """Send the gate's state and number of free slots to a router."""
        gate = self.gate
        # Routers dispatch to free slots unasked, which a rate limit does not allow.
        free = gate.free if gate.pace is None else 0
        report = CapacityReport(
            self.settings.service, free, gate.slots, self.state, self.pause_left_ms
        )
        self.node.send(router, report)

    def _is_list_stale(self) -> bool:
        node = self.node
        return node.membership.is_stale(
            node.clock.now_ms(), self.settings.node.vm_list_stale_ms
        )

    def _not_ready_reason(self) -> str:
        return "" if self.state == "up" else f"gate is {self.state}"

    def _status(self) -> dict[str, t.Any]:
        gate = self.gate
        times = gate.times
        return {
            "service": self.settings.service,
            "state": self.state,
            "slots": gate.slots,
            "running": gate.running,
            "rate_limit": gate.pace.limit if gate.pace else None,
            "offered": gate.queued(),
            "virtual_times": {
                name: round(times.delivered(name), 3) for name in times.backlogged
            },
            "accounts": len(times),
            "owned": self.exchange.owned_count,
        }

    def _refresh_metrics(self) -> None:
        service = self.settings.service
        times = [self.gate.times.delivered(c) for c in self.gate.times.backlogged]
        gap = max(times) - min(times) if times else 0.0
        self.node.metrics.fairness_gap.labels(service).set(gap)
        self.node.metrics.queue_length.labels(service).set(self.gate.queued())
