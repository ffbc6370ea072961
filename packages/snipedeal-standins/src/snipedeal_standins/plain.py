"""Stand-in for a plain service with calls that may not be repeated."""

import asyncio
import hashlib
import typing as t

import falcon
import falcon.asgi

from snipedeal_standins.serving import Record
from snipedeal_standins.serving import serve


class PlainService:
    """Answer any call after a delay, and record it."""

    def __init__(self, record: Record, delay_ms: int, slots: int) -> None:
        self._record = record
        self._delay_ms = delay_ms
        self._slots = slots
        self._running = 0
        self._count = 0

    async def on_get_health(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Say that the service is up."""
        resp.media = {"status": "ok"}

    async def on_get_load(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Report load."""
        resp.media = {"max_batch": self._slots, "running": self._running}

    async def handle(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Run a call of any method and path."""
        body = await req.stream.read()
        self._count += 1
        number = self._count
        mark = req.get_header("X-Mark", default="")
        attempt = req.get_header("X-Attempt-Id", default="")
        request = req.get_header("X-Request-Id", default="")
        self._record.write(
            "start",
            attempt=attempt,
            request=request,
            mark=mark,
            method=req.method,
            path=req.path,
            key=req.get_header("Idempotency-Key", default=""),
        )
        self._running += 1
        delay_ms = int(req.get_header("X-Delay-Ms", default=self._delay_ms))
        await asyncio.sleep(delay_ms / 1000)
        self._running -= 1
        self._record.write("end", attempt=attempt, mark=mark, how="done")
        digest = hashlib.sha256(body).hexdigest()
        resp.set_header("X-Run-Number", str(number))
        resp.status = falcon.HTTP_200 if req.method == "GET" else falcon.HTTP_201
        resp.media = {"path": req.path, "mark": mark, "body_sha256": digest}


def make_app(record: Record, delay_ms: int, slots: int) -> falcon.asgi.App:
    """Return the stand-in's application."""
    app = falcon.asgi.App()
    service: t.Any = PlainService(record, delay_ms, slots)
    app.add_route("/health", service, suffix="health")
    app.add_route("/load", service, suffix="load")
    app.add_sink(service.handle, "/")
    return app


def run(*, http: str, record: str = "", delay_ms: int = 20, slots: int = 8) -> None:
    """Run a plain service.

    :param http: host:port to listen on.
    :param record: file for the service's own record.
    :param delay_ms: duration of a call, unless X-Delay-Ms says otherwise.
    :param slots: calls that it runs at once, as it reports.
    """
    serve(make_app(Record(record), delay_ms, slots), http)
