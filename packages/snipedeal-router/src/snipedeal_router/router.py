"""Define the router object, which owns the node and the plug-ins."""

from snipedeal import defaults
from snipedeal.membership import ROUTER
from snipedeal.node import Node
from snipedeal.plugins import PLUGINS
from snipedeal.quarantine import CrashEvidence
from snipedeal.quarantine import Quarantine
from snipedeal.retries import RetryBudgets
from snipedeal.settings import RouterSettings


class Router:
    """Own the node and the plug-ins of a router.

    :param settings: validated settings.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self.settings = settings
        self.node = Node(
            settings.node, ROUTER, flush_interval_ms=defaults.FLUSH_INTERVAL_MS
        )
        self.quarantine = Quarantine()
        self.evidence = CrashEvidence()
        self.budgets = RetryBudgets()
        self.plugins = {
            name: factory(self) for name, factory in PLUGINS[ROUTER].items()
        }

    async def start(self) -> None:
        """Start the node, then the plug-ins."""
        await self.node.start()
        for plugin in self.plugins.values():
            plugin.start()

    async def close(self) -> None:
        """Close the plug-ins, then the node."""
        for plugin in reversed(list(self.plugins.values())):
            await plugin.close()
        await self.node.close()
