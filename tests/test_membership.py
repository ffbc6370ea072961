import hypothesis
import hypothesis.strategies as st

from snipedeal.membership import LEAVING
from snipedeal.membership import LIVE
from snipedeal.membership import Membership
from snipedeal.membership import Vm
from snipedeal.membership import VmList

NAMES = ["t0", "t1"]


def make_vm_list(as_of_ms, leaving):
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


class TestAgainstReference:
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
    def test_newest_report_wins_in_any_order(self, reports):
        # all reports of one time agree, as they come from one platform list.
        leaving_by_time = {as_of_ms: leaving for as_of_ms, leaving, _ in reports}
        membership = Membership("me")
        membership.apply(make_vm_list(0, set()), 0)
        for as_of_ms, _, is_relayed in reports:
            leaving = leaving_by_time[as_of_ms]
            if is_relayed:
                membership.apply_peer_view(as_of_ms, leaving, as_of_ms)
            else:
                membership.apply(make_vm_list(as_of_ms, leaving), as_of_ms)
        newest = max(leaving_by_time)
        assert set(membership.leaving()) >= leaving_by_time[newest]
        membership.apply(make_vm_list(21, set()), 21)
        assert membership.leaving() == []


class TestViews:
    def test_leaving_target_is_not_listed(self):
        membership = Membership("me")
        membership.apply(make_vm_list(1, {"t0"}), 1)
        assert [vm.name for vm in membership.targets("s")] == ["t1"]

    def test_older_list_is_ignored(self):
        membership = Membership("me")
        membership.apply(make_vm_list(5, {"t0"}), 1)
        assert not membership.apply(make_vm_list(4, set()), 2)
        assert membership.is_leaving("t0")

    def test_target_that_returns_is_live(self):
        membership = Membership("me")
        membership.apply(make_vm_list(5, {"t0"}), 1)
        membership.apply(make_vm_list(6, set()), 2)
        assert not membership.is_leaving("t0")

    def test_stale_until_a_newer_list_arrives(self):
        membership = Membership("me")
        assert membership.is_stale(0, 1_000)
        membership.apply(make_vm_list(5, set()), 0)
        membership.apply_peer_view(5, [], 900)
        assert membership.is_stale(1_500, 1_000)
        membership.apply_peer_view(6, [], 1_400)
        assert not membership.is_stale(1_500, 1_000)
