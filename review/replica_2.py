"""A replica as a process whose streams have no length and end with their channel.

Usage: ``replica_2.py ID PORT EVENTS FIRST_MS EVENT_MS``. It writes the head of an
answer when it takes the request, the first event after ``FIRST_MS``, and a line to
standard output for each step.
"""

import asyncio
import sys
import typing as t

from snipedeal_standins.rawhttp import RawRequest
from snipedeal_standins.rawhttp import read_request


class Replica:
    """Serve streams that end with their channel."""

    def __init__(
        self, name: str, events: int, first_ms: float, event_ms: float
    ) -> None:
        self._name = name
        self._events = events
        self._first_s = first_ms / 1000
        self._event_s = event_ms / 1000

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request, then close the channel."""
        try:
            request = await read_request(reader)
            if request is not None:
                await self._answer(request, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, request: RawRequest, writer: t.Any) -> None:
        request_id = request.headers.get("snipedeal-request-attempt-id", "")
        if request.headers.get("snipedeal-expect-replica") != self._name:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n"
                b"Connection: close\r\n\r\n"
            )
            await writer.drain()
            return
        print(f"{request_id} run by {self._name}", flush=True)
        lines = [
            "HTTP/1.1 200 OK",
            f"Snipedeal-Request-Attempt-Id: {request_id}",
            f"Snipedeal-Replica-Signature: {self._name}.{request_id}",
            "Content-Type: text/event-stream",
            "Connection: close",
        ]
        writer.write(("\r\n".join(lines) + "\r\n\r\n").encode())
        await writer.drain()
        await asyncio.sleep(self._first_s)
        first = int(request.headers.get("last-event-id", "0") or 0) + 1
        for number in range(first, self._events + 1):
            writer.write(f"id: {number}\ndata: piece {number}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(self._event_s)
        print(f"{request_id} ended whole at {self._name}", flush=True)


async def main() -> None:
    """Serve until the process is killed."""
    name, port, events, first_ms, event_ms = sys.argv[1:]
    replica = Replica(name, int(events), float(first_ms), float(event_ms))
    server = await asyncio.start_server(replica.serve, "127.0.0.1", int(port))
    async with server:
        await server.serve_forever()


if __name__ == "__main__":
    asyncio.run(main())
