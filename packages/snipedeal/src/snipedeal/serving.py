"""Serve HTTP on the process's own loop, with a shutdown that the process steers."""

import asyncio
import contextlib
import typing as t

import falcon
import falcon.asgi
import uvicorn

_CLOSE_LIMIT_S = 5
_KEEP_ALIVE_S = 75


class HttpServer:
    """A uvicorn server that leaves signals to its owner.

    :param app: an ASGI application.
    :param host: address to bind.
    :param port: port to bind.
    """

    def __init__(self, app: t.Any, host: str, port: int) -> None:
        config = uvicorn.Config(
            app,
            host=host,
            port=port,
            log_config=None,
            access_log=False,
            lifespan="off",
            loop="asyncio",
            http="httptools",
            timeout_graceful_shutdown=_CLOSE_LIMIT_S,
            timeout_keep_alive=_KEEP_ALIVE_S,
        )
        self._server = _Server(config)
        self._task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Bind and accept connections; return when that is done.

        :raises OSError: the address can't be bound.
        """
        self._task = asyncio.create_task(self._server.serve(), name="http")
        while not self._server.started:
            if self._task.done():
                raise OSError("the HTTP address can't be bound")
            await asyncio.sleep(0.01)

    async def close(self) -> None:
        """Close idle connections and wait for the others to end."""
        self._server.should_exit = True
        if self._task is not None:
            await self._task


class _Server(uvicorn.Server):
    """A server that installs no signal handlers."""

    @contextlib.contextmanager
    def capture_signals(self) -> t.Iterator[None]:
        yield


class ObservationResource:
    """Health, metrics, status and events of a process.

    :param node: the process's node.
    """

    def __init__(self, node: t.Any) -> None:
        self._node = node

    async def on_get_health(self, req: t.Any, resp: falcon.asgi.Response) -> None:
        """Answer that the loop turns."""
        resp.media = {"status": "ok"}

    async def on_get_ready(self, req: t.Any, resp: falcon.asgi.Response) -> None:
        """Answer whether the process takes work, and why not."""
        reasons = self._node.unready_reasons()
        resp.media = {"ready": not reasons, "reasons": reasons}
        if reasons:
            resp.status = falcon.HTTP_503

    async def on_get_metrics(self, req: t.Any, resp: falcon.asgi.Response) -> None:
        """Answer with the metrics in the text format."""
        self._node.refresh_metrics()
        resp.content_type = "text/plain; version=0.0.4; charset=utf-8"
        resp.data = self._node.metrics.render()

    async def on_get_status(self, req: t.Any, resp: falcon.asgi.Response) -> None:
        """Answer with what the process has in force."""
        resp.media = self._node.status()

    async def on_get_events(self, req: t.Any, resp: falcon.asgi.Response) -> None:
        """Answer with the ring of events."""
        resp.content_type = falcon.MEDIA_JSON
        resp.text = self._node.events.dump()


def add_observation(app: falcon.asgi.App, node: t.Any) -> None:
    """Add the observation routes to an application.

    :param node: the process's node.
    """
    resource = ObservationResource(node)
    app.add_route("/healthz", resource, suffix="health")
    app.add_route("/readyz", resource, suffix="ready")
    app.add_route("/metrics", resource, suffix="metrics")
    app.add_route("/status", resource, suffix="status")
    app.add_route("/events", resource, suffix="events")
