import hypothesis
import hypothesis.strategies as st

from snipedeal.membership import LEAVING
from snipedeal.membership import LIVE
from snipedeal.membership import Membership
from snipedeal.membership import Vm
from snipedeal.membership import VmList

NAMES = ["t0", "t1"]


def listing(as_of_ms, leaving):
    vms = [
        Vm(
            name,
            "target",
            "z",
            "tcp://x",
            "s",
            state=LEAVING if name in leaving else LIVE,
        )
        for name in NAMES
    ]
    return VmList(as_of_ms, vms)


class TestAgainstNaive:
    @hypothesis.given(
        st.lists(
            st.tuples(
                st.integers(1, 20),
                st.sets(st.sampled_from(NAMES)),
                st.booleans(),
            ),
            min_size=1,
            max_size=20,
        )
    )
    def test_newest_statement_wins_in_any_order(self, statements):
        # the platform says one thing about one moment.
        truth = {as_of_ms: leaving for as_of_ms, leaving, _ in statements}
        membership = Membership("me")
        membership.apply(listing(0, set()), 0)
        for as_of_ms, _, is_relayed in statements:
            leaving = truth[as_of_ms]
            if is_relayed:
                membership.apply_relay(as_of_ms, leaving, as_of_ms)
            else:
                membership.apply(listing(as_of_ms, leaving), as_of_ms)
        newest = max(truth)
        assert set(membership.leaving()) >= truth[newest]
        membership.apply(listing(21, set()), 21)
        assert membership.leaving() == []


class TestViews:
    def test_leaving_target_is_not_offered(self):
        membership = Membership("me")
        membership.apply(listing(1, {"t0"}), 1)
        assert [vm.name for vm in membership.targets("s")] == ["t1"]

    def test_older_reading_changes_nothing(self):
        membership = Membership("me")
        membership.apply(listing(5, {"t0"}), 1)
        assert not membership.apply(listing(4, set()), 2)
        assert membership.is_leaving("t0")

    def test_target_that_comes_back_is_live(self):
        membership = Membership("me")
        membership.apply(listing(5, {"t0"}), 1)
        membership.apply(listing(6, set()), 2)
        assert not membership.is_leaving("t0")

    def test_stale_only_when_nothing_newer_is_heard(self):
        membership = Membership("me")
        assert membership.is_stale(0, 1_000)
        membership.apply(listing(5, set()), 0)
        membership.apply_relay(5, [], 900)
        assert membership.is_stale(1_500, 1_000)
        membership.apply_relay(6, [], 1_400)
        assert not membership.is_stale(1_500, 1_000)
