"""Test that an agent refuses the orders of a superseded lease holder.

A holder that was paused does not notice the newer lease and sends its order late. The
agent must refuse it, even before it has received any order under the newer lease.
"""

import asyncio

from snipedeal import defaults
from snipedeal.clock import Clock
from snipedeal.messages import Order
from snipedeal.messages import OrderDone
from snipedeal.orders import encode_lease
from snipedeal.transport import Handlers
from snipedeal.transport import Transport
from snipedeal_standins.fleet import free_port
from snipedeal_standins.scenarios import MODEL

AGENT = "engine-0"


class DelayedLeaseHolder:
    """A lease holder that sends orders after its lease was superseded."""

    def __init__(self, fleet):
        address = f"tcp://127.0.0.1:{free_port()}"
        handlers = Handlers(self._on_message, lambda name: None, lambda name: None)
        self.transport = Transport("holder", address, address, Clock(), handlers)
        self._answers = asyncio.Queue()
        self._fleet = fleet

    def _on_message(self, name, message):
        if isinstance(message, OrderDone):
            self._answers.put_nowait(message)

    async def take_lease(self):
        url = f"{self._fleet.log_url}/streams/{defaults.ORDER_STREAM}/records"
        text = encode_lease(MODEL, "holder")
        async with self._fleet.session.post(url, data=text.encode()) as answer:
            return (await answer.json())["offset"]

    async def order(self, fence, version):
        message = Order(f"{MODEL}/w/{AGENT}", fence, "load_model", "m", version)
        self.transport.connect(AGENT, self._fleet.peer_address(AGENT))
        self.transport.send(AGENT, message)
        return await asyncio.wait_for(self._answers.get(), 30)


async def send_superseded_order(fleet):
    holder = DelayedLeaseHolder(fleet)
    holder.transport.start()
    try:
        old = await holder.take_lease()
        first = await holder.order(old, "old")
        new = await holder.take_lease()
        # Sent after the new lease is acquired, but before any order under it.
        late = await holder.order(old, "late")
        loaded_late = (await fleet.engine_load(AGENT))["loaded"]
        second = await holder.order(new, "new")
        again = await holder.order(old, "again")
        loaded = (await fleet.engine_load(AGENT))["loaded"]
    finally:
        await holder.transport.close()
    outcomes = [done.outcome for done in (first, late, second, again)]
    return outcomes, loaded_late, loaded


def test_superseded_order_is_refused_before_and_after_a_newer_one(small_fleet):
    outcomes, loaded_late, loaded = small_fleet.run(
        send_superseded_order(small_fleet.fleet)
    )
    assert outcomes == ["done", "stale", "done", "stale"]
    assert loaded_late == {"load_model": "m@old"}
    assert loaded == {"load_model": "m@new"}
