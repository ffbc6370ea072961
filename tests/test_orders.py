from snipedeal.orders import FenceGuard
from snipedeal.orders import LeaseTable
from snipedeal.orders import encode_fulfilled
from snipedeal.orders import encode_lease


class TestLeaseTable:
    def test_later_lease_supersedes_earlier_one(self):
        table = LeaseTable()
        table.apply(0, encode_lease("s", "r0"))
        table.apply(1, encode_lease("s", "r1"))
        assert table.fence("s") == 1
        assert table.holder("s") == "r1"

    def test_superseded_holder_cannot_record_a_state_as_reached(self):
        table = LeaseTable()
        table.apply(0, encode_lease("s", "r0"))
        table.apply(1, encode_lease("s", "r1"))
        table.apply(2, encode_fulfilled("s", 0, "w"))
        assert not table.is_fulfilled("s", "w")
        table.apply(3, encode_fulfilled("s", 1, "w"))
        assert table.is_fulfilled("s", "w")

    def test_malformed_records_are_ignored(self):
        table = LeaseTable()
        for offset, text in enumerate(["", "[]", "{}", '{"t": "lease"}', "1"]):
            table.apply(offset, text)
        assert table.fence("s") == -1


class TestFenceGuard:
    def test_paused_process_must_read_the_log_again(self):
        guard = FenceGuard(500)
        assert not guard.is_fresh(0)
        guard.note_read(0, 3)
        assert guard.is_fresh(500)
        assert not guard.is_fresh(501)

    def test_order_with_older_fence_is_not_current(self):
        guard = FenceGuard(500)
        guard.note_read(0, 3)
        assert guard.is_current(3)
        guard.note_acted(5)
        assert not guard.is_current(4)
