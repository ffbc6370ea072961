"""Estimate request costs from finished requests.

The limits that callers give in advance are too rough to serve as estimates, but
an estimate does not exceed such a limit.
"""

import collections

import attrs

from snipedeal import defaults


@attrs.define
class CostEstimator:
    """Exponential moving average of the cost of finished requests by customer.

    Customers without a finished request get the average of the service. At
    ``STATE_TABLE_LIMIT`` customers, the one whose last request finished the longest
    time ago is dropped.
    """

    _by_customer: collections.OrderedDict[str, float] = attrs.Factory(
        collections.OrderedDict
    )
    _average: float = defaults.INITIAL_OUTPUT_ESTIMATE_TOKENS

    def estimate(self, customer: str, max_cost: float = 0.0) -> float:
        """Return the expected cost in service units.

        :param customer: name of the customer.
        :param max_cost: upper limit given by the caller, zero for none.
        """
        expected = self._by_customer.get(customer, self._average)
        return min(expected, max_cost) if max_cost > 0 else expected

    def observe(self, customer: str, cost: float) -> None:
        """Add a finished request to the averages.

        :param cost: its cost in service units.
        """
        self._average = _update_average(self._average, cost)
        previous = self._by_customer.pop(customer, cost)
        self._by_customer[customer] = _update_average(previous, cost)
        if len(self._by_customer) > defaults.STATE_TABLE_LIMIT:
            self._by_customer.popitem(last=False)


def _update_average(previous: float, sample: float) -> float:
    return previous + defaults.ESTIMATE_SMOOTHING * (sample - previous)
