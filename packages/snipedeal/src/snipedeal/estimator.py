"""Learn what requests cost, since hints given in advance are rough."""

import collections

import attrs

from snipedeal import defaults


@attrs.define
class CostEstimator:
    """Smoothed cost of finished requests by customer.

    Customers that were not seen yet start from the service's average. The
    least recently used customer is dropped at the limit.
    """

    _by_customer: collections.OrderedDict[str, float] = attrs.Factory(
        collections.OrderedDict
    )
    _average: float = defaults.INITIAL_OUTPUT_ESTIMATE_TOKENS

    def estimate(self, customer: str, hint: float = 0.0) -> float:
        """Return the expected cost in service units.

        :param customer: name of the customer.
        :param hint: upper limit given by the caller, zero for none.
        """
        expected = self._by_customer.get(customer, self._average)
        return min(expected, hint) if hint > 0 else expected

    def observe(self, customer: str, cost: float) -> None:
        """Learn from a finished request.

        :param cost: its cost in service units.
        """
        self._average = _smooth(self._average, cost)
        before = self._by_customer.pop(customer, cost)
        self._by_customer[customer] = _smooth(before, cost)
        if len(self._by_customer) > defaults.ESTIMATE_KEYS_LIMIT:
            self._by_customer.popitem(last=False)


def _smooth(before: float, value: float) -> float:
    return before + defaults.ESTIMATE_SMOOTHING * (value - before)
