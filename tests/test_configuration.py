import json

import hypothesis
import hypothesis.strategies as st

from snipedeal.configuration import ACCEPTED
from snipedeal.configuration import IGNORED
from snipedeal.configuration import REJECTED
from snipedeal.configuration import UNUSABLE
from snipedeal.configuration import Configuration

KEY = "sha256:" + "0" * 64


def record(name, base, share=1.0, version=1, kind="customer", deleted=False):
    spec = {"share": share, "keys": [KEY]}
    if version == 2:
        spec = {"shares": {"*": share}, "keys": [KEY]}
    return json.dumps(
        {
            "schema_version": version,
            "id": "r",
            "kind": kind,
            "name": name,
            "base_revision": base,
            "spec": None if deleted else spec,
        }
    )


def read(texts, start=0):
    configuration = Configuration()
    configuration.set_log_start(start)
    results = [
        configuration.apply(offset, text)
        for offset, text in enumerate(texts)
        if offset >= start
    ]
    return configuration, results


class TestMerge:
    def test_one_of_two_concurrent_updates_is_accepted(self):
        texts = [record("a", None), record("a", 0, 2.0), record("a", 0, 3.0)]
        configuration, results = read(texts)
        assert [r.status for r in results] == [ACCEPTED, ACCEPTED, REJECTED]
        assert results[2].field == "base_revision"
        assert configuration.customer("a").share("any") == 2.0

    def test_old_and_new_schema_versions_are_both_accepted(self):
        configuration, results = read(
            [record("a", None), record("b", None, version=2), record("a", 0, version=2)]
        )
        assert {r.status for r in results} == {ACCEPTED}
        assert configuration.customer_names() == ["a", "b"]

    def test_unknown_schema_keeps_the_usable_spec_and_advances_the_revision(self):
        texts = [record("a", None, 5.0), record("a", 0, version=9), record("a", 0)]
        configuration, results = read(texts)
        assert [r.status for r in results] == [ACCEPTED, UNUSABLE, REJECTED]
        assert results[1].field == "schema_version"
        assert results[1].offset == 1
        assert configuration.customer("a").share("any") == 5.0
        assert configuration.revision("customer", "a") == 1

    def test_result_names_the_invalid_field(self):
        text = json.loads(record("a", None))
        text["spec"]["share"] = "much"
        _, (result,) = read([json.dumps(text)])
        assert result.status == UNUSABLE
        assert result.field == "spec.share"

    def test_older_offset_is_ignored(self):
        configuration, _ = read([record("a", None, 1.0), record("a", 0, 2.0)])
        configuration.apply(0, record("a", None, 9.0))
        assert configuration.customer("a").share("any") == 2.0
        assert configuration.offset == 1

    def test_deleted_customer_loses_its_key(self):
        configuration, _ = read([record("a", None), record("a", 0, deleted=True)])
        assert configuration.customer_names() == []
        assert configuration.find_customer(KEY) is None
        assert configuration.revision("customer", "a") is None

    @hypothesis.given(
        st.lists(
            st.tuples(
                st.sampled_from(["a", "b"]),
                st.one_of(st.none(), st.integers(0, 12)),
                st.sampled_from([1, 2, 9]),
                st.booleans(),
            ),
            max_size=14,
        )
    )
    def test_acceptance_does_not_depend_on_known_schemas(self, items):
        texts = [
            record(name, base, version=version, deleted=deleted)
            for name, base, version, deleted in items
        ]
        _, results = read(texts)
        current = {}
        for offset, (name, base, _, deleted) in enumerate(items):
            is_accepted = current.get(name) == base
            assert (results[offset].status != REJECTED) == is_accepted
            if is_accepted:
                current[name] = None if deleted else offset


class TestSnapshots:
    texts = [
        record("a", None),
        record("b", None, 2.0),
        record("a", 0, version=9),
        record("b", 1, 4.0),
    ]

    def test_snapshot_and_later_records_equal_the_full_log(self):
        full, _ = read([*self.texts, "gap", record("c", None)])
        before, _ = read(self.texts)
        stream = [*self.texts, *before.snapshot("s"), record("c", None)]
        late, _ = read(stream, start=3)
        assert late.is_complete
        assert late.customer("a") == full.customer("a")
        assert late.customer_names() == full.customer_names()
        assert late.revision("customer", "a") == 2

    def test_start_without_a_snapshot_is_incomplete(self):
        late, _ = read(self.texts, start=2)
        assert not late.is_complete
        assert late.customer_names() == []

    def test_adopts_only_a_newer_snapshot(self):
        peer, _ = read(self.texts)
        empty = Configuration()
        assert empty.load_newer_snapshot(peer.snapshot("p"))
        assert empty.customer("b") == peer.customer("b")
        assert empty.objects() == peer.objects()
        stale, _ = read(self.texts[:2])
        assert not empty.load_newer_snapshot(stale.snapshot("old"))
        assert empty.offset == 3

    def test_incomplete_snapshot_is_not_loaded(self):
        peer, _ = read(self.texts)
        part = json.loads(peer.snapshot("p")[0])
        part["parts"] = 2
        late, _ = read([*self.texts, json.dumps(part)], start=2)
        assert not late.is_complete
        assert not Configuration().load_newer_snapshot([json.dumps(part)])

    def test_ignored_kinds_still_advance_the_offset(self):
        agent = Configuration(frozenset({"service"}))
        agent.set_log_start(0)
        for offset, text in enumerate(self.texts):
            assert agent.apply(offset, text).status == IGNORED
        assert agent.customer_names() == []
        assert agent.offset == 3
