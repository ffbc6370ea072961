"""Test each invariant check with a history that violates just that invariant."""

import json

import pytest

from snipedeal_standins import checker
from snipedeal_standins.checker import ConfigObservation
from snipedeal_standins.checker import ConfigPublication
from snipedeal_standins.checker import LeavingInterval
from snipedeal_standins.history import CallRecord
from snipedeal_standins.history import RunRecord
from snipedeal_standins.measures import service_samples

GRACE_MS = 4_000


def call(mark="c.1", outcome="whole", **fields):
    fields.setdefault("done_ms", 100)
    fields.setdefault("first_ms", 50)
    record = CallRecord(mark, mark.split(".")[0], "s", "chat", "http://r", 0)
    for name, value in {"outcome": outcome, **fields}.items():
        setattr(record, name, value)
    return record


def start(mark="c.1", target="t", time_ms=10):
    return RunRecord(target, "start", time_ms, {"mark": mark})


class TestAnswers:
    def test_clean_history_holds(self):
        calls = [call(), call("c.2", "refused", ran="not_run")]
        assert checker.check_answers(calls) == []

    @pytest.mark.parametrize("outcome", ["cut", "wrong", ""])
    def test_catches_an_incomplete_foreign_or_missing_answer(self, outcome):
        (violation,) = checker.check_answers([call(outcome=outcome)])
        assert violation.rule == "whole"

    def test_catches_a_refusal_that_does_not_say_whether_it_ran(self):
        assert checker.check_answers([call(outcome="refused", ran="")])

    def test_call_lost_with_its_router_is_no_violation(self):
        cut = call(outcome="cut")
        assert checker.check_answers([cut], ["http://r"]) == []


class TestNotRun:
    def test_catches_a_refused_call_that_ran(self):
        refused = call(outcome="refused", ran="not_run")
        assert checker.check_not_run([refused], [start()])
        assert checker.check_not_run([refused], [start("c.2")]) == []


class TestAtMostOnce:
    def test_catches_a_key_that_ran_twice(self):
        calls = [call("c.1", key="k"), call("c.2", key="k"), call("c.3", key="other")]
        runs = [start("c.1"), start("c.3")]
        assert checker.check_at_most_once(calls, runs) == []
        (violation,) = checker.check_at_most_once(calls, [*runs, start("c.2", "t2")])
        assert violation.subject == "c/k"


class TestLeaving:
    def test_catches_new_work_at_a_leaving_target(self):
        intervals = [LeavingInterval("t", 1_000, 20_000)]
        early = start(time_ms=1_000 + GRACE_MS)
        late = start(time_ms=1_001 + GRACE_MS)
        back = start(time_ms=20_000)
        assert checker.check_leaving(intervals, [early, back], GRACE_MS) == []
        assert checker.check_leaving(intervals, [late], GRACE_MS)


class TestShutdown:
    def test_catches_an_answer_that_was_cut_off(self):
        assert checker.check_shutdown([call(outcome="cut", status=200)], [])
        assert checker.check_shutdown([call(outcome="cut", status=0)], [start()])
        assert checker.check_shutdown([call(outcome="refused", ran="may_have_run")], [])

    def test_refused_connection_was_not_in_flight(self):
        assert checker.check_shutdown([call(outcome="cut", status=0)], []) == []

    def test_catches_a_request_that_never_ended(self):
        lines = [
            json.dumps({"event": event, "request": request})
            for event, request in [
                ("request.accepted", "a"),
                ("request.accepted", "b"),
                ("request.ended", "a"),
            ]
        ]
        (violation,) = checker.check_accepted_requests_ended("r", lines)
        assert "b" in violation.detail


class TestStarvation:
    def test_catches_a_long_wait_and_a_call_that_is_never_answered(self):
        assert checker.check_starvation([call(first_ms=900)], 900, 5_000) == []
        assert checker.check_starvation([call(first_ms=901)], 900, 5_000)
        never = call(outcome="", first_ms=0, done_ms=0)
        assert checker.check_starvation([never], 900, 5_000)


class TestGap:
    def test_catches_a_gap_inside_the_window(self):
        tokens = [(0, 0, 0), (1_000, 100, 100), (2_000, 400, 110), (3_000, 500, 490)]
        runs = [
            RunRecord("t", "served", time_ms, {"tokens": {"a": a, "b": b}})
            for time_ms, a, b in tokens
        ]
        runs.append(RunRecord("t", "served", 4_000, {"tokens": {"a": 500, "b": 500}}))
        samples = service_samples(runs, 1, {"t"})
        shares = {"a": 1.0, "b": 1.0}
        assert checker.check_gap(samples, shares, (0, 5_000), 290) == []
        assert checker.check_gap(samples, shares, (0, 5_000), 289)


class TestConfig:
    def test_catches_an_offset_that_goes_back(self):
        seen = [ConfigObservation("p#1", 0, 5), ConfigObservation("p#1", 1, 4)]
        assert checker.check_config(seen, [], 14_000)

    def test_catches_a_record_that_is_late_somewhere(self):
        publications = [ConfigPublication(5, 1_000)]
        seen = [ConfigObservation("p#1", 15_001, 4)]
        assert checker.check_config(seen, publications, 14_000)
        in_time = [
            ConfigObservation("p#1", 15_000, 4),
            ConfigObservation("p#1", 16_000, 5),
        ]
        assert checker.check_config(in_time, publications, 14_000) == []
