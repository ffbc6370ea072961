"""Simulated log service of the platform."""

import asyncio
import time
import typing as t

import attrs
import falcon
import falcon.asgi

from snipedeal_standins.serving import serve


@attrs.define
class _Stream:
    """Retained records of a stream, each with its append time in Unix seconds.

    :param start: offset of the oldest retained record.
    """

    start: int = 0
    records: list[tuple[str, float]] = attrs.Factory(list)
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    @property
    def next(self) -> int:
        return self.start + len(self.records)


@attrs.define
class Faults:
    """Faults that the service currently injects, and its limits.

    :param is_out: whether every call fails with 503.
    :param slow_ms: delay added to every call.
    :param lose_answers: upcoming appends that take effect but return 503.
    :param appends_per_s: append rate limit; further appends return 429.
    :param retention_ms: age at which records are deleted.
    """

    is_out: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    appends_per_s: int = 400
    retention_ms: int = 7 * 24 * 3_600_000


class LogService:
    """Serve streams of records, with fault injection and call counts."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._streams: dict[str, _Stream] = {}
        self._append_times_s: list[float] = []
        self._append_count = 0
        self._read_count = 0

    async def on_post(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, name: str
    ) -> None:
        """Append the body to a stream."""
        data = (await req.stream.read()).decode()
        await self._delay()
        self._limit_rate()
        stream = self._stream(name)
        stream.records.append((data, time.time()))
        offset = stream.next - 1
        self._append_count += 1
        stream.changed.set()
        stream.changed = asyncio.Event()
        if self.faults.lose_answers > 0:
            self.faults.lose_answers -= 1
            raise falcon.HTTPServiceUnavailable(description="answer lost")
        resp.media = {"offset": offset}

    async def on_get(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response, name: str
    ) -> None:
        """Return records from an offset on; long-poll if ``wait_ms`` is given."""
        await self._delay()
        offset = req.get_param_as_int("from", default=0)
        limit = req.get_param_as_int("limit", default=500)
        wait_ms = req.get_param_as_int("wait_ms", default=0)
        stream = self._stream(name)
        if offset >= stream.next and wait_ms:
            await self._wait(stream, wait_ms)
            self._raise_if_out()
        self._read_count += 1
        self._drop_expired(stream)
        first = max(offset, stream.start)
        records = stream.records[first - stream.start :][:limit]
        resp.media = {
            "start": stream.start,
            "next": stream.next,
            "records": [
                {"offset": first + i, "data": data}
                for i, (data, _) in enumerate(records)
            ],
        }

    async def on_get_control(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Return the current faults and the call counts."""
        resp.media = {
            **attrs.asdict(self.faults),
            "appends": self._append_count,
            "reads": self._read_count,
        }

    async def on_post_control(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Change the given fault settings; leave the others."""
        changes = await req.get_media()
        self.faults = attrs.evolve(self.faults, **changes)
        for stream in self._streams.values():
            self._drop_expired(stream)
        if self.faults.is_out:
            for stream in self._streams.values():
                stream.changed.set()
                stream.changed = asyncio.Event()
        resp.media = attrs.asdict(self.faults)

    def _stream(self, name: str) -> _Stream:
        stream = self._streams.setdefault(name, _Stream())
        self._drop_expired(stream)
        return stream

    def _drop_expired(self, stream: _Stream) -> None:
        limit = time.time() - self.faults.retention_ms / 1000
        expired = 0
        while expired < len(stream.records) and stream.records[expired][1] < limit:
            expired += 1
        del stream.records[:expired]
        stream.start += expired

    async def _delay(self) -> None:
        self._raise_if_out()
        if self.faults.slow_ms:
            await asyncio.sleep(self.faults.slow_ms / 1000)
            self._raise_if_out()

    def _raise_if_out(self) -> None:
        if self.faults.is_out:
            raise falcon.HTTPServiceUnavailable(description="out")

    def _limit_rate(self) -> None:
        now = time.monotonic()
        self._append_times_s = [
            appended_s for appended_s in self._append_times_s if now - appended_s < 1
        ]
        if len(self._append_times_s) >= self.faults.appends_per_s:
            raise falcon.HTTPTooManyRequests(retry_after=1)
        self._append_times_s.append(now)

    async def _wait(self, stream: _Stream, wait_ms: int) -> None:
        try:
            await asyncio.wait_for(stream.changed.wait(), wait_ms / 1000)
        except TimeoutError:
            return


def make_app() -> falcon.asgi.App:
    """Return the service's ASGI application."""
    app = falcon.asgi.App()
    service: t.Any = LogService()
    app.add_route("/streams/{name}/records", service)
    app.add_route("/control", service, suffix="control")
    return app


def run(*, http: str) -> None:
    """Run a log service.

    :param http: host:port to listen on.
    """
    serve(make_app(), http)
