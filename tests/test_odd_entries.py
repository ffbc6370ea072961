"""What other processes write may be anything; none of it ends a task or the process."""

import asyncio
import contextlib
import json
import math
import struct

import hypothesis
import msgspec
import pytest
from hypothesis import strategies as st
from test_direct import DESK
from test_direct import PROMPT
from test_direct import on_edge

from snipedeal import codec
from snipedeal.answer import Answer
from snipedeal.claims import _read_items
from snipedeal.clock import Clock
from snipedeal.configuration import Configuration
from snipedeal.decoding import parse_json
from snipedeal.exceptions import MessageError
from snipedeal.exceptions import PlatformError
from snipedeal.exceptions import RecordError
from snipedeal.exceptions import UnreadableError
from snipedeal.limits import parse_rate_limit
from snipedeal.limits import parse_retry_after
from snipedeal.membership import Vm
from snipedeal.messages import Offer
from snipedeal.orders import LeaseTable
from snipedeal.platform import decode_vms
from snipedeal.records import parse_envelope
from snipedeal.transport import Handlers
from snipedeal.transport import Transport
from snipedeal_direct.egress import ConnectError
from snipedeal_direct.egress import Pool
from snipedeal_direct.egress import _parse_idle_limit
from snipedeal_direct.forwarding import _parse_non_negative
from snipedeal_direct.model import parse_prompt
from snipedeal_platform.decode import read_router
from snipedeal_platform.decode import read_table
from snipedeal_platform.decode import read_target
from snipedeal_platform.store import _parse_batch
from snipedeal_platform.store import _parse_page
from snipedeal_standins.edge import configuration
from snipedeal_standins.ports import free_port
from snipedeal_standins.replica import Replica
from snipedeal_standins.replica import ReplicaSpec

DEEP = 100_000


def nested(depth):
    return b"[" * depth + b"]" * depth


NESTED = nested(DEEP)
ENTRY = Replica(ReplicaSpec("desk-9", "desk")).registration() | {
    "address": "127.0.0.1:1"
}


def entry(**changes):
    return json.dumps({**ENTRY, **changes}).encode()


def with_field(name, value):
    """Return an entry with a field whose value ``json`` would not write."""
    return entry()[:-1] + b', "%s": %s}' % (name, value)


ODD_ENTRIES = {
    "nested unknown field": with_field(b"x", NESTED),
    "nested value": NESTED,
    "slots of 400 digits": with_field(b"slots", b"9" * 400),
    "slots of 30 digits": entry(slots=10**30),
    "negative slots": entry(slots=-1),
    "start time of 30 digits": entry(born=10**30),
    "negative start time": entry(born=-5),
    "port -1": entry(address="127.0.0.1:-1"),
    "port 0": entry(address="127.0.0.1:0"),
    "port 99999": entry(address="127.0.0.1:99999"),
    "port of 400 digits": entry(address="127.0.0.1:" + "9" * 400),
    "port with underscore": entry(address="127.0.0.1:8_0"),
    "port of other digits": entry(address="127.0.0.1:٣٣"),
    "host with a NUL byte": entry(address="127.0.0.1\x00:80"),
    "host name": entry(address="replica.example:80"),
    "long host": entry(address="a" * 70_000 + ":80"),
    "empty host": entry(address=":80"),
    "no port": entry(address="127.0.0.1"),
    "unknown state": entry(state="resting"),
    "fields of other types": entry(service=["desk"], zone=5),
    "no fields": b"{}",
    "not JSON": b"\x00\xff{",
    "number": b"1e400",
}


@pytest.mark.parametrize("name", ODD_ENTRIES)
def test_odd_entry_names_no_target(name):
    with pytest.raises(RecordError):
        read_target("desk-9", ODD_ENTRIES[name])


@pytest.mark.parametrize("key", ["", "a b", "a\r\nX: y", "a\x00", "ü", "x" * 256])
def test_entry_under_an_odd_key_names_no_target(key):
    with pytest.raises(RecordError):
        read_target(key, entry())


