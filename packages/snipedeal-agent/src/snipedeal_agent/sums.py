"""Exchange the service units delivered to each customer among a service's gates."""

import asyncio
import typing as t

from snipedeal.membership import TARGET
from snipedeal.messages import ServiceDelta
from snipedeal.messages import ServiceTotal
from snipedeal.plugins import register_plugin

if t.TYPE_CHECKING:
    from snipedeal_agent.agent import Agent


@register_plugin(TARGET, "sums")
class ServiceSums:
    """Send deltas periodically and answer those of other gates with sums.

    :param agent: the agent that this plug-in belongs to.
    """

    def __init__(self, agent: "Agent") -> None:
        self._agent = agent
        self._node = agent.node
        self._exchange = agent.exchange

    def start(self) -> None:
        """Register the message handlers and start the periodic exchange."""
        node = self._node
        node.handle(ServiceDelta, self._on_delta)
        node.handle(ServiceTotal, self._on_total)
        node.on_peer_reset.append(self._exchange.on_peer_lost)
        node.on_peer_lost.append(self._exchange.on_peer_lost)
        node.on_membership.append(self._on_membership)
        node.run_loop(self._run, "sums")

    async def close(self) -> None:
        """Do nothing; the node cancels the task."""

    async def _run(self) -> None:
        while True:
            interval_ms = self._exchange.interval_ms()
            await asyncio.sleep(interval_ms / 1000)
            self._exchange.forget_idle()
            for gate, message in self._exchange.deltas().items():
                self._node.send(gate, message)

    def _on_membership(self) -> None:
        service = self._agent.settings.service
        gates = [vm.name for vm in self._node.membership.targets(service)]
        self._exchange.set_gates(gates)

    def _on_delta(self, gate: str, message: ServiceDelta) -> None:
        if message.service == self._exchange.service:
            self._node.send(gate, self._exchange.on_delta(gate, message))

    def _on_total(self, gate: str, message: ServiceTotal) -> None:
        if message.service == self._exchange.service:
            self._exchange.on_total(gate, message)
