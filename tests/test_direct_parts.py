"""Unit tests of parts of the direct router and its platform adapter."""

import json
import struct

import hypothesis
import hypothesis.strategies as st
import pytest

from snipedeal.exceptions import RecordError
from snipedeal_direct import defaults
from snipedeal_direct.condition import TargetHealth
from snipedeal_direct.load import PrefixCache
from snipedeal_direct.model import Prompt
from snipedeal_direct.model import PromptPart
from snipedeal_direct.model import RetryPolicy
from snipedeal_direct.model import TargetState
from snipedeal_direct.model import parse_prompt
from snipedeal_direct.retries import RetryBudget
from snipedeal_direct.routing import Routing
from snipedeal_direct.routing import split_host
from snipedeal_direct.routing import split_path
from snipedeal_direct.settings import BoundSettings
from snipedeal_direct.sse import EventSplitter
from snipedeal_platform.decode import read_table
from snipedeal_platform.decode import read_target
from snipedeal_platform.store import _parse_batch
from snipedeal_standins.edge import HOST
from snipedeal_standins.edge import configuration
from snipedeal_standins.edge import route

BOUNDS = BoundSettings(grace_s=8, retry_ratio=0.2, retry_window_s=10, retry_slack=60)


def table(version=1, **changes):
    return read_table(json.dumps(configuration(version, **changes)).encode())


def test_longest_prefix_wins():
    routing = Routing()
    outer = route("a", "idempotent", "desk")
    inner = {**route("b", "idempotent", "desk"), "pathPrefix": "/a/b/"}
    routing.apply(table(routes=[outer, inner]))
    assert routing.find(HOST, "/a/b/c").name == "b"
    assert routing.find(HOST, "/a/bc").name == "a"
    assert routing.find(HOST, "/a") is None
    assert routing.find("other", "/a/b/c") is None


def test_older_or_equal_version_is_not_applied():
    routing = Routing()
    assert routing.apply(table(5))
    assert not routing.apply(table(5))
    assert not routing.apply(table(4))
    assert routing.apply(table(9))


def test_traffic_split_follows_weights():
    routing = Routing()
    split = [{"service": "x", "weight": 90}, {"service": "y", "weight": 10}]
    split_route = {**route("a", "idempotent", ""), "split": split}
    routing.apply(table(routes=[split_route]))
    found = routing.find(HOST, "/a/")
    drawn = [routing.draw_service(found) for _ in range(2000)]
    assert 100 < drawn.count("y") < 320


@pytest.mark.parametrize(
    ("value", "host"),
    [("A.example", "a.example"), ("a:80", "a"), ("a.example:8080 ", "a.example")],
)
def test_split_host(value, host):
    assert split_host(value) == host


@pytest.mark.parametrize(
    ("target", "path"),
    [(b"/a/b?c=/d", "/a/b"), (b"http://h/a/b?x", "/a/b"), (b"/a://b", "/a://b")],
)
def test_split_path(target, path):
    assert split_path(target) == path


@pytest.mark.parametrize(
    ("kind", "resumable", "policy"),
    [
        ("idempotent", False, RetryPolicy.IDEMPOTENT),
        ("non_idempotent", False, RetryPolicy.AT_MOST_ONCE),
        ("streaming", False, RetryPolicy.AT_MOST_ONCE),
        ("streaming", True, RetryPolicy.IDEMPOTENT),
        ("unheard_of", False, RetryPolicy.AT_MOST_ONCE),
    ],
)
def test_route_kind_decides_whether_requests_may_be_retried(kind, resumable, policy):
    read = table(routes=[route("a", kind, "desk", resumable=resumable)])
    assert read.routes[0].retry_policy is policy


def test_unreadable_configuration_is_an_error():
    for document in (b"", b"[]", b'{"version": 1}', b"\xff"):
        with pytest.raises(RecordError):
            read_table(document)


ENTRY = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "z",
    "version": "v1",
    "slots": 6,
    "state": "draining",
    "coldRemainingMs": 0,
    "sequence": 4,
    "born": 17,
}


def test_read_target_registration():
    target = read_target("i-1", json.dumps(ENTRY).encode())
    assert (target.host, target.port, target.started_ms) == ("10.0.0.1", 80, 17)
    assert target.state is TargetState.LEAVING


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "resting"},
        {"address": "nowhere"},
        {"address": 5},
        {"slots": "six"},
        {"slots": 0},
        {"service": None},
        {"zone": []},
    ],
)
def test_registration_with_an_invalid_field_is_ignored(changes):
    with pytest.raises(RecordError):
        read_target("i-1", json.dumps({**ENTRY, **changes}).encode())


