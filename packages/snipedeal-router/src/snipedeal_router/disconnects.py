"""Notice callers that go away while their answer is being made."""

import asyncio
import typing as t

GONE = "snipedeal.gone"


def watch_disconnects(app: t.Any) -> t.Any:
    """Return an ASGI application that puts an event into each scope.

    The event under :data:`GONE` is set when the caller closes its connection
    after its request was read.

    :param app: the application to wrap.
    """

    async def watched(scope: t.Any, receive: t.Any, send: t.Any) -> None:
        if scope["type"] != "http":
            await app(scope, receive, send)
            return
        watch = _Watch(receive)
        scope[GONE] = watch.gone
        try:
            await app(scope, watch.receive, send)
        finally:
            watch.close()

    return watched


class _Watch:
    """Pass events on until the body is whole, then wait for the end."""

    def __init__(self, receive: t.Any) -> None:
        self.gone = asyncio.Event()
        self._receive = receive
        self._task: asyncio.Task[None] | None = None

    async def receive(self) -> t.Any:
        """Return the next event for the application."""
        if self._task is not None:
            await self.gone.wait()
            return {"type": "http.disconnect"}
        event = await self._receive()
        if event["type"] == "http.disconnect":
            self.gone.set()
        elif not event.get("more_body"):
            self._task = asyncio.create_task(self._wait_for_end())
        return event

    def close(self) -> None:
        """Stop waiting."""
        if self._task is not None:
            self._task.cancel()

    async def _wait_for_end(self) -> None:
        while True:
            event = await self._receive()
            if event["type"] == "http.disconnect":
                self.gone.set()
                return
