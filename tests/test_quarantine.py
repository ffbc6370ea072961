import hypothesis
import hypothesis.strategies as st

from snipedeal import defaults
from snipedeal.messages import Incident
from snipedeal.quarantine import Quarantine
from snipedeal.retries import RetryBudget
from snipedeal.retries import RetryBudgets

PRINTS = ["p", "q", "r"]


class TestQuarantine:
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(["1", "2", "3", "4"]),
                st.lists(st.sampled_from(PRINTS), min_size=1, unique=True),
                st.booleans(),
            ),
            max_size=12,
        )
    )
    def test_same_convictions_as_the_naive_rule(self, reports):
        quarantine = Quarantine()
        first = {}
        for crash, prints, is_solo in reports:
            is_alone = is_solo and len(prints) == 1
            quarantine.apply(Incident(crash, "t", prints, is_alone), 0)
            first.setdefault(crash, (prints, is_alone))
        for name in PRINTS:
            suspected = any(name in prints for prints, _ in first.values())
            convicted = any(alone and name in p for p, alone in first.values())
            assert quarantine.is_suspect(name, 1) == suspected
            assert quarantine.is_refused(name, 1) == convicted

    def test_innocent_suspect_is_cleared_by_a_whole_answer(self):
        quarantine = Quarantine()
        quarantine.apply(Incident("1", "t", ["p", "q"], False), 0)
        quarantine.clear("p")
        assert not quarantine.is_suspect("p", 1)
        assert quarantine.is_suspect("q", 1)

    def test_conviction_ends_after_its_time(self):
        quarantine = Quarantine()
        quarantine.apply(Incident("1", "t", ["p"], True), 0)
        assert quarantine.is_refused("p", defaults.QUARANTINE_MS - 1)
        assert not quarantine.is_refused("p", defaults.QUARANTINE_MS)
        assert len(quarantine) == 0


class TestRetryBudget:
    def test_load_of_a_failing_service_is_multiplied_by_little(self):
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

    def test_fleet_budget_limits_all_customers_together(self):
        budgets = RetryBudgets(total_burst=3)
        spent = sum(budgets.spend(f"c{number}") for number in range(10))
        assert spent == 3
