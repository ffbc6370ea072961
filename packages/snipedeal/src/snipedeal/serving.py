"""Serve HTTP on the process's event loop, with shutdown left to the process."""

import asyncio
import contextlib
import functools
import json
import socket
import typing as t

import falcon
import falcon.asgi
import uvicorn

from snipedeal import defaults
from snipedeal.holdings import UNKNOWN
from snipedeal.intake import BoundedProtocol
from snipedeal.intake import Intake
from snipedeal.rendering import Rendering
from snipedeal.settings import NodeSettings

_GRACEFUL_SHUTDOWN_TIMEOUT_S = 5
_KEEP_ALIVE_TIMEOUT_S = 75


class HttpServer:
    """Run a uvicorn server that leaves signal handling to its owner.

    :param app: an ASGI application.
    :param settings: address to bind, and limits on callers.
    :param identify: returns the customer that an ``Authorization`` header names, empty
        if there is none.
    :param on_refused: called with the name of the limit that refused a caller.
    """

    def __init__(
        self,
        app: t.Any,
        settings: NodeSettings,
        identify: t.Callable[[str], str] = lambda authorization: UNKNOWN,
        on_refused: t.Callable[[str], None] = lambda limit: None,
    ) -> None:
        intake = Intake(settings, identify, on_refused)
        config = uvicorn.Config(
            app,
            host=settings.http_host,
            port=settings.http_port,
            log_config=None,
            access_log=False,
            lifespan="off",
            loop="asyncio",
            http=functools.partial(BoundedProtocol, intake),
            # The event loop accepts as many at once, before any of them can be closed.
            backlog=defaults.ACCEPTED_AT_ONCE,
            timeout_graceful_shutdown=_GRACEFUL_SHUTDOWN_TIMEOUT_S,
            timeout_keep_alive=_KEEP_ALIVE_TIMEOUT_S,
        )
        self._server = _SignalFreeServer(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Bind the address and return once connections are accepted.

        :raises OSError: the address can't be bound.
        """
        self._task = asyncio.create_task(self._server.serve(), name="http")
        while not self._server.started:
            if self._task.done():
                raise OSError("can't bind the HTTP address")
            await asyncio.sleep(0.01)
        for server in self._server.servers:
            for listening in server.sockets:
                number = listening.fileno()
                with socket.fromfd(number, listening.family, listening.type) as sock:
                    sock.listen(defaults.ACCEPT_BACKLOG)

    async def close(self) -> None:
        """Close idle connections and wait up to 5 s for open requests to end."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task


class _SignalFreeServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> t.Iterator[None]:
        yield


class MonitoringResource:
    """Serve the health, metrics, status and events of a process.

    :param node: the process's node.
    """

    def __init__(self, node: t.Any) -> None:
        self._node = node
        now_ms = node.clock.now_ms
        self._metrics = Rendering(self._render_metrics, now_ms)
        self._status = Rendering(lambda: json.dumps(node.status()).encode(), now_ms)
        self._events = Rendering(lambda: node.events.dump().encode(), now_ms)

    def _render_metrics(self) -> bytes:
        self._node.refresh_metrics()
        return self._node.metrics.render()

    async def on_get_health(self, req: t.Any, resp: falcon.asgi.Response) -> None:
        """Respond as a liveness probe; any response shows that the loop runs."""
        resp.media = {"status": "ok"}

    async def on_get_ready(self, req: t.Any, resp: falcon.asgi.Response) -> None:
        """Respond as a readiness probe, with the reasons if not ready."""
        reasons = self._node.unready_reasons()
        resp.media = {"ready": not reasons, "reasons": reasons}
        if reasons:
            resp.status = falcon.HTTP_503

    async def on_get_metrics(self, req: t.Any, resp: falcon.asgi.Response) -> None:
        """Respond with all metrics in the Prometheus text format."""
        resp.content_type = "text/plain; version=0.0.4; charset=utf-8"
        resp.data = self._metrics.get()

    async def on_get_status(self, req: t.Any, resp: falcon.asgi.Response) -> None:
        """Respond with the current state of the process."""
        resp.content_type = falcon.MEDIA_JSON
        resp.data = self._status.get()

    async def on_get_events(self, req: t.Any, resp: falcon.asgi.Response) -> None:
        """Respond with the buffered events, oldest first."""
        resp.content_type = falcon.MEDIA_JSON
        resp.data = self._events.get()


def add_monitoring_routes(app: falcon.asgi.App, node: t.Any) -> None:
    """Add the monitoring routes to an application.

    :param app: the application.
    :param node: the process's node.
    """
    resource = MonitoringResource(node)
    app.add_route("/healthz", resource, suffix="health")
    app.add_route("/readyz", resource, suffix="ready")
    app.add_route("/metrics", resource, suffix="metrics")
    app.add_route("/status", resource, suffix="status")
    app.add_route("/events", resource, suffix="events")
