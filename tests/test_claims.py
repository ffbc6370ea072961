import hypothesis
import hypothesis.strategies as st

from snipedeal.claims import FINISHED
from snipedeal.claims import GRANTED
from snipedeal.claims import MISMATCH
from snipedeal.claims import RUNNING
from snipedeal.claims import Claim
from snipedeal.claims import Ledger
from snipedeal.claims import Outcome
from snipedeal.claims import Release
from snipedeal.claims import encode_items

KEYS = ["00000001", "00000002"]
ATTEMPTS = ["x", "y", "z"]

claims = st.builds(
    Claim, st.sampled_from(KEYS), st.sampled_from(ATTEMPTS), st.just("f")
)
releases = st.builds(Release, st.sampled_from(KEYS), st.sampled_from(ATTEMPTS))
outcomes = st.builds(
    Outcome,
    st.sampled_from(KEYS),
    st.sampled_from(ATTEMPTS),
    st.just(200),
    st.just(""),
    st.just(b"answer"),
    st.just(True),
)


def replay(records, start=0):
    ledger = Ledger()
    ledger.set_log_start(start)
    for offset, items in enumerate(records):
        if offset >= start:
            ledger.apply(offset, encode_items(items))
    return ledger


def reference_owner(records, key):
    """Return the owner of a key by a scan of all records."""
    owner = None
    is_finished = False
    for item in (item for record in records for item in record):
        if item.key != key:
            continue
        if isinstance(item, Claim) and owner is None:
            owner = item.attempt
        elif isinstance(item, Outcome) and item.attempt == owner:
            is_finished = True
        elif isinstance(item, Release) and item.attempt == owner and not is_finished:
            owner = None
    return owner, is_finished


class TestLedger:
    @hypothesis.given(
        st.lists(
            st.lists(st.one_of(claims, releases, outcomes), min_size=1, max_size=3),
            max_size=20,
        )
    )
    def test_same_owner_as_the_reference_scan(self, records):
        ledger = replay(records)
        for key in KEYS:
            owner, is_finished = reference_owner(records, key)
            entry = ledger.find(key)
            assert (entry.attempt if entry else None) == owner
            if entry:
                assert (entry.outcome is not None) == is_finished

    def test_first_claim_in_the_log_owns_the_key(self):
        ledger = replay([[Claim("01", "x", "f")], [Claim("01", "y", "f")]])
        assert ledger.resolve(Claim("01", "x", "f")).state == GRANTED
        assert ledger.resolve(Claim("01", "y", "f")).state == RUNNING
        assert ledger.resolve(Claim("01", "y", "other")).state == MISMATCH

    def test_appending_a_claim_twice_is_idempotent(self):
        claim = Claim("01", "x", "f")
        ledger = replay([[claim], [claim]])
        assert ledger.resolve(claim).state == GRANTED

    def test_repeat_of_a_finished_request_gets_its_outcome(self):
        outcome = Outcome("01", "x", 201, "text/plain", b"\x00body", True)
        ledger = replay([[Claim("01", "x", "f")], [outcome]])
        result = ledger.resolve(Claim("01", "y", "f"))
        assert result.state == FINISHED
        assert result.entry.outcome == outcome

    def test_malformed_records_are_ignored(self):
        ledger = Ledger()
        ledger.set_log_start(0)
        for offset, text in enumerate(["", "[]", "{}", '[{"t":"claim"}]', "[1]"]):
            assert ledger.apply(offset, text) == []
        assert len(ledger) == 0


class TestRetention:
    def history(self):
        return [[Claim("01", "x", "f")], [Claim("02", "y", "f")]]

    def test_log_without_its_start_is_incomplete(self):
        assert not replay(self.history(), start=1).is_complete

    def test_compaction_records_restore_completeness(self):
        records = self.history()
        compaction = replay(records).compaction_records("c")
        ledger = replay([*records, compaction], start=1)
        assert ledger.is_complete
        assert ledger.resolve(Claim("01", "other", "f")).state == RUNNING

    def test_late_compaction_leaves_ledger_incomplete(self):
        records = self.history()
        compaction = replay(records[:1]).compaction_records("c")
        ledger = replay([*records, compaction], start=2)
        assert not ledger.is_complete

    def test_gap_in_the_middle_is_detected(self):
        ledger = replay(self.history())
        assert ledger.is_complete
        ledger.set_log_start(10)
        assert not ledger.is_complete

    def test_partial_compaction_is_ignored(self):
        records = self.history()
        compaction = replay(records).compaction_records("c")
        half = [item.__class__(item.id, 1, 0, 2, item.entries) for item in compaction]
        assert not replay([*records, half], start=1).is_complete
