"""Customer demand and usage that routers report to each other."""

import math
import random

import pytest

from snipedeal_direct.shares import DecayingSums
from snipedeal_direct.shares import Shares


def send_changes(sender, receiver, now_ms, is_full=False):
    changes = sender.own_changes(now_ms, is_full)
    for customer, demand, usage in changes:
        receiver.note_peer("router-a", customer, demand, usage, now_ms)
    return [customer for customer, _, _ in changes]


def test_only_customers_with_new_demand_or_usage_are_reported():
    shares = Shares(4000.0)
    shares.note_demand("a", 100.0, 0.0)
    shares.note_served("b", 50.0, 0.0)
    assert [name for name, _, _ in shares.own_changes(0.0, False)] == ["a", "b"]
    assert shares.own_changes(10.0, False) == []
    assert [name for name, _, _ in shares.own_changes(10.0, True)] == ["a", "b"]


def test_reported_usage_decays_like_local_usage():
    sender, receiver = Shares(4000.0), Shares(4000.0)
    sender.note_served("a", 1000.0, 0.0)
    send_changes(sender, receiver, 0.0)
    for now_ms in (0.0, 1000.0, 6000.0):
        sender.update(10.0, now_ms)
        receiver.update(10.0, now_ms)
        assert receiver._usage["a"] == pytest.approx(sender._usage["a"])


def test_dropped_peer_does_not_count():
    sender, receiver = Shares(4000.0), Shares(4000.0)
    sender.note_demand("a", 1000.0, 0.0)
    send_changes(sender, receiver, 0.0)
    receiver.note_demand("b", 1000.0, 0.0)
    receiver.update(100.0, 0.0)
    assert receiver.fair_share == 50.0
    receiver.drop_peer("router-a")
    receiver.update(100.0, 0.0)
    assert receiver.fair_share == 100.0


def test_repeated_report_counts_once():
    sender, receiver = Shares(4000.0), Shares(4000.0)
    sender.note_demand("a", 1000.0, 0.0)
    send_changes(sender, receiver, 0.0)
    send_changes(sender, receiver, 0.0, is_full=True)
    receiver.update(600.0, 0.0)
    assert receiver.fair_share == 600.0


def test_usage_of_a_request_that_no_target_ran_is_returned():
    shares, peer = Shares(4000.0), Shares(4000.0)
    shares.note_served("a", 1000.0, 0.0)
    shares.note_served("a", 500.0, 100.0)
    shares.return_unserved("a", 1000.0, 0.0, 600.0)
    expected = 500.0 * math.exp(-500.0 / 4000.0)
    send_changes(shares, peer, 600.0)
    for each in (shares, peer):
        each.update(10_000.0, 600.0)
        assert each.usage("a") == pytest.approx(expected)


def test_shares_of_many_peers_follow_their_reports_and_losses():
    """Guards against totals that drift from the sum of what peers reported."""
    rng = random.Random(7)
    shares = Shares(4000.0)
    now_ms, reported = 0.0, {}
    for _ in range(3_000):
        now_ms += rng.uniform(0, 60)
        peer, customer = f"r{rng.randrange(12)}", f"c{rng.randrange(6)}"
        if rng.random() < 0.02:
            shares.drop_peer(peer)
            reported = {key: v for key, v in reported.items() if key[0] != peer}
        else:
            demand, used = rng.uniform(0, 9_000), rng.uniform(0, 5_000)
            shares.note_peer(peer, customer, demand, used, now_ms)
            reported[peer, customer] = (demand, used, now_ms)
        if rng.random() < 0.05:
            shares.update(10_000.0, now_ms)
            for name in {key[1] for key in reported}:
                expected = sum(
                    used * math.exp((at_ms - now_ms) / 4000.0)
                    for (_, owner), (_, used, at_ms) in reported.items()
                    if owner == name
                )
                assert shares.usage(name) == pytest.approx(expected, abs=15.0)


@pytest.mark.parametrize("seed", range(5))
def test_sums_decay_as_defined_whichever_way_they_change(seed):
    rng = random.Random(seed)
    sums, now_ms = DecayingSums(4000.0), 0.0
    added = {name: [] for name in "ab"}
    for _ in range(500):
        now_ms += rng.choice((0.0, 0.0, 1.0, 60.0))
        name, units = rng.choice("ab"), rng.uniform(-500, 9_000)
        before = sum(v * math.exp((at - now_ms) / 4000.0) for v, at in added[name])
        if rng.random() < 0.5:
            sums.add(name, units, now_ms)
            added[name].append((units, now_ms))
        else:
            growth = sums.replace(name, units, now_ms)
            assert growth == pytest.approx(units - before, rel=1e-9, abs=1e-6)
            added[name] = [(units, now_ms)]
        for each, values in added.items():
            expected = sum(v * math.exp((at - now_ms) / 4000.0) for v, at in values)
            assert sums.get(each, now_ms) == pytest.approx(expected, rel=1e-9, abs=1e-6)


def test_time_of_an_update_does_not_grow_with_the_number_of_peers():
    reads = []

    class CountingSums(DecayingSums):
        def get(self, customer, now_ms):
            reads.append(customer)
            return DecayingSums.get(self, customer, now_ms)

    def count(peers):
        shares = Shares(4000.0)
        for number in range(peers):
            for customer in range(20):
                shares.note_peer(f"r{number}", f"c{customer}", 100.0, 50.0, 0.0)
            shares._peers[f"r{number}"] = tuple(
                CountingSums(4000.0, sums._sums) for sums in shares._peers[f"r{number}"]
            )
        reads.clear()
        for step in range(10):
            shares.update(1_000.0, step * 90.0)
        return len(reads)

    assert count(300) <= count(20)


def test_customer_that_used_less_is_behind_whatever_the_capacity_is():
    shares = Shares(4000.0)
    for customer, units in (("most", 1000.0), ("half", 500.0)):
        shares.note_demand(customer, 2000.0, 0.0)
        shares.note_served(customer, units, 0.0)
    for capacity in (10.0, 1_500.0, 1e9, math.inf):
        shares.update(capacity, 0.0)
        assert shares.shortfall("most") == 0.0
        assert shares.shortfall("half") == pytest.approx(0.5)
        assert shares.shortfall("none") == 1.0
        assert shares.stage("most") > shares.stage("half") > shares.stage("none")


def test_demand_beyond_a_share_gets_a_router_no_more_of_a_rate_limit():
    """Guards against limits that go to customers in proportion to what they ask for."""
    shares = Shares(4000.0)
    shares.note_demand("narrow", 1_000.0, 0.0)
    shares.note_served("narrow", 200.0, 0.0)
    for peer in ("r1", "r2", "r3", "r4"):
        shares.note_peer(peer, "wide", 2_000.0, 200.0, 0.0)
    shares.update(math.inf, 0.0)
    demand = shares.demand_by_router("r0", 0.0)
    wide = sum(demand[peer] for peer in ("r1", "r2", "r3", "r4"))
    assert demand["r0"] == pytest.approx(wide)
