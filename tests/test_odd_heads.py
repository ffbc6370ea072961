"""Requests of legal size that hold much more memory than they have bytes.

Heads of very many short or odd lines, trailers, prompts of very many parts and long
identifiers. A single such request is served; a crowd that sends them must not take the
memory of a router, nor of one which only hears of them from its peers.
"""

import asyncio
import itertools
import json
import os
import pathlib

import pytest
import test_hostile_clients as hostile
from test_hostile_clients import Crowd

from snipedeal_standins.edge import API_KEY
from snipedeal_standins.edge import HOST
from snipedeal_standins.edge import CallerConnection
from snipedeal_standins.edge import configuration
from snipedeal_standins.edge import route
from snipedeal_standins.replica import Replica
from snipedeal_standins.replica import ReplicaSpec

HEAD_BYTES = hostile.LIMITS["maxHeaderBytes"]
BODY_BYTES = hostile.LIMITS["maxBodyBytes"]
OTHER_KEY = "key-two"
#: Time within which a route answers, ms; requests of a crowd wait for that long.
PATIENCE_MS = 60_000
#: Time that routers get to work off what a crowd has sent, s.
SETTLE_S = 30.0
#: Parts of a prompt of the shortest entries, "f:0,"; the head of its request is within
#: the limit.
MOST_PARTS = 3_900


class Stage(hostile.Stage):
    """Router processes with a store, a plain replica and an engine.

    :param work_ms: time that the plain replica takes for a request.
    :param read_rate: prompt tokens that the engine reads in a millisecond.
    """

    def __init__(self, directory, *, routers=1, work_ms=1.0, read_rate=1e6, **changes):
        super().__init__(directory, **changes)
        self.replica = Replica(ReplicaSpec("desk-0", "desk", slots=4, work_ms=work_ms))
        self.engine = Replica(
            ReplicaSpec("model-0", "model", slots=64, read_rate=read_rate, event_ms=0)
        )
        self.routers = [
            hostile.LimitedRouter(
                f"router-{number}", self.store.address, directory, changes=changes
            )
            for number in range(routers)
        ]

    async def start(self):
        await self.store.start()
        document = configuration(1, limits=hostile.LIMITS)
        patient = {"timeoutMs": PATIENCE_MS, "targetLatencyMs": PATIENCE_MS}
        document["routes"] = [
            route("lookup", "idempotent", "desk", **patient),
            route("change", "non_idempotent", "desk", **patient),
            route("chat", "streaming", "model", sticky=True, **patient),
        ]
        self.store.put("keyed.op", "config", json.dumps(document).encode())
        for replica in (self.replica, self.engine):
            await replica.start()
            entry = json.dumps(replica.registration()).encode()
            self.store.put("keyed.servers", replica.spec.id, entry)
        for router in self.routers:
            router.store = self.store.address
            await router.start()
            self.router = router
            await self.check_ordinary_request("first")
        self.router = self.routers[0]

    async def close(self):
        for router in self.routers[1:]:
            if router.process is not None and router.process.returncode is None:
                router.signal(hostile.signal.SIGKILL)
                await router.wait()
        self.router = self.routers[0]
        await super().close()
        await self.engine.close()

    async def settle(self):
        """Wait until the routers have worked off what the crowd has sent.

        A client has sent its requests once they are in the buffers of the kernel.
        """
        loop = asyncio.get_running_loop()
        until_s = loop.time() + SETTLE_S
        used_s, is_busy = self._processor_s(), True
        while loop.time() < until_s and is_busy:
            await asyncio.sleep(1)
            before_s, used_s = used_s, self._processor_s()
            is_busy = used_s - before_s > 0.2

    def _processor_s(self):
        """Processor time that the routers have used, s."""
        total = 0
        for router in self.routers:
            stat = pathlib.Path(f"/proc/{router.process.pid}/stat").read_text()
            fields = stat.rpartition(")")[2].split()
            total += int(fields[11]) + int(fields[12])
        return total / os.sysconf("SC_CLK_TCK")

    async def check_all(self):
        """Check each router, and that it answers an ordinary request."""
        for router in self.routers:
            self.router = router
            self.check_process()
            await self.check_ordinary_request("after")
            self.check_process()

    async def check_ordinary_request(self, request_id):
        """Check that a request of another customer than the crowd's is answered.

        Those of its own customer wait behind the crowd's.
        """
        async with asyncio.timeout(hostile.ANSWER_S):
            for attempt in itertools.count():
                start = head(f"{request_id}-{attempt}", path="/lookup/a", key=OTHER_KEY)
                try:
                    answer = await self.request(start + b"Content-Length: 0\r\n\r\n")
                except OSError:
                    answer = None
                if answer is not None and answer.status == 200 and answer.is_complete:
                    return
                await asyncio.sleep(0.1)

    async def request(self, data):
        """Send bytes on a new connection and return the response."""
        connection = CallerConnection(("127.0.0.1", self.router.listen))
        try:
            async with asyncio.timeout(hostile.ANSWER_S):
                await connection.send_raw(data)
                return await connection.receive()
        finally:
            await connection.close()


