"""Simulated plain service with non-idempotent calls."""

import asyncio
import hashlib
import typing as t

import falcon
import falcon.asgi

from snipedeal_standins.serving import EventLog
from snipedeal_standins.serving import serve


class PlainService:
    """Respond to any call after a delay and log its start and end."""

    def __init__(self, event_log: EventLog, delay_ms: int, slots: int) -> None:
        self._event_log = event_log
        self._delay_ms = delay_ms
        self._slots = slots
        self._running = 0
        self._count = 0

    async def on_get_health(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Report that the service is up."""
        resp.media = {"status": "ok"}

    async def on_get_load(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Report the number of running calls and the configured slots."""
        resp.media = {"max_batch": self._slots, "running": self._running}

    async def handle(self, req: falcon.asgi.Request, resp: t.Any) -> None:
        """Handle a call of any method and path."""
        body = await req.stream.read()
        self._count += 1
        number = self._count
        mark = req.get_header("X-Mark", default="")
        attempt = req.get_header("X-Attempt-Id", default="")
        request = req.get_header("X-Request-Id", default="")
        self._event_log.write(
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
        self._event_log.write("end", attempt=attempt, mark=mark, how="done")
        digest = hashlib.sha256(body).hexdigest()
        resp.set_header("X-Run-Number", str(number))
        resp.status = falcon.HTTP_200 if req.method == "GET" else falcon.HTTP_201
        resp.media = {"path": req.path, "mark": mark, "body_sha256": digest}


def make_app(event_log: EventLog, delay_ms: int, slots: int) -> falcon.asgi.App:
    """Return the service's ASGI application."""
    app = falcon.asgi.App()
    service: t.Any = PlainService(event_log, delay_ms, slots)
    app.add_route("/health", service, suffix="health")
    app.add_route("/load", service, suffix="load")
    app.add_sink(service.handle, "/")
    return app


def run(*, http: str, record: str = "", delay_ms: int = 20, slots: int = 8) -> None:
    """Run a plain service.

    :param http: host:port to listen on.
    :param record: file for the service's event log; empty for none.
    :param delay_ms: duration of a call without an X-Delay-Ms header.
    :param slots: concurrency limit that it reports but does not enforce.
    """
    serve(make_app(EventLog(record), delay_ms, slots), http)
