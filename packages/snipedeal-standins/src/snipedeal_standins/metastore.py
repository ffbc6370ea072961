"""Simulated metadata store of the users' platform: topics of keyed records."""

import asyncio
import base64
import json
import struct
import typing as t

import attrs

from snipedeal_standins.rawhttp import CloseConnectionError
from snipedeal_standins.rawhttp import RawRequest
from snipedeal_standins.rawhttp import RawServer
from snipedeal_standins.rawhttp import render_response


@attrs.define
class Topic:
    """A keyed topic with a single partition.

    :param first: offset of the oldest retained record.
    :param newest: latest value of each key with its offset.
    :param changed: event that is set at the next change and then replaced.
    """

    first: int = 0
    records: list[tuple[str, bytes]] = attrs.Factory(list)
    newest: dict[str, tuple[bytes, int]] = attrs.Factory(dict)
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    @property
    def end(self) -> int:
        """Offset that the next record gets."""
        return self.first + len(self.records)

    def copy(self) -> "Topic":
        """Return a topic with the same content that changes by itself."""
        return Topic(self.first, list(self.records), dict(self.newest))


@attrs.define
class StoreFaults:
    """Faults that the store currently injects.

    :param mode: ``busy`` responds with 503, ``many`` with 429, ``reset`` resets
        the connection, ``silent`` never responds; empty for no fault.
    :param topics: topics to whose calls ``mode`` applies; empty for all.
    :param slow_ms: delay added to each call.
    :param page: maximum number of keys in a page of latest records.
    """

    mode: str = ""
    topics: frozenset[str] = frozenset()
    slow_ms: float = 0.0
    page: int = 500


@attrs.frozen
class StoreCopy:
    """Copy of all topics, from which a store can be restored."""

    topics: dict[str, Topic]


class MetaStore:
    """Serve topics over HTTP, with fault injection, and record the calls.

    :ivar era: rises by one with each restore; in the header of all responses.
    """

    def __init__(self) -> None:
        self.faults = StoreFaults()
        self.era = 1
        self.calls: list[str] = []
        # Last value of each topic and key, also if a restore has lost it.
        self._written: dict[tuple[str, str], bytes] = {}
        self._topics: dict[str, Topic] = {}
        self._server = RawServer(self._handle)

    @property
    def address(self) -> str:
        """``host:port`` of the store."""
        return f"127.0.0.1:{self._server.port}"

    async def start(self, port: int = 0) -> None:
        """Start serving on loopback; port 0 picks a free one."""
        await self._server.start(port)

    async def close(self) -> None:
        """Stop serving; the topics are kept for a later start."""
        await self._server.close()

    def reset_connections(self) -> None:
        """Reset the open connections; calls on new ones succeed."""
        self._server.reset_connections()

    def topic(self, name: str) -> Topic:
        """Return a topic, creating it on first use."""
        return self._topics.setdefault(name, Topic())

    def put(self, name: str, key: str, value: bytes) -> int:
        """Append a record and return its offset; an empty value deletes the key."""
        self._written[name, key] = value
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
        """Delete all records but keep the latest value of each key."""
        topic = self.topic(name)
        topic.first = topic.end
        topic.records.clear()
        topic.changed.set()
        topic.changed = asyncio.Event()

    def copy(self) -> StoreCopy:
        """Return a copy of what the store holds now."""
        return StoreCopy({name: topic.copy() for name, topic in self._topics.items()})

    def restore(self, copy: StoreCopy) -> None:
        """Return to an older copy: what was written since is lost.

        Offsets are given out again. Open connections are reset, so that no long poll of
        the former era is answered.
        """
        self.era += 1
        self._topics = {name: topic.copy() for name, topic in copy.topics.items()}
        self.reset_connections()

    def write_again(self, names: t.Sequence[str]) -> None:
        """Write what the writers of topics wrote last and a restore has lost."""
        for (name, key), value in list(self._written.items()):
            newest, _ = self.topic(name).newest.get(key, (b"", 0))
            if name in names and newest != value:
                self.put(name, key, value)

    async def _handle(self, request: RawRequest, writer: t.Any) -> None:
        self.calls.append(request.target)
        faults = self.faults
        if faults.slow_ms:
            await asyncio.sleep(faults.slow_ms / 1000)
        is_affected = not faults.topics or request.query["topic"] in faults.topics
        mode = faults.mode if is_affected else ""
        if mode == "reset":
            raise CloseConnectionError(is_reset=True)
        if mode == "silent":
            await asyncio.sleep(3600)
        if mode:
            status = 503 if mode == "busy" else 429
            writer.write(self._render(status, b""))
            return
        operation = request.path.removeprefix("/-/")
        status, body = await self._run_operation(operation, request)
        writer.write(self._render(status, body))

    def _render(self, status: int, body: bytes) -> bytes:
        return render_response(status, {"Store-Era": str(self.era)}, body)

    async def _run_operation(
        self, operation: str, request: RawRequest
    ) -> tuple[int, bytes]:
        query = request.query
        name = query["topic"]
        if operation == "log-append":
            return self._append(name, request.body)
        if operation == "log-newest":
            return 200, self._newest(name, query.get("after", ""))
        if operation == "log-read":
            wait_ms = float(query.get("waitMs", "0"))
            return await self._read(name, int(query["from"]), wait_ms)
        return 404, b""

    def _append(self, name: str, body: bytes) -> tuple[int, bytes]:
        position = 0
        first = self.topic(name).end
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            content = body[position + 4 : position + 4 + length]
            position += 4 + length
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
        if start == topic.end and wait_ms:
            try:
                async with asyncio.timeout(wait_ms / 1000):
                    await topic.changed.wait()
            except TimeoutError:
                pass
        if not topic.first <= start <= topic.end:
            return 410, json.dumps({"first": topic.first}).encode()
        parts = [struct.pack(">QQ", topic.end, topic.first)]
        for key, value in topic.records[start - topic.first :]:
            content = bytes((len(key),)) + key.encode() + value
            parts.append(struct.pack(">I", len(content)) + content)
        return 200, b"".join(parts)
