"""Sum the virtual time of each customer over the gates of one service.

Rendezvous hashing over the live gates assigns every customer to one gate, the
owner of its sum. Each gate sends deltas to the owners and receives their sums.
Owners keep sums in memory only: every delta contains the largest sum that its
sender knows, and a new owner starts from the largest of these.
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
    """Return the interval between the exchanges of a gate, in milliseconds.

    The interval grows with the size of an exchange, to keep the traffic within
    ``EXCHANGE_BUDGET_BYTES_PER_S``. Its upper limit bounds how late gates learn
    of each other's service.

    :param peer_count: number of other gates of the service.
    :param customer_count: number of customer sums sent and received per exchange.
    """
    size = peer_count * defaults.EXCHANGE_BYTES_PER_PEER
    size += customer_count * defaults.EXCHANGE_BYTES_PER_CUSTOMER
    interval_ms = size * 1000 // defaults.EXCHANGE_BUDGET_BYTES_PER_S
    interval_ms = min(interval_ms, defaults.EXCHANGE_INTERVAL_MAX_MS)
    return max(defaults.EXCHANGE_INTERVAL_MIN_MS, interval_ms)


@attrs.define
class DeltaExchange:
    """One gate's part in the exchange, as sender of deltas and as owner of sums.

    :param name: name of this gate.
    :param service: name of the service.
    :param times: the gate's virtual times.
    """

    name: str
    service: str
    times: VirtualTimes
    _gates: list[str] = attrs.Factory(list)
    _owned_totals: dict[str, int] = attrs.Factory(dict)
    _unacknowledged: dict[str, dict[str, CustomerDelta]] = attrs.Factory(dict)
    _version: int = 0
    _change_versions: dict[str, int] = attrs.Factory(dict)
    _sent_versions: dict[str, int] = attrs.Factory(dict)
    _exchanged_items: int = 0

    @property
    def peers(self) -> list[str]:
        """Names of the other live gates of the service."""
        return [gate for gate in self._gates if gate != self.name]

    @property
    def owned_count(self) -> int:
        """Number of customers whose sums this gate owns."""
        return len(self._owned_totals)

    def set_gates(self, gates: t.Iterable[str]) -> None:
        """Set the live gates of the service.

        :param gates: names from the VM list, with or without this gate's own.
        """
        gates = sorted({*gates, self.name})
        if gates == self._gates:
            return
        for lost_gate in set(self._gates) - set(gates):
            self.on_peer_lost(lost_gate)
        self._gates = gates
        for customer in list(self._owned_totals):
            if self.owner(customer) != self.name:
                del self._owned_totals[customer]
                del self._change_versions[customer]

    def interval_ms(self) -> int:
        """Return the time until the next exchange, from the size of the last."""
        return exchange_interval_ms(len(self.peers), self._exchanged_items)

    def owner(self, customer: str) -> str:
        """Return the gate that owns a customer's sum."""
        return rendezvous_owner(customer, self._gates) or self.name

    def deltas(self) -> dict[str, ServiceDelta]:
        """Return the messages to send in one exchange, by recipient.

        An owner that has not answered the last message receives no new one.
        """
        floor = self.times.floor()
        outgoing = self._collect_by_owner()
        self._exchanged_items = sum(len(items) for items in outgoing.values())
        self._apply_local(outgoing.pop(self.name, {}))
        for owner, items in outgoing.items():
            self._unacknowledged[owner] = items
        return {
            owner: ServiceDelta(self.service, items, floor)
            for owner, items in outgoing.items()
        }

    def on_delta(self, sender: str, message: ServiceDelta) -> ServiceTotal:
        """Add a gate's deltas; return the sums changed since the last answer to it."""
        self.times.set_peer_floor(sender, message.min_virtual_time)
        for customer, delta in message.items.items():
            self._add_delta(customer, delta)
        last_sent = self._sent_versions.get(sender, -1)
        self._sent_versions[sender] = self._version
        totals = {
            name: total
            for name, total in self._owned_totals.items()
            if self._change_versions[name] > last_sent
        }
        self.times.apply_totals(totals, {})
        return ServiceTotal(self.service, totals, self.times.floor())

    def on_total(self, sender: str, message: ServiceTotal) -> None:
        """Apply the sums of an owner, which confirm the deltas sent to it."""
        sent = self._unacknowledged.pop(sender, {})
        self._exchanged_items += len(message.items)
        self.times.set_peer_floor(sender, message.min_virtual_time)
        self.times.apply_totals(message.items, sent)

    def on_peer_lost(self, peer: str) -> None:
        """Take back the deltas that a lost or restarted peer has not confirmed."""
        self.times.restore(self._unacknowledged.pop(peer, {}))
        self.times.drop_peer(peer)
        self._sent_versions.pop(peer, None)

    def forget_idle(self) -> None:
        """Drop idle customers' sums below the floor of the backlogged customers."""
        self.times.forget_idle()
        floor = self.times.floor()
        if floor == NO_FLOOR:
            return
        backlogged = self.times.backlogged
        for name in list(self._owned_totals):
            if name not in backlogged and self._owned_totals[name] < floor:
                del self._owned_totals[name]
                del self._change_versions[name]

    def _collect_by_owner(self) -> dict[str, dict[str, CustomerDelta]]:
        ready = {gate for gate in self._gates if gate not in self._unacknowledged}
        owners = _CustomersOwnedBy(self.owner, ready)
        outgoing: dict[str, dict[str, CustomerDelta]] = {
            gate: {} for gate in ready if gate != self.name
        }
        for customer, delta in self.times.collect(owners).items():
            outgoing.setdefault(self.owner(customer), {})[customer] = delta
        return outgoing

    def _apply_local(self, items: dict[str, CustomerDelta]) -> None:
        for customer, delta in items.items():
            self._add_delta(customer, delta)
        totals = {name: self._owned_totals[name] for name in items}
        self.times.apply_totals(totals, items)

    def _add_delta(self, customer: str, delta: CustomerDelta) -> None:
        base = max(self._owned_totals.get(customer, 0), delta.known_virtual_time)
        self._owned_totals[customer] = base + delta.units
        self._version += 1
        self._change_versions[customer] = self._version


@attrs.define
class _CustomersOwnedBy:
    """The set of customers whose owner is among some gates."""

    owner: t.Callable[[str], str]
    gates: set[str]

    def __contains__(self, customer: str) -> bool:
        return self.owner(customer) in self.gates
