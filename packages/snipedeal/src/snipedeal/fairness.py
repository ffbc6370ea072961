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
from sortedcontainers import SortedList

from snipedeal import defaults
from snipedeal.messages import CustomerDelta
from snipedeal.utils import stable_hash

NO_FLOOR = -1.0
_NOTHING = 1e-9


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


class _Place(t.NamedTuple):
    """Where a backlogged customer stands in the order of service.

    :param step: virtual time in whole steps.
    :param rank: order among equals at this gate.
    """

    step: int
    rank: int
    customer: str


def _step_of(account: _Account) -> int:
    return int(account.virtual_time // defaults.VIRTUAL_TIME_STEP_UNITS)


@attrs.define
class VirtualTimes:
    """Accounts of all customers that a gate has to remember.

    Customers within one step of virtual time are equal; which of them comes
    first differs from gate to gate. Else all gates, which hear of each other's
    service late, would serve the same few customers at once.

    :param seed: name of the gate.
    """

    seed: str = ""
    _accounts: dict[str, _Account] = attrs.Factory(dict)
    _backlogged: dict[str, _Place] = attrs.Factory(dict)
    _order: SortedList = attrs.Factory(SortedList)
    _peer_floors: dict[str, float] = attrs.Factory(dict)
    _in_service: dict[str, _Account] = attrs.Factory(dict)
    _last_served: float = 0.0

    @property
    def backlogged(self) -> t.AbstractSet[str]:
        """Customers with work waiting."""
        return self._backlogged.keys()

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

        :return: its step's lower end, :data:`NO_FLOOR` for no customer.
        """
        if not self._order:
            return NO_FLOOR
        return self._order[0].step * defaults.VIRTUAL_TIME_STEP_UNITS

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
        place = self._place(customer, account)
        self._backlogged[customer] = place
        self._order.add(place)

    def leave(self, customer: str) -> None:
        """Note that a customer has no work waiting any more."""
        place = self._backlogged.pop(customer, None)
        if place is not None:
            self._order.remove(place)

    def select(self) -> str | None:
        """Return the backlogged customer with the smallest virtual time."""
        return self._order[0].customer if self._order else None

    def reserve(self, customer: str, units: float) -> None:
        """Charge expected service.

        :param units: service units divided by the share; negative to release.
        """
        account = self._accounts.setdefault(customer, _Account())
        if units > 0:
            self._last_served = account.delivered
        account.reserved = max(0.0, account.reserved + units)
        if account.reserved > _NOTHING:
            self._in_service[customer] = account
        else:
            account.reserved = 0.0
            self._in_service.pop(customer, None)
        self._reorder(customer, account)

    def deliver(self, customer: str, units: float) -> None:
        """Charge service that was given.

        :param units: service units divided by the share.
        """
        account = self._accounts.setdefault(customer, _Account())
        account.unsent += units
        self._reorder(customer, account)

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
            self._reorder(name, account)

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
            self._reorder(name, account)
        for name, total in items.items():
            account = self._accounts.setdefault(name, _Account())
            account.known = max(account.known, total)
            self._reorder(name, account)

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

    def _reorder(self, customer: str, account: _Account) -> None:
        """Move a backlogged customer to where its virtual time belongs."""
        before = self._backlogged.get(customer)
        if before is None or before.step == _step_of(account):
            return
        now = before._replace(step=_step_of(account))
        self._order.remove(before)
        self._order.add(now)
        self._backlogged[customer] = now

    def _place(self, customer: str, account: _Account) -> _Place:
        return _Place(_step_of(account), stable_hash(self.seed, customer), customer)

    def _level(self) -> float:
        """Return where a joining customer starts at the least.

        Without backlog here or at a peer that is the smallest virtual time in
        service, as in start-time fair queueing. The largest would punish a
        newcomer for what the quickest customer got while nobody waited.
        """
        floors = list(self._peer_floors.values())
        own = self.floor()
        if own != NO_FLOOR:
            floors.append(own)
        if floors:
            return min(floors)
        served = (account.delivered for account in self._in_service.values())
        return min(served, default=self._last_served)
