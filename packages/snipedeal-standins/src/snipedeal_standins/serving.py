"""HTTP serving and event logging shared by the simulated services."""

import asyncio
import json
import pathlib
import time
import typing as t

import falcon.asgi
import uvicorn

_KEEP_ALIVE_S = 75


class EventLog:
    """Append events to a file as JSON Lines.

    :param path: path of the file; empty to discard the events.
    """

    def __init__(self, path: str) -> None:
        self._path = pathlib.Path(path) if path else None

    def write(self, event: str, **fields: t.Any) -> None:
        """Append an event with the wall-clock time in milliseconds."""
        if self._path is None:
            return
        line = {"event": event, "time_ms": int(time.time() * 1000), **fields}
        with self._path.open("a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")


def serve(app: falcon.asgi.App, http: str, lifespan: str = "off") -> None:
    """Serve an application until the process receives a stop signal.

    :param http: ``host:port`` to listen on.
    :param lifespan: ``on`` if the application has a startup handler.
    """
    host, _, port = http.rpartition(":")
    config = uvicorn.Config(
        app,
        host=host,
        port=int(port),
        log_level="error",
        access_log=False,
        lifespan=lifespan,
        timeout_graceful_shutdown=1,
        timeout_keep_alive=_KEEP_ALIVE_S,
        loop="asyncio",
    )
    asyncio.run(uvicorn.Server(config).serve())