def play(directory, scenario, **options):
    async def run():
        stage = Stage(directory, **options)
        try:
            await stage.start()
            await scenario(stage)
        finally:
            await stage.close()

    asyncio.run(run())


# -- requests ------------------------------------------------------------------------


def head(request_id, *lines, path="/change/a", method="POST", key=API_KEY):
    fields = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOST}",
        f"Snipedeal-Request-Attempt-Id: {request_id}",
        f"Snipedeal-Deadline-Ms: {PATIENCE_MS}",
        f"Snipedeal-Credential: {key}",
        *lines,
    ]
    return "\r\n".join(fields).encode("latin-1") + b"\r\n"


def fill(start, line, size=HEAD_BYTES):
    """Return a whole head of at most so many bytes, filled with copies of a line."""
    return start + line * ((size - len(start) - 2) // len(line)) + b"\r\n"


def prompt_head(request_id, parts, tokens=100, **options):
    return head(
        request_id,
        "Snipedeal-Model: m",
        f"Snipedeal-Token-Usage: {tokens},1",
        f"Snipedeal-Prompt-Prefix: {parts}",
        "Content-Length: 0",
        path="/chat/a",
        **options,
    )


def short_lines(request_id):
    return fill(head(request_id, "Content-Length: 0"), b"a:\r\n")


def odd_lines(request_id):
    """Lines that a router must look at: many, long, of any byte, or repeated."""
    odd = [
        b"Connection: " + b"x," * 1_000 + b"close\r\n",
        b"!#$%&'*+-.^_`|~: \xff\xfe\r\n" * 50,
        b"Y" * 2_000 + b":\r\n",
        b"Host:\r\n" * 100,
        b"Expect:\r\n" * 100,
        b"X:" + b"\t " * 500 + b"\r\n",
        b"Snipedeal-Prompt-Prefix: ,:,\r\n" * 50,
        b"Snipedeal-Deadline-Ms: nan\r\n" * 50,
    ]
    return head(request_id, "Content-Length: 0") + b"".join(odd) + b"\r\n"


def chunked(request_id, trailers):
    start = head(request_id, "Transfer-Encoding: chunked") + b"\r\n"
    return start + b"4\r\nbody\r\n0\r\n" + trailers + b"\r\n"


#: A request by itself, and whether its body is ``body``.
SINGLE = {
    "600_lines": head("one", "Content-Length: 0") + b"ab: c\r\n" * 600 + b"\r\n",
    "shortest_lines": short_lines("one"),
    "bare_lines": fill(head("one", "Content-Length: 0"), b"a:b\r\n"),
    "longest_line": head("one", "Content-Length: 0", "X: " + "y" * 16_000) + b"\r\n",
    "longest_name": head("one", "Content-Length: 0", "y" * 16_000 + ":") + b"\r\n",
    "longest_path": head("one", "Content-Length: 0", path="/change/" + "y" * 16_000)
    + b"\r\n",
    "odd_lines": odd_lines("one"),
    "200_trailers": chunked("one", b"ab: c\r\n" * 200),
    "16000_bytes_of_trailers": chunked("one", b"a:\r\n" * 4_000),
    "most_parts": prompt_head("one", "f:0," * MOST_PARTS) + b"\r\n",
    "longest_part": prompt_head("one", "f" * 15_000 + ":9") + b"\r\n",
    "largest_body": head("one", f"Content-Length: {BODY_BYTES}")
    + b"\r\n"
    + bytes(BODY_BYTES),
    "an_upgrade_offered": head(
        "one",
        "Connection: Upgrade, HTTP2-Settings",
        "Upgrade: h2c",
        "HTTP2-Settings: AAMAAABkAAQCAAAAAAIAAAAA",
        "Content-Length: 4",
    )
    + b"\r\nbody",
    "an_upgrade_offered_in_chunks": head(
        "one", "Connection: Upgrade", "Upgrade: h2c", "Transfer-Encoding: chunked"
    )
    + b"\r\n4\r\nbody\r\n0\r\n\r\n",
}


@pytest.mark.parametrize("name", SINGLE)
def test_single_request_is_served(tmp_path, name):
    """Guards against limits that refuse a request inside those of the configuration."""
    data = SINGLE[name]
    start, _, rest = data.partition(b"\r\n\r\n")
    assert len(start) + 4 <= HEAD_BYTES

    async def scenario(stage):
        replica = stage.engine if b"POST /chat/" in data else stage.replica
        answer = await stage.request(data)
        assert (answer.status, answer.is_complete) == (200, True)
        run = replica.runs[-1]
        assert run.id == "one"
        assert run.target == start.split(b" ")[1].decode()
        if b"4\r\nbody" in rest or rest == b"body":
            assert run.body == b"body"
        else:
            assert len(run.body) == len(rest)
        stage.check_process()

    play(tmp_path, scenario)


@pytest.mark.parametrize("size", [1, 7])
def test_request_that_offers_an_upgrade_comes_in_pieces(tmp_path, size):
    """Guards against a body that is lost at a boundary of what was received."""
    data = SINGLE["an_upgrade_offered"] + SINGLE["an_upgrade_offered_in_chunks"]

    async def scenario(stage):
        connection = CallerConnection(("127.0.0.1", stage.router.listen))
        try:
            async with asyncio.timeout(hostile.ANSWER_S):
                for start in range(0, len(data), size):
                    await connection.send_raw(data[start : start + size])
                    await asyncio.sleep(0.001)
                answers = [await connection.receive() for _ in range(2)]
        finally:
            await connection.close()
        assert [answer.status for answer in answers] == [200, 200]
        assert [run.body for run in stage.replica.runs[-2:]] == [b"body", b"body"]

    play(tmp_path, scenario)


# -- crowds --------------------------------------------------------------------------


def waiting_short_lines(number):
    """Whole requests that wait for the replica."""
    return [short_lines(f"{number}-{n}") for n in range(4)]


def waiting_512_lines(number):
    start = head(f"{number}", "Content-Length: 0")
    return [start + b"ab: c\r\n" * 512 + b"\r\n"]


def unfinished_short_lines(number):
    return [fill(head(f"{number}"), b"a:\r\n")[:-2]]


def pipelined_odd_lines(number):
    return [odd_lines(f"{number}-{n}") for n in range(20)]


def whole_trailers(number):
    return [chunked(f"{number}-{n}", b"a:\r\n" * 4_000) for n in range(4)]


def dribbled_head(number):
    """A legal head of single bytes, each in a segment of its own."""
    return [bytes([byte]) for byte in short_lines(f"{number}")[:4_000]]


def unique_parts(number):
    """Prompts of 1,200 parts of one token that no other prompt has."""
    for n in range(40):
        first = (number * 40 + n) * 1_200
        parts = ",".join(f"{first + part:x}:1" for part in range(1_200))
        yield prompt_head(f"{number}-{n}", parts, tokens=1_200) + b"\r\n"


def empty_parts(number):
    """Prompts of 1,200 parts without a token that no other prompt has."""
    for n in range(40):
        first = (number * 40 + n) * 1_200
        parts = ",".join(f"{first + part:x}:0" for part in range(1_200))
        yield prompt_head(f"{number}-{n}", parts) + b"\r\n"


def long_parts(number):
    """Prompts of 8 parts with long identifiers that no other prompt has."""
    for n in range(100):
        parts = ",".join(f"{number:x}{n:x}{part}{'f' * 1_900}:0" for part in range(8))
        yield prompt_head(f"{number}-{n}", parts, tokens=1) + b"\r\n"


def waiting_parts(number):
    """Prompts of the most parts that wait for the engine."""
    parts = "f:0," * MOST_PARTS
    for n in range(4):
        yield prompt_head(f"{number}-{n}", parts, tokens=500) + b"\r\n"


def long_identifiers(number):
    """Requests with long identifiers that are refused and logged."""
    for n in range(200):
        request_id = f"{number}-{n}-" + "i" * 12_000
        yield head(request_id, "Content-Length: 0", path="/nowhere") + b"\r\n"


#: Crowds, and the options of the stage that each is sent to.
CROWDS = {
    "waiting_short_lines": (Crowd(300, waiting_short_lines), {"work_ms": 300.0}),
    "waiting_512_lines": (Crowd(500, waiting_512_lines), {"work_ms": 300.0}),
    "unfinished_short_lines": (Crowd(400, unfinished_short_lines), {}),
    "pipelined_odd_lines": (Crowd(200, pipelined_odd_lines), {"work_ms": 50.0}),
    "whole_trailers": (Crowd(200, whole_trailers), {"work_ms": 50.0}),
    "dribbled_head": (Crowd(100, dribbled_head), {}),
    "unique_parts": (Crowd(40, unique_parts), {"routers": 2}),
    "empty_parts": (Crowd(40, empty_parts), {"routers": 2}),
    "long_parts": (Crowd(150, long_parts), {"routers": 2}),
    "waiting_parts": (Crowd(500, waiting_parts), {"read_rate": 4.0}),
    "long_identifiers": (Crowd(100, long_identifiers), {}),
}


@pytest.mark.parametrize("name", CROWDS)
def test_routers_survive_a_crowd_below_their_memory(tmp_path, name):
    """Guards against requests that hold far more memory than they have bytes."""
    crowd, options = CROWDS[name]

    async def scenario(stage):
        await stage.send(crowd)
        await stage.settle()
        print(f"{stage.engine.arrivals} prompts reached the engine")
        await stage.check_all()

    play(tmp_path, scenario, **options)


SIDE_SHAPES = [
    hostile.endless_head_lines,
    hostile.endless_head_line,
    hostile.endless_target,
    hostile.endless_empty_lines,
    hostile.endless_trailers,
    hostile.endless_trailer_line,
    hostile.unfinished_tiny_chunks,
    hostile.unfinished_length,
    waiting_short_lines,
    pipelined_odd_lines,
    unfinished_short_lines,
]


@pytest.mark.parametrize("address", ["ready", "metrics", "peer"])
def test_router_survives_a_crowd_at_its_side_addresses(tmp_path, address):
    """Guards against an address whose connections are not accounted for."""
    paths = {"ready": b"/-/readyz", "metrics": b"/metrics", "peer": b"/config"}

    def blocks(number):
        if number % (len(SIDE_SHAPES) + 1) == len(SIDE_SHAPES):
            request = b"GET %s HTTP/1.1\r\nHost: x\r\n\r\n" % paths[address]
            return hostile.repeat(request, 1_000_000)
        return SIDE_SHAPES[number % (len(SIDE_SHAPES) + 1)](number)

    async def scenario(stage):
        front = stage.router.listen
        stage.router.listen = getattr(stage.router, address)
        try:
            await stage.send(Crowd(300, blocks))
        finally:
            stage.router.listen = front
        await stage.check_all()

    play(tmp_path, scenario)


def test_growing_uploads_of_one_customer_do_not_keep_out_those_of_others(tmp_path):
    """Guards against a crowd that is never idle and never done."""

    async def upload(stage, number):
        connection = CallerConnection(("127.0.0.1", stage.router.listen))
        start = head(number, "Transfer-Encoding: chunked") + b"\r\n"
        chunk = b"2000\r\n" + bytes(8_192) + b"\r\n"
        try:
            await connection.send_raw(start)
            for sent in range(400):
                await connection.send_raw(chunk)
                await asyncio.sleep(0 if sent < 160 else 0.3)
        except OSError:
            pass
        finally:
            await connection.close()

    async def scenario(stage):
        tasks = [asyncio.create_task(upload(stage, number)) for number in range(60)]
        try:
            await asyncio.sleep(hostile.SEND_S / 2)
            start = head(
                "other", "Content-Length: 1000000", path="/lookup/a", key=OTHER_KEY
            )
            answer = await stage.request(start + b"\r\n" + bytes(1_000_000))
            assert (answer.status, answer.is_complete) == (200, True)
            stage.check_process()
        finally:
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

    play(tmp_path, scenario)


def test_uploads_of_one_customer_do_not_keep_out_those_of_others(tmp_path):
    """Guards against a limit on memory that the first customer takes for itself."""

    def upload(number):
        start = head(number, "Content-Length: 1000000") + b"\r\n"
        return [start, *itertools.repeat(bytes(50_000), 20)]

    async def scenario(stage):
        await stage.send(Crowd(150, upload))
        start = head(
            "other", "Content-Length: 1000000", path="/lookup/a", key=OTHER_KEY
        )
        answer = await stage.request(start + b"\r\n" + bytes(1_000_000))
        assert (answer.status, answer.is_complete) == (200, True)
        stage.check_process()

    play(tmp_path, scenario, work_ms=4_000.0)
