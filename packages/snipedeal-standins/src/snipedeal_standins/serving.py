"""Serve a stand-in's HTTP side, and write its record."""

import asyncio
import json
import pathlib
import time
import typing as t

import falcon.asgi
import uvicorn

_KEEP_ALIVE_S = 75


class Record:
    """Append what happened to a file, one JSON object a line.

    :param path: the file, empty to keep nothing.
    """

    def __init__(self, path: str) -> None:
        self._path = pathlib.Path(path) if path else None

    def write(self, event: str, **fields: t.Any) -> None:
        """Write a line with the wall time in milliseconds."""
        if self._path is None:
            return
        line = {"event": event, "time_ms": int(time.time() * 1000), **fields}
        with self._path.open("a", encoding="utf-8") as file:
            file.write(json.dumps(line) + "\n")


def serve(app: falcon.asgi.App, http: str, lifespan: str = "off") -> None:
    """Serve an application until the process is told to end.

    :param http: ``host:port`` to listen on.
    :param lifespan: ``on`` where the application has a start-up step.
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
