"""Detect callers that disconnect before their response is complete."""

import asyncio
import typing as t

DISCONNECT_EVENT = "snipedeal.gone"


def watch_disconnects(app: t.Any) -> t.Any:
    """Return an ASGI application that adds an event to each HTTP scope.

    The :class:`asyncio.Event` under the scope key :data:`DISCONNECT_EVENT` is set
    when the caller closes its connection. After the body has been read, a background
    task waits for this.

    :param app: the application to wrap.
    """

    async def wrapped(scope: t.Any, receive: t.Any, send: t.Any) -> None:
        if scope["type"] != "http":
            await app(scope, receive, send)
            return
        watcher = _DisconnectWatcher(receive)
        scope[DISCONNECT_EVENT] = watcher.disconnected
        try:
            await app(scope, watcher.receive, send)
        finally:
            watcher.close()

    return wrapped


class _DisconnectWatcher:
    """Forward ASGI events until the body is complete, then await the disconnect."""

    def __init__(self, receive: t.Any) -> None:
        self.disconnected = asyncio.Event()
        self._receive = receive
        self._task: asyncio.Task[None] | None = None

    async def receive(self) -> t.Any:
        """Return the next ASGI event for the application."""
        if self._task is not None:
            await self.disconnected.wait()
            return {"type": "http.disconnect"}
        event = await self._receive()
        if event["type"] == "http.disconnect":
            self.disconnected.set()
        elif not event.get("more_body"):
            self._task = asyncio.create_task(self._wait_for_disconnect())
        return event

    def close(self) -> None:
        """Cancel the wait for the disconnect."""
        if self._task is not None:
            self._task.cancel()

    async def _wait_for_disconnect(self) -> None:
        while True:
            event = await self._receive()
            if event["type"] == "http.disconnect":
                self.disconnected.set()
                return
