"""Estimate the queue wait and the run time of a new request."""

import collections

import attrs

from snipedeal import defaults


@attrs.define
class _IntervalAverage:
    """Average interval at which queued requests of a customer are dequeued.

    :param last_ms: monotonic time of the last dequeue.
    """

    interval_ms: float
    last_ms: int


@attrs.define
class WaitEstimator:
    """Average the dequeue interval and run time of each customer of a service.

    Both are exponentially weighted averages in milliseconds. Beyond
    ``STATE_TABLE_LIMIT`` averages of a kind, the least recently updated one is
    evicted.
    """

    _interval_averages: collections.OrderedDict[str, _IntervalAverage] = attrs.Factory(
        collections.OrderedDict
    )

    _run_averages: collections.OrderedDict[str, float] = attrs.Factory(
        collections.OrderedDict
    )

    def observe_dequeue(self, service: str, customer: str, now_ms: int) -> None:
        """Record that a queued request was dequeued.

        :param now_ms: monotonic time.
        """
        key = f"{service}/{customer}"
        average = self._interval_averages.pop(key, None)
        if average is None:
            average = _IntervalAverage(0.0, now_ms)
        else:
            elapsed_ms = min(now_ms - average.last_ms, defaults.DEFAULT_DEADLINE_MS)
            average.interval_ms += defaults.WAIT_SMOOTHING * (
                elapsed_ms - average.interval_ms
            )
            average.last_ms = now_ms
        self._interval_averages[key] = average
        if len(self._interval_averages) > defaults.STATE_TABLE_LIMIT:
            self._interval_averages.popitem(last=False)

    def observe_run(self, service: str, customer: str, duration_ms: int) -> None:
        """Record the time from dispatch to the complete response."""
        key = f"{service}/{customer}"
        before = self._run_averages.pop(key, float(duration_ms))
        step = defaults.WAIT_SMOOTHING * (duration_ms - before)
        self._run_averages[key] = before + step
        if len(self._run_averages) > defaults.STATE_TABLE_LIMIT:
            self._run_averages.popitem(last=False)

    def run_ms(self, service: str, customer: str) -> int:
        """Return the average run time in milliseconds, zero if unknown."""
        return int(self._run_averages.get(f"{service}/{customer}", 0.0))

    def expected_wait_ms(self, service: str, customer: str, waiting: int) -> int:
        """Return the expected queue wait of a new request in milliseconds.

        :param waiting: number of queued requests of the customer.
        :return: zero if unknown.
        """
        average = self._interval_averages.get(f"{service}/{customer}")
        if average is None or waiting == 0:
            return 0
        return int(average.interval_ms * waiting)
