import hypothesis
import hypothesis.strategies as st

from snipedeal import defaults
from snipedeal.fairness import VirtualTimes
from snipedeal.gate import Gate
from snipedeal.utils import stable_hash

CUSTOMERS = ["a", "b", "c"]
WEIGHTS = {"a": 1.0, "b": 1.0, "c": 2.0}


STEP = defaults.VIRTUAL_TIME_STEP_UNITS


def step(time):
    return time // STEP


class ReferenceGate:
    """A reference scheduler that scans one list of requests for every decision."""

    def __init__(self, slots):
        self.slots = slots
        self.waiting = []
        self.received = dict.fromkeys(CUSTOMERS, 0.0)
        self.last_start_tag = 0.0
        self.running = {}

    def virtual_time(self, customer):
        reserved = sum(
            units for name, units in self.running.values() if name == customer
        )
        return self.received[customer] + reserved / WEIGHTS[customer]

    def offer(self, customer):
        if customer not in self.waiting:
            backlogged = [self.virtual_time(name) for name in set(self.waiting)]
            system_time = (
                step(min(backlogged)) * STEP if backlogged else self.idle_system_time()
            )
            reserved = self.virtual_time(customer) - self.received[customer]
            self.received[customer] = max(
                self.received[customer], system_time - reserved
            )
        self.waiting.append(customer)

    def idle_system_time(self):
        served = [self.received[name] for name, _ in self.running.values()]
        return min(served, default=self.last_start_tag)

    def take(self, number, units):
        if len(self.running) >= self.slots or not self.waiting:
            return None
        customer = min(
            set(self.waiting),
            key=lambda name: (step(self.virtual_time(name)), stable_hash("", name)),
        )
        self.last_start_tag = self.received[customer]
        self.waiting.remove(customer)
        self.running[number] = (customer, units)
        return customer

    def finish(self, number):
        customer, units = self.running.pop(number)
        self.received[customer] += units / WEIGHTS[customer]


class FixedEstimate:
    """An estimator with one fixed cost, so that both gates decide alike."""

    def estimate(self, customer, max_cost=0.0):
        return 10.0

    def observe(self, customer, cost):
        pass


class TestAgainstReference:
    @hypothesis.given(
        st.lists(st.sampled_from([*CUSTOMERS, "finish"]), max_size=60),
        st.integers(1, 3),
    )
    def test_same_order_of_service(self, steps, slots):
        gate = Gate(slots, estimator=FixedEstimate())
        reference = ReferenceGate(slots)
        counts = dict.fromkeys(CUSTOMERS, 0)
        running = []
        number = 0
        for step in steps:
            if step == "finish":
                if not running:
                    continue
                done = running.pop(0)
                gate.deliver(done, 10.0)
                gate.finish(done, True)
                reference.finish(done)
            else:
                counts[step] += 1
                gate.set_offer("r", step, WEIGHTS[step], counts[step])
                reference.offer(step)
            for pull in gate.next_pulls(0):
                number += 1
                attempt = str(number)
                assert pull.customer == reference.take(attempt, 10.0)
                counts[pull.customer] -= 1
                weight = WEIGHTS[pull.customer]
                assert gate.admit(attempt, pull.customer, weight, 0.0, pull.ticket)
                running.append(attempt)
            assert reference.take("none", 10.0) is None


class TestAdmission:
    def test_unsolicited_attempt_is_declined_while_others_wait(self):
        gate = Gate(1)
        assert gate.admit("x", "a", 1.0, 0.0)
        gate.set_offer("r", "b", 1.0, 1)
        gate.finish("x", True)
        assert not gate.admit("y", "a", 1.0, 0.0)

    def test_closed_gate_requests_and_admits_nothing(self):
        gate = Gate(2, is_open=False)
        gate.set_offer("r", "a", 1.0, 1)
        assert gate.next_pulls(0) == []
        assert not gate.admit("x", "a", 1.0, 0.0)

    def test_unanswered_ticket_expires_and_frees_its_slot(self):
        gate = Gate(1)
        gate.set_offer("r", "a", 1.0, 1)
        (pull,) = gate.next_pulls(0)
        assert gate.free == 0
        assert gate.expire_tickets(defaults.PULL_TIMEOUT_MS) == [pull.ticket]
        assert gate.free == 1

    def test_lost_router_frees_its_offers_and_tickets(self):
        gate = Gate(1)
        gate.set_offer("r", "a", 1.0, 3)
        gate.next_pulls(0)
        gate.forget_router("r")
        assert gate.free == 1
        assert gate.queued() == 0

    def test_suspect_runs_alone(self):
        gate = Gate(3)
        assert gate.admit("x", "a", 1.0, 0.0)
        gate.set_offer("r", "b", 1.0, 5)
        (first, second) = gate.next_pulls(0)
        assert not gate.admit("s", "a", 1.0, 0.0, first.ticket, is_solo=True)
        assert gate.is_waiting_solo("s")
        gate.release_ticket(second.ticket)
        assert gate.next_pulls(0) == []
        gate.finish("x", True)
        assert gate.admit("s", "a", 1.0, 0.0, is_solo=True)
        assert gate.next_pulls(0) == []
        assert not gate.admit("z", "a", 1.0, 0.0)
        gate.finish("s", True)
        assert len(gate.next_pulls(0)) == 3


