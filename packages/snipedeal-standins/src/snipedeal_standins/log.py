"""Stand-in for the platform's log service."""

import asyncio
import time
import typing as t

import attrs
import falcon
import falcon.asgi

from snipedeal_standins.serving import serve


@attrs.define
class _Stream:
    """Records of a stream from its oldest kept offset on."""

    start: int = 0
    records: list[tuple[str, float]] = attrs.Factory(list)
    changed: asyncio.Event = attrs.Factory(asyncio.Event)

    @property
    def next(self) -> int:
        return self.start + len(self.records)


@attrs.define
class Faults:
    """What the service does wrong at the moment.

    :param is_out: every call is answered with 503.
    :param slow_ms: added to every call.
    :param lose_answers: appends that take effect but are answered with 503.
    :param appends_per_s: limit; further appends are answered with 429.
    :param retention_ms: age at which records are dropped.
    """

    is_out: bool = False
    slow_ms: int = 0
    lose_answers: int = 0
    appends_per_s: int = 400
    retention_ms: int = 7 * 24 * 3_600_000


class LogService:
    """Streams, faults and counts of the stand-in."""

    def __init__(self) -> None:
        self.faults = Faults()
        self._streams: dict[str, _Stream] = {}
        self._appends: list[float] = []
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
        """Return records from an offset, waiting for new ones if asked."""
        await self._delay()
        offset = req.get_param_as_int("from", default=0)
        limit = req.get_param_as_int("limit", default=500)
        wait_ms = req.get_param_as_int("wait_ms", default=0)
        stream = self._stream(name)
        if offset >= stream.next and wait_ms:
            await self._wait(stream, wait_ms)
            self._raise_if_out()
        self._read_count += 1
        self._drop_old(stream)
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
        """Return faults and counts."""
        resp.media = {
            **attrs.asdict(self.faults),
            "appends": self._append_count,
            "reads": self._read_count,
        }

    async def on_post_control(
        self, req: falcon.asgi.Request, resp: falcon.asgi.Response
    ) -> None:
        """Change some of the faults."""
        changes = await req.get_media()
        self.faults = attrs.evolve(self.faults, **changes)
        for stream in self._streams.values():
            self._drop_old(stream)
        if self.faults.is_out:
            for stream in self._streams.values():
                stream.changed.set()
                stream.changed = asyncio.Event()
        resp.media = attrs.asdict(self.faults)

    def _stream(self, name: str) -> _Stream:
        stream = self._streams.setdefault(name, _Stream())
        self._drop_old(stream)
        return stream

    def _drop_old(self, stream: _Stream) -> None:
        limit = time.time() - self.faults.retention_ms / 1000
        old = 0
        while old < len(stream.records) and stream.records[old][1] < limit:
            old += 1
        del stream.records[:old]
        stream.start += old

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
        self._appends = [moment for moment in self._appends if now - moment < 1]
        if len(self._appends) >= self.faults.appends_per_s:
            raise falcon.HTTPTooManyRequests(retry_after=1)
        self._appends.append(now)

    async def _wait(self, stream: _Stream, wait_ms: int) -> None:
        try:
            await asyncio.wait_for(stream.changed.wait(), wait_ms / 1000)
        except TimeoutError:
            return


def make_app() -> falcon.asgi.App:
    """Return the stand-in's application."""
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
