import json

import hypothesis
import hypothesis.strategies as st

from snipedeal.answer import Answer
from snipedeal.answer import ChunkStatus


def chunk(text, run="1"):
    return json.dumps({"id": run, "choices": [{"delta": {"content": text}}]}).encode()


class TestParts:
    @hypothesis.given(
        st.lists(st.integers(0, 9), max_size=30), st.randoms(use_true_random=False)
    )
    def test_late_duplicate_and_foreign_parts_make_one_complete_answer(
        self, order, rng
    ):
        expected = [chunk(str(number)) for number in range(10)]
        answer = Answer()
        answer.begin_attempt("a.1")
        for start in order:
            end = rng.randint(start, 10)
            attempt = rng.choice(["a.1", "a.1", "b.1"])
            answer.accept(attempt, start, expected[start:end])
            assert answer.chunks == expected[: len(answer.chunks)]
        answer.accept("a.1", answer.position, expected[answer.position :])
        assert answer.chunks == expected
        assert answer.is_complete(10)

    def test_gap_is_detected(self):
        answer = Answer()
        answer.begin_attempt("a.1")
        assert answer.accept("a.1", 1, [b"x"]) is ChunkStatus.GAP


class TestReruns:
    def test_identical_rerun_adds_no_duplicate_chunks(self):
        answer = Answer()
        answer.begin_attempt("a.1")
        answer.accept("a.1", 0, [chunk("x"), chunk("y")])
        answer.delivered = 2
        answer.begin_attempt("a.2")
        parts = [chunk("x", "2"), chunk("y", "2"), chunk("z", "2")]
        assert answer.accept("a.2", 0, parts) is ChunkStatus.ACCEPTED
        assert [json.loads(c)["choices"] for c in answer.chunks] == [
            json.loads(c)["choices"] for c in parts
        ]

    def test_rerun_contradicting_delivered_chunks_is_rejected(self):
        answer = Answer()
        answer.begin_attempt("a.1")
        answer.accept("a.1", 0, [chunk("x")])
        answer.delivered = 1
        answer.begin_attempt("a.2")
        assert answer.accept("a.2", 0, [chunk("other")]) is ChunkStatus.CONTRADICTION

    def test_differing_rerun_replaces_undelivered_chunks(self):
        answer = Answer()
        answer.begin_attempt("a.1")
        answer.accept("a.1", 0, [chunk("x"), chunk("y")])
        answer.begin_attempt("a.2")
        answer.accept("a.2", 0, [chunk("other")])
        answer.truncate()
        assert answer.chunks == [chunk("other")]
