"""Estimate how long a new request would wait."""

import collections

import attrs

from snipedeal import defaults


@attrs.define
class _Pace:
    """How often a customer's requests are taken while some wait."""

    interval_ms: float
    last_ms: int


@attrs.define
class WaitEstimator:
    """Smoothed intervals between takes and durations, by service and customer."""

    _paces: collections.OrderedDict[str, _Pace] = attrs.Factory(collections.OrderedDict)

    _runs: collections.OrderedDict[str, float] = attrs.Factory(collections.OrderedDict)

    def observe_take(self, service: str, customer: str, now_ms: int) -> None:
        """Note that a waiting request was taken.

        :param now_ms: monotonic time.
        """
        key = f"{service}/{customer}"
        pace = self._paces.pop(key, None)
        if pace is None:
            pace = _Pace(0.0, now_ms)
        else:
            interval = min(now_ms - pace.last_ms, defaults.DEFAULT_DEADLINE_MS)
            pace.interval_ms += defaults.WAIT_SMOOTHING * (interval - pace.interval_ms)
            pace.last_ms = now_ms
        self._paces[key] = pace
        if len(self._paces) > defaults.ESTIMATE_KEYS_LIMIT:
            self._paces.popitem(last=False)

    def observe_run(self, service: str, customer: str, duration_ms: int) -> None:
        """Note how long a whole answer took from its dispatch."""
        key = f"{service}/{customer}"
        before = self._runs.pop(key, float(duration_ms))
        step = defaults.WAIT_SMOOTHING * (duration_ms - before)
        self._runs[key] = before + step
        if len(self._runs) > defaults.ESTIMATE_KEYS_LIMIT:
            self._runs.popitem(last=False)

    def run_ms(self, service: str, customer: str) -> int:
        """Return how long a customer's request runs, zero where unknown."""
        return int(self._runs.get(f"{service}/{customer}", 0.0))

    def expected_ms(self, service: str, customer: str, waiting: int) -> int:
        """Return the expected wait of a request behind others.

        :param waiting: requests of the customer that wait already.
        :return: zero where nothing is known.
        """
        pace = self._paces.get(f"{service}/{customer}")
        if pace is None or waiting == 0:
            return 0
        return int(pace.interval_ms * waiting)
