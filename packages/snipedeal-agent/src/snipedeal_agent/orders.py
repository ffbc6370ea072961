"""Forward orders to the target unless a newer lease supersedes them."""

import asyncio
import typing as t

import aiohttp

from snipedeal import defaults
from snipedeal.exceptions import PlatformError
from snipedeal.exceptions import StaleOrderError
from snipedeal.membership import TARGET
from snipedeal.messages import Order
from snipedeal.messages import OrderDone
from snipedeal.orders import FenceGuard
from snipedeal.orders import LeaseTable
from snipedeal.platform import read_to_end
from snipedeal.plugins import register_plugin

if t.TYPE_CHECKING:
    from snipedeal_agent.agent import Agent

DONE = "done"
STALE = "stale"
FAILED = "failed"
_HTTP_OK = 200
_HTTP_CONFLICT = 409


@register_plugin(TARGET, "orders")
class OrderExecutor:
    """Execute orders one at a time.

    Before each order, the log is read for a newer lease. The age of that read is
    checked by the monotonic clock right before the target is called, so that a
    process that was paused in between does not act on an outdated read.

    :param agent: the agent that this plug-in belongs to.
    """

    def __init__(self, agent: "Agent") -> None:
        self._agent = agent
        self._node = agent.node
        self._leases = LeaseTable()
        self._guard = FenceGuard(defaults.ORDER_READ_MAX_AGE_MS)
        self._queue: asyncio.Queue[tuple[str, Order]] = asyncio.Queue()

    def start(self) -> None:
        """Register the handler for orders and start executing them."""
        self._node.handle(Order, self._on_order)
        self._node.run_loop(self._run, "orders")

    async def close(self) -> None:
        """Do nothing; the node cancels the task."""

    def _on_order(self, router: str, order: Order) -> None:
        self._queue.put_nowait((router, order))

    async def _run(self) -> None:
        while True:
            router, order = await self._queue.get()
            outcome = await self._execute(order)
            self._node.events.add(
                "order.ended",
                order=order.order,
                fence=order.fencing_token,
                outcome=outcome,
            )
            self._node.send(
                router, OrderDone(order.order, outcome, self._guard.highest)
            )

    async def _execute(self, order: Order) -> str:
        try:
            await self._agent.plugins["health"].probe()
            if self._is_loaded(order) and self._guard.is_current(order.fencing_token):
                return DONE
            await self._check_lease(order)
            return await self._call_target(order)
        except StaleOrderError:
            return STALE
        except PlatformError as error:
            self._node.report_log_status(True, "orders", str(error))
            return FAILED

    async def _check_lease(self, order: Order) -> None:
        """Read the log until the last read is recent enough to act on.

        :raises StaleOrderError: a newer lease exists.
        :raises PlatformError: the log can't be read, so a newer lease may exist.
        """
        now_ms = self._node.clock.now_ms
        while True:
            started_ms = now_ms()
            await self._read_leases()
            fence = self._leases.fence(self._agent.settings.service)
            self._guard.note_read(started_ms, fence)
            if not self._guard.is_current(order.fencing_token):
                raise StaleOrderError("a newer lease supersedes the order", "order")
            if self._guard.is_fresh(now_ms()):
                return

    async def _read_leases(self) -> None:
        await read_to_end(
            self._node.log,
            defaults.ORDER_STREAM,
            lambda: self._leases.offset + 1,
            self._leases.apply_batch,
        )

    async def _call_target(self, order: Order) -> str:
        body = {
            "fence": order.fencing_token,
            "action": order.action,
            "name": order.name,
            "version": order.version,
        }
        timeout = aiohttp.ClientTimeout(total=defaults.ORDER_TARGET_TIMEOUT_MS / 1000)
        target = self._agent.target
        if not self._guard.is_fresh(self._node.clock.now_ms()):
            return FAILED
        self._guard.note_acted(order.fencing_token)
        try:
            async with target.session.post(
                f"{target.url}/orders", json=body, timeout=timeout
            ) as response:
                if response.status == _HTTP_CONFLICT:
                    return STALE
                return DONE if response.status == _HTTP_OK else FAILED
        except (aiohttp.ClientError, TimeoutError, OSError):
            return FAILED

    def _is_loaded(self, order: Order) -> bool:
        """Return whether the target's last load report shows the order as done."""
        loaded = self._agent.plugins["health"].load.get("loaded", {})
        if not isinstance(loaded, dict):
            return False
        return loaded.get(order.action) == f"{order.name}@{order.version}"
