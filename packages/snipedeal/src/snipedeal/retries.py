"""Budgets that keep retries from multiplying a failing service's load."""

import collections

import attrs

from snipedeal import defaults


@attrs.define
class RetryBudget:
    """Allow retries in proportion to first attempts.

    :param ratio: retries earned by a first attempt.
    :param burst: retries that may be saved up, also the amount at the start.
    """

    ratio: float = defaults.RETRY_BUDGET_RATIO
    burst: float = defaults.RETRY_BUDGET_BURST
    _saved: float = attrs.field(init=False)

    def __attrs_post_init__(self) -> None:
        self._saved = self.burst

    @property
    def saved(self) -> float:
        """Retries that could be made now."""
        return self._saved

    def earn(self) -> None:
        """Note a first attempt."""
        self._saved = min(self.burst, self._saved + self.ratio)

    def spend(self) -> bool:
        """Take one retry from the budget; return whether there was one."""
        if self._saved < 1:
            return False
        self._saved -= 1
        return True


@attrs.define
class RetryBudgets:
    """A budget for the whole router and one for each recent customer.

    :param total_burst: retries of all customers that may be saved up.
    """

    total_burst: float = defaults.RETRY_BUDGET_BURST * 10
    _total: RetryBudget = attrs.field(init=False)
    _by_customer: collections.OrderedDict[str, RetryBudget] = attrs.Factory(
        collections.OrderedDict
    )

    def __attrs_post_init__(self) -> None:
        self._total = RetryBudget(burst=self.total_burst)

    def earn(self, customer: str) -> None:
        """Note a first attempt of a customer."""
        self._total.earn()
        self._customer(customer).earn()

    def spend(self, customer: str) -> bool:
        """Take a retry from the customer's and the common budget."""
        budget = self._customer(customer)
        if budget.saved < 1 or not self._total.spend():
            return False
        return budget.spend()

    def _customer(self, customer: str) -> RetryBudget:
        budget = self._by_customer.pop(customer, None) or RetryBudget()
        self._by_customer[customer] = budget
        if len(self._by_customer) > defaults.ESTIMATE_KEYS_LIMIT:
            self._by_customer.popitem(last=False)
        return budget
