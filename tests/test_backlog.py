import hypothesis
import hypothesis.strategies as st
from snipedeal import defaults
from snipedeal.backlog import Backlog

GATES = [f"g{number}" for number in range(12)]


class TestOffers:
    def test_widens_to_all_gates_while_work_waits(self):
        backlog = Backlog("r")
        backlog.set_gates(GATES)
        backlog.add("a", "1", 0)
        told = {change.gate for change in backlog.changes(0)}
        assert len(told) == defaults.OFFER_FANOUT_FIRST
        for step in range(1, 4):
            now_ms = step * defaults.OFFER_WIDEN_AFTER_MS
            told |= {change.gate for change in backlog.changes(now_ms)}
        assert told == set(GATES)

    def test_withdraws_when_nothing_waits(self):
        backlog = Backlog("r")
        backlog.set_gates(GATES[:2])
        backlog.add("a", "1", 0)
        backlog.changes(0)
        assert backlog.take("a", "g0") == "1"
        assert [(c.gate, c.count) for c in backlog.changes(1)] == [("g1", 0)]
        assert backlog.customers == []

    def test_gate_that_lost_its_state_is_told_again(self):
        backlog = Backlog("r")
        backlog.set_gates(GATES[:1])
        backlog.add("a", "1", 0)
        backlog.changes(0)
        assert backlog.changes(1) == []
        backlog.forget_gate("g0")
        assert len(backlog.changes(2)) == 1

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(["add", "take", "remove", "back"]),
                st.sampled_from("ab"),
            ),
            max_size=60,
        )
    )
    def test_hands_out_requests_like_a_plain_list(self, steps):
        backlog = Backlog("r")
        backlog.set_gates(GATES[:3])
        naive = {"a": [], "b": []}
        for number, (step, customer) in enumerate(steps):
            queue = naive[customer]
            if step == "add":
                backlog.add(customer, str(number), number)
                queue.append(str(number))
            elif step == "take":
                expected = queue.pop(0) if queue else None
                assert backlog.take(customer, "g0") == expected
            elif step == "remove" and queue:
                assert backlog.remove(customer, queue.pop())
            elif step == "back":
                backlog.add(customer, str(number), number, is_first=True)
                queue.insert(0, str(number))
            backlog.changes(number)
        assert len(backlog) == sum(map(len, naive.values()))
