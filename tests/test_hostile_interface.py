"""A crowd of hostile clients must not take the memory of a router or an agent.

Each test starts the processes of a small fleet on the project's own interface, and lets
a crowd send what it will to the HTTP addresses of the router and of an agent. Both must
survive below a bound of memory and descriptors, and answer an ordinary request while
the crowd still holds its connections.
"""

import asyncio
import json
import pathlib
import resource
import socket

import aiohttp
import pytest
import test_hostile_clients as hostile
from test_hostile_clients import Crowd

from snipedeal_standins.fleet import Fleet
from snipedeal_standins.history import WHOLE
from snipedeal_standins.history import read_runs
from snipedeal_standins.load import Caller
from snipedeal_standins.plans import bearer_key
from snipedeal_standins.scenarios import MODEL
from snipedeal_standins.scenarios import PLAIN_PREFIX
from snipedeal_standins.scenarios import small_plan

MEMORY_LIMIT_BYTES = hostile.MEMORY_LIMIT_BYTES
#: Memory of the VM that the processes assume, MB.
MEMORY_MB = 160
#: Descriptors that each process may open.
DESCRIPTORS = 200
#: Largest head that the processes accept unless their settings say otherwise.
HEAD_BYTES = 16_384
#: Largest body of a service by default, bytes.
BODY_BYTES = 1_048_576
#: The engine reads the largest prompts at once, so that the crowd's responses end.
ENGINE = {"step_ms": 2.0, "prefill_per_token_ms": 0.0001}
CUSTOMER = "one"
OTHER_CUSTOMER = "two"
ROUTER = "router-0"
AGENT = "engine-0"


class Stage:
    """A fleet of one router, one engine and one plain target, and clients of it.

    :param engine_options: command-line options of the simulated engine.
    :param descriptors: limit of open files of all processes.
    """

    def __init__(self, directory, engine_options=None, descriptors=0):
        customers = {CUSTOMER: 1.0, OTHER_CUSTOMER: 1.0}
        plan = small_plan(
            customers,
            routers=1,
            engines=1,
            engine_options=engine_options or {},
            node_settings={"max_memory_mb": MEMORY_MB},
        )
        self.fleet = Fleet(plan, directory)
        self.peak_descriptors = 0
        self._descriptors = descriptors
        self._sockets = []

    async def start(self):
        limits = resource.getrlimit(resource.RLIMIT_NOFILE)
        if self._descriptors:
            # The processes inherit the limit.
            resource.setrlimit(resource.RLIMIT_NOFILE, (self._descriptors, limits[1]))
        try:
            await self.fleet.start()
        finally:
            resource.setrlimit(resource.RLIMIT_NOFILE, limits)
        await self.check_ordinary_request()

    async def close(self):
        for sock in self._sockets:
            sock.close()
        await self.fleet.close()

    def address(self, name):
        """Return host and port of the HTTP side of a process."""
        host, _, port = self.fleet.url(name).removeprefix("http://").partition(":")
        return host, int(port)

    def _directory(self, name):
        return pathlib.Path(f"/proc/{self.fleet.children[name].process.pid}")

    def peak_bytes(self, name):
        """Peak of the resident memory of a process, bytes."""
        status = (self._directory(name) / "status").read_text()
        (line,) = (line for line in status.splitlines() if line.startswith("VmHWM"))
        return int(line.split()[1]) * 1024

    def _note_descriptors(self):
        for name in (ROUTER, AGENT):
            count = len(list((self._directory(name) / "fd").iterdir()))
            self.peak_descriptors = max(self.peak_descriptors, count)

    async def _send(self, name, blocks):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16_384)
        try:
            await loop.sock_connect(sock, self.address(name))
            for block in blocks:
                await loop.sock_sendall(sock, block)
                await asyncio.sleep(0)
        except OSError:
            pass

    async def send(self, crowd, names=(ROUTER, AGENT)):
        """Let a crowd send what it has to some processes, and keep its connections."""
        tasks = [
            asyncio.create_task(self._send(name, crowd.blocks(number)))
            for number in range(crowd.clients)
            for name in names
        ]
        loop = asyncio.get_running_loop()
        until_s = loop.time() + hostile.SEND_S
        while loop.time() < until_s and not all(task.done() for task in tasks):
            await asyncio.sleep(0.05)
            self._note_descriptors()
            assert all(self.fleet.children[name].is_running for name in names)
            # Ends early what has failed, before it takes the machine's memory.
            if any(self.peak_bytes(n) > 1.5 * MEMORY_LIMIT_BYTES for n in names):
                break
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    async def check_ordinary_request(self):
        """Check that the router serves a request, and that the agent answers one."""
        async with asyncio.timeout(hostile.ANSWER_S):
            while True:
                async with aiohttp.ClientSession() as session:
                    caller = Caller(session)
                    record = await caller.chat(
                        self.fleet.url(ROUTER), OTHER_CUSTOMER, MODEL, 3
                    )
                    if record.outcome == WHOLE and await self._is_alive(session):
                        return
                await asyncio.sleep(0.2)

    async def _is_alive(self, session):
        try:
            async with session.get(f"{self.fleet.url(AGENT)}/healthz") as answer:
                return answer.status == 200
        except (aiohttp.ClientError, OSError):
            return False

    def check_processes(self):
        for name in (ROUTER, AGENT):
            assert self.fleet.children[name].is_running
            print(f"{name}: peak {self.peak_bytes(name):,} bytes")
        print(f"{self.peak_descriptors} descriptors")
        for name in (ROUTER, AGENT):
            assert self.peak_bytes(name) < MEMORY_LIMIT_BYTES

    async def request(self, data, name=ROUTER):
        """Send bytes on a new connection and return the status of the response."""
        reader, writer = await asyncio.open_connection(*self.address(name))
        try:
            async with asyncio.timeout(hostile.ANSWER_S):
                writer.write(data)
                line = await reader.readline()
                return int(line.split(b" ")[1])
        finally:
            writer.transport.abort()


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