def test_registration_without_a_field_or_not_json_is_ignored():
    for field in ("service", "address", "state", "slots"):
        entry = {key: value for key, value in ENTRY.items() if key != field}
        with pytest.raises(RecordError):
            read_target("i-1", json.dumps(entry).encode())
    with pytest.raises(RecordError):
        read_target("i-1", b"\x00\xff")


def test_read_records_of_a_keyed_topic():
    def record(key, value):
        content = bytes((len(key),)) + key + value
        return struct.pack(">I", len(content)) + content

    body = struct.pack(">QQ", 12, 3) + record(b"a", b"1") + record(b"b", b"")
    batch = _parse_batch(body, 10, 1)
    assert [(r.key, r.value) for r in batch.records] == [("a", b"1"), ("b", None)]
    assert batch.next == 12
    with pytest.raises(struct.error):
        _parse_batch(body[:-1], 10, 1)


EVENTS = [b"id: %d\ndata: some id: text\n\n" % n for n in range(1, 6)]


@hypothesis.given(st.lists(st.integers(1, 40), min_size=1))
def test_splitter_emits_only_complete_events(sizes):
    stream = b"".join(EVENTS)
    splitter = EventSplitter()
    out = b""
    at = 0
    for size in sizes:
        out += splitter.feed(stream[at : at + size])
        at += size
        complete = stream[:at].count(b"\n\n")
        assert out == b"".join(EVENTS[:complete])
        assert splitter.last_id == (b"%d" % complete if complete else b"")
        assert splitter.has_partial == (at < len(stream) and len(out) < at)


def test_parse_prompt():
    prompt = parse_prompt("5c:800,91:410,e4:250", "1460,80", "")
    assert (prompt.tokens, prompt.output_tokens, prompt.affinity) == (1460, 80, "91")
    assert parse_prompt("5c:800", "900,80", "40.5").output_tokens == 40
    assert parse_prompt("5c:x", "900,80", "") is None
    assert parse_prompt("", "", "") is None


def test_cached_part_counts_only_if_all_parts_before_it_are_cached():
    cache = PrefixCache()
    prompt = Prompt((PromptPart("a", 100), PromptPart("b", 200)), 400, 10)
    assert cache.uncached_tokens(prompt) == 400
    cache.add("b", 200)
    assert cache.uncached_tokens(prompt) == 400
    cache.add("a", 100)
    assert cache.uncached_tokens(prompt) == 100
    cache.add("c", 1000)
    cache.shrink(1100)
    assert cache.uncached_tokens(prompt) == 300


@hypothesis.given(st.lists(st.tuples(st.integers(0, 200), st.booleans()), max_size=400))
def test_retries_stay_within_the_budget(steps):
    # if each of six routers stays within its part, the fleet stays within its bound.
    budget = RetryBudget(BOUNDS)
    now_ms = 0.0
    requests, retries = [], []
    for wait_ms, is_request in steps:
        now_ms += wait_ms
        if is_request:
            budget.note_request(now_ms)
            requests.append(now_ms)
        elif budget.spend(now_ms, 6):
            retries.append(now_ms)
        start_ms = now_ms - BOUNDS.retry_window_ms
        retry_count = sum(1 for at_ms in retries if at_ms >= start_ms)
        request_count = sum(
            1 for at_ms in requests if at_ms >= start_ms - BOUNDS.retry_window_ms
        )
        assert (
            retry_count <= BOUNDS.retry_ratio * request_count + BOUNDS.retry_slack / 6
        )


def test_failure_share_decays_and_a_good_answer_ends_an_ejection():
    health = TargetHealth()
    for step in range(10):
        health.note_answer(False, step * 10.0)
    assert health.capacity_fraction(100.0) == defaults.FAILING_CAPACITY_FRACTION
    assert health.capacity_fraction(100.0 + 10 * defaults.FAILURE_HALF_LIFE_MS) == 1.0
    health.note_unreachable(200.0)
    assert health.capacity_fraction(201.0) == 0.0
    health.note_answer(True, 202.0)
    assert not health.is_ejected(203.0)


def test_ejection_of_an_unreachable_target_grows_to_a_limit():
    health = TargetHealth()
    now_ms = 0.0
    for _ in range(12):
        health.note_unreachable(now_ms)
    assert health.is_ejected(now_ms + defaults.UNREACHABLE_EJECTION_LIMIT_MS - 1)
    assert not health.is_ejected(now_ms + defaults.UNREACHABLE_EJECTION_LIMIT_MS)
