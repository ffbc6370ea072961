"""Account for what customers asked for and got, for logs and metrics.

Log lines that name a request are dropped above a rate, so that they are incomplete at
the router with the most refusals. These totals are logged once per interval instead.
"""

import collections
import typing as t

import attrs

from snipedeal_direct import defaults
from snipedeal_direct.model import Call

#: Reason of refusals for want of processor time.
OVERLOADED = "overloaded"


@attrs.define
class CustomerTotals:
    """A customer's calls in the current interval, in capacity units.

    :param refused: units of refused calls by reason.
    :param refused_within_share: units refused while the customer was within its share.
    """

    asked: float = 0.0
    sent: float = 0.0
    refused: collections.Counter[str] = attrs.Factory(collections.Counter)
    refused_within_share: float = 0.0


@attrs.define(eq=False, repr=False)
class CustomerAccounts:
    """Totals of all customers of a service since the last report."""

    _totals: dict[str, CustomerTotals] = attrs.Factory(dict)

    def note_asked(self, call: Call) -> None:
        """Count a call that arrived."""
        self._customer(call).asked += call.units

    def note_sent(self, call: Call) -> None:
        """Count a call that was sent to a target."""
        self._customer(call).sent += call.units

    def note_refused(self, call: Call, reason: str, is_over: bool) -> None:
        """Count a refused call.

        :param is_over: whether the call exceeded its customer's share.
        """
        totals = self._customer(call)
        totals.refused[reason] += call.units
        if not is_over:
            totals.refused_within_share += call.units

    def note_shed(self, customer: str, units: float, is_over: bool) -> None:
        """Count a call that arrived and was refused before it was read in full.

        :param is_over: whether the call exceeded its customer's share.
        """
        totals = self._totals.setdefault(customer, CustomerTotals())
        totals.asked += units
        totals.refused[OVERLOADED] += units
        if not is_over:
            totals.refused_within_share += units

    def take(self) -> list[tuple[str, CustomerTotals]]:
        """Return the customers with most refused units, and start a new interval.

        Customers without a refusal are left out; at most
        :data:`defaults.ACCOUNTS_LOGGED` are returned.
        """
        totals, self._totals = self._totals, {}
        refused = [item for item in totals.items() if item[1].refused]
        refused.sort(key=lambda item: -item[1].refused.total())
        return refused[: defaults.ACCOUNTS_LOGGED]

    def _customer(self, call: Call) -> CustomerTotals:
        return self._totals.setdefault(call.customer, CustomerTotals())


def log_fields(customer: str, totals: CustomerTotals) -> dict[str, t.Any]:
    """Return the fields of a customer's log line."""
    return {
        "customer": customer,
        "asked": round(totals.asked),
        "sent": round(totals.sent),
        "refused": {name: round(units) for name, units in totals.refused.items()},
        "refused_within_share": round(totals.refused_within_share),
    }
