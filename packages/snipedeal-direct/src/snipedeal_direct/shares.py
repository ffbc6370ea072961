"""Compute customers' max-min fair shares of the fleet's capacity."""

import enum
import math
import typing as t

import attrs

#: Stage of a customer that has used its whole share; a stage is a quarter of it.
FULL_SHARE_STAGE = 4
#: Stage that stands for no underserved customer; higher than any customer's stage.
NO_UNDERSERVED_STAGE = 1_000_000
#: Highest stage; customers that used even more are not distinguished.
_MAX_STAGE = 10_000


def max_min_fair_share(demands: t.Iterable[float], capacity: float) -> float:
    """Return the max-min fair share (Bertsekas and Gallager 1992).

    Demands below the share are met in full; all others get the share. It is
    infinite if the capacity covers all demands.

    :param demands: demand of each customer, in any unit.
    :param capacity: total capacity, in the same unit.
    """
    left = capacity
    ordered = sorted(demands)
    for index, demand in enumerate(ordered):
        level = left / (len(ordered) - index)
        if demand > level:
            return level
        left -= demand
    return float("inf")


@attrs.define(eq=False, repr=False)
class DecayingSums:
    """Exponentially decaying sums, one for each customer.

    :param time_constant_ms: time after which a value has decayed to 1/e.
    """

    time_constant_ms: float
    # By customer: the sum, and the time of its last change, ms.
    _sums: dict[str, tuple[float, float]] = attrs.Factory(dict)

    def add(self, customer: str, units: float, now_ms: float) -> None:
        """Add to a customer's sum."""
        known = self._sums.get(customer)
        if known is not None:
            value, changed_ms = known
            if changed_ms != now_ms:
                value *= math.exp((changed_ms - now_ms) / self.time_constant_ms)
            units += value
        self._sums[customer] = (units, now_ms)

    def get(self, customer: str, now_ms: float) -> float:
        """Return a customer's sum, decayed to a time."""
        value, changed_ms = self._sums.get(customer, (0.0, now_ms))
        return value * math.exp((changed_ms - now_ms) / self.time_constant_ms)

    def replace(self, customer: str, units: float, now_ms: float) -> float:
        """Replace a customer's sum; return by how much it grows."""
        known = self._sums.get(customer)
        self._sums[customer] = (units, now_ms)
        if known is None:
            return units
        value, changed_ms = known
        return units - value * math.exp((changed_ms - now_ms) / self.time_constant_ms)

    def subtract(self, other: "DecayingSums") -> None:
        """Subtract sums with the same time constant."""
        for customer, (units, changed_ms) in other._sums.items():
            value, own_ms = self._sums.get(customer, (0.0, changed_ms))
            at_ms = max(own_ms, changed_ms)
            decayed = [
                amount * math.exp((from_ms - at_ms) / self.time_constant_ms)
                for amount, from_ms in ((value, own_ms), (units, changed_ms))
            ]
            self._sums[customer] = (decayed[0] - decayed[1], at_ms)

    def all(self, now_ms: float) -> dict[str, float]:
        """Return the sums of all customers; forget those below one unit."""
        sums = {name: self.get(name, now_ms) for name in self._sums}
        for name, value in sums.items():
            if value < 1.0:
                del self._sums[name]
        return sums


class Tier(enum.IntEnum):
    """How a call stands to its customer's shares; lower tiers come first.

    Calls within the configured share may take the capacity that is planned for them.
    Those within the achieved share are as urgent as any other customer's at that
    level, but may not fill the targets' queues.
    """

    WITHIN_CONFIGURED_SHARE = 0
    WITHIN_ACHIEVED_SHARE = 1
    BEYOND_SHARES = 2


