import hypothesis
import hypothesis.strategies as st

from snipedeal import defaults
from snipedeal.backlog import Backlog
from snipedeal.seeker import OfferRequestTimer

GATES = [f"g{number}" for number in range(12)]


class TestOffers:
    def test_fanout_grows_to_the_limit_while_work_waits(self):
        backlog = Backlog("r")
        backlog.set_gates(GATES)
        backlog.add("a", "1", 0)
        announced = {change.gate for change in backlog.changes(0)}
        assert len(announced) == defaults.OFFER_FANOUT_FIRST
        for step in range(1, 4):
            now_ms = step * defaults.OFFER_FANOUT_DOUBLE_AFTER_MS
            announced |= {change.gate for change in backlog.changes(now_ms)}
        assert len(announced) == defaults.OFFER_FANOUT_LIMIT

    def test_gate_beyond_the_fanout_gets_offers_on_request(self):
        backlog = Backlog("r")
        backlog.set_gates(GATES)
        backlog.add("a", "1", 0)
        announced = {change.gate for change in backlog.changes(0)}
        (idle, *_) = set(GATES) - announced
        assert [c.count for c in backlog.offers_for(idle)] == [1]
        assert backlog.offers_for(idle) == []
        assert backlog.dequeue("a", idle) == "1"
        assert {c.gate for c in backlog.changes(1)} == announced

    def test_withdraws_when_nothing_waits(self):
        backlog = Backlog("r")
        backlog.set_gates(GATES[:2])
        backlog.add("a", "1", 0)
        backlog.changes(0)
        assert backlog.dequeue("a", "g0") == "1"
        assert [(c.gate, c.count) for c in backlog.changes(1)] == [("g1", 0)]
        assert backlog.customers == []

    def test_offers_are_resent_to_gate_that_lost_its_state(self):
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
    def test_order_matches_reference_lists(self, steps):
        backlog = Backlog("r")
        backlog.set_gates(GATES[:3])
        reference = {"a": [], "b": []}
        for number, (step, customer) in enumerate(steps):
            queue = reference[customer]
            if step == "add":
                backlog.add(customer, str(number), number)
                queue.append(str(number))
            elif step == "take":
                expected = queue.pop(0) if queue else None
                assert backlog.dequeue(customer, "g0") == expected
            elif step == "remove" and queue:
                assert backlog.remove(customer, queue.pop())
            elif step == "back":
                backlog.add(customer, str(number), number, is_first=True)
                queue.insert(0, str(number))
            backlog.changes(number)
        assert len(backlog) == sum(map(len, reference.values()))


class TestOfferRequestTimer:
    def test_interval_backs_off_until_an_offer_arrives(self):
        offer_timer = OfferRequestTimer()
        asked = [
            now_ms
            for now_ms in range(0, 20_000, 50)
            if offer_timer.is_due(True, now_ms)
        ]
        gaps = [after - before for before, after in zip(asked, asked[1:], strict=False)]
        assert gaps == sorted(gaps)
        assert gaps[-1] == defaults.OFFER_REQUEST_INTERVAL_MAX_MS
        offer_timer.note_offer()
        assert offer_timer.is_due(
            True, asked[-1] + defaults.OFFER_REQUEST_INTERVAL_MIN_MS
        )

    def test_does_not_ask_while_there_is_work(self):
        offer_timer = OfferRequestTimer()
        assert not any(
            offer_timer.is_due(False, now_ms) for now_ms in range(0, 9_000, 50)
        )
