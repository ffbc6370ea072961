"""Customer demand and usage that routers report to each other."""

import math

import pytest

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
