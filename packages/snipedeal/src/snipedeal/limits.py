"""Keep the rate limits that targets name in their responses.

A limit holds for all routers together. This module divides it among them and paces one
router's part; it performs no I/O and reads no clock. It answers the load of a target
that takes less than the routers would send it. See docs/design/rate-limits.md.
"""

import math
import typing as t

import attrs

from snipedeal import defaults


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


def rate_shares(
    limit: float, demand: t.Mapping[str, float], position: int = 0, least: int = 1
) -> dict[str, float]:
    """Divide a target's rate limit among the routers that may send to it.

    Only as many routers as requests fit in a second get a part, so that a small limit
    is not divided into parts that are too small to use.

    :param limit: requests a second that the target takes from all routers.
    :param demand: recent demand for the target's service, by router, in any unit.
    :param position: the target's position among the limited targets of its service;
        other targets get other routers.
    :param least: smallest number of routers to divide the limit among.
    :return: requests a second, by router.
    """
    limit = max(limit, defaults.RATE_LIMIT_PROBES_PER_S)
    floor = defaults.RATE_LIMIT_DEMAND_FLOOR * sum(demand.values()) / len(demand)
    active = sorted(name for name, units in demand.items() if units >= floor)
    count = min(len(active), max(1, int(limit), least))
    start = position * count
    block = [active[(start + number) % len(active)] for number in range(count)]
    total = sum(demand[name] for name in block)
    if total <= 0:
        return dict.fromkeys(block, limit / count)
    return {name: limit * demand[name] / total for name in block}


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
