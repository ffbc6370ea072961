"""Stand-in of the users' platform: its metadata store, a log of keyed records."""

import asyncio
import base64
import json
import struct
import typing as t

import attrs

from snipedeal_standins.rawhttp import HangupError
from snipedeal_standins.rawhttp import RawRequest
from snipedeal_standins.rawhttp import RawServer
from snipedeal_standins.rawhttp import render


@attrs.define
class Topic:
    """The only partition of a keyed topic.

    :param first: offset of the oldest record that is kept.
    """

    first: int = 0
    records: list[tuple[str, bytes]] = attrs.Factory(list)
    newest: dict[str, tuple[bytes, int]] = attrs.Factory(dict)
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)


@attrs.define
class StoreFaults:
    """What the store does wrong at the moment.

    :param mode: ``busy`` answers 503, ``many`` 429, ``reset`` resets and
        ``silent`` never answers; empty serves.
    :param slow_ms: added to each call.
    :param page: keys in one page of the newest records.
    """

    mode: str = ""
    slow_ms: float = 0.0
    page: int = 500


class MetaStore:
    """Topics, their calls, and faults."""

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.calls: list[str] = []
        self._topics: dict[str, Topic] = {}
        self._server = RawServer(self._handle)

    @property
    def address(self) -> str:
        """``host:port`` of the store."""
        return f"127.0.0.1:{self._server.port}"

    async def start(self, port: int = 0) -> None:
        """Begin to serve."""
        await self._server.start(port)

    async def close(self) -> None:
        """Stop serving; the topics stay."""
        await self._server.close()

    def topic(self, name: str) -> Topic:
        """Return a topic, created on first use."""
        return self._topics.setdefault(name, Topic())

    def put(self, name: str, key: str, value: bytes) -> int:
        """Append a record, an empty value drops the key; return its offset."""
        topic = self.topic(name)
        offset = topic.end
        topic.records.append((key, value))
        if value:
            topic.newest[key] = (value, offset)
        else:
            topic.newest.pop(key, None)
        topic.changed.set()
        topic.changed = asyncio.Event()
        return offset

    def compact(self, name: str) -> None:
        """Delete all records; the newest of each key stay."""
        topic = self.topic(name)
        topic.first = topic.end
        topic.records.clear()
        topic.changed.set()
        topic.changed = asyncio.Event()

    async def _handle(self, request: RawRequest, writer: t.Any) -> None:
        self.calls.append(request.target)
        faults = self.faults
        if faults.slow_ms:
            await asyncio.sleep(faults.slow_ms / 1000)
        if faults.mode == "reset":
            raise HangupError(is_reset=True)
        if faults.mode == "silent":
            await asyncio.sleep(3600)
        if faults.mode:
            status = 503 if faults.mode == "busy" else 429
            writer.write(render(status, {}, b""))
            return
        call = request.path.removeprefix("/-/")
        status, body = await self._call(call, request)
        writer.write(render(status, {}, body))

    async def _call(self, call: str, request: RawRequest) -> tuple[int, bytes]:
        query = request.query
        name = query["topic"]
        if call == "log-append":
            return self._append(name, request.body)
        if call == "log-newest":
            return 200, self._newest(name, query.get("after", ""))
        if call == "log-read":
            wait_ms = float(query.get("waitMs", "0"))
            return await self._read(name, int(query["from"]), wait_ms)
        return 404, b""

    def _append(self, name: str, body: bytes) -> tuple[int, bytes]:
        at = 0
        first = self.topic(name).end
        while at < len(body):
            (length,) = struct.unpack_from(">I", body, at)
            content = body[at + 4 : at + 4 + length]
            at += 4 + length
            end = 1 + content[0]
            self.put(name, content[1:end].decode(), content[end:])
        answer = {"offset": first, "end": self.topic(name).end}
        return 200, json.dumps(answer).encode()

    def _newest(self, name: str, after: str) -> bytes:
        topic = self.topic(name)
        keys = sorted(key for key in topic.newest if key > after)
        items = []
        for key in keys[: self.faults.page]:
            value, offset = topic.newest[key]
            text = base64.b64encode(value).decode()
            items.append({"key": key, "value": text, "offset": offset})
        has_more = len(keys) > self.faults.page
        page = {"items": items, "hasMore": has_more, "end": topic.end}
        return json.dumps(page).encode()

    async def _read(self, name: str, start: int, wait_ms: float) -> tuple[int, bytes]:
        topic = self.topic(name)
        if start >= topic.end and start >= topic.first and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        if start < topic.first:
            return 410, json.dumps({"first": topic.first}).encode()
        parts = [struct.pack(">QQ", topic.end, topic.first)]
        for key, value in topic.records[start - topic.first :]:
            content = bytes((len(key),)) + key.encode() + value
            parts.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(parts)