def test_usable_entry_is_read():
    assert read_target("desk-9", entry()).port == 1


# -- the direct router -----------------------------------------------------------------


@on_edge(DESK)
async def test_list_is_followed_past_odd_entries(edge):
    router = edge.routers[0]
    for name, value in ODD_ENTRIES.items():
        edge.store.put("keyed.servers", f"odd {name}", value)
        edge.store.put("keyed.servers", f"odd-{len(name)}", value)
    edge.store.put("keyed.op", "config", NESTED)
    edge.store.put("keyed.op", "config", with_field(b"x", NESTED))
    await edge.add_replica(ReplicaSpec("desk-2", "desk"))
    edge.configure(7)
    targets = router.dispatcher.targets
    await edge.wait_until(lambda: {t.id for t in targets()} == set(edge.replicas))
    await edge.wait_until(lambda: router.routing.version == 7)
    for number in range(6):
        answer = await edge.caller_connection().request(
            "GET", "/lookup/a", f"r{number}"
        )
        assert answer.status == 200
    assert router.metrics.odd_entries.labels("targets")._value.get() >= len(ODD_ENTRIES)


@on_edge(DESK)
async def test_router_starts_with_odd_entries_in_the_list(edge):
    for name, value in ODD_ENTRIES.items():
        edge.store.put("keyed.servers", f"odd {name}", value)
    edge.store.put("keyed.routers", "odd-router", b"nowhere")
    edge.store.put("keyed.routers", "odd-port", b"127.0.0.1:99999")
    edge.store.put("keyed.routers", "odd-bytes", b"\xff\xfe\x00")
    late = await edge.add_router()
    await edge.wait_until(lambda: len(late.dispatcher.targets()) == len(DESK))
    await edge.wait_until(lambda: late.peers.live_count == 1)
    answer = await edge.caller_connection(1).request("GET", "/lookup/a", "r1")
    assert answer.status == 200


@on_edge(DESK)
async def test_odd_entry_in_place_of_a_good_one_takes_out_that_target_only(edge):
    router = edge.routers[0]
    edge.store.put("keyed.servers", "desk-0", with_field(b"x", NESTED))
    await edge.wait_until(lambda: len(router.dispatcher.targets()) == 1)
    answer = await edge.caller_connection().request("GET", "/lookup/a", "r1")
    assert answer.status == 200
    edge.register(edge.replicas["desk-0"])
    await edge.wait_until(lambda: len(router.dispatcher.targets()) == 2)


@on_edge(DESK)
async def test_target_of_a_service_that_is_not_configured_gets_no_queue(edge):
    router = edge.routers[0]
    for number in range(50):
        edge.store.put("keyed.servers", f"s{number}", entry(service=f"odd-{number}"))
    await edge.wait_until(lambda: len(router.dispatcher.targets()) == 52)
    assert set(router.dispatcher.queues) == {"desk", "model"}


@on_edge(DESK, routers=2)
async def test_numbers_of_a_caller_do_not_end_the_reports_between_routers(edge):
    first, second = edge.routers
    await edge.wait_until(lambda: first.peers.live_count == 1)
    for number, counts in enumerate(
        ("1" + "0" * 300 + ",1", "9" * 19 + ",1", "-5,1", "5,-1", "9" * 5_000 + ",1")
    ):
        headers = {**PROMPT, "Snipedeal-Token-Usage": counts}
        await edge.caller_connection().request("POST", "/chat/a", f"n{number}", headers)
    for hint in ("inf", "nan", "1e308", "-1e308"):
        headers = {**PROMPT, "Snipedeal-Length-Hint": hint}
        await edge.caller_connection().request("POST", "/chat/a", f"h{hint}", headers)
    await asyncio.sleep(0.3)
    assert second.peers.live_count == 1
    heard_ms = second.peers._peers[first.settings.name].heard_ms
    await edge.wait_until(
        lambda: second.peers._peers[first.settings.name].heard_ms > heard_ms + 100
    )


