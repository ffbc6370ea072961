"""What routers tell each other of customers, and what they make of it."""

import pytest

from snipedeal_direct.shares import Shares


def tell(teller, listener, now_ms, is_whole=False):
    changes = teller.own_changes(now_ms, is_whole)
    for customer, asked, taken in changes:
        listener.note_peer("router-a", customer, asked, taken, now_ms)
    return [customer for customer, _, _ in changes]


def test_only_customers_with_new_use_are_told():
    shares = Shares(4000.0)
    shares.note_asked("a", 100.0, 0.0)
    shares.note_taken("b", 50.0, 0.0)
    assert [name for name, _, _ in shares.own_changes(0.0, False)] == ["a", "b"]
    assert shares.own_changes(10.0, False) == []
    assert [name for name, _, _ in shares.own_changes(10.0, True)] == ["a", "b"]


def test_what_a_peer_told_once_fades_as_its_own_sums_do():
    teller, listener = Shares(4000.0), Shares(4000.0)
    teller.note_taken("a", 1000.0, 0.0)
    tell(teller, listener, 0.0)
    for now_ms in (0.0, 1000.0, 6000.0):
        teller.update(10.0, now_ms)
        listener.update(10.0, now_ms)
        assert listener._taken["a"] == pytest.approx(teller._taken["a"])


def test_peer_that_went_silent_does_not_count():
    teller, listener = Shares(4000.0), Shares(4000.0)
    teller.note_asked("a", 1000.0, 0.0)
    tell(teller, listener, 0.0)
    listener.note_asked("b", 1000.0, 0.0)
    listener.update(100.0, 0.0)
    assert listener.level == 50.0
    listener.drop_peer("router-a")
    listener.update(100.0, 0.0)
    assert listener.level == 100.0


def test_repeated_telling_counts_once():
    teller, listener = Shares(4000.0), Shares(4000.0)
    teller.note_asked("a", 1000.0, 0.0)
    tell(teller, listener, 0.0)
    tell(teller, listener, 0.0, is_whole=True)
    listener.update(600.0, 0.0)
    assert listener.level == 600.0
