import hypothesis
import hypothesis.strategies as st

from snipedeal import defaults
from snipedeal.messages import Incident
from snipedeal.quarantine import Quarantine
from snipedeal.retries import RetryBudget
from snipedeal.retries import RetryBudgets

FINGERPRINTS = ["p", "q", "r"]


class TestQuarantine:
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(["1", "2", "3", "4"]),
                st.lists(st.sampled_from(FINGERPRINTS), min_size=1, unique=True),
                st.booleans(),
            ),
            max_size=12,
        )
    )
    def test_quarantine_agrees_with_reference_rule(self, reports):
        quarantine = Quarantine()
        first_reports = {}
        for crash, fingerprints, is_solo in reports:
            is_alone = is_solo and len(fingerprints) == 1
            quarantine.apply(Incident(crash, "t", fingerprints, is_alone), 0)
            first_reports.setdefault(crash, (fingerprints, is_alone))
        for name in FINGERPRINTS:
            suspected = any(
                name in fingerprints for fingerprints, _ in first_reports.values()
            )
            quarantined = any(
                alone and name in p for p, alone in first_reports.values()
            )
            assert quarantine.is_suspect(name, 1) == suspected
            assert quarantine.is_refused(name, 1) == quarantined

    def test_suspect_is_cleared_by_a_complete_answer(self):
        quarantine = Quarantine()
        quarantine.apply(Incident("1", "t", ["p", "q"], False), 0)
        quarantine.clear_suspect("p")
        assert not quarantine.is_suspect("p", 1)
        assert quarantine.is_suspect("q", 1)

    def test_quarantine_expires(self):
        quarantine = Quarantine()
        quarantine.apply(Incident("1", "t", ["p"], True), 0)
        assert quarantine.is_refused("p", defaults.QUARANTINE_MS - 1)
        assert not quarantine.is_refused("p", defaults.QUARANTINE_MS)
        assert len(quarantine) == 0


class TestRetryBudget:
    def test_budget_bounds_the_load_on_a_failing_service(self):
        budget = RetryBudget()
        attempts = 0
        for _ in range(1_000):
            budget.earn()
            attempts += 1
            while budget.spend():
                attempts += 1
        limit = 1_000 * (1 + defaults.RETRY_BUDGET_RATIO) + defaults.RETRY_BUDGET_BURST
        assert attempts <= limit + 1

    def test_one_customer_does_not_spend_the_retries_of_another(self):
        budgets = RetryBudgets()
        while budgets.spend("greedy"):
            pass
        assert budgets.spend("modest")

    def test_router_budget_limits_all_customers_together(self):
        budgets = RetryBudgets(total_burst=3)
        spent = sum(budgets.spend(f"c{number}") for number in range(10))
        assert spent == 3
