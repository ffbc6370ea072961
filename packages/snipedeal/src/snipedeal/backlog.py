"""Requests that wait at a router, and to which gates they are offered.

Offers go out by customer, not by request: a gate learns how many requests of
a customer wait. A customer whose work keeps waiting is offered to more gates,
twice as many after every interval, up to a limit. A gate beyond it that has room
and knows of no work asks for offers.
"""

import collections
import typing as t

import attrs

from snipedeal import defaults
from snipedeal.utils import rank_by_rendezvous


@attrs.frozen
class OfferChange:
    """A gate is to be told a new count of waiting requests."""

    gate: str
    customer: str
    count: int


@attrs.define
class _Queue:
    """Waiting requests of one customer, in order of arrival.

    :param requests: time of arrival by request.
    :param widened_ms: when the customer became backlogged or was last offered
        to more gates.
    :param told: the count last told to each gate.
    """

    requests: collections.OrderedDict[str, int] = attrs.Factory(collections.OrderedDict)
    widened_ms: int = 0
    fanout: int = defaults.OFFER_FANOUT_FIRST
    told: dict[str, int] = attrs.Factory(dict)


@attrs.define
class Backlog:
    """The waiting requests of one service at one router.

    :param seed: name of the router; routers spread their offers differently.
    """

    seed: str
    _queues: dict[str, _Queue] = attrs.Factory(dict)
    _gates: list[str] = attrs.Factory(list)

    def __len__(self) -> int:
        return sum(len(queue.requests) for queue in self._queues.values())

    @property
    def customers(self) -> list[str]:
        """Customers with requests waiting."""
        return [name for name, queue in self._queues.items() if queue.requests]

    def count(self, customer: str) -> int:
        """Return how many requests of a customer wait."""
        queue = self._queues.get(customer)
        return len(queue.requests) if queue else 0

    def add(
        self, customer: str, request: str, now_ms: int, is_first: bool = False
    ) -> None:
        """Queue a request.

        :param now_ms: monotonic time.
        :param is_first: put it before the others, for one that was given back.
        """
        queue = self._queues.setdefault(customer, _Queue())
        if not queue.requests:
            queue.widened_ms = now_ms
            queue.fanout = defaults.OFFER_FANOUT_FIRST
        queue.requests[request] = now_ms
        if is_first:
            queue.requests.move_to_end(request, last=False)

    def remove(self, customer: str, request: str) -> bool:
        """Take out a certain request; return whether it was waiting."""
        queue = self._queues.get(customer)
        return queue is not None and queue.requests.pop(request, None) is not None

    def take(self, customer: str, gate: str) -> str | None:
        """Take out the oldest request of a customer for a gate.

        :return: the request, ``None`` where none waits.
        """
        queue = self._queues.get(customer)
        if queue is None:
            return None
        # the gate counted the request down itself when it asked.
        if gate in queue.told:
            queue.told[gate] = max(0, queue.told[gate] - 1)
        if not queue.requests:
            return None
        return queue.requests.popitem(last=False)[0]

    def set_gates(self, gates: t.Iterable[str]) -> None:
        """Take the gates that may run the service now."""
        self._gates = list(gates)
        for queue in self._queues.values():
            queue.told = {
                gate: count for gate, count in queue.told.items() if gate in self._gates
            }

    def forget_gate(self, gate: str) -> None:
        """Note that a gate lost what it had been told."""
        for queue in self._queues.values():
            queue.told.pop(gate, None)

    def changes(self, now_ms: int) -> list[OfferChange]:
        """Return what gates have to be told, and count it as told.

        :param now_ms: monotonic time.
        """
        found: list[OfferChange] = []
        for customer in list(self._queues):
            queue = self._queues[customer]
            self._widen(queue, now_ms)
            found.extend(self._changes_of(customer, queue))
            if not queue.requests and not any(queue.told.values()):
                del self._queues[customer]
        return found

    def seek(self, gate: str) -> list[OfferChange]:
        """Return offers of everything that waits, for a gate that asks.

        They count as told.
        """
        found = []
        for customer, queue in self._queues.items():
            count = len(queue.requests)
            if count and not queue.told.get(gate):
                queue.told[gate] = count
                found.append(OfferChange(gate, customer, count))
        return found

    def _widen(self, queue: _Queue, now_ms: int) -> None:
        if not queue.requests or queue.fanout >= defaults.OFFER_FANOUT_LIMIT:
            return
        if now_ms - queue.widened_ms >= defaults.OFFER_WIDEN_AFTER_MS:
            queue.fanout = min(2 * queue.fanout, defaults.OFFER_FANOUT_LIMIT)
            queue.widened_ms = now_ms

    def _changes_of(self, customer: str, queue: _Queue) -> list[OfferChange]:
        count = len(queue.requests)
        found: list[OfferChange] = []
        if count:
            for gate in self._chosen(customer, queue):
                if _is_worth_telling(queue.told.get(gate, 0), count):
                    found.append(OfferChange(gate, customer, count))
        else:
            for gate, told in queue.told.items():
                if told:
                    found.append(OfferChange(gate, customer, 0))
        for change in found:
            queue.told[change.gate] = change.count
        return found

    def _chosen(self, customer: str, queue: _Queue) -> list[str]:
        if queue.fanout >= len(self._gates):
            return self._gates
        ranked = rank_by_rendezvous(f"{self.seed}/{customer}", self._gates)
        return ranked[: queue.fanout]


def _is_worth_telling(told: int, count: int) -> bool:
    """Whether a gate needs a new count: it ran out, or it knows far too few."""
    return told == 0 or count >= 2 * told or 2 * count <= told
