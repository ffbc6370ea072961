"""Naive router as a baseline: round robin, no exchange between routers.

Each router has a fixed number of slots at each target, so that all routers
together fill the targets. Calls for a target wait in order of arrival.
"""

import asyncio
import itertools
import json
import typing as t

import aiohttp
import defopt
import falcon.asgi

from snipedeal_standins.serving import serve


class NaiveRouter:
    """Queue calls and forward them to the targets in round-robin order.

    :param targets: base URLs of the engines.
    :param slots: maximum number of open calls from this router to one engine.
    """

    def __init__(self, targets: list[str], slots: int) -> None:
        self._semaphores = {target: asyncio.Semaphore(slots) for target in targets}
        self._target_cycle = itertools.cycle(targets)
        self._session: aiohttp.ClientSession | None = None

    async def on_post(self, req: t.Any, resp: t.Any) -> None:
        """Forward one call and stream its answer."""
        if self._session is None:
            connector = aiohttp.TCPConnector(limit=0)
            self._session = aiohttp.ClientSession(connector=connector)
        body = await req.stream.read()
        resp.content_type = "text/event-stream"
        resp.stream = self._forward(next(self._target_cycle), body)

    async def _forward(self, target: str, body: bytes) -> t.AsyncIterator[bytes]:
        fields = {**json.loads(body), "stream": True}
        async with (
            self._semaphores[target],
            self._session.post(f"{target}/v1/chat/completions", json=fields) as answer,
        ):
            async for data in answer.content.iter_any():
                yield data


def run(*, http: str, targets: str, slots: int) -> None:
    """Run a naive router.

    :param http: host:port to listen on.
    :param targets: base URLs of the engines, separated by commas.
    :param slots: maximum number of open calls to one engine.
    """
    app = falcon.asgi.App()
    app.add_route("/v1/chat/completions", NaiveRouter(targets.split(","), slots))
    serve(app, http)


if __name__ == "__main__":
    defopt.run(run)