class TestTieBreaking:
    def test_gates_serve_different_customers_first(self):
        names = [f"c{number}" for number in range(50)]
        first = set()
        for gate_name in ("g0", "g1", "g2", "g3", "g4", "g5"):
            gate = Gate(1, times=VirtualTimes(gate_name))
            for name in names:
                gate.set_offer("r", name, 1.0, 1)
            first.add(gate.next_pulls(0)[0].customer)
        assert len(first) > 3


class TestCharging:
    def test_newcomer_starts_at_smallest_virtual_time_in_service(self):
        gate = Gate(2, estimator=FixedEstimate())
        for number in range(2):
            gate.set_offer("r", "a", 1.0, 1)
            (pull,) = gate.next_pulls(0)
            gate.admit(str(number), "a", 1.0, 0.0, pull.ticket)
        gate.set_offer("r", "b", 1.0, 1)
        assert gate.times.virtual_time("b") == 0.0

    def test_newcomer_does_not_start_at_largest_virtual_time(self):
        gate = Gate(2)
        for number in range(5):
            gate.admit(f"q{number}", "quick", 1.0, 0.0)
            gate.deliver(f"q{number}", 50.0)
            gate.finish(f"q{number}", True)
        gate.admit("s", "slow", 1.0, 0.0)
        gate.admit("q5", "quick", 1.0, 0.0)
        gate.set_offer("r", "new", 1.0, 1)
        assert gate.times.virtual_time("new") == gate.times.delivered("slow") == 0.0

    def test_finish_replaces_estimate_by_actual_cost(self):
        gate = Gate(1)
        gate.admit("x", "a", 2.0, 1000.0)
        gate.deliver("x", 30.0)
        gate.finish("x", True)
        assert gate.times.virtual_time("a") == 15.0

    def test_idle_customer_accumulates_no_credit(self):
        gate = Gate(1)
        gate.set_offer("r", "a", 1.0, 10)
        for number in range(20):
            (pull,) = gate.next_pulls(0)
            gate.admit(str(number), "a", 1.0, 0.0, pull.ticket)
            gate.deliver(str(number), 100.0)
            gate.set_offer("r", "a", 1.0, 10)
            gate.finish(str(number), True)
        gate.set_offer("r", "b", 1.0, 10)
        assert gate.times.virtual_time("b") == gate.times.virtual_time("a") == 2000.0


class TestRateLimit:
    def test_gate_asks_for_no_more_than_the_rate_limit_of_its_target(self):
        gate = Gate(slots=50)
        gate.set_offer("r", "a", 1.0, 1_000)
        gate.set_rate_limit(5.0, 0)
        pulls = []
        for now_ms in range(0, 20_000, 100):
            for pull in gate.next_pulls(now_ms):
                attempt = f"a{len(pulls)}"
                assert gate.admit(attempt, "a", 1.0, 0.0, pull.ticket)
                gate.finish(attempt, is_complete=True)
                pulls.append(now_ms)
        for start_ms in pulls:
            in_span = [at for at in pulls if start_ms <= at < start_ms + 4_000]
            assert len(in_span) <= 1.5 * 5.0 * 4 + 5
        assert len(pulls) >= 0.9 * 5.0 * 20

    def test_requests_that_a_limited_gate_did_not_ask_for_are_declined(self):
        gate = Gate(slots=50)
        assert gate.admit("a1", "a", 1.0, 0.0)
        gate.set_rate_limit(5.0, 0)
        assert not gate.admit("a2", "a", 1.0, 0.0)
        gate.set_rate_limit(None, 0)
        assert gate.admit("a2", "a", 1.0, 0.0)