def head(*lines, path="/v1/chat/completions", method="POST", customer=CUSTOMER):
    fields = [
        f"{method} {path} HTTP/1.1",
        "Host: here",
        f"Authorization: Bearer {bearer_key(customer)}",
        "Content-Type: application/json",
        *lines,
    ]
    return "\r\n".join(fields).encode("latin-1") + b"\r\n"


def whole(body, *lines, **options):
    length = f"Content-Length: {len(body)}"
    return head(*lines, length, **options) + b"\r\n" + body


def chat(text, tokens=3):
    """Return the body of a request whose content is known to the engine."""
    content = f"{text}[id=one.1] [tokens={tokens}]"
    messages = [{"role": "user", "content": content}]
    return json.dumps({"model": MODEL, "messages": messages}).encode()


def chat_of(message, size):
    """Return a body of a size, with copies of a message before one of :func:`chat`."""
    start, end = chat("hello", tokens=2_000).split(b"[", 1)
    return (
        start + b"[" + message * ((size - len(start) - len(end)) // len(message)) + end
    )


def fill(start, line, size=HEAD_BYTES):
    """Return a head without its end, of at most a size, filled with a line."""
    return start + line * ((size - len(start) - 2) // len(line))


def chunked(trailers):
    body = chat("hello")
    start = head("Transfer-Encoding: chunked") + b"\r\n%x\r\n" % len(body) + body
    return start + b"\r\n0\r\n" + trailers + b"\r\n"


HELLO = chat("hello")
LARGEST = chat("x" * (BODY_BYTES - len(chat(""))))

SINGLE = {
    "600_lines": head(f"Content-Length: {len(HELLO)}")
    + b"ab: c\r\n" * 600
    + b"\r\n"
    + HELLO,
    "shortest_lines": fill(head(f"Content-Length: {len(HELLO)}"), b"a:\r\n")
    + b"\r\n"
    + HELLO,
    "longest_line": whole(HELLO, "X: " + "y" * 15_000),
    "200_trailers": chunked(b"ab: c\r\n" * 200),
    "16000_bytes_of_trailers": chunked(b"a:\r\n" * 4_000),
    "largest_body": whole(LARGEST),
    "tiny_chunks": head("Transfer-Encoding: chunked")
    + b"\r\n"
    + b"".join(b"1\r\n%c\r\n" % byte for byte in chat("hello" * 1_000))
    + b"0\r\n\r\n",
    "an_upgrade_offered": whole(
        chat("hello"), "Connection: Upgrade, HTTP2-Settings", "Upgrade: h2c"
    ),
}


@pytest.mark.parametrize("name", SINGLE)
def test_single_request_is_served(tmp_path, name):
    """Guards against limits that refuse a sound request."""

    async def scenario(stage):
        assert await stage.request(SINGLE[name]) == 200
        stage.check_processes()

    play(tmp_path, scenario)


@pytest.mark.parametrize("is_chunked", [False, True])
def test_request_whose_body_ends_early_does_not_run(tmp_path, is_chunked):
    """Guards against a part of a body that is taken for the whole one."""

    def start(number, size):
        framing = (
            "Transfer-Encoding: chunked" if is_chunked else f"Content-Length: {size}"
        )
        key = f"Idempotency-Key: key-{number}"
        return head(framing, key, path=f"{PLAIN_PREFIX}/x") + b"\r\n"

    async def scenario(stage):
        part = b"6\r\na part\r\n" if is_chunked else b"a part"
        for number in range(3):
            reader, writer = await asyncio.open_connection(*stage.address(ROUTER))
            writer.write(start(number, 100) + part)
            await asyncio.sleep(0.2)
            writer.close()
        last = b"4\r\nlast\r\n0\r\n\r\n" if is_chunked else b"last"
        assert await stage.request(start("last", 4) + last) == 201
        await asyncio.sleep(0.5)
        runs = read_runs({"plain-0": stage.fleet.record_path("plain-0")})
        assert [run.event for run in runs].count("start") == 1

    play(tmp_path, scenario)


def test_refusal_does_not_take_the_place_of_an_earlier_response(tmp_path):
    """Guards against a refusal of one request that reads as that of another."""
    first = whole(chat("hello", tokens=200))
    too_large = head("X: " + "y" * 2 * HEAD_BYTES) + b"\r\n"
    bad_chunk = head("Transfer-Encoding: chunked") + b"\r\nno size\r\n"

    async def scenario(stage):
        for second in (too_large, bad_chunk, b"no request\r\n\r\n"):
            reader, writer = await asyncio.open_connection(*stage.address(ROUTER))
            writer.write(first + second)
            async with asyncio.timeout(hostile.ANSWER_S):
                data = await reader.read()
            writer.close()
            status_lines = [line for line in data.split(b"\r\n") if b"HTTP/1.1" in line]
            assert status_lines[0] == b"HTTP/1.1 200 OK"
            assert b"[DONE]" in data or b'"choices"' in data

    play(tmp_path, scenario)


# -- crowds --------------------------------------------------------------------------


def endless_head_lines(number):
    return [head(), *hostile.repeat(b"a: b\r\n", 1_000_000)]


def endless_head_line(number):
    return [head() + b"x-long: ", *hostile.repeat(b"y", 1_000_000)]


def endless_target(number):
    return [b"GET /", *hostile.repeat(b"y", 1_000_000)]


def endless_empty_lines(number):
    return hostile.repeat(b"\r\n", 1_000_000)


def endless_trailers(number):
    start = head("Transfer-Encoding: chunked") + b"\r\n1\r\nx\r\n0\r\n"
    return [start, *hostile.repeat(b"a: b\r\n", 1_000_000)]


def endless_trailer_line(number):
    start = head("Transfer-Encoding: chunked") + b"\r\n1\r\nx\r\n0\r\nx-long: "
    return [start, *hostile.repeat(b"y", 1_000_000)]


def endless_chunk_extension(number):
    return [
        head("Transfer-Encoding: chunked") + b"\r\n1;x=",
        *hostile.repeat(b"y", 1_000_000),
    ]


def unfinished_short_lines(number):
    return [fill(head(), b"a:\r\n")]


def waiting_short_lines(number):
    """Whole requests of many lines that wait for the engine."""
    body = chat("hello", tokens=2_000)
    start = head(f"Content-Length: {len(body)}")
    return [fill(start, b"a%x:\r\n" % number) + b"\r\n" + body]


def unfinished_length(number):
    start = head(f"Content-Length: {BODY_BYTES}") + b"\r\n"
    return [start, bytes(BODY_BYTES - 1)]


def unfinished_chunks(number):
    start = head("Transfer-Encoding: chunked") + b"\r\n"
    return [start, *(b"8000\r\n" + bytes(32_768) + b"\r\n" for _ in range(31))]


def unfinished_tiny_chunks(number):
    start = head("Transfer-Encoding: chunked") + b"\r\n"
    return [start, *(b"1\r\nx\r\n" * 1_000 for _ in range(32))]


def waiting_uploads(number):
    """Largest bodies that wait for the engine."""
    text = "x" * (BODY_BYTES - 200)
    return [whole(chat(text, tokens=2_000))]


def waiting_messages(number):
    """Bodies of 200 kB of very many small messages that wait for the engine."""
    body = chat_of(b"{},", 200_000)
    return [whole(body)]


def unread_pipeline(number):
    """Pipelined requests whose answers the client never reads."""
    return hostile.repeat(b"GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n", 1_000_000)


def unread_events(number):
    """Pipelined requests for large answers that the client never reads."""
    paths = ("events", "metrics", "status")
    request = f"GET /{paths[number % 3]} HTTP/1.1\r\nHost: x\r\n\r\n"
    return [request.encode()] * 20


def unknown_models(number):
    """Requests for models with long names, which the refusals need not repeat."""
    body = json.dumps({"model": "\x00" * 150_000, "messages": []}).encode()
    return [whole(body) for _ in range(3)]


CROWDS = {
    "endless_head_lines": Crowd(100, endless_head_lines),
    "endless_head_line": Crowd(100, endless_head_line),
    "endless_target": Crowd(100, endless_target),
    "endless_empty_lines": Crowd(100, endless_empty_lines),
    "endless_trailers": Crowd(100, endless_trailers),
    "endless_trailer_line": Crowd(100, endless_trailer_line),
    "endless_chunk_extension": Crowd(100, endless_chunk_extension),
    "unfinished_short_lines": Crowd(200, unfinished_short_lines),
    "waiting_short_lines": Crowd(200, waiting_short_lines),
    "unfinished_length": Crowd(120, unfinished_length),
    "unfinished_chunks": Crowd(120, unfinished_chunks),
    "unfinished_tiny_chunks": Crowd(120, unfinished_tiny_chunks),
    "waiting_uploads": Crowd(120, waiting_uploads),
    "waiting_messages": Crowd(120, waiting_messages),
    "unread_pipeline": Crowd(100, unread_pipeline),
    "unread_events": Crowd(100, unread_events),
    "unknown_models": Crowd(100, unknown_models),
}


@pytest.mark.parametrize("name", CROWDS)
def test_processes_survive_a_crowd_below_their_memory(tmp_path, name):
    """Guards against a process that callers' input takes beyond the VM's memory."""

    async def scenario(stage):
        await stage.send(CROWDS[name])
        stage.check_processes()
        await stage.check_ordinary_request()
        stage.check_processes()

    play(tmp_path, scenario, engine_options=ENGINE)


@pytest.mark.parametrize("start", [b"", b"GET /", head()], ids=["idle", "line", "head"])
def test_connections_do_not_take_the_descriptors(tmp_path, start):
    """Guards against a crowd that begins requests, so that no caller can connect."""

    async def scenario(stage):
        await stage.send(Crowd(2 * DESCRIPTORS, lambda number: [start]))
        print(f"{stage.peak_descriptors} descriptors")
        assert stage.peak_descriptors < DESCRIPTORS
        await stage.check_ordinary_request()
        stage.check_processes()

    play(tmp_path, scenario, descriptors=DESCRIPTORS)
