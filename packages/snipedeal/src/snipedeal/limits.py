"""Keep the rate limits and the pauses that targets name in their responses.

A limit holds for all routers together. This module divides it among them and paces one
router's part; it performs no I/O and reads no clock. It answers the load of a target
that takes less than the routers would send it. See docs/design/rate-limits.md.
"""

import math
import re
import typing as t

import attrs

from snipedeal import defaults

_SECONDS = re.compile(rb"\s*[0-9]{1,18}(\.[0-9]{0,18})?([eE]\+?[0-9]{1,3})?\s*")


def parse_rate_limit(value: bytes | None) -> float | None:
    """Return a target's rate limit, requests a second.

    :param value: the header's value, ``None`` if the response has none.
    :return: ``None`` if there is no limit, or none that can be kept: a value that is
        not a number, not finite or negative.
    """
    if value is None:
        return None
    try:
        limit = float(value)
    except ValueError:
        return None
    return limit if math.isfinite(limit) and limit >= 0 else None


def parse_retry_after(values: t.Iterable[bytes]) -> float | None:
    """Return for how long a target wants no requests, s.

    Of several headers the longest time counts. Dates are not read: the clocks of the
    target and of the router may differ by more than the time.

    :param values: values of the response's ``Retry-After`` headers.
    :return: ``None`` if none is a number of seconds; at most ``PAUSE_LIMIT_S``.
    """
    seconds = [
        float(value)
        for value in values
        if _SECONDS.fullmatch(value) and math.isfinite(float(value))
    ]
    return min(max(seconds), defaults.PAUSE_LIMIT_S) if seconds else None


def divide_limits(
    limits: t.Mapping[str, float], demand: t.Mapping[str, float], least: int = 1
) -> dict[str, dict[str, float]]:
    """Divide the rate limits of a service's targets among the routers.

    Only as many routers as requests fit in a second get a part of a limit, so that a
    small one is not divided into parts that are too small to use. All parts of a router
    together are in proportion to its demand, as far as its targets allow.

    :param limits: requests a second that each target takes from all routers.
    :param demand: recent demand for the service, by router, in any unit.
    :param least: smallest number of routers to divide a limit among.
    :return: requests a second, by target and router.
    """
    floor = defaults.RATE_LIMIT_DEMAND_FLOOR * sum(demand.values()) / len(demand)
    active = sorted(name for name, units in demand.items() if units >= floor)
    limits = {
        target: max(limits[target], defaults.RATE_LIMIT_PROBES_PER_S)
        for target in sorted(limits)
    }
    users: dict[str, list[str]] = {}
    for position, (target, limit) in enumerate(limits.items()):
        count = min(len(active), max(1, int(limit), least))
        # Neighbours share routers, so that demand can be balanced across targets.
        start = position * len(active) // len(limits)
        users[target] = [
            active[(start + number) % len(active)] for number in range(count)
        ]
    total_demand = sum(demand[name] for name in active)
    wanted = {
        name: sum(limits.values())
        * (demand[name] / total_demand if total_demand else 1 / len(active))
        for name in active
    }
    # Iterative proportional fitting (Deming and Stephan 1940).
    weights = dict(wanted)
    for _ in range(defaults.RATE_LIMIT_FITTING_ROUNDS):
        got = dict.fromkeys(active, 0.0)
        for parts in _parts(limits, users, weights).values():
            for name, rate in parts.items():
                got[name] += rate
        weights = {
            name: weights[name] * wanted[name] / got[name] if got[name] else 0.0
            for name in active
        }
    return _parts(limits, users, weights)


def _parts(
    limits: t.Mapping[str, float],
    users: t.Mapping[str, t.Sequence[str]],
    weights: t.Mapping[str, float],
) -> dict[str, dict[str, float]]:
    """Divide each limit among its users in proportion to their weights."""
    parts = {}
    for target, names in users.items():
        total = sum(weights[name] for name in names)
        parts[target] = {
            name: limits[target] * (weights[name] / total if total else 1 / len(names))
            for name in names
        }
    return parts


@attrs.define
class RateLimit:
    """A target's rate limit, and the pace of this router's part of it.

    :param limit: requests a second that the target takes from all routers.
    :param rate: requests a second that this router may send.
    """

    limit: float
    rate: float = 0.0
    _credit: float = 0.0
    _updated_ms: float | None = None

    def set_rate(self, rate: float, now_ms: float) -> None:
        """Change this router's part; what it has saved stays."""
        self._accrue(now_ms)
        self.rate = rate

    def admits(self, now_ms: float, reserve: float = 0.0) -> bool:
        """Return whether a request may be sent now.

        :param reserve: part of the savings to leave to other requests, 0 to 1.
        """
        return self.wait_ms(now_ms, reserve) <= 0

    def spend(self, now_ms: float) -> None:
        """Record that a request is sent."""
        self._accrue(now_ms)
        self._credit -= 1.0

    def wait_ms(self, now_ms: float, reserve: float = 0.0) -> float:
        """Return the time until a request may be sent; infinite without a part.

        :param reserve: as for :meth:`admits`.
        """
        self._accrue(now_ms)
        savings = (self._most - 1.0) * defaults.RATE_LIMIT_RESERVE
        missing = 1.0 + reserve * savings - self._credit
        if missing <= 0:
            return 0.0
        return missing / self.rate * 1000 if self.rate > 0 else math.inf

    @property
    def _most(self) -> float:
        return max(defaults.RATE_LIMIT_BURST, self.rate * defaults.RATE_LIMIT_BURST_S)

    def _accrue(self, now_ms: float) -> None:
        if self._updated_ms is not None:
            earned = self.rate * (now_ms - self._updated_ms) / 1000
            self._credit = min(self._most, self._credit + earned)
        self._updated_ms = now_ms
