"""A minimal HTTP/1.1 server on asyncio streams for fault injection.

The handler writes every byte of a response itself, so that a simulated service
can truncate a response, add bytes or withhold them.
"""

import asyncio
import contextlib
import typing as t
import urllib.parse

import attrs


@attrs.define
class RawRequest:
    """A request as received; header names are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        """The path without the query string."""
        return self.target.partition("?")[0]

    @property
    def query(self) -> dict[str, str]:
        """The parameters of the query string."""
        return dict(urllib.parse.parse_qsl(self.target.partition("?")[2]))


class CloseConnectionError(Exception):
    """Make the server close the connection, with a TCP reset if ``is_reset``."""

    def __init__(self, is_reset: bool = False) -> None:
        super().__init__()
        self.is_reset = is_reset


Handler = t.Callable[[RawRequest, asyncio.StreamWriter], t.Awaitable[None]]


class RawServer:
    """Pass complete requests to a handler, one at a time per connection.

    :ivar port: port that the server listens on, also once it is closed.
    """

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[t.Any]] = set()
        self.connections = 0
        self.port = 0

    async def start(self, port: int = 0) -> None:
        """Listen on loopback; port 0 picks a free one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        self.port = self._server.sockets[0].getsockname()[1]

    def reset_connections(self) -> None:
        """Abort the open connections, and accept new ones."""
        for task in list(self._tasks):
            task.cancel()

    async def close(self) -> None:
        """Stop listening and abort open connections."""
        if self._server is not None:
            self._server.close()
        self.reset_connections()
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
                await self._run_handler(request, reader, writer)
        except CloseConnectionError as error:
            if error.is_reset:
                writer.transport.abort()
        except (ConnectionError, asyncio.IncompleteReadError):
            writer.transport.abort()
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            with contextlib.suppress(ConnectionError):
                writer.close()

    async def _run_handler(
        self,
        request: RawRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Run the handler and cancel it if the client disconnects."""
        handler_task = asyncio.ensure_future(self._handler(request, writer))
        disconnect_task = asyncio.ensure_future(_wait_for_disconnect(reader))
        try:
            await asyncio.wait(
                {handler_task, disconnect_task}, return_when=asyncio.FIRST_COMPLETED
            )
            if not handler_task.done():
                raise CloseConnectionError(is_reset=True)
            handler_task.result()
        finally:
            for task in (handler_task, disconnect_task):
                task.cancel()
            await asyncio.gather(handler_task, disconnect_task, return_exceptions=True)


async def _wait_for_disconnect(reader: asyncio.StreamReader) -> None:
    while not reader.at_eof():
        await asyncio.sleep(0.005)


async def read_request(reader: asyncio.StreamReader) -> RawRequest | None:
    """Return the next request, or ``None`` at the end of the stream."""
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
    """Return the headers up to the empty line, with names in lower case."""
    headers = {}
    while line := (await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    return headers


async def read_chunks(reader: asyncio.StreamReader) -> bytes:
    """Return a decoded chunked body.

    :raises asyncio.IncompleteReadError: the stream ends before the last chunk.
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


def render_response(
    status: int, headers: t.Mapping[str, str], body: bytes, reason: str = "Status"
) -> bytes:
    """Return a complete response as bytes, with its Content-Length."""
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body
