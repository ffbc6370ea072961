"""Sum service by customer over the gates of one service.

The owner of a customer is found by rendezvous hashing over the live gates.
Each gate sends its deltas to the owners and takes back their sums. The state
of an owner is soft: a new owner starts from the largest sum that any gate
remembers, which every delta carries along.
"""

import typing as t

import attrs

from snipedeal import defaults
from snipedeal.fairness import NO_FLOOR
from snipedeal.fairness import VirtualTimes
from snipedeal.messages import CustomerDelta
from snipedeal.messages import ServiceDelta
from snipedeal.messages import ServiceTotal
from snipedeal.utils import rendezvous_owner


def exchange_interval_ms(peer_count: int, customer_count: int) -> int:
    """Return how often a gate exchanges sums.

    The interval grows with what an exchange carries, so that its bytes per
    second stay within their budget, but only so far that gates still know of
    each other's service in time.

    :param peer_count: other gates of the service.
    :param customer_count: customers whose sums changed since the last one.
    """
    size = peer_count * defaults.EXCHANGE_BYTES_PER_PEER
    size += customer_count * defaults.EXCHANGE_BYTES_PER_CUSTOMER
    interval_ms = size * 1000 // defaults.EXCHANGE_BUDGET_BYTES_PER_S
    interval_ms = min(interval_ms, defaults.EXCHANGE_INTERVAL_MAX_MS)
    return max(defaults.EXCHANGE_INTERVAL_MIN_MS, interval_ms)


@attrs.define
class Exchange:
    """One gate's part in the exchange, as sender and as owner.

    :param name: name of this gate.
    :param service: name of the service.
    :param times: the gate's virtual times.
    """

    name: str
    service: str
    times: VirtualTimes
    _gates: list[str] = attrs.Factory(list)
    _owned: dict[str, int] = attrs.Factory(dict)
    _waiting: dict[str, dict[str, CustomerDelta]] = attrs.Factory(dict)
    _version: int = 0
    _changed: dict[str, int] = attrs.Factory(dict)
    _told: dict[str, int] = attrs.Factory(dict)
    _carried: int = 0

    @property
    def peers(self) -> list[str]:
        """Other live gates of the service."""
        return [gate for gate in self._gates if gate != self.name]

    @property
    def owned_count(self) -> int:
        """Number of customers whose sums this gate keeps."""
        return len(self._owned)

    def set_gates(self, gates: t.Iterable[str]) -> None:
        """Take the live gates of the service from the VM list.

        :param gates: names, this gate's own included or not.
        """
        gates = sorted({*gates, self.name})
        if gates == self._gates:
            return
        for gone in set(self._gates) - set(gates):
            self.on_peer_lost(gone)
        self._gates = gates
        for customer in list(self._owned):
            if self.owner(customer) != self.name:
                del self._owned[customer]
                del self._changed[customer]

    def interval_ms(self) -> int:
        """Return the time until the next exchange, by what the last carried."""
        return exchange_interval_ms(len(self.peers), self._carried)

    def owner(self, customer: str) -> str:
        """Return the gate that sums a customer's service."""
        return rendezvous_owner(customer, self._gates) or self.name

    def deltas(self) -> dict[str, ServiceDelta]:
        """Return the messages of one exchange by receiving gate.

        An owner that has not answered the last message gets no new one.
        """
        floor = self.times.floor()
        outgoing = self._collect_by_owner()
        self._carried = sum(len(items) for items in outgoing.values())
        self._apply_own(outgoing.pop(self.name, {}))
        for owner, items in outgoing.items():
            self._waiting[owner] = items
        return {
            owner: ServiceDelta(self.service, items, floor)
            for owner, items in outgoing.items()
        }

    def on_delta(self, sender: str, message: ServiceDelta) -> ServiceTotal:
        """Add a gate's deltas and return this owner's sums."""
        self.times.set_peer_floor(sender, message.floor)
        for customer, delta in message.items.items():
            self._add(customer, delta)
        since = self._told.get(sender, -1)
        self._told[sender] = self._version
        totals = {
            name: total
            for name, total in self._owned.items()
            if self._changed[name] > since
        }
        self.times.apply_totals(totals, {})
        return ServiceTotal(self.service, totals, self.times.floor())

    def on_total(self, sender: str, message: ServiceTotal) -> None:
        """Take an owner's answer."""
        sent = self._waiting.pop(sender, {})
        self._carried += len(message.items)
        self.times.set_peer_floor(sender, message.floor)
        self.times.apply_totals(message.items, sent)

    def on_peer_lost(self, peer: str) -> None:
        """Take back what a lost or restarted owner had not answered."""
        self.times.restore(self._waiting.pop(peer, {}))
        self.times.drop_peer(peer)
        self._told.pop(peer, None)

    def forget_idle(self) -> None:
        """Drop sums of customers below the level of the backlogged ones."""
        self.times.forget_idle()
        floor = self.times.floor()
        if floor == NO_FLOOR:
            return
        backlogged = self.times.backlogged
        for name in list(self._owned):
            if name not in backlogged and self._owned[name] < floor:
                del self._owned[name]
                del self._changed[name]

    def _collect_by_owner(self) -> dict[str, dict[str, CustomerDelta]]:
        ready = {gate for gate in self._gates if gate not in self._waiting}
        owners = _OwnedBy(self.owner, ready)
        outgoing: dict[str, dict[str, CustomerDelta]] = {
            gate: {} for gate in ready if gate != self.name
        }
        for customer, delta in self.times.collect(owners).items():
            outgoing.setdefault(self.owner(customer), {})[customer] = delta
        return outgoing

    def _apply_own(self, items: dict[str, CustomerDelta]) -> None:
        for customer, delta in items.items():
            self._add(customer, delta)
        totals = {name: self._owned[name] for name in items}
        self.times.apply_totals(totals, items)

    def _add(self, customer: str, delta: CustomerDelta) -> None:
        base = max(self._owned.get(customer, 0), delta.known)
        self._owned[customer] = base + delta.units
        self._version += 1
        self._changed[customer] = self._version


@attrs.define
class _OwnedBy:
    """The set of customers whose owner is among some gates."""

    owner: t.Callable[[str], str]
    gates: set[str]

    def __contains__(self, customer: str) -> bool:
        return self.owner(customer) in self.gates
