"""Retry budgets, which limit the extra load of retries on a failing service."""

import collections

import attrs

from snipedeal import defaults


@attrs.define
class RetryBudget:
    """A token bucket that allows retries in proportion to first attempts.

    :param ratio: retries added by each first attempt.
    :param burst: capacity of the bucket in retries, also its initial content.
    """

    ratio: float = defaults.RETRY_BUDGET_RATIO
    burst: float = defaults.RETRY_BUDGET_BURST
    _available: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._available = self.burst

    @property
    def available(self) -> float:
        """Retries that are allowed now."""
        return self._available

    def earn(self) -> None:
        """Add ``ratio`` retries to the budget for a first attempt."""
        self._available = min(self.burst, self._available + self.ratio)

    def spend(self) -> bool:
        """Take one retry from the budget; return whether it was allowed."""
        if self._available < 1:
            return False
        self._available -= 1
        return True


@attrs.define
class RetryBudgets:
    """A budget for the whole router and one for each recent customer.

    :param total_burst: capacity of the router's budget in retries.
    """

    total_burst: float = defaults.RETRY_BUDGET_BURST * 10
    _router_budget: RetryBudget = attrs.field(init=False)
    _by_customer: collections.OrderedDict[str, RetryBudget] = attrs.Factory(
        collections.OrderedDict
    )

    def __attrs_post_init__(self) -> None:
        self._router_budget = RetryBudget(burst=self.total_burst)

    def earn(self, customer: str) -> None:
        """Add to both budgets for a first attempt of a customer."""
        self._router_budget.earn()
        self._customer_budget(customer).earn()

    def spend(self, customer: str) -> bool:
        """Take one retry from the customer's and the router's budget.

        :return: whether both allowed it.
        """
        budget = self._customer_budget(customer)
        if budget.available < 1 or not self._router_budget.spend():
            return False
        return budget.spend()

    def _customer_budget(self, customer: str) -> RetryBudget:
        budget = self._by_customer.pop(customer, None) or RetryBudget()
        self._by_customer[customer] = budget
        if len(self._by_customer) > defaults.STATE_TABLE_LIMIT:
            self._by_customer.popitem(last=False)
        return budget