@attrs.define(eq=False, repr=False)
class Shares:
    """Recent demand and usage of each customer at one service, with fair shares.

    If a customer sends many times its usual load, the excess over its share is
    served only from capacity that no other customer waits for. Usage decays
    gradually, so that a share is available evenly and not as one burst per
    window. Units are those of ``Call.units``.

    :param window_ms: time over which shares are computed; the decay's time constant.
    """

    window_ms: float
    _demand: DecayingSums = attrs.field(init=False)
    _served: DecayingSums = attrs.field(init=False)
    _changed: set[str] = attrs.Factory(set)
    # Demand and usage reported by each peer.
    _peers: dict[str, tuple[DecayingSums, DecayingSums]] = attrs.Factory(dict)
    # Sums over this router and all peers, changed with each report: all decay alike.
    _all_demand: DecayingSums = attrs.field(init=False)
    _all_served: DecayingSums = attrs.field(init=False)
    # Peers whose sums are still to be checked for entries to forget.
    _unchecked_peers: list[str] = attrs.Factory(list)
    _fair_share: float = float("inf")
    _configured_share: float = float("inf")
    _usage: dict[str, float] = attrs.Factory(dict)
    _highest_usage: float = 0.0
    # By customer, over all routers.
    _demands: dict[str, float] = attrs.Factory(dict)
    # Max-min share of what was served, whatever the configured capacity is.
    _served_share: float = float("inf")

    def __attrs_post_init__(self) -> None:
        self._demand = DecayingSums(self.window_ms)
        self._served = DecayingSums(self.window_ms)
        self._all_demand = DecayingSums(self.window_ms)
        self._all_served = DecayingSums(self.window_ms)

    @property
    def fair_share(self) -> float:
        """Fair share of a customer, units in a window; infinite without scarcity."""
        return self._fair_share

    @property
    def total_usage(self) -> float:
        """What all customers used in a window, units."""
        return sum(self._usage.values())

    def usage(self, customer: str) -> float:
        """Return what a customer used in a window at all routers, units."""
        return self._usage.get(customer, 0.0)

    def note_demand(self, customer: str, units: float, now_ms: float) -> None:
        """Add a request's units to a customer's demand."""
        self._demand.add(customer, units, now_ms)
        self._all_demand.add(customer, units, now_ms)
        self._changed.add(customer)

    def note_served(self, customer: str, units: float, now_ms: float) -> None:
        """Add a dispatched request's units to a customer's usage."""
        self._served.add(customer, units, now_ms)
        self._all_served.add(customer, units, now_ms)
        self._changed.add(customer)
        usage = self._usage.get(customer, 0.0) + units
        self._usage[customer] = usage
        self._highest_usage = max(self._highest_usage, usage)

    def return_unserved(
        self, customer: str, units: float, served_ms: float, now_ms: float
    ) -> None:
        """Take back the usage of a request that no target ran.

        :param served_ms: time at which it was noted as served.
        """
        left = units * math.exp((served_ms - now_ms) / self.window_ms)
        self._served.add(customer, -left, now_ms)
        self._all_served.add(customer, -left, now_ms)
        self._changed.add(customer)
        self._usage[customer] = max(0.0, self._usage.get(customer, 0.0) - left)

    def own_changes(
        self, now_ms: float, is_full: bool
    ) -> list[tuple[str, float, float]]:
        """Return ``(customer, demand, usage)`` as recorded by this router.

        :param is_full: include all customers instead of those whose demand or
            usage was added to since the last call.
        """
        demand, usage = self._demand.all(now_ms), self._served.all(now_ms)
        names = demand.keys() | usage.keys() if is_full else self._changed
        changes = [
            (name, demand.get(name, 0.0), usage.get(name, 0.0))
            for name in sorted(names)
        ]
        self._changed = set()
        return changes

    def note_peer(
        self, peer: str, customer: str, demand: float, usage: float, now_ms: float
    ) -> None:
        """Replace a customer's demand and usage as reported by another router."""
        sums = self._peers.get(peer)
        if sums is None:
            sums = DecayingSums(self.window_ms), DecayingSums(self.window_ms)
            self._peers[peer] = sums
        demands, served = sums
        added = demands.replace(customer, demand, now_ms)
        self._all_demand.add(customer, added, now_ms)
        added = served.replace(customer, usage, now_ms)
        self._all_served.add(customer, added, now_ms)

    def drop_peer(self, peer: str) -> None:
        """Discard all demand and usage reported by another router."""
        demand, served = self._peers.pop(peer, (None, None))
        if demand is not None and served is not None:
            self._all_demand.subtract(demand)
            self._all_served.subtract(served)

    def update(self, capacity: float, now_ms: float) -> None:
        """Recompute the fair share and every customer's usage, over all routers.

        The share divides what all customers used where that is more than the
        configured capacity: cached prompt parts take units but hardly any time.

        :param capacity: configured units that all targets together serve in a window;
            infinite if none is configured.
        """
        demands = self._demands = self._all_demand.all(now_ms)
        self._usage = self._all_served.all(now_ms)
        self._highest_usage = max(self._usage.values(), default=0.0)
        self._forget_decayed(now_ms)
        self._configured_share = max_min_fair_share(demands.values(), capacity)
        served = self.total_usage
        achieved = max(capacity, served)
        self._fair_share = max_min_fair_share(demands.values(), achieved)
        self._served_share = max_min_fair_share(demands.values(), served)

    def _forget_decayed(self, now_ms: float) -> None:
        """Forget what has decayed of one peer's reports; of another one each time."""
        if not self._unchecked_peers:
            self._unchecked_peers = list(self._peers)
            return
        for sums in self._peers.get(self._unchecked_peers.pop(), ()):
            sums.all(now_ms)

    def demand_by_router(self, own_name: str, now_ms: float) -> dict[str, float]:
        """Return the recent demand at each router that reported some, units.

        What a customer wants beyond its max-min share of what was served is left out,
        at all of its routers alike.
        """
        demand = {own_name: self._demand_within_share(self._demand, now_ms)}
        for peer, (demands, _) in self._peers.items():
            demand[peer] = self._demand_within_share(demands, now_ms)
        return demand

    def _demand_within_share(self, demands: DecayingSums, now_ms: float) -> float:
        total = 0.0
        for customer, demand in demands.all(now_ms).items():
            wanted = max(demand, self._demands.get(customer, 0.0))
            total += demand * min(1.0, self._served_share / max(1.0, wanted))
        return total

    def stage(self, customer: str) -> int:
        """Return how much of its share a customer has used, in quarters.

        Customers with lower stages are served first, so that one that sends its
        share in a burst does not delay those that send theirs evenly. While total
        demand is within capacity, what the customer that used most has used serves
        as the share: the capacity may be out of reach.
        """
        usage = self._usage.get(customer, 0.0)
        is_scarce = math.isfinite(self._fair_share)
        share = self._fair_share if is_scarce else max(1.0, self._highest_usage)
        return int(min(_MAX_STAGE, FULL_SHARE_STAGE * usage / share))

    def shortfall(self, customer: str) -> float:
        """Return by which part a customer used less than the one that used most.

        It needs no capacity and no demand, so that it tells customers apart at any
        load, whatever binds, and hardly changes while reports of peers are old.

        :return: 0 for the customer that used most, 1 for one that used nothing.
        """
        if self._highest_usage <= 0.0:
            return 0.0
        usage = self._usage.get(customer, 0.0)
        return max(0.0, 1.0 - usage / self._highest_usage)

    def share_recovery_ms(self, customer: str, units: float) -> float:
        """Return the time until ``units`` more fit in a customer's share, ms.

        It is at most the window, also for more units than the share, which never fit.
        """
        usage = self._usage.get(customer, 0.0)
        headroom = self._fair_share - units
        if usage <= headroom:
            return 0.0
        if headroom <= 0:
            return self.window_ms
        return min(self.window_ms, self.window_ms * math.log(usage / headroom))

    def tier(self, customer: str, units: float) -> Tier:
        """Return the tier of a call of ``units`` more."""
        usage = self._usage.get(customer, 0.0) + units
        if usage <= self._configured_share:
            return Tier.WITHIN_CONFIGURED_SHARE
        if usage <= self._fair_share:
            return Tier.WITHIN_ACHIEVED_SHARE
        return Tier.BEYOND_SHARES

    def is_over(self, customer: str, units: float) -> bool:
        """Return whether ``units`` more would make a customer exceed its share."""
        return self._usage.get(customer, 0.0) + units > self._fair_share
