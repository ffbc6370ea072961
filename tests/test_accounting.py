"""Totals by customer that stay complete where lines of single requests are dropped."""

from test_queueing import make_call

from snipedeal_direct import defaults
from snipedeal_direct.accounting import CustomerAccounts
from snipedeal_direct.accounting import log_fields


def test_totals_cover_refusals_within_and_beyond_the_share():
    accounts = CustomerAccounts()
    calls = [make_call(n, 0.0, tokens=1000, customer="a") for n in range(3)]
    for call in calls:
        accounts.note_asked(call)
    accounts.note_sent(calls[0])
    accounts.note_refused(calls[1], "too_late", is_over=True)
    accounts.note_refused(calls[2], "overloaded", is_over=False)
    ((customer, totals),) = accounts.take()
    assert log_fields(customer, totals) == {
        "customer": "a",
        "asked": 3300,
        "sent": 1100,
        "refused": {"too_late": 1100, "overloaded": 1100},
        "refused_within_share": 1100,
    }
    assert accounts.take() == []


def test_only_customers_with_most_refused_units_are_reported():
    accounts = CustomerAccounts()
    accounts.note_asked(make_call(0, 0.0, customer="served"))
    for n in range(2 * defaults.ACCOUNTS_LOGGED):
        call = make_call(n, 0.0, tokens=100 * (n + 1), customer=f"c{n}")
        accounts.note_refused(call, "too_late", is_over=True)
    reported = [customer for customer, _ in accounts.take()]
    assert len(reported) == defaults.ACCOUNTS_LOGGED
    assert reported[0] == f"c{2 * defaults.ACCOUNTS_LOGGED - 1}"
