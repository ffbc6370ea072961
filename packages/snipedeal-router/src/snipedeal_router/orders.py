"""Order targets to become what the configuration wants.

The first router in rendezvous order takes the lease of a service; the next
ones wait longer and take over when the wish is not fulfilled in time.
"""

import asyncio
import json
import typing as t

import attrs

from snipedeal import defaults
from snipedeal.checking import unstructure
from snipedeal.exceptions import LogUnavailableError
from snipedeal.membership import ROUTER
from snipedeal.messages import Order
from snipedeal.messages import OrderDone
from snipedeal.orders import NO_FENCE
from snipedeal.orders import OrderBook
from snipedeal.orders import fulfilled_text
from snipedeal.orders import lease_text
from snipedeal.platform import read_to_end
from snipedeal.plugins import register_plugin
from snipedeal.schemas import Pool
from snipedeal.utils import rank_by_rendezvous
from snipedeal.utils import stable_hash

if t.TYPE_CHECKING:
    from snipedeal_router.router import Router


@attrs.define
class _Wish:
    """What the targets of a service are to be, and since when.

    :param text: canonical text of the wish and its targets.
    """

    text: str
    since_ms: int
    fence: int = NO_FENCE
    is_fulfilled: bool = False
    done: set[str] = attrs.Factory(set)
    sent_ms: dict[str, int] = attrs.Factory(dict)


@attrs.frozen
class _OpenTarget:
    """A target that is not yet as its pool wants it."""

    name: str
    pool: Pool


@register_plugin(ROUTER, "orders")
class OrderGiver:
    """Give orders for the services whose pools want something.

    :param router: the router that this is a part of.
    """

    def __init__(self, router: "Router") -> None:
        self._node = router.node
        self._book = OrderBook()
        self._wishes: dict[str, _Wish] = {}

    def start(self) -> None:
        """Take answers and begin to keep time."""
        self._node.handle(OrderDone, self._on_done)
        self._node.run_loop(self._run, "orders")

    async def close(self) -> None:
        """Do nothing; the node ends the task."""

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(defaults.ORDER_TICK_MS / 1000)
            for service, pools in self._wanting().items():
                try:
                    await self._serve(service, pools)
                except LogUnavailableError as error:
                    self._node.note_log(True, "orders", str(error))

    def _wanting(self) -> dict[str, list[Pool]]:
        found: dict[str, list[Pool]] = {}
        for pool in self._node.configuration.pools.values():
            if pool.desired is not None:
                found.setdefault(pool.service, []).append(pool)
        return found

    async def _serve(self, service: str, pools: list[Pool]) -> None:
        wish = self._wish(service, pools)
        now_ms = self._node.clock.now_ms()
        if wish.is_fulfilled:
            return
        if now_ms - wish.since_ms < self._rank(service) * defaults.ORDER_TAKE_OVER_MS:
            return
        if wish.fence == NO_FENCE:
            await self._read_book()
            wish.is_fulfilled = self._book.is_fulfilled(service, wish.text)
            if wish.is_fulfilled:
                return
            await self._take_lease(service, wish)
        await self._give_orders(service, pools, wish)

    def _wish(self, service: str, pools: list[Pool]) -> _Wish:
        targets = sorted(vm.name for vm in self._node.membership.targets(service))
        parts = json.dumps([unstructure(pool) for pool in pools], sort_keys=True)
        text = f"{stable_hash(parts, *targets):016x}"
        wish = self._wishes.get(service)
        if wish is None or wish.text != text:
            wish = _Wish(text, self._node.clock.now_ms())
            self._wishes[service] = wish
        return wish

    async def _take_lease(self, service: str, wish: _Wish) -> None:
        text = lease_text(service, self._node.name)
        wish.fence = await self._node.log.append(defaults.ORDER_STREAM, text)
        self._node.events.add("orders.lease", service=service, fence=wish.fence)

    async def _give_orders(self, service: str, pools: list[Pool], wish: _Wish) -> None:
        """Send the next orders, after a fresh look for a newer lease."""
        started_ms = self._node.clock.now_ms()
        await self._read_book()
        if self._book.fence(service) > wish.fence:
            # another router took over; look again later whether it succeeded.
            wish.fence = NO_FENCE
            wish.since_ms = self._node.clock.now_ms() + defaults.ORDER_TAKE_OVER_MS
            return
        open_targets = self._open_targets(service, pools, wish)
        if not open_targets:
            await self._note_fulfilled(service, wish)
            return
        age_ms = self._node.clock.now_ms() - started_ms
        if age_ms > defaults.ORDER_READ_MAX_AGE_MS:
            return
        for item in open_targets[: defaults.ORDERS_AT_ONCE]:
            self._send(item.name, item.pool, wish, started_ms)

    def _open_targets(
        self, service: str, pools: list[Pool], wish: _Wish
    ) -> list[_OpenTarget]:
        found = []
        for vm in self._node.membership.targets(service):
            pool = next((pool for pool in pools if pool.has_target(vm.name)), None)
            if pool is not None and vm.name not in wish.done:
                found.append(_OpenTarget(vm.name, pool))
        return found

    def _send(self, target: str, pool: Pool, wish: _Wish, now_ms: int) -> None:
        sent_ms = wish.sent_ms.get(target)
        if sent_ms is not None and now_ms - sent_ms < defaults.ORDER_ANSWER_LIMIT_MS:
            return
        wish.sent_ms[target] = now_ms
        desired = pool.desired
        assert desired is not None
        order = Order(
            f"{pool.service}/{wish.text}/{target}",
            wish.fence,
            desired.action,
            desired.name,
            desired.version,
        )
        self._node.events.add("orders.sent", target=target, fence=wish.fence)
        self._node.send(target, order)

    def _on_done(self, target: str, message: OrderDone) -> None:
        service, text, _ = message.order.split("/")
        wish = self._wishes.get(service)
        if wish is None or wish.text != text:
            return
        wish.sent_ms.pop(target, None)
        if message.outcome == "done":
            wish.done.add(target)

    async def _note_fulfilled(self, service: str, wish: _Wish) -> None:
        if not self._book.is_fulfilled(service, wish.text):
            text = fulfilled_text(service, wish.fence, wish.text)
            await self._node.log.append(defaults.ORDER_STREAM, text)
        wish.is_fulfilled = True

    async def _read_book(self) -> None:
        await read_to_end(
            self._node.log,
            defaults.ORDER_STREAM,
            lambda: self._book.offset + 1,
            self._book.take_batch,
        )

    def _rank(self, service: str) -> int:
        names = {vm.name for vm in self._node.membership.routers()}
        ranked = rank_by_rendezvous(f"orders/{service}", names | {self._node.name})
        return ranked.index(self._node.name)
