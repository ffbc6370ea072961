"""A plain HTTP/1.1 server on asyncio streams, for stand-ins that misbehave.

It leaves every byte of an answer to its handler, so that a stand-in can break
off, add or withhold bytes.
"""

import asyncio
import contextlib
import typing as t
import urllib.parse

import attrs


@attrs.define
class RawRequest:
    """A request as it was read; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The path without its query."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The query's fields."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


class HangupError(Exception):
    """The handler wants the connection closed, by a reset if ``is_reset``."""

    def __init__(self, is_reset: bool = False) -> None:
        super().__init__()
        self.is_reset = is_reset


Handler = t.Callable[[RawRequest, asyncio.StreamWriter], t.Awaitable[None]]


class RawServer:
    """Hand whole requests to a handler, one at a time on a connection."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self.connections = 0

    @property
    def port(self) -> int:
        """The port that it listens on."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    async def start(self, port: int = 0) -> None:
        """Listen on loopback; port 0 takes a free one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)

    async def close(self) -> None:
        """Stop, and break off what is open."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        try:
            while (request := await read_request(reader)) is not None:
                await self._run(request, reader, writer)
        except HangupError as hangup:
            if hangup.is_reset:
                writer.transport.abort()
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.transport.abort()
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _run(
        self,
        request: RawRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run the handler, and drop it when the caller closes."""
        work = asyncio.ensure_future(self._handler(request, writer))
        gone = asyncio.ensure_future(_wait_for_end(reader))
        try:
            await asyncio.wait({work, gone}, return_when=asyncio.FIRST_COMPLETED)
            if not work.done():
                raise HangupError(is_reset=True)
            work.result()
        finally:
            for task in (work, gone):
                task.cancel()
            await asyncio.gather(work, gone, return_exceptions=True)


async def _wait_for_end(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof():
        await asyncio.sleep(0.005)


async def read_request(reader: asyncio.StreamReader) -> RawRequest | None:
    """Return the next request, ``None`` at the end of the stream."""
    line = await reader.readline()
    if not line:
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers = await read_headers(reader)
    body = b""
    if "chunked" in headers.get("transfer-encoding", ""):
        body = await read_chunks(reader)
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    return RawRequest(method, target, headers, body)


async def read_headers(reader: asyncio.StreamReader) -> dict[str, str]:
    """Return headers up to the empty line."""
    headers = {}
    while line := (await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    return headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a chunked body.

    :raises asyncio.IncompleteReadError: it ends early.
    """
    parts = []
    while True:
        line = await reader.readline()
        if not line.endswith(b"\n"):
            raise asyncio.IncompleteReadError(line, None)
        size = int(line, 16)
        data = await reader.readexactly(size + 2)
        if size == 0:
            return b"".join(parts)
        parts.append(data[:-2])


def render(
    status: int, headers: t.Mapping[str, str], body: bytes, reason: str = "Status"
) -> bytes:
    """Return the bytes of a whole answer."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
