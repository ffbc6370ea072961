"""Virtual times of customers, kept by every gate of a service.

The virtual time of a customer is the service that it received, divided by its
share. A gate serves the backlogged customer with the smallest virtual time.
Related work: start-time fair queueing (Goyal, Vin and Cheng 1996) and the
virtual token counter for serving language models (Sheng et al. 2024).

The cost of a request is known only at its end, so the part of the estimate that
is not yet delivered is charged as a local reservation. The sums that gates
exchange (:mod:`snipedeal.exchange`) contain delivered service only. They never
decrease, so the larger of two versions is always the newer one.
"""

import math
import typing as t

import attrs
from sortedcontainers import SortedList

from snipedeal import defaults
from snipedeal.messages import CustomerDelta
from snipedeal.utils import stable_hash

#: Floor of a gate without backlogged customers.
NO_FLOOR = -1.0

#: Reservations up to this value are rounding errors and count as zero.
_EPSILON_UNITS = 1e-9


@attrs.define
class _Account:
    """Service of one customer as one gate knows it, divided by its share.

    :param known: service that the gate owning the customer's sum has confirmed,
        raised to the system virtual time when the customer becomes backlogged.
    :param unsent: service delivered here and not yet sent to the owner.
    :param in_flight: service sent to the owner and not yet confirmed.
    :param reserved: expected service of running attempts and of requests asked for.
    :param is_changed: whether ``known`` must be sent to the owner.
    """

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


class _QueuePosition(t.NamedTuple):
    """Sort key of a backlogged customer in the order of service.

    :param step: virtual time in whole steps of ``VIRTUAL_TIME_STEP_UNITS``.
    :param rank: tie-breaker among customers of one step; differs by gate.
    """

    step: int
    rank: int
    customer: str


