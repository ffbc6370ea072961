"""Send orders that bring targets to the desired state of their pools.

The first router in rendezvous order acquires the lease of a service. Routers later
in that order wait longer and take over if the desired state is not reached in time.
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
from snipedeal.orders import LeaseTable
from snipedeal.orders import encode_fulfilled
from snipedeal.orders import encode_lease
from snipedeal.platform import read_to_end
from snipedeal.plugins import register_plugin
from snipedeal.schemas import Pool
from snipedeal.utils import rank_by_rendezvous
from snipedeal.utils import stable_hash

if t.TYPE_CHECKING:
    from snipedeal_router.router import Router


@attrs.define
class _DesiredState:
    """Desired state of a service's targets, and the orders sent to reach it.

    :param digest: hash of the pools and the names of the targets.
    :param since_ms: monotonic time from which the delay before a takeover counts.
    :param fencing_token: token of this router's lease, ``NO_FENCE`` without one.
    :param is_fulfilled: whether the desired state is recorded as reached.
    :param done_targets: targets that have carried out their order.
    :param sent_ms: monotonic time of the last unanswered order by target.
    """

    digest: str
    since_ms: int
    fencing_token: int = NO_FENCE
    is_fulfilled: bool = False
    done_targets: set[str] = attrs.Factory(set)
    sent_ms: dict[str, int] = attrs.Factory(dict)


@attrs.frozen
class _PendingTarget:
    """A target that is not yet in the desired state of its pool."""

    name: str
    pool: Pool


@register_plugin(ROUTER, "orders")
class OrderSender:
    """Send orders for services whose pools have a desired state.

    :param router: the router that this plug-in belongs to.
    """

    def __init__(self, router: "Router") -> None:
        self._node = router.node
        self._leases = LeaseTable()
        self._desired_states: dict[str, _DesiredState] = {}

    def start(self) -> None:
        """Register the handler for results and start the periodic check."""
        self._node.handle(OrderDone, self._on_done)
        self._node.run_loop(self._run, "orders")

    async def close(self) -> None:
        """Do nothing; the node cancels the task."""

    async def _run(self) -> None:
        while True:
            await asyncio.sleep(defaults.ORDER_TICK_MS / 1000)
            for service, pools in self._pools_with_desired_state().items():
                try:
                    await self._reconcile(service, pools)
                except LogUnavailableError as error:
                    self._node.report_log_status(True, "orders", str(error))

    def _pools_with_desired_state(self) -> dict[str, list[Pool]]:
        found: dict[str, list[Pool]] = {}
        for pool in self._node.configuration.pools.values():
            if pool.desired is not None:
                found.setdefault(pool.service, []).append(pool)
        return found

    async def _reconcile(self, service: str, pools: list[Pool]) -> None:
        state = self._desired_state(service, pools)
        now_ms = self._node.clock.now_ms()
        if state.is_fulfilled:
            return
        if now_ms - state.since_ms < self._rank(service) * defaults.ORDER_TAKE_OVER_MS:
            return
        if state.fencing_token == NO_FENCE:
            await self._read_leases()
            state.is_fulfilled = self._leases.is_fulfilled(service, state.digest)
            if state.is_fulfilled:
                return
            await self._acquire_lease(service, state)
        await self._send_orders(service, pools, state)

    def _desired_state(self, service: str, pools: list[Pool]) -> _DesiredState:
        targets = sorted(vm.name for vm in self._node.membership.targets(service))
        pools_json = json.dumps([unstructure(pool) for pool in pools], sort_keys=True)
        digest = f"{stable_hash(pools_json, *targets):016x}"
        state = self._desired_states.get(service)
        if state is None or state.digest != digest:
            state = _DesiredState(digest, self._node.clock.now_ms())
            self._desired_states[service] = state
        return state

    async def _acquire_lease(self, service: str, state: _DesiredState) -> None:
        text = encode_lease(service, self._node.name)
        state.fencing_token = await self._node.log.append(defaults.ORDER_STREAM, text)
        self._node.events.add(
            "orders.lease", service=service, fence=state.fencing_token
        )

    async def _send_orders(
        self, service: str, pools: list[Pool], state: _DesiredState
    ) -> None:
        """Read the log again for a newer lease, then send the next orders."""
        started_ms = self._node.clock.now_ms()
        await self._read_leases()
        if self._leases.fence(service) > state.fencing_token:
            # Another router took over; wait before checking whether it succeeded.
            state.fencing_token = NO_FENCE
            state.since_ms = self._node.clock.now_ms() + defaults.ORDER_TAKE_OVER_MS
            return
        pending_targets = self._pending_targets(service, pools, state)
        if not pending_targets:
            await self._record_fulfilled(service, state)
            return
        age_ms = self._node.clock.now_ms() - started_ms
        # After a slow read, another router may have acquired a newer lease.
        if age_ms > defaults.ORDER_READ_MAX_AGE_MS:
            return
        for item in pending_targets[: defaults.MAX_CONCURRENT_ORDERS]:
            self._send_order(item.name, item.pool, state, started_ms)

    def _pending_targets(
        self, service: str, pools: list[Pool], state: _DesiredState
    ) -> list[_PendingTarget]:
        found = []
        for vm in self._node.membership.targets(service):
            pool = next((pool for pool in pools if pool.has_target(vm.name)), None)
            if pool is not None and vm.name not in state.done_targets:
                found.append(_PendingTarget(vm.name, pool))
        return found

    def _send_order(
        self, target: str, pool: Pool, state: _DesiredState, now_ms: int
    ) -> None:
        sent_ms = state.sent_ms.get(target)
        if sent_ms is not None and now_ms - sent_ms < defaults.ORDER_TIMEOUT_MS:
            return
        state.sent_ms[target] = now_ms
        desired = pool.desired
        assert desired is not None
        order = Order(
            f"{pool.service}/{state.digest}/{target}",
            state.fencing_token,
            desired.action,
            desired.name,
            desired.version,
        )
        self._node.events.add("orders.sent", target=target, fence=state.fencing_token)
        self._node.send(target, order)

    def _on_done(self, target: str, message: OrderDone) -> None:
        service, digest, _ = message.order.split("/")
        state = self._desired_states.get(service)
        if state is None or state.digest != digest:
            return
        state.sent_ms.pop(target, None)
        if message.outcome == "done":
            state.done_targets.add(target)

    async def _record_fulfilled(self, service: str, state: _DesiredState) -> None:
        if not self._leases.is_fulfilled(service, state.digest):
            text = encode_fulfilled(service, state.fencing_token, state.digest)
            await self._node.log.append(defaults.ORDER_STREAM, text)
        state.is_fulfilled = True

    async def _read_leases(self) -> None:
        await read_to_end(
            self._node.log,
            defaults.ORDER_STREAM,
            lambda: self._leases.offset + 1,
            self._leases.apply_batch,
        )

    def _rank(self, service: str) -> int:
        names = {vm.name for vm in self._node.membership.routers()}
        ranked = rank_by_rendezvous(f"orders/{service}", names | {self._node.name})
        return ranked.index(self._node.name)