@on_edge(DESK)
async def test_datagrams_of_other_content_are_dropped(edge):
    router = edge.routers[0]
    peers = router.peers
    address = ("127.0.0.1", free_port())
    big = 2**64 - 1
    good = ["peer", 1, {"targets": 0}, True, []]
    odd = [
        b"",
        b"\xc1",
        b"\x91" * DEEP,
        msgspec.msgpack.encode([*good[:4], [["t", "desk", "desk-0", big, big, big]]]),
        msgspec.msgpack.encode([*good[:4], [["q", "desk", [big] * 50, -big // 2]]]),
        msgspec.msgpack.encode([*good[:4], [["c", "desk", "one", big, big]]]),
        msgspec.msgpack.encode([*good[:4], [["l", "desk", "desk-0", 1, math.nan, 0]]]),
        msgspec.msgpack.encode([*good[:4], [["x", "a/1", -big // 2, []]]]),
        msgspec.msgpack.encode([*good[:4], [["v", "desk", "desk-0/1", -big // 2]]]),
        msgspec.msgpack.encode(
            [*good[:4], [["r", "targets", 0, big, -big // 2, [["k", b"{"]]]]]
        ),
        msgspec.msgpack.encode(["peer", big, {"targets": big}, True, []]),
        msgspec.msgpack.encode(
            ["p" * 60_000, 1, {f"f{n}": n for n in range(500)}, 1, []]
        ),
        msgspec.msgpack.encode(good) + NESTED,
    ]
    for data in odd:
        peers.receive(data, address)
    for _ in range(3):
        answer = await edge.caller_connection().request("GET", "/lookup/a", "r1")
        assert answer.status == 200
    await asyncio.sleep(0.3)
    assert set(router.feed_tracker.feeds) == {"config", "targets"}
    await edge.add_replica(ReplicaSpec("desk-2", "desk"))
    await edge.wait_until(lambda: len(router.dispatcher.targets()) == 3)


@pytest.mark.parametrize(
    "address",
    [("127.0.0.1", 99_999), ("127.0.0.1", -1), ("a\x00b", 80), ("a" * 300, 80)],
)
def test_connect_to_an_odd_address_fails_as_any_connect(address):
    async def connect():
        pool = Pool(Clock().monotonic)
        with pytest.raises(ConnectError):
            await pool.connect(address)

    asyncio.run(connect())


@on_edge(DESK)
async def test_failed_task_is_logged_counted_and_started_again(edge):
    router = edge.routers[0]
    collect = router.peers._collect_reports
    failures = []

    def fail_once(now_ms):
        if not failures:
            failures.append(now_ms)
            raise RuntimeError("planted")
        return collect(now_ms)

    router.peers._collect_reports = fail_once
    await edge.wait_until(
        lambda: router.metrics.task_failures.labels("peers")._value.get() == 1
    )
    refreshed_ms = router.peers._last_refresh_ms
    await edge.wait_until(lambda: router.peers._last_refresh_ms > refreshed_ms)


def keyed_record(key, value):
    content = bytes((len(key),)) + key + value
    return struct.pack(">I", len(content)) + content


def test_record_that_is_no_keyed_record_costs_itself_only():
    records = [
        keyed_record(b"a", b"1"),
        keyed_record(b"\xff\xfe", b"2"),
        struct.pack(">I", 0),
        struct.pack(">I", 3) + b"\x09ab",
        keyed_record(b"b", b"3"),
    ]
    batch = _parse_batch(struct.pack(">QQ", 5, 0) + b"".join(records), 0, 1)
    assert batch.next == 5
    assert [batch.records[n].value for n in (0, 4)] == [b"1", b"3"]
    assert len(batch.records) == 5


def test_item_that_is_not_base64_costs_itself_only():
    items = [{"key": "a", "value": "!"}, {"key": "b", "value": "MQ=="}]
    page = _parse_page(json.dumps({"items": items, "end": 7}).encode())
    assert [(r.key, r.value) for r in page.records] == [("a", b""), ("b", b"1")]


# -- the kernel ------------------------------------------------------------------------


@pytest.mark.parametrize(
    "text",
    [
        NESTED.decode(),
        "[" * 500 + "]" * 500,
        "1" * 5_000,
        "1" * 30,
        "1e400",
        "NaN",
        "-Infinity",
        '"\\ud800"',
        '{"\\udfff": 1}',
        "{",
        "",
    ],
)
def test_odd_json_raises_the_declared_error(text):
    with pytest.raises(UnreadableError):
        parse_json(text)


def test_odd_entry_of_the_vm_list_costs_itself_only():
    good = {
        "name": "a",
        "role": "router",
        "zone": "z",
        "address": "tcp://127.0.0.1:7100",
    }
    odd = [
        {**good, "name": "b", "address": "tcp://127.0.0.1:99999"},
        {**good, "name": "c", "address": "tcp://127.0.0.1:0"},
        {**good, "name": "d", "address": "nowhere"},
        {**good, "name": "e", "http": "127.0.0.1:-1"},
        {**good, "name": "f", "address": "tcp://a\x00b:80"},
        {**good, "name": 5},
        {**good, "name": ""},
        {**good, "role": ["x"]},
        {},
        7,
    ]
    deep = b', {"name": "x", "y": ' + NESTED + b"}"
    body = json.dumps([good, *odd]).encode()[:-1] + deep + b"]"
    vms, unreadable = decode_vms(body)
    assert vms == [Vm("a", "router", "z", "tcp://127.0.0.1:7100")]
    assert len(unreadable) == len(odd) + 1
    assert len(decode_vms(NESTED)[1]) == 1
    for text in (b"{}", b"[", b"", b"[] []", NESTED[:-1]):
        with pytest.raises(PlatformError):
            decode_vms(text)


class _Ignore:
    def __call__(self, *args):
        return None


def test_transport_survives_odd_frames_and_addresses():
    async def play():
        addresses = [f"tcp://127.0.0.1:{free_port()}" for _ in range(2)]
        received = []
        transports = [
            Transport(
                name,
                address,
                address,
                Clock(),
                Handlers(lambda peer, m: received.append(peer), _Ignore(), _Ignore()),
            )
            for name, address in zip("ab", addresses, strict=True)
        ]
        first, second = transports
        for transport in transports:
            transport.start()
        odd_frames = [
            b"",
            b"\x91" * DEEP,
            msgspec.msgpack.encode([1] * 11),
            msgspec.msgpack.encode(
                [1, "x", "a", "tcp://127.0.0.1:99999", 1, 0, 1, 0, 2**64 - 1, 1, []]
            ),
            msgspec.msgpack.encode(
                [1, "y", "a", "no address", 1, 0, 1, 0, 1, 2**64 - 1, []]
            ),
        ]
        for frame in odd_frames:
            first._process_frame(frame)
        for name, address in (("x", "tcp://127.0.0.1:99999"), ("y", "no address")):
            first.connect(name, address)
            first.send(name, Offer("s", "c", 1.0, 1))
        await asyncio.sleep(0.3)
        first.connect("b", addresses[1])
        first.send("b", Offer("s", "c", 1.0, 1))
        async with asyncio.timeout(10):
            while not received:
                await asyncio.sleep(0.02)
        assert not any(task.done() for task in first._tasks)
        for transport in transports:
            await transport.close()

    asyncio.run(play())


# -- all decoders ----------------------------------------------------------------------


JSON_VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.integers(min_value=10**18, max_value=10**40)
    | st.floats(allow_nan=False)
    | st.text(max_size=8)
    | st.sampled_from(["127.0.0.1:80", "tcp://127.0.0.1:9", "ready", "claim", "lease"]),
    lambda children: (
        st.lists(children, max_size=4)
        | st.dictionaries(st.text(max_size=8), children, max_size=4)
    ),
    max_leaves=8,
)


def mutated(base):
    """Return JSON texts of a value with some fields replaced, added or removed."""
    names = list(base) if isinstance(base, dict) else []

    @st.composite
    def draw_text(draw):
        value = dict(base)
        for name in draw(st.lists(st.sampled_from([*names, "x"]), max_size=3)):
            value.pop(name, None)
        for name in draw(st.lists(st.sampled_from([*names, "x"]), max_size=3)):
            value[name] = draw(JSON_VALUES)
        text = json.dumps(value).encode()
        cut = draw(st.none() | st.integers(0, len(text)))
        return text if cut is None else text[:cut]

    return draw_text()


CLAIM = {"t": "claim", "k": "k", "a": "a", "f": "f"}
RECORD = {
    "schema_version": 1,
    "id": "i",
    "kind": "customer",
    "name": "one",
    "base_revision": None,
    "spec": {"share": 1.0, "keys": []},
}
LEASE = {"t": "lease", "service": "s", "holder": "h", "fence": 1, "wish": "w"}
VM = {"name": "a", "role": "router", "zone": "z", "address": "tcp://127.0.0.1:7100"}


def apply_record(text):
    kept = Configuration()
    kept.set_log_start(0)
    kept.apply(0, text)
    kept.customer("one")
    kept.snapshot("s")


def text_of(function):
    return lambda data: function(data.decode("utf-8", "replace"))


#: Decoders with the errors that they declare and a value that they can read.
DECODERS = {
    "target": (lambda data: read_target("a", data), (RecordError,), ENTRY),
    "table": (read_table, (RecordError,), configuration(1)),
    "router": (read_router, (RecordError,), {}),
    "page": (_parse_page, (PlatformError,), {"items": [], "end": 1, "hasMore": False}),
    "batch": (lambda data: _parse_batch(data, 0, 1), (struct.error,), {}),
    "json": (parse_json, (UnreadableError,), RECORD),
    "envelope": (text_of(parse_envelope), (RecordError,), RECORD),
    "configuration": (text_of(apply_record), (), RECORD),
    "claims": (text_of(lambda text: _read_items(f"[{text}]")), (), CLAIM),
    "leases": (text_of(lambda text: LeaseTable().apply(0, text)), (), LEASE),
    "VM list": (lambda data: decode_vms(b"[%s]" % data), (PlatformError,), VM),
    "frame": (codec.decode_frame, (MessageError,), {}),
    "chunk": (lambda data: Answer().accept("a", 0, [data, data]), (), {}),
    "rate limit": (parse_rate_limit, (), {}),
    "retry after": (lambda data: parse_retry_after([data]), (), {}),
    "idle limit": (_parse_idle_limit, (), {}),
    "deadline": (text_of(_parse_non_negative), (), {}),
    "prompt": (text_of(lambda text: parse_prompt(text, text, text)), (), {}),
}


@pytest.mark.parametrize("name", DECODERS)
def test_decoders_raise_nothing_but_their_declared_error(name):
    decode, declared, base = DECODERS[name]
    numbers = st.from_regex(rb"\A[-+]?[0-9]{1,400}([.,:][0-9]{0,400})?(e[0-9]{1,4})?\Z")
    data = st.binary(max_size=200) | numbers | mutated(base) | st.just(DEEP).map(nested)

    @hypothesis.given(data)
    def check(value):
        with contextlib.suppress(*declared):
            decode(value)

    check()


@pytest.mark.parametrize("code", sorted(codec.MESSAGE_TYPES))
def test_messages_raise_nothing_but_their_declared_error(code):
    values = st.lists(JSON_VALUES, max_size=6)

    @hypothesis.given(values)
    def check(fields):
        try:
            payload = msgspec.Raw(msgspec.msgpack.encode(fields))
        except OverflowError:
            return
        with contextlib.suppress(MessageError):
            codec.decode_message(code, payload)

    check()


@pytest.mark.parametrize("value", ["timeout=" + "9" * 4_000, "timeout=-5", "timeout=x"])
def test_odd_keep_alive_is_bounded(value):
    assert 0 <= _parse_idle_limit(value.encode()) <= 3_600