def _step_of(account: _Account) -> int:
    return int(account.virtual_time // defaults.VIRTUAL_TIME_STEP_UNITS)


@attrs.define
class VirtualTimes:
    """Virtual times and service order of the customers of one gate.

    Customers within one step of virtual time are tied, and each gate breaks ties
    in its own order. Gates learn of each other's service with a delay; with one
    common order they would all serve the same few customers at the same time.

    :param seed: name of the gate, seeds the tie-breaker.
    """

    seed: str = ""
    _accounts: dict[str, _Account] = attrs.Factory(dict)
    _backlogged: dict[str, _QueuePosition] = attrs.Factory(dict)
    _order: SortedList = attrs.Factory(SortedList)
    _peer_floors: dict[str, float] = attrs.Factory(dict)
    _in_service: dict[str, _Account] = attrs.Factory(dict)
    _last_start_tag: float = 0.0

    @property
    def backlogged(self) -> t.AbstractSet[str]:
        """Customers with queued requests."""
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
        """Return the smallest virtual time of this gate's backlogged customers.

        :return: the virtual time rounded down to a whole step,
            :data:`NO_FLOOR` without backlogged customers.
        """
        if not self._order:
            return NO_FLOOR
        return self._order[0].step * defaults.VIRTUAL_TIME_STEP_UNITS

    def join(self, customer: str) -> None:
        """Mark a customer as backlogged.

        The virtual time of a customer that was idle is raised to the system
        virtual time, so that it accumulates no credit while idle.
        """
        if customer in self._backlogged:
            return
        account = self._accounts.setdefault(customer, _Account())
        increase = self._system_virtual_time() - account.virtual_time
        if increase > 0:
            account.known += increase
            account.is_changed = True
        position = self._queue_position(customer, account)
        self._backlogged[customer] = position
        self._order.add(position)

    def leave(self, customer: str) -> None:
        """Mark a customer as no longer backlogged."""
        position = self._backlogged.pop(customer, None)
        if position is not None:
            self._order.remove(position)

    def select(self) -> str | None:
        """Return the backlogged customer with the smallest virtual time."""
        return self._order[0].customer if self._order else None

    def reserve(self, customer: str, units: float) -> None:
        """Charge expected service, or release such a charge.

        :param units: service units divided by the share; negative to release.
        """
        account = self._accounts.setdefault(customer, _Account())
        if units > 0:
            self._last_start_tag = account.delivered
        account.reserved = max(0.0, account.reserved + units)
        if account.reserved > _EPSILON_UNITS:
            self._in_service[customer] = account
        else:
            account.reserved = 0.0
            self._in_service.pop(customer, None)
        self._reorder(customer, account)

    def deliver(self, customer: str, units: float) -> None:
        """Charge delivered service.

        :param units: service units divided by the share.
        """
        account = self._accounts.setdefault(customer, _Account())
        account.unsent += units
        self._reorder(customer, account)

    def collect(self, customers: t.Container[str] | None = None) -> dict:
        """Return the changes since the last call as deltas by customer.

        The deltas count as in flight until :meth:`apply_totals` confirms them or
        :meth:`restore` takes them back.

        :param customers: the customers to include, ``None`` for all.
        """
        deltas: dict[str, CustomerDelta] = {}
        for name, account in self._accounts.items():
            if customers is not None and name not in customers:
                continue
            units = math.floor(account.unsent)
            if units or account.is_changed:
                # Whole numbers are shorter on the wire; the fraction is sent later.
                deltas[name] = CustomerDelta(units, math.floor(account.known))
                account.in_flight += units
                account.unsent -= units
                account.is_changed = False
        return deltas

    def restore(self, sent: t.Mapping[str, CustomerDelta]) -> None:
        """Take back unconfirmed deltas, to send them again."""
        for name, delta in sent.items():
            account = self._accounts.setdefault(name, _Account())
            account.in_flight = max(0.0, account.in_flight - delta.units)
            account.unsent += delta.units
            account.is_changed = True
            self._reorder(name, account)

    def apply_totals(
        self, items: t.Mapping[str, float], sent: t.Mapping[str, CustomerDelta]
    ) -> None:
        """Apply an owner's sums, which include the deltas sent to it.

        :param items: delivered virtual time by customer.
        :param sent: the deltas that the owner confirms.
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
        """Set the floor of a peer gate; :data:`NO_FLOOR` removes it."""
        if floor == NO_FLOOR:
            self._peer_floors.pop(peer, None)
        else:
            self._peer_floors[peer] = floor

    def drop_peer(self, peer: str) -> None:
        """Remove the floor of a lost peer."""
        self._peer_floors.pop(peer, None)

    def forget_idle(self) -> None:
        """Drop accounts that make no difference when their customers return.

        :meth:`join` raises the virtual time of a returning customer to the system
        virtual time, so an idle account at or below that needs no storage.
        """
        system_time = self._system_virtual_time()
        for name in list(self._accounts):
            account = self._accounts[name]
            is_settled = not (account.unsent or account.in_flight or account.reserved)
            if name in self._backlogged or not is_settled:
                continue
            if account.known <= system_time:
                del self._accounts[name]

    def _reorder(self, customer: str, account: _Account) -> None:
        """Restore the order of service after a change of virtual time."""
        old_position = self._backlogged.get(customer)
        if old_position is None or old_position.step == _step_of(account):
            return
        new_position = old_position._replace(step=_step_of(account))
        self._order.remove(old_position)
        self._order.add(new_position)
        self._backlogged[customer] = new_position

    def _queue_position(self, customer: str, account: _Account) -> _QueuePosition:
        return _QueuePosition(
            _step_of(account), stable_hash(self.seed, customer), customer
        )

    def _system_virtual_time(self) -> float:
        """Return the minimum virtual time of a customer that becomes backlogged.

        This is the smallest floor of this gate and its peers. Without any backlog
        it is the smallest delivered virtual time of the customers in service, as in
        start-time fair queueing: the largest would penalise a new customer for
        capacity that the busiest customer used while no other request was queued.
        Without customers in service it is the start tag of the last reservation.
        """
        floors = list(self._peer_floors.values())
        own = self.floor()
        if own != NO_FLOOR:
            floors.append(own)
        if floors:
            return min(floors)
        served = (account.delivered for account in self._in_service.values())
        return min(served, default=self._last_start_tag)
