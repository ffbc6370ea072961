"""Virtual times of customers, kept by every gate of a service.

The virtual time of a customer is the service that it received, divided by its
share. A gate serves the backlogged customer with the smallest one. Related
work: start-time fair queueing (Goyal, Vin and Cheng 1996) and the virtual
token counter for serving language models (Sheng et al. 2024).

A cost is known only at the end of a request. The part that was not yet
delivered is therefore held as a local reservation; only delivered service
enters the sums that gates exchange, which makes these sums grow only, so that
the larger of two versions is always the newer one.
"""

import math
import typing as t

import attrs
from snipedeal.messages import CustomerDelta

NO_FLOOR = -1.0


@attrs.define
class _Account:
    """Service of one customer as one gate knows it, divided by its share."""

    known: float = 0.0
    unsent: float = 0.0
    in_flight: float = 0.0
    reserved: float = 0.0
    is_changed: bool = False

    @property
    def delivered(self) -> float:
        return self.known + self.unsent + self.in_flight

    @property
    def virtual_time(self) -> float:
        return self.delivered + self.reserved


@attrs.define
class VirtualTimes:
    """Accounts of all customers that a gate has to remember."""

    _accounts: dict[str, _Account] = attrs.Factory(dict)
    _backlogged: set[str] = attrs.Factory(set)
    _peer_floors: dict[str, float] = attrs.Factory(dict)
    _last_served: float = 0.0

    @property
    def backlogged(self) -> t.AbstractSet[str]:
        """Customers with work waiting."""
        return self._backlogged

    def __len__(self) -> int:
        return len(self._accounts)

    def virtual_time(self, customer: str) -> float:
        """Return a customer's virtual time, reservations included."""
        account = self._accounts.get(customer)
        return account.virtual_time if account else 0.0

    def delivered(self, customer: str) -> float:
        """Return a customer's virtual time without reservations."""
        account = self._accounts.get(customer)
        return account.delivered if account else 0.0

    def floor(self) -> float:
        """Return the smallest virtual time of the backlogged customers here.

        :return: :data:`NO_FLOOR` where no customer is backlogged.
        """
        times = (self._accounts[name].virtual_time for name in self._backlogged)
        return min(times, default=NO_FLOOR)

    def join(self, customer: str) -> None:
        """Note that a customer has work waiting.

        A customer that was idle starts level with the backlogged customer
        that received least, so that idleness saves up no credit.
        """
        if customer in self._backlogged:
            return
        account = self._accounts.setdefault(customer, _Account())
        lift = self._level() - account.virtual_time
        if lift > 0:
            account.known += lift
            account.is_changed = True
        self._backlogged.add(customer)

    def leave(self, customer: str) -> None:
        """Note that a customer has no work waiting any more."""
        self._backlogged.discard(customer)

    def select(self, candidates: t.Iterable[str]) -> str | None:
        """Return the candidate with the smallest virtual time.

        Ties go to the smaller name, so that runs repeat.
        """
        return min(
            candidates, key=lambda name: (self.virtual_time(name), name), default=None
        )

    def reserve(self, customer: str, units: float) -> None:
        """Charge expected service.

        :param units: service units divided by the share; negative to release.
        """
        account = self._accounts.setdefault(customer, _Account())
        if units > 0:
            # a release is no service; it must not raise the level.
            self._last_served = max(self._last_served, account.virtual_time)
        account.reserved = max(0.0, account.reserved + units)

    def deliver(self, customer: str, units: float) -> None:
        """Charge service that was given.

        :param units: service units divided by the share.
        """
        account = self._accounts.setdefault(customer, _Account())
        account.unsent += units

    def collect(self, customers: t.Container[str] | None = None) -> dict:
        """Return what changed since the last call as deltas by customer.

        The deltas count as in flight until :meth:`apply_totals` or
        :meth:`restore`.

        :param customers: limit to these, ``None`` for all.
        """
        deltas: dict[str, CustomerDelta] = {}
        for name, account in self._accounts.items():
            if customers is not None and name not in customers:
                continue
            units = math.floor(account.unsent)
            if units or account.is_changed:
                # whole numbers take fewer bytes; the rest goes with the next.
                deltas[name] = CustomerDelta(units, math.floor(account.known))
                account.in_flight += units
                account.unsent -= units
                account.is_changed = False
        return deltas

    def restore(self, sent: t.Mapping[str, CustomerDelta]) -> None:
        """Take back deltas whose answer never came, to send them again."""
        for name, delta in sent.items():
            account = self._accounts.setdefault(name, _Account())
            account.in_flight = max(0.0, account.in_flight - delta.units)
            account.unsent += delta.units
            account.is_changed = True

    def apply_totals(
        self, items: t.Mapping[str, float], sent: t.Mapping[str, CustomerDelta]
    ) -> None:
        """Take the owner's sums, which include what was sent.

        :param items: virtual time by customer.
        :param sent: the deltas that the owner has answered.
        """
        for name, delta in sent.items():
            account = self._accounts.setdefault(name, _Account())
            account.in_flight = max(0.0, account.in_flight - delta.units)
            account.known += delta.units
        for name, total in items.items():
            account = self._accounts.setdefault(name, _Account())
            account.known = max(account.known, total)

    def set_peer_floor(self, peer: str, floor: float) -> None:
        """Note the floor of a peer gate, :data:`NO_FLOOR` for none."""
        if floor == NO_FLOOR:
            self._peer_floors.pop(peer, None)
        else:
            self._peer_floors[peer] = floor

    def drop_peer(self, peer: str) -> None:
        """Forget the floor of a peer that is gone."""
        self._peer_floors.pop(peer, None)

    def forget_idle(self) -> None:
        """Drop accounts that a rejoining customer would not need.

        A customer without backlog whose virtual time is not above the level
        would be lifted to the level anyway.
        """
        level = self._level()
        for name in list(self._accounts):
            account = self._accounts[name]
            is_settled = not (account.unsent or account.in_flight or account.reserved)
            if name in self._backlogged or not is_settled:
                continue
            if account.known <= level:
                del self._accounts[name]

    def _level(self) -> float:
        """Return where a joining customer starts at the least."""
        own = self.floor()
        floors = list(self._peer_floors.values())
        if own != NO_FLOOR:
            floors.append(own)
        return min(floors) if floors else self._last_served
