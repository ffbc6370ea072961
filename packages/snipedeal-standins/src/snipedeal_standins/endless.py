"""Simulated target that sends bytes without end, until its peer closes."""

import asyncio
import contextlib

import attrs

from snipedeal_standins.rawhttp import read_headers

#: Bytes after which it only waits, far more than any buffer on the way.
SEND_LIMIT_BYTES = 64 * 1024 * 1024


@attrs.define
class EndlessServer:
    """Answer each request with a start and then the same bytes over and over.

    :param start_bytes: what it sends first.
    :param filler: what it repeats; sent at once in larger blocks.
    :param pause_s: pause between blocks.
    :ivar sent_bytes: filler bytes written so far.
    :ivar connections: connections that are open.
    """

    start_bytes: bytes
    filler: bytes
    pause_s: float = 0.0
    sent_bytes: int = 0
    connections: int = 0
    _server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """``host:port`` that it listens on."""
        assert self._server is not None
        host, port = self._server.sockets[0].getsockname()
        return f"{host}:{port}"

    async def start(self) -> None:
        """Listen on a free loopback port."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        block = self.filler * max(1, 16_384 // len(self.filler))
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            if await reader.readline():
                await read_headers(reader)
                writer.write(self.start_bytes)
                while self.sent_bytes < SEND_LIMIT_BYTES:
                    writer.write(block)
                    await writer.drain()
                    self.sent_bytes += len(block)
                    await asyncio.sleep(self.pause_s)
                await reader.read()
        writer.transport.abort()
        self.connections -= 1
