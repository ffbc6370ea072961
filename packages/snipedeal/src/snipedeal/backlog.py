"""Requests queued at a router, and the gates that they are offered to.

An offer tells a gate how many requests of a customer are queued; it does not
name requests. While requests of a customer stay queued, the number of gates that
they are offered to (the fanout) doubles after every interval, up to a limit. Any
other gate that has a free slot and no offers asks for offers itself.
"""

import collections
import typing as t

import attrs

from snipedeal import defaults
from snipedeal.utils import rank_by_rendezvous


@attrs.frozen
class OfferChange:
    """A new count of queued requests, to be sent to a gate."""

    gate: str
    customer: str
    count: int


@attrs.define
class _Queue:
    """Queued requests of one customer, in the order of dispatch.

    :param requests: monotonic time of queueing in milliseconds, by request.
    :param fanout_raised_ms: when the customer became backlogged or its fanout was
        last doubled.
    :param fanout: number of gates that the requests are offered to.
    :param announced: the count last sent to each gate, minus the requests that the
        gate has asked for since.
    """

    requests: collections.OrderedDict[str, int] = attrs.Factory(collections.OrderedDict)
    fanout_raised_ms: int = 0
    fanout: int = defaults.OFFER_FANOUT_FIRST
    announced: dict[str, int] = attrs.Factory(dict)


@attrs.define
class Backlog:
    """The queued requests of one service at one router.

    :param seed: name of the router; routers with different names prefer different
        gates.
    """

    seed: str
    _queues: dict[str, _Queue] = attrs.Factory(dict)
    _gates: list[str] = attrs.Factory(list)

    def __len__(self) -> int:
        return sum(len(queue.requests) for queue in self._queues.values())

    @property
    def customers(self) -> list[str]:
        """Customers with queued requests."""
        return [name for name, queue in self._queues.items() if queue.requests]

    def count(self, customer: str) -> int:
        """Return how many requests of a customer are queued."""
        queue = self._queues.get(customer)
        return len(queue.requests) if queue else 0

    def add(
        self, customer: str, request: str, now_ms: int, is_first: bool = False
    ) -> None:
        """Queue a request.

        :param now_ms: monotonic time.
        :param is_first: queue it before the customer's other requests, for a request
            that returns from a gate.
        """
        queue = self._queues.setdefault(customer, _Queue())
        if not queue.requests:
            queue.fanout_raised_ms = now_ms
            queue.fanout = defaults.OFFER_FANOUT_FIRST
        queue.requests[request] = now_ms
        if is_first:
            queue.requests.move_to_end(request, last=False)

    def remove(self, customer: str, request: str) -> bool:
        """Remove a request; return whether it was queued."""
        queue = self._queues.get(customer)
        return queue is not None and queue.requests.pop(request, None) is not None

    def dequeue(self, customer: str, gate: str) -> str | None:
        """Remove and return the first request of a customer for a gate.

        :return: the request, ``None`` if no request is queued.
        """
        queue = self._queues.get(customer)
        if queue is None:
            return None
        # The gate decremented its own count when it asked for the request.
        if gate in queue.announced:
            queue.announced[gate] = max(0, queue.announced[gate] - 1)
        if not queue.requests:
            return None
        return queue.requests.popitem(last=False)[0]

    def set_gates(self, gates: t.Iterable[str]) -> None:
        """Set the gates of the service that may get offers now."""
        self._gates = list(gates)
        for queue in self._queues.values():
            queue.announced = {
                gate: count
                for gate, count in queue.announced.items()
                if gate in self._gates
            }

    def forget_gate(self, gate: str) -> None:
        """Discard the counts sent to a gate that has lost its state."""
        for queue in self._queues.values():
            queue.announced.pop(gate, None)

    def changes(self, now_ms: int) -> list[OfferChange]:
        """Return the offers and withdrawals to send now, and record them as sent.

        :param now_ms: monotonic time.
        """
        updates: list[OfferChange] = []
        for customer in list(self._queues):
            queue = self._queues[customer]
            self._raise_fanout(queue, now_ms)
            updates.extend(self._changes_of(customer, queue))
            if not queue.requests and not any(queue.announced.values()):
                del self._queues[customer]
        return updates

    def offers_for(self, gate: str) -> list[OfferChange]:
        """Return offers of all queued requests, for a gate that asks for offers.

        They are recorded as sent. Customers already offered to the gate are left
        out.
        """
        updates = []
        for customer, queue in self._queues.items():
            count = len(queue.requests)
            if count and not queue.announced.get(gate):
                queue.announced[gate] = count
                updates.append(OfferChange(gate, customer, count))
        return updates

    def _raise_fanout(self, queue: _Queue, now_ms: int) -> None:
        if not queue.requests or queue.fanout >= defaults.OFFER_FANOUT_LIMIT:
            return
        if now_ms - queue.fanout_raised_ms >= defaults.OFFER_FANOUT_DOUBLE_AFTER_MS:
            queue.fanout = min(2 * queue.fanout, defaults.OFFER_FANOUT_LIMIT)
            queue.fanout_raised_ms = now_ms

    def _changes_of(self, customer: str, queue: _Queue) -> list[OfferChange]:
        count = len(queue.requests)
        updates: list[OfferChange] = []
        if count:
            for gate in self._gates_for(customer, queue):
                if _needs_update(queue.announced.get(gate, 0), count):
                    updates.append(OfferChange(gate, customer, count))
        else:
            for gate, announced in queue.announced.items():
                if announced:
                    updates.append(OfferChange(gate, customer, 0))
        for change in updates:
            queue.announced[change.gate] = change.count
        return updates

    def _gates_for(self, customer: str, queue: _Queue) -> list[str]:
        if queue.fanout >= len(self._gates):
            return self._gates
        ranked = rank_by_rendezvous(f"{self.seed}/{customer}", self._gates)
        return ranked[: queue.fanout]


def _needs_update(announced: int, count: int) -> bool:
    """Whether a gate needs a new count: it has none, or is off by a factor of two."""
    return announced == 0 or count >= 2 * announced or 2 * count <= announced
